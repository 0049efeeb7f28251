// Package dedup is the idempotency window of a home: it remembers the ids of
// non-repeatable requests and decides whether a request with an id may run. It
// does no I/O and starts no goroutines; time is passed in. docs/repeats.md lists
// the cases that the rule covers and those that it does not.
package dedup

import (
	"time"

	"github.com/google/uuid"
)

// Constants of the rule.
const (
	// Retention is how long an id and its response are remembered after the id
	// was first seen.
	Retention = 10 * time.Minute
	// MaxClockSkew is the greatest difference assumed between the wall clocks of
	// a caller and a host, and of two hosts.
	MaxClockSkew = time.Second

	DefaultMaxEntries       = 200_000
	DefaultMaxStoredBytes   = 32 << 20 // of stored responses
	DefaultMaxResponseBytes = 256 << 10
)

// Config bounds a Window. Zero values mean the defaults.
type Config struct {
	MaxEntries       int
	MaxStoredBytes   int64 // of all stored responses
	MaxResponseBytes int64 // of one stored response
}

// Timestamp is the current time on both clocks of the process.
type Timestamp struct {
	Mono time.Duration // since process start
	Wall time.Time
}

// Request describes a request with an id.
type Request struct {
	ID      uuid.UUID
	KeyHash uint64   // key hash
	Digest  [32]byte // of everything that makes the request what it is
	// FirstAttempt is the caller's promise that it sends this id for the first
	// time and will not send it again before Deadline has passed since it made
	// the id.
	FirstAttempt bool
	Timeout      time.Duration // as the caller stated it
	// ServerDeduplicates says that the server itself detects repeated ids.
	ServerDeduplicates bool
}

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	VerdictRun               Verdict = iota + 1 // run it, then call Finish
	VerdictWait                                 // an attempt with this id is running; use its response
	VerdictReplay                               // an earlier attempt has run; send its stored response
	VerdictResponseNotStored                    // an earlier attempt has run, its response was not kept
	VerdictIDReused                             // the id was used for another request; not run
	VerdictMayHaveRun                           // an earlier attempt may have run; unknown
	VerdictInvalidID                            // not a UUIDv7; not run
	VerdictIDFromFuture                         // the id's time is too far ahead; not run
	VerdictWindowFull                           // no room for another id; not run
	VerdictSliceNotActive                       // the key's slice is not active here; look its route up again
)

// Response is a complete response of a server.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

func (r *Response) size() int64 {
	n := int64(len(r.Body))
	for name, values := range r.Header {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

type entryState int

const (
	stateRunning entryState = iota + 1
	stateDone
	stateNotRun  // proven; the id may run again
	stateUnknown // may have run
)

// entryKey identifies an entry. The key hash is part of it, since the same id
// under two keys may meet at one home or at two; either way they are two requests.
type entryKey struct {
	id   uuid.UUID
	hash uint64
}

type entry struct {
	entryKey
	digest   [32]byte
	state    entryState
	response *Response     // stateDone, when stored
	began    time.Duration // on the monotonic clock; negative for some imported entries
}

// Window is the idempotency window of one server at its home. Ids are scoped to
// a key of the server's service. Entries belong to a key hash and activations to
// ranges of hashes, so that splits and merges of slices need no call.
type Window struct {
	cfg     Config
	entries map[entryKey]*entry
	buckets [256]map[entryKey]*entry // by the top byte of the key hash, for export
	order   []*entry                 // by the time of first sight, for expiry
	stored  []*entry                 // with stored response, oldest first
	bytes   int64
	// forgotten is the latest id time among the expired entries. An id that is
	// not later may be one of them.
	forgotten int64 // Unix milliseconds
	active    []activeRange
	imports   map[OwnershipPeriod]*transferState
}

// New returns an empty window in which no slice is active.
func New(cfg Config) *Window {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	if cfg.MaxStoredBytes <= 0 {
		cfg.MaxStoredBytes = DefaultMaxStoredBytes
	}
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	w := &Window{cfg: cfg, entries: map[entryKey]*entry{}, imports: map[OwnershipPeriod]*transferState{}}
	for i := range w.buckets {
		w.buckets[i] = map[entryKey]*entry{}
	}
	return w
}

// BeginAttempt decides about a request. After Run the caller must call Finish. The
// response is set for Replay.
func (w *Window) BeginAttempt(now Timestamp, req Request) (Verdict, *Response) {
	w.expire(now.Mono)
	idTime, ok := idMillis(req.ID)
	if !ok {
		return VerdictInvalidID, nil
	}
	slice, ok := w.find(req.KeyHash)
	if !ok {
		return VerdictSliceNotActive, nil
	}
	if e := w.entries[entryKey{req.ID, req.KeyHash}]; e != nil {
		return w.repeat(e, req)
	}
	wall := now.Wall.UnixMilli()
	if idTime > wall+MaxClockSkew.Milliseconds() {
		return VerdictIDFromFuture, nil
	}
	if !w.isNew(wall, idTime, slice.knownFrom, req) {
		return VerdictMayHaveRun, nil
	}
	if len(w.entries) >= w.cfg.MaxEntries {
		return VerdictWindowFull, nil
	}
	w.insert(&entry{entryKey: entryKey{req.ID, req.KeyHash}, digest: req.Digest, state: stateRunning, began: now.Mono})
	return VerdictRun, nil
}

func (w *Window) repeat(e *entry, req Request) (Verdict, *Response) {
	if e.digest != req.Digest {
		return VerdictIDReused, nil
	}
	switch e.state {
	case stateRunning:
		return VerdictWait, nil
	case stateNotRun:
		e.state = stateRunning
		return VerdictRun, nil
	case stateDone:
		if e.response == nil {
			return VerdictResponseNotStored, nil
		}
		return VerdictReplay, e.response
	}
	if req.ServerDeduplicates {
		e.state = stateRunning
		return VerdictRun, nil
	}
	return VerdictMayHaveRun, nil
}

// isNew reports whether no earlier attempt with an id that is not in the window
// can have run. All times are in Unix milliseconds.
func (w *Window) isNew(wall, idTime, knownFrom int64, req Request) bool {
	if req.ServerDeduplicates {
		return true
	}
	if idTime <= w.forgotten || idTime <= wall-Retention.Milliseconds() {
		return false // an attempt may have expired from the window
	}
	if idTime > knownFrom {
		return true
	}
	// The caller's clock shows at most wall+ClockBound. Before the time of the
	// id plus the deadline it has not sent a second attempt.
	return req.FirstAttempt && wall+MaxClockSkew.Milliseconds() < idTime+req.Timeout.Milliseconds()
}

// AttemptOutcome says how an attempt ended.
type AttemptOutcome int

// The endings.
const (
	OutcomeDone    AttemptOutcome = iota + 1 // complete response
	OutcomeNotRun                            // proven that it did not run
	OutcomeUnknown                           // anything else
)

// FinishAttempt records the end of a running attempt. response is used for Done; nil
// means that it was not kept. Ids that are not running are ignored, which
// includes those of a slice that was deactivated in the meantime.
func (w *Window) FinishAttempt(id uuid.UUID, hash uint64, ending AttemptOutcome, response *Response) {
	e := w.entries[entryKey{id, hash}]
	if e == nil || e.state != stateRunning {
		return
	}
	switch ending {
	case OutcomeDone:
		e.state = stateDone
		w.store(e, response)
	case OutcomeNotRun:
		e.state = stateNotRun
	default:
		e.state = stateUnknown
	}
}

// store keeps a response. Under pressure the oldest responses are dropped, but
// never ids, so that a repeat is still recognized.
func (w *Window) store(e *entry, response *Response) {
	if response == nil {
		return
	}
	size := response.size()
	if size > w.cfg.MaxResponseBytes || size > w.cfg.MaxStoredBytes {
		return
	}
	e.response = response
	w.bytes += size
	w.stored = append(w.stored, e)
	for w.bytes > w.cfg.MaxStoredBytes {
		w.dropResponse(w.stored[0])
		w.stored = w.stored[1:]
	}
}

func (w *Window) dropResponse(e *entry) {
	if e.response != nil {
		w.bytes -= e.response.size()
		e.response = nil
	}
}

func (w *Window) insert(e *entry) {
	w.entries[e.entryKey] = e
	w.buckets[bucket(e.hash)][e.entryKey] = e
	w.order = append(w.order, e)
}

func (w *Window) remove(e *entry) {
	w.dropResponse(e)
	delete(w.entries, e.entryKey)
	delete(w.buckets[bucket(e.hash)], e.entryKey)
}

// expire forgets entries after Retention and twice the clock bound: the time of
// an id may be ahead by one bound, and a successor's clock behind by another.
func (w *Window) expire(now time.Duration) {
	for range len(w.order) {
		e := w.order[0]
		if w.entries[e.entryKey] == e && now-e.began < Retention+2*MaxClockSkew {
			return
		}
		w.order[0] = nil
		w.order = w.order[1:]
		switch {
		case w.entries[e.entryKey] != e: // deactivated
		case e.state == stateRunning:
			w.order = append(w.order, e)
		default:
			w.forget(e)
		}
	}
}

func (w *Window) forget(e *entry) {
	if ms, ok := idMillis(e.id); ok && e.state != stateNotRun {
		w.forgotten = max(w.forgotten, ms)
	}
	w.remove(e)
}

// Size returns the number of remembered ids and the bytes of stored responses.
func (w *Window) Size() (ids int, bytes int64) {
	return len(w.entries), w.bytes
}

func bucket(hash uint64) int { return int(hash >> 56) }

// idMillis returns the time of a UUIDv7 in Unix milliseconds.
func idMillis(id uuid.UUID) (int64, bool) {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}
