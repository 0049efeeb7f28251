package faultmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/record"
)

// TestLogFakeFaults guards against a log fake whose faults have no effect, which
// would make rows of the matrix pass without being run.
func TestLogFakeFaults(t *testing.T) {
	s := newSim(1)
	l := newLinks(s)
	p := newLog(s, l)
	next := func() record.Record {
		return record.Record{ID: s.id(), Body: record.HostJoined{Host: "h", Incarnation: s.id()}}
	}
	appendOne := func() (offset uint64, err error) {
		p.append("h", next(), func(o uint64, e error) { offset, err = o, e })
		s.until(s.now + 3*time.Second)
		return offset, err
	}
	readFrom := func(from uint64) (offsets []uint64, oldest uint64, err error) {
		p.read("h", from, func(records []record.Positioned, o uint64, e error) {
			oldest, err = o, e
			for _, r := range records {
				offsets = append(offsets, r.Offset)
			}
		})
		s.until(s.now + 3*time.Second)
		return offsets, oldest, err
	}

	offset, err := appendOne()
	require.NoError(t, err)
	require.Equal(t, uint64(1), offset)

	p.loseResponse = func(record.Record) bool { return true }
	_, err = appendOne()
	require.Error(t, err)
	require.Len(t, p.all, 2, "the append took effect although its response was lost")
	require.Equal(t, []uint64{1}, p.acked)
	p.loseResponse = nil

	p.lateAppend = func(record.Record) time.Duration { return 5 * time.Second }
	_, err = appendOne()
	require.Error(t, err)
	require.Len(t, p.all, 2)
	s.until(s.now + 5*time.Second)
	require.Len(t, p.all, 3, "a late append takes effect after its error")
	p.lateAppend = nil

	p.short = true
	offsets, _, err := readFrom(1)
	require.NoError(t, err)
	require.Equal(t, []uint64{1, 2}, offsets)
	p.short = false

	p.oldest = 3
	offsets, oldest, err := readFrom(1)
	require.NoError(t, err)
	require.Equal(t, []uint64{3}, offsets)
	require.Equal(t, uint64(3), oldest)

	for _, fault := range []func(bool){
		func(on bool) { p.down = on },
		func(on bool) { l.setCut(on, "h", logName) },
		func(on bool) { l.cut[[2]string{logName, "h"}] = on },
	} {
		fault(true)
		_, _, err = readFrom(1)
		require.Error(t, err)
		_, err = appendOne()
		require.Error(t, err)
		fault(false)
	}
	require.Len(t, p.all, 4, "only the cut in the direction of responses lets an append through")
}

// TestHostListFake guards against a host list that neither lags nor errs.
func TestHostListFake(t *testing.T) {
	s := newSim(1)
	h := newHostList(s)
	h.setLive("a", true)
	h.setLive("b", true)
	live, _ := h.read()
	require.Empty(t, live)
	s.until(time.Second)
	h.wrong["a"], h.leaving["b"] = true, true
	live, leaving := h.read()
	require.Equal(t, []string{"b"}, live)
	require.Equal(t, []string{"b"}, leaving)
}
