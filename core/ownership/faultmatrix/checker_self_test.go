package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// TestCheckerSeesViolations guards against a checker that accepts everything: each case
// is a sequence with one violation, or a similar one that is permitted.
func TestCheckerSeesViolations(t *testing.T) {
	lowHalf, highHalf := keyspace.Range{First: 0, Last: 9}, keyspace.Range{First: 10, Last: 19}
	hold := func(c *checker, instance string, from, to time.Duration, r keyspace.Range) {
		c.recordGrant(instance, instance, from*time.Second, to*time.Second, []keyspace.Range{r})
	}
	run := func(c *checker, instance, id string, generation uint64, from, to time.Duration) {
		c.recordAccepted(acceptedRequest{server: instance, instance: instance, keyHash: 5, generation: generation,
			attemptID: id, isOrder: id != "", startedAt: from * time.Second, endsAt: to * time.Second})
	}
	cases := []struct {
		name string
		feed func(*checker)
		want string
	}{
		{"grants that overlap", func(c *checker) { hold(c, "a", 0, 3, lowHalf); hold(c, "b", 2, 4, lowHalf) }, "two owners"},
		{"renewal while another holds", func(c *checker) {
			hold(c, "a", 0, 1, lowHalf)
			hold(c, "b", 2, 4, lowHalf)
			hold(c, "a", 3, 4, lowHalf)
		}, "two owners"},
		{"grants of different ranges", func(c *checker) { hold(c, "a", 0, 3, lowHalf); hold(c, "b", 2, 4, highHalf) }, ""},
		{"grant after expiry", func(c *checker) { hold(c, "a", 0, 2, lowHalf); hold(c, "b", 2, 4, lowHalf) }, ""},
		{"grant after a process ended", func(c *checker) {
			hold(c, "a", 0, 3, lowHalf)
			c.endGrant("a")
			hold(c, "b", 1, 4, lowHalf)
		}, ""},
		{"work at two servers at once", func(c *checker) { run(c, "a", "", 1, 0, 3); run(c, "b", "", 2, 2, 4) }, "runs at b"},
		{"work under an old generation", func(c *checker) { run(c, "b", "", 2, 0, 1); run(c, "a", "", 1, 2, 3) }, "after b accepted"},
		{"work at two servers in turn", func(c *checker) { run(c, "a", "", 1, 0, 1); run(c, "b", "", 2, 1, 2) }, ""},
		{"an order twice", func(c *checker) { run(c, "a", "x#1", 1, 0, 1); run(c, "a", "x#2", 1, 2, 3) }, "ran 2 times"},
		{"not run after it ran", func(c *checker) { run(c, "a", "x#1", 1, 0, 1); c.recordNotRun("x#1") }, "but ran"},
		{"runs after not run", func(c *checker) { c.recordNotRun("x#1"); run(c, "a", "x#1", 1, 0, 1) }, "told that it did not"},
		{"not run and then another attempt", func(c *checker) { c.recordNotRun("x#1"); run(c, "a", "x#2", 1, 0, 1) }, ""},
		{"acknowledged record is missing", func(c *checker) { c.checkAckedRecords([]uint64{1}, nil) }, "is not in the log"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newChecker()
			tc.feed(c)
			if tc.want == "" {
				require.Empty(t, c.violations)
				return
			}
			require.Len(t, c.violations, 1)
			require.Contains(t, c.violations[0], tc.want)
		})
	}
}

// TestCheckerSeesLostAssignment guards against a checker that does not compare the
// views of daemons with the log.
func TestCheckerSeesLostAssignment(t *testing.T) {
	s := newSimulator(1)
	log := newFakeLog(s, newNetwork(s))
	put := func(name string, spec resource.Spec) {
		log.appendNow(record.Record{ID: s.newID(), Body: record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}}})
	}
	put("high", &resource.Rank{})
	put("orders", &resource.Service{Ranks: []string{"high"}, DefaultRank: "high"})
	for _, name := range []string{"a", "b"} {
		put(name, &resource.Server{Service: "orders", Zone: "z", Address: "http://127.0.0.1:1", Slots: 1, Connections: 1})
	}
	log.appendNow(record.Record{ID: s.newID(), Body: record.SlicesPlaced{
		Service: "orders", Slices: []record.SlicePlacement{{Range: keyspace.FullRange, Server: "a"}},
	}})
	before := log.expectedState.SliceTable("orders")
	log.appendNow(record.Record{ID: s.newID(), Body: record.SlicesMoved{Service: "orders", Moves: []record.SliceMove{
		{Range: keyspace.FullRange, Generation: 5, From: "a", To: "b"},
	}}})
	view := func(applied uint64, table *state.SliceTable) *ownership.View {
		return &ownership.View{AppliedOffset: applied, Tables: map[string]*state.SliceTable{"orders": table}}
	}
	check := func(v *ownership.View) []string {
		c := newChecker()
		c.checkAssignments(log, "d", v)
		return c.violations
	}
	require.Empty(t, check(view(6, log.expectedState.SliceTable("orders"))))
	require.Len(t, check(view(6, before)), 1)
	require.Len(t, check(view(5, before)), 1)
}

// TestServerFakeFollowsGrantRules guards against a simulated server that accepts more
// than api/serverapi permits, which would hide faults of the machine.
func TestServerFakeFollowsGrantRules(t *testing.T) {
	s := newSimulator(1)
	c := newChecker()
	b := newFakeServer(s, c, "a", true, 1)
	slice := ownership.SliceRef{Range: keyspace.FullRange, Generation: 5}
	grant := func(term uint64, token string, version uint64, held ...ownership.SliceRef) ownership.GrantResponse {
		return b.handleGrant(ownership.SendGrant{Term: term, Token: token, TTL: time.Second, SetVersion: version, HasSlices: len(held) > 0, Slices: held})
	}
	runs := func(term, generation uint64) (ok bool) {
		b.handleRequest(request{term: term, generation: generation}, func(string) {}, func() {})
		return len(b.runningRequests) > 0 && b.runningRequests[slice] > 0
	}
	require.False(t, runs(7, 5), "a server without a grant ran a request")
	first := grant(7, "", 0)
	require.True(t, first.Accepted)
	require.True(t, grant(7, first.Token, 1, slice).Accepted)
	require.False(t, grant(6, first.Token, 1, slice).Accepted, "lower term")
	require.False(t, runs(6, 5))
	require.False(t, runs(7, 4))
	require.True(t, runs(7, 5))
	s.runUntil(10 * time.Millisecond)
	delete(b.runningRequests, slice)
	s.runUntil(time.Second)
	require.False(t, runs(7, 5), "a grant lasts from the issue of its token")
	late := grant(7, first.Token, 1)
	require.True(t, late.Accepted)
	require.False(t, runs(7, 5), "a late grant extends nothing")
	next := grant(8, "", 0)
	require.Equal(t, uint64(7), next.PreviousTerm)
	require.Equal(t, []ownership.SliceRef{slice}, next.Held)
	var done bool
	b.handleRelease(ownership.SendRelease{Term: 8, Slice: slice}, func(a ownership.ReleaseCompleted) { done = a.Released })
	require.True(t, done)
	require.True(t, grant(8, next.Token, 1, slice).Accepted)
	require.False(t, runs(8, 5), "a released generation was granted again")
	b.frozen = true
	ran := false
	b.receive(func() { ran = true })
	require.False(t, ran, "a frozen server ran a handler")
	b.resume()
	require.True(t, ran, "a resumed server runs what waited in its socket")
	b.kill()
	b.start()
	require.False(t, grant(8, next.Token, 1, slice).Accepted, "token of another instance")
	require.Empty(t, c.violations)
}
