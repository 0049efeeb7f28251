// Package placement decides, by weighted rendezvous hashing, which daemon should
// be the home of a server, which daemons witness for a scope, in what order
// daemons propose records, and which server gets which slice. All functions are
// pure: daemons with the same state compute the same results.
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyrelay.example/core/state"
)

// score returns the cost of giving subject to a candidate of the given weight;
// the lowest cost wins. -ln(u)/w with u uniform in (0, 1] is an exponential
// variable of rate w, so a candidate wins with probability w / sum of weights,
// and changing one weight moves only subjects to or from that candidate.
func score(subject, candidate uint64, weight float64) float64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], subject)
	binary.LittleEndian.PutUint64(pair[8:], candidate)
	// 53 bits are what a float64 holds exactly; adding 1 keeps u above 0.
	u := float64(xxhash.Sum64(pair[:])>>11+1) / (1 << 53)
	return -math.Log(u) / weight
}

// identity is what a daemon is hashed by. A restarted daemon has a new
// incarnation but keeps name and address, so that it gets the same place again.
func identity(m state.Member) uint64 {
	if m.Host == "" && m.PeerURL == "" {
		return xxhash.Sum64String(m.Incarnation)
	}
	return xxhash.Sum64String(m.Host + "\x00" + m.PeerURL)
}

// RendezvousOrder returns hosts in rendezvous order for subject, the preferred one first.
func RendezvousOrder(subject string, hosts []state.Member) []state.Member {
	type scored struct {
		member state.Member
		cost   float64
	}
	hash := xxhash.Sum64String(subject)
	list := make([]scored, len(hosts))
	for i, m := range hosts {
		list[i] = scored{member: m, cost: score(hash, identity(m), 1)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(b.member.JoinedAt, a.member.JoinedAt),
			cmp.Compare(a.member.Incarnation, b.member.Incarnation),
		)
	})
	ordered := make([]state.Member, len(list))
	for i, s := range list {
		ordered[i] = s.member
	}
	return ordered
}

// RendezvousRank returns the position of an incarnation in the rendezvous order of hosts
// for subject. ok is false when it is not among them.
func RendezvousRank(subject, incarnation string, hosts []state.Member) (rank int, ok bool) {
	rank = slices.IndexFunc(RendezvousOrder(subject, hosts), func(m state.Member) bool { return m.Incarnation == incarnation })
	return rank, rank >= 0
}

// maxDelaySteps bounds the delay of the last proposers. Waiting longer than 8
// steps costs recovery time without saving duplicate proposals.
const maxDelaySteps = 8

// ProposalDelay returns how long the daemon at rank waits before it proposes, so that
// normally only the first one does.
func ProposalDelay(rank int, step time.Duration) time.Duration {
	return time.Duration(min(max(rank, 0), maxDelaySteps)) * step
}

// LatestPerPeerURL drops members whose peer URL a later member has taken over: a daemon
// that was restarted at the same address and whose predecessor has not yet been
// removed. The order of the others is kept.
func LatestPerPeerURL(hosts []state.Member) []state.Member {
	newest := make(map[string]uint64, len(hosts))
	for _, m := range hosts {
		newest[m.PeerURL] = max(newest[m.PeerURL], m.JoinedAt)
	}
	latest := make([]state.Member, 0, len(hosts))
	for _, m := range hosts {
		if m.PeerURL == "" || m.JoinedAt == newest[m.PeerURL] {
			latest = append(latest, m)
		}
	}
	return latest
}

// HomeCandidates returns the hosts that may be the home of a server, the preferred one
// first. In scope state.WitnessScopeAll hosts of the server's own zone come before the
// others, since they are nearer; in a zone scope only they are allowed.
func HomeCandidates(server, zone, scope string, hosts []state.Member) []state.Member {
	local, remote := byZone(zone, LatestPerPeerURL(hosts))
	homes := RendezvousOrder(homeSubject(server), local)
	if scope == state.WitnessScopeAll {
		homes = append(homes, RendezvousOrder(homeSubject(server), remote)...)
	}
	return homes
}

func homeSubject(server string) string { return "home/" + server }

// byZone divides hosts into those of a zone and the others.
func byZone(zone string, hosts []state.Member) (local, remote []state.Member) {
	for _, m := range hosts {
		if m.Zone == zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}
