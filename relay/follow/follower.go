package follow

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/followtree"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/core/warmup"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/readlimit"
	"parsleyrelay.example/relay/responsecheck"
	"parsleyrelay.example/relay/telemetry"
)

// Times of a Follower.
const (
	// longPollWait is the time for which the leader holds a call if nothing has changed.
	// It also limits the interval of load reports, which are sent with each call: the
	// leader must learn of busy keys within a fraction of a second.
	longPollWait = 350 * time.Millisecond
	// responseTimeout is the time that a call may take beyond longPollWait until its response
	// begins, and then the time without further bytes.
	responseTimeout = 500 * time.Millisecond
	// maxResponseTime is the time for the body of a response. It is longer than MaxStateAge: the
	// state is then too old to count as contact, but a host that began a large response anew
	// would never have it in whole.
	maxResponseTime = 5 * time.Second
	// MaxStateAge limits Options.MaxStateAge, because the next leader is elected among
	// hosts that have lost the former one. The state of a follower of a relay is usually
	// younger than 1.2 s.
	MaxStateAge = 1600 * time.Millisecond
	// failureRetryDelay is the delay after a failed call, before the leader or another
	// host is called.
	failureRetryDelay = 200 * time.Millisecond
	// leaderLookupInterval is the time between checks whether the newest map names
	// another host as the leader.
	leaderLookupInterval = 20 * time.Millisecond
	// peerQueryTimeout limits a call that asks another host for its leader. That host
	// responds without a wait.
	peerQueryTimeout = 250 * time.Millisecond
	// peersRefreshInterval is the time after which the leader is asked for a new list of
	// other hosts.
	peersRefreshInterval = 5 * time.Second
)

// HostState is the state of a host that a follower reports to the leader and updates
// from its responses.
type HostState interface {
	// Config returns the configuration in force, which must not be modified.
	Config() routes.Config
	// NewestMap returns the newest assignment map, or nil.
	NewestMap() *assignment.Map
	// MapLeader returns the incarnation of the leader that the newest map names, or ""
	// if there is none or it has resigned.
	MapLeader() (incarnation string)
	// AddressOf returns the host:port at which the process that incarnation identifies
	// accepts calls of other hosts.
	AddressOf(incarnation string) string
	// ApplyConfig applies a configuration if it is newer than the one in force.
	ApplyConfig(routes.Config, Origin)
	// RecordConfigOffset records that the configuration reflects the store's log of the operator's
	// records before an offset.
	RecordConfigOffset(offset uint64)
	// ReplaceEvacuations replaces the evacuated availability zones, unless they reflect no
	// more of the store's log of the operator's records, before an offset, than the known ones.
	ReplaceEvacuations(zones []string, offset uint64, o Origin)
	// ReplaceServers replaces all known servers, by ID. They reflect the store's log of
	// registrations before an offset, 0 if it is unknown. It returns false and changes
	// nothing if they are older than the known ones.
	ReplaceServers(servers map[string]directory.Server, offset uint64, o Origin) bool
	// ObserveMap applies a map if it is newer than the newest one.
	ObserveMap(*assignment.Map)
	// RecordStoreContact records that the store answered this host or another.
	RecordStoreContact(directory.Contact)
	// StoreContact returns the newest contact of any host with the store that this host
	// knows of, and false for none.
	StoreContact() (directory.Contact, bool)
	// SetHostCount sets the number of entry hosts, this one included.
	SetHostCount(int)
	// SetAdmittedShares sets the share of the requests that the host may queue for each
	// overloaded server, by server id.
	SetAdmittedShares(map[string]float64)
	// TakeLoadReport returns the report about keyed requests since the last call.
	TakeLoadReport() edge.LoadReport
	// ServerSignals returns what servers said of themselves to this host and its followers.
	ServerSignals() []directory.Signal
	// Description describes this host for the selection of relays.
	Description() followtree.Host
	// Followers returns the number of hosts that follow this one, and some of them.
	Followers() (count int, candidates []followtree.Host)
}

// Origin says where a host got a state from, for the log.
type Origin struct {
	Source string        // incarnation of the host that sent it, or OriginStore
	Age    time.Duration // time since the store sent it
	Bytes  int           // size in which a configuration was sent
}

// OriginStore is the Origin.Source of a state that the host itself read from the store.
const OriginStore = "store"

// Follower keeps a host up to date by long polls of the leader or, in a large deployment,
// of a relay, which is called its parent. It is in contact while its state is younger than
// Options.MaxStateAge. It implements Upstream.
//
// A host that loses the store may miss a change of the leader. A follower without
// contact therefore asks other hosts which leader they follow, so that such a host can
// continue with the state in force.
type Follower struct {
	options    Options
	hostState  HostState
	journal    *telemetry.Journal
	http       *http.Client
	client     *readlimit.Client        // limits the responses to calls over http
	permitHTTP *readlimit.Client        // for calls for permits, which run beside the polls
	stateAt    atomic.Int64             // when the store sent the state that was received last, by Options.Now
	lastLeader atomic.Pointer[string]   // incarnation of the leader that the state came from; empty if a relay had none
	received   atomic.Pointer[Received] // by the last successful poll

	// The remaining fields are used only by Run.
	parents         *followtree.Parents
	lastParent      string // of the last successful poll
	serversSource   string // incarnation of the host that sent servers
	serversRevision uint64 // revision of servers at that host
	servers         map[string]directory.Server
	serversUnused   bool     // the host has other servers than these
	loggedInContact bool     // contact at the last check; changes are logged
	peers           []string // incarnations of other hosts
	peersUpdatedAt  time.Time
	peerQueries     int // number of queries so far; selects the next peer
	referral        referral
	lastPoll        pollStats
	// wantsWholeConfig is set after an update that could not be applied.
	wantsWholeConfig bool
}

// pollStats describes a poll for the log.
type pollStats struct {
	duration time.Duration
	received uint64 // bytes of the response that arrived
}

// referral is a leader that another host follows. It replaces mapLeader, the leader that
// the newest map names, until the map names a different one.
type referral struct{ leader, mapLeader string }

// NoContactReason says why a host is in no contact with a leader although no call failed.
type NoContactReason string

// The reasons of a NoContactError.
const (
	NoLeader           NoContactReason = "the newest map names no other host as the leader"
	NotLeading         NoContactReason = "the called host does not lead and is no relay"
	LeaderWithoutStore NoContactReason = "the called host has lost contact with the store"
	LateResponse       NoContactReason = "the response was held up, and its state is too old"
)

// NoContactError reports that a host is in no contact with a leader.
type NoContactError struct {
	Reason   NoContactReason
	StoreAge time.Duration // of the state, for LeaderWithoutStore and LateResponse
}

// Error implements error.
func (e *NoContactError) Error() string {
	if e.StoreAge > 0 {
		return fmt.Sprintf("%s for %v", e.Reason, e.StoreAge)
	}
	return string(e.Reason)
}

// NewFollower returns a follower that does not run yet.
func NewFollower(o Options, hostState HostState, journal *telemetry.Journal) *Follower {
	f := &Follower{options: o, hostState: hostState, journal: journal, parents: followtree.NewParents(o.Incarnation)}
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return o.Dial(ctx, address) }
	transport := responsecheck.SetDialers(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: MaxHeadBytes})
	f.http = &http.Client{Transport: responsecheck.Transport{RoundTripper: transport}}
	f.client = &readlimit.Client{HTTP: f.http, MaxBytes: maxMessageBytes, MaxWait: longPollWait + responseTimeout, MaxTransfer: maxResponseTime}
	permitTransport := responsecheck.SetDialers(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: permitIdleTimeout, MaxResponseHeaderBytes: MaxHeadBytes})
	f.permitHTTP = &readlimit.Client{HTTP: &http.Client{Transport: responsecheck.Transport{RoundTripper: permitTransport}, Timeout: warmup.Validity}, MaxBytes: maxMessageBytes}
	f.stateAt.Store(int64(neverRead))
	f.received.Store(&Received{})
	return f
}

// StateAge implements Upstream. It returns the time since the store sent the state that
// this host received last.
func (f *Follower) StateAge() time.Duration { return f.options.Now() - time.Duration(f.stateAt.Load()) }

// StateAt returns the time at which the store sent the state that this host received last.
func (f *Follower) StateAt() time.Duration { return time.Duration(f.stateAt.Load()) }

// InContact reports whether the state is younger than Options.MaxStateAge.
func (f *Follower) InContact() bool { return f.StateAge() < f.options.MaxStateAge }

// FollowsRelay reports whether this host has relays and is none itself.
func (f *Follower) FollowsRelay() bool {
	relays := f.received.Load().Relays
	return len(relays) > 0 && !slices.Contains(relays, f.options.Incarnation)
}

// ControlBytes returns the bytes of the bodies of all calls to other hosts so far, and of
// their responses.
func (f *Follower) ControlBytes() (sent, received uint64) {
	for _, c := range []*readlimit.Client{f.client, f.permitHTTP} {
		sent, received = sent+c.Sent.Load(), received+c.Received.Load()
	}
	return sent, received
}

// Received implements Upstream.
func (f *Follower) Received() Received { return *f.received.Load() }

// CurrentLeader implements Upstream. It returns the incarnation of the leader that the
// follower is in contact with, directly or through a relay, or "".
func (f *Follower) CurrentLeader() string {
	if leader := f.lastLeader.Load(); leader != nil && f.InContact() {
		return *leader
	}
	return ""
}

// Run polls the leader or a relay until ctx ends. It never returns an error.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		leader := f.leaderToFollow()
		if leader == f.options.Incarnation {
			f.keepFollowersAsPeers()
		}
		parent := f.parents.Next(f.options.Now(), leader)
		err, wait := error(&NoContactError{Reason: NoLeader}), leaderLookupInterval
		if parent != "" && parent != f.options.Incarnation {
			err = f.pollParent(ctx, parent)
			wait = failureRetryDelay
		}
		f.updateContact(parent, err)
		if err == nil {
			continue
		}
		if parent != leader {
			// Another relay or the leader is tried soon.
			f.parents.RecordFailure(f.options.Now(), parent)
			sleep(ctx, leaderLookupInterval)
			continue
		}
		if leader != f.options.Incarnation && len(f.peers) > 0 && !f.InContact() {
			f.referral = referral{} // the leader of the referral failed, or there is no referral
			f.queryNextPeer(ctx)
			wait = failureRetryDelay
		}
		sleep(ctx, wait)
	}
	return nil
}

// leaderToFollow returns the leader that the newest map names, or the leader of a
// referral that replaces it.
func (f *Follower) leaderToFollow() string {
	leader := f.hostState.MapLeader()
	if f.referral.leader != "" && f.referral.mapLeader == leader {
		return f.referral.leader
	}
	return leader
}

// keepFollowersAsPeers keeps hosts that follow this one, which leads, as the peers to ask
// when it has lost the store and they follow its successor.
func (f *Follower) keepFollowersAsPeers() {
	if time.Since(f.peersUpdatedAt) < peersRefreshInterval {
		return
	}
	if _, followers := f.hostState.Followers(); len(followers) > 0 {
		f.peers = nil
		for _, follower := range followers {
			f.peers = append(f.peers, follower.Incarnation)
		}
		f.peersUpdatedAt = time.Now()
	}
}

// queryNextPeer asks one of the other hosts, in turn, which leader it follows.
func (f *Follower) queryNextPeer(ctx context.Context) {
	f.peerQueries++
	peer := f.peers[f.peerQueries%len(f.peers)]
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	request := f.newRequest()
	request.Caller = nil // this host does not follow the peer
	r, err := f.clientFor(peer).Follow(ctx, request)
	if err != nil || r.Leader == "" || r.Leader == f.leaderToFollow() || r.Leader == f.options.Incarnation {
		return // Run queries the next host after a delay
	}
	f.referral = referral{leader: r.Leader, mapLeader: f.hostState.MapLeader()}
	f.journal.LogEvent(event.LeaderReferred, "leader", r.Leader, "instead", f.referral.mapLeader, "by", r.Host, "silence_ms", f.StateAge().Milliseconds())
}

// newRequest returns a request with the state that this host knows. MapEnd must be the
// NextOffset of a map that this process really has, because the leader may take it as
// proof that an earlier process of this host has ended; see
// assigner.Assigner.RecordKnownMap.
func (f *Follower) newRequest() *followv1.FollowRequest {
	request := &followv1.FollowRequest{Host: f.options.Incarnation, ConfigVersion: f.hostState.Config().Version, AcceptsConfigUpdate: true, ServersSource: f.serversSource, ServersRevision: f.serversRevision}
	if f.wantsWholeConfig {
		request.ConfigVersion = 0
	}
	request.Caller = encodeHostInfo(f.hostState.Description())
	count, candidates := f.hostState.Followers()
	request.Followers = uint32(count)
	for _, c := range candidates {
		request.Candidates = append(request.Candidates, encodeHostInfo(c))
	}
	if m := f.hostState.NewestMap(); m != nil {
		request.MapEnd = m.NextOffset
	}
	if c, ok := f.hostState.StoreContact(); ok {
		request.StoreContact = encodeContact(f.options.Now(), c)
	}
	return request
}

func (f *Follower) clientFor(incarnation string) followv1.Leader {
	return followv1.NewLeaderProtobufClient("http://"+f.hostState.AddressOf(incarnation), f.client)
}

// updateContact logs when the follower gains or loses contact, and when a poll, which
// succeeded if err is nil, had another parent than the last.
func (f *Follower) updateContact(parent string, err error) {
	inContact := f.InContact()
	switch {
	case inContact && !f.loggedInContact:
		f.journal.LogEvent(event.LeaderHeard, "leader", f.CurrentLeader(), "parent", parent)
	case !inContact && f.loggedInContact:
		f.journal.LogEvent(event.LeaderSilent, "leader", f.leaderToFollow(), "parent", parent, "silence_ms", f.StateAge().Milliseconds(), "poll_ms", f.lastPoll.duration.Milliseconds(), "received_bytes", f.lastPoll.received, "error", err)
	case inContact && err == nil && parent != f.lastParent:
		f.journal.LogEvent(event.ParentChanged, "parent", parent, "former", f.lastParent, "leader", f.CurrentLeader(), "state_age_ms", f.StateAge().Milliseconds())
	}
	f.loggedInContact = inContact
	if err == nil {
		f.lastParent = parent
	}
}

// pollParent makes one long poll of the leader or a relay and applies the response. The
// error is a *NoContactError if the called host serves no recent state.
func (f *Follower) pollParent(ctx context.Context, parent string) error {
	request := f.newRequest()
	request.WaitMs, request.WantPeers = uint32(longPollWait.Milliseconds()), time.Since(f.peersUpdatedAt) > peersRefreshInterval
	request.FromRelay = slices.Contains(f.parents.Relays(), parent)
	request.Arrivals = encodeLoadReport(f.hostState.TakeLoadReport())
	request.Signals = encodeSignals(f.hostState.ServerSignals())
	sentAt, receivedBefore := f.options.Now(), f.client.Received.Load()
	r, err := f.clientFor(parent).Follow(ctx, request)
	f.lastPoll = pollStats{duration: f.options.Now() - sentAt, received: f.client.Received.Load() - receivedBefore}
	if err != nil {
		return err
	}
	if !r.Leading && !(r.Relaying && request.FromRelay) {
		return &NoContactError{Reason: NotLeading}
	}
	f.applyReceived(r)
	age := time.Duration(r.AgeMs) * time.Millisecond
	// The way of the response is unknown and may take as long as the poll. The called host
	// looked at its state HeldMs after the request arrived there, by a clock that may jump.
	stateAt := min(sentAt+time.Duration(r.HeldMs)*time.Millisecond, f.options.Now()) - age
	if age < neverReadAge {
		f.hostState.RecordStoreContact(directory.Contact{Begin: stateAt, End: stateAt})
	}
	complete, err := f.applyResponse(r, stateAt)
	if err != nil || !complete {
		return err
	}
	if age >= f.options.MaxStateAge {
		return &NoContactError{Reason: LeaderWithoutStore, StoreAge: age}
	}
	f.lastLeader.Store(&r.Leader)
	f.stateAt.Store(int64(stateAt))
	if !f.InContact() {
		return &NoContactError{Reason: LateResponse, StoreAge: f.StateAge()}
	}
	return nil
}

// applyReceived applies the parts of a response that relays pass on unchanged.
func (f *Follower) applyReceived(r *followv1.FollowResponse) {
	if len(r.Peers) > 0 {
		f.peers, f.peersUpdatedAt = r.Peers, time.Now()
	}
	received := &Received{HostCount: int(r.Hosts), Admitted: decodeAdmittedShares(r.Admitted), Relays: r.Relays, Peers: f.peers}
	if !r.Leading && len(r.Relays) == 0 {
		// A relay that has read the store itself since its start knows no relays.
		received.Relays = f.parents.Relays()
	}
	f.parents.SetRelays(f.options.Now(), r.Leader, received.Relays)
	received.Relays = f.parents.Relays()
	f.received.Store(received)
	f.hostState.SetHostCount(received.HostCount)
	f.hostState.SetAdmittedShares(received.Admitted)
}

// applyResponse applies the state that the store had at a time, by Options.Now. It returns false if
// it could not apply all of it, so that the state of this host is older.
func (f *Follower) applyResponse(r *followv1.FollowResponse, stateAt time.Duration) (complete bool, err error) {
	origin := Origin{Source: r.Host, Age: f.options.Now() - stateAt}
	// A configuration makes the host ready, so the evacuations come first.
	if e := r.Evacuations; e != nil {
		f.hostState.ReplaceEvacuations(e.Zones, e.Offset, origin)
	}
	configApplied, configErr := f.applyConfig(r, origin)
	if r.AllServers || r.Host != f.serversSource {
		f.servers = map[string]directory.Server{}
	}
	f.serversSource, f.serversRevision = r.Host, r.ServersRevision
	for _, c := range r.Servers {
		if c.Removed {
			delete(f.servers, c.Id)
			continue
		}
		f.servers[c.Id] = directory.Server{ID: c.Id, Born: c.Born, Service: c.Service, Address: c.Address, Zone: c.Zone,
			Slots: int(c.Slots), Draining: c.Draining, Cold: c.Cold}
	}
	// Without contact the host has read the servers itself, and goes on with those of the
	// called host when that is up to date.
	contactRegained := !f.InContact() && origin.Age < f.options.MaxStateAge
	if len(r.Servers) > 0 || r.AllServers || f.serversUnused || contactRegained {
		f.serversUnused = !f.hostState.ReplaceServers(f.servers, r.ServersOffset, origin)
	}
	if r.Map != nil {
		if err := f.applyMapChange(r.Map); err != nil {
			return false, err
		}
	}
	return configApplied, configErr
}

// applyMapChange passes on the map that results from a change. BaseEnd is the NextOffset
// of the map to which the change applies, 0 if the change contains all ranges.
func (f *Follower) applyMapChange(c *followv1.MapChange) error {
	base := &assignment.Map{}
	if c.BaseEnd > 0 {
		if base = f.hostState.NewestMap(); base == nil || base.NextOffset != c.BaseEnd {
			return nil // the map has changed since the request; the next response has another base
		}
	}
	servers := make([]assignment.ServerIncarnation, len(c.Servers))
	for i, s := range c.Servers {
		servers[i] = assignment.ServerIncarnation{ID: s.Id, Born: s.Born, Address: s.Address}
	}
	updates := make([]assignment.RangeUpdate, 0, len(c.Ranges))
	for _, r := range c.Ranges {
		if int(r.Owner) >= len(servers) || int(r.Previous) > len(servers) || r.To >= assignment.KeyCount || r.From > r.To {
			return fmt.Errorf("map change with next offset %d dropped: keys %d to %d do not form a valid range, or its server is not listed", c.End, r.From, r.To)
		}
		u := assignment.RangeUpdate{Service: r.Service, Range: assignment.Range{From: uint16(r.From), To: uint16(r.To), Owner: servers[r.Owner], GrantPending: r.Pending, Move: r.Move}}
		if r.Previous > 0 {
			u.Range.PreviousHolder = servers[r.Previous-1]
		}
		updates = append(updates, u)
	}
	metadata := assignment.Map{Offset: c.Offset, NextOffset: c.End, Era: c.Era, Term: c.Term, Leader: c.Leader, Sequence: c.Sequence, Resigned: c.Resigned, EarlierLeaders: c.EarlierLeaders}
	m := assignment.ApplyUpdates(base, metadata, updates)
	if !m.IsComplete() {
		return fmt.Errorf("map change with next offset %d dropped: its ranges overlap or leave out keys", c.End)
	}
	f.hostState.ObserveMap(m)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
