package ownership

import (
	"time"

	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// View is an immutable snapshot of the machine's state for the request path.
type View struct {
	AppliedOffset uint64
	StateComplete bool          // the state includes every record up to AppliedOffset
	Draining      bool          // the daemon is shutting down
	LogReachable  bool          // the last read of the log succeeded
	LeaseUntil    time.Duration // end of the prefix lease of the daemon's own zone scope
	Resources     map[resource.Key]resource.Resource
	Members       map[string]state.Member      // by incarnation
	Tables        map[string]*state.SliceTable // by service
	Servers       map[string]ServerView        // by name
	// Witnesses holds the witness sets by scope.
	Witnesses       map[string]state.WitnessSet
	SelfIncarnation string // incarnation of this daemon
}

// ServerView is the part of a View about one server.
type ServerView struct {
	Spec *resource.Server
	Home state.Home
	// The following fields are set only when this daemon is the home.
	Local    bool
	State    ServerState
	Term     uint64
	SubTerm  uint64
	Instance string
	// DispatchUntil is the end of the last grant or, for a server that does not
	// check grants, of the prefix lease. No request may be sent after it.
	DispatchUntil time.Duration
	// ServingSet holds the slices whose requests may be dispatched; nil for none.
	ServingSet *ServingSet
}

// ServerState is the state of a server as its home observes it.
type ServerState string

// The states of a server.
const (
	ServerServing      ServerState = "serving"
	ServerWaiting      ServerState = "waiting" // for a lease, an expiry wait or a first grant
	ServerUnresponsive ServerState = "unresponsive"
	ServerDraining     ServerState = "draining"
)

// ServingSet is an immutable set of slices that the server holds under its last
// grant and that are not being moved.
type ServingSet struct {
	slices map[SliceRef]Activation
}

// Activation records since when a home has dispatched requests of a slice, and
// where the ids of earlier requests are.
type Activation struct {
	Since time.Duration
	// IDWindow identifies the transferred idempotency window that this home must
	// have received to know the ids of all earlier requests; zero when there was no
	// transfer.
	IDWindow IDWindowKey
	// FirstOwner is set when the slice had no owner before, so that no earlier
	// attempt of a request can exist.
	FirstOwner bool
}

// IDWindowKey identifies the idempotency window of a slice under one owner and one
// term of its home.
type IDWindowKey struct {
	Server     string // former owner
	Term       uint64 // of its home
	Generation uint64 // of the slice at that owner
}

// NewServingSet returns a set of the given slices. The map must not change afterwards.
func NewServingSet(slices map[SliceRef]Activation) *ServingSet {
	return &ServingSet{slices: slices}
}

// Lookup returns the activation of a slice.
func (s *ServingSet) Lookup(slice SliceRef) (Activation, bool) {
	if s == nil {
		return Activation{}, false
	}
	a, ok := s.slices[slice]
	return a, ok
}

// All calls yield for each slice.
func (s *ServingSet) All(yield func(SliceRef, Activation)) {
	if s == nil {
		return
	}
	for slice, a := range s.slices {
		yield(slice, a)
	}
}

// Len returns the number of slices.
func (s *ServingSet) Len() int {
	if s == nil {
		return 0
	}
	return len(s.slices)
}

// Route is the result of a lookup.
type Route struct {
	Slice  *state.Slice
	Server string
	// ServerView describes the server; its Local field tells whether this daemon is
	// the home.
	ServerView ServerView
	// HomeURL is the peer URL of the home, empty when it is unknown or local.
	HomeURL string
	// Dispatchable is set when the local home may dispatch requests of the slice now,
	// until ServerView.DispatchUntil.
	Dispatchable bool
	Activation   Activation
}

// Lookup finds the owner of a key hash. It does not allocate. ok is false when
// the service has no slices.
func (v *View) Lookup(service string, hash uint64, now time.Duration) (route Route, ok bool) {
	slice := v.Tables[service].Lookup(hash)
	if slice == nil {
		return Route{}, false
	}
	server := v.Servers[slice.Server]
	route = Route{Slice: slice, Server: slice.Server, ServerView: server}
	if !server.Local {
		route.HomeURL = v.Members[server.Home.Incarnation].PeerURL
		return route, true
	}
	activation, serving := server.ServingSet.Lookup(SliceRef{Range: slice.Range, Generation: slice.Generation})
	route.Activation = activation
	route.Dispatchable = serving && now < server.DispatchUntil
	return route, true
}
