package assigner

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/relay/telemetry"
)

// output collects the journal's lines.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) contains(s string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.buf.String(), s)
}

type orders struct{}

func (orders) Call(context.Context, assignment.Call) assignment.CallResult {
	return assignment.CallResult{Status: assignment.CallSucceeded}
}

// store takes all maps.
type store struct{}

func (store) AppendMap(_ context.Context, m *assignment.Map) (offset, end uint64, err error) {
	return m.NextOffset, m.NextOffset + 1, nil
}

// leadAfter starts a term after a map of a former leader and returns once it has begun.
func leadAfter(t *testing.T, former string) (*Assigner, *output) {
	out := &output{}
	journal := telemetry.NewJournal(out, "h2", "z")
	t.Cleanup(journal.Close)
	a := New(Options{
		HostIncarnation: "h2/1", HostOf: func(incarnation string) string { return incarnation[:2] }, Stripes: 4, Store: store{}, CallSender: orders{},
		Journal: journal, OnMap: func(*assignment.Map) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	a.SetServers(nil)
	a.ObserveMap(&assignment.Map{Offset: 6, NextOffset: 7, Term: 3, Leader: former})
	a.SetElected(true)
	require.Eventually(t, a.Leading, 2*time.Second, 5*time.Millisecond)
	return a, out
}

// Guards against keys that are given away early because a call of an older
// process of the former leader's host arrived late, and against ten seconds more
// without service though the host has a newer process.
func TestFormerLeaderEndedOnlyIfItsHostKnowsTheNewMap(t *testing.T) {
	a, out := leadAfter(t, "h1/5")
	const ended = "name=former_leader_ended"
	a.RecordKnownMap("h1/4", 7) // does not know the map that replaced the former leader
	a.RecordKnownMap("h1/5", 8) // the former leader itself
	a.RecordKnownMap("h3/9", 8) // another host
	time.Sleep(2 * tickEvery)
	require.False(t, out.contains(ended))
	a.RecordKnownMap("h1/6", 8)
	require.Eventually(t, func() bool { return out.contains(ended) }, 2*time.Second, 5*time.Millisecond)
}

// Guards against ten seconds more without service when the leader's process
// restarts and leads again.
func TestRestartedLeaderKnowsThatItsFormerProcessEnded(t *testing.T) {
	_, out := leadAfter(t, "h2/0")
	require.Eventually(t, func() bool { return out.contains("name=former_leader_ended") }, 2*time.Second, 5*time.Millisecond)
}
