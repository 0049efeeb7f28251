package edge

import (
	"time"

	"parsleyrelay.example/core/cost"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/telemetry"
)

// costSummaryInterval is the least time between two log lines on the estimates of a service.
const costSummaryInterval = 10 * time.Second

// costFeatures returns the class by which the work of a request is estimated: the zero one
// without cost routing, and for a service with keys.
func (c *callerRequest) costFeatures() cost.Class {
	if c.edge.options.CostRouting == dispatch.CostRoutingOff || c.pool.keyed {
		return cost.Class{}
	}
	return cost.Classify(cost.Features{Route: c.route.Name, Method: c.request.Method, BodyBytes: c.request.PayloadSize(), Key: requestPath(c.request.RequestURI)})
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
