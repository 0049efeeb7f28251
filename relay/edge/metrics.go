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

// Outcomes in metrics.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	outcomeInvalid = "invalid" // no route or no request id
	noService      = "none"
)

// count records a request that has been answered. j is nil if it had no route.
func (e *Edge) count(j *job, r *ingress.Request, a *ingress.Response) {
	service, rank, reason := noService, "", ""
	if j != nil {
		service, rank, reason = j.service, strconv.Itoa(j.route.Rank), j.reason
	}
	outcome := outcomeUnknown
	switch {
	case a.Abort:
	case a.Status == http.StatusServiceUnavailable && reason != "" || j == nil && a.Status == http.StatusServiceUnavailable:
		outcome = outcomeNotRun
	case j == nil:
		outcome = outcomeInvalid
	case reason == "":
		outcome = outcomeDone
	}
	e.record(telemetry.MetricRequests, 1, service, rank, outcome, reason)
	e.record(telemetry.MetricLatency, time.Since(r.ReceivedAt).Seconds(), service, rank, outcome)
}

// record adds to a metric. Metrics are bound once for each set of labels.
func (e *Edge) record(name string, value float64, labels ...string) {
	if e.options.Metrics == nil {
		return
	}
	key := name + "|" + strings.Join(labels, "|")
	bound, ok := e.bound.Load(key)
	if !ok {
		b, err := e.options.Metrics.Bind(name, labels...)
		if err != nil {
			e.options.Journal.Routine(event.AdapterFailed, "operation", "bind metric", "error", err)
			return
		}
		bound, _ = e.bound.LoadOrStore(key, b)
	}
	bound.(telemetry.Bound).Record(value)
}
