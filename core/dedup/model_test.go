package dedup

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"parsleyrelay.example/core/keyspace"
)

// requestCopy is one sent copy of a request.
type requestCopy struct {
	Request
	createdAt time.Duration // of the id, in true time
}

// movingSlice models one slice that moves between three homes while copies of
// requests and parts of transfers are delayed for any time, as by paused entry
// hosts.
type movingSlice struct {
	now             time.Duration
	hostClockSkew   [3]time.Duration // of each home's wall clock against now, the true time
	callerClockSkew [2]time.Duration
	windows         [3]*Window
	owner           int
	generation      uint64
	firstCopies     []requestCopy // of all ids
	undelivered     []requestCopy
	transferParts   []TransferPart
	runningCopies   []requestCopy // begun at the owner, not finished
	runCounts       map[uuid.UUID]int
	exportSequence  uint64
}

const requestTimeout = 4 * time.Second

func (m *movingSlice) timestampOfHome(home int) Timestamp {
	return Timestamp{Mono: m.now, Wall: testStart.Add(m.now + m.hostClockSkew[home])}
}

func (m *movingSlice) changeOwner(t *rapid.T, next int, source HistorySource, exportedPeriod OwnershipPeriod) {
	if rapid.Bool().Draw(t, "deactivated") {
		m.windows[m.owner].Deactivate(keyspace.FullRange)
	}
	m.owner = next
	m.generation++
	m.windows[next].Activate(m.timestampOfHome(next), keyspace.FullRange, source, exportedPeriod)
}

func (m *movingSlice) deliverCopy(t *rapid.T) {
	i := rapid.IntRange(0, len(m.undelivered)-1).Draw(t, "copy")
	c := m.undelivered[i]
	v, _ := m.windows[m.owner].BeginAttempt(m.timestampOfHome(m.owner), c.Request)
	m.undelivered = append(m.undelivered[:i], m.undelivered[i+1:]...) // each copy is delivered once
	if v != VerdictRun {
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "ending") {
	case 0:
		m.windows[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeNotRun, nil)
	case 1:
		m.runCounts[c.ID]++
		m.windows[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeUnknown, nil)
	case 2:
		m.runCounts[c.ID]++
		m.windows[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeDone, &Response{})
	default:
		m.runningCopies = append(m.runningCopies, c)
	}
}

func (m *movingSlice) plannedMove(t *rapid.T) {
	for _, c := range m.runningCopies { // drain
		m.runCounts[c.ID]++
		m.windows[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeDone, nil)
	}
	m.runningCopies = nil
	m.exportSequence++
	period := OwnershipPeriod{Server: "s", Generation: m.generation}
	parts, ok := m.windows[m.owner].Export(m.timestampOfHome(m.owner), m.exportSequence, keyspace.FullRange, period, ExportLimits{EntriesPerPart: 1})
	if !ok {
		t.Fatal("export of a drained slice failed")
	}
	m.transferParts = append(m.transferParts, parts...)
	next := (m.owner + 1) % 3
	for _, p := range parts {
		if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
			m.windows[next].ImportPart(m.timestampOfHome(next), p)
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "aborted") == 0 {
		m.generation++
		m.windows[m.owner].Activate(m.timestampOfHome(m.owner), keyspace.FullRange, HistoryKept, OwnershipPeriod{})
		return
	}
	m.changeOwner(t, next, HistoryTransferred, period)
}

func (m *movingSlice) sendCopy(t *rapid.T) {
	if len(m.firstCopies) > 0 && rapid.Bool().Draw(t, "repeat") {
		c := rapid.SampledFrom(m.firstCopies).Draw(t, "former")
		if !c.FirstAttempt || m.now >= c.createdAt+c.Timeout {
			c.FirstAttempt = false
			m.undelivered = append(m.undelivered, c)
		}
		return
	}
	caller := rapid.IntRange(0, 1).Draw(t, "caller")
	req := Request{ID: numberedID(m.now+m.callerClockSkew[caller], byte(len(m.firstCopies))), KeyHash: 1, Timeout: requestTimeout, FirstAttempt: rapid.Bool().Draw(t, "first")}
	m.firstCopies = append(m.firstCopies, requestCopy{Request: req, createdAt: m.now})
	m.undelivered = append(m.undelivered, m.firstCopies[len(m.firstCopies)-1])
}

// Guards against a non-repeatable request running twice through any combination
// of repeats, delayed copies, takeovers, moves with lost or outdated transfers,
// aborted moves, clocks that differ by up to MaxClockSkew, and expiry.
func TestNoIDRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &movingSlice{runCounts: map[uuid.UUID]int{}, generation: 1}
		maxSkewMS := int(MaxClockSkew.Milliseconds() / 2)
		skew := rapid.IntRange(-maxSkewMS, maxSkewMS)
		for i := range m.windows {
			m.windows[i] = New(Config{MaxEntries: 8, MaxStoredBytes: 10})
			m.hostClockSkew[i] = time.Duration(skew.Draw(t, "hostSkewMS")) * time.Millisecond
		}
		for i := range m.callerClockSkew {
			m.callerClockSkew[i] = time.Duration(skew.Draw(t, "callerSkewMS")) * time.Millisecond
		}
		m.now = time.Hour
		m.windows[0].Activate(m.timestampOfHome(0), keyspace.FullRange, HistoryEmpty, OwnershipPeriod{})
		t.Repeat(map[string]func(*rapid.T){
			"send": m.sendCopy,
			"deliver": func(t *rapid.T) {
				if len(m.undelivered) > 0 {
					m.deliverCopy(t)
				}
			},
			"finish": func(t *rapid.T) {
				for _, c := range m.runningCopies {
					m.runCounts[c.ID]++
					m.windows[m.owner].FinishAttempt(c.ID, c.KeyHash, OutcomeDone, nil)
				}
				m.runningCopies = nil
			},
			"takeover": func(t *rapid.T) {
				former, running := m.owner, m.runningCopies
				m.runningCopies = nil
				m.changeOwner(t, (m.owner+rapid.IntRange(1, 2).Draw(t, "step"))%3, HistoryUnknown, OwnershipPeriod{})
				// After the takeover, the former home reports its running requests as
				// not run.
				for _, c := range running {
					m.windows[former].FinishAttempt(c.ID, c.KeyHash, OutcomeNotRun, nil)
				}
			},
			"move": m.plannedMove,
			"late part": func(t *rapid.T) {
				if len(m.transferParts) > 0 {
					p := rapid.SampledFrom(m.transferParts).Draw(t, "part")
					home := rapid.IntRange(0, 2).Draw(t, "home")
					m.windows[home].ImportPart(m.timestampOfHome(home), p)
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
				for id, n := range m.runCounts {
					if n > 1 {
						t.Fatalf("request %s ran %d times", id, n)
					}
				}
			},
		})
	})
}
