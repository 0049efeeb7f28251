// Package serverapi defines the HTTP interface between the router and backend
// servers. All bodies are JSON. A grant permits a server to handle a set of slices
// until it expires. A server that does not check grants implements only request
// execution and HealthPath.
package serverapi

// Paths that a server provides.
const (
	GrantPath   = "/.parsleyrelay/grant"   // POST Grant, response GrantResponse
	ReleasePath = "/.parsleyrelay/release" // POST Release, response ReleaseResponse
	HealthPath  = "/.parsleyrelay/health"  // GET, response Health
)

// Headers on requests to a server. Term, sub-term and generation are explained at
// Grant and Slice.
const (
	HeaderKey            = "Parsleyrelay-Key"
	HeaderKeyHash        = "Parsleyrelay-Key-Hash"    // 16 hexadecimal digits
	HeaderTerm           = "Parsleyrelay-Term"        // decimal
	HeaderSubTerm        = "Parsleyrelay-Sub-Term"    // decimal
	HeaderGeneration     = "Parsleyrelay-Generation"  // decimal
	HeaderDeadlineMS     = "Parsleyrelay-Deadline-Ms" // remaining milliseconds
	HeaderRank           = "Parsleyrelay-Rank"
	HeaderRequestID      = "Parsleyrelay-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderRefused is set on a response with status 409 or 503 when the server did not
// run the request; its value is a Refusal.
const HeaderRefused = "Parsleyrelay-Refused"

// Refusal says why a server did not run a request.
type Refusal string

// The refusals.
const (
	RefusedTerm     Refusal = "term"     // the server has accepted a higher term
	RefusedNoGrant  Refusal = "no_grant" // no unexpired grant covers the key
	RefusedOverload Refusal = "overload"
	RefusedDraining Refusal = "draining"
	RefusedDeadline Refusal = "deadline" // passed before the request was run
)

// Slice is a range of key hashes (both bounds inclusive, 16 hexadecimal digits
// each, since JSON numbers lose precision beyond 53 bits). Its generation is the log
// offset of the record that gave it to its present owner, so a slice that moved away
// and back has a new generation.
type Slice struct {
	First      string `json:"first"`
	Last       string `json:"last"`
	Generation uint64 `json:"generation"`
}

// Grant gives or renews a grant. Term is the log offset of the record that made
// EntryHost the home of the server; SubTerm orders the provisional homes that serve
// within one term while the log is unreachable. The server accepts the highest Term
// and SubTerm that it has received and refuses lower ones, so a former home cannot
// act any more. With an empty Token a Grant only raises the accepted term and queries
// the server, whose response holds a token for the next Grant.
type Grant struct {
	Service   string `json:"service"`
	Server    string `json:"server"`
	EntryHost string `json:"entryHost"`
	Term      uint64 `json:"term"`
	SubTerm   uint64 `json:"subTerm"`
	// Token is the token of the server's last response. TTLMS counts from the
	// time at which the server issued the token, so that a delayed Grant does not
	// last longer.
	Token string `json:"token"`
	TTLMS int64  `json:"ttlMs"`
	// SetVersion numbers the versions of the slice set within the term and
	// sub-term. Slices is present, and HasSlices true, when the server does not
	// hold that version yet.
	SetVersion uint64  `json:"setVersion"`
	Slices     []Slice `json:"slices,omitempty"`
	HasSlices  bool    `json:"hasSlices"`
}

// GrantResponse answers a Grant.
type GrantResponse struct {
	Accepted bool    `json:"accepted"`
	Reason   Refusal `json:"reason,omitempty"`
	Instance string  `json:"instance"` // new at each start of the server
	Token    string  `json:"token"`
	// Term and SubTerm are the highest accepted ones, this Grant included.
	Term    uint64 `json:"term"`
	SubTerm uint64 `json:"subTerm"`
	// PreviousTerm is the term of the last grant with slices before this one, 0
	// for none.
	PreviousTerm uint64  `json:"previousTerm"`
	SetVersion   uint64  `json:"setVersion"`         // of the slice set that the server holds
	Held         []Slice `json:"held,omitempty"`     // slices that the server holds; only in the response to an empty token
	Released     []Slice `json:"released,omitempty"` // slices released and not granted again; only in the response to an empty token
	Draining     bool    `json:"draining,omitempty"`
	Load         Load    `json:"load"`
}

// Release asks a server to stop accepting requests for slices. The server responds
// when no request for them is running any more, or with Done false after the
// deadline.
type Release struct {
	Server     string  `json:"server"`
	Term       uint64  `json:"term"`
	SubTerm    uint64  `json:"subTerm"`
	Slices     []Slice `json:"slices"`
	DeadlineMS int64   `json:"deadlineMs"`
}

// ReleaseResponse answers a Release. Reason is RefusedNoGrant when the release names
// another server, and RefusedTerm when its term is too low.
type ReleaseResponse struct {
	Done     bool    `json:"done"`
	Reason   Refusal `json:"reason,omitempty"`
	Instance string  `json:"instance"`
}

// Load is the load that a server reports about itself; it may be stale or wrong.
type Load struct {
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	CPU     float64 `json:"cpu"` // CPU utilization, 0 to 1
}

// Health is the response of HealthPath.
type Health struct {
	Status string `json:"status"` // "ok" or "draining"
	Load   Load   `json:"load"`
}
