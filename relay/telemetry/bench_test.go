package telemetry

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"

	"parsleyrelay.example/core/event"
)

// BenchmarkEmit emits events to full timelines of several capacities and reports
// the heap per event.
func BenchmarkEmit(b *testing.B) {
	for _, n := range []int{1_024, DefaultTimelineEvents, 262_144} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			t := NewTimeline("entry-1", "ate", n, event.NewHybridClock(time.Now), log.NewLogfmtLogger(io.Discard))
			emit := func(i int) {
				t.Emit(event.Event{Code: event.SliceMoved, Server: "server-12345", Slice: fmt.Sprintf("%016x-%016x", i, i+1), Term: 9})
			}
			for i := range n {
				emit(i)
			}
			heap := heapBytes() - before
			for i := 0; b.Loop(); i++ {
				emit(i)
			}
			b.ReportMetric(heap/float64(n), "B/event")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
