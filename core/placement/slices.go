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
	OwnedSlices int // slices owned already; only EvacuateSlices counts them
}

// PlaceSlices returns the initial owners of the slices of a service. The number of slices
// of a server is its rounded share by weight; rendezvous hashing decides which slices. It
// returns nil if no server has a positive weight.
func PlaceSlices(service string, ranges []keyspace.Range, servers []Server) []record.SlicePlacement {
	return placeByQuota(service, ranges, withoutSlices(servers))
}

// withoutSlices returns a copy of servers that own no slices.
func withoutSlices(servers []Server) []Server {
	empty := slices.Clone(servers)
	for i := range empty {
		empty[i].OwnedSlices = 0
	}
	return empty
}

// EvacuateSlices returns new owners for ranges, which are slices of a draining or failed
// server in zone fromZone. servers must not include that server. Servers of other zones get
// slices only if fromZone has no server with a positive weight. The slices are distributed
// so that the counts per weight, with OwnedSlices, become as even as possible. It returns
// nil if no server has a positive weight.
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
	return placeByQuota(service, ranges, servers)
}

// RebalanceSliceCounts returns the new owners of the slices that have to move so that each
// server owns its share of the slices by weight. It considers the number of slices only;
// package balance plans moves by load. Only slices above the share of their owner and slices
// whose owner isn't in servers move, so that adding or removing a server moves its share
// only. OwnedSlices is ignored. It returns nil if no server has a positive weight.
func RebalanceSliceCounts(service string, current []record.SlicePlacement, servers []Server) []record.SlicePlacement {
	quotas := quotasByWeight(len(current), withoutSlices(servers))
	if quotas == nil {
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
		// The slices with the highest rendezvous cost for this server move first. The weight
		// doesn't change their order within one server.
		excess := max(len(owned)-quotas[i], 0)
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
		quotas[i] = max(quotas[i]-len(owned), 0)
	}
	slices.SortFunc(toMove, func(a, b keyspace.Range) int { return cmp.Compare(a.First, b.First) })
	return fillQuotas(service, toMove, servers, quotas)
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

// placeByQuota assigns ranges by the quotas that quotasByWeight returns.
func placeByQuota(service string, ranges []keyspace.Range, servers []Server) []record.SlicePlacement {
	quotas := quotasByWeight(len(ranges), servers)
	if quotas == nil {
		return nil
	}
	return fillQuotas(service, ranges, servers, quotas)
}

// quotasByWeight returns how many of sliceCount slices each server receives in addition to
// OwnedSlices, so that the counts per weight become as even as possible. It returns nil if
// no server has a positive weight.
func quotasByWeight(sliceCount int, servers []Server) []int {
	counts := &countPerWeightHeap{}
	quotas := make([]int, len(servers))
	for i, s := range servers {
		if s.Weight > 0 {
			*counts = append(*counts, serverCount{serverIndex: i, sliceCount: s.OwnedSlices, weight: s.Weight, tieBreaker: xxhash.Sum64String(s.Name)})
		}
	}
	if counts.Len() == 0 {
		return nil
	}
	heap.Init(counts)
	for range sliceCount {
		lowest := &(*counts)[0]
		quotas[lowest.serverIndex]++
		lowest.sliceCount++
		heap.Fix(counts, 0)
	}
	return quotas
}

// serverCount is the number of slices of a server in relation to its weight.
type serverCount struct {
	serverIndex int
	sliceCount  int
	weight      int
	tieBreaker  uint64
}

// countPerWeightHeap implements heap.Interface. The server that would have the lowest count per
// weight with one more slice comes first.
type countPerWeightHeap []serverCount

func (h countPerWeightHeap) Len() int { return len(h) }
func (h countPerWeightHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	left, right := (a.sliceCount+1)*b.weight, (b.sliceCount+1)*a.weight
	if left != right {
		return left < right
	}
	return a.tieBreaker < b.tieBreaker
}
func (h countPerWeightHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *countPerWeightHeap) Push(x any)   { *h = append(*h, x.(serverCount)) }
func (h *countPerWeightHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fillQuotas assigns each range to the server with the lowest rendezvous cost among those
// whose quota isn't used up. The sum of quotas must be at least the number of ranges. It
// modifies quota.
func fillQuotas(service string, ranges []keyspace.Range, servers []Server, quotas []int) []record.SlicePlacement {
	type openServer struct {
		serverIndex int
		hash        uint64
	}
	var openServers []openServer
	for i, s := range servers {
		if quotas[i] > 0 {
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
		if quotas[i]--; quotas[i] == 0 {
			openServers = slices.Delete(openServers, best, best+1)
		}
	}
	return placements
}

// sliceHasher returns hashes of the slices of one service as rendezvous subjects. Its value
// is the hash of the service. A slice is hashed by its first hash only, so that the lower
// part of a split slice keeps the hash of the whole.
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
