package dispatch

import (
	"math"
	"time"
)

// The estimate uses the parameters of TCP's retransmission timeout (RFC 6298): the
// weights of the newest sample in the mean and in the mean deviation, and the number
// of deviations that are added to the mean.
const (
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
)

// minSamples is the number of responses below which there is no estimate.
const minSamples = 16

// minLatencyBound is the lower limit of the estimate. It matters where all responses
// take about the same time, so that the deviation is close to 0.
const minLatencyBound = 250 * time.Millisecond

// latencyEstimate holds the mean and the mean deviation of the latency of the
// attempts of one rank.
type latencyEstimate struct {
	count           int
	mean, deviation float64 // seconds
}

// recordLatency adds the latency of an attempt. An attempt that was abandoned as
// slow counts with the time until then; without these the estimate would be based
// on fast responses only.
func (p *Pool) recordLatency(r AttemptResult) {
	if r.Outcome != OK && r.Outcome != Slow {
		return
	}
	estimate := p.latencyEstimates[r.Rank]
	if estimate == nil {
		estimate = &latencyEstimate{}
		p.latencyEstimates[r.Rank] = estimate
	}
	estimate.count++
	sample := r.Latency.Seconds()
	if estimate.count == 1 {
		estimate.mean, estimate.deviation = sample, sample/2
		return
	}
	estimate.deviation += deviationGain * (math.Abs(sample-estimate.mean) - estimate.deviation)
	estimate.mean += meanGain * (sample - estimate.mean)
}

// latencyBound returns the time within which nearly all requests get their response,
// or 0 with fewer than minSamples responses.
func (t *latencyEstimate) latencyBound() time.Duration {
	if t == nil || t.count < minSamples {
		return 0
	}
	return max(minLatencyBound, secondsToDuration(t.mean+deviationFactor*t.deviation))
}
