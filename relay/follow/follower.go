package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/telemetry"
)

// Times of a Follower.
const (
	// callWait is the wait of a call without news. Arrivals are reported with each
	// call, and busy keys must be known within a fraction of a second.
	callWait = 350 * time.Millisecond
	// callTimeout bounds a call besides its wait.
	callTimeout = 500 * time.Millisecond
	// MaxContactAge is the age of the leader's last contact with the store, and of a
	// host's last contact with the leader, up to which the host follows. Together
	// with a read of the store it stays below the two seconds within which a
	// configuration is in force.
	MaxContactAge = time.Second
	// pauseAfterFailure spaces calls to a leader that does not answer.
	pauseAfterFailure = 200 * time.Millisecond
	// pauseWithoutLeader spaces looks for a leader in the newest map.
	pauseWithoutLeader = 20 * time.Millisecond
	// askTimeout bounds a question to another host, which answers at once.
	askTimeout = 250 * time.Millisecond
	// peersEvery is the age at which the list of other hosts is renewed.
	peersEvery = 5 * time.Second
)

// HostState is what a follower knows and where it puts what it learns.
type HostState interface {
	ConfigVersion() uint64
	NewestMap() *assignment.Map // newest; nil for none
	// MapLeader returns the leader that the newest map names; empty for none.
	MapLeader() (incarnation string)
	// AddressOf returns where the process of a host answers.
	AddressOf(incarnation string) string
	ApplyConfig(routes.Config)
	// ReplaceServers replaces all servers.
	ReplaceServers(map[string]directory.Server)
	ObserveMap(*assignment.Map)
	// SetHostCount sets the number of hosts.
	SetHostCount(int)
	// TakeLoadReport returns what the leader should know of requests since the last call.
	TakeLoadReport() edge.LoadReport
}

// Follower follows the leading host. A host that can reach neither the store nor
// the leader of its map asks other hosts which leader they follow, so that a host
// that only lost the store goes on with what is in force.
type Follower struct {
	host      string
	beliefs   HostState
	journal   *telemetry.Journal
	http      *http.Client
	heard     atomic.Int64 // time after base
	following atomic.Pointer[string]
	base      time.Time
	source    string
	revision  uint64
	servers   map[string]directory.Server
	hears     bool
	peers     []string // incarnations of other hosts
	peersAt   time.Time
	asked     int
	referral  referral
}

// referral is a leader that another host named while the newest map named
// instead.
type referral struct{ leader, instead string }

// NewFollower returns a follower that does not run yet.
func NewFollower(host string, beliefs HostState, journal *telemetry.Journal) *Follower {
	f := &Follower{host: host, beliefs: beliefs, journal: journal, base: time.Now()}
	f.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}, Timeout: callWait + callTimeout}
	f.heard.Store(int64(-time.Hour))
	return f
}

// SinceLastContact returns the time since a leader with contact to the store was heard.
func (f *Follower) SinceLastContact() time.Duration {
	return time.Since(f.base) - time.Duration(f.heard.Load())
}

// CurrentLeader returns the incarnation of the leader that is heard; empty for none.
func (f *Follower) CurrentLeader() string {
	if leader := f.following.Load(); leader != nil && f.SinceLastContact() < MaxContactAge {
		return *leader
	}
	return ""
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		leader := f.leader()
		ok, err, wait := false, error(nil), pauseWithoutLeader
		if leader != "" && leader != f.host {
			ok, err = f.call(ctx, leader)
			wait = pauseAfterFailure
		}
		f.note(ok, leader, err)
		if ok {
			continue
		}
		if leader != f.host && len(f.peers) > 0 && f.SinceLastContact() > MaxContactAge {
			f.referral = referral{} // the named leader did not answer, or there is none
			f.ask(ctx)
			wait = pauseAfterFailure
		}
		pause(ctx, wait)
	}
	return nil
}

// leader returns the leader that the newest map names, or the one that another
// host named since.
func (f *Follower) leader() string {
	leader := f.beliefs.MapLeader()
	if f.referral.leader != "" && f.referral.instead == leader {
		return f.referral.leader
	}
	return leader
}

// ask asks the next of the other hosts which leader it follows.
func (f *Follower) ask(ctx context.Context) {
	f.asked++
	peer := f.peers[f.asked%len(f.peers)]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := f.client(peer).Follow(ctx, f.request())
	if err != nil || r.Leader == "" || r.Leader == f.leader() {
		return // the next host is asked after a pause
	}
	f.referral = referral{leader: r.Leader, instead: f.beliefs.MapLeader()}
	f.journal.Event(event.LeaderReferred, "leader", r.Leader, "instead", f.referral.instead, "by", r.Host, "silence_ms", f.SinceLastContact().Milliseconds())
}

// request tells what this host knows. MapEnd must be true: it can prove that an
// earlier process of this host has ended, see assigner.Assigner.RecordKnownMap.
func (f *Follower) request() *followv1.FollowRequest {
	request := &followv1.FollowRequest{Host: f.host, ConfigVersion: f.beliefs.ConfigVersion(), ServersSource: f.source, ServersRevision: f.revision}
	if m := f.beliefs.NewestMap(); m != nil {
		request.MapEnd = m.NextOffset
	}
	return request
}

func (f *Follower) client(incarnation string) followv1.Leader {
	return followv1.NewLeaderProtobufClient("http://"+f.beliefs.AddressOf(incarnation), f.http)
}

// note logs when the leader is heard again or no more.
func (f *Follower) note(ok bool, leader string, err error) {
	if ok {
		f.following.Store(&leader)
		f.heard.Store(int64(time.Since(f.base)))
	}
	hears := f.SinceLastContact() < MaxContactAge
	if hears == f.hears {
		return
	}
	f.hears = hears
	if hears {
		f.journal.Event(event.LeaderHeard, "leader", leader)
	} else {
		f.journal.Event(event.LeaderSilent, "leader", leader, "silence_ms", f.SinceLastContact().Milliseconds(), "error", err)
	}
}

func (f *Follower) call(ctx context.Context, leader string) (bool, error) {
	request := f.request()
	request.WaitMs, request.WantPeers = uint32(callWait.Milliseconds()), time.Since(f.peersAt) > peersEvery
	request.Arrivals = encodeReport(f.beliefs.TakeLoadReport())
	r, err := f.client(leader).Follow(ctx, request)
	if err != nil {
		return false, err
	}
	if !r.Leading {
		return false, nil
	}
	f.beliefs.SetHostCount(int(r.Hosts))
	if len(r.Peers) > 0 {
		f.peers, f.peersAt = r.Peers, time.Now()
	}
	if err := f.take(r); err != nil {
		return false, err
	}
	return time.Duration(r.AgeMs)*time.Millisecond < MaxContactAge, nil
}

func encodeReport(r edge.LoadReport) []*followv1.Arrivals {
	times := &followv1.Arrivals{}
	for server, t := range r.ServiceTimes {
		times.Times = append(times.Times, &followv1.ServiceTime{Server: server, Count: uint32(t.Count), SumMs: uint32(t.Sum.Milliseconds())})
	}
	var list []*followv1.Arrivals
	if len(times.Times) > 0 {
		list = append(list, times)
	}
	for service, keys := range r.RequestedKeys {
		a := &followv1.Arrivals{Service: service, Keys: make([]uint32, len(keys))}
		for i, k := range keys {
			a.Keys[i] = uint32(k)
		}
		list = append(list, a)
	}
	return list
}

func (f *Follower) take(r *followv1.FollowResponse) error {
	if len(r.Config) > 0 {
		var c routes.Config
		if err := json.Unmarshal(r.Config, &c); err != nil {
			return fmt.Errorf("configuration of the leader: %w", err)
		}
		f.beliefs.ApplyConfig(c)
	}
	if r.AllServers || r.Host != f.source {
		f.servers = map[string]directory.Server{}
	}
	f.source, f.revision = r.Host, r.ServersRevision
	for _, c := range r.Servers {
		if c.Removed {
			delete(f.servers, c.Id)
			continue
		}
		f.servers[c.Id] = directory.Server{ID: c.Id, Born: c.Born, Service: c.Service, Address: c.Address, Zone: c.Zone,
			Slots: int(c.Slots), Draining: c.Draining, Cold: c.Cold}
	}
	if len(r.Servers) > 0 || r.AllServers {
		f.beliefs.ReplaceServers(f.servers)
	}
	if r.Map != nil {
		return f.takeMap(r.Map)
	}
	return nil
}

func (f *Follower) takeMap(c *followv1.MapChange) error {
	base := &assignment.Map{}
	if c.BaseEnd > 0 {
		if base = f.beliefs.NewestMap(); base == nil || base.NextOffset != c.BaseEnd {
			return nil // a newer map came from the store meanwhile
		}
	}
	servers := make([]assignment.ServerIncarnation, len(c.Servers))
	for i, s := range c.Servers {
		servers[i] = assignment.ServerIncarnation{ID: s.Id, Born: s.Born, Address: s.Address}
	}
	updates := make([]assignment.RangeUpdate, 0, len(c.Ranges))
	for _, r := range c.Ranges {
		if int(r.Owner) >= len(servers) || int(r.Previous) > len(servers) || r.To >= assignment.KeyCount || r.From > r.To {
			return fmt.Errorf("map at %d: range %d to %d is not valid", c.End, r.From, r.To)
		}
		u := assignment.RangeUpdate{Service: r.Service, Range: assignment.Range{From: uint16(r.From), To: uint16(r.To), Owner: servers[r.Owner], GrantPending: r.Pending}}
		if r.Previous > 0 {
			u.Range.PreviousHolder = servers[r.Previous-1]
		}
		updates = append(updates, u)
	}
	head := assignment.Map{Offset: c.Offset, NextOffset: c.End, Term: c.Term, Leader: c.Leader, Sequence: c.Sequence, Resigned: c.Resigned}
	f.beliefs.ObserveMap(assignment.ApplyUpdates(base, head, updates))
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
