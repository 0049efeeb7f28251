package edge

import (
	"math"
	"time"

	"parsleyrelay.example/core/cost"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/telemetry"
)

// costSummaryInterval is the least time between two log lines on the estimates of a service.
const costSummaryInterval = 10 * time.Second

// costFeatures returns the class by which the work of a request is estimated: the zero one
// without cost routing.
func (c *callerRequest) costFeatures() cost.Class {
	if c.edge.options.CostRouting == dispatch.CostRoutingOff {
		return cost.Class{}
	}
	f := cost.Features{Route: c.route.Name, Method: c.request.Method, BodyBytes: c.request.PayloadSize()}
	if c.keyed {
		f.Key = c.request.Header.Get(c.edge.options.Headers.Key)
	} else {
		f.Key = requestPath(c.request.RequestURI)
	}
	return cost.Classify(f)
}

// toCostMillis converts work in seconds to that of a load report. Work above 0 is at least 1.
func toCostMillis(work float64) uint16 {
	if work <= 0 {
		return 0
	}
	return uint16(min(max(work*1000+0.5, 1), math.MaxUint16))
}

// maxCostRatio bounds the conversion of latencies to those of requests of mean cost.
const maxCostRatio = 5

// meanCostLatency converts the latency of the present attempt to that of a request of mean
// cost, as estimated when it was sent.
func (c *callerRequest) meanCostLatency(latency time.Duration) time.Duration {
	ratio := c.placement.CostRatio()
	if ratio == 0 {
		return latency
	}
	return time.Duration(float64(latency) / min(max(ratio, 1.0/maxCostRatio), maxCostRatio))
}

// costReporter logs and measures the estimates of one service. The mutex of its servicePool
// has to be held.
type costReporter struct {
	edge     *Edge
	service  string
	active   bool
	nextTime time.Duration
}

// report logs the start of cost routing, and a summary each costSummaryInterval. It is called
// after each attempt.
func (r *costReporter) report(now time.Duration, p *dispatch.Pool) {
	if !p.CostRoutingActive() || r.active && now < r.nextTime {
		return
	}
	journal := r.edge.options.Journal
	r.nextTime = now + costSummaryInterval
	if !r.active {
		r.active = true
		journal.LogEvent(event.CostRoutingStarted, "service", r.service)
		return
	}
	s, inFlight, _ := p.TakeCostSummary()
	journal.LogEvent(event.CostsSummed, "service", r.service, "samples", s.Samples, "estimated_ms", milliseconds(s.Estimated), "actual_ms", milliseconds(s.Actual),
		"error_ratio", round(s.ErrorRatio), "in_flight_ms", milliseconds(inFlight),
		"route", round(s.Route), "size", round(s.Size), "key", round(s.Key), "speed", round(s.Speed))
	r.edge.recordMetric(telemetry.MetricCostErrorRatio, s.ErrorRatio, r.service)
	r.edge.recordMetric(telemetry.MetricWorkInFlight, inFlight, r.service)
}

func milliseconds(seconds float64) int64 { return int64(seconds * 1000) }

// round cuts a figure for a log line to two decimals.
func round(v float64) float64 { return float64(int64(v*100+0.5)) / 100 }
