package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newServer(id string, born int64) Server {
	return Server{ID: id, Born: born, Service: "s", Address: "a", Slots: 1}
}

// maxGap is the longest time without contact that is no outage, in these tests.
const maxGap = 1700 * time.Millisecond

// read records a read of the store by this host.
func read(d *Directory, at time.Duration) { d.RecordContact(Contact{Begin: at, End: at}) }

// Guards against a server that is removed because its entry expired during an
// outage of the store, and against one that stays although it does not register
// again.
func TestEntriesExpiredInAnOutageGetTimeToReturn(t *testing.T) {
	d := New(maxGap)
	d.Put(0, newServer("1", 1))
	d.Put(0, newServer("2", 1))
	read(d, time.Second)
	require.False(t, d.Remove(3*time.Second, "1"))
	read(d, 3*time.Second)
	changed, _ := d.ApplyListing(3*time.Second, nil, 1)
	require.False(t, changed)
	d.Put(0, newServer("1", 1))
	read(d, 4*time.Second)
	require.Empty(t, d.RemoveMissing(4*time.Second))
	read(d, 3*time.Second+ReregistrationGrace)
	require.Equal(t, []string{"2"}, d.RemoveMissing(3*time.Second+ReregistrationGrace))
	require.Len(t, d.All(), 1)
	read(d, 6*time.Second)
	require.True(t, d.Remove(6*time.Second, "1"))
}

// Guards against a grace time that begins while the outage goes on, because this host
// has stopped reading: live servers were taken for gone at the first read after it.
func TestGraceBeginsAtTheEndOfTheOutage(t *testing.T) {
	d := New(maxGap)
	d.Put(0, newServer("1", 1))
	read(d, 0)
	require.Empty(t, d.RemoveMissing(8*time.Second))
	read(d, 10*time.Second)
	changed, _ := d.ApplyListing(10*time.Second, nil, 1)
	require.False(t, changed)
	read(d, 11*time.Second)
	require.Empty(t, d.RemoveMissing(10*time.Second+ReregistrationGrace-1))
}

// Guards against a host that takes its own loss of the store for an outage of the store,
// and uses servers that have left: another host reached the store all the while.
func TestContactOfAnotherHostRefutesAnOutage(t *testing.T) {
	const lostAt, backAt = 9 * time.Second, 12 * time.Second
	for name, c := range map[string]struct {
		reported []Contact
		outage   bool
	}{
		"all the while":             {reported: []Contact{{Begin: 0, End: 11900 * time.Millisecond}}},
		"one read in the middle":    {reported: []Contact{{Begin: 10500 * time.Millisecond, End: 10500 * time.Millisecond}}},
		"later read reported first": {reported: []Contact{{Begin: 11500 * time.Millisecond, End: 11500 * time.Millisecond}, {Begin: 10500 * time.Millisecond, End: 10500 * time.Millisecond}}},
		"before the loss":           {reported: []Contact{{Begin: 0, End: 8 * time.Second}}, outage: true},
		"only after an outage":      {reported: []Contact{{Begin: 11 * time.Second, End: 11900 * time.Millisecond}}, outage: true},
	} {
		d := New(maxGap)
		d.Put(0, newServer("1", 1))
		read(d, lostAt)
		read(d, backAt)
		require.False(t, d.Remove(backAt, "1"), name)
		for _, contact := range c.reported {
			d.RecordContact(contact)
		}
		_, _, outage := d.LastOutage()
		require.Equal(t, c.outage, outage, name)
		require.Equal(t, !c.outage, len(d.RemoveMissing(backAt+time.Millisecond)) == 1, name)
	}
}

// Guards against an older incarnation of a server that replaces the newer one.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	d := New(maxGap)
	require.True(t, d.Put(0, newServer("1", 2)))
	require.False(t, d.Put(0, newServer("1", 1)))
	require.Equal(t, int64(2), d.All()["1"].Born)
	require.False(t, d.Put(0, newServer("1", 2)))
}

// Guards against a host that keeps a removed server because it still remembers an
// outage of the store from before it followed the leader. It came about when the
// leader lost the store 2.4 s after the removal: the first listing of this host
// then seemed to end its own earlier outage.
func TestFollowingTheLeaderEndsAnEarlierOutage(t *testing.T) {
	d := New(maxGap)
	read(d, 0)
	for at := 3 * time.Second; at <= 6*time.Second; at += time.Second {
		read(d, at) // by the leader
		d.ResetFromLeader(0, map[string]Server{"1": {ID: "1"}, "2": {ID: "2"}}, 1)
	}
	read(d, 7*time.Second)
	changed, _ := d.ApplyListing(7*time.Second, map[string]Server{"2": {ID: "2"}}, 2)
	require.True(t, changed)
	require.NotContains(t, d.All(), "1")
}

// Guards against a server that is reported as gone twice: a listing removes it after
// the outage in which its entry was first found missing.
func TestRemovedServerIsNotReportedAgain(t *testing.T) {
	d := New(maxGap)
	d.Put(0, Server{ID: "1"})
	read(d, 0)
	require.False(t, d.Remove(2*time.Second, "1"))
	read(d, 2*time.Second)
	afterGrace := 2*time.Second + ReregistrationGrace
	read(d, 3*time.Second)
	read(d, afterGrace)
	require.True(t, d.Remove(afterGrace, "1"))
	require.Empty(t, d.RemoveMissing(afterGrace))
}

// Guards against a server that has left and is used again, because a list of servers that
// was under way arrives after a newer one from another source.
func TestOlderListDoesNotReplaceANewerOne(t *testing.T) {
	d := New(maxGap)
	older, newer := map[string]Server{"1": {ID: "1"}, "2": {ID: "2"}}, map[string]Server{"2": {ID: "2"}}
	require.True(t, d.ResetFromLeader(0, newer, 8))
	_, applied := d.ApplyListing(time.Second, older, 7)
	require.False(t, applied)
	require.False(t, d.ResetFromLeader(0, older, 7))
	require.Equal(t, newer, d.All())
	_, applied = d.ApplyListing(time.Second, older, 8)
	require.True(t, applied)
	require.Equal(t, uint64(8), d.Offset())
	require.True(t, d.ResetFromLeader(0, newer, 0), "a leader of an older version names no offset")
	require.Equal(t, uint64(8), d.Offset())
}

// Guards against servers that are taken for gone, or for an earlier life, because a restored
// store lacks their newest entries.
func TestRestoredStoreForgetsNoServer(t *testing.T) {
	d := New(maxGap)
	d.Put(0, newServer("1", 2))
	d.Put(0, newServer("2", 1))
	read(d, time.Second)
	d.RecordRestore(time.Second)
	restored := map[string]Server{"1": newServer("1", 1)}
	changed, _ := d.ApplyListing(time.Second, restored, 1)
	require.False(t, changed)
	require.Len(t, d.All(), 2)
	require.True(t, d.ResetFromLeader(time.Second, restored, 2))
	require.EqualValues(t, 2, d.All()["1"].Born)
	d.ResetFromLeader(time.Second+ReregistrationGrace, restored, 3)
	require.EqualValues(t, 1, d.All()["1"].Born, "as without a restore")
}
