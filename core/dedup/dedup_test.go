package dedup

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(mono time.Duration) Time { return Time{Mono: mono, Wall: epoch.Add(mono)} }

var lastID byte

// idAt returns a UUIDv7 made at the given time on the caller's clock.
func idAt(t time.Duration) uuid.UUID {
	lastID++
	return numberedID(t, lastID)
}

func numberedID(t time.Duration, n byte) uuid.UUID {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	for i, ms := 5, epoch.Add(t).UnixMilli(); i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	return id
}

func fresh(cfg Config) *Window {
	w := New(cfg)
	w.Activate(at(0), keyspace.Full, SourceFresh, Origin{})
	return w
}

func verdict(w *Window, now time.Duration, req Request) Verdict {
	v, _ := w.Begin(at(now), req)
	return v
}

// Guards against a duplicate that runs again, or gets another request's response.
func TestRepeats(t *testing.T) {
	w := fresh(Config{MaxResponseBytes: 4})
	req := Request{ID: idAt(0), Hash: 7}
	require.Equal(t, Run, verdict(w, 0, req))
	require.Equal(t, Wait, verdict(w, 0, req))
	w.Finish(req.ID, req.Hash, NotRun, nil)
	require.Equal(t, Run, verdict(w, 0, req))
	w.Finish(req.ID, req.Hash, Done, &Response{Status: 200, Body: []byte("yes")})
	v, response := w.Begin(at(0), req)
	require.Equal(t, Replay, v)
	require.Equal(t, "yes", string(response.Body))
	other := req
	other.Digest[0] = 1
	require.Equal(t, Conflict, verdict(w, 0, other))

	large := Request{ID: idAt(0)}
	require.Equal(t, Run, verdict(w, 0, large))
	w.Finish(large.ID, 0, Done, &Response{Body: []byte("too large")})
	require.Equal(t, NotStored, verdict(w, 0, large))

	lost := Request{ID: idAt(0)}
	require.Equal(t, Run, verdict(w, 0, lost))
	w.Finish(lost.ID, 0, Unknown, nil)
	require.Equal(t, MayHaveRun, verdict(w, 0, lost))
}

// Guards against ids without a usable time being taken for new.
func TestIDTimes(t *testing.T) {
	w := fresh(Config{})
	now := time.Hour
	require.Equal(t, BadID, verdict(w, now, Request{ID: uuid.New()}))
	require.Equal(t, FromFuture, verdict(w, now, Request{ID: idAt(now + ClockBound + time.Millisecond)}))
	require.Equal(t, Run, verdict(w, now, Request{ID: idAt(now + ClockBound)}))
	require.Equal(t, MayHaveRun, verdict(w, now, Request{ID: idAt(now - Retention)}), "as old as forgotten ids")
	require.Equal(t, NotActive, verdict(New(Config{}), now, Request{ID: idAt(now)}))
}

// Guards against a full window forgetting ids, and against one that stays full.
func TestFullWindowRefuses(t *testing.T) {
	w := fresh(Config{MaxEntries: 2, MaxBytes: 5})
	first, second := Request{ID: idAt(0)}, Request{ID: idAt(0)}
	for _, req := range []Request{first, second} {
		require.Equal(t, Run, verdict(w, 0, req))
		w.Finish(req.ID, 0, Done, &Response{Body: []byte("123")})
	}
	require.Equal(t, NotStored, verdict(w, time.Minute, first), "bytes are bounded by dropping responses")
	require.Equal(t, Replay, verdict(w, time.Minute, second))
	require.Equal(t, Full, verdict(w, time.Minute, Request{ID: idAt(time.Minute)}))
	later := Retention + 2*ClockBound
	require.Equal(t, Run, verdict(w, later, Request{ID: idAt(later)}))
	require.Equal(t, MayHaveRun, verdict(w, later, first))
}

// Guards against a run at the new home of an id that the former home may have run.
func TestActivationWithoutTransfer(t *testing.T) {
	w := New(Config{})
	active := time.Hour
	require.False(t, w.Activate(at(active), keyspace.Full, SourceTransfer, Origin{Server: "a"}))
	now := active + 1500*time.Millisecond
	require.Equal(t, MayHaveRun, verdict(w, now, Request{ID: idAt(active + ClockBound)}))
	require.Equal(t, Run, verdict(w, now, Request{ID: idAt(active + ClockBound + 2*time.Millisecond)}))
	old := Request{ID: idAt(active - time.Second)}
	old.FirstAttempt, old.Deadline = true, 3500*time.Millisecond
	require.Equal(t, MayHaveRun, verdict(w, now, old), "the caller's clock may show that the deadline has passed")
	old.Deadline++
	old.Deadline += time.Millisecond
	require.Equal(t, Run, verdict(w, now, old))
	require.Equal(t, Run, verdict(w, now, Request{ID: idAt(active), ServerRemembers: true}))
}

// Guards against a planned move that loses ids, takes a partial or outdated
// transfer for whole, or lets a request begin at the sender after the export.
func TestTransfer(t *testing.T) {
	a := fresh(Config{})
	low, high := keyspace.Range{First: 0, Last: 99}, keyspace.Range{First: 100, Last: 199}
	ran, failed, running := Request{ID: idAt(0), Hash: 5}, Request{ID: idAt(0), Hash: 6}, Request{ID: idAt(0), Hash: 150}
	for _, req := range []Request{ran, failed, running} {
		require.Equal(t, Run, verdict(a, 0, req))
	}
	a.Finish(ran.ID, 5, Done, &Response{Body: []byte("ok")})
	a.Finish(failed.ID, 6, NotRun, nil)
	origin := Origin{Server: "a", Term: 1, Generation: 2}
	limits := ExportLimits{EntriesPerPart: 1, ResponseBytes: 10}
	_, ok := a.Export(at(0), 1, high, origin, limits)
	require.False(t, ok, "a request is running")
	extra := Request{ID: idAt(0), Hash: 8}
	require.Equal(t, Run, verdict(a, 0, extra))
	a.Finish(extra.ID, 8, Unknown, nil)
	parts, ok := a.Export(at(0), 1, low, origin, limits)
	require.True(t, ok)
	require.Len(t, parts, 2)
	require.Equal(t, NotActive, verdict(a, 0, Request{ID: idAt(0), Hash: 5}))
	require.Equal(t, Run, verdict(a, 0, Request{ID: idAt(0), Hash: 100}))

	partial := New(Config{})
	require.True(t, partial.Import(at(0), parts[0]))
	require.False(t, partial.Activate(at(0), low, SourceTransfer, origin))

	b := New(Config{})
	for _, p := range parts {
		require.True(t, b.Import(at(0), p))
	}
	require.False(t, b.Activate(at(0), keyspace.Range{First: 0, Last: 100}, SourceTransfer, origin), "not covered")
	require.False(t, b.Activate(at(0), low, SourceTransfer, Origin{Server: "a", Term: 1, Generation: 3}), "outdated")
	// The slice was split in the meantime; each half finds its ids.
	require.True(t, b.Activate(at(0), keyspace.Range{First: 0, Last: 5}, SourceTransfer, origin))
	require.True(t, b.Activate(at(0), keyspace.Range{First: 6, Last: 99}, SourceTransfer, origin))
	require.Equal(t, Replay, verdict(b, 0, ran))
	require.Equal(t, Run, verdict(b, 0, failed))
	require.Equal(t, MayHaveRun, verdict(b, 0, extra))

	require.True(t, a.Activate(at(0), low, SourceKept, Origin{}), "aborted move")
	require.Equal(t, Replay, verdict(a, 0, ran))
	a.Deactivate(low)
	require.False(t, a.Activate(at(0), low, SourceKept, Origin{}))
	require.Equal(t, MayHaveRun, verdict(a, 0, failed))
}

// Guards against a home that trusts what it knew before the slice was elsewhere.
func TestReturnOfSlice(t *testing.T) {
	for _, deactivated := range []bool{true, false} {
		w := fresh(Config{})
		failed, running := Request{ID: idAt(0)}, Request{ID: idAt(0)}
		require.Equal(t, Run, verdict(w, 0, failed))
		w.Finish(failed.ID, 0, NotRun, nil)
		require.Equal(t, Run, verdict(w, 0, running))
		origin := Origin{Server: "b"}
		require.True(t, w.Import(at(0), Part{Origin: origin, Total: 1, Range: keyspace.Full, Known: []KnownRange{{Range: keyspace.Full}}}))
		if deactivated {
			w.Deactivate(keyspace.Full)
		}
		complete := w.Activate(at(0), keyspace.Full, SourceTransfer, origin)
		require.Equal(t, !deactivated, complete, "Deactivate may have removed imported ids")
		w.Finish(running.ID, 0, NotRun, nil)
		require.Equal(t, MayHaveRun, verdict(w, 0, failed))
		require.Equal(t, MayHaveRun, verdict(w, 0, running))
	}
}

// Guards against a delayed first copy running after the caller's repeat of it
// ran at the former home.
func TestDelayedFirstAttempt(t *testing.T) {
	first := Request{ID: idAt(0), FirstAttempt: true, Deadline: 4 * time.Second}
	repeat := first
	repeat.FirstAttempt = false
	former := fresh(Config{})
	require.Equal(t, Run, verdict(former, 4*time.Second, repeat))
	former.Finish(first.ID, 0, Done, nil)
	next := New(Config{})
	next.Activate(at(7*time.Second), keyspace.Full, SourceNone, Origin{})
	require.Equal(t, MayHaveRun, verdict(next, 7*time.Second, first))
}
