package dispatch

import (
	"math"
	"time"
)

// Weights of the newest sample and the factor of the deviation: those of RFC 6298,
// which estimates the time after which a TCP segment counts as lost.
const (
	timeGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
)

// minTimes is the number of responses after which their times are used.
const minTimes = 16

// minUsual bounds the estimate where all responses take about the same time.
const minUsual = 250 * time.Millisecond

// responseTime estimates the response time of the requests of one rank.
type responseTime struct {
	count           int
	mean, deviation float64 // seconds
}

// noteTime takes the time of an attempt. One that was given up counts with the
// time that it had: without it the estimate would only know fast responses.
func (p *Pool) noteTime(r AttemptResult) {
	if r.Outcome != OK && r.Outcome != Slow {
		return
	}
	t := p.times[r.Rank]
	if t == nil {
		t = &responseTime{}
		p.times[r.Rank] = t
	}
	t.count++
	sample := r.Latency.Seconds()
	if t.count == 1 {
		t.mean, t.deviation = sample, sample/2
		return
	}
	t.deviation += deviationGain * (math.Abs(sample-t.mean) - t.deviation)
	t.mean += timeGain * (sample - t.mean)
}

// usual returns the time within which nearly all requests have their response; 0
// if too few did.
func (t *responseTime) usual() time.Duration {
	if t == nil || t.count < minTimes {
		return 0
	}
	return max(minUsual, seconds(t.mean+deviationFactor*t.deviation))
}
