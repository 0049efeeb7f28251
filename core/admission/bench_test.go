package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest submits and finishes requests while others wait.
func BenchmarkRequest(b *testing.B) {
	for _, waiting := range []int{0, 100, 1_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := New(0, Config{Slots: 1, RampUpTime: -1, Ranks: []RankConfig{{Name: "r", MaxQueueLength: 10_000, MaxQueueTime: time.Hour}}})
			next, running := uint64(0), uint64(0)
			submit := func() {
				next++
				q.Submit(0, Request{ID: next, Rank: "r", Caller: fmt.Sprint(next % 100), Deadline: time.Hour})
			}
			for range waiting {
				submit()
			}
			for b.Loop() {
				submit()
				for id := range q.running {
					running = id
				}
				q.Finish(0, running, Result{Outcome: OutcomeOK, ServiceTime: time.Microsecond})
			}
		})
	}
}
