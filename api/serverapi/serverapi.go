// Package serverapi defines the HTTP interface between the router and backend
// servers. All bodies are JSON. A server that cannot check grants implements
// only request execution and HealthPath.
package serverapi

// Paths that a server provides.
const (
	GrantPath   = "/.parsleyrelay/grant"   // POST Grant, response GrantResponse
	ReleasePath = "/.parsleyrelay/release" // POST Release, response ReleaseResponse
	HealthPath  = "/.parsleyrelay/health"  // GET, response Health
)

// Headers on requests to a server.
const (
	HeaderKey        = "Parsleyrelay-Key"
	HeaderKeyHash    = "Parsleyrelay-Key-Hash"    // 16 hexadecimal digits
	HeaderTerm       = "Parsleyrelay-Term"        // decimal
	HeaderSubTerm    = "Parsleyrelay-Sub-Term"    // decimal
	HeaderGeneration = "Parsleyrelay-Generation"  // decimal
	HeaderDeadlineMS = "Parsleyrelay-Deadline-Ms" // remaining milliseconds
	HeaderRank       = "Parsleyrelay-Rank"
	HeaderRequestID  = "Parsleyrelay-Request-Id"
	HeaderID         = "Idempotency-Key"
)

// HeaderRefused on a response with status 409 or 503 states that the server did
// not run the request; its value is a Refusal.
const HeaderRefused = "Parsleyrelay-Refused"

// Refusal says why a server did not run a request.
type Refusal string

// The refusals.
const (
	RefusedTerm     Refusal = "term"     // a higher term was accepted
	RefusedNoGrant  Refusal = "no_grant" // no live grant covers the key
	RefusedOverload Refusal = "overload"
	RefusedDraining Refusal = "draining"
	RefusedDeadline Refusal = "deadline"
)

// Slice is a range of key hashes (both bounds inclusive, 16 hexadecimal digits
// each, since JSON numbers lose precision beyond 53 bits) with its generation.
type Slice struct {
	First      string `json:"first"`
	Last       string `json:"last"`
	Generation uint64 `json:"generation"`
}

// Grant gives, renews or probes. With an empty Token it changes nothing but the
// accepted term, and the response carries a token.
type Grant struct {
	Service   string `json:"service"`
	Server    string `json:"server"`
	EntryHost string `json:"entryHost"`
	Term      uint64 `json:"term"`
	SubTerm   uint64 `json:"subTerm"`
	// Token is the one from the server's last response. The time to live counts
	// from the moment at which the server issued it.
	Token string `json:"token"`
	TTLMS int64  `json:"ttlMs"`
	// SetVersion numbers the slice set within the term and sub-term. Slices is
	// present when the server does not hold that version yet.
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
	// Highest term accepted, after this grant.
	Term    uint64 `json:"term"`
	SubTerm uint64 `json:"subTerm"`
	// Term of the last grant with slices before this one, 0 for none.
	PreviousTerm uint64  `json:"previousTerm"`
	SetVersion   uint64  `json:"setVersion"`         // held
	Held         []Slice `json:"held,omitempty"`     // in the response to an empty token
	Released     []Slice `json:"released,omitempty"` // released and not granted again, likewise
	Draining     bool    `json:"draining,omitempty"`
	Load         Load    `json:"load"`
}

// Release asks a server to give slices up. It responds when no request of
// them runs any more, or with Done false after the deadline.
type Release struct {
	Server     string  `json:"server"`
	Term       uint64  `json:"term"`
	SubTerm    uint64  `json:"subTerm"`
	Slices     []Slice `json:"slices"`
	DeadlineMS int64   `json:"deadlineMs"`
}

// ReleaseResponse answers a Release.
type ReleaseResponse struct {
	Done     bool    `json:"done"`
	Reason   Refusal `json:"reason,omitempty"`
	Instance string  `json:"instance"`
}

// Load is what the server says of itself; it may lag or mislead.
type Load struct {
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	CPU     float64 `json:"cpu"` // share of one, 0 to 1
}

// Health is the response of HealthPath.
type Health struct {
	Status string `json:"status"` // "ok" or "draining"
	Load   Load   `json:"load"`
}
