package daemon

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/frontend"
)

// sink receives everything that log, timeline and metrics report.
type sink struct {
	logger     log.Logger
	host, zone string
	mu         sync.Mutex
	ring       []event.Event
}

func newSink(logger log.Logger, host, zone string) *sink {
	return &sink{logger: logger, host: host, zone: zone}
}

// Emit implements control.Events.
func (s *sink) Emit(e event.Event) {
	e.Host, e.Zone = s.host, s.zone
	data, _ := json.Marshal(e)
	_ = s.logger.Log("event", e.Code, "data", string(data))
}

// Folded implements control.Events.
func (s *sink) Folded(ownership.RecordFolded) {}

// Dropped implements control.Events.
func (s *sink) Dropped(ring string) {
	s.Emit(event.Event{Code: event.RingOverflow, Detail: ring})
}

func (s *sink) failure(what string, err error) {
	_ = s.logger.Log("msg", what, "err", err)
}

func (s *sink) appended(int) {}

func (s *sink) timeline(string, int) ([]event.Event, uint64) { return nil, 0 }

// RequestEnded implements frontend.Observer.
func (s *sink) RequestEnded(*frontend.Request, callerapi.Outcome, callerapi.Reason, time.Duration) {}

// RequestRetried implements frontend.Observer.
func (s *sink) RequestRetried(*frontend.Request, callerapi.Reason) {}

func (d *Daemon) operatorRoutes() http.Handler { return http.NotFoundHandler() }
func (d *Daemon) metricsRoutes() http.Handler  { return http.NotFoundHandler() }
