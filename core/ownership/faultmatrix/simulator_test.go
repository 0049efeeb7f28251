// Package faultmatrix tests core/ownership under faults. Daemons run the real state
// machine; servers, callers, the network and the platform are simulated on a virtual
// clock with a seeded random generator. A checker detects violations from what the
// servers accepted, what callers were told and what the log contains.
package faultmatrix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

type scheduledEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []*scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulator is a discrete-event simulator: a virtual clock and a queue of events.
type simulator struct {
	now     time.Duration
	seq     uint64
	queue   eventQueue
	rng     *rand.Rand
	idCount uint64
	trace   []string
}

func newSimulator(seed uint64) *simulator {
	return &simulator{rng: rand.New(rand.NewPCG(seed, 0))}
}

func (s *simulator) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, &scheduledEvent{at: s.now + d, seq: s.seq, run: run})
}

// runUntil runs all events up to and including the time end.
func (s *simulator) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(*scheduledEvent)
		s.now = e.at
		e.run()
	}
	s.now = max(s.now, end)
}

// randomDuration returns a duration in [low, high).
func (s *simulator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// newID returns an id in the form of a UUID that sorts by time of creation.
func (s *simulator) newID() string {
	s.idCount++
	return fmt.Sprintf("%08x-0000-7000-8000-%012x", s.now.Milliseconds(), s.idCount)
}

// tracef adds a line to the trace of the run.
func (s *simulator) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%9.3fs ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// driftingClock is the monotonic clock of a process. It runs at rate times the speed
// of true time, the time of the simulator.
type driftingClock struct {
	rate  float64
	start time.Duration // true time at which it showed base
	base  time.Duration
}

func newClock(rate float64, start, base time.Duration) driftingClock {
	return driftingClock{rate: rate, start: start, base: base}
}

func (c driftingClock) at(trueTime time.Duration) time.Duration {
	return c.base + time.Duration(float64(trueTime-c.start)*c.rate)
}

// trueTime returns the true time at which the clock shows local.
func (c driftingClock) trueTime(local time.Duration) time.Duration {
	return c.start + time.Duration(float64(local-c.base)/c.rate)
}

// network delivers messages between processes, the log and callers, which are
// identified by name. Each directed path can be partitioned or slow.
type network struct {
	sim         *simulator
	partitioned map[[2]string]bool
	extraDelay  map[[2]string]time.Duration
	// inFlight counts the messages that were sent and not delivered yet.
	inFlight map[[2]string]int
}

func newNetwork(s *simulator) *network {
	return &network{sim: s, partitioned: map[[2]string]bool{}, extraDelay: map[[2]string]time.Duration{}, inFlight: map[[2]string]int{}}
}

// send delivers a message after the delay of the path. The message is lost if the path
// is partitioned at the time of sending or of delivery.
func (n *network) send(from, to string, deliver func()) {
	path := [2]string{from, to}
	if n.partitioned[path] {
		return
	}
	n.inFlight[path]++
	n.sim.schedule(n.sim.randomDuration(300*time.Microsecond, time.Millisecond)+n.extraDelay[path], func() {
		n.inFlight[path]--
		if !n.partitioned[path] {
			deliver()
		}
	})
}

// setPartitioned partitions or heals both directions between a and each of the others.
func (n *network) setPartitioned(cut bool, a string, others ...string) {
	for _, b := range others {
		n.partitioned[[2]string{a, b}] = cut
		n.partitioned[[2]string{b, a}] = cut
	}
}
