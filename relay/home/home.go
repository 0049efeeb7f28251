// Package home runs requests on the backend servers whose home is this daemon:
// the home of a server is the one daemon that may dispatch requests to it. For
// each server there is an admission queue, owned by one goroutine, and a window of
// idempotency keys that deduplicates requests.
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

// Call is a request to a server, with the term, sub-term and generation by which
// the server detects requests of a former home.
type Call struct {
	Server     string
	Spec       *resource.Server
	Request    *frontend.Request
	Term       uint64
	SubTerm    uint64
	Generation uint64
	Remaining  time.Duration // until the deadline
}

// FailureKind classifies a call that got no response by whether it may have run.
type FailureKind int

// The kinds of failure.
const (
	FailureNotSent    FailureKind = iota + 1 // no byte was written to the server
	FailureRefused                           // the server refused it, such as for a missing grant; it did not run
	FailureOverload                          // the server is overloaded; it did not run
	FailureMayHaveRun                        // all other failures, such as a lost connection
)

// Failure is the error of a call that got no response.
type Failure struct {
	Kind FailureKind
	Err  error
}

// Backend sends calls to servers.
type Backend interface {
	// Do returns the response of the server. Reading its body fails with an error
	// if the response is truncated.
	Do(ctx context.Context, call Call) (*frontend.Response, *Failure)
}

// Config holds what a Manager needs.
type Config struct {
	Views     frontend.ViewSource
	Backend   Backend
	Now       func() time.Duration // monotonic, since the start of the process
	WallClock func() time.Time
	// OnEventQueueFull is called when a request is refused because the event queue of
	// a server is full. The name of the queue is "queue:" and the name of the server.
	OnEventQueueFull func(queueName string)
	// OnDispatch is called when a request is dispatched, with its time in the queue.
	OnDispatch func(req *frontend.Request, waited time.Duration)
	// PolicyOff replaces the ranks and their floors by a single FIFO queue, as a
	// baseline for measurements.
	PolicyOff bool
}

// Manager holds the queues of all servers whose home is this daemon.
type Manager struct {
	cfg       Config
	mu        sync.Mutex
	queues    map[string]*serverQueue
	stopped   bool
	loadMeter *loadMeter
}

// NewManager returns a manager without servers.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, queues: map[string]*serverQueue{}, loadMeter: newLoadMeter()}
}

// Update creates, reconfigures and stops queues according to a new view.
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
			q = newQueue(name, m.cfg, m.loadMeter, admissionConfig(view, server, m.cfg.PolicyOff))
			m.queues[name] = q
		}
		q.update(view, server)
	}
}

// Stop stops all queues. Waiting requests are returned for rerouting.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for name, q := range m.queues {
		q.stop()
		delete(m.queues, name)
	}
}

func (m *Manager) queueOf(server string) *serverQueue {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.queues[server]
}

// Quiesce stops dispatching requests of a slice and calls done once none of them is
// in flight, or at once if the server has no queue here.
func (m *Manager) Quiesce(server string, slice ownership.SliceRef, done func()) {
	q := m.queueOf(server)
	if q == nil {
		done()
		return
	}
	q.quiesce(slice.Range, done)
}

// Resume dispatches requests of a slice again after Quiesce.
func (m *Manager) Resume(server string, slice ownership.SliceRef) {
	if q := m.queueOf(server); q != nil {
		q.resume(slice.Range)
	}
}

// Execute implements frontend.LocalExecutor.
func (m *Manager) Execute(ctx context.Context, req *frontend.Request, route ownership.Route) (*frontend.Response, *frontend.RequestError) {
	q := m.queueOf(route.Server)
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
	q := m.queueOf(server)
	if q == nil {
		return admission.Stats{}, false
	}
	return q.admissionStats()
}

// MeasureLoad returns the measured load of servers, slices and keys. Each call also
// removes the load of servers and slices that are no longer in a view.
func (m *Manager) MeasureLoad(view *ownership.View) ownership.LoadMeasured {
	return m.loadMeter.measure(m.cfg.Now(), view)
}

// ExportWindow returns the idempotency keys of a slice for its next home. period is
// the ownership period that ends with the move, by which the next home identifies the
// export. ok is false if a request of the slice is running or the slice is not active
// here.
func (m *Manager) ExportWindow(server string, slice ownership.SliceRef, period dedup.OwnershipPeriod) (parts []dedup.TransferPart, ok bool) {
	q := m.queueOf(server)
	if q == nil {
		return nil, false
	}
	return q.exportWindow(slice.Range, period)
}

// ImportWindowPart adds idempotency keys that the former home exported of a slice
// that is about to move to server.
func (m *Manager) ImportWindowPart(server string, part dedup.TransferPart) bool {
	q := m.queueOf(server)
	return q != nil && q.importWindowPart(part)
}

func admissionConfig(view *ownership.View, server ownership.ServerView, policyOff bool) admission.Config {
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
		return fifoConfig(cfg)
	}
	sortRanksAndSetFloors(cfg.Ranks)
	return cfg
}

// sortRanksAndSetFloors sorts the ranks by urgency and sets the default floor, the
// share of slots guaranteed to a rank, where the operator configured none.
func sortRanksAndSetFloors(ranks []admission.RankConfig) {
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

// fifoRank is the only rank of a queue with Config.PolicyOff.
const fifoRank = "fifo"

func fifoConfig(cfg admission.Config) admission.Config {
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

func parseIdempotencyKey(req *frontend.Request) (uuid.UUID, *frontend.RequestError) {
	id, err := uuid.Parse(req.IdempotencyKey)
	if err != nil {
		return id, &frontend.RequestError{
			Status: http.StatusBadRequest, Outcome: callerapi.OutcomeNotRun, Reason: callerapi.ReasonBadID,
			Message: "header " + callerapi.HeaderIdempotencyKey + ": " + err.Error(),
		}
	}
	return id, nil
}
