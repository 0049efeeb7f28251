// Package follow distributes the state of the platform's store through one host, so
// that the other hosts need not read the store. The host that leads the assignment of
// keys serves the configuration, the servers and the assignment map as a Source. The
// other hosts poll it with a Follower, in a large deployment through relays (package
// followtree), and read the store themselves while what they know is too old.
//
// Each host knows the age of its state, which is the time since the store sent it. A
// follower adds the time since the response to the age that its parent reported.
package follow

import (
	"context"
	"net/http"
	"sync"
	"time"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/followtree"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/core/warmup"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/upstream"
)

// Limits and times of a Source.
const (
	// maxServerChanges limits the history from which the changes of the servers are
	// computed. A follower that is further behind receives all servers.
	maxServerChanges = 1024
	// maxPeers is the number of other hosts that are sent to a follower, which asks them
	// for the leader if it loses the store. If a third of the hosts lose the store
	// together, all 8 peers of one in 6,561 (3^8) of them have lost it too.
	maxPeers = 8
	// maxMessageBytes limits the body of a call between hosts and of its response, which the
	// generated code reads whole.
	maxMessageBytes = 16 << 20
	// MaxHeadBytes limits the head of a call between hosts and of its response.
	MaxHeadBytes = 64 << 10
	// maxLongPollWait limits the wait that a request may ask for.
	maxLongPollWait = 2 * time.Second
)

// Assigner is the part of assigner.Assigner that a Source uses.
type Assigner interface {
	// Leading reports whether this host leads, so that other hosts may follow it.
	Leading() bool
	// RecordLoadReport records a host's report about its requests for keyed services.
	RecordLoadReport(edge.LoadReport)
	// AdmittedShares returns the share of the requests that hosts may queue for each
	// overloaded server, by server id.
	AdmittedShares() map[string]float64
	// RecordKnownMap records the NextOffset of the newest map of the process that
	// incarnation identifies.
	RecordKnownMap(incarnation string, nextOffset uint64)
}

// Upstream is what a host that does not lead gets from the host that it follows. It is
// implemented by Follower.
type Upstream interface {
	// CurrentLeader returns the incarnation of the leader that it is in contact with,
	// directly or through a relay, or "".
	CurrentLeader() string
	// StateAge returns the age of the state that it received.
	StateAge() time.Duration
	// Received returns what is passed on to followers unchanged.
	Received() Received
}

// Received holds the parts of a leader's response that relays pass on unchanged.
type Received struct {
	HostCount int
	Admitted  map[string]float64 // see Assigner.AdmittedShares
	Relays    []string           // of the zone of the receiver
	Peers     []string
}

// Source answers the calls of followers. It implements followv1.Leader. A host that does
// not lead serves as a relay while its state is recent, and answers with the incarnation
// of the leader that it follows.
type Source struct {
	options   Options
	assigner  Assigner
	upstream  Upstream
	addReport func(edge.LoadReport) // takes the reports of followers of a relay

	mu              sync.Mutex
	changed         chan struct{} // closed at the next change
	configs         configHistory
	configOffset    uint64 // the newest configuration reflects the store's log of the operator's records before it
	servers         map[string]directory.Server
	serversOffset   uint64 // the servers reflect the store's log of registrations before it
	serversRevision uint64
	serverChanges   []serverChange // oldest first
	maps            assignment.Changes
	evacuations     evacuations
	configReadAt    time.Duration // last response of the store about the configuration, by Options.Now
	serversReadAt   time.Duration // likewise about the servers
	registry        *followtree.Registry
	// Responses that several followers get, until the next change.
	mapChanges    map[uint64]*followv1.MapChange      // by MapEnd of the request
	serverUpdates map[uint64][]*followv1.ServerChange // by ServersRevision of the request
	allServers    []*followv1.ServerChange
}

// serverChange records that a server was added, changed or removed.
type serverChange struct {
	revision uint64 // serversRevision after the change
	id       string // of the server
}

// Options are common to the Source and the Follower of a host.
type Options struct {
	Incarnation string               // identifies the host's process
	Now         func() time.Duration // time since boot; see package clock
	// MaxStateAge is the age of its state from which a host no longer relies on the host
	// that it follows, reads the store itself and is no relay.
	MaxStateAge time.Duration
	// OnStoreContact is called with the contact to the store that a follower reports.
	OnStoreContact func(directory.Contact)
	// OnServerSignals is called with the signals that a follower reports with each call.
	OnServerSignals func(follower string, signals []directory.Signal)
	// LendPermits lends permits for cold servers to another host; lending is false if this
	// host does not lend now. It is nil if the host never lends.
	LendPermits func(host string, demands []warmup.Demand) (grants []warmup.Grant, lending bool)
	Dial        upstream.DialFunc // opens connections to other hosts
}

// NewSource returns the source of a host. follower is the host's own follower.
// addReport adds the load reports of a relay's followers to the host's own.
func NewSource(o Options, assigner Assigner, follower Upstream, addReport func(edge.LoadReport)) *Source {
	s := &Source{options: o, assigner: assigner, upstream: follower, addReport: addReport, changed: make(chan struct{}), servers: map[string]directory.Server{},
		configReadAt: neverRead, serversReadAt: neverRead, registry: followtree.NewRegistry()}
	s.forgetServerUpdatesLocked()
	s.mapChanges = map[uint64]*followv1.MapChange{}
	return s
}

// NewHandler returns the handler of the calls of followers, for paths below
// followv1.LeaderPathPrefix.
func NewHandler(s followv1.Leader) http.Handler {
	return http.MaxBytesHandler(followv1.NewLeaderServer(s), maxMessageBytes)
}

// neverRead is the time of a read that has not happened. The state is then older than
// neverReadAge.
const (
	neverRead    = -neverReadAge
	neverReadAge = time.Hour
)

func (s *Source) forgetServerUpdatesLocked() {
	s.serverUpdates, s.allServers = map[uint64][]*followv1.ServerChange{}, nil
}

// wakeFollowersLocked wakes the calls that wait for a change. As for all methods with
// this suffix, s.mu must be held.
func (s *Source) wakeFollowersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetConfig sets the configuration to send to followers, if it is newer than the last.
func (s *Source) SetConfig(c routes.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version > s.configs.newestVersion() {
		s.configs.add(c)
		s.wakeFollowersLocked()
	}
}

// SetServers sets all known servers, by ID, which reflect the store's log of registrations
// before an offset. The map must not be changed afterwards.
func (s *Source) SetServers(servers map[string]directory.Server, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serversOffset = max(s.serversOffset, offset)
	before := s.serversRevision
	for id, v := range servers {
		if s.servers[id] != v {
			s.recordServerChangeLocked(id)
		}
	}
	for id := range s.servers {
		if _, ok := servers[id]; !ok {
			s.recordServerChangeLocked(id)
		}
	}
	s.servers = servers
	if s.serversRevision != before {
		s.forgetServerUpdatesLocked()
		s.wakeFollowersLocked()
	}
}

// recordServerChangeLocked adds a change of a server to the history. A full history is
// cut to its newer half.
func (s *Source) recordServerChangeLocked(id string) {
	s.serversRevision++
	s.serverChanges = append(s.serverChanges, serverChange{revision: s.serversRevision, id: id})
	if len(s.serverChanges) > maxServerChanges {
		s.serverChanges = append(s.serverChanges[:0], s.serverChanges[len(s.serverChanges)-maxServerChanges/2:]...)
	}
}

// SetMap sets the newest assignment map.
func (s *Source) SetMap(m *assignment.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maps.Add(m)
	clear(s.mapChanges)
	s.wakeFollowersLocked()
}

// RecordConfigRead records that this host has the configuration that the store had at a
// time, by Options.Now, and at an offset of its log of the operator's records. It must be called
// after SetConfig.
func (s *Source) RecordConfigRead(at time.Duration, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configReadAt = max(s.configReadAt, at)
	s.configOffset = max(s.configOffset, offset)
}

// RecordConfigOffset records that this host has received a configuration that reflects the store's
// log of the operator's records before an offset. It must be called after SetConfig.
func (s *Source) RecordConfigOffset(offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configOffset = max(s.configOffset, offset)
}

// ConfigOffset returns the offset before which the newest configuration reflects the store's log of
// the operator's records, 0 if it is unknown.
func (s *Source) ConfigOffset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configOffset
}

// RecordServersRead records that this host has the servers that the store had at a time,
// by Options.Now, and at an offset of its log of registrations. It must be called after
// SetServers.
func (s *Source) RecordServersRead(at time.Duration, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serversOffset = max(s.serversOffset, offset)
	s.serversReadAt = max(s.serversReadAt, at)
}

// StateAge returns the time since the store sent the state that this host decides by.
func (s *Source) StateAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateAgeLocked()
}

// stateAgeLocked returns the age of the state that this host knows: of the older of its
// reads of the store, or of what it received from the host that it follows.
func (s *Source) stateAgeLocked() time.Duration {
	return min(s.options.Now()-min(s.configReadAt, s.serversReadAt), s.upstream.StateAge())
}

// Follow implements followv1.Leader. It responds at once if this host does not serve its
// state or the follower lacks a change; otherwise it waits for the next change or the end
// of the wait.
func (s *Source) Follow(ctx context.Context, r *followv1.FollowRequest) (*followv1.FollowResponse, error) {
	if len(r.Arrivals) > 0 {
		s.recordReport(decodeLoadReport(r.Arrivals))
	}
	s.options.OnServerSignals(r.Host, decodeSignals(r.Signals))
	arrived := s.options.Now()
	s.assigner.RecordKnownMap(r.Host, r.MapEnd)
	if r.StoreContact != nil {
		s.options.OnStoreContact(decodeContact(s.options.Now(), r.StoreContact))
	}
	timer := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxLongPollWait))
	defer timer.Stop()
	for {
		response, changed, evacuationsChanged, err := s.respond(r, arrived)
		if err != nil || changed == nil || response.Config != nil || response.ConfigUpdate != nil || response.Servers != nil || response.AllServers || response.Map != nil || evacuationsChanged {
			return response, err
		}
		select {
		case <-changed:
		case <-timer.C:
			// The age and the limits are those of the end of the wait.
			response, _, _, err = s.respond(r, arrived)
			return response, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordReport passes a load report to the leader: to the assigner of this host if it
// leads, or with this host's next report.
func (s *Source) recordReport(r edge.LoadReport) {
	if s.assigner.Leading() {
		s.assigner.RecordLoadReport(r)
		return
	}
	s.addReport(r)
}

// respond records the follower's call, which arrived at a time, and returns the response at
// this moment. It also returns a channel that is closed at the next change, or nil if this host does not serve
// its state, and whether the follower may lack the evacuations. The error is that of a
// configuration that cannot be encoded.
func (s *Source) respond(r *followv1.FollowRequest, arrived time.Duration) (*followv1.FollowResponse, <-chan struct{}, bool, error) {
	leading, received := s.assigner.Leading(), s.upstream.Received()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if r.Caller != nil {
		var candidates []followtree.Host
		for _, c := range r.Candidates {
			candidates = append(candidates, decodeHostInfo(c))
		}
		s.registry.RecordCall(now, decodeHostInfo(r.Caller), int(r.Followers), candidates)
	}
	age := s.stateAgeLocked()
	response := &followv1.FollowResponse{Host: s.options.Incarnation, Leading: leading, Relaying: !leading && age < s.options.MaxStateAge, AgeMs: roundUpMs(age), HeldMs: uint32((now - arrived).Milliseconds()), ServersRevision: s.serversRevision, ServersOffset: s.serversOffset}
	switch {
	case leading:
		response.Leader = s.options.Incarnation
		received = Received{HostCount: s.registry.HostCount(now), Admitted: s.assigner.AdmittedShares(), Peers: s.registry.Callers(r.Host, maxPeers)}
		if r.Caller != nil {
			received.Relays = s.registry.Relays(now, r.Caller.Zone)
		}
	default:
		response.Leader = s.upstream.CurrentLeader()
		if !response.Relaying || !r.FromRelay {
			// A caller that looks for the leader would not use the state.
			return response, nil, false, nil
		}
	}
	response.Hosts, response.Relays = uint32(received.HostCount), received.Relays
	for id, share := range received.Admitted {
		response.Admitted = append(response.Admitted, &followv1.AdmittedShare{Server: id, PerMille: uint32(share * 1000)})
	}
	if r.WantPeers {
		response.Peers = received.Peers
	}
	if err := s.addConfigLocked(r, response); err != nil {
		return nil, nil, false, err
	}
	s.addServerChangesLocked(r, response)
	if m := s.maps.Newest(); m != nil && m.NextOffset > r.MapEnd {
		response.Map = s.mapChangeSinceLocked(r.MapEnd)
	}
	var evacuationsChanged bool
	response.Evacuations, evacuationsChanged = s.evacuations.next(r.Host)
	return response, s.changed, evacuationsChanged, nil
}

// addConfigLocked adds the newest configuration to the response if the follower lacks it.
func (s *Source) addConfigLocked(r *followv1.FollowRequest, response *followv1.FollowResponse) (err error) {
	response.ConfigOffset = s.configOffset
	switch {
	case r.ConfigVersion >= s.configs.newestVersion():
	case r.AcceptsConfigUpdate:
		response.ConfigUpdate, err = s.configs.update(r.ConfigVersion)
	default:
		response.Config, err = s.configs.whole()
	}
	return err
}

// roundUpMs returns a duration in milliseconds; a state must not look younger than it is.
func roundUpMs(d time.Duration) uint32 { return uint32((d + time.Millisecond - 1).Milliseconds()) }

func decodeHostInfo(h *followv1.HostInfo) followtree.Host {
	return followtree.Host{Incarnation: h.Incarnation, Zone: h.Zone, ProcessorShare: float64(h.ProcessorPerMille) / 1000}
}

func encodeHostInfo(h followtree.Host) *followv1.HostInfo {
	return &followv1.HostInfo{Incarnation: h.Incarnation, Zone: h.Zone, ProcessorPerMille: uint32(h.ProcessorShare * 1000)}
}

// HostCount returns the number of hosts that follow this one, directly or through relays,
// plus this host.
func (s *Source) HostCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.HostCount(s.options.Now())
}

// Candidates returns some of the hosts that follow this one, which may become relays.
func (s *Source) Candidates() []followtree.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Candidates(s.options.Now())
}

// addServerChangesLocked adds the servers that changed since the follower's revision to
// the response, or all servers if the history does not reach back to it.
func (s *Source) addServerChangesLocked(r *followv1.FollowRequest, response *followv1.FollowResponse) {
	if r.ServersSource == s.options.Incarnation && r.ServersRevision == s.serversRevision {
		return
	}
	if r.ServersSource != s.options.Incarnation || len(s.serverChanges) == 0 || s.serverChanges[0].revision > r.ServersRevision+1 {
		if s.allServers == nil {
			for _, v := range s.servers {
				s.allServers = append(s.allServers, encodeServer(v))
			}
		}
		response.AllServers, response.Servers = true, s.allServers
		return
	}
	updates, ok := s.serverUpdates[r.ServersRevision]
	if !ok {
		updates = s.serverChangesSinceLocked(r.ServersRevision)
		s.serverUpdates[r.ServersRevision] = updates
	}
	response.Servers = updates
}

// serverChangesSinceLocked returns the present state of the servers that changed after a
// revision.
func (s *Source) serverChangesSinceLocked(revision uint64) []*followv1.ServerChange {
	var updates []*followv1.ServerChange
	listed := map[string]bool{}
	for _, c := range s.serverChanges {
		if c.revision <= revision || listed[c.id] {
			continue
		}
		listed[c.id] = true
		if v, ok := s.servers[c.id]; ok {
			updates = append(updates, encodeServer(v))
		} else {
			updates = append(updates, &followv1.ServerChange{Id: c.id, Removed: true})
		}
	}
	return updates
}

// mapChangeSinceLocked returns the difference between the map with nextOffset and the
// newest map, or the whole newest map if the history does not contain the former.
func (s *Source) mapChangeSinceLocked(nextOffset uint64) *followv1.MapChange {
	if change, ok := s.mapChanges[nextOffset]; ok {
		return change
	}
	newest := s.maps.Newest()
	baseEnd := nextOffset
	updates, known := s.maps.Since(nextOffset)
	if !known {
		updates, baseEnd = newest.Diff(&assignment.Map{}), 0
	}
	change := &followv1.MapChange{BaseEnd: baseEnd, Offset: newest.Offset, End: newest.NextOffset, Era: newest.Era, Term: newest.Term, Leader: newest.Leader,
		Sequence: newest.Sequence, Resigned: newest.Resigned, EarlierLeaders: newest.EarlierLeaders}
	indexes := map[assignment.ServerIncarnation]uint32{}
	serverIndex := func(i assignment.ServerIncarnation) uint32 {
		n, ok := indexes[i]
		if !ok {
			n = uint32(len(change.Servers))
			indexes[i] = n
			change.Servers = append(change.Servers, &followv1.Incarnation{Id: i.ID, Born: i.Born, Address: i.Address})
		}
		return n
	}
	for _, u := range updates {
		r := &followv1.Range{Service: u.Service, From: uint32(u.Range.From), To: uint32(u.Range.To), Owner: serverIndex(u.Range.Owner)}
		r.Pending, r.Move = u.Range.GrantPending, u.Range.Move
		if u.Range.AwaitsRelease() {
			r.Previous = serverIndex(u.Range.PreviousHolder) + 1 // 0 stands for no previous holder
		}
		change.Ranges = append(change.Ranges, r)
	}
	s.mapChanges[nextOffset] = change
	return change
}

func encodeContact(now time.Duration, c directory.Contact) *followv1.StoreContact {
	ago := func(at time.Duration) uint32 { return uint32(min(max(0, now-at), neverReadAge).Milliseconds()) }
	return &followv1.StoreContact{BeginMsAgo: ago(c.Begin), EndMsAgo: ago(c.End)}
}

func decodeContact(now time.Duration, c *followv1.StoreContact) directory.Contact {
	return directory.Contact{Begin: now - time.Duration(c.BeginMsAgo)*time.Millisecond, End: now - time.Duration(c.EndMsAgo)*time.Millisecond}
}

func encodeServer(s directory.Server) *followv1.ServerChange {
	return &followv1.ServerChange{Id: s.ID, Born: s.Born, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: uint32(s.Slots), Draining: s.Draining, Cold: s.Cold}
}
