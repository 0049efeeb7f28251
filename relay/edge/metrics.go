package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
)

// Label values of request metrics: the outcomes, and the service of requests
// without a route.
const (
	metricOutcomeDone    = "done"
	metricOutcomeNotRun  = "not-run"
	metricOutcomeUnknown = "unknown"
	metricOutcomeInvalid = "invalid" // no route or no request id
	metricNoService      = "none"    // service label
)

// recordRequestMetrics counts an answered request and its latency. c is nil if the
// request was not forwarded.
func (e *Edge) recordRequestMetrics(c *callerRequest, r *ingress.Request, response *ingress.Response) {
	service, rank, reason := metricNoService, "", ""
	if c != nil {
		service, rank, reason = c.service, strconv.Itoa(c.route.Rank), c.failureReason
	}
	outcome := metricOutcomeUnknown
	switch {
	case response.Abort:
	case response.Status == http.StatusServiceUnavailable && reason != "" || c == nil && response.Status == http.StatusServiceUnavailable:
		outcome = metricOutcomeNotRun
	case c == nil:
		outcome = metricOutcomeInvalid
	case reason == "":
		outcome = metricOutcomeDone
	}
	e.recordMetric(telemetry.MetricRequests, 1, service, rank, outcome, reason)
	e.recordMetric(telemetry.MetricRequestTime, time.Since(r.ReceivedAt).Seconds(), service, rank, outcome)
}

// recordMetric records a value. A metric is bound once for each set of labels.
func (e *Edge) recordMetric(name string, value float64, labels ...string) {
	if e.options.Metrics == nil {
		return
	}
	key := name + "|" + strings.Join(labels, "|")
	bound, ok := e.boundMetrics.Load(key)
	if !ok {
		b, err := e.options.Metrics.Bind(name, labels...)
		if err != nil {
			e.options.Journal.LogRoutineEvent(event.AdapterFailed, "operation", "bind metric", "error", err)
			return
		}
		bound, _ = e.boundMetrics.LoadOrStore(key, b)
	}
	bound.(telemetry.BoundMetric).Record(value)
}
