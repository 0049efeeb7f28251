// Package home runs requests on the backend servers whose home this daemon is.
// Each server has one goroutine that owns its admission queue, and an
// idempotency window.
package home

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/admission"
	"parsleyrelay.example/core/dedup"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/relay/frontend"
)

// Call is one request on its way to a server.
type Call struct {
	Server     string
	Spec       *resource.Server
	Request    *frontend.Request
	Term       uint64
	SubTerm    uint64
	Generation uint64
	Remaining  time.Duration // until the deadline
}

// FailureKind says what is known of a call without a response.
type FailureKind int

// The kinds of failure.
const (
	FailureNotSent    FailureKind = iota + 1 // no byte was written to a connection
	FailureRefused                           // the server refused under its fence; it did not run
	FailureOverload                          // the server refused for overload; it did not run
	FailureMayHaveRun                        // anything else
)

// Failure is the end of a call without a response.
type Failure struct {
	Kind FailureKind
	Err  error
}

// Backend sends calls to servers.
type Backend interface {
	// Do returns a response whose body ends with an error when it was cut.
	Do(ctx context.Context, call Call) (*frontend.Response, *Failure)
}

// Config holds what a Manager needs.
type Config struct {
	Views     frontend.ViewSource
	Backend   Backend
	Now       func() time.Duration // process time
	WallClock func() time.Time
	// OnRingOverflow counts a request that was refused because the ring to a server's
	// queue was full.
	OnRingOverflow func(ring string)
	// OnDispatch is told how long a request waited before it was dispatched.
	OnDispatch func(req *frontend.Request, waited time.Duration)
	// PolicyOff replaces ranks and floors by one FIFO queue. It exists as a
	// baseline for measurements.
	PolicyOff bool
}

// Manager holds the queues of all servers whose home this daemon is.
type Manager struct {
	cfg     Config
	mu      sync.Mutex
	queues  map[string]*queue
	stopped bool
	loads   *loads
}

// NewManager returns a manager without servers.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, queues: map[string]*queue{}, loads: newLoads()}
}

// Update makes the queues follow a view.
func (m *Manager) Update(view *ownership.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	for name, q := range m.queues {
		if server, ok := view.Servers[name]; !ok || !server.Local {
			q.stop()
			delete(m.queues, name)
		}
	}
	for name, server := range view.Servers {
		if !server.Local {
			continue
		}
		q := m.queues[name]
		if q == nil {
			q = newQueue(name, m.cfg, m.loads, queueConfig(view, server, m.cfg.PolicyOff))
			m.queues[name] = q
		}
		q.update(view, server)
	}
}

// Stop ends all queues. Requests that wait are given back to routing.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for name, q := range m.queues {
		q.stop()
		delete(m.queues, name)
	}
}

func (m *Manager) queue(server string) *queue {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.queues[server]
}

// Quiesce implements control.Homes.
func (m *Manager) Quiesce(server string, slice ownership.SliceRef, done func()) {
	q := m.queue(server)
	if q == nil {
		done()
		return
	}
	q.quiesce(slice.Range, done)
}

// Resume implements control.Homes.
func (m *Manager) Resume(server string, slice ownership.SliceRef) {
	if q := m.queue(server); q != nil {
		q.resume(slice.Range)
	}
}

// Execute implements frontend.LocalExecutor.
func (m *Manager) Execute(ctx context.Context, req *frontend.Request, route ownership.Route) (*frontend.Response, *frontend.RequestError) {
	q := m.queue(route.Server)
	if q == nil {
		return nil, frontend.RerouteError()
	}
	if req.Repeatable {
		return q.execute(ctx, req)
	}
	return q.executeOnce(ctx, req, route)
}

// AdmissionStats returns the admission state of a server, for status and metrics.
func (m *Manager) AdmissionStats(server string) (admission.Stats, bool) {
	q := m.queue(server)
	if q == nil {
		return admission.Stats{}, false
	}
	return q.stats()
}

// MeasureLoad returns the measured load of servers, slices and keys.
func (m *Manager) MeasureLoad(view *ownership.View) ownership.LoadMeasured {
	return m.loads.measure(m.cfg.Now(), view)
}

// ExportWindow returns the idempotency window of a slice for its next home. ok is
// false when a request of the slice is running or the slice is not active here.
func (m *Manager) ExportWindow(server string, slice ownership.SliceRef, origin dedup.OwnershipPeriod) (parts []dedup.TransferPart, ok bool) {
	q := m.queue(server)
	if q == nil {
		return nil, false
	}
	return q.export(slice.Range, origin)
}

// ImportWindowPart takes a part of a window from the former home of a slice that is about
// to move to server.
func (m *Manager) ImportWindowPart(server string, part dedup.TransferPart) bool {
	q := m.queue(server)
	return q != nil && q.importPart(part)
}

func queueConfig(view *ownership.View, server ownership.ServerView, policyOff bool) admission.Config {
	cfg := admission.Config{Slots: server.Spec.Slots}
	service, ok := view.Resources[resource.Key{Kind: resource.KindService, Name: server.Spec.Service}]
	if !ok {
		return cfg
	}
	for _, name := range service.Spec.(*resource.Service).Ranks {
		res, ok := view.Resources[resource.Key{Kind: resource.KindRank, Name: name}]
		if !ok {
			continue
		}
		rank := res.Spec.(*resource.Rank)
		cfg.Ranks = append(cfg.Ranks, admission.RankConfig{
			Name: name, Level: rank.Level, FloorPercent: rank.FloorPercent,
			MaxQueueLength: rank.MaxQueueLength,
			MaxQueueTime:   time.Duration(rank.MaxQueueMS) * time.Millisecond,
		})
	}
	if policyOff {
		return withoutPolicy(cfg)
	}
	setFloors(cfg.Ranks)
	return cfg
}

// setFloors orders the ranks by urgency and fills in the floors that operators
// left to the defaults.
func setFloors(ranks []admission.RankConfig) {
	slices.SortStableFunc(ranks, func(a, b admission.RankConfig) int { return a.Level - b.Level })
	for i := range ranks {
		switch ranks[i].FloorPercent {
		case 0:
			ranks[i].FloorPercent = resource.DefaultFloorPercent(i, len(ranks))
		case resource.NoFloor:
			ranks[i].FloorPercent = 0
		}
	}
}

// fifoRank is the only rank of a queue without policy.
const fifoRank = "fifo"

func withoutPolicy(cfg admission.Config) admission.Config {
	length := 0
	for _, r := range cfg.Ranks {
		if r.MaxQueueLength == 0 {
			r.MaxQueueLength = resource.DefaultMaxQueueLength
		}
		length += r.MaxQueueLength
	}
	cfg.Ranks = []admission.RankConfig{{Name: fifoRank, MaxQueueLength: length}}
	return cfg
}

func parseID(req *frontend.Request) (uuid.UUID, *frontend.RequestError) {
	id, err := uuid.Parse(req.IdempotencyKey)
	if err != nil {
		return id, &frontend.RequestError{
			Status: http.StatusBadRequest, Outcome: callerapi.NotRun, Reason: callerapi.ReasonBadID,
			Message: "header " + callerapi.HeaderID + ": " + err.Error(),
		}
	}
	return id, nil
}
