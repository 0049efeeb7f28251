// Package edge answers callers' requests at an entry host: it selects route and
// service, waits for a backend server with room, sends the request to it, and
// decides what the caller is told.
package edge

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/retry"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
	"parsleyrelay.example/relay/upstream"
)

// Headers names the headers that callers and servers use, in canonical form.
type Headers struct {
	RequestID    string // of one attempt of a caller; echoed by the server
	Deadline     string // milliseconds that are left
	TargetServer string // id of the only server that may run the request
	ServerLoad   string // running, waiting and slots, separated by commas
	NotExecuted  string // present if the server did not run the request
	Key          string // number of the request's key
	Signature    string // of a server's response
	ServerID     string
}

// RetryBudget is the budget of a deployment for arrivals beyond the first.
type RetryBudget struct {
	Ratio     float64 // of the requests
	Slack     float64 // per window, of all hosts
	Window    time.Duration
	HostCount int // that share the slack, until SetHostCount is called
}

// Options configure an Edge.
type Options struct {
	Host    string
	Zone    string
	Headers Headers
	Budget  RetryBudget
	Journal *telemetry.Journal
	Metrics *telemetry.Metrics
	Client  *upstream.Client
}

// Edge handles requests. It is safe for concurrent use.
type Edge struct {
	options  Options
	start    time.Time
	table    atomic.Pointer[routes.Table]
	view     atomic.Pointer[AssignmentView]
	splitter *routes.Splitter

	mu      sync.Mutex
	pools   map[string]*pool // by service
	servers map[string]directory.Server
	bound   sync.Map // metric and labels: telemetry.Bound

	reportMu sync.Mutex
	report   LoadReport
}

// LoadReport is what the leader learns of the requests for keyed services since the
// last report.
type LoadReport struct {
	RequestedKeys map[string][]uint16    // asked for, by service
	ServiceTimes  map[string]ServiceTime // by server
}

// ServiceTime sums up the responses of a server that had no queue.
type ServiceTime struct {
	Count int
	Sum   time.Duration
}

// maxArrivals bounds the keys of a service in one report.
const maxArrivals = 512

// arrived notes the key of a request.
func (e *Edge) arrived(service string, key uint16) {
	e.reportMu.Lock()
	defer e.reportMu.Unlock()
	if e.report.RequestedKeys == nil {
		e.report.RequestedKeys = map[string][]uint16{}
	}
	if len(e.report.RequestedKeys[service]) < maxArrivals {
		e.report.RequestedKeys[service] = append(e.report.RequestedKeys[service], key)
	}
}

// served notes the service time of a response of a keyed server.
func (e *Edge) served(server string, d time.Duration) {
	e.reportMu.Lock()
	defer e.reportMu.Unlock()
	if e.report.ServiceTimes == nil {
		e.report.ServiceTimes = map[string]ServiceTime{}
	}
	t := e.report.ServiceTimes[server]
	e.report.ServiceTimes[server] = ServiceTime{Count: t.Count + 1, Sum: t.Sum + d}
}

// TakeLoadReport returns the report since the last call.
func (e *Edge) TakeLoadReport() LoadReport {
	e.reportMu.Lock()
	defer e.reportMu.Unlock()
	taken := e.report
	e.report = LoadReport{}
	return taken
}

// AssignmentView is the assignment that requests follow.
type AssignmentView struct {
	Map   *assignment.Map
	since map[string]map[uint16]time.Duration // service, first key: since when a range moves
}

// New returns an Edge that knows no configuration.
func New(o Options) *Edge {
	return &Edge{options: o, start: time.Now(), splitter: routes.NewSplitter(), pools: map[string]*pool{}}
}

func (e *Edge) now() time.Duration { return time.Since(e.start) }

// Limits returns the limits in force.
func (e *Edge) Limits() routes.Limits {
	t := e.table.Load()
	if t == nil {
		return ingress.DefaultLimits
	}
	l, d := t.Config.Limits, ingress.DefaultLimits
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = d.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = d.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = d.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = d.IdleTimeout
	}
	return l
}

// SetHostCount sets the number of hosts that share the retry budget's slack.
func (e *Edge) SetHostCount(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n < 1 || n == e.options.Budget.HostCount {
		return
	}
	e.options.Budget.HostCount = n
	for _, p := range e.pools {
		p.setSlack(e.slack())
	}
}

// slack is this host's part of the budget's slack.
func (e *Edge) slack() float64 {
	return e.options.Budget.Slack / float64(max(1, e.options.Budget.HostCount))
}

// Configure puts a configuration in force. It returns false if the one in force
// is as new.
func (e *Edge) Configure(c routes.Config) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.table.Load(); t != nil && t.Config.Version >= c.Version {
		return false
	}
	e.table.Store(routes.NewTable(c))
	e.record(telemetry.MetricConfigVersion, float64(c.Version))
	for name := range c.Services {
		e.poolLocked(name)
	}
	e.spread()
	return true
}

// ConfigVersion returns the version of the configuration in force; 0 for none.
func (e *Edge) ConfigVersion() uint64 {
	if t := e.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// mapVersion is the offset after the record of the assignment that requests
// follow; 0 for none.
func (e *Edge) mapVersion() uint64 {
	if v := e.view.Load(); v != nil {
		return v.Map.NextOffset
	}
	return 0
}

// Ready says whether the host can serve requests.
func (e *Edge) Ready() bool {
	if e.table.Load() == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.servers) > 0
}

// SetServers replaces the known servers.
func (e *Edge) SetServers(servers map[string]directory.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers = maps.Clone(servers)
	e.spread()
}

// spread hands the servers to the pools of their services. The owner of keys is
// kept in its pool while it drains, until its keys have moved.
func (e *Edge) spread() {
	lists := map[string][]dispatch.Server{}
	for _, s := range e.servers {
		if s.Draining {
			continue
		}
		lists[s.Service] = append(lists[s.Service], dispatch.Server{ID: s.ID, Address: s.Address, Zone: s.Zone, Slots: s.Slots, Cold: s.Cold})
	}
	for name, p := range e.pools {
		p.setServers(lists[name])
	}
}

// SetAssignment replaces the assignment that requests follow.
func (e *Edge) SetAssignment(m *assignment.Map) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, now := e.view.Load(), e.now()
	v := &AssignmentView{Map: m, since: map[string]map[uint16]time.Duration{}}
	for service, ranges := range m.Services {
		since := map[uint16]time.Duration{}
		for i := range ranges {
			r := &ranges[i]
			if !r.IsMoving() {
				continue
			}
			since[r.From] = now
			if old == nil {
				continue
			}
			if t, ok := old.since[service][r.From]; ok {
				since[r.From] = t
			}
		}
		v.since[service] = since
	}
	e.view.Store(v)
	for _, p := range e.pools {
		p.poke()
	}
}

// owner returns the id of the server that holds a key of a service.
func (e *Edge) owner(service string, key uint16) (string, time.Duration) {
	v := e.view.Load()
	if v == nil {
		return "", 0
	}
	r := v.Map.FindRange(service, key)
	if r == nil {
		return "", 0
	}
	if r.IsMoving() {
		return "", v.since[service][r.From]
	}
	return r.Owner.ID, 0
}

func (e *Edge) pool(service string) *pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.poolLocked(service)
}

func (e *Edge) poolLocked(service string) *pool {
	p := e.pools[service]
	keyed := false
	if t := e.table.Load(); t != nil {
		keyed = t.Config.Services[service].Keyed
	}
	if p == nil || p.keyed != keyed {
		p = newPool(e, service, keyed)
		e.pools[service] = p
	}
	return p
}

func refusal(status int, after time.Duration) *ingress.Response {
	h := http.Header{}
	if after > 0 {
		h.Set("Retry-After", formatSeconds(after))
	}
	return &ingress.Response{Status: status, Header: h}
}

// pool guards a dispatch.Pool and wakes it while requests wait.
type pool struct {
	keyed bool

	mu     sync.Mutex
	pool   *dispatch.Pool
	budget retry.HostBudget
	timer  bool
	clock  func() time.Duration
}

func newPool(e *Edge, service string, keyed bool) *pool {
	p := &pool{keyed: keyed, clock: e.now}
	var owner dispatch.HolderLookup
	if keyed {
		owner = func(key uint16) (string, time.Duration) { return e.owner(service, key) }
	}
	p.pool = dispatch.NewPool(e.options.Host, e.options.Zone, owner)
	p.budget = retry.HostBudget{Ratio: e.options.Budget.Ratio, Slack: e.slack(), Window: e.options.Budget.Window}
	return p
}

func (p *pool) setServers(list []dispatch.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.SetServers(p.clock(), list)
}

func (p *pool) setSlack(slack float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Slack = slack
}

func (p *pool) poke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Dispatch(p.clock())
}

// submit queues a request; the verdict arrives on the channel. The returned
// function gives the place up and must be called if no verdict was taken.
func (p *pool) submit(r dispatch.Request) (<-chan dispatch.Decision, func()) {
	verdict := make(chan dispatch.Decision, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	cancel := p.pool.Submit(p.clock(), r, func(v dispatch.Decision) { verdict <- v })
	p.schedule()
	return verdict, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		cancel()
		select {
		case v := <-verdict:
			if v.Reason == "" {
				p.pool.ReportResult(p.clock(), v.Server.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
			}
		default:
		}
	}
}

// schedule wakes the pool while requests wait; it holds p.mu.
func (p *pool) schedule() {
	now := p.clock()
	at, waiting := p.pool.NextDispatch(now)
	if !waiting || p.timer {
		return
	}
	p.timer = true
	time.AfterFunc(at-now, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.timer = false
		p.pool.Dispatch(p.clock())
		p.schedule()
	})
}

func (p *pool) done(id string, r dispatch.AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.ReportResult(p.clock(), id, r)
}

// takeForRetry takes a server that has room now and an attempt of the retry
// budget, or neither.
func (p *pool) takeForRetry(r dispatch.Request) (dispatch.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	v, ok := p.pool.TryAcquire(now, r)
	if ok && !p.budget.TryReserve(now) {
		p.pool.ReportResult(now, v.Server.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
		return dispatch.Decision{}, false
	}
	return v, ok
}

func (p *pool) failing(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.ConnectionsKeepFailing(id)
}

func (p *pool) firstArrival() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordRequest(p.clock())
}

func (p *pool) takeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TryReserve(p.clock())
}
