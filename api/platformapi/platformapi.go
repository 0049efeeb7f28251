// Package platformapi defines the HTTP interface of the platform's log service
// and host list, as far as the router uses it.
package platformapi

// Paths of the platform.
const (
	// RecordsPath: POST one record body, response AppendResponse; GET with the
	// query parameters from, max and wait_ms, response ReadResponse.
	RecordsPath = "/log/records"
	HostsPath   = "/hosts" // GET, response HostList
)

// AppendResponse holds the offset of the appended record.
type AppendResponse struct {
	Offset uint64 `json:"offset"` // starts at 1
}

// LogEntry is one record of the log.
type LogEntry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse holds records in offset order. It may end before the newest record
// (the head) of the log.
type ReadResponse struct {
	Oldest  uint64     `json:"oldest"` // oldest retained offset, head+1 if none is retained
	Entries []LogEntry `json:"entries"`
}

// HostState is the state of a host in the host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the host list. Server hosts carry the name of their
// backend server.
type Host struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
}

// HostList is the platform's list of hosts. It may be out of date.
type HostList struct {
	Hosts []Host `json:"hosts"`
}
