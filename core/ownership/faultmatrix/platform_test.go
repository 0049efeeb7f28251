package faultmatrix

import (
	"errors"
	"slices"
	"time"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/state"
)

var errLog = errors.New("log unavailable")

// fakeLog simulates the append-only log and its faults.
type fakeLog struct {
	sim     *simulator
	network *network
	// records holds every record for the checker; those before the offset oldest
	// cannot be read any more.
	records      []record.LogEntry
	oldest       uint64
	ackedOffsets []uint64
	// expectedState is the state after all records.
	expectedState *state.State

	down         bool
	extraLatency time.Duration // added to each append and read
	loseResponse func(record.Record) bool
	appendDelay  func(record.Record) time.Duration
	omitsNewest  bool // reads do not return the newest record
}

const logName = "log"

func newFakeLog(s *simulator, l *network) *fakeLog {
	return &fakeLog{sim: s, network: l, oldest: 1, expectedState: state.New()}
}

func (l *fakeLog) appendNow(r record.Record) uint64 {
	offset := uint64(len(l.records) + 1)
	entry := record.LogEntry{Offset: offset, Record: r}
	l.records = append(l.records, entry)
	outcome, err := l.expectedState.Apply(entry)
	if err != nil {
		panic(err)
	}
	l.sim.tracef("log %d %s by %s %s", offset, r.Body.Kind(), r.Proposer, outcome.Reason)
	return offset
}

// append calls done once. Without a response, done receives an error after two seconds,
// the client's timeout.
func (l *fakeLog) append(from string, r record.Record, done func(uint64, error)) {
	answered := false
	answer := func(offset uint64, err error) {
		if !answered {
			answered = true
			done(offset, err)
		}
	}
	l.sim.schedule(2*time.Second, func() { answer(0, errLog) })
	l.network.send(from, logName, func() {
		if l.down {
			l.network.send(logName, from, func() { answer(0, errLog) })
			return
		}
		delay := l.extraLatency + l.sim.randomDuration(2*time.Millisecond, 10*time.Millisecond)
		if l.appendDelay != nil {
			delay += l.appendDelay(r)
		}
		l.sim.schedule(delay, func() {
			if l.down {
				return
			}
			lost := l.loseResponse != nil && l.loseResponse(r)
			offset := l.appendNow(r)
			if lost {
				l.sim.tracef("log response of %d lost", offset)
				return
			}
			l.network.send(logName, from, func() {
				if !answered {
					l.ackedOffsets = append(l.ackedOffsets, offset)
				}
				answer(offset, nil)
			})
		})
	})
}

// read calls done once, with up to 100 records from an offset on or with an error.
func (l *fakeLog) read(from string, offset uint64, done func([]record.LogEntry, uint64, error)) {
	answered := false
	answer := func(records []record.LogEntry, oldest uint64, err error) {
		if !answered {
			answered = true
			done(records, oldest, err)
		}
	}
	l.sim.schedule(2*time.Second, func() { answer(nil, 0, errLog) })
	l.network.send(from, logName, func() {
		l.sim.schedule(l.extraLatency+time.Millisecond, func() {
			if l.down {
				l.network.send(logName, from, func() { answer(nil, 0, errLog) })
				return
			}
			first, end := max(offset, l.oldest), uint64(len(l.records))
			if l.omitsNewest && end > first {
				end--
			}
			var records []record.LogEntry
			if first <= end {
				records = l.records[first-1 : min(end, first+99)]
			}
			oldest := l.oldest
			l.network.send(logName, from, func() { answer(records, oldest, nil) })
		})
	})
}

// fakeHostList simulates the platform's host list, which lags behind.
type fakeHostList struct {
	sim            *simulator
	live           map[string]bool
	leaving        map[string]bool
	lag            time.Duration
	falselyMissing map[string]bool // omitted although live
}

func newFakeHostList(s *simulator) *fakeHostList {
	return &fakeHostList{sim: s, live: map[string]bool{}, leaving: map[string]bool{}, falselyMissing: map[string]bool{}, lag: 500 * time.Millisecond}
}

// read returns the live and the leaving hosts by the host list.
func (h *fakeHostList) read() (live, leaving []string) {
	for host, ok := range h.live {
		if ok && !h.falselyMissing[host] {
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

func (h *fakeHostList) setLive(host string, live bool) {
	h.sim.schedule(h.lag, func() { h.live[host] = live })
}
