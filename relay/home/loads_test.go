package home

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/relay/frontend"
)

func viewOf(slices map[string][]ownership.SliceRef) *ownership.View {
	v := &ownership.View{Servers: map[string]ownership.ServerView{}}
	for name, list := range slices {
		set := map[ownership.SliceRef]ownership.Activation{}
		for _, s := range list {
			set[s] = ownership.Activation{}
		}
		v.Servers[name] = ownership.ServerView{
			Spec: &resource.Server{Service: "almacen"}, Local: true, ServingSet: ownership.NewServingSet(set),
		}
	}
	return v
}

func held(first, last, generation uint64) ownership.SliceRef {
	return ownership.SliceRef{Range: keyspace.Range{First: first, Last: last}, Generation: generation}
}

func loadOf(m ownership.LoadMeasured, slice ownership.SliceRef) float64 {
	for _, s := range m.Slices {
		if s.Slice == slice {
			return s.BusySlots
		}
	}
	return -1
}

// Guards against a load that is too low at first, and against one that is lost
// when a slice is split or moves to another local server: the planner would
// then take a hot server for a cold one.
func TestLoadFollowsSlices(t *testing.T) {
	l := newLoads()
	whole := held(0, 1<<32-1, 5)
	now := time.Duration(0)
	l.measure(now, viewOf(map[string][]ownership.SliceRef{"a": {whole}}))
	for ; now < 8*time.Second; now += 10 * time.Millisecond { // 100 requests/s of 10 ms
		hash := uint64(7)
		if now%(40*time.Millisecond) == 0 {
			hash = uint64(now) % (1 << 32)
		}
		l.add(now, &frontend.Request{Service: "almacen", KeyHash: hash}, whole, "a", 10*time.Millisecond)
	}
	m := l.measure(now, viewOf(map[string][]ownership.SliceRef{"a": {whole}}))
	require.InDelta(t, 1, m.Servers[0].BusySlots, 0.05)
	require.InDelta(t, 100, m.Servers[0].RequestsPerSecond, 5)
	require.Equal(t, uint64(7), m.HotKeys[0].Hash)

	hot, rest := held(7, 7, 5), held(8, 1<<32-1, 5)
	m = l.measure(now, viewOf(map[string][]ownership.SliceRef{"a": {hot, rest}}))
	require.InDelta(t, 0.75, loadOf(m, hot), 0.05)
	require.InDelta(t, 0.25, loadOf(m, rest), 0.05)

	moved := held(7, 7, 9)
	m = l.measure(now, viewOf(map[string][]ownership.SliceRef{"a": {rest}, "b": {moved}}))
	require.InDelta(t, 0.75, loadOf(m, moved), 0.05)

	m = l.measure(now+2*loadKept, viewOf(nil))
	require.Empty(t, m.Servers)
	require.Empty(t, l.services, "loads of servers that left stay in memory")
}

// Guards against a measurement that shows on the request path.
func BenchmarkLoadsAdd(b *testing.B) {
	l := newLoads()
	ranges := keyspace.Divide(1024)
	req := &frontend.Request{Service: "almacen"}
	var n uint64
	for b.Loop() {
		n++
		i := n * 2654435761 % 1024
		req.KeyHash = ranges[i].First + n%4
		l.add(time.Duration(n)*time.Microsecond, req, ownership.SliceRef{Range: ranges[i], Generation: 1}, "a", time.Millisecond)
	}
}
