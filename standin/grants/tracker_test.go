package grants

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/serverapi"
)

var lowSlice = serverapi.Slice{First: "0000000000000000", Last: "00000000000000ff", Generation: 5}

type trackerFixture struct {
	*Tracker
	t   *testing.T
	now time.Duration
}

func newFixture(t *testing.T) *trackerFixture {
	f := &trackerFixture{t: t}
	f.Tracker = NewTracker("s1", "instance", func() time.Duration { return f.now })
	return f
}

func (f *trackerFixture) mustHandleGrant(g serverapi.Grant) serverapi.GrantResponse {
	f.t.Helper()
	g.Server = "s1"
	response, err := f.HandleGrant(g)
	require.NoError(f.t, err)
	return response
}

// probeAndGrant sends a probe and then a grant with the token of the response.
func (f *trackerFixture) probeAndGrant(term, setVersion uint64, granted ...serverapi.Slice) serverapi.GrantResponse {
	f.t.Helper()
	token := f.mustHandleGrant(serverapi.Grant{Term: term}).Token
	return f.mustHandleGrant(serverapi.Grant{Term: term, Token: token, TTLMS: 1500, SetVersion: setVersion, HasSlices: true, Slices: granted})
}

func (f *trackerFixture) beginAndFinish(term, keyHash, generation uint64) serverapi.Refusal {
	active, refusal := f.BeginRequest(Request{Term: term, KeyHash: keyHash, Generation: generation})
	if active != nil {
		f.FinishRequest(active)
	}
	return refusal
}

// Guards against a request that is accepted without an unexpired grant.
func TestBeginRequestNeedsLiveGrant(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(7, 1, 5))
	require.True(t, f.probeAndGrant(7, 1, lowSlice).Accepted)
	require.Empty(t, f.beginAndFinish(7, 1, 5))
	require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(7, 1, 4), "other generation")
	require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(7, 0x100, 5), "other slice")
	require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(8, 1, 5), "term without a grant")
	require.Equal(t, serverapi.RefusedTerm, f.beginAndFinish(6, 1, 5), "older term")
	f.now = 1500 * time.Millisecond
	require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(7, 1, 5), "expired")
}

// Guards against a grant whose time to live starts at its arrival: a delayed grant
// would outlive the lease that permits the home to dispatch requests. Also guards
// against accepting a token of another instance or a grant for another server.
func TestTimeToLiveCountsFromToken(t *testing.T) {
	f := newFixture(t)
	token := f.mustHandleGrant(serverapi.Grant{Term: 7}).Token
	f.now = time.Second
	require.True(t, f.mustHandleGrant(serverapi.Grant{Term: 7, Token: token, TTLMS: 1500, SetVersion: 1, HasSlices: true, Slices: []serverapi.Slice{lowSlice}}).Accepted)
	f.now = 1499 * time.Millisecond
	require.Empty(t, f.beginAndFinish(7, 1, 5))
	f.now = 1500 * time.Millisecond
	require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(7, 1, 5))
	stale := f.mustHandleGrant(serverapi.Grant{Term: 7, Token: "former/5", TTLMS: 9000, SetVersion: 1})
	require.Equal(t, serverapi.RefusedNoGrant, stale.Reason, "token of another instance")
	other, err := f.HandleGrant(serverapi.Grant{Server: "s2", Term: 9})
	require.NoError(t, err)
	require.False(t, other.Accepted, "grant for another server")
	require.EqualValues(t, 7, other.Term)
}

// Guards against grants and requests of a former home that are accepted after contact
// from a newer home, and against a probe that extends or removes grants.
func TestHigherTermRefusesFormerHome(t *testing.T) {
	f := newFixture(t)
	f.probeAndGrant(7, 3, lowSlice)
	probe := f.mustHandleGrant(serverapi.Grant{Term: 7, SubTerm: 1})
	require.EqualValues(t, 7, probe.PreviousTerm)
	require.Equal(t, []serverapi.Slice{lowSlice}, probe.Held)
	require.Zero(t, probe.SetVersion, "the slice set belongs to the former sub-term")
	require.Equal(t, serverapi.RefusedTerm, f.beginAndFinish(7, 1, 5))
	require.Equal(t, serverapi.RefusedTerm, f.probeAndGrant(7, 4, lowSlice).Reason)
	active, _ := f.BeginRequest(Request{Term: 7, SubTerm: 1, KeyHash: 1, Generation: 5})
	require.Nil(t, active, "a probe grants nothing")
	renewal := f.mustHandleGrant(serverapi.Grant{Term: 7, SubTerm: 1, Token: probe.Token, TTLMS: 1500, SetVersion: 3})
	require.Equal(t, serverapi.RefusedNoGrant, renewal.Reason, "renewal of a slice set that this sub-term never sent")
}

// Guards against grants of one home that arrive out of order and thereby change the
// slice set back or shorten the latest grant.
func TestReorderedGrants(t *testing.T) {
	f := newFixture(t)
	first := f.mustHandleGrant(serverapi.Grant{Term: 7}).Token
	f.now = time.Second
	f.probeAndGrant(7, 2, lowSlice)
	late := serverapi.Grant{Term: 7, Token: first, TTLMS: 1500, SetVersion: 1, HasSlices: true}
	require.False(t, f.mustHandleGrant(late).Accepted)
	late.SetVersion, late.HasSlices = 2, false
	require.True(t, f.mustHandleGrant(late).Accepted)
	f.now = 2 * time.Second
	require.Empty(t, f.beginAndFinish(7, 1, 5))
}

// Guards against a released slice that accepts requests again under the same
// generation, unchanged, split or merged, and against a release that ignores active
// requests.
func TestReleasedSliceStaysReleased(t *testing.T) {
	f := newFixture(t)
	f.probeAndGrant(7, 1, lowSlice)
	active, _ := f.BeginRequest(Request{Term: 7, KeyHash: 1, Generation: 5})
	release := serverapi.Release{Server: "s1", Term: 7, Slices: []serverapi.Slice{lowSlice}}
	refusal, err := f.HandleRelease(release)
	require.NoError(t, err)
	require.Empty(t, refusal)
	require.False(t, f.SlicesIdle(release))
	until, ok := f.CoveredUntil(active)
	require.True(t, ok)
	require.Equal(t, 1500*time.Millisecond, until)
	f.probeAndGrant(7, 2)
	_, ok = f.CoveredUntil(active)
	require.False(t, ok, "the home removed the slice from the set")
	f.FinishRequest(active)
	require.True(t, f.SlicesIdle(release))
	require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(7, 1, 5))

	half, merged, again := lowSlice, lowSlice, lowSlice
	half.Last, merged.Last, again.Generation = "000000000000000f", "0000000000000fff", 6
	for version, s := range []serverapi.Slice{lowSlice, half, merged} {
		require.True(t, f.probeAndGrant(8, uint64(version), s).Accepted)
		require.Equal(t, serverapi.RefusedNoGrant, f.beginAndFinish(8, 1, 5))
	}
	require.Empty(t, f.beginAndFinish(8, 0x200, 5), "key hash outside the released slice")
	require.Equal(t, []serverapi.Slice{lowSlice}, f.mustHandleGrant(serverapi.Grant{Term: 8}).Released)
	f.probeAndGrant(8, 9, again)
	require.Empty(t, f.beginAndFinish(8, 1, 6))
	require.Empty(t, f.mustHandleGrant(serverapi.Grant{Term: 8}).Released)
	refusal, err = f.HandleRelease(release)
	require.NoError(t, err)
	require.Equal(t, serverapi.RefusedTerm, refusal)
}

// Guards against a request that takes effect after its grant has expired or its slice
// was removed from the set.
func TestCoveredEndsWithGrant(t *testing.T) {
	f := newFixture(t)
	f.probeAndGrant(7, 1, lowSlice)
	active, _ := f.BeginRequest(Request{Term: 7, KeyHash: 1, Generation: 5})
	f.probeAndGrant(8, 1, lowSlice)
	_, ok := f.CoveredUntil(active)
	require.True(t, ok, "the next home granted the same generation")
	f.probeAndGrant(8, 2)
	_, ok = f.CoveredUntil(active)
	require.False(t, ok)
	f.probeAndGrant(8, 3, lowSlice)
	f.now = 1500 * time.Millisecond
	_, ok = f.CoveredUntil(active)
	require.False(t, ok)
	_, err := f.HandleGrant(serverapi.Grant{Server: "s1", Slices: []serverapi.Slice{{First: "2", Last: "1"}}})
	require.Error(t, err)
}
