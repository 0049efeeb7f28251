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

func (p fixedParent) LendWarmupPermits(context.Context, *followv1.WarmupPermitRequest) (*followv1.WarmupPermitResponse, error) {
	return &followv1.WarmupPermitResponse{}, nil
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

// Guards against a host that takes over a damaged map, in which it finds no server for some
// keys, or two, until the next change of these ranges.
func TestDamagedMapsAreNotTakenOver(t *testing.T) {
	for name, ranges := range map[string][]*followv1.Range{
		"keys are missing":        {{Service: "s", To: 9}, {Service: "s", From: 11, To: 65535}},
		"the last key is missing": {{Service: "s", To: 65534}},
		"ranges overlap":          {{Service: "s", To: 10}, {Service: "s", From: 10, To: 65535}},
		"ranges are not in order": {{Service: "s", From: 10, To: 65535}, {Service: "s", To: 9}},
		"unknown server":          {{Service: "s", To: 65535, Owner: 1}},
		"key out of range":        {{Service: "s", To: 65536}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state, f, err := pollOnce(t, &followv1.FollowResponse{Map: &followv1.MapChange{End: 2, Term: 1, Servers: []*followv1.Incarnation{{Id: "1"}}, Ranges: ranges}})
				require.Error(t, err)
				require.Nil(t, state.NewestMap())
				require.False(t, f.InContact(), "the host is to read the store")
			})
		})
	}
}

// Guards against a damaged load report that counts as requests for other keys.
func TestKeysOutOfRangeAreNotReported(t *testing.T) {
	r := decodeLoadReport([]*followv1.Arrivals{{Service: "s", Keys: []uint32{7, 65536 + 9}}})
	require.Equal(t, []uint16{7}, r.RequestedKeys["s"])
}
