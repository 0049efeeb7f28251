package admission

import (
	"math"
	"time"
)

const (
	// limitWindowResponses is the number of responses after which the limit is
	// adjusted. If service times vary about as much as their mean, a mean over 32
	// of them has a standard deviation of 18%.
	limitWindowResponses = 32
	// latencyTolerance is the ratio of mean latency to the base latency above
	// which the server counts as contended; 1.5 is 2.8 standard deviations of a
	// window's mean above the base.
	latencyTolerance       = 1.5
	minGradient            = 0.5  // smallest factor by which latency lowers the limit per window
	limitIncreasePerWindow = 0.25 // requests
	// effectCheckShare is the share of the former concurrency to which the limit must
	// have been lowered before the effect on the latency is checked, since the effect
	// of a smaller reduction cannot be told from noise.
	effectCheckShare = 0.5
	// errorShareTolerance is the share of errors in a window above which the
	// limit is lowered.
	errorShareTolerance = 0.1
	errorDecreaseFactor = 0.7
	// overloadDecreaseFactor applies at most once per window, however many
	// requests the server refused for overload.
	overloadDecreaseFactor = 0.7
)

// limiter adapts the concurrency limit of a server. It compares the mean latency
// of each window of responses with a slowly adapting base latency: within the
// tolerance the limit grows by a constant, beyond it the limit is multiplied by
// the gradient, the tolerated latency divided by the measured one. If that does
// not lower the latency, the cause is not contention, and the limit is restored:
// fewer concurrent requests would only lower the throughput.
type limiter struct {
	slots       float64
	limit       float64
	baseLatency float64 // nanoseconds; the latency without contention

	rampUpLimit float64 // bounds the concurrency, besides limit, during the ramp-up

	// Since the first reduction for latency from which the limit has not recovered:
	reduced           bool
	limitBefore       float64 // before that reduction
	concurrencyBefore float64 // the highest bound of the concurrency in a window with excessive latency
	latencyBefore     float64 // nanoseconds; the latency in that window

	// In the current window:
	latencySum               float64 // nanoseconds
	latencyCount, errorCount int
	loweredForOverload       bool

	serverReportsQueue bool
}

func (l *limiter) setSlots(slots int) {
	previousSlots := l.slots
	l.slots = float64(slots)
	l.rampUpLimit = l.slots
	if l.limit == 0 || l.limit >= previousSlots {
		l.limit = l.slots
	}
	l.limit = math.Min(l.limit, l.slots)
}

// observe adds a latency, or an error if ok is false, to the current window. A
// timeout counts as a latency.
func (l *limiter) observe(latency time.Duration, ok bool) {
	if ok {
		l.latencySum += float64(latency)
		l.latencyCount++
	} else {
		l.errorCount++
	}
	if l.latencyCount+l.errorCount >= limitWindowResponses {
		l.endWindow()
	}
}

func (l *limiter) observeOverload() {
	if !l.loweredForOverload {
		l.loweredForOverload = true
		l.forgetReduction()
		l.limit = math.Max(l.limit*overloadDecreaseFactor, 1)
	}
}

func (l *limiter) endWindow() {
	errorShare := float64(l.errorCount) / float64(l.latencyCount+l.errorCount)
	switch {
	case errorShare > errorShareTolerance:
		l.limit *= errorDecreaseFactor
		l.forgetReduction()
	case l.latencyCount > 0:
		l.adjustToLatency(l.latencySum / float64(l.latencyCount))
	}
	l.limit = math.Min(math.Max(l.limit, 1), l.slots)
	l.latencySum, l.latencyCount, l.errorCount, l.loweredForOverload = 0, 0, 0, false
}

// adjustToLatency adjusts the limit to the mean latency of a window, in nanoseconds.
func (l *limiter) adjustToLatency(meanLatency float64) {
	if l.baseLatency == 0 {
		l.baseLatency = meanLatency
	}
	gradient := latencyTolerance * l.baseLatency / meanLatency
	if gradient >= 1 {
		// The base latency follows with a weight of 0.1 per window.
		l.baseLatency += 0.1 * (meanLatency - l.baseLatency)
		if !l.loweredForOverload {
			l.limit += l.increasePerWindow()
		}
		if l.reduced && l.limit >= l.limitBefore {
			l.forgetReduction()
		}
		return
	}
	if l.reductionHadNoEffect(meanLatency) {
		l.limit, l.baseLatency = l.limitBefore, meanLatency
		l.forgetReduction()
		return
	}
	if l.limit <= 1 {
		// With one request at a time there is no contention, so the requests
		// themselves take longer. Without a new base the limit would stay at 1.
		l.baseLatency = meanLatency
		return
	}
	if !l.reduced {
		l.reduced, l.limitBefore = true, l.limit
	}
	if bound := l.concurrencyBound(); bound >= l.concurrencyBefore {
		l.concurrencyBefore, l.latencyBefore = bound, meanLatency
	}
	l.limit *= math.Max(gradient, minGradient)
}

func (l *limiter) concurrencyBound() float64 { return math.Min(l.limit, l.rampUpLimit) }

func (l *limiter) forgetReduction() {
	l.reduced, l.limitBefore, l.concurrencyBefore, l.latencyBefore = false, 0, 0, 0
}

// reductionHadNoEffect reports whether the latency is closer to that before the
// reduction than to one that is proportional to the concurrency.
func (l *limiter) reductionHadNoEffect(meanLatency float64) bool {
	share := l.concurrencyBound() / l.concurrencyBefore
	return l.reduced && share <= effectCheckShare && meanLatency > l.latencyBefore*(1+share)/2
}

func (l *limiter) increasePerWindow() float64 {
	if l.serverReportsQueue {
		return limitIncreasePerWindow / 2
	}
	return limitIncreasePerWindow
}

// movingAverage is an exponentially weighted mean over about
// limitWindowResponses samples.
type movingAverage struct {
	meanNanos float64
	count     int
}

func (a *movingAverage) add(d time.Duration) {
	a.count = min(a.count+1, limitWindowResponses)
	a.meanNanos += (float64(d) - a.meanNanos) / float64(a.count)
}

func (a *movingAverage) mean() time.Duration {
	return time.Duration(a.meanNanos)
}

// decayedSlotTime is a sum of slot times, in nanoseconds, that loses half of its
// value per slotTimeHalfLife.
type decayedSlotTime struct {
	value     float64
	updatedAt time.Duration
}

func (d *decayedSlotTime) add(now time.Duration, slotTime float64) {
	d.value = d.value*d.decayFactor(now) + slotTime
	d.updatedAt = now
}

func (d *decayedSlotTime) decayFactor(now time.Duration) float64 {
	return math.Exp2(-float64(now-d.updatedAt) / float64(slotTimeHalfLife))
}

// slotsInUse returns the average number of slots that the recently added slot time
// occupied, which is the rate of additions in nanoseconds per nanosecond.
func (d *decayedSlotTime) slotsInUse(now time.Duration) float64 {
	return d.value * d.decayFactor(now) * math.Ln2 / float64(slotTimeHalfLife)
}
