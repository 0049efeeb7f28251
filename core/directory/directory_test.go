package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func one(id string, born int64) Server {
	return Server{ID: id, Born: born, Service: "s", Address: "a", Slots: 1}
}

// Guards against a server that is dropped because its entry lapsed during an
// outage of the store, and against one that stays although it is gone.
func TestEntriesThatLapseInAnOutageGetTimeToReturn(t *testing.T) {
	d := New()
	d.Put(one("1", 1))
	d.Put(one("2", 1))
	d.Store(time.Second, false)
	require.False(t, d.Remove(2*time.Second, "1"))
	d.Store(3*time.Second, true)
	require.False(t, d.Replace(3*time.Second, nil))
	d.Put(one("1", 1))
	require.Empty(t, d.Expire(4*time.Second))
	require.Equal(t, []string{"2"}, d.Expire(3*time.Second+LapseGrace))
	require.Len(t, d.All(), 1)
	require.True(t, d.Remove(time.Minute, "1"))
}

// Guards against an older life of a server that replaces the newer one.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	d := New()
	require.True(t, d.Put(one("1", 2)))
	require.False(t, d.Put(one("1", 1)))
	require.Equal(t, int64(2), d.All()["1"].Born)
	require.False(t, d.Put(one("1", 2)))
}
