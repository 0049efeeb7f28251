// Package faultmatrix checks core/ownership against faults: daemons, servers and
// the platform are small fakes on one virtual clock with seeded events, and an
// independent checker judges only what the servers and the log saw.
package faultmatrix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// sim is the virtual clock and the queue of everything that will happen.
type sim struct {
	now   time.Duration
	seq   uint64
	queue eventQueue
	rng   *rand.Rand
	ids   uint64
	trace []string
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 0))}
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, &event{at: s.now + d, seq: s.seq, run: run})
}

// until runs events up to and including the true time end.
func (s *sim) until(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		e.run()
	}
	s.now = max(s.now, end)
}

// jitter returns a duration in [low, high).
func (s *sim) jitter(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// id returns a name with the form of a UUID that sorts by time of creation.
func (s *sim) id() string {
	s.ids++
	return fmt.Sprintf("%08x-0000-7000-8000-%012x", s.now.Milliseconds(), s.ids)
}

func (s *sim) note(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%9.3fs ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// clock is a monotonic clock that runs at rate times true time.
type clock struct {
	rate  float64
	start time.Duration // true time at which it showed base
	base  time.Duration
}

func newClock(rate float64, start, base time.Duration) clock {
	return clock{rate: rate, start: start, base: base}
}

func (c clock) at(trueTime time.Duration) time.Duration {
	return c.base + time.Duration(float64(trueTime-c.start)*c.rate)
}

// trueTime is the inverse of at.
func (c clock) trueTime(local time.Duration) time.Duration {
	return c.start + time.Duration(float64(local-c.base)/c.rate)
}

// links says which directed paths between named parties are cut or slow.
type links struct {
	sim  *sim
	cut  map[[2]string]bool
	slow map[[2]string]time.Duration
	// pending counts the messages under way.
	pending map[[2]string]int
}

func newLinks(s *sim) *links {
	return &links{sim: s, cut: map[[2]string]bool{}, slow: map[[2]string]time.Duration{}, pending: map[[2]string]int{}}
}

// send delivers after the delay of the path, or never when the path is cut at
// the time of sending or of arrival.
func (l *links) send(from, to string, deliver func()) {
	path := [2]string{from, to}
	if l.cut[path] {
		return
	}
	l.pending[path]++
	l.sim.after(l.sim.jitter(300*time.Microsecond, time.Millisecond)+l.slow[path], func() {
		l.pending[path]--
		if !l.cut[path] {
			deliver()
		}
	})
}

// setCut cuts or heals both directions between a and each of the others.
func (l *links) setCut(cut bool, a string, others ...string) {
	for _, b := range others {
		l.cut[[2]string{a, b}] = cut
		l.cut[[2]string{b, a}] = cut
	}
}
