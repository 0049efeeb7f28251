package follow

import (
	"fmt"
	"runtime"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/assignment"
)

// Pattern: a map of 2,048 ranges changes many times. Guards against hosts that keep each of
// these maps to compute changes: 64 of them took 12 MB of the leader's memory.
func TestMapHistoryTakesLessThanFourMaps(t *testing.T) {
	source := NewSource(testOptions("leader"), &sourceHost{}, fakeUpstream{}, nil)
	newMap := func(n int) *assignment.Map {
		ranges := make([]assignment.Range, 2048)
		for i := range ranges {
			ranges[i] = assignment.Range{From: uint16(i * 32), To: uint16(i*32 + 31), Owner: assignment.ServerIncarnation{ID: "s"}}
		}
		ranges[n].Owner.ID = fmt.Sprint("s", n)
		return &assignment.Map{NextOffset: uint64(n + 1), Services: map[string][]assignment.Range{"stock": ranges}}
	}
	source.SetMap(newMap(0))
	history := heapOf(func() {
		for n := range 64 {
			source.SetMap(newMap(n + 1))
		}
	})
	require.Less(t, history, int64(3*2048*unsafe.Sizeof(assignment.Range{})), "beyond the newest map")
	runtime.KeepAlive(source)
}

// heapOf returns the bytes of memory that f leaves in use.
func heapOf(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one leaves pooled memory of earlier tests
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}
