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
