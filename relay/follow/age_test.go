package follow

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/relay/edge"
	"parsleyrelay.example/relay/telemetry"
)

// delayingTransport passes requests to a handler in the same process and delays the
// responses.
type delayingTransport struct {
	handler       http.Handler
	responseDelay time.Duration
}

func (t *delayingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, r)
	time.Sleep(t.responseDelay)
	return w.Result(), r.Context().Err()
}

// newVirtualPair returns a leader whose state was read just now, and a follower whose polls
// go through the transport. It must be called in a synctest bubble.
func newVirtualPair(t *testing.T) (leader *sourceHost, state *followerState, follower *Follower, transport *delayingTransport) {
	leader = &sourceHost{leading: true, knownNextOffsets: map[string]uint64{}}
	leader.source = NewSource(testOptions("leader"), leader, fakeUpstream{}, func(edge.LoadReport) {})
	state = &followerState{leader: "leader", addresses: map[string]string{"leader": "leader:1"}}
	journal := telemetry.NewJournal(io.Discard, "f", "z")
	t.Cleanup(journal.Close)
	follower = NewFollower(testOptions("follower"), state, journal)
	transport = &delayingTransport{handler: followv1.NewLeaderServer(leader.source)}
	follower.http.Transport = transport
	recordReads(leader.source)
	return leader, state, follower, transport
}

// Guards against a host that takes a state for younger than it is, because the leader's
// response was held up on its way: the host would read the store itself too late for a
// change that the leader has missed.
func TestDelayOfAResponseCountsAsAge(t *testing.T) {
	const delay = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		_, _, f, transport := newVirtualPair(t)
		transport.responseDelay = delay
		require.NoError(t, f.pollParent(t.Context(), "leader"))
		require.GreaterOrEqual(t, f.StateAge(), delay)
	})
}

// Guards against a host that counts the time for which the leader held its call as age:
// hosts would read the store although the leader is well.
func TestWaitOfALongPollIsNoAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, _, f, _ := newVirtualPair(t)
		stop := time.AfterFunc(longPollWait-50*time.Millisecond, func() { recordReads(leader.source) })
		defer stop.Stop()
		require.NoError(t, f.pollParent(t.Context(), "leader"))
		require.LessOrEqual(t, f.StateAge(), 60*time.Millisecond)
	})
}
