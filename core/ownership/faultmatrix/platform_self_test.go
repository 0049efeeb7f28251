package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/record"
)

// TestLogFakeFaults guards against faults of the simulated log that have no effect, so
// that rows of the matrix would pass without testing anything.
func TestLogFakeFaults(t *testing.T) {
	s := newSimulator(1)
	l := newNetwork(s)
	p := newFakeLog(s, l)
	next := func() record.Record {
		return record.Record{ID: s.newID(), Body: record.HostJoined{Host: "h", Incarnation: s.newID()}}
	}
	appendOne := func() (offset uint64, err error) {
		p.append("h", next(), func(o uint64, e error) { offset, err = o, e })
		s.runUntil(s.now + 3*time.Second)
		return offset, err
	}
	readFrom := func(from uint64) (offsets []uint64, oldest uint64, err error) {
		p.read("h", from, func(records []record.LogEntry, o uint64, e error) {
			oldest, err = o, e
			for _, entry := range records {
				offsets = append(offsets, entry.Offset)
			}
		})
		s.runUntil(s.now + 3*time.Second)
		return offsets, oldest, err
	}

	offset, err := appendOne()
	require.NoError(t, err)
	require.Equal(t, uint64(1), offset)

	p.loseResponse = func(record.Record) bool { return true }
	_, err = appendOne()
	require.Error(t, err)
	require.Len(t, p.records, 2, "the append took effect although its response was lost")
	require.Equal(t, []uint64{1}, p.ackedOffsets)
	p.loseResponse = nil

	p.appendDelay = func(record.Record) time.Duration { return 5 * time.Second }
	_, err = appendOne()
	require.Error(t, err)
	require.Len(t, p.records, 2)
	s.runUntil(s.now + 5*time.Second)
	require.Len(t, p.records, 3, "a late append takes effect after its error")
	p.appendDelay = nil

	p.omitsNewest = true
	offsets, _, err := readFrom(1)
	require.NoError(t, err)
	require.Equal(t, []uint64{1, 2}, offsets)
	p.omitsNewest = false

	p.oldest = 3
	offsets, oldest, err := readFrom(1)
	require.NoError(t, err)
	require.Equal(t, []uint64{3}, offsets)
	require.Equal(t, uint64(3), oldest)

	for _, fault := range []func(bool){
		func(on bool) { p.down = on },
		func(on bool) { l.setPartitioned(on, "h", logName) },
		func(on bool) { l.partitioned[[2]string{logName, "h"}] = on },
	} {
		fault(true)
		_, _, err = readFrom(1)
		require.Error(t, err)
		_, err = appendOne()
		require.Error(t, err)
		fault(false)
	}
	require.Len(t, p.records, 4, "only the cut in the direction of responses lets an append through")
}

// TestHostListFake guards against a simulated host list that does not lag or is never
// wrong.
func TestHostListFake(t *testing.T) {
	s := newSimulator(1)
	h := newFakeHostList(s)
	h.setLive("a", true)
	h.setLive("b", true)
	live, _ := h.read()
	require.Empty(t, live)
	s.runUntil(time.Second)
	h.falselyMissing["a"], h.leaving["b"] = true, true
	live, leaving := h.read()
	require.Equal(t, []string{"b"}, live)
	require.Equal(t, []string{"b"}, leaving)
}
