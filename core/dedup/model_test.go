package dedup

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"parsleyrelay.example/core/keyspace"
)

type copySent struct {
	Request
	created time.Duration
}

// model is one slice that moves between three homes while copies of requests
// and parts of transfers are delayed at will, as by paused entry hosts.
type model struct {
	now        time.Duration
	skew       [3]time.Duration // wall clock of each home against true time
	callerSkew [2]time.Duration
	homes      [3]*Window
	owner      int
	generation uint64
	sent       []copySent // first copies of all ids
	pending    []copySent // not delivered
	parts      []TransferPart
	running    []copySent // begun at the owner, not finished
	runs       map[uuid.UUID]int
	sequence   uint64
}

const modelDeadline = 4 * time.Second

func (m *model) time(home int) Timestamp {
	return Timestamp{Mono: m.now, Wall: epoch.Add(m.now + m.skew[home])}
}

func (m *model) take(t *rapid.T, next int, source AttemptHistory, origin OwnershipPeriod) {
	if rapid.Bool().Draw(t, "deactivated") {
		m.homes[m.owner].Deactivate(keyspace.Full)
	}
	m.owner = next
	m.generation++
	m.homes[next].Activate(m.time(next), keyspace.Full, source, origin)
}

func (m *model) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "copy")
	c := m.pending[i]
	v, _ := m.homes[m.owner].BeginAttempt(m.time(m.owner), c.Request)
	m.pending = append(m.pending[:i], m.pending[i+1:]...) // a copy is written to a home once
	if v != VerdictRun {
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "ending") {
	case 0:
		m.homes[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeNotRun, nil)
	case 1:
		m.runs[c.ID]++
		m.homes[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeUnknown, nil)
	case 2:
		m.runs[c.ID]++
		m.homes[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeDone, &Response{})
	default:
		m.running = append(m.running, c)
	}
}

func (m *model) plannedMove(t *rapid.T) {
	for _, c := range m.running { // drain
		m.runs[c.ID]++
		m.homes[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeDone, nil)
	}
	m.running = nil
	m.sequence++
	origin := OwnershipPeriod{Server: "s", Generation: m.generation}
	parts, ok := m.homes[m.owner].Export(m.time(m.owner), m.sequence, keyspace.Full, origin, ExportLimits{EntriesPerPart: 1})
	if !ok {
		t.Fatal("export of a drained slice failed")
	}
	m.parts = append(m.parts, parts...)
	next := (m.owner + 1) % 3
	for _, p := range parts {
		if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
			m.homes[next].ImportPart(m.time(next), p)
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "aborted") == 0 {
		m.generation++
		m.homes[m.owner].Activate(m.time(m.owner), keyspace.Full, HistoryKept, OwnershipPeriod{})
		return
	}
	m.take(t, next, HistoryTransferred, origin)
}

func (m *model) send(t *rapid.T) {
	if len(m.sent) > 0 && rapid.Bool().Draw(t, "repeat") {
		c := rapid.SampledFrom(m.sent).Draw(t, "former")
		if !c.FirstAttempt || m.now >= c.created+c.Timeout {
			c.FirstAttempt = false
			m.pending = append(m.pending, c)
		}
		return
	}
	caller := rapid.IntRange(0, 1).Draw(t, "caller")
	req := Request{ID: numberedID(m.now+m.callerSkew[caller], byte(len(m.sent))), KeyHash: 1, Timeout: modelDeadline, FirstAttempt: rapid.Bool().Draw(t, "first")}
	m.sent = append(m.sent, copySent{Request: req, created: m.now})
	m.pending = append(m.pending, m.sent[len(m.sent)-1])
}

// Guards against a non-repeatable request running twice through any combination
// of repeats, delayed copies, takeovers, moves with lost or outdated transfers,
// aborted moves, clocks that differ by up to the bound, and expiry.
func TestNoIDRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{runs: map[uuid.UUID]int{}, generation: 1}
		half := int(MaxClockSkew.Milliseconds() / 2)
		skew := rapid.IntRange(-half, half)
		for i := range m.homes {
			m.homes[i] = New(Config{MaxEntries: 8, MaxStoredBytes: 10})
			m.skew[i] = time.Duration(skew.Draw(t, "hostSkewMS")) * time.Millisecond
		}
		for i := range m.callerSkew {
			m.callerSkew[i] = time.Duration(skew.Draw(t, "callerSkewMS")) * time.Millisecond
		}
		m.now = time.Hour
		m.homes[0].Activate(m.time(0), keyspace.Full, HistoryEmpty, OwnershipPeriod{})
		t.Repeat(map[string]func(*rapid.T){
			"send": m.send,
			"deliver": func(t *rapid.T) {
				if len(m.pending) > 0 {
					m.deliver(t)
				}
			},
			"finish": func(t *rapid.T) {
				for _, c := range m.running {
					m.runs[c.ID]++
					m.homes[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeDone, nil)
				}
				m.running = nil
			},
			"takeover": func(t *rapid.T) {
				former, running := m.owner, m.running
				m.running = nil
				m.take(t, (m.owner+rapid.IntRange(1, 2).Draw(t, "step"))%3, HistoryUnknown, OwnershipPeriod{})
				// The fenced home reports its open requests late.
				for _, c := range running {
					m.homes[former].FinishAttempt(c.ID, c.KeyHash, OutcomeNotRun, nil)
				}
			},
			"move": m.plannedMove,
			"late part": func(t *rapid.T) {
				if len(m.parts) > 0 {
					p := rapid.SampledFrom(m.parts).Draw(t, "part")
					home := rapid.IntRange(0, 2).Draw(t, "home")
					m.homes[home].ImportPart(m.time(home), p)
				}
			},
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "waitMS")) * time.Millisecond
			},
			"wait long": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					m.now += Retention - time.Second
				}
			},
			"": func(t *rapid.T) {
				for id, n := range m.runs {
					if n > 1 {
						t.Fatalf("request %s ran %d times", id, n)
					}
				}
			},
		})
	})
}
