// Package ownership is the state machine of one daemon: it folds the log, holds
// the prefix lease, acts as home of backend servers, grants and releases slices,
// takes over, maintains witness sets and publishes checkpoints. It does no I/O
// and starts no goroutines; time is passed in.
package ownership

import (
	"time"

	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/record"
)

// Input is an event that the machine reacts to.
type Input interface{ input() }

// Effect is an action that the machine asks its driver to take.
type Effect interface{ effect() }

// Inputs.
type (
	// Tick lets time pass. The driver sends one every TickInterval.
	Tick struct{}

	// RecordsRead carries records in offset order, read from the log. Oldest is
	// the oldest retained offset.
	RecordsRead struct {
		Records []record.Positioned
		Oldest  uint64
	}

	// LogUnreachable reports a failed read.
	LogUnreachable struct{}

	// AppendDone reports the end of an Append. With Err the record may or may
	// not be in the log; its id settles that.
	AppendDone struct {
		RecordID string
		Offset   uint64
		Err      bool
	}

	// PollAnswered is a witness's response to a Poll sent at SentAt.
	PollAnswered struct {
		Witness string // incarnation
		SentAt  time.Duration
		Applied uint64
		Records []record.Positioned
		Heard   map[string]time.Duration // age of the last poll by incarnation
		Loads   []ServerLoad
	}

	// PollFailed reports a poll without a response.
	PollFailed struct{ Witness string }

	// PollReceived reports that a daemon polled this one.
	PollReceived struct {
		Poller string
		Loads  []ServerLoad
	}

	// GrantAnswered is a server's response to a SendGrant.
	GrantAnswered struct {
		Server       string
		Seq          uint64 // of the SendGrant
		Accepted     bool
		Instance     string
		Token        string
		Term         uint64 // highest accepted by the server
		SubTerm      uint64
		PreviousTerm uint64
		SetVersion   uint64
		Held         []HeldSlice
		Released     []HeldSlice
		Draining     bool
	}

	// GrantFailed reports a SendGrant without a response.
	GrantFailed struct {
		Server string
		Seq    uint64
	}

	// ReleaseAnswered reports the end of a SendRelease.
	ReleaseAnswered struct {
		Server   string
		Slice    HeldSlice
		Instance string
		Done     bool
	}

	// Quiesced answers a Quiesce: no request of the slice is in flight or will
	// be sent to the server.
	Quiesced struct {
		Server string
		Slice  HeldSlice
	}

	// IDsTransferred answers a TransferIDs.
	IDsTransferred struct {
		Server string
		Slice  HeldSlice
		OK     bool
	}

	// HostListRead is the platform's list of hosts.
	HostListRead struct {
		Live    []string
		Leaving []string
	}

	// LoadMeasured reports the load of servers whose home this daemon is.
	LoadMeasured struct {
		Servers []ServerLoad
		Slices  []SliceLoad
		HotKeys []HotKey
	}

	// DrainRequested starts a graceful shutdown.
	DrainRequested struct{}
)

// Effects.
type (
	// Poll asks a witness for its applied offset.
	Poll struct {
		Witness string
		PeerURL string
		Applied uint64
		Loads   []ServerLoad
	}

	// Append proposes a record. Its id never changes when it is tried again.
	Append struct{ Record record.Record }

	// SendGrant sends a grant to a server that checks grants. TTL counts from
	// the issue of Token on the server's clock.
	SendGrant struct {
		Server     string
		Address    string
		Service    string
		Seq        uint64
		Term       uint64
		SubTerm    uint64
		Token      string
		TTL        time.Duration
		SetVersion uint64
		HasSlices  bool
		Slices     []HeldSlice
	}

	// SendRelease asks a server to give a slice up.
	SendRelease struct {
		Server  string
		Address string
		Term    uint64
		SubTerm uint64
		Slice   HeldSlice
		Within  time.Duration
	}

	// Probe checks that a server that does not check grants is alive. The
	// driver answers with GrantAnswered (Accepted) or GrantFailed.
	Probe struct {
		Server  string
		Address string
		Seq     uint64
	}

	// Quiesce stops dispatching requests of a slice to a server and asks for
	// Quiesced once those in flight have ended. Requests that wait go back to
	// route lookup. A later Resume undoes it.
	Quiesce struct {
		Server string
		Slice  HeldSlice
	}

	// Resume ends a Quiesce.
	Resume struct {
		Server string
		Slice  HeldSlice
	}

	// TransferIDs sends the idempotency window of a slice to its next home, which
	// can be this daemon itself.
	TransferIDs struct {
		Service string
		Server  string // present owner
		Target  string // next owner
		Slice   HeldSlice
		Term    uint64
		To      string // incarnation
		PeerURL string
	}

	// PublishView makes a new view current for the request path.
	PublishView struct{ View *View }

	// RecordFolded reports the outcome of a record, for commands that wait for
	// theirs and for the timeline.
	RecordFolded struct {
		Positioned record.Positioned
		Applied    bool
		Reason     string
	}

	// Emit reports an event for log, timeline and metrics.
	Emit struct{ Event event.Event }

	// Removed reports that peers removed this daemon from the members after a
	// long silence. An incarnation joins only once, so the process must end; its
	// successor joins anew.
	Removed struct{}

	// Drained reports that the daemon is home of no server any more.
	Drained struct{}
)

// HeldSlice is a slice of a server with its generation.
type HeldSlice struct {
	Range      keyspace.Range
	Generation uint64
}

// ServerLoad is the load of one server.
type ServerLoad struct {
	Server            string
	Busy              float64 // busy slots, decayed average
	RequestsPerSecond float64
	Age               time.Duration
}

// SliceLoad is the load of one slice, decayed.
type SliceLoad struct {
	Service string
	Slice   HeldSlice
	Server  string
	Load    float64 // busy slots
}

// HotKey is a key hash with much load.
type HotKey struct {
	Service string
	Hash    uint64
	Load    float64 // busy slots
}

func (Tick) input()            {}
func (RecordsRead) input()     {}
func (LogUnreachable) input()  {}
func (AppendDone) input()      {}
func (PollAnswered) input()    {}
func (PollFailed) input()      {}
func (PollReceived) input()    {}
func (GrantAnswered) input()   {}
func (GrantFailed) input()     {}
func (ReleaseAnswered) input() {}
func (Quiesced) input()        {}
func (IDsTransferred) input()  {}
func (HostListRead) input()    {}
func (LoadMeasured) input()    {}
func (DrainRequested) input()  {}

func (Poll) effect()         {}
func (Append) effect()       {}
func (SendGrant) effect()    {}
func (SendRelease) effect()  {}
func (Probe) effect()        {}
func (Quiesce) effect()      {}
func (Resume) effect()       {}
func (TransferIDs) effect()  {}
func (PublishView) effect()  {}
func (RecordFolded) effect() {}
func (Emit) effect()         {}
func (Removed) effect()      {}
func (Drained) effect()      {}
