// Package callerapi defines the HTTP interface between callers and the router.
package callerapi

// Request headers. HeaderRepeatable "true" says that the request is safe to run more
// than once, so that the router may retry it after an unknown outcome; "false" lets it
// run at most once. The default is true for GET, HEAD and OPTIONS. HeaderIdempotencyKey
// identifies a request across the caller's retries, while HeaderRequestID names it in
// logs and timelines only.
const (
	HeaderService        = "Parsleyrelay-Service"
	HeaderKey            = "Parsleyrelay-Key"
	HeaderRank           = "Parsleyrelay-Rank"
	HeaderDeadlineMS     = "Parsleyrelay-Deadline-Ms" // milliseconds from the arrival of the request
	HeaderRepeatable     = "Parsleyrelay-Repeatable"  // "true" or "false", see above
	HeaderAttempt        = "Parsleyrelay-Attempt"     // "1": this is the first attempt, and the caller does not retry before the deadline
	HeaderIdempotencyKey = "Idempotency-Key"          // UUIDv7
	HeaderCaller         = "Parsleyrelay-Caller"      // name of the caller, for fair queueing between callers; default: the remote IP address
)

// Response headers.
const (
	HeaderOutcome   = "Parsleyrelay-Outcome"
	HeaderReason    = "Parsleyrelay-Reason"
	HeaderRequestID = "Parsleyrelay-Request-Id"
)

// Outcome says what happened to a request.
type Outcome string

// The outcomes.
const (
	OutcomeDone    Outcome = "done"    // the server ran the request; the response is the server's
	OutcomeNotRun  Outcome = "not-run" // the request did not run
	OutcomeUnknown Outcome = "unknown" // the request may have run
)

// Reason is a stable code that explains an outcome.
type Reason string

// Reasons of bad requests; the outcome is OutcomeNotRun.
const (
	ReasonUnknownService Reason = "unknown_service"  // 404
	ReasonMissingKey     Reason = "missing_key"      // 400
	ReasonUnknownRank    Reason = "unknown_rank"     // 400
	ReasonBadDeadline    Reason = "bad_deadline"     // 400
	ReasonPastDeadline   Reason = "past_deadline"    // 504
	ReasonBadRepeatable  Reason = "bad_repeatable"   // 400
	ReasonBadID          Reason = "bad_id"           // 400
	ReasonMissingID      Reason = "missing_id"       // 400
	ReasonIDFromFuture   Reason = "id_from_future"   // 400
	ReasonBodyTooLarge   Reason = "body_too_large"   // 413
	ReasonLengthRequired Reason = "length_required"  // 411, large body without Content-Length
	ReasonHeaderTooLarge Reason = "header_too_large" // 431
	ReasonIDReused       Reason = "id_reused"        // 422, the id was used for a different request
)

// Reasons of refusals; the outcome is OutcomeNotRun.
const (
	ReasonNoOwner          Reason = "no_owner"         // 503, no server currently serves the key
	ReasonZoneUnreachable  Reason = "zone_unreachable" // 503, the home (entry host that dispatches to the key's server) is unreachable
	ReasonNoLease          Reason = "no_lease"         // 503, the home has no prefix lease, without which it may not dispatch
	ReasonQueueFull        Reason = "queue_full"       // 429
	ReasonQueueTimeout     Reason = "queue_timeout"    // 503
	ReasonDeadlineTooShort Reason = "deadline_short"   // 503, the request would not finish before its deadline
	ReasonConnectFailed    Reason = "connect_failed"   // 503, no connection to the backend server
	ReasonServerRefused    Reason = "server_refused"   // 503, the server refused the request, see serverapi.Refusal
	ReasonDraining         Reason = "draining"         // 503, the host is shutting down; not sent at present
	ReasonOverloaded       Reason = "overloaded"       // 503, the host or the backend server has reached a limit
	ReasonNotReady         Reason = "not_ready"        // 503, the entry host has not read the complete state yet
	ReasonCallerGone       Reason = "caller_gone"      // 499, the caller disconnected before the request was sent to a server
)

// Reasons of unknown outcomes.
const (
	ReasonAttemptMayHaveRun Reason = "attempt_may_have_run" // 409, an earlier attempt with this id may have run
	ReasonNoAnswer          Reason = "no_answer"            // 502, the connection to the server was lost before the complete response
	ReasonAnswerTimeout     Reason = "answer_timeout"       // 504, the deadline passed after the request was sent
	ReasonPeerLost          Reason = "peer_lost"            // 502, the connection to the home was lost after the request was forwarded
)

// Reasons of done outcomes.
const (
	ReasonOK              Reason = "ok"
	ReasonReplayed        Reason = "replayed"          // response of an earlier request with this id
	ReasonAnswerNotStored Reason = "answer_not_stored" // 409, an earlier request with this id ran, but its response was too large to store
)

// Problem is the JSON body of every response that the router generates itself.
type Problem struct {
	Outcome   Outcome `json:"outcome"`
	Reason    Reason  `json:"reason"`
	Message   string  `json:"message"` // for people; names the bad input, for example "header Parsleyrelay-Rank"
	RequestID string  `json:"requestId"`
}
