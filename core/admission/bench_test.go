package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest submits and finishes one request per iteration while the given
// number of others is queued.
func BenchmarkRequest(b *testing.B) {
	for _, waiting := range []int{0, 100, 1_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			c := New(0, Config{Slots: 1, RampUpTime: -1, Ranks: []RankConfig{{Name: "r", MaxQueueLength: 10_000, MaxQueueTime: time.Hour}}})
			lastID, runningID := uint64(0), uint64(0)
			submit := func() {
				lastID++
				c.Submit(0, Request{ID: lastID, Rank: "r", Caller: fmt.Sprint(lastID % 100), Deadline: time.Hour})
			}
			for range waiting {
				submit()
			}
			for b.Loop() {
				submit()
				for id := range c.running {
					runningID = id
				}
				c.Finish(0, runningID, Result{Outcome: OutcomeOK, ServiceTime: time.Microsecond})
			}
		})
	}
}
