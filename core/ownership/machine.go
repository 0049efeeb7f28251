package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// Times of the protocol.
const (
	// TickInterval is how often the driver sends a Tick.
	TickInterval = 50 * time.Millisecond
	// LeaseDuration is W: the length of a prefix lease and the longest grant.
	LeaseDuration = 1500 * time.Millisecond
	// MaxClockDrift is the greatest rate error of any process's monotonic clock.
	MaxClockDrift = 0.01
	// SuspicionTimeout is how long a silent peer or server is presumed alive.
	SuspicionTimeout = 900 * time.Millisecond

	pollInterval  = 300 * time.Millisecond
	grantInterval = 400 * time.Millisecond
	// callTimeout is when a call without a result is given up; the next attempt
	// must fit into SuspicionTimeout.
	callTimeout = 400 * time.Millisecond
	// rankDelay separates proposals of daemons that see the same need. An append
	// normally takes effect everywhere within it.
	rankDelay = 150 * time.Millisecond
)

// expiryWait is W * (1 + d) / (1 - d): the holder's clock may be slow and the
// waiter's fast, each by d.
var expiryWait = LeaseDuration * time.Duration((1+MaxClockDrift)*1e6) / time.Duration((1-MaxClockDrift)*1e6)

// Config describes the daemon that a Machine stands for.
type Config struct {
	Host        string
	Incarnation string // UUID, new at each start of the process
	Zone        string
	PeerURL     string
	// NewID returns a new UUID for a record.
	NewID func() string
	// WallClockMS returns the wall clock in Unix milliseconds, for display only.
	WallClockMS func() int64
	// LogRetention is how long the log keeps records; 0 disables checkpoints by age.
	LogRetention time.Duration
	// Planner plans moves for load; nil disables them.
	Planner Planner

	rules rules
}

// Machine is the state machine of one daemon. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	rules rules
	now   time.Duration
	last  time.Duration // time of the previous step
	out   []Effect

	st       *state.State
	complete bool
	intake   intake

	logReachable     bool
	logDownSince     time.Duration
	publishedApplied uint64
	draining         bool
	leaseHeld        bool

	scopes    map[string]*scopeInfo
	witnesses map[string]*witnessInfo
	known     map[string]state.Member  // by incarnation; outlives membership
	heard     map[string]time.Duration // when an incarnation was last known alive
	suspects  map[string]time.Duration // when it was last heard
	lastSet   map[string]time.Duration // last proposal of a witness set by scope
	noQuorum  map[string]time.Duration // since when a scope has had no evidence
	missing   map[string]bool          // hosts that the host list lacks

	proposals    map[string]*proposal
	proposalKeys map[string]string // by record id

	owned    map[string]map[uint64]struct{} // first hashes of the slices by server
	servers  []string                       // names of all servers, sorted
	services []string
	unplaced map[string]time.Duration // last change of the servers of a service without slices
	homeless map[string]time.Duration // since when a server has had no live home
	local    map[string]*home         // servers whose home this daemon is
	dirty    map[string]struct{}      // local servers to look at in this step
	loads    map[string]loadInfo
	leaving  map[string]bool // hosts that the host list shows as leaving
	live     map[string]bool
	zoneLost map[string]time.Duration // when the declaration was folded
	keeper   checkpointKeeper
	planning planning

	batches     map[string]*batch
	batchOf     map[SliceRef]string // key of the batch that moves a slice
	batchCount  uint64
	subTerms    map[string]uint64 // highest sub-term seen by server
	appendDelay time.Duration     // of the last own record, from proposal to fold
	drained     bool
	removed     bool          // this incarnation left the members
	noHeirSince time.Duration // since when a draining daemon has had no heir
	leftAt      time.Duration

	view      *View
	viewDirty viewChange
}

// New returns a machine that has read nothing yet.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg: cfg, rules: cfg.rules, st: state.New(), logReachable: true,
		scopes: map[string]*scopeInfo{}, witnesses: map[string]*witnessInfo{},
		known: map[string]state.Member{}, heard: map[string]time.Duration{},
		suspects: map[string]time.Duration{}, lastSet: map[string]time.Duration{},
		noQuorum: map[string]time.Duration{}, missing: map[string]bool{},
		proposals: map[string]*proposal{}, proposalKeys: map[string]string{},
		owned: map[string]map[uint64]struct{}{}, unplaced: map[string]time.Duration{},
		homeless: map[string]time.Duration{}, local: map[string]*home{},
		dirty: map[string]struct{}{}, loads: map[string]loadInfo{},
		leaving: map[string]bool{}, live: map[string]bool{},
		zoneLost: map[string]time.Duration{}, batches: map[string]*batch{},
		batchOf: map[SliceRef]string{}, subTerms: map[string]uint64{},
	}
	m.scope(m.zoneScope())
	m.viewDirty.everything()
	m.publish()
	return m
}

// View returns the view that is current after the last step.
func (m *Machine) View() *View { return m.view }

// Step reacts to one input. now must have been read after the input arrived and
// after the effects of the previous step were carried out as far as
// PublishView; the confirmation of this daemon's own offset depends on that.
func (m *Machine) Step(now time.Duration, in Input) []Effect {
	m.begin(now)
	m.handle(in)
	m.refreshScopes()
	if m.complete {
		if _, ok := in.(Tick); ok {
			m.tick()
		}
		m.serveDirty()
		m.flushMoves()
	}
	m.noteLease()
	m.publish()
	m.publishedApplied = m.st.Applied()
	return m.out
}

func (m *Machine) begin(now time.Duration) {
	m.out = nil
	if now < m.now {
		now = m.now // a clock that goes back must not extend anything twice
	}
	m.last, m.now = m.now, now
	// After a pause of this process its silence says nothing about its peers.
	if m.now-m.last > SuspicionTimeout/2 {
		for incarnation := range m.heard {
			m.heard[incarnation] = m.now
		}
		for _, h := range m.local {
			h.answeredAt = m.now
		}
		clear(m.homeless)
		clear(m.noQuorum)
	}
}

func (m *Machine) handle(in Input) {
	switch in := in.(type) {
	case RecordsRead:
		m.setLogReachable(true)
		m.takeRecords(in.Records, in.OldestOffset)
	case LogUnreachable:
		m.setLogReachable(false)
	case AppendCompleted:
		m.appendDone(in)
	case PollResponse:
		m.pollAnswered(in)
	case PollFailed:
		m.witness(in.Witness).inFlight = false
	case PollReceived:
		m.pollReceived(in)
	case GrantResponse:
		m.grantAnswered(in)
	case GrantFailed:
		m.grantFailed(in)
	case ReleaseCompleted:
		m.releaseAnswered(in)
	case SliceQuiesced:
		m.quiesced(in)
	case IDTransferCompleted:
		m.idsTransferred(in)
	case HostListRead:
		m.hostListRead(in)
	case LoadMeasured:
		m.loadMeasured(in)
	case DrainRequested:
		m.drainRequested()
	}
}

// tick does everything that depends on the passing of time.
func (m *Machine) tick() {
	m.forgetProposals()
	m.join()
	m.pollWitnesses()
	m.watchPeers()
	m.maintainWitnesses()
	m.placeServices()
	m.maintainHomes()
	for name := range m.local {
		m.dirty[name] = struct{}{}
	}
	m.moveFromLostZones()
	m.planLoad()
	m.checkpoint()
	m.drain()
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) report(e event.Event) {
	for _, d := range event.Definitions {
		if d.Code == e.Code {
			e.Name = d.Name
		}
	}
	e.Host, e.Zone = m.cfg.Host, m.cfg.Zone
	m.emit(EmitEvent{Event: e})
}

func (m *Machine) zoneScope() string { return state.ZoneScope(m.cfg.Zone) }

func (m *Machine) noteLease() {
	until, held := m.leased(m.zoneScope())
	if held != m.leaseHeld {
		m.leaseHeld = held
		code := event.LeaseLost
		if held {
			code = event.LeaseGained
		}
		m.report(event.Event{Code: code, Offset: m.st.Applied()})
	}
	m.viewDirty.lease(until)
}

// inScope reports whether this daemon may be the home of a server.
func (m *Machine) inScope(server string, spec *resource.Server) bool {
	scope, _ := m.st.ScopeOf(server)
	return scope == state.ScopeAll || spec.Zone == m.cfg.Zone
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
