// Package follow distributes the state of the platform's store through one host, so
// that the other hosts need not read the store. The host that leads the assignment of
// keys serves the configuration, the servers and the assignment map as a Source. The
// other hosts poll it with a Follower, and read the store themselves while they have no
// contact with a leader.
package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/edge"
)

// Limits and times of a Source.
const (
	// maxMapHistory and maxServerChanges limit the history from which differences are
	// computed. A follower that is further behind receives the whole state.
	maxMapHistory    = 64
	maxServerChanges = 1024
	// followerTimeout is the time without a call after which a follower is forgotten.
	followerTimeout = 5 * time.Second
	// maxPeers is the number of other hosts that are sent to a follower, which asks them
	// for the leader if it loses the store. If a third of the hosts lose the store
	// together, all 8 peers of one in 6,561 (3^8) of them have lost it too.
	maxPeers = 8
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

// Source answers the calls of followers. It implements followv1.Leader. A host that does
// not lead answers with the incarnation of the leader that it follows.
type Source struct {
	incarnation    string // of this host
	assigner       Assigner
	followedLeader func() string

	mu                    sync.Mutex
	changed               chan struct{} // closed at the next change
	configJSON            []byte
	configVersion         uint64
	servers               map[string]directory.Server
	serversRevision       uint64
	serverChanges         []serverChange    // oldest first
	mapHistory            []*assignment.Map // oldest first
	lastStoreContact      time.Time
	lastCallByIncarnation map[string]time.Time // of followers
}

// serverChange records that a server was added, changed or removed.
type serverChange struct {
	revision uint64 // serversRevision after the change
	id       string // of the server
}

// NewSource returns the source of the host process that incarnation identifies.
// followedLeader returns the incarnation of the leader that the follower of this
// process is in contact with, or "".
func NewSource(incarnation string, assigner Assigner, followedLeader func() string) *Source {
	return &Source{incarnation: incarnation, assigner: assigner, followedLeader: followedLeader, changed: make(chan struct{}), servers: map[string]directory.Server{}, lastCallByIncarnation: map[string]time.Time{}}
}

// wakeFollowersLocked wakes the calls that wait for a change. As for all methods with
// this suffix, s.mu must be held.
func (s *Source) wakeFollowersLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetConfig sets the configuration to send to followers, if it is newer than the last.
func (s *Source) SetConfig(c routes.Config) error {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode configuration version %d: %w", c.Version, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version > s.configVersion {
		s.configJSON, s.configVersion = data, c.Version
		s.wakeFollowersLocked()
	}
	return nil
}

// SetServers sets all known servers, by ID. The map must not be changed afterwards.
func (s *Source) SetServers(servers map[string]directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// SetMap adds the newest assignment map to the history. A full history is cut to its
// newer half.
func (s *Source) SetMap(m *assignment.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mapHistory = append(s.mapHistory, m)
	if len(s.mapHistory) > maxMapHistory {
		s.mapHistory = append(s.mapHistory[:0], s.mapHistory[len(s.mapHistory)-maxMapHistory/2:]...)
	}
	s.wakeFollowersLocked()
}

// RecordStoreContact records that the store responded just now.
func (s *Source) RecordStoreContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreContact = time.Now()
}

// Follow implements followv1.Leader. It responds at once if this host does not lead or the
// follower lacks a change; otherwise it waits for the next change or the end of the wait.
func (s *Source) Follow(ctx context.Context, r *followv1.FollowRequest) (*followv1.FollowResponse, error) {
	if len(r.Arrivals) > 0 {
		s.assigner.RecordLoadReport(decodeLoadReport(r.Arrivals))
	}
	s.assigner.RecordKnownMap(r.Host, r.MapEnd)
	timer := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxLongPollWait))
	defer timer.Stop()
	for {
		response, changed := s.respond(r)
		if !response.Leading || response.Config != nil || response.Servers != nil || response.AllServers || response.Map != nil {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func decodeLoadReport(messages []*followv1.Arrivals) edge.LoadReport {
	report := edge.LoadReport{RequestedKeys: map[string][]uint16{}, ServiceTimes: map[string]edge.ServiceTime{}}
	for _, a := range messages {
		for _, k := range a.Keys {
			report.RequestedKeys[a.Service] = append(report.RequestedKeys[a.Service], uint16(k))
		}
		for _, t := range a.Times {
			report.ServiceTimes[t.Server] = edge.ServiceTime{Count: int(t.Count), Sum: time.Duration(t.SumMs) * time.Millisecond, Reports: int(t.Reports), Waiting: int(t.Waiting)}
		}
	}
	return report
}

// respond records the follower's call and returns the response at this moment. It also
// returns a channel that is closed at the next change, or nil if this host does not lead.
func (s *Source) respond(r *followv1.FollowRequest) (*followv1.FollowResponse, <-chan struct{}) {
	leading := s.assigner.Leading()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCallByIncarnation[r.Host] = time.Now()
	response := &followv1.FollowResponse{Host: s.incarnation, Leading: leading, AgeMs: uint32(time.Since(s.lastStoreContact).Milliseconds()), ServersRevision: s.serversRevision, Hosts: uint32(s.hostCountLocked())}
	if !leading {
		response.Leader = s.followedLeader()
		return response, nil
	}
	response.Leader = s.incarnation
	for id, share := range s.assigner.AdmittedShares() {
		response.Admitted = append(response.Admitted, &followv1.AdmittedShare{Server: id, PerMille: uint32(share * 1000)})
	}
	if r.WantPeers {
		response.Peers = s.peersForLocked(r.Host)
	}
	if r.ConfigVersion < s.configVersion {
		response.Config = s.configJSON
	}
	s.addServerChangesLocked(r, response)
	if n := len(s.mapHistory); n > 0 && s.mapHistory[n-1].NextOffset > r.MapEnd {
		response.Map = s.mapChangeSinceLocked(r.MapEnd)
	}
	return response, s.changed
}

// peersForLocked returns the incarnations of up to maxPeers other followers.
func (s *Source) peersForLocked(follower string) []string {
	var peers []string
	for other := range s.lastCallByIncarnation { // in random order
		if other != follower {
			peers = append(peers, other)
		}
		if len(peers) == maxPeers {
			break
		}
	}
	return peers
}

// HostCount returns the number of hosts that called within followerTimeout, plus this
// host.
func (s *Source) HostCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostCountLocked()
}

// hostCountLocked removes hosts that stopped calling and returns the number of hosts.
func (s *Source) hostCountLocked() int {
	for host, at := range s.lastCallByIncarnation {
		if time.Since(at) > followerTimeout {
			delete(s.lastCallByIncarnation, host)
		}
	}
	return len(s.lastCallByIncarnation) + 1
}

// addServerChangesLocked adds the servers that changed since the follower's revision to
// the response, or all servers if the history does not reach back to it.
func (s *Source) addServerChangesLocked(r *followv1.FollowRequest, response *followv1.FollowResponse) {
	if r.ServersSource == s.incarnation && r.ServersRevision == s.serversRevision {
		return
	}
	if r.ServersSource != s.incarnation || len(s.serverChanges) == 0 || s.serverChanges[0].revision > r.ServersRevision+1 {
		response.AllServers = true
		for _, v := range s.servers {
			response.Servers = append(response.Servers, encodeServer(v))
		}
		return
	}
	listed := map[string]bool{}
	for _, c := range s.serverChanges {
		if c.revision <= r.ServersRevision || listed[c.id] {
			continue
		}
		listed[c.id] = true
		if v, ok := s.servers[c.id]; ok {
			response.Servers = append(response.Servers, encodeServer(v))
		} else {
			response.Servers = append(response.Servers, &followv1.ServerChange{Id: c.id, Removed: true})
		}
	}
}

// mapChangeSinceLocked returns the difference between the map with nextOffset and the
// newest map, or the whole newest map if the history does not contain the former.
func (s *Source) mapChangeSinceLocked(nextOffset uint64) *followv1.MapChange {
	newest := s.mapHistory[len(s.mapHistory)-1]
	base := &assignment.Map{}
	for _, m := range s.mapHistory {
		if m.NextOffset == nextOffset {
			base = m
		}
	}
	change := &followv1.MapChange{BaseEnd: base.NextOffset, Offset: newest.Offset, End: newest.NextOffset, Term: newest.Term, Leader: newest.Leader,
		Sequence: newest.Sequence, Resigned: newest.Resigned}
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
	for _, u := range newest.Diff(base) {
		r := &followv1.Range{Service: u.Service, From: uint32(u.Range.From), To: uint32(u.Range.To), Owner: serverIndex(u.Range.Owner)}
		r.Pending = u.Range.GrantPending
		if u.Range.AwaitsRelease() {
			r.Previous = serverIndex(u.Range.PreviousHolder) + 1 // 0 stands for no previous holder
		}
		change.Ranges = append(change.Ranges, r)
	}
	return change
}

func encodeServer(s directory.Server) *followv1.ServerChange {
	return &followv1.ServerChange{Id: s.ID, Born: s.Born, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: uint32(s.Slots), Draining: s.Draining, Cold: s.Cold}
}
