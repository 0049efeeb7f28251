package assigner

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/relay/clock"
	"parsleyrelay.example/relay/telemetry"
)

// journalOutput collects the lines of an event journal.
type journalOutput struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *journalOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *journalOutput) contains(s string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.buf.String(), s)
}

// succeedingSender answers every call with success.
type succeedingSender struct{}

func (succeedingSender) Call(context.Context, assignment.Call, func() error, func(context.Context) error) assignment.CallResult {
	return assignment.CallResult{Status: assignment.CallSucceeded}
}

// acceptingStore accepts every map.
type acceptingStore struct{}

func (acceptingStore) AppendMap(_ context.Context, m *assignment.Map) (offset, nextOffset uint64, err error) {
	return m.NextOffset, m.NextOffset + 1, nil
}

func testClock(t *testing.T) func() time.Duration {
	now, err := clock.NewSinceBoot()
	require.NoError(t, err)
	return now
}

// startTermAfter starts a term after a map of a former leader, which names the leaders
// before it, and returns once the term has begun. The new leader is h2/1, and its first map has the next offset 8.
func startTermAfter(t *testing.T, former string, earlier ...string) (*Assigner, *journalOutput) {
	out := &journalOutput{}
	journal := telemetry.NewJournal(out, "h2", "z")
	t.Cleanup(journal.Close)
	a := New(Options{
		HostIncarnation: "h2/1", HostOf: func(incarnation string) string { return incarnation[:2] }, Stripes: 4, Store: acceptingStore{}, CallSender: succeedingSender{},
		Journal: journal, OnMap: func(*assignment.Map) {}, Now: testClock(t),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	a.SetServers(nil)
	a.ObserveMap(&assignment.Map{Offset: 6, NextOffset: 7, Term: 3, Leader: former, EarlierLeaders: earlier})
	a.SetElected(true)
	require.Eventually(t, a.Leading, 2*time.Second, 5*time.Millisecond)
	return a, out
}

// Guards against a leader that takes a late call of an older process of the former
// leader's host as proof that the former leader has ended: it would move keys while the
// former leader may still grant them. Also guards against a leader that ignores a newer
// process of that host: keys of a lost server would be unavailable longer by
// assignment.LeadershipConfirmationTimeout (10 s).
func TestFormerLeaderEndedOnlyIfItsHostKnowsTheNewMap(t *testing.T) {
	a, out := startTermAfter(t, "h1/5")
	const endedEvent = "name=former_leader_ended"
	a.RecordKnownMap("h1/4", 7) // does not know the map that replaced the former leader
	a.RecordKnownMap("h1/5", 8) // the former leader itself
	a.RecordKnownMap("h3/9", 8) // another host
	time.Sleep(2 * tickInterval)
	require.False(t, out.contains(endedEvent))
	a.RecordKnownMap("h1/6", 8)
	require.Eventually(t, func() bool { return out.contains(endedEvent) }, 2*time.Second, 5*time.Millisecond)
}

// Guards against a wait of LeadershipConfirmationTimeout (10 s) for leaders that have all
// ended, after a start of all hosts at once, and against a shorter wait while one of them
// may still run.
func TestAllFormerLeadersHaveEndedOnlyIfEachHostKnowsTheNewMap(t *testing.T) {
	a, out := startTermAfter(t, "h1/5", "h3/1", "h2/0")
	const ended, allEnded = "name=former_leader_ended", "all=true"
	a.RecordKnownMap("h1/6", 8)
	require.Eventually(t, func() bool { return out.contains(ended) }, 2*time.Second, 5*time.Millisecond)
	a.RecordKnownMap("h3/1", 8) // that leader itself
	time.Sleep(2 * tickInterval)
	require.False(t, out.contains(allEnded))
	a.RecordKnownMap("h3/2", 8)
	require.Eventually(t, func() bool { return out.contains(allEnded) }, 2*time.Second, 5*time.Millisecond)
}

// Guards against a leader that waits for the end of its own earlier process after a
// restart: keys of a lost server would be unavailable longer by
// assignment.LeadershipConfirmationTimeout (10 s).
func TestRestartedLeaderKnowsThatItsFormerProcessEnded(t *testing.T) {
	_, out := startTermAfter(t, "h2/0")
	require.Eventually(t, func() bool { return out.contains("name=former_leader_ended") }, 2*time.Second, 5*time.Millisecond)
}

// blockingSender keeps each call open until it is released, and counts the calls.
type blockingSender struct {
	released chan struct{}
	sent     atomic.Int32
}

func (s *blockingSender) Call(context.Context, assignment.Call, func() error, func(context.Context) error) assignment.CallResult {
	s.sent.Add(1)
	<-s.released
	return assignment.CallResult{Status: assignment.CallSucceeded}
}

// Guards against a grant that waits behind other calls to its server and is sent later
// than the leader assumes, or after the end of the term: the next leader does not wait
// that long, so that two servers could hold a key.
func TestGrantThatWaitsForOtherCallsIsNotSentLate(t *testing.T) {
	sender := &blockingSender{released: make(chan struct{})}
	now := testClock(t)
	a := New(Options{CallSender: sender, Now: now})
	a.leading.Store(true)
	ctx := context.Background()
	call := assignment.Call{Kind: assignment.GrantCall, Server: assignment.ServerIncarnation{Address: "a"}}
	startedAt := now()
	for range maxCallsPerServer {
		go a.sendCall(ctx, startedAt, call)
	}
	require.Eventually(t, func() bool { return sender.sent.Load() == maxCallsPerServer }, 2*time.Second, time.Millisecond)
	waiting := assignment.Call{ID: 5, Kind: assignment.GrantCall, Server: call.Server}
	go a.sendCall(ctx, startedAt, waiting)
	select {
	case m := <-a.messages:
		require.Equal(t, waiting, m.completedCall.call)
		require.Equal(t, assignment.CallNotExecuted, m.completedCall.result.Status)
	case <-time.After(assignment.CallTimeout):
		require.Fail(t, "the call still waits")
	}
	close(sender.released)
	for range maxCallsPerServer {
		<-a.messages
	}
	for name, late := range map[string]func(){
		"sent after a suspension of the machine": func() { startedAt -= assignment.CallTimeout },
		"sent after the end of the term":         func() { a.leading.Store(false) },
	} {
		late()
		a.sendCall(ctx, startedAt, waiting)
		require.Equal(t, assignment.CallNotExecuted, (<-a.messages).completedCall.result.Status, name)
	}
	require.EqualValues(t, maxCallsPerServer, sender.sent.Load())
}

// slowSender takes a time to open the connection of each call. It records when the call
// would have to end, and the error that kept the call from being sent.
type slowSender struct {
	openConnection func()
	deadline       time.Time
	notSent        error
}

func (s *slowSender) Call(ctx context.Context, _ assignment.Call, mayBeSent func() error, _ func(context.Context) error) assignment.CallResult {
	s.deadline, _ = ctx.Deadline()
	s.openConnection()
	s.notSent = mayBeSent()
	return assignment.CallResult{Status: assignment.CallNotExecuted, Err: s.notSent}
}

// Guards against a grant that is under way for longer than the next leader waits for it:
// the wait for a call slot was not counted, and nothing was checked after the connection
// had been opened, which a suspension of the machine may delay.
func TestGrantEndsInTimeAfterASlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin, suspended := time.Now(), time.Duration(0)
		sender := &slowSender{openConnection: func() {}}
		a := New(Options{CallSender: sender, Now: func() time.Duration { return time.Since(begin) + suspended }})
		a.leading.Store(true)
		call := assignment.Call{Kind: assignment.GrantCall, Server: assignment.ServerIncarnation{Address: "a"}}
		send := func() error {
			sender.notSent = nil
			startedAt := a.options.Now()
			time.Sleep(maxGrantSlotWait / 2) // as if the slots of the server had been taken
			a.sendCall(t.Context(), startedAt, call)
			return (<-a.messages).completedCall.result.Err
		}
		startedAt := time.Now()
		require.NoError(t, send())
		require.False(t, sender.deadline.IsZero() || sender.deadline.After(startedAt.Add(assignment.CallTimeout)), "the call may end too late")

		sender.openConnection = func() { suspended += assignment.CallTimeout }
		require.ErrorIs(t, send(), errCallTooOld)
		sender.openConnection = func() { a.leading.Store(false) }
		require.ErrorIs(t, send(), errTermEnded)
	})
}
