// Package followtree decides from which host a host gets the state of the platform's
// store. In a deployment of up to DirectHosts hosts all follow the leader. In a larger one
// the leader names a few relays in each availability zone; these follow the leader, and
// the other hosts of the zone follow them. The loss of the leader is then noticed by the
// relays only, which read the store themselves until there is another leader, so that
// the number of hosts that read the store does not grow with the deployment.
//
// No host elects or appoints itself: the leader selects the relays, and hosts that find
// no relay return to the leader. Lists of relays may differ between hosts for a while. A
// circle of hosts that follow each other ends by itself, because each host adds the age
// of its information to that of the host it follows and leaves it at a limit.
//
// The package does no I/O. Points in time are passed in, as durations since an arbitrary
// origin on one monotonic clock.
package followtree

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DirectHosts is the number of hosts up to which all follow the leader.
	DirectHosts = 100
	// RelaysPerZone is the number of relays of an availability zone. Its hosts keep a
	// relay when two fail at once.
	RelaysPerZone = 3
	// selectionInterval is the time for which a selection of relays is kept. Until hosts
	// know their relays, all of them call the leader, which answers each with its list.
	selectionInterval = 100 * time.Millisecond
	// hostTTL is the time after which the leader forgets a host that neither calls nor is
	// reported by a relay.
	hostTTL = 5 * time.Second
	// failedRelayPause is the time for which a host passes over a relay that did not serve
	// it.
	failedRelayPause = 2 * time.Second
)

// Host describes a host that may become a relay.
type Host struct {
	Incarnation    string
	Zone           string
	ProcessorShare float64 // part of a processor core; hosts with more become relays first
}

// Registry is the leader's knowledge of the other hosts. It is not safe for concurrent
// use.
type Registry struct {
	callers    map[string]caller    // by incarnation
	candidates map[string]candidate // by incarnation
	relays     map[string][]string  // incarnations by zone, the preferred one first
	relaysAt   time.Duration        // when relays were selected
}

// caller is a host that calls the leader.
type caller struct {
	Host
	calledAt  time.Duration
	followers int // hosts that follow it
}

// candidate is a host that a relay reported as one of its followers.
type candidate struct {
	Host
	reportedAt time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{callers: map[string]caller{}, candidates: map[string]candidate{}}
}

// RecordCall records a call of a host that itself has the given number of followers, of
// which it reports a few as candidates.
func (r *Registry) RecordCall(now time.Duration, h Host, followers int, candidates []Host) {
	r.callers[h.Incarnation] = caller{Host: h, calledAt: now, followers: followers}
	for _, c := range candidates {
		r.candidates[c.Incarnation] = candidate{Host: c, reportedAt: now}
	}
}

// HostCount returns the number of hosts that called or follow a caller, plus this host.
func (r *Registry) HostCount(now time.Duration) int {
	r.expire(now)
	count := 1
	for _, c := range r.callers {
		count += 1 + c.followers
	}
	return count
}

func (r *Registry) expire(now time.Duration) {
	for id, c := range r.callers {
		if now-c.calledAt > hostTTL {
			delete(r.callers, id)
		}
	}
	for id, c := range r.candidates {
		if now-c.reportedAt > hostTTL {
			delete(r.candidates, id)
		}
	}
}

// Callers returns the incarnations of up to limit callers other than the given one, in
// random order.
func (r *Registry) Callers(except string, limit int) []string {
	var list []string
	for id := range r.callers {
		if len(list) == limit {
			break
		}
		if id != except {
			list = append(list, id)
		}
	}
	return list
}

// Relays returns the incarnations of the relays of an availability zone, the preferred one
// first; none in a small deployment. The list must not be changed. Relays are selected
// anew every selectionInterval.
func (r *Registry) Relays(now time.Duration, zone string) []string {
	if r.relays == nil || now-r.relaysAt >= selectionInterval {
		r.selectRelays(now)
	}
	return r.relays[zone]
}

func (r *Registry) selectRelays(now time.Duration) {
	r.relays, r.relaysAt = map[string][]string{}, now
	if r.HostCount(now) <= DirectHosts {
		return
	}
	byZone := map[string][]Host{}
	for _, c := range r.callers {
		byZone[c.Zone] = append(byZone[c.Zone], c.Host)
	}
	for id, c := range r.candidates {
		if _, calls := r.callers[id]; !calls {
			byZone[c.Zone] = append(byZone[c.Zone], c.Host)
		}
	}
	for zone, hosts := range byZone {
		r.relays[zone] = incarnationsOf(preferred(hosts, RelaysPerZone))
	}
}

// Candidates returns up to RelaysPerZone callers, the preferred ones first. A relay
// reports them to the leader, so that they can replace relays that fail.
func (r *Registry) Candidates(now time.Duration) []Host {
	r.expire(now)
	var hosts []Host
	for _, c := range r.callers {
		hosts = append(hosts, c.Host)
	}
	return preferred(hosts, RelaysPerZone)
}

// preferred returns the first hosts in the order of their processor share. Hosts with the
// same share are ordered by hash, so that all leaders select the same.
func preferred(hosts []Host, limit int) []Host {
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare),
			cmp.Compare(xxhash.Sum64String(a.Incarnation), xxhash.Sum64String(b.Incarnation)))
	})
	return hosts[:min(limit, len(hosts))]
}

func incarnationsOf(hosts []Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.Incarnation
	}
	return list
}

// Parents selects the host that a host follows. It is not safe for concurrent use.
type Parents struct {
	self         string // incarnation of this host
	relays       []string
	relaysLeader string                   // incarnation of the leader that selected relays
	leader       string                   // incarnation of the newest known leader
	leaderSince  time.Duration            // when this host first heard of leader
	failedAt     map[string]time.Duration // by incarnation of a relay
}

// NewParents returns the selection of the host process that self identifies. Without
// relays it selects the leader.
func NewParents(self string) *Parents {
	return &Parents{self: self, failedAt: map[string]time.Duration{}}
}

// SetRelays sets the relays of this host's zone as a leader selected them; leader is "" if
// it is unknown. The relays of a former leader stay for hostTTL, within which the new one
// hears of all hosts. Before that it may know too few to select any.
func (p *Parents) SetRelays(now time.Duration, leader string, relays []string) {
	if leader != "" && leader != p.leader {
		p.leader, p.leaderSince = leader, now
	}
	if len(p.relays) > 0 && p.relaysLeader != p.leader && now-p.leaderSince < hostTTL {
		return
	}
	p.relays, p.relaysLeader = relays, p.leader
	for id := range p.failedAt {
		if !slices.Contains(relays, id) {
			delete(p.failedAt, id)
		}
	}
}

// Relays returns the relays of this host's zone.
func (p *Parents) Relays() []string { return p.relays }

// RecordFailure records that a host did not serve this host.
func (p *Parents) RecordFailure(now time.Duration, parent string) {
	if slices.Contains(p.relays, parent) {
		p.failedAt[parent] = now
	}
}

// Next returns the host to follow now: a relay that did not fail lately, or else the
// leader, which may be unknown (""). The hosts of a zone start with different relays.
func (p *Parents) Next(now time.Duration, leader string) string {
	if leader == p.self || slices.Contains(p.relays, p.self) {
		return leader
	}
	first := int(xxhash.Sum64String(p.self) % uint64(max(1, len(p.relays))))
	for i := range p.relays {
		relay := p.relays[(first+i)%len(p.relays)]
		if failedAt, failed := p.failedAt[relay]; !failed || now-failedAt > failedRelayPause {
			return relay
		}
	}
	return leader
}
