package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/followv1"
)

// fixedParent answers each call with the same response. It implements followv1.Leader.
type fixedParent struct{ response *followv1.FollowResponse }

func (p fixedParent) Follow(context.Context, *followv1.FollowRequest) (*followv1.FollowResponse, error) {
	return p.response, nil
}

// pollOnce lets a follower poll a leader that answers with a response.
func pollOnce(t *testing.T, response *followv1.FollowResponse) (state *followerState, f *Follower, err error) {
	response.Host, response.Leading = "leader", true
	_, state, f, transport := newVirtualPair(t)
	transport.handler = followv1.NewLeaderServer(fixedParent{response})
	return state, f, f.pollParent(t.Context(), "leader")
}

// Guards against a host whose parent's clock jumps while it holds the call: the host would
// take the state for younger than it is until its own clock has caught up.
func TestJumpOfTheParentsClockDoesNotMakeTheStateYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f, err := pollOnce(t, &followv1.FollowResponse{AgeMs: 300, HeldMs: 60_000})
		require.NoError(t, err)
		require.GreaterOrEqual(t, f.StateAge(), 300*time.Millisecond)
	})
}
