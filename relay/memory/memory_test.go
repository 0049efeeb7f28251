package memory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against messages that together exceed the limit, and against large ones that
// leave no room for small ones.
func TestHoldsLeaveRoomForSmallOnes(t *testing.T) {
	const limit, step = 1 << 20, 1 << 10
	for _, count := range []int{1, 2, 9, 99} {
		a := NewAccount(limit)
		holds := make([]Hold, count)
		for i := range holds {
			holds[i].Account = a
		}
		for grown := true; grown; {
			grown = false
			for i := range holds {
				grown = holds[i].Grow(step) || grown
			}
		}
		require.LessOrEqual(t, a.Held(), int64(limit*count/(count+1)))
		require.Greater(t, a.Held(), int64(limit*count/(count+1)-count*step))
		require.NotZero(t, a.Refusals())
		small := Hold{Account: a}
		require.True(t, small.Grow(step))
		for i := range holds {
			holds[i].Release()
		}
		small.Release()
		require.Zero(t, a.Held())
	}
}

// Guards against a part of an account that takes more than its own limit, or more than the
// other parts have left, and against bytes that stay counted after a refusal or a release.
func TestPartsShareTheAccount(t *testing.T) {
	const limit, step = 1 << 20, 1 << 10
	whole := NewAccount(limit)
	part := whole.NewPart(limit / 4)
	inPart := Hold{Account: part}
	for inPart.Grow(step) {
	}
	require.Equal(t, int64(limit/8), part.Held())
	require.Equal(t, part.Held(), whole.Held())
	require.EqualValues(t, 1, part.Refusals())
	require.Zero(t, whole.Refusals())
	inPart.Release()
	taken := Hold{Account: whole}
	taken.Take(2 * limit)
	require.Equal(t, int64(2*limit), whole.Held())
	require.True(t, inPart.Grow(AlwaysGranted), "a small message in a full account")
	require.False(t, inPart.Grow(1))
	require.EqualValues(t, AlwaysGranted, part.Held())
	taken.Release()
	require.True(t, inPart.Grow(step))
	inPart.Release()
	require.Zero(t, part.Held())
	require.Zero(t, whole.Held())
}

// Guards against a message of the largest size allowed that finds no room in an account of
// one and a half times its size, and against such ones that leave no room for small ones.
func TestWeightAllowsLargerHolds(t *testing.T) {
	const limit, step = 96 << 20, 1 << 20
	a := NewAccount(limit)
	large := Hold{Account: a, Weight: 2}
	require.True(t, large.Grow(64<<20))
	require.False(t, large.Grow(step))
	second := Hold{Account: a, Weight: 2}
	for second.Grow(step) {
	}
	require.EqualValues(t, 85<<20, a.Held())
	small := Hold{Account: a}
	require.True(t, small.Grow(step))
}
