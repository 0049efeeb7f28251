package placement

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
)

// Server is a backend server that can own slices.
type Server struct {
	Name        string
	Zone        string
	Weight      int // relative share of slices; servers with a weight below 1 get none
	OwnedSlices int // number of slices that it owns already
}

// PlaceSlices returns the initial owners of the slices of a service. The number of slices
// of a server is its rounded share by weight; rendezvous hashing decides which slices. It
// returns nil if no server has a positive weight.
func PlaceSlices(service string, ranges []keyspace.Range, servers []Server) []record.SlicePlacement {
	return assignSlices(service, ranges, withoutSlices(servers))
}

// withoutSlices returns a copy of servers that own no slices.
func withoutSlices(servers []Server) []Server {
	empty := slices.Clone(servers)
	for i := range empty {
		empty[i].OwnedSlices = 0
	}
	return empty
}

// EvacuateSlices returns new owners for the slices of a server in fromZone that is draining
// or has failed and must not be among servers. Servers of other zones get slices only if
// fromZone has no server with a positive weight. The slices are distributed so that the
// counts per weight, with OwnedSlices, become as even as possible. It returns nil if no
// server has a positive weight.
func EvacuateSlices(service, fromZone string, ranges []keyspace.Range, servers []Server) []record.SlicePlacement {
	var local []Server
	for _, s := range servers {
		if s.Zone == fromZone && s.Weight > 0 {
			local = append(local, s)
		}
	}
	if len(local) > 0 {
		servers = local
	}
	return assignSlices(service, ranges, servers)
}

// RebalanceSlices returns the moves that give each server its share of the slices by
// weight. Only slices above the share of their owner and slices whose owner isn't in
// servers move, so that adding or removing a server moves its share only. OwnedSlices is
// ignored. It returns nil if no server has a positive weight.
func RebalanceSlices(service string, current []record.SlicePlacement, servers []Server) []record.SlicePlacement {
	quota := receiveQuotas(len(current), withoutSlices(servers))
	if quota == nil {
		return nil
	}
	indexOf := indexByName(servers)
	ownedByServer := make([][]record.SlicePlacement, len(servers))
	var toMove []keyspace.Range
	for _, p := range current {
		if i, ok := indexOf[p.Server]; ok {
			ownedByServer[i] = append(ownedByServer[i], p)
		} else {
			toMove = append(toMove, p.Range)
		}
	}
	for i, owned := range ownedByServer {
		// The slices with the highest rendezvous cost for this server move first.
		excess := max(len(owned)-quota[i], 0)
		hasher := newSliceHasher(service)
		hash := xxhash.Sum64String(servers[i].Name)
		slices.SortFunc(owned, func(a, b record.SlicePlacement) int {
			return cmp.Or(
				cmp.Compare(rendezvousCost(hasher.hash(b.Range), hash, 1), rendezvousCost(hasher.hash(a.Range), hash, 1)),
				cmp.Compare(a.Range.First, b.Range.First),
			)
		})
		for _, p := range owned[:excess] {
			toMove = append(toMove, p.Range)
		}
		quota[i] = max(quota[i]-len(owned), 0)
	}
	slices.SortFunc(toMove, func(a, b keyspace.Range) int { return cmp.Compare(a.First, b.First) })
	return fillQuotas(service, toMove, servers, quota)
}

// indexByName returns the positions of the servers with a positive weight.
func indexByName(servers []Server) map[string]int {
	index := make(map[string]int, len(servers))
	for i, s := range servers {
		if s.Weight > 0 {
			index[s.Name] = i
		}
	}
	return index
}

// assignSlices assigns ranges by quotas that take OwnedSlices into account.
func assignSlices(service string, ranges []keyspace.Range, servers []Server) []record.SlicePlacement {
	quota := receiveQuotas(len(ranges), servers)
	if quota == nil {
		return nil
	}
	return fillQuotas(service, ranges, servers, quota)
}

// receiveQuotas returns how many of sliceCount slices each server receives in addition to
// OwnedSlices, so that the counts per weight become as even as possible. It returns nil if
// no server has a positive weight.
func receiveQuotas(sliceCount int, servers []Server) []int {
	shares := &shareHeap{}
	quota := make([]int, len(servers))
	for i, s := range servers {
		if s.Weight > 0 {
			*shares = append(*shares, serverShare{serverIndex: i, sliceCount: s.OwnedSlices, weight: s.Weight, tieBreaker: xxhash.Sum64String(s.Name)})
		}
	}
	if shares.Len() == 0 {
		return nil
	}
	heap.Init(shares)
	for range sliceCount {
		lowest := &(*shares)[0]
		quota[lowest.serverIndex]++
		lowest.sliceCount++
		heap.Fix(shares, 0)
	}
	return quota
}

// serverShare is the number of slices of a server in relation to its weight.
type serverShare struct {
	serverIndex int
	sliceCount  int
	weight      int
	tieBreaker  uint64
}

// shareHeap implements heap.Interface. The server that would have the lowest count per
// weight with one more slice comes first.
type shareHeap []serverShare

func (h shareHeap) Len() int { return len(h) }
func (h shareHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	left, right := (a.sliceCount+1)*b.weight, (b.sliceCount+1)*a.weight
	if left != right {
		return left < right
	}
	return a.tieBreaker < b.tieBreaker
}
func (h shareHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *shareHeap) Push(x any)   { *h = append(*h, x.(serverShare)) }
func (h *shareHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fillQuotas assigns each range to the server with the lowest rendezvous cost among those
// whose quota isn't used up. The sum of quotas must be at least the number of ranges. It
// modifies quota.
func fillQuotas(service string, ranges []keyspace.Range, servers []Server, quota []int) []record.SlicePlacement {
	type openServer struct {
		serverIndex int
		hash        uint64
	}
	var openServers []openServer
	for i, s := range servers {
		if quota[i] > 0 {
			openServers = append(openServers, openServer{serverIndex: i, hash: xxhash.Sum64String(s.Name)})
		}
	}
	hasher := newSliceHasher(service)
	placements := make([]record.SlicePlacement, 0, len(ranges))
	for _, r := range ranges {
		best, bestCost := 0, 0.0
		hash := hasher.hash(r)
		for k, o := range openServers {
			cost := rendezvousCost(hash, o.hash, float64(servers[o.serverIndex].Weight))
			if k == 0 || cost < bestCost {
				best, bestCost = k, cost
			}
		}
		i := openServers[best].serverIndex
		placements = append(placements, record.SlicePlacement{Range: r, Server: servers[i].Name})
		if quota[i]--; quota[i] == 0 {
			openServers = slices.Delete(openServers, best, best+1)
		}
	}
	return placements
}

// sliceHasher returns hashes of the slices of one service as rendezvous subjects. Its value
// is the hash of the service.
type sliceHasher uint64

func newSliceHasher(service string) sliceHasher {
	return sliceHasher(xxhash.Sum64String("slice/" + service))
}

func (s sliceHasher) hash(r keyspace.Range) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(s))
	binary.LittleEndian.PutUint64(buf[8:], r.First)
	return xxhash.Sum64(buf[:])
}
