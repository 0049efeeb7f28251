// Package placement decides, by weighted rendezvous hashing, which daemon should be the
// home of a server, which daemons are the witnesses of a scope, in what order daemons
// propose records, and which server owns which slice. All functions are pure, so daemons
// with the same state compute the same results without communication.
//
// Terms, which package ownership defines in full:
//
//   - A member is one incarnation, that is one process, of the daemon on an entry host.
//   - The home of a server is the only daemon that sends requests to it.
//   - The witnesses of a scope (a zone, or all zones) are the members of which a majority
//     must respond before a daemon may act on its state.
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

// rendezvousCost returns the cost of assigning a subject to a candidate, both given by
// their hashes. A subject goes to the candidate with the lowest cost. With u uniform in
// (0, 1], the cost -ln(u)/weight is exponentially distributed with rate weight. A candidate
// therefore wins with probability weight / sum of all weights, and a change of one weight
// moves only subjects to or from that candidate.
func rendezvousCost(subject, candidate uint64, weight float64) float64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], subject)
	binary.LittleEndian.PutUint64(pair[8:], candidate)
	// A float64 represents 53 bits exactly; adding 1 keeps u above 0.
	u := float64(xxhash.Sum64(pair[:])>>11+1) / (1 << 53)
	return -math.Log(u) / weight
}

// memberHash returns the hash of a daemon as a candidate. It depends on host name and peer
// URL, which a restarted daemon keeps, and not on the incarnation, which changes: the
// daemon thus returns to its position in each rendezvous order. The incarnation is used only
// if both are empty and thus don't identify the daemon.
func memberHash(m state.Member) uint64 {
	if m.Host == "" && m.PeerURL == "" {
		return xxhash.Sum64String(m.Incarnation)
	}
	return xxhash.Sum64String(m.Host + "\x00" + m.PeerURL)
}

// RendezvousOrder returns members in the order in which subject prefers them. Incarnations
// of one daemon have equal costs; the one that joined last comes first.
func RendezvousOrder(subject string, members []state.Member) []state.Member {
	type rankedMember struct {
		member state.Member
		cost   float64
	}
	hash := xxhash.Sum64String(subject)
	ranked := make([]rankedMember, len(members))
	for i, m := range members {
		ranked[i] = rankedMember{member: m, cost: rendezvousCost(hash, memberHash(m), 1)}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(b.member.JoinedAt, a.member.JoinedAt),
			cmp.Compare(a.member.Incarnation, b.member.Incarnation),
		)
	})
	ordered := make([]state.Member, len(ranked))
	for i, s := range ranked {
		ordered[i] = s.member
	}
	return ordered
}

// RendezvousRank returns the position, from 0, of an incarnation in the rendezvous order of
// members for subject. ok is false if the incarnation isn't among them.
func RendezvousRank(subject, incarnation string, members []state.Member) (rank int, ok bool) {
	rank = slices.IndexFunc(RendezvousOrder(subject, members), func(m state.Member) bool { return m.Incarnation == incarnation })
	return rank, rank >= 0
}

// maxDelaySteps limits the delay of daemons with a high rank. Longer delays would slow
// down recovery without avoiding more duplicate proposals.
const maxDelaySteps = 8

// ProposalDelay returns how long the daemon at rank waits before it proposes a record, so
// that normally only the daemon at rank 0 proposes it.
func ProposalDelay(rank int, step time.Duration) time.Duration {
	return time.Duration(min(max(rank, 0), maxDelaySteps)) * step
}

// LatestPerPeerURL returns members without those whose peer URL a later member uses:
// after a restart at the same address, the earlier incarnation of a daemon stays a member
// until it is removed. Members without a peer URL all remain. The order is kept.
func LatestPerPeerURL(members []state.Member) []state.Member {
	newest := make(map[string]uint64, len(members))
	for _, m := range members {
		newest[m.PeerURL] = max(newest[m.PeerURL], m.JoinedAt)
	}
	latest := make([]state.Member, 0, len(members))
	for _, m := range members {
		if m.PeerURL == "" || m.JoinedAt == newest[m.PeerURL] {
			latest = append(latest, m)
		}
	}
	return latest
}

// HomeCandidates returns the members that may be the home of a server in availability zone
// zone, the preferred one first. In witness scope state.WitnessScopeAll, members of the
// server's zone come first because of their lower latency; in the scope of a zone, no
// others are allowed.
func HomeCandidates(server, zone, scope string, members []state.Member) []state.Member {
	local, remote := splitByZone(zone, LatestPerPeerURL(members))
	homes := RendezvousOrder(homeSubject(server), local)
	if scope == state.WitnessScopeAll {
		homes = append(homes, RendezvousOrder(homeSubject(server), remote)...)
	}
	return homes
}

func homeSubject(server string) string { return "home/" + server }

// splitByZone returns the members in a zone and the other members.
func splitByZone(zone string, members []state.Member) (local, remote []state.Member) {
	for _, m := range members {
		if m.Zone == zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}
