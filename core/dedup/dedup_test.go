package dedup

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/keyspace"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func timestampAt(mono time.Duration) Timestamp {
	return Timestamp{Mono: mono, Wall: testStart.Add(mono)}
}

var lastIDNumber byte

// idCreatedAt returns a new UUIDv7 with the given time on the caller's clock.
func idCreatedAt(callerTime time.Duration) uuid.UUID {
	lastIDNumber++
	return numberedID(callerTime, lastIDNumber)
}

func numberedID(callerTime time.Duration, number byte) uuid.UUID {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: number}
	for i, ms := 5, testStart.Add(callerTime).UnixMilli(); i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	return id
}

func newActiveWindow(cfg Config) *Window {
	w := New(cfg)
	w.Activate(timestampAt(0), keyspace.FullRange, HistoryEmpty, OwnershipPeriod{})
	return w
}

func beginVerdict(w *Window, now time.Duration, req Request) Verdict {
	v, _ := w.BeginAttempt(timestampAt(now), req)
	return v
}

// Guards against a duplicate that runs again, or gets another request's response.
func TestRepeats(t *testing.T) {
	w := newActiveWindow(Config{MaxResponseBytes: 4})
	req := Request{ID: idCreatedAt(0), KeyHash: 7}
	require.Equal(t, VerdictRun, beginVerdict(w, 0, req))
	require.Equal(t, VerdictWait, beginVerdict(w, 0, req))
	w.FinishAttempt(req.ID, req.KeyHash, OutcomeNotRun, nil)
	require.Equal(t, VerdictRun, beginVerdict(w, 0, req))
	w.FinishAttempt(req.ID, req.KeyHash, OutcomeDone, &Response{Status: 200, Body: []byte("yes")})
	v, response := w.BeginAttempt(timestampAt(0), req)
	require.Equal(t, VerdictReplay, v)
	require.Equal(t, "yes", string(response.Body))
	other := req
	other.Digest[0] = 1
	require.Equal(t, VerdictIDReused, beginVerdict(w, 0, other))

	large := Request{ID: idCreatedAt(0)}
	require.Equal(t, VerdictRun, beginVerdict(w, 0, large))
	w.FinishAttempt(large.ID, 0, OutcomeDone, &Response{Body: []byte("too large")})
	require.Equal(t, VerdictResponseNotStored, beginVerdict(w, 0, large))

	unknownOutcome := Request{ID: idCreatedAt(0)}
	require.Equal(t, VerdictRun, beginVerdict(w, 0, unknownOutcome))
	w.FinishAttempt(unknownOutcome.ID, 0, OutcomeUnknown, nil)
	require.Equal(t, VerdictMayHaveRun, beginVerdict(w, 0, unknownOutcome))
}

// Guards against ids whose time is missing, in the future or too old being taken
// for new ones.
func TestIDTimes(t *testing.T) {
	w := newActiveWindow(Config{})
	now := time.Hour
	require.Equal(t, VerdictInvalidID, beginVerdict(w, now, Request{ID: uuid.New()}))
	require.Equal(t, VerdictIDFromFuture, beginVerdict(w, now, Request{ID: idCreatedAt(now + MaxClockSkew + time.Millisecond)}))
	require.Equal(t, VerdictRun, beginVerdict(w, now, Request{ID: idCreatedAt(now + MaxClockSkew)}))
	require.Equal(t, VerdictMayHaveRun, beginVerdict(w, now, Request{ID: idCreatedAt(now - Retention)}), "as old as expired ids")
	require.Equal(t, VerdictSliceNotActive, beginVerdict(New(Config{}), now, Request{ID: idCreatedAt(now)}))
}

// Guards against a full window dropping ids before they expire, and against one
// that stays full after they expired.
func TestFullWindowRefuses(t *testing.T) {
	w := newActiveWindow(Config{MaxEntries: 2, MaxStoredBytes: 5})
	first, second := Request{ID: idCreatedAt(0)}, Request{ID: idCreatedAt(0)}
	for _, req := range []Request{first, second} {
		require.Equal(t, VerdictRun, beginVerdict(w, 0, req))
		w.FinishAttempt(req.ID, 0, OutcomeDone, &Response{Body: []byte("123")})
	}
	require.Equal(t, VerdictResponseNotStored, beginVerdict(w, time.Minute, first), "bytes are bounded by dropping responses")
	require.Equal(t, VerdictReplay, beginVerdict(w, time.Minute, second))
	require.Equal(t, VerdictWindowFull, beginVerdict(w, time.Minute, Request{ID: idCreatedAt(time.Minute)}))
	later := Retention + 2*MaxClockSkew
	require.Equal(t, VerdictRun, beginVerdict(w, later, Request{ID: idCreatedAt(later)}))
	require.Equal(t, VerdictMayHaveRun, beginVerdict(w, later, first))
}

// Guards against the new home running an id that the former home may have run.
func TestActivationWithoutTransfer(t *testing.T) {
	w := New(Config{})
	activatedAt := time.Hour
	require.False(t, w.Activate(timestampAt(activatedAt), keyspace.FullRange, HistoryTransferred, OwnershipPeriod{Server: "a"}))
	now := activatedAt + 1500*time.Millisecond
	require.Equal(t, VerdictMayHaveRun, beginVerdict(w, now, Request{ID: idCreatedAt(activatedAt + MaxClockSkew)}))
	require.Equal(t, VerdictRun, beginVerdict(w, now, Request{ID: idCreatedAt(activatedAt + MaxClockSkew + 2*time.Millisecond)}))
	oldID := Request{ID: idCreatedAt(activatedAt - time.Second)}
	oldID.FirstAttempt, oldID.Timeout = true, 3500*time.Millisecond
	require.Equal(t, VerdictMayHaveRun, beginVerdict(w, now, oldID), "the caller's clock may show that the deadline has passed")
	// Timeouts are compared in whole milliseconds: 3500 ms is on the bound, 3501 ms
	// is past it, and the nanosecond has no effect.
	oldID.Timeout++
	oldID.Timeout += time.Millisecond
	require.Equal(t, VerdictRun, beginVerdict(w, now, oldID))
	require.Equal(t, VerdictRun, beginVerdict(w, now, Request{ID: idCreatedAt(activatedAt), ServerDeduplicates: true}))
}

// Guards against a planned move that loses ids, treats a partial or outdated
// transfer as complete, or lets a request begin at the sender after the export.
func TestTransfer(t *testing.T) {
	sender := newActiveWindow(Config{})
	lowRange, highRange := keyspace.Range{First: 0, Last: 99}, keyspace.Range{First: 100, Last: 199}
	ran, notRun, running := Request{ID: idCreatedAt(0), KeyHash: 5}, Request{ID: idCreatedAt(0), KeyHash: 6}, Request{ID: idCreatedAt(0), KeyHash: 150}
	for _, req := range []Request{ran, notRun, running} {
		require.Equal(t, VerdictRun, beginVerdict(sender, 0, req))
	}
	sender.FinishAttempt(ran.ID, 5, OutcomeDone, &Response{Body: []byte("ok")})
	sender.FinishAttempt(notRun.ID, 6, OutcomeNotRun, nil)
	period := OwnershipPeriod{Server: "a", Term: 1, Generation: 2}
	limits := ExportLimits{EntriesPerPart: 1, ResponseBytes: 10}
	_, ok := sender.Export(timestampAt(0), 1, highRange, period, limits)
	require.False(t, ok, "a request is running")
	unknownOutcome := Request{ID: idCreatedAt(0), KeyHash: 8}
	require.Equal(t, VerdictRun, beginVerdict(sender, 0, unknownOutcome))
	sender.FinishAttempt(unknownOutcome.ID, 8, OutcomeUnknown, nil)
	parts, ok := sender.Export(timestampAt(0), 1, lowRange, period, limits)
	require.True(t, ok)
	require.Len(t, parts, 2)
	require.Equal(t, VerdictSliceNotActive, beginVerdict(sender, 0, Request{ID: idCreatedAt(0), KeyHash: 5}))
	require.Equal(t, VerdictRun, beginVerdict(sender, 0, Request{ID: idCreatedAt(0), KeyHash: 100}))

	partial := New(Config{})
	require.True(t, partial.ImportPart(timestampAt(0), parts[0]))
	require.False(t, partial.Activate(timestampAt(0), lowRange, HistoryTransferred, period))

	receiver := New(Config{})
	for _, p := range parts {
		require.True(t, receiver.ImportPart(timestampAt(0), p))
	}
	require.False(t, receiver.Activate(timestampAt(0), keyspace.Range{First: 0, Last: 100}, HistoryTransferred, period), "not covered")
	require.False(t, receiver.Activate(timestampAt(0), lowRange, HistoryTransferred, OwnershipPeriod{Server: "a", Term: 1, Generation: 3}), "outdated")
	// The slice was split in the meantime; each half finds its ids.
	require.True(t, receiver.Activate(timestampAt(0), keyspace.Range{First: 0, Last: 5}, HistoryTransferred, period))
	require.True(t, receiver.Activate(timestampAt(0), keyspace.Range{First: 6, Last: 99}, HistoryTransferred, period))
	require.Equal(t, VerdictReplay, beginVerdict(receiver, 0, ran))
	require.Equal(t, VerdictRun, beginVerdict(receiver, 0, notRun))
	require.Equal(t, VerdictMayHaveRun, beginVerdict(receiver, 0, unknownOutcome))

	require.True(t, sender.Activate(timestampAt(0), lowRange, HistoryKept, OwnershipPeriod{}), "aborted move")
	require.Equal(t, VerdictReplay, beginVerdict(sender, 0, ran))
	sender.Deactivate(lowRange)
	require.False(t, sender.Activate(timestampAt(0), lowRange, HistoryKept, OwnershipPeriod{}))
	require.Equal(t, VerdictMayHaveRun, beginVerdict(sender, 0, notRun))
}

// Guards against a home that relies on what it knew of a slice before another home
// owned it.
func TestReturnOfSlice(t *testing.T) {
	for _, deactivated := range []bool{true, false} {
		w := newActiveWindow(Config{})
		notRun, running := Request{ID: idCreatedAt(0)}, Request{ID: idCreatedAt(0)}
		require.Equal(t, VerdictRun, beginVerdict(w, 0, notRun))
		w.FinishAttempt(notRun.ID, 0, OutcomeNotRun, nil)
		require.Equal(t, VerdictRun, beginVerdict(w, 0, running))
		period := OwnershipPeriod{Server: "b"}
		require.True(t, w.ImportPart(timestampAt(0), TransferPart{ExportedPeriod: period, Total: 1, Range: keyspace.FullRange, RangeHistories: []RangeHistory{{Range: keyspace.FullRange}}}))
		if deactivated {
			w.Deactivate(keyspace.FullRange)
		}
		complete := w.Activate(timestampAt(0), keyspace.FullRange, HistoryTransferred, period)
		require.Equal(t, !deactivated, complete, "Deactivate may have removed imported ids")
		w.FinishAttempt(running.ID, 0, OutcomeNotRun, nil)
		require.Equal(t, VerdictMayHaveRun, beginVerdict(w, 0, notRun))
		require.Equal(t, VerdictMayHaveRun, beginVerdict(w, 0, running))
	}
}

// Guards against a delayed first copy of a request running at the new home after
// the caller's repeat ran at the former home.
func TestDelayedFirstAttempt(t *testing.T) {
	first := Request{ID: idCreatedAt(0), FirstAttempt: true, Timeout: 4 * time.Second}
	repeat := first
	repeat.FirstAttempt = false
	former := newActiveWindow(Config{})
	require.Equal(t, VerdictRun, beginVerdict(former, 4*time.Second, repeat))
	former.FinishAttempt(first.ID, 0, OutcomeDone, nil)
	next := New(Config{})
	next.Activate(timestampAt(7*time.Second), keyspace.FullRange, HistoryUnknown, OwnershipPeriod{})
	require.Equal(t, VerdictMayHaveRun, beginVerdict(next, 7*time.Second, first))
}
