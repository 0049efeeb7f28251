package daemon

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/relay/commands"
	"parsleyrelay.example/relay/frontend"
	"parsleyrelay.example/relay/queries"
	"parsleyrelay.example/relay/telemetry"
	"parsleyrelay.example/relay/timeline"
)

// timelineCapacity is the number of events in the timeline of a daemon; they take about
// 3 MB.
const timelineCapacity = 16384

// eventSink passes events and results on to the timeline, the metrics, the change
// history and the commands that wait for a change.
type eventSink struct {
	logger              log.Logger
	clock               *event.HybridClock
	timeline            *telemetry.Timeline
	metrics             *telemetry.Metrics
	outcomes            *commands.OutcomeStore
	changeHistory       *queries.ChangeHistory
	undefinedMetricUses atomic.Uint64 // uses of an undefined metric, a programming error
}

func newEventSink(opts Options, clock *event.HybridClock) (*eventSink, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	s := &eventSink{
		logger: opts.Logger, clock: clock, metrics: metrics,
		timeline: telemetry.NewTimeline(opts.Host, opts.Zone, timelineCapacity, clock, opts.Logger),
		outcomes: commands.NewOutcomeStore(), changeHistory: queries.NewChangeHistory(),
	}
	if err := metrics.ObserveFunc(telemetry.MetricCPU, cpuSeconds); err != nil {
		return nil, err
	}
	err = metrics.ObserveFunc(telemetry.MetricTimelineOverwritten, func() float64 { return float64(s.timeline.OverwrittenEvents()) })
	return s, err
}

// libraryLogger returns a logger for libraries. It logs their errors as adapter_failed
// events and discards lower levels.
func libraryLogger(logger log.Logger) log.Logger {
	return log.With(level.NewFilter(logger, level.AllowError()), "event", int(event.AdapterFailed), "name", "adapter_failed")
}

// cpuSeconds returns the user and system time of the process.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// recordMetric records a value of a metric.
func (s *eventSink) recordMetric(name string, value float64, labels ...string) {
	series, err := s.metrics.Bind(name, labels...)
	if err != nil {
		s.undefinedMetricUses.Add(1)
		return
	}
	series.Record(value)
}

// Emit implements control.EventSink.
func (s *eventSink) Emit(e event.Event) { s.timeline.Emit(e) }

// LogRecordApplied implements control.EventSink.
func (s *eventSink) LogRecordApplied(outcome ownership.RecordOutcome) {
	s.outcomes.LogRecordApplied(outcome)
	s.changeHistory.LogRecordApplied(outcome)
	switch body := outcome.Entry.Record.Body.(type) {
	case record.ResourcePut, record.ResourceDelete:
		s.emitChangeOutcome(outcome)
	case record.SlicesMoved:
		if outcome.TookEffect {
			s.recordMetric(telemetry.MetricMovedKeyShare, movedKeyShare(body), body.Service, moveKind(body))
		}
	}
}

func (s *eventSink) emitChangeOutcome(outcome ownership.RecordOutcome) {
	e := event.Event{Code: event.ChangeAccepted, Offset: outcome.Entry.Offset, Detail: outcome.Reason}
	if !outcome.TookEffect {
		e.Code = event.ChangeRefused
	} else if age := time.Now().UnixMilli() - outcome.Entry.Record.WallTimeMS; age >= 0 && age < time.Minute.Milliseconds() {
		// Older records are read again at a start; their age is not the delay of a change.
		s.recordMetric(telemetry.MetricConfigEffectTime, float64(age)/1000)
	}
	s.Emit(e)
}

func movedKeyShare(b record.SlicesMoved) float64 {
	share := 0.0
	for _, m := range b.Moves {
		if m.From != m.To {
			share += (float64(m.Range.Last-m.Range.First) + 1) / (1 << 64)
		}
	}
	return share
}

// moveKind labels a move as planned if the former owner released the slices, else as
// forced.
func moveKind(b record.SlicesMoved) string {
	if b.Released {
		return "planned"
	}
	return "forced"
}

// RingOverflowed implements control.EventSink.
func (s *eventSink) RingOverflowed(ring string) {
	s.recordMetric(telemetry.MetricRingOverflows, 1, ring)
	s.Emit(event.Event{Code: event.RingOverflow, Detail: ring})
}

// emitAdapterFailure emits an event for an error that does not stop the daemon, although
// the failed operation may have ended.
func (s *eventSink) emitAdapterFailure(operation string, err error) {
	s.Emit(event.Event{Code: event.AdapterFailed, Detail: operation + ": " + err.Error()})
}

func (s *eventSink) recordAppend(_ int, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	s.recordMetric(telemetry.MetricLogAppends, 1, result)
}

// RequestEnded implements frontend.Observer.
func (s *eventSink) RequestEnded(req *frontend.Request, outcome callerapi.Outcome, reason callerapi.Reason, duration time.Duration) {
	if req.Forwarded {
		return // counted by the host that received it from the caller
	}
	s.recordMetric(telemetry.MetricRequests, 1, req.Service, req.RankName, string(outcome), string(reason))
	s.recordMetric(telemetry.MetricRequestTime, duration.Seconds(), req.Service, req.RankName, string(outcome))
	e := event.Event{Service: req.Service, RequestID: req.ID, KeyHash: fmt.Sprintf("%016x", req.KeyHash), Detail: string(reason)}
	switch {
	case outcome == callerapi.OutcomeUnknown:
		e.Code = event.RequestUnknown
	case reason == callerapi.ReasonReplayed:
		s.recordMetric(telemetry.MetricReplays, 1, req.Service)
		e.Code = event.RequestReplayed
	case outcome == callerapi.OutcomeNotRun && !isOverload(reason):
		e.Code = event.RequestRefused
	default:
		return
	}
	s.Emit(e)
}

// isOverload reports whether a refusal is due to overload. Such refusals come by the
// thousand: they are counted, but as events they would displace all others from the
// timeline.
func isOverload(reason callerapi.Reason) bool {
	switch reason {
	case callerapi.ReasonQueueFull, callerapi.ReasonQueueTimeout, callerapi.ReasonDeadlineTooShort,
		callerapi.ReasonPastDeadline, callerapi.ReasonOverloaded:
		return true
	}
	return false
}

// RequestRetried implements frontend.Observer.
func (s *eventSink) RequestRetried(req *frontend.Request, reason callerapi.Reason) {
	s.recordMetric(telemetry.MetricRetries, 1, req.Service, req.RankName)
	s.Emit(event.Event{
		Code: event.RequestRetried, Service: req.Service, RequestID: req.ID,
		KeyHash: fmt.Sprintf("%016x", req.KeyHash), Detail: string(reason),
	})
}

// RequestWaitedForRoute implements frontend.Observer.
func (s *eventSink) RequestWaitedForRoute(req *frontend.Request, waited time.Duration) {
	s.recordMetric(telemetry.MetricKeyUnavailableTime, waited.Seconds(), req.Service, req.RankName)
}

// recordQueueTime records the time that a request waited in a rank queue.
func (s *eventSink) recordQueueTime(req *frontend.Request, waited time.Duration) {
	s.recordMetric(telemetry.MetricQueueTime, waited.Seconds(), req.Service, req.RankName)
}

// selectEvents returns the events of the timeline that match the filter of a peer.
func (d *Daemon) selectEvents(r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	var filter timeline.Filter
	if r.FilterJson != "" {
		if err := json.Unmarshal([]byte(r.FilterJson), &filter); err != nil {
			return nil, err
		}
	}
	events, overwritten := d.sink.timeline.Select(filter, int(r.MaxEvents))
	data, err := json.Marshal(events)
	return &peerv1.TimelineResponse{Host: d.opts.Host, EventsJson: data, Overwritten: overwritten}, err
}
