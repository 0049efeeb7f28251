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

func viewWithSlices(slices map[string][]ownership.SliceRef) *ownership.View {
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

func sliceRef(first, last, generation uint64) ownership.SliceRef {
	return ownership.SliceRef{Range: keyspace.Range{First: first, Last: last}, Generation: generation}
}

func busySlotsOf(m ownership.LoadMeasured, slice ownership.SliceRef) float64 {
	for _, s := range m.Slices {
		if s.Slice == slice {
			return s.BusySlots
		}
	}
	return -1
}

// Guards against a load that is underestimated at first, and against one that is
// lost when a slice is split or moves to another local server. In both cases the
// planner would take a hot server for a cold one.
func TestLoadFollowsSlices(t *testing.T) {
	meter := newLoadMeter()
	whole := sliceRef(0, 1<<32-1, 5)
	now := time.Duration(0)
	meter.measure(now, viewWithSlices(map[string][]ownership.SliceRef{"a": {whole}}))
	for ; now < 8*time.Second; now += 10 * time.Millisecond { // 100 requests/s of 10 ms
		hash := uint64(7)
		if now%(40*time.Millisecond) == 0 {
			hash = uint64(now) % (1 << 32)
		}
		meter.addRequest(now, &frontend.Request{Service: "almacen", KeyHash: hash}, whole, "a", 10*time.Millisecond)
	}
	measured := meter.measure(now, viewWithSlices(map[string][]ownership.SliceRef{"a": {whole}}))
	require.InDelta(t, 1, measured.Servers[0].BusySlots, 0.05)
	require.InDelta(t, 100, measured.Servers[0].RequestsPerSecond, 5)
	require.Equal(t, uint64(7), measured.HotKeys[0].Hash)

	hot, rest := sliceRef(7, 7, 5), sliceRef(8, 1<<32-1, 5)
	measured = meter.measure(now, viewWithSlices(map[string][]ownership.SliceRef{"a": {hot, rest}}))
	require.InDelta(t, 0.75, busySlotsOf(measured, hot), 0.05)
	require.InDelta(t, 0.25, busySlotsOf(measured, rest), 0.05)

	moved := sliceRef(7, 7, 9)
	measured = meter.measure(now, viewWithSlices(map[string][]ownership.SliceRef{"a": {rest}, "b": {moved}}))
	require.InDelta(t, 0.75, busySlotsOf(measured, moved), 0.05)

	measured = meter.measure(now+2*loadRetention, viewWithSlices(nil))
	require.Empty(t, measured.Servers)
	require.Empty(t, meter.services, "the loads of removed servers stay in memory")
}

// BenchmarkAddRequest measures the time to record the load of one request, which is
// part of each request's latency.
func BenchmarkAddRequest(b *testing.B) {
	meter := newLoadMeter()
	ranges := keyspace.EqualRanges(1024)
	req := &frontend.Request{Service: "almacen"}
	var n uint64
	for b.Loop() {
		n++
		i := n * 2654435761 % 1024 // spreads consecutive n over the ranges
		req.KeyHash = ranges[i].First + n%4
		meter.addRequest(time.Duration(n)*time.Microsecond, req, ownership.SliceRef{Range: ranges[i], Generation: 1}, "a", time.Millisecond)
	}
}
