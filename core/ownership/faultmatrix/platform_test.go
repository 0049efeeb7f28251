package faultmatrix

import (
	"errors"
	"slices"
	"time"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

var errLog = errors.New("log unavailable")

// platformLog is the append-only log with its faults.
type platformLog struct {
	sim   *sim
	links *links
	// all keeps every record for the checker; offsets below oldest are not
	// readable any more.
	all    []record.Positioned
	oldest uint64
	acked  []uint64
	// expected is the fold of the whole log.
	expected *state.State

	down         bool
	latency      time.Duration // added to each append and read
	loseResponse func(record.Record) bool
	lateAppend   func(record.Record) time.Duration
	short        bool // reads stop short of the head
}

const logName = "log"

func newLog(s *sim, l *links) *platformLog {
	return &platformLog{sim: s, links: l, oldest: 1, expected: state.New()}
}

func (p *platformLog) take(r record.Record) uint64 {
	offset := uint64(len(p.all) + 1)
	positioned := record.Positioned{Offset: offset, Record: r}
	p.all = append(p.all, positioned)
	outcome, err := p.expected.Apply(positioned)
	if err != nil {
		panic(err)
	}
	p.sim.note("log %d %s by %s %s", offset, r.Body.Kind(), r.Proposer, outcome.Reason)
	return offset
}

// append answers done once. A lost response ends as an error after two seconds,
// the client's timeout.
func (p *platformLog) append(from string, r record.Record, done func(uint64, error)) {
	answered := false
	answer := func(offset uint64, err error) {
		if !answered {
			answered = true
			done(offset, err)
		}
	}
	p.sim.after(2*time.Second, func() { answer(0, errLog) })
	p.links.send(from, logName, func() {
		if p.down {
			p.links.send(logName, from, func() { answer(0, errLog) })
			return
		}
		delay := p.latency + p.sim.jitter(2*time.Millisecond, 10*time.Millisecond)
		if p.lateAppend != nil {
			delay += p.lateAppend(r)
		}
		p.sim.after(delay, func() {
			if p.down {
				return
			}
			lost := p.loseResponse != nil && p.loseResponse(r)
			offset := p.take(r)
			if lost {
				p.sim.note("log response of %d lost", offset)
				return
			}
			p.links.send(logName, from, func() {
				if !answered {
					p.acked = append(p.acked, offset)
				}
				answer(offset, nil)
			})
		})
	})
}

// read answers the records from an offset on, up to 100, or an error.
func (p *platformLog) read(from string, offset uint64, done func([]record.Positioned, uint64, error)) {
	answered := false
	answer := func(records []record.Positioned, oldest uint64, err error) {
		if !answered {
			answered = true
			done(records, oldest, err)
		}
	}
	p.sim.after(2*time.Second, func() { answer(nil, 0, errLog) })
	p.links.send(from, logName, func() {
		p.sim.after(p.latency+time.Millisecond, func() {
			if p.down {
				p.links.send(logName, from, func() { answer(nil, 0, errLog) })
				return
			}
			first, end := max(offset, p.oldest), uint64(len(p.all))
			if p.short && end > first {
				end--
			}
			var records []record.Positioned
			if first <= end {
				records = p.all[first-1 : min(end, first+99)]
			}
			oldest := p.oldest
			p.links.send(logName, from, func() { answer(records, oldest, nil) })
		})
	})
}

// hostList is the platform's lagging view of the hosts.
type hostList struct {
	sim     *sim
	live    map[string]bool
	leaving map[string]bool
	lag     time.Duration
	wrong   map[string]bool // shown as gone although it is live
}

func newHostList(s *sim) *hostList {
	return &hostList{sim: s, live: map[string]bool{}, leaving: map[string]bool{}, wrong: map[string]bool{}, lag: 500 * time.Millisecond}
}

// read returns the live and the leaving hosts as the platform shows them.
func (h *hostList) read() (live, leaving []string) {
	for host, ok := range h.live {
		if ok && !h.wrong[host] {
			live = append(live, host)
		}
	}
	for host, ok := range h.leaving {
		if ok {
			leaving = append(leaving, host)
		}
	}
	slices.Sort(live)
	slices.Sort(leaving)
	return live, leaving
}

func (h *hostList) setLive(host string, live bool) {
	h.sim.after(h.lag, func() { h.live[host] = live })
}
