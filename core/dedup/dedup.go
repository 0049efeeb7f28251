// Package dedup is the idempotency window of a home, the daemon that currently
// dispatches the requests of a server: it remembers the ids of non-repeatable
// requests and decides whether a request with an id may run. It does no I/O and
// starts no goroutines; time is passed in. docs/repeats.md lists the cases in
// which it prevents a second run and those in which it cannot.
//
// An id is a UUIDv7 that the caller creates; the time in it, the id time, tells
// which ids may have been used before the window began. Several copies of a
// request with one id are attempts of the same request.
package dedup

import (
	"time"

	"github.com/google/uuid"
)

// Bounds of the window.
const (
	// Retention is the minimum time for which an id is remembered after it was
	// first seen. Its response is stored for as long, unless it is dropped for a
	// bound of Config. Entries are kept for 2*MaxClockSkew longer, so that
	// isProvenNew rejects every id whose entry has expired.
	Retention = 10 * time.Minute
	// MaxClockSkew is the assumed bound on the difference between the wall clocks
	// of a caller and a host, and of two hosts.
	MaxClockSkew = time.Second

	DefaultMaxEntries       = 200_000
	DefaultMaxStoredBytes   = 32 << 20  // of all stored responses
	DefaultMaxResponseBytes = 256 << 10 // of one stored response
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
	KeyHash uint64
	Digest  [32]byte // of method, path, body and all else that distinguishes the request from others
	// FirstAttempt is the caller's promise that it sends this id for the first
	// time and will not send it again before Timeout has passed since it created
	// the id.
	FirstAttempt bool
	Timeout      time.Duration // the deadline that the caller stated, relative
	// ServerDeduplicates says that the server itself detects repeated ids, so that
	// an attempt whose outcome is unknown may be sent again.
	ServerDeduplicates bool
}

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	VerdictRun               Verdict = iota + 1 // run it, then call FinishAttempt
	VerdictWait                                 // an attempt with this id is running; wait for its response
	VerdictReplay                               // an earlier attempt has run; send its stored response
	VerdictResponseNotStored                    // an earlier attempt has run, but its response is not stored
	VerdictIDReused                             // the id was used for another request; not run
	VerdictMayHaveRun                           // an earlier attempt may have run; not run again
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
	stateNotRun // proven not to have run; the id may run again
	stateMayHaveRun
)

// entryKey identifies an entry. The key hash is part of it, since the same id
// under two keys may arrive at the same home or at two homes; either way these are
// two requests.
type entryKey struct {
	id      uuid.UUID
	keyHash uint64
}

// entry is a remembered id.
type entry struct {
	entryKey
	digest      [32]byte
	state       entryState
	response    *Response     // in stateDone; nil if not stored
	firstSeenAt time.Duration // on the monotonic clock; negative if before the start of this process
}

// Window is the idempotency window of one server at its home. Ids are scoped to
// a key of the server's service. Entries are stored by key hash and activations
// by range of hashes, so that the window needs no call when a slice is split or
// two are merged.
type Window struct {
	cfg                 Config
	entries             map[entryKey]*entry
	entriesByTopByte    [256]map[entryKey]*entry // index for entriesInRange
	expiryOrder         []*entry                 // in order of insertion; imported and running entries may be older than those before them and then expire late
	entriesWithResponse []*entry                 // in the order in which the responses were stored
	storedBytes         int64
	// latestExpiredIDTime is the latest id time among the expired entries. An id
	// whose time is not later may have expired from the window.
	latestExpiredIDTime int64 // Unix milliseconds
	activatedRanges     []activatedRange
	transfers           map[OwnershipPeriod]*receivedTransfer // by the period that the sender exported
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
	w := &Window{cfg: cfg, entries: map[entryKey]*entry{}, transfers: map[OwnershipPeriod]*receivedTransfer{}}
	for i := range w.entriesByTopByte {
		w.entriesByTopByte[i] = map[entryKey]*entry{}
	}
	return w
}

// BeginAttempt decides whether a request may run. After VerdictRun the caller must
// call FinishAttempt. The response is set for VerdictReplay.
func (w *Window) BeginAttempt(now Timestamp, req Request) (Verdict, *Response) {
	w.expireEntries(now.Mono)
	idTime, ok := idTimeMillis(req.ID)
	if !ok {
		return VerdictInvalidID, nil
	}
	activated, ok := w.findUnsealedRange(req.KeyHash)
	if !ok {
		return VerdictSliceNotActive, nil
	}
	if e := w.entries[entryKey{req.ID, req.KeyHash}]; e != nil {
		return w.decideRepeat(e, req)
	}
	wall := now.Wall.UnixMilli()
	if idTime > wall+MaxClockSkew.Milliseconds() {
		return VerdictIDFromFuture, nil
	}
	if !w.isProvenNew(wall, idTime, activated.knownAfterIDTime, req) {
		return VerdictMayHaveRun, nil
	}
	if len(w.entries) >= w.cfg.MaxEntries {
		return VerdictWindowFull, nil
	}
	w.insertEntry(&entry{entryKey: entryKey{req.ID, req.KeyHash}, digest: req.Digest, state: stateRunning, firstSeenAt: now.Mono})
	return VerdictRun, nil
}

// decideRepeat decides about a request whose id is in the window.
func (w *Window) decideRepeat(e *entry, req Request) (Verdict, *Response) {
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

// isProvenNew reports whether no earlier attempt with the request's id, which is
// not in the window, can have run. With ServerDeduplicates it does not matter
// whether one has. All times are in Unix milliseconds.
func (w *Window) isProvenNew(wall, idTime, knownAfterIDTime int64, req Request) bool {
	if req.ServerDeduplicates {
		return true
	}
	if idTime <= w.latestExpiredIDTime || idTime <= wall-Retention.Milliseconds() {
		return false // an earlier attempt may have expired from the window
	}
	if idTime > knownAfterIDTime {
		return true
	}
	// The caller's clock shows at most wall+MaxClockSkew. Before the id time plus
	// the timeout has passed on that clock, the caller sends no second attempt.
	return req.FirstAttempt && wall+MaxClockSkew.Milliseconds() < idTime+req.Timeout.Milliseconds()
}

// AttemptOutcome says how an attempt ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	OutcomeDone    AttemptOutcome = iota + 1 // the server sent a complete response
	OutcomeNotRun                            // proven that it did not run
	OutcomeUnknown                           // it may have run
)

// FinishAttempt records the end of a running attempt. response is used for
// OutcomeDone; nil means that it is not stored. Ids that are not running are
// ignored, which includes those of a slice that was deactivated in the meantime.
func (w *Window) FinishAttempt(id uuid.UUID, keyHash uint64, outcome AttemptOutcome, response *Response) {
	e := w.entries[entryKey{id, keyHash}]
	if e == nil || e.state != stateRunning {
		return
	}
	switch outcome {
	case OutcomeDone:
		e.state = stateDone
		w.storeResponse(e, response)
	case OutcomeNotRun:
		e.state = stateNotRun
	default:
		e.state = stateMayHaveRun
	}
}

// storeResponse stores a response. Beyond MaxStoredBytes the oldest responses are
// dropped, but never the ids, so that a repeat is still recognized.
func (w *Window) storeResponse(e *entry, response *Response) {
	if response == nil {
		return
	}
	size := response.size()
	if size > w.cfg.MaxResponseBytes || size > w.cfg.MaxStoredBytes {
		return
	}
	e.response = response
	w.storedBytes += size
	w.entriesWithResponse = append(w.entriesWithResponse, e)
	for w.storedBytes > w.cfg.MaxStoredBytes {
		w.dropResponse(w.entriesWithResponse[0])
		w.entriesWithResponse = w.entriesWithResponse[1:]
	}
}

func (w *Window) dropResponse(e *entry) {
	if e.response != nil {
		w.storedBytes -= e.response.size()
		e.response = nil
	}
}

func (w *Window) insertEntry(e *entry) {
	w.entries[e.entryKey] = e
	w.entriesByTopByte[topByte(e.keyHash)][e.entryKey] = e
	w.expiryOrder = append(w.expiryOrder, e)
}

func (w *Window) removeEntry(e *entry) {
	w.dropResponse(e)
	delete(w.entries, e.entryKey)
	delete(w.entriesByTopByte[topByte(e.keyHash)], e.entryKey)
}

// expireEntries removes entries after Retention plus twice MaxClockSkew: the id
// time may be ahead by one MaxClockSkew, and the clock of the next home, which
// then rejects the id by its age, behind by another. Entries of running attempts
// stay.
func (w *Window) expireEntries(now time.Duration) {
	for range len(w.expiryOrder) {
		e := w.expiryOrder[0]
		if w.entries[e.entryKey] == e && now-e.firstSeenAt < Retention+2*MaxClockSkew {
			return
		}
		w.expiryOrder[0] = nil
		w.expiryOrder = w.expiryOrder[1:]
		switch {
		case w.entries[e.entryKey] != e: // already removed by Deactivate
		case e.state == stateRunning:
			w.expiryOrder = append(w.expiryOrder, e)
		default:
			w.expireEntry(e)
		}
	}
}

func (w *Window) expireEntry(e *entry) {
	if ms, ok := idTimeMillis(e.id); ok && e.state != stateNotRun {
		w.latestExpiredIDTime = max(w.latestExpiredIDTime, ms)
	}
	w.removeEntry(e)
}

// Size returns the number of remembered ids and the bytes of stored responses.
func (w *Window) Size() (ids int, bytes int64) {
	return len(w.entries), w.storedBytes
}

func topByte(keyHash uint64) int { return int(keyHash >> 56) }

// idTimeMillis returns the time of a UUIDv7 in Unix milliseconds.
func idTimeMillis(id uuid.UUID) (int64, bool) {
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}
