package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/serverapi"
)

var low = serverapi.Slice{First: "0000000000000000", Last: "00000000000000ff", Generation: 5}

type fixture struct {
	*Tracker
	t   *testing.T
	now time.Duration
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	f.Tracker = NewTracker("s1", "instance", func() time.Duration { return f.now })
	return f
}

func (f *fixture) send(g serverapi.Grant) serverapi.GrantResponse {
	f.t.Helper()
	g.Server = "s1"
	response, err := f.HandleGrant(g)
	require.NoError(f.t, err)
	return response
}

func (f *fixture) grant(term, version uint64, slices ...serverapi.Slice) serverapi.GrantResponse {
	f.t.Helper()
	token := f.send(serverapi.Grant{Term: term}).Token
	return f.send(serverapi.Grant{Term: term, Token: token, TTLMS: 1500, SetVersion: version, HasSlices: true, Slices: slices})
}

func (f *fixture) begin(term, hash, generation uint64) serverapi.Refusal {
	work, refusal := f.BeginRequest(Request{Term: term, KeyHash: hash, Generation: generation})
	if work != nil {
		f.FinishRequest(work)
	}
	return refusal
}

// Guards against work that is accepted outside a live grant.
func TestBeginNeedsLiveGrant(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, serverapi.RefusedNoGrant, f.begin(7, 1, 5))
	require.True(t, f.grant(7, 1, low).Accepted)
	require.Empty(t, f.begin(7, 1, 5))
	require.Equal(t, serverapi.RefusedNoGrant, f.begin(7, 1, 4), "other generation")
	require.Equal(t, serverapi.RefusedNoGrant, f.begin(7, 0x100, 5), "other slice")
	require.Equal(t, serverapi.RefusedNoGrant, f.begin(8, 1, 5), "term that granted nothing")
	require.Equal(t, serverapi.RefusedTerm, f.begin(6, 1, 5), "older term")
	f.now = 1500 * time.Millisecond
	require.Equal(t, serverapi.RefusedNoGrant, f.begin(7, 1, 5), "expired")
}

// Guards against a grant whose time to live starts at its arrival: a delayed one
// would outlive the home's lease.
func TestTimeToLiveCountsFromToken(t *testing.T) {
	f := newFixture(t)
	token := f.send(serverapi.Grant{Term: 7}).Token
	f.now = time.Second
	require.True(t, f.send(serverapi.Grant{Term: 7, Token: token, TTLMS: 1500, SetVersion: 1, HasSlices: true, Slices: []serverapi.Slice{low}}).Accepted)
	f.now = 1499 * time.Millisecond
	require.Empty(t, f.begin(7, 1, 5))
	f.now = 1500 * time.Millisecond
	require.Equal(t, serverapi.RefusedNoGrant, f.begin(7, 1, 5))
	stale := f.send(serverapi.Grant{Term: 7, Token: "former/5", TTLMS: 9000, SetVersion: 1})
	require.Equal(t, serverapi.RefusedNoGrant, stale.Reason, "token of another instance")
	other, err := f.HandleGrant(serverapi.Grant{Server: "s2", Term: 9})
	require.NoError(t, err)
	require.False(t, other.Accepted, "grant for another server")
	require.EqualValues(t, 7, other.Term)
}

// Guards against a former home that is obeyed after a new one showed up, and
// against a probe that extends or removes anything.
func TestHigherTermFencesFormerHome(t *testing.T) {
	f := newFixture(t)
	f.grant(7, 3, low)
	probe := f.send(serverapi.Grant{Term: 7, SubTerm: 1})
	require.EqualValues(t, 7, probe.PreviousTerm)
	require.Equal(t, []serverapi.Slice{low}, probe.Held)
	require.Zero(t, probe.SetVersion, "the set belongs to the former sub-term")
	require.Equal(t, serverapi.RefusedTerm, f.begin(7, 1, 5))
	require.Equal(t, serverapi.RefusedTerm, f.grant(7, 4, low).Reason)
	work, _ := f.BeginRequest(Request{Term: 7, SubTerm: 1, KeyHash: 1, Generation: 5})
	require.Nil(t, work, "a probe grants nothing")
	renewal := f.send(serverapi.Grant{Term: 7, SubTerm: 1, Token: probe.Token, TTLMS: 1500, SetVersion: 3})
	require.Equal(t, serverapi.RefusedNoGrant, renewal.Reason, "renewal of a set that this sub-term never sent")
}

// Guards against grants of one home that arrive out of order and bring a slice
// back or shorten the newest grant.
func TestReorderedGrants(t *testing.T) {
	f := newFixture(t)
	first := f.send(serverapi.Grant{Term: 7}).Token
	f.now = time.Second
	f.grant(7, 2, low)
	late := serverapi.Grant{Term: 7, Token: first, TTLMS: 1500, SetVersion: 1, HasSlices: true}
	require.False(t, f.send(late).Accepted)
	late.SetVersion, late.HasSlices = 2, false
	require.True(t, f.send(late).Accepted)
	f.now = 2 * time.Second
	require.Empty(t, f.begin(7, 1, 5))
}

// Guards against a released slice that is accepted again under its generation,
// whole, split or merged, and against a release that forgets running work.
func TestReleasedSliceStaysReleased(t *testing.T) {
	f := newFixture(t)
	f.grant(7, 1, low)
	work, _ := f.BeginRequest(Request{Term: 7, KeyHash: 1, Generation: 5})
	release := serverapi.Release{Server: "s1", Term: 7, Slices: []serverapi.Slice{low}}
	refusal, err := f.HandleRelease(release)
	require.NoError(t, err)
	require.Empty(t, refusal)
	require.False(t, f.SlicesIdle(release))
	until, ok := f.CoveredUntil(work)
	require.True(t, ok)
	require.Equal(t, 1500*time.Millisecond, until)
	f.grant(7, 2)
	_, ok = f.CoveredUntil(work)
	require.False(t, ok, "the home took the slice out of the set")
	f.FinishRequest(work)
	require.True(t, f.SlicesIdle(release))
	require.Equal(t, serverapi.RefusedNoGrant, f.begin(7, 1, 5))

	half, merged, again := low, low, low
	half.Last, merged.Last, again.Generation = "000000000000000f", "0000000000000fff", 6
	for version, s := range []serverapi.Slice{low, half, merged} {
		require.True(t, f.grant(8, uint64(version), s).Accepted)
		require.Equal(t, serverapi.RefusedNoGrant, f.begin(8, 1, 5))
	}
	require.Empty(t, f.begin(8, 0x200, 5), "the part that was not released")
	require.Equal(t, []serverapi.Slice{low}, f.send(serverapi.Grant{Term: 8}).Released)
	f.grant(8, 9, again)
	require.Empty(t, f.begin(8, 1, 6))
	require.Empty(t, f.send(serverapi.Grant{Term: 8}).Released)
	refusal, err = f.HandleRelease(release)
	require.NoError(t, err)
	require.Equal(t, serverapi.RefusedTerm, refusal)
}

// Guards against work that takes effect after its grant expired or its slice was
// taken away.
func TestCoveredEndsWithGrant(t *testing.T) {
	f := newFixture(t)
	f.grant(7, 1, low)
	work, _ := f.BeginRequest(Request{Term: 7, KeyHash: 1, Generation: 5})
	f.grant(8, 1, low)
	_, ok := f.CoveredUntil(work)
	require.True(t, ok, "the next home granted the same generation")
	f.grant(8, 2)
	_, ok = f.CoveredUntil(work)
	require.False(t, ok)
	f.grant(8, 3, low)
	f.now = 1500 * time.Millisecond
	_, ok = f.CoveredUntil(work)
	require.False(t, ok)
	_, err := f.HandleGrant(serverapi.Grant{Server: "s1", Slices: []serverapi.Slice{{First: "2", Last: "1"}}})
	require.Error(t, err)
}
