package dedup

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(mono time.Duration) Timestamp { return Timestamp{Mono: mono, Wall: epoch.Add(mono)} }

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
	w.Activate(at(0), keyspace.Full, HistoryEmpty, OwnershipPeriod{})
	return w
}

func verdict(w *Window, now time.Duration, req Request) Verdict {
	v, _ := w.BeginAttempt(at(now), req)
	return v
}

// Guards against a duplicate that runs again, or gets another request's response.
func TestRepeats(t *testing.T) {
	w := fresh(Config{MaxResponseBytes: 4})
	req := Request{ID: idAt(0), KeyHash: 7}
	require.Equal(t, VerdictRun, verdict(w, 0, req))
	require.Equal(t, VerdictWait, verdict(w, 0, req))
	w.FinishAttempt(req.ID, req.KeyHash, OutcomeNotRun, nil)
	require.Equal(t, VerdictRun, verdict(w, 0, req))
	w.FinishAttempt(req.ID, req.KeyHash, OutcomeDone, &Response{Status: 200, Body: []byte("yes")})
	v, response := w.BeginAttempt(at(0), req)
	require.Equal(t, VerdictReplay, v)
	require.Equal(t, "yes", string(response.Body))
	other := req
	other.Digest[0] = 1
	require.Equal(t, VerdictIDReused, verdict(w, 0, other))

	large := Request{ID: idAt(0)}
	require.Equal(t, VerdictRun, verdict(w, 0, large))
	w.FinishAttempt(large.ID, 0, OutcomeDone, &Response{Body: []byte("too large")})
	require.Equal(t, VerdictResponseNotStored, verdict(w, 0, large))

	lost := Request{ID: idAt(0)}
	require.Equal(t, VerdictRun, verdict(w, 0, lost))
	w.FinishAttempt(lost.ID, 0, OutcomeUnknown, nil)
	require.Equal(t, VerdictMayHaveRun, verdict(w, 0, lost))
}

// Guards against ids without a usable time being taken for new.
func TestIDTimes(t *testing.T) {
	w := fresh(Config{})
	now := time.Hour
	require.Equal(t, VerdictInvalidID, verdict(w, now, Request{ID: uuid.New()}))
	require.Equal(t, VerdictIDFromFuture, verdict(w, now, Request{ID: idAt(now + MaxClockSkew + time.Millisecond)}))
	require.Equal(t, VerdictRun, verdict(w, now, Request{ID: idAt(now + MaxClockSkew)}))
	require.Equal(t, VerdictMayHaveRun, verdict(w, now, Request{ID: idAt(now - Retention)}), "as old as forgotten ids")
	require.Equal(t, VerdictSliceNotActive, verdict(New(Config{}), now, Request{ID: idAt(now)}))
}

// Guards against a full window forgetting ids, and against one that stays full.
func TestFullWindowRefuses(t *testing.T) {
	w := fresh(Config{MaxEntries: 2, MaxStoredBytes: 5})
	first, second := Request{ID: idAt(0)}, Request{ID: idAt(0)}
	for _, req := range []Request{first, second} {
		require.Equal(t, VerdictRun, verdict(w, 0, req))
		w.FinishAttempt(req.ID, 0, OutcomeDone, &Response{Body: []byte("123")})
	}
	require.Equal(t, VerdictResponseNotStored, verdict(w, time.Minute, first), "bytes are bounded by dropping responses")
	require.Equal(t, VerdictReplay, verdict(w, time.Minute, second))
	require.Equal(t, VerdictWindowFull, verdict(w, time.Minute, Request{ID: idAt(time.Minute)}))
	later := Retention + 2*MaxClockSkew
	require.Equal(t, VerdictRun, verdict(w, later, Request{ID: idAt(later)}))
	require.Equal(t, VerdictMayHaveRun, verdict(w, later, first))
}

// Guards against a run at the new home of an id that the former home may have run.
func TestActivationWithoutTransfer(t *testing.T) {
	w := New(Config{})
	active := time.Hour
	require.False(t, w.Activate(at(active), keyspace.Full, HistoryTransferred, OwnershipPeriod{Server: "a"}))
	now := active + 1500*time.Millisecond
	require.Equal(t, VerdictMayHaveRun, verdict(w, now, Request{ID: idAt(active + MaxClockSkew)}))
	require.Equal(t, VerdictRun, verdict(w, now, Request{ID: idAt(active + MaxClockSkew + 2*time.Millisecond)}))
	old := Request{ID: idAt(active - time.Second)}
	old.FirstAttempt, old.Timeout = true, 3500*time.Millisecond
	require.Equal(t, VerdictMayHaveRun, verdict(w, now, old), "the caller's clock may show that the deadline has passed")
	old.Timeout++
	old.Timeout += time.Millisecond
	require.Equal(t, VerdictRun, verdict(w, now, old))
	require.Equal(t, VerdictRun, verdict(w, now, Request{ID: idAt(active), ServerDeduplicates: true}))
}

// Guards against a planned move that loses ids, takes a partial or outdated
// transfer for whole, or lets a request begin at the sender after the export.
func TestTransfer(t *testing.T) {
	a := fresh(Config{})
	low, high := keyspace.Range{First: 0, Last: 99}, keyspace.Range{First: 100, Last: 199}
	ran, failed, running := Request{ID: idAt(0), KeyHash: 5}, Request{ID: idAt(0), KeyHash: 6}, Request{ID: idAt(0), KeyHash: 150}
	for _, req := range []Request{ran, failed, running} {
		require.Equal(t, VerdictRun, verdict(a, 0, req))
	}
	a.FinishAttempt(ran.ID, 5, OutcomeDone, &Response{Body: []byte("ok")})
	a.FinishAttempt(failed.ID, 6, OutcomeNotRun, nil)
	origin := OwnershipPeriod{Server: "a", Term: 1, Generation: 2}
	limits := ExportLimits{EntriesPerPart: 1, ResponseBytes: 10}
	_, ok := a.Export(at(0), 1, high, origin, limits)
	require.False(t, ok, "a request is running")
	extra := Request{ID: idAt(0), KeyHash: 8}
	require.Equal(t, VerdictRun, verdict(a, 0, extra))
	a.FinishAttempt(extra.ID, 8, OutcomeUnknown, nil)
	parts, ok := a.Export(at(0), 1, low, origin, limits)
	require.True(t, ok)
	require.Len(t, parts, 2)
	require.Equal(t, VerdictSliceNotActive, verdict(a, 0, Request{ID: idAt(0), KeyHash: 5}))
	require.Equal(t, VerdictRun, verdict(a, 0, Request{ID: idAt(0), KeyHash: 100}))

	partial := New(Config{})
	require.True(t, partial.ImportPart(at(0), parts[0]))
	require.False(t, partial.Activate(at(0), low, HistoryTransferred, origin))

	b := New(Config{})
	for _, p := range parts {
		require.True(t, b.ImportPart(at(0), p))
	}
	require.False(t, b.Activate(at(0), keyspace.Range{First: 0, Last: 100}, HistoryTransferred, origin), "not covered")
	require.False(t, b.Activate(at(0), low, HistoryTransferred, OwnershipPeriod{Server: "a", Term: 1, Generation: 3}), "outdated")
	// The slice was split in the meantime; each half finds its ids.
	require.True(t, b.Activate(at(0), keyspace.Range{First: 0, Last: 5}, HistoryTransferred, origin))
	require.True(t, b.Activate(at(0), keyspace.Range{First: 6, Last: 99}, HistoryTransferred, origin))
	require.Equal(t, VerdictReplay, verdict(b, 0, ran))
	require.Equal(t, VerdictRun, verdict(b, 0, failed))
	require.Equal(t, VerdictMayHaveRun, verdict(b, 0, extra))

	require.True(t, a.Activate(at(0), low, HistoryKept, OwnershipPeriod{}), "aborted move")
	require.Equal(t, VerdictReplay, verdict(a, 0, ran))
	a.Deactivate(low)
	require.False(t, a.Activate(at(0), low, HistoryKept, OwnershipPeriod{}))
	require.Equal(t, VerdictMayHaveRun, verdict(a, 0, failed))
}

// Guards against a home that trusts what it knew before the slice was elsewhere.
func TestReturnOfSlice(t *testing.T) {
	for _, deactivated := range []bool{true, false} {
		w := fresh(Config{})
		failed, running := Request{ID: idAt(0)}, Request{ID: idAt(0)}
		require.Equal(t, VerdictRun, verdict(w, 0, failed))
		w.FinishAttempt(failed.ID, 0, OutcomeNotRun, nil)
		require.Equal(t, VerdictRun, verdict(w, 0, running))
		origin := OwnershipPeriod{Server: "b"}
		require.True(t, w.ImportPart(at(0), TransferPart{ExportedPeriod: origin, Total: 1, Range: keyspace.Full, RangeHistories: []RangeHistory{{Range: keyspace.Full}}}))
		if deactivated {
			w.Deactivate(keyspace.Full)
		}
		complete := w.Activate(at(0), keyspace.Full, HistoryTransferred, origin)
		require.Equal(t, !deactivated, complete, "Deactivate may have removed imported ids")
		w.FinishAttempt(running.ID, 0, OutcomeNotRun, nil)
		require.Equal(t, VerdictMayHaveRun, verdict(w, 0, failed))
		require.Equal(t, VerdictMayHaveRun, verdict(w, 0, running))
	}
}

// Guards against a delayed first copy running after the caller's repeat of it
// ran at the former home.
func TestDelayedFirstAttempt(t *testing.T) {
	first := Request{ID: idAt(0), FirstAttempt: true, Timeout: 4 * time.Second}
	repeat := first
	repeat.FirstAttempt = false
	former := fresh(Config{})
	require.Equal(t, VerdictRun, verdict(former, 4*time.Second, repeat))
	former.FinishAttempt(first.ID, 0, OutcomeDone, nil)
	next := New(Config{})
	next.Activate(at(7*time.Second), keyspace.Full, HistoryUnknown, OwnershipPeriod{})
	require.Equal(t, VerdictMayHaveRun, verdict(next, 7*time.Second, first))
}
