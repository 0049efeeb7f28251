package assigner

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/relay/telemetry"
)

// gate holds calls and writes back until it is opened for their key.
type gate[K comparable] struct {
	mu    sync.Mutex
	opens map[K]chan struct{}
}

func (g *gate[K]) of(key K) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opens == nil {
		g.opens = map[K]chan struct{}{}
	}
	if g.opens[key] == nil {
		g.opens[key] = make(chan struct{})
	}
	return g.opens[key]
}

// heldReleases answers grants at once, and the release of a range when the gate is opened
// for its first key.
type heldReleases struct {
	gate[uint16]
	calls []assignment.Call
}

func (s *heldReleases) Call(ctx context.Context, c assignment.Call, _ func() error, _ func(context.Context) error) assignment.CallResult {
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	if c.Kind == assignment.ReleaseCall {
		select {
		case <-s.of(c.From):
		case <-ctx.Done():
			return assignment.CallResult{Status: assignment.CallUnanswered}
		}
	}
	return assignment.CallResult{Status: assignment.CallSucceeded}
}

// heldWrites stores the first map of a term when the gate is opened for the term.
type heldWrites struct{ gate[uint64] }

func (s *heldWrites) AppendMap(ctx context.Context, m *assignment.Map) (offset, nextOffset uint64, err error) {
	select {
	case <-s.of(m.Term):
		return m.NextOffset, m.NextOffset + 1, nil
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	}
}

// runElected runs an elected assigner with servers 1 and 2 in virtual time.
func runElected(t *testing.T, store MapStore, sender CallSender, test func(*testing.T, *Assigner)) {
	synctest.Test(t, func(t *testing.T) {
		journal, began := telemetry.NewJournal(io.Discard, "h2", "z"), time.Now()
		a := New(Options{HostIncarnation: "h2/1", HostOf: func(incarnation string) string { return incarnation[:2] }, Stripes: 4, Store: store, CallSender: sender,
			Journal: journal, OnMap: func(*assignment.Map) {}, Now: func() time.Duration { return time.Since(began) }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = a.Run(ctx) }()
		defer func() { cancel(); <-done; journal.Close() }()
		servers := map[string]directory.Server{}
		for _, id := range []string{"1", "2"} {
			servers[id] = directory.Server{ID: id, Service: "stock", Address: "10.0.0.1:" + id, Slots: 6}
		}
		a.SetServers(map[string]map[string]directory.Server{"stock": servers})
		a.SetElected(true)
		test(t, a)
	})
}

// mapOf returns a map of four ranges of servers 1 and 2, of which one awaits its release.
func mapOf(term, nextOffset uint64, moving int, holder string, owners ...string) *assignment.Map {
	server := func(id string) assignment.ServerIncarnation {
		return assignment.ServerIncarnation{ID: id, Address: "10.0.0.1:" + id}
	}
	m := &assignment.Map{Offset: nextOffset - 1, NextOffset: nextOffset, Term: term, Leader: "h9/1", Services: map[string][]assignment.Range{}}
	const width = assignment.KeyCount / 4
	for i, owner := range owners {
		m.Services["stock"] = append(m.Services["stock"], assignment.Range{From: uint16(i * width), To: uint16((i+1)*width - 1), Owner: server(owner)})
	}
	m.Services["stock"][moving].PreviousHolder = server(holder)
	return m
}

// Guards against two holders after a host has led, lost and regained the lead: the release
// that the holder of one range answers to its former term counts as that of another range
// in the new term.
func TestResultOfAFormerTermReleasesNoOtherRange(t *testing.T) {
	sender := &heldReleases{}
	runElected(t, acceptingStore{}, sender, func(t *testing.T, a *Assigner) {
		const untilReleases = 2 * time.Second // a host begins a term at most once a second
		a.ObserveMap(mapOf(3, 7, 0, "1", "2", "2", "1", "1"))
		time.Sleep(untilReleases)
		a.ObserveMap(mapOf(5, 99, 1, "2", "2", "1", "1", "1"))
		time.Sleep(untilReleases)
		close(sender.of(0))
		time.Sleep(time.Second)
		sender.mu.Lock()
		defer sender.mu.Unlock()
		const from = assignment.KeyCount / 4
		calledFor := func(kind assignment.CallKind, server string) bool {
			return slices.ContainsFunc(sender.calls, func(c assignment.Call) bool {
				return c.From == from && c.Kind == kind && c.Server.ID == server && c.Fence>>24 == 6
			})
		}
		require.True(t, calledFor(assignment.ReleaseCall, "2"))
		require.False(t, calledFor(assignment.GrantCall, "1"), "granted before server 2 has released it")
	})
}

// Guards against a leader that grants by a map which the store does not have: it takes the
// acknowledgement of a write of the host's former term for that of its own.
func TestWriteOfAFormerTermBeginsNoTerm(t *testing.T) {
	store := &heldWrites{}
	runElected(t, store, succeedingSender{}, func(t *testing.T, a *Assigner) {
		a.ObserveMap(mapOf(3, 7, 0, "1", "2", "2", "1", "1"))
		time.Sleep(time.Second)
		a.ObserveMap(mapOf(5, 9, 0, "1", "2", "2", "1", "1"))
		time.Sleep(2 * time.Second)
		close(store.of(4))
		time.Sleep(100 * time.Millisecond)
		require.False(t, a.Leading(), "no map of term 6 is stored")
		close(store.of(6))
		time.Sleep(100 * time.Millisecond)
		require.True(t, a.Leading())
	})
}
