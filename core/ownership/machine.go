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

// Intervals and timeouts of the protocol.
const (
	// TickInterval is how often the driver sends a Tick.
	TickInterval = 50 * time.Millisecond
	// LeaseDuration is the length of a prefix lease and the longest duration of a
	// grant.
	LeaseDuration = 1500 * time.Millisecond
	// MaxClockDrift is the greatest relative rate error of any process's monotonic
	// clock that the protocol tolerates.
	MaxClockDrift = 0.01
	// SuspicionTimeout is how long a peer or server may be silent before it is
	// suspected to have failed.
	SuspicionTimeout = 900 * time.Millisecond

	pollInterval  = 300 * time.Millisecond
	grantInterval = 400 * time.Millisecond
	// callTimeout limits one call to a peer or server; a second attempt must fit
	// into SuspicionTimeout.
	callTimeout = 400 * time.Millisecond
	// proposalRankDelay is the delay per rank between the proposals of daemons that
	// would propose the same change. Within it, the record of the first one is
	// normally applied everywhere.
	proposalRankDelay = 150 * time.Millisecond
)

// expiryWait is how long to wait until a lease or grant that another process
// obtained before now has expired. It is LeaseDuration * (1 + MaxClockDrift) /
// (1 - MaxClockDrift), since the holder's clock may be slow and the waiter's fast.
var expiryWait = LeaseDuration * time.Duration((1+MaxClockDrift)*1e6) / time.Duration((1-MaxClockDrift)*1e6)

// Config describes the daemon whose state machine a Machine is.
type Config struct {
	Host        string
	Incarnation string // UUID, new at each start of the process
	Zone        string
	PeerURL     string
	// NewID returns a new UUID for a record.
	NewID func() string
	// WallClockMS returns the wall clock in Unix milliseconds. Records carry it for
	// display only.
	WallClockMS func() int64
	// LogRetention is how long the log keeps records; 0 disables checkpoints by age.
	LogRetention time.Duration
	// Planner plans moves and splits that balance the load; nil disables them.
	Planner Planner

	disabledRules disabledRules
}

// Machine is the state machine of one daemon. It is not safe for concurrent use.
type Machine struct {
	cfg            Config
	disabledRules  disabledRules
	now            time.Duration
	previousStepAt time.Duration
	effects        []Effect

	state         *state.State
	stateComplete bool          // the state includes every record up to its offset
	restore       restoreBuffer // in use while the state is incomplete

	logReachable        bool
	logUnreachableSince time.Duration
	publishedOffset     uint64 // applied offset of the last published view
	draining            bool
	lastGrantSeq        uint64 // number of the last call to a server; counted over all homes, as a server may get another one while a call is open
	leaseHeld           bool

	scopes           map[string]*scopeStatus
	witnesses        map[string]*witnessStatus
	knownMembers     map[string]state.Member  // by incarnation; keeps former members
	lastHeard        map[string]time.Duration // when an incarnation was last known to be alive
	suspectedSince   map[string]time.Duration // when the suspicion of an incarnation began
	witnessDiffSince map[string]time.Duration // when a scope's witnesses began to differ from the desired ones
	noQuorumSince    map[string]time.Duration // when a scope lost its lease and the majority of its witnesses
	missingHosts     map[string]bool          // hosts of known members that the host list lacks

	proposals       map[string]*proposal
	proposalKeyByID map[string]string // by record id

	slicesByServer map[string]map[uint64]struct{} // first hashes of the slices by server
	serverNames    []string                       // names of all servers, sorted
	serviceNames   []string
	unplacedSince  map[string]time.Duration // when the servers of a service without slices last changed
	noHomeSince    map[string]time.Duration // when a server lost its live home
	localHomes     map[string]*localHome    // by server, for servers whose home is this daemon
	changedHomes   map[string]struct{}      // servers of localHomes to update in this step
	serverLoads    map[string]loadReport
	leavingHosts   map[string]bool // hosts that the host list shows as leaving
	liveHosts      map[string]bool
	zoneLostSince  map[string]time.Duration // when the record that declares a zone lost was applied
	checkpoints    checkpointTracker
	planning       planningState

	batches            map[string]*moveBatch
	batchKeyBySlice    map[SliceRef]string // proposal key of the batch that moves a slice
	batchCount         uint64
	highestSubTerms    map[string]uint64 // highest sub-term that a server reported
	appendDelay        time.Duration     // from the proposal of the last own record until it was applied
	drained            bool
	removedFromMembers bool          // this incarnation is no member any more
	noSuccessorSince   time.Duration // since when no peer can take the homes of a draining daemon
	leftMembersAt      time.Duration

	view        *View
	viewChanges viewChanges
}

// New returns a machine that has not applied any record.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg: cfg, disabledRules: cfg.disabledRules, state: state.New(), logReachable: true,
		scopes: map[string]*scopeStatus{}, witnesses: map[string]*witnessStatus{},
		knownMembers: map[string]state.Member{}, lastHeard: map[string]time.Duration{},
		suspectedSince: map[string]time.Duration{}, witnessDiffSince: map[string]time.Duration{},
		noQuorumSince: map[string]time.Duration{}, missingHosts: map[string]bool{},
		proposals: map[string]*proposal{}, proposalKeyByID: map[string]string{},
		slicesByServer: map[string]map[uint64]struct{}{}, unplacedSince: map[string]time.Duration{},
		noHomeSince: map[string]time.Duration{}, localHomes: map[string]*localHome{},
		changedHomes: map[string]struct{}{}, serverLoads: map[string]loadReport{},
		leavingHosts: map[string]bool{}, liveHosts: map[string]bool{},
		zoneLostSince: map[string]time.Duration{}, batches: map[string]*moveBatch{},
		batchKeyBySlice: map[SliceRef]string{}, highestSubTerms: map[string]uint64{},
	}
	m.ensureScopeStatus(m.ownZoneScope())
	m.viewChanges.markEverything()
	m.publishView()
	return m
}

// View returns the view of the state after the last step.
func (m *Machine) View() *View { return m.view }

// Step handles one input and returns the effects. now must have been read after
// the input arrived and after the PublishView effects of the previous step were
// carried out: only then does a poll response with the offset of the previous
// step precede now, so that the daemon can count its own confirmation.
func (m *Machine) Step(now time.Duration, in Input) []Effect {
	m.beginStep(now)
	m.handleInput(in)
	m.refreshScopes()
	if m.stateComplete {
		if _, ok := in.(Tick); ok {
			m.handleTick()
		}
		m.updateChangedHomes()
		m.proposeMoves()
	}
	m.reportLeaseChange()
	m.publishView()
	m.publishedOffset = m.state.AppliedOffset()
	return m.effects
}

func (m *Machine) beginStep(now time.Duration) {
	m.effects = nil
	if now < m.now {
		now = m.now // a clock that goes back must not extend leases or grants
	}
	m.previousStepAt, m.now = m.now, now
	// After a pause of this process, the lack of responses says nothing about its
	// peers and servers.
	if m.now-m.previousStepAt > SuspicionTimeout/2 {
		for incarnation := range m.lastHeard {
			m.lastHeard[incarnation] = m.now
		}
		for _, h := range m.localHomes {
			h.silentSince = m.now
		}
		clear(m.noHomeSince)
		clear(m.noQuorumSince)
	}
}

func (m *Machine) handleInput(in Input) {
	switch in := in.(type) {
	case RecordsRead:
		m.setLogReachable(true)
		m.checkpoints.updateOldestOffset(in.OldestOffset)
		m.acceptRecords(in.Records, m.checkpoints.oldestOffset)
	case LogUnreachable:
		m.setLogReachable(false)
	case AppendCompleted:
		m.handleAppendCompleted(in)
	case PollResponse:
		m.handlePollResponse(in)
	case PollFailed:
		m.ensureWitnessStatus(in.Witness).pollInFlight = false
	case PollReceived:
		m.handlePollReceived(in)
	case GrantResponse:
		m.handleGrantResponse(in)
	case GrantFailed:
		m.handleGrantFailed(in)
	case ReleaseCompleted:
		m.handleReleaseCompleted(in)
	case SliceQuiesced:
		m.handleSliceQuiesced(in)
	case IDTransferCompleted:
		m.handleIDTransferCompleted(in)
	case HostListRead:
		m.handleHostListRead(in)
	case LoadMeasured:
		m.handleLoadMeasured(in)
	case DrainRequested:
		m.handleDrainRequested()
	}
}

// handleTick does the work that depends on the passing of time.
func (m *Machine) handleTick() {
	m.expireProposals()
	m.proposeJoin()
	m.pollWitnesses()
	m.monitorMembers()
	m.maintainWitnesses()
	m.proposePlacements()
	m.maintainHomes()
	for name := range m.localHomes {
		m.changedHomes[name] = struct{}{}
	}
	m.moveFromLostZones()
	m.startLoadMoves()
	m.writeCheckpointIfDue()
	m.advanceDrain()
}

func (m *Machine) addEffect(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) emitEvent(e event.Event) {
	for _, d := range event.Definitions {
		if d.Code == e.Code {
			e.Name = d.Name
		}
	}
	e.Host, e.Zone = m.cfg.Host, m.cfg.Zone
	m.addEffect(EmitEvent{Event: e})
}

func (m *Machine) ownZoneScope() string { return state.WitnessScopeOfZone(m.cfg.Zone) }

func (m *Machine) reportLeaseChange() {
	until, held := m.prefixLease(m.ownZoneScope())
	if held != m.leaseHeld {
		m.leaseHeld = held
		code := event.LeaseLost
		if held {
			code = event.LeaseGained
		}
		m.emitEvent(event.Event{Code: code, Offset: m.state.AppliedOffset()})
	}
	m.viewChanges.setLeaseUntil(until)
}

// mayBeHomeOf reports whether this daemon may be the home of a server.
func (m *Machine) mayBeHomeOf(server string, spec *resource.Server) bool {
	scope, _ := m.state.WitnessScopeOfServer(server)
	return scope == state.WitnessScopeAll || spec.Zone == m.cfg.Zone
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
