package admission

import (
	"math"
	"time"
)

const (
	// limitWindow is the number of responses per step of the limit. Service
	// times vary about as much as their mean, so that a mean of 32 of them is
	// off by 18% (one standard deviation).
	limitWindow = 32
	// latencyTolerance is the rise of mean latency over the base that counts as
	// contention; 1.5 is 2.8 standard deviations of a window mean.
	latencyTolerance = 1.5
	minGradient      = 0.5
	limitIncrease    = 0.25 // per window
	// errorTolerance is the share of errors in a window that lowers the limit.
	errorTolerance = 0.1
	errorDecrease  = 0.7
	// overloadDecrease applies once per window to refusals for overload.
	overloadDecrease = 0.7
)

// limiter is the concurrency limit of a server. It compares the mean latency of
// a window with a slowly adapting base and multiplies the limit by their ratio.
type limiter struct {
	slots float64
	limit float64
	base  float64 // nanoseconds, latency without contention

	sum           float64 // nanoseconds
	count, errors int
	overloaded    bool // already lowered in this window
	reportedQueue bool
}

func (l *limiter) resize(slots int) {
	former := l.slots
	l.slots = float64(slots)
	if l.limit == 0 || l.limit >= former {
		l.limit = l.slots
	}
	l.limit = math.Min(l.limit, l.slots)
}

func (l *limiter) observe(latency time.Duration, ok bool) {
	if ok {
		l.sum += float64(latency)
		l.count++
	} else {
		l.errors++
	}
	if l.count+l.errors >= limitWindow {
		l.step()
	}
}

func (l *limiter) overload() {
	if !l.overloaded {
		l.overloaded = true
		l.limit = math.Max(l.limit*overloadDecrease, 1)
	}
}

func (l *limiter) step() {
	errorShare := float64(l.errors) / float64(l.count+l.errors)
	switch {
	case errorShare > errorTolerance:
		l.limit *= errorDecrease
	case l.count > 0:
		l.follow(l.sum / float64(l.count))
	}
	l.limit = math.Min(math.Max(l.limit, 1), l.slots)
	l.sum, l.count, l.errors, l.overloaded = 0, 0, 0, false
}

func (l *limiter) follow(latency float64) {
	if l.base == 0 {
		l.base = latency
	}
	gradient := latencyTolerance * l.base / latency
	if gradient >= 1 {
		l.base += 0.1 * (latency - l.base)
		if !l.overloaded {
			l.limit += l.increase()
		}
		return
	}
	if l.limit <= 1 {
		// With one request at a time the latency is the server's own: requests
		// have become longer, and the base must follow or the limit stays at 1.
		l.base = latency
		return
	}
	l.limit *= math.Max(gradient, minGradient)
}

func (l *limiter) increase() float64 {
	if l.reportedQueue {
		return limitIncrease / 2
	}
	return limitIncrease
}

// average is an exponentially weighted mean over about 32 samples.
type average struct {
	value float64
	count int
}

func (a *average) add(d time.Duration) {
	a.count = min(a.count+1, limitWindow)
	a.value += (float64(d) - a.value) / float64(a.count)
}

func (a *average) mean() time.Duration {
	return time.Duration(a.value)
}

// decayed is a sum that loses half of its value per usageHalfLife.
type decayed struct {
	value float64
	at    time.Duration
}

func (d *decayed) add(now time.Duration, v float64) {
	d.value = d.value*d.factor(now) + v
	d.at = now
}

func (d *decayed) factor(now time.Duration) float64 {
	return math.Exp2(-float64(now-d.at) / float64(usageHalfLife))
}

// rate returns the sum as a rate per nanosecond.
func (d *decayed) rate(now time.Duration) float64 {
	return d.value * d.factor(now) * math.Ln2 / float64(usageHalfLife)
}
