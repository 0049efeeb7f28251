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

// Server is a backend server that slices can be given to.
type Server struct {
	Name        string
	Zone        string
	Weight      int // relative share of slices; servers with less than 1 get none
	OwnedSlices int // slices that it owns already
}

// PlaceSlices distributes the slices of a service for the first time. Each server gets
// its share by weight, rounded; within these counts rendezvous order decides. It
// returns nil when no server has a weight.
func PlaceSlices(service string, ranges []keyspace.Range, servers []Server) []record.SlicePlacement {
	return assign(service, ranges, withoutSlices(servers))
}

func withoutSlices(servers []Server) []Server {
	empty := slices.Clone(servers)
	for i := range empty {
		empty[i].OwnedSlices = 0
	}
	return empty
}

// EvacuateSlices chooses new owners for slices of a server in fromZone that leaves or
// is lost. Servers of the same zone are preferred: others get slices only when
// the zone has none. The slices go where they keep the counts most even by
// weight. The leaving server must not be among servers. It returns nil when no
// server has a weight.
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
	return assign(service, ranges, servers)
}

// RebalanceSlices returns the moves that bring owners to their shares by weight. A
// server above its share gives up exactly the excess and nothing else moves, so
// adding or removing a server moves its fair share. Slices whose owner is not in
// servers all move. OwnedSlices of servers is ignored.
func RebalanceSlices(service string, current []record.SlicePlacement, servers []Server) []record.SlicePlacement {
	target := quotas(len(current), withoutSlices(servers))
	if target == nil {
		return nil
	}
	index := indexServers(servers)
	held := make([][]record.SlicePlacement, len(servers))
	var surplus []keyspace.Range
	for _, p := range current {
		if i, ok := index[p.Server]; ok {
			held[i] = append(held[i], p)
		} else {
			surplus = append(surplus, p.Range)
		}
	}
	for i, list := range held {
		// The slices that fit the server least by rendezvous order leave first.
		excess := max(len(list)-target[i], 0)
		subject := newSubject(service)
		hash := xxhash.Sum64String(servers[i].Name)
		slices.SortFunc(list, func(a, b record.SlicePlacement) int {
			return cmp.Or(
				cmp.Compare(score(subject.slice(b.Range), hash, 1), score(subject.slice(a.Range), hash, 1)),
				cmp.Compare(a.Range.First, b.Range.First),
			)
		})
		for _, p := range list[:excess] {
			surplus = append(surplus, p.Range)
		}
		target[i] = max(target[i]-len(list), 0)
	}
	slices.SortFunc(surplus, func(a, b keyspace.Range) int { return cmp.Compare(a.First, b.First) })
	return fill(service, surplus, servers, target)
}

func indexServers(servers []Server) map[string]int {
	index := make(map[string]int, len(servers))
	for i, s := range servers {
		if s.Weight > 0 {
			index[s.Name] = i
		}
	}
	return index
}

func assign(service string, ranges []keyspace.Range, servers []Server) []record.SlicePlacement {
	receive := quotas(len(ranges), servers)
	if receive == nil {
		return nil
	}
	return fill(service, ranges, servers, receive)
}

// quotas returns how many of n slices each server receives on top of OwnedSlices, so
// that the counts per weight become as even as possible. It returns nil when no
// server has a weight.
func quotas(n int, servers []Server) []int {
	q := &shareQueue{}
	receive := make([]int, len(servers))
	for i, s := range servers {
		if s.Weight > 0 {
			*q = append(*q, share{index: i, count: s.OwnedSlices, weight: s.Weight, tie: xxhash.Sum64String(s.Name)})
		}
	}
	if q.Len() == 0 {
		return nil
	}
	heap.Init(q)
	for range n {
		lowest := &(*q)[0]
		receive[lowest.index]++
		lowest.count++
		heap.Fix(q, 0)
	}
	return receive
}

type share struct {
	index  int
	count  int
	weight int
	tie    uint64
}

// shareQueue is a heap of servers; the one whose next slice keeps the largest
// count per weight lowest comes first.
type shareQueue []share

func (q shareQueue) Len() int { return len(q) }
func (q shareQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	left, right := (a.count+1)*b.weight, (b.count+1)*a.weight
	if left != right {
		return left < right
	}
	return a.tie < b.tie
}
func (q shareQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *shareQueue) Push(x any)   { *q = append(*q, x.(share)) }
func (q *shareQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fill gives each range to the server of lowest cost that still has a quota left.
// The sum of quotas must be at least the number of ranges.
func fill(service string, ranges []keyspace.Range, servers []Server, quota []int) []record.SlicePlacement {
	type open struct {
		index int
		hash  uint64
	}
	var free []open
	for i, s := range servers {
		if quota[i] > 0 {
			free = append(free, open{index: i, hash: xxhash.Sum64String(s.Name)})
		}
	}
	subject := newSubject(service)
	placed := make([]record.SlicePlacement, 0, len(ranges))
	for _, r := range ranges {
		best, bestCost := 0, 0.0
		hash := subject.slice(r)
		for k, o := range free {
			cost := score(hash, o.hash, float64(servers[o.index].Weight))
			if k == 0 || cost < bestCost {
				best, bestCost = k, cost
			}
		}
		i := free[best].index
		placed = append(placed, record.SlicePlacement{Range: r, Server: servers[i].Name})
		if quota[i]--; quota[i] == 0 {
			free = slices.Delete(free, best, best+1)
		}
	}
	return placed
}

// subject hashes the slices of one service.
type subject uint64

func newSubject(service string) subject { return subject(xxhash.Sum64String("slice/" + service)) }

func (s subject) slice(r keyspace.Range) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(s))
	binary.LittleEndian.PutUint64(buf[8:], r.First)
	return xxhash.Sum64(buf[:])
}
