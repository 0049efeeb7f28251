package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newServer(id string, born int64) Server {
	return Server{ID: id, Born: born, Service: "s", Address: "a", Slots: 1}
}

// Guards against a server that is removed because its entry expired during an
// outage of the store, and against one that stays although it does not register
// again.
func TestEntriesExpiredInAnOutageGetTimeToReturn(t *testing.T) {
	d := New()
	d.Put(newServer("1", 1))
	d.Put(newServer("2", 1))
	d.SetStoreReachable(time.Second, false)
	require.False(t, d.Remove(2*time.Second, "1"))
	d.SetStoreReachable(3*time.Second, true)
	require.False(t, d.ApplyListing(3*time.Second, nil))
	d.Put(newServer("1", 1))
	require.Empty(t, d.RemoveMissing(4*time.Second))
	require.Equal(t, []string{"2"}, d.RemoveMissing(3*time.Second+ReregistrationGrace))
	require.Len(t, d.All(), 1)
	require.True(t, d.Remove(time.Minute, "1"))
}

// Guards against an older incarnation of a server that replaces the newer one.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	d := New()
	require.True(t, d.Put(newServer("1", 2)))
	require.False(t, d.Put(newServer("1", 1)))
	require.Equal(t, int64(2), d.All()["1"].Born)
	require.False(t, d.Put(newServer("1", 2)))
}

// Guards against a host that keeps a removed server because it still remembers an
// outage of the store from before it followed the leader. It came about when the
// leader lost the store 2.4 s after the removal: the first listing of this host
// then seemed to end its own earlier outage.
func TestResetFromLeaderEndsAnEarlierOutage(t *testing.T) {
	d := New()
	d.SetStoreReachable(0, false)
	d.ResetFromLeader(map[string]Server{"1": {ID: "1"}, "2": {ID: "2"}})
	d.SetStoreReachable(7*time.Second, true)
	require.True(t, d.ApplyListing(7*time.Second, map[string]Server{"2": {ID: "2"}}))
	require.NotContains(t, d.All(), "1")
}

// Guards against a server that is reported as gone twice: a listing removes it after
// the outage in which its entry was first found missing.
func TestRemovedServerIsNotReportedAgain(t *testing.T) {
	d := New()
	d.Put(Server{ID: "1"})
	d.SetStoreReachable(0, false)
	require.False(t, d.Remove(time.Second, "1"))
	d.SetStoreReachable(2*time.Second, true)
	afterGrace := 2*time.Second + ReregistrationGrace
	require.True(t, d.Remove(afterGrace, "1"))
	require.Empty(t, d.RemoveMissing(afterGrace))
}
