// Package edge answers callers' requests at an entry host: it selects the
// route and service, waits for a backend server with free capacity, forwards the
// request to it, and decides whether to retry and which response the caller gets.
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
	"parsleyrelay.example/core/egress"
	"parsleyrelay.example/core/retry"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/ingress"
	"parsleyrelay.example/relay/telemetry"
	"parsleyrelay.example/relay/upstream"
)

// Headers names the headers that callers and servers use, in canonical form.
type Headers struct {
	RequestID    string // id that the caller sets anew for each of its attempts; the host's retries keep it and the server returns it
	Deadline     string // remaining time in milliseconds
	TargetServer string // id of the only server that may run the request
	ServerLoad   string // numbers of running requests, waiting requests and slots, separated by commas
	NotExecuted  string // present if the server did not run the request
	Key          string // number of the request's key
	Signature    string // signature of the server's response
	ServerID     string // id of the server that answered
	// ServerLeaving is 1 in the responses of a server that leaves.
	ServerLeaving string
	// RetryAfter is, in a response with status 503, the time in seconds in which the server
	// wants no requests from this host.
	RetryAfter string
}

// RetryBudget limits the retries of a whole deployment: the requests that reach
// servers in addition to the first attempt of each.
type RetryBudget struct {
	Ratio     float64 // retries per request
	Slack     float64 // retries per window beyond the ratio, summed over all hosts
	Window    time.Duration
	HostCount int // hosts that share the slack, until SetHostCount is called
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
	// Now is the clock of directory.Server.PausedUntil; nil for the time since New.
	Now func() time.Duration
	// StateAge returns the age of the state by which requests are routed, for the log; nil if
	// it is not known.
	StateAge func() time.Duration
	// MayDecide reports whether the state is young enough to decide on a request; nil for always.
	MayDecide func() bool
	// OnSignal is called with news that a response has of its server, before the response
	// is passed on; nil if nobody listens.
	OnSignal func(Signal)
	// CostRouting says whether requests are placed by their estimated cost.
	CostRouting dispatch.CostRouting
	// Link describes the host's network link and the memory for downloads. Without a speed
	// downloads are treated like all requests.
	Link   egress.Config
	Warmup Warmup // limit for cold servers
}

// Edge handles requests. It is safe for concurrent use.
type Edge struct {
	options    Options
	startedAt  time.Duration // by Options.Now
	routeTable atomic.Pointer[routes.Table]
	assignment atomic.Pointer[AssignmentView]
	splitter   *routes.Splitter

	servers atomic.Pointer[map[string]directory.Server] // known servers by id; the map is not changed

	mu           sync.Mutex
	pools        map[string]*servicePool // by service
	boundMetrics sync.Map                // metric name and labels to telemetry.BoundMetric
	permits      *permits

	link *hostLink // nil if its speed is not known

	stopOnce    sync.Once
	stopSending chan struct{} // closed by StopSending

	loadReportMu sync.Mutex
	loadReport   LoadReport
	// loadReportBegun is the time of the last take, or of the first record after a drop.
	loadReportBegun time.Duration
}

// AssignmentView is the assignment map by which requests are routed to key
// holders.
type AssignmentView struct {
	Map           *assignment.Map
	moveStartedAt map[string]map[uint16]time.Duration // start of the move of each moving range, by service and first key
}

// New returns an Edge without configuration, servers or assignment.
func New(o Options) *Edge {
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	e := &Edge{options: o, link: newHostLink(o.Link, o.Now), startedAt: o.Now(), splitter: routes.NewSplitter(), pools: map[string]*servicePool{}, stopSending: make(chan struct{})}
	e.permits = newPermits(e)
	return e
}

// now returns the time since the Edge was created. All points in time of type
// time.Duration in this package and in its dispatch pools count from there.
func (e *Edge) now() time.Duration { return e.options.Now() - e.startedAt }

// stateAge returns Options.StateAge, or 0 if it is not known.
func (e *Edge) stateAge() time.Duration {
	if e.options.StateAge == nil {
		return 0
	}
	return e.options.StateAge()
}

// Limits returns the configured limits, with defaults for those that are not set.
func (e *Edge) Limits() routes.Limits {
	t := e.routeTable.Load()
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
		p.setHostCount(n, e.slackPerHost())
	}
}

// slackPerHost returns this host's part of the retry budget's slack.
func (e *Edge) slackPerHost() float64 {
	return e.options.Budget.Slack / float64(max(1, e.options.Budget.HostCount))
}

// SetAdmittedShares sets the share of the requests that this host may queue for each
// overloaded server, by server id.
func (e *Edge) SetAdmittedShares(shares map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.setAdmittedShares(shares)
	}
}

// Configure applies a configuration. It returns false if the current one has the
// same or a newer version.
func (e *Edge) Configure(c routes.Config) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.routeTable.Load(); t != nil && t.Config.Version >= c.Version {
		return false
	}
	e.routeTable.Store(routes.NewTable(c))
	e.recordMetric(telemetry.MetricConfigVersion, float64(c.Version))
	for name := range c.Services {
		e.poolForLocked(name)
	}
	e.distributeServersLocked()
	return true
}

// ConfigVersion returns the version of the current configuration; 0 for none.
func (e *Edge) ConfigVersion() uint64 {
	if t := e.routeTable.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Config returns the current configuration, which must not be modified; the zero Config for none.
func (e *Edge) Config() routes.Config {
	if t := e.routeTable.Load(); t != nil {
		return t.Config
	}
	return routes.Config{}
}

// mapVersion returns the version of the current assignment map, which is the log
// offset after its record; 0 for none.
func (e *Edge) mapVersion() uint64 {
	if v := e.assignment.Load(); v != nil {
		return v.Map.NextOffset
	}
	return 0
}

// Ready reports whether the host has a configuration and knows servers.
func (e *Edge) Ready() bool {
	if e.routeTable.Load() == nil {
		return false
	}
	return len(e.knownServers()) > 0
}

// knownServers returns the known servers by id.
func (e *Edge) knownServers() map[string]directory.Server {
	if servers := e.servers.Load(); servers != nil {
		return *servers
	}
	return nil
}

// SetServers replaces the known servers.
func (e *Edge) SetServers(servers map[string]directory.Server) {
	known := maps.Clone(servers)
	e.servers.Store(&known)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.distributeServersLocked()
}

// distributeServersLocked passes the servers that are neither draining nor evacuated to
// the pools of their services. A pool lets the requests in flight at the others end, but
// sends them no further ones: requests for their keys wait for a move of the keys, for
// dispatch.MaxHolderWait at most. e.mu must be held.
func (e *Edge) distributeServersLocked() {
	lists, evacuated := map[string][]dispatch.Server{}, map[string]bool{}
	e.permits.setServers()
	for _, s := range e.knownServers() {
		if s.Draining {
			continue
		}
		if s.Evacuated {
			evacuated[s.Service] = true
			continue
		}
		lists[s.Service] = append(lists[s.Service], dispatch.Server{ID: s.ID, Born: s.Born, Address: s.Address, Zone: s.Zone, Slots: s.Slots, Cold: s.Cold,
			NeedsPermit: e.needsPermit(s), PausedUntil: max(0, s.PausedUntil-e.startedAt)})
	}
	for name, p := range e.pools {
		p.setServers(lists[name], evacuated[name])
	}
}

// SetAssignment replaces the assignment map by which requests are routed.
func (e *Edge) SetAssignment(m *assignment.Map) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, now := e.assignment.Load(), e.now()
	v := &AssignmentView{Map: m, moveStartedAt: map[string]map[uint16]time.Duration{}}
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
			if t, ok := old.moveStartedAt[service][r.From]; ok {
				since[r.From] = t
			}
		}
		v.moveStartedAt[service] = since
	}
	e.assignment.Store(v)
	for _, p := range e.pools {
		p.dispatchWaiting()
	}
}

// keyHolder returns the id of the server that holds a key of a service. While the
// key moves, the id is empty and the time is the start of the move. If no assignment
// covers the key, both are zero.
func (e *Edge) keyHolder(service string, key uint16) (string, time.Duration) {
	v := e.assignment.Load()
	if v == nil {
		return "", 0
	}
	r := v.Map.FindRange(service, key)
	if r == nil {
		return "", 0
	}
	if r.IsMoving() {
		return "", v.moveStartedAt[service][r.From]
	}
	return r.Owner.ID, 0
}

func (e *Edge) poolFor(service string) *servicePool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.poolForLocked(service)
}

func (e *Edge) poolForLocked(service string) *servicePool {
	p := e.pools[service]
	keyed := false
	if t := e.routeTable.Load(); t != nil {
		keyed = t.Config.Services[service].Keyed
	}
	if p == nil || p.keyed != keyed {
		p = newServicePool(e, service, keyed)
		e.pools[service] = p
	}
	return p
}

// emptyResponse returns a response without a body; a positive retryAfter sets the
// Retry-After header.
func emptyResponse(status int, retryAfter time.Duration) *ingress.Response {
	h := http.Header{}
	if retryAfter > 0 {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
	return &ingress.Response{Status: status, Header: h}
}

// servicePool makes a dispatch.Pool safe for concurrent use and runs its timer
// while requests wait.
type servicePool struct {
	keyed bool

	mu                sync.Mutex
	dispatchPool      *dispatch.Pool
	retryBudget       retry.HostBudget
	dispatchScheduled bool
	clock             func() time.Duration // Edge.now
	costs             costReporter
}

func newServicePool(e *Edge, service string, keyed bool) *servicePool {
	p := &servicePool{keyed: keyed, clock: e.now, costs: costReporter{edge: e, service: service}}
	var holder dispatch.HolderLookup
	if keyed {
		holder = func(key uint16) (string, time.Duration) { return e.keyHolder(service, key) }
	}
	p.dispatchPool = dispatch.NewPool(e.options.Host, e.options.Zone, holder)
	p.dispatchPool.SetHostCount(e.options.Budget.HostCount)
	p.dispatchPool.SetCostRouting(e.now(), e.options.CostRouting)
	p.dispatchPool.SetPermits(e.permits)
	p.retryBudget = retry.HostBudget{Ratio: e.options.Budget.Ratio, Slack: e.slackPerHost(), Window: e.options.Budget.Window}
	return p
}

// setServers replaces the servers that requests may be sent to. evacuated reports that
// further servers of the service are evacuated.
func (p *servicePool) setServers(list []dispatch.Server, evacuated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchPool.SetEvacuated(evacuated)
	p.dispatchPool.SetServers(p.clock(), list)
}

func (p *servicePool) setAdmittedShares(shares map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchPool.SetAdmittedShares(p.clock(), shares)
}

func (p *servicePool) setHostCount(n int, retrySlack float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.Slack = retrySlack
	p.dispatchPool.SetHostCount(n)
}

func (p *servicePool) dispatchWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchPool.Dispatch(p.clock())
}

// submit queues a request; the decision arrives on the channel. A goroutine that
// stops waiting without a decision must call the returned function, which removes
// the request and releases a server assigned meanwhile.
func (p *servicePool) submit(r dispatch.Request) (<-chan dispatch.Decision, func()) {
	decision := make(chan dispatch.Decision, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	cancel := p.dispatchPool.Submit(p.clock(), r, func(v dispatch.Decision) { decision <- v })
	p.scheduleDispatchLocked()
	return decision, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		cancel()
		select {
		case v := <-decision:
			if v.Reason == "" {
				p.dispatchPool.GiveBackPermit(v)
				p.dispatchPool.ReportResult(p.clock(), v.Server.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled, Placement: v.Placement})
			}
		default:
		}
	}
}

// scheduleDispatchLocked starts a timer for the pool's next dispatch while requests
// wait. p.mu must be held.
func (p *servicePool) scheduleDispatchLocked() {
	now := p.clock()
	at, waiting := p.dispatchPool.NextDispatch(now)
	if !waiting || p.dispatchScheduled {
		return
	}
	p.dispatchScheduled = true
	time.AfterFunc(at-now, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatchScheduled = false
		p.dispatchPool.Dispatch(p.clock())
		p.scheduleDispatchLocked()
	})
}

func (p *servicePool) reportResult(id string, r dispatch.AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.dispatchPool.ReportResult(now, id, r)
	p.costs.report(now, p.dispatchPool)
}

// tryReserveServerAndRetry reserves a server with free capacity and one retry of the budget.
// Unless both are available at once, it reserves neither.
func (p *servicePool) tryReserveServerAndRetry(r dispatch.Request) (dispatch.Decision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	v, ok := p.dispatchPool.TryAssign(now, r)
	if ok && !p.retryBudget.TryReserve(now) {
		p.dispatchPool.GiveBackPermit(v)
		p.dispatchPool.ReportResult(now, v.Server.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled, Placement: v.Placement})
		return dispatch.Decision{}, false
	}
	return v, ok
}

func (p *servicePool) connectionsFailing(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatchPool.ConnectionsKeepFailing(id)
}

func (p *servicePool) recordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.RecordRequest(p.clock())
}

func (p *servicePool) tryReserveRetryBudget() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.TryReserve(p.clock())
}
