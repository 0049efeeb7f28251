package operatorapi

// ResourceStatus says which hosts have applied a version of a resource.
type ResourceStatus struct {
	// InForce lists the hosts that have applied this version or a later one.
	InForce []string `json:"inForce"`
	// Behind lists the hosts that responded and have not applied it yet.
	Behind []HostOffset `json:"behind,omitempty"`
	// NotKnown lists the hosts that did not respond.
	NotKnown []SilentHost  `json:"notKnown,omitempty"`
	Server   *ServerStatus `json:"server,omitempty"`
}

// HostOffset is the log offset up to which a host has applied records.
type HostOffset struct {
	Host    string `json:"host"`
	Applied uint64 `json:"applied"`
}

// SilentHost is a host that did not respond to this query.
type SilentHost struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	// SinceMS is the time at which the responding host last received a message
	// from it, or first queried it.
	SinceMS int64  `json:"sinceMs"`
	Problem string `json:"problem"`
}

// ServerStatus is the status of a Server.
type ServerStatus struct {
	// State is the state that the server's home observes: serving, waiting,
	// unresponsive or draining; ServerStateNotKnown when no home responded. The
	// home is the entry host that dispatches requests to the server.
	State         string `json:"state"`
	ClaimedHealth string `json:"claimedHealth"` // what the server's health endpoint reports; may be stale or wrong
	SlicesOwned   int    `json:"slicesOwned"`
	SlicesServing int    `json:"slicesServing"`
	Home          string `json:"home"` // host
	Term          uint64 `json:"term"`
	SubTerm       uint64 `json:"subTerm,omitempty"`
	Instance      string `json:"instance,omitempty"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	Limit         int    `json:"limit"`
}

// ServerStateNotKnown is the state of a server whose home did not respond.
const ServerStateNotKnown = "not_known"

// Status is the state of the system as known to the responding host.
type Status struct {
	Host         string       `json:"host"` // that sent this response
	Applied      uint64       `json:"applied"`
	Complete     bool         `json:"complete"`
	LogReachable bool         `json:"logReachable"`
	Hosts        []HostStatus `json:"hosts"`
	NotKnown     []SilentHost `json:"notKnown,omitempty"`
	WitnessSets  []WitnessSet `json:"witnessSets"`
}

// HostStatus is the state that a host reports about itself.
type HostStatus struct {
	Host         string `json:"host"`
	Incarnation  string `json:"incarnation"`
	Zone         string `json:"zone"`
	JoinedAt     uint64 `json:"joinedAt"` // log offset
	Applied      uint64 `json:"applied"`
	Complete     bool   `json:"complete"`
	Draining     bool   `json:"draining"`
	LeaseValid   bool   `json:"leaseValid"`
	LogReachable bool   `json:"logReachable"`
	Servers      int    `json:"servers"` // number of servers whose home this host is
}

// WitnessSet is the witness set of one scope: the hosts of which a majority gives a
// host its lease. Current and Pending hold host names, or incarnations of hosts that
// are not members any more.
type WitnessSet struct {
	Scope   string   `json:"scope"`
	Epoch   uint64   `json:"epoch"`
	Current []string `json:"current"`
	Pending []string `json:"pending,omitempty"`
}

// Ownership says who owns a key.
type Ownership struct {
	Service    string `json:"service"`
	Key        string `json:"key"`
	KeyHash    string `json:"keyHash"` // 16 hexadecimal digits
	Slice      string `json:"slice"`   // range in hexadecimal
	Generation uint64 `json:"generation"`
	Owner      string `json:"owner"`
	Former     string `json:"former,omitempty"`
	Home       string `json:"home"` // host
	Term       uint64 `json:"term"`
	// Durable says that the assignment is in the log. It is always true in a
	// response, since assignments take effect only through the log.
	Durable bool   `json:"durable"`
	Applied uint64 `json:"applied"`
}

// Event is one event of a timeline.
type Event struct {
	Code       int    `json:"code"`
	Name       string `json:"name"`
	HLC        uint64 `json:"hlc"` // hybrid logical clock: milliseconds << 16 | counter
	Host       string `json:"host"`
	Zone       string `json:"zone"`
	Service    string `json:"service,omitempty"`
	Server     string `json:"server,omitempty"`
	Slice      string `json:"slice,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Term       uint64 `json:"term,omitempty"`
	SubTerm    uint64 `json:"subTerm,omitempty"`
	Offset     uint64 `json:"offset,omitempty"`
	RequestID  string `json:"requestId,omitempty"`
	KeyHash    string `json:"keyHash,omitempty"`
	Peer       string `json:"peer,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// Completeness says which events a merged timeline lacks.
type Completeness struct {
	NotKnown []SilentHost `json:"notKnown,omitempty"`
	// Overwritten counts, by host, the events that newer ones overwrote in the
	// host's ring buffer.
	Overwritten map[string]uint64 `json:"overwritten,omitempty"`
	// Truncated lists hosts that had more matching events than were returned.
	Truncated []string `json:"truncated,omitempty"`
}

// Timeline holds the events of all hosts in the order of their hybrid logical
// clocks.
type Timeline struct {
	Events []Event `json:"events"`
	Completeness
}

// OwnershipHistory lists the owners of a key over time and why the key moved.
type OwnershipHistory struct {
	Current Ownership `json:"current"`
	Periods []Period  `json:"periods"` // oldest first
	Completeness
}

// Period is the time during which one server owned a key.
type Period struct {
	Owner      string `json:"owner"`
	Generation uint64 `json:"generation"`
	Slice      string `json:"slice"`
	FromMS     int64  `json:"fromMs"`            // when the log accepted the assignment
	ServingMS  int64  `json:"servingMs"`         // when the first request was dispatched, 0 if not recorded
	UntilMS    int64  `json:"untilMs,omitempty"` // 0 for the current owner
	Reason     string `json:"reason"`
	// Evidence holds the events that support the reason.
	Evidence []Event `json:"evidence,omitempty"`
}
