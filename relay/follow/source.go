// Package follow lets one host read the platform's store for all: the host that
// leads the assignment of keys passes configuration, servers and assignment on,
// and the others follow it. A host that does not hear a leader reads the store
// itself.
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

// Bounds of a Source.
const (
	// keptMaps and keptChanges are the history from which differences are made. A
	// caller that is further behind gets everything.
	keptMaps    = 64
	keptChanges = 1024
	// forgetHost is the time after which a silent host is not counted.
	forgetHost = 5 * time.Second
	// maxPeers is the number of other hosts that a host is told. If a third of the
	// hosts lose the store together, one in 6,561 of them knows no other host.
	maxPeers = 8
	// maxWait bounds the wait that a caller may ask for.
	maxWait = 2 * time.Second
)

// Assigner is what the source needs of the assignment at its host.
type Assigner interface {
	// Leading says whether other hosts may rely on this one.
	Leading() bool
	// RecordLoadReport takes what a host reports of its requests.
	RecordLoadReport(edge.LoadReport)
	// RecordKnownMap notes that the process of a host knows the map up to end.
	RecordKnownMap(incarnation string, end uint64)
}

// Source answers the hosts that follow this one. It implements followv1.Leader.
type Source struct {
	host      string // incarnation
	leader    Assigner
	following func() string

	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	config   []byte
	version  uint64
	servers  map[string]directory.Server
	revision uint64
	changes  []change // the newest, oldest first
	maps     []*assignment.Map
	contact  time.Time
	heard    map[string]time.Time // host: its last call
}

type change struct {
	revision uint64
	id       string
}

// NewSource returns the source of a host. following returns the incarnation of
// the leader that the host hears; empty for none.
func NewSource(host string, leader Assigner, following func() string) *Source {
	return &Source{host: host, leader: leader, following: following, changed: make(chan struct{}), servers: map[string]directory.Server{}, heard: map[string]time.Time{}}
}

// wake tells waiting callers of a change; it holds s.mu.
func (s *Source) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetConfig sets the configuration in force.
func (s *Source) SetConfig(c routes.Config) error {
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("configuration %d: %w", c.Version, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version > s.version {
		s.config, s.version = data, c.Version
		s.wake()
	}
	return nil
}

// SetServers sets the known servers.
func (s *Source) SetServers(servers map[string]directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	for id, v := range servers {
		if s.servers[id] != v {
			s.note(id)
		}
	}
	for id := range s.servers {
		if _, ok := servers[id]; !ok {
			s.note(id)
		}
	}
	s.servers = servers
	if s.revision != before {
		s.wake()
	}
}

func (s *Source) note(id string) {
	s.revision++
	s.changes = append(s.changes, change{revision: s.revision, id: id})
	if len(s.changes) > keptChanges {
		s.changes = append(s.changes[:0], s.changes[len(s.changes)-keptChanges/2:]...)
	}
}

// SetMap sets the assignment.
func (s *Source) SetMap(m *assignment.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maps = append(s.maps, m)
	if len(s.maps) > keptMaps {
		s.maps = append(s.maps[:0], s.maps[len(s.maps)-keptMaps/2:]...)
	}
	s.wake()
}

// RecordStoreContact notes that the store answered.
func (s *Source) RecordStoreContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact = time.Now()
}

// Follow implements followv1.Leader.
func (s *Source) Follow(ctx context.Context, r *followv1.FollowRequest) (*followv1.FollowResponse, error) {
	if len(r.Arrivals) > 0 {
		s.leader.RecordLoadReport(decodeReport(r.Arrivals))
	}
	s.leader.RecordKnownMap(r.Host, r.MapEnd)
	timer := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		response, changed := s.answer(r)
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

func decodeReport(list []*followv1.Arrivals) edge.LoadReport {
	report := edge.LoadReport{RequestedKeys: map[string][]uint16{}, ServiceTimes: map[string]edge.ServiceTime{}}
	for _, a := range list {
		for _, k := range a.Keys {
			report.RequestedKeys[a.Service] = append(report.RequestedKeys[a.Service], uint16(k))
		}
		for _, t := range a.Times {
			report.ServiceTimes[t.Server] = edge.ServiceTime{Count: int(t.Count), Sum: time.Duration(t.SumMs) * time.Millisecond}
		}
	}
	return report
}

func (s *Source) answer(r *followv1.FollowRequest) (*followv1.FollowResponse, <-chan struct{}) {
	leading := s.leader.Leading()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[r.Host] = time.Now()
	response := &followv1.FollowResponse{Host: s.host, Leading: leading, AgeMs: uint32(time.Since(s.contact).Milliseconds()), ServersRevision: s.revision, Hosts: uint32(s.hosts())}
	if !leading {
		response.Leader = s.following()
		return response, nil
	}
	response.Leader = s.host
	if r.WantPeers {
		response.Peers = s.peersFor(r.Host)
	}
	if r.ConfigVersion < s.version {
		response.Config = s.config
	}
	s.addServers(r, response)
	if n := len(s.maps); n > 0 && s.maps[n-1].NextOffset > r.MapEnd {
		response.Map = s.mapChange(r.MapEnd)
	}
	return response, s.changed
}

// peersFor returns some of the hosts that followed lately.
func (s *Source) peersFor(host string) []string {
	var peers []string
	for other := range s.heard { // in random order
		if other != host {
			peers = append(peers, other)
		}
		if len(peers) == maxPeers {
			break
		}
	}
	return peers
}

// HostCount returns the number of hosts that followed lately, this one included.
func (s *Source) HostCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts()
}

func (s *Source) hosts() int {
	for host, at := range s.heard {
		if time.Since(at) > forgetHost {
			delete(s.heard, host)
		}
	}
	return len(s.heard) + 1
}

func (s *Source) addServers(r *followv1.FollowRequest, response *followv1.FollowResponse) {
	if r.ServersSource == s.host && r.ServersRevision == s.revision {
		return
	}
	if r.ServersSource != s.host || len(s.changes) == 0 || s.changes[0].revision > r.ServersRevision+1 {
		response.AllServers = true
		for _, v := range s.servers {
			response.Servers = append(response.Servers, encodeServer(v))
		}
		return
	}
	named := map[string]bool{}
	for _, c := range s.changes {
		if c.revision <= r.ServersRevision || named[c.id] {
			continue
		}
		named[c.id] = true
		if v, ok := s.servers[c.id]; ok {
			response.Servers = append(response.Servers, encodeServer(v))
		} else {
			response.Servers = append(response.Servers, &followv1.ServerChange{Id: c.id, Removed: true})
		}
	}
}

func (s *Source) mapChange(known uint64) *followv1.MapChange {
	newest := s.maps[len(s.maps)-1]
	base := &assignment.Map{}
	for _, m := range s.maps {
		if m.NextOffset == known {
			base = m
		}
	}
	change := &followv1.MapChange{BaseEnd: base.NextOffset, Offset: newest.Offset, End: newest.NextOffset, Term: newest.Term, Leader: newest.Leader,
		Sequence: newest.Sequence, Resigned: newest.Resigned}
	index := map[assignment.ServerIncarnation]uint32{}
	number := func(i assignment.ServerIncarnation) uint32 {
		n, ok := index[i]
		if !ok {
			n = uint32(len(change.Servers))
			index[i] = n
			change.Servers = append(change.Servers, &followv1.Incarnation{Id: i.ID, Born: i.Born, Address: i.Address})
		}
		return n
	}
	for _, u := range newest.Diff(base) {
		r := &followv1.Range{Service: u.Service, From: uint32(u.Range.From), To: uint32(u.Range.To), Owner: number(u.Range.Owner)}
		r.Pending = u.Range.GrantPending
		if u.Range.AwaitsRelease() {
			r.Previous = number(u.Range.PreviousHolder) + 1
		}
		change.Ranges = append(change.Ranges, r)
	}
	return change
}

func encodeServer(s directory.Server) *followv1.ServerChange {
	return &followv1.ServerChange{Id: s.ID, Born: s.Born, Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: uint32(s.Slots), Draining: s.Draining, Cold: s.Cold}
}
