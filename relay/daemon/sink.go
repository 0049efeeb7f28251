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

// timelineEvents is the capacity of a daemon's timeline: about 3 MB.
const timelineEvents = 16384

// sink receives everything that log, timeline, metrics and waiting commands are
// told.
type sink struct {
	logger  log.Logger
	clock   *event.Clock
	events  *telemetry.Timeline
	metrics *telemetry.Metrics
	ledger  *commands.OutcomeStore
	history *queries.ChangeHistory
	unknown atomic.Uint64 // uses of a metric that is not defined; a programming error
}

func newSink(opts Options, clock *event.Clock) (*sink, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	s := &sink{
		logger: opts.Logger, clock: clock, metrics: metrics,
		events: telemetry.NewTimeline(opts.Host, opts.Zone, timelineEvents, clock, opts.Logger),
		ledger: commands.NewOutcomeStore(), history: queries.NewChangeHistory(),
	}
	if err := metrics.Observe(telemetry.MetricCPU, cpuSeconds); err != nil {
		return nil, err
	}
	err = metrics.Observe(telemetry.MetricTimelineLost, func() float64 { return float64(s.events.Overwritten()) })
	return s, err
}

// libraryLogger takes the errors of libraries as numbered events; what they say
// below that level is dropped.
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

// record writes to a metric.
func (s *sink) record(name string, value float64, labels ...string) {
	bound, err := s.metrics.Bind(name, labels...)
	if err != nil {
		s.unknown.Add(1)
		return
	}
	bound.Record(value)
}

// Emit implements control.EventSink.
func (s *sink) Emit(e event.Event) { s.events.Emit(e) }

// RecordApplied implements control.EventSink.
func (s *sink) RecordApplied(f ownership.RecordOutcome) {
	s.ledger.RecordApplied(f)
	s.history.RecordApplied(f)
	switch body := f.Positioned.Record.Body.(type) {
	case record.ResourcePut, record.ResourceDelete:
		s.noteChange(f)
	case record.SlicesMoved:
		if f.TookEffect {
			s.record(telemetry.MetricMovedShare, movedShare(body), body.Service, moveCause(body))
		}
	}
}

func (s *sink) noteChange(f ownership.RecordOutcome) {
	e := event.Event{Code: event.ChangeAccepted, Offset: f.Positioned.Offset, Detail: f.Reason}
	if !f.TookEffect {
		e.Code = event.ChangeRefused
	} else if age := time.Now().UnixMilli() - f.Positioned.Record.WallTimeMS; age >= 0 && age < time.Minute.Milliseconds() {
		// Older records are read again at a start and say nothing about the delay.
		s.record(telemetry.MetricConfigurationIn, float64(age)/1000)
	}
	s.Emit(e)
}

func movedShare(b record.SlicesMoved) float64 {
	share := 0.0
	for _, m := range b.Moves {
		if m.From != m.To {
			share += (float64(m.Range.Last-m.Range.First) + 1) / (1 << 64)
		}
	}
	return share
}

func moveCause(b record.SlicesMoved) string {
	if b.Released {
		return "planned"
	}
	return "forced"
}

// QueueOverflowed implements control.EventSink.
func (s *sink) QueueOverflowed(ring string) {
	s.record(telemetry.MetricRingOverflows, 1, ring)
	s.Emit(event.Event{Code: event.RingOverflow, Detail: ring})
}

// failure reports an error of an adapter that goes on.
func (s *sink) failure(what string, err error) {
	s.Emit(event.Event{Code: event.AdapterFailed, Detail: what + ": " + err.Error()})
}

func (s *sink) appended(_ int, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	s.record(telemetry.MetricLogAppends, 1, result)
}

// RequestEnded implements frontend.Observer.
func (s *sink) RequestEnded(req *frontend.Request, outcome callerapi.Outcome, reason callerapi.Reason, took time.Duration) {
	if req.Forwarded {
		return // counted at the host that the caller reached
	}
	s.record(telemetry.MetricRequests, 1, req.Service, req.RankName, string(outcome), string(reason))
	s.record(telemetry.MetricLatency, took.Seconds(), req.Service, req.RankName, string(outcome))
	e := event.Event{Service: req.Service, RequestID: req.ID, KeyHash: fmt.Sprintf("%016x", req.KeyHash), Detail: string(reason)}
	switch {
	case outcome == callerapi.Unknown:
		e.Code = event.RequestUnknown
	case reason == callerapi.ReasonReplayed:
		s.record(telemetry.MetricReplays, 1, req.Service)
		e.Code = event.RequestReplayed
	case outcome == callerapi.NotRun && !overload(reason):
		e.Code = event.RequestRefused
	default:
		return
	}
	s.Emit(e)
}

// overload reports refusals that come by the thousand in a flood; they are
// counted but would push everything else out of the timeline.
func overload(reason callerapi.Reason) bool {
	switch reason {
	case callerapi.ReasonQueueFull, callerapi.ReasonQueueTimeout, callerapi.ReasonDeadlineTooShort,
		callerapi.ReasonPastDeadline, callerapi.ReasonOverloaded:
		return true
	}
	return false
}

// RequestRetried implements frontend.Observer.
func (s *sink) RequestRetried(req *frontend.Request, reason callerapi.Reason) {
	s.record(telemetry.MetricRetries, 1, req.Service, req.RankName)
	s.Emit(event.Event{
		Code: event.RequestRetried, Service: req.Service, RequestID: req.ID,
		KeyHash: fmt.Sprintf("%016x", req.KeyHash), Detail: string(reason),
	})
}

// RequestWaitedForRoute implements frontend.Observer.
func (s *sink) RequestWaitedForRoute(req *frontend.Request, waited time.Duration) {
	s.record(telemetry.MetricUnavailable, waited.Seconds(), req.Service, req.RankName)
}

// queued counts the time that a request waited in a rank queue.
func (s *sink) queued(req *frontend.Request, waited time.Duration) {
	s.record(telemetry.MetricQueueTime, waited.Seconds(), req.Service, req.RankName)
}

// timeline answers a peer's question.
func (d *Daemon) timeline(r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	var filter timeline.Filter
	if r.FilterJson != "" {
		if err := json.Unmarshal([]byte(r.FilterJson), &filter); err != nil {
			return nil, err
		}
	}
	events, overwritten := d.sink.events.Select(filter, int(r.MaxEvents))
	data, err := json.Marshal(events)
	return &peerv1.TimelineResponse{Host: d.opts.Host, EventsJson: data, Overwritten: overwritten}, err
}
