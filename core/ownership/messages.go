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
		Records      []record.Positioned
		OldestOffset uint64
	}

	// LogUnreachable reports a failed read.
	LogUnreachable struct{}

	// AppendCompleted reports the end of an Append. With Err the record may or may
	// not be in the log; its id settles that.
	AppendCompleted struct {
		RecordID string
		Offset   uint64
		Failed   bool
	}

	// PollResponse is a witness's response to a Poll sent at SentAt.
	PollResponse struct {
		Witness       string // incarnation
		SentAt        time.Duration
		AppliedOffset uint64
		Records       []record.Positioned
		LastPollAge   map[string]time.Duration // age of the last poll by incarnation
		Loads         []ServerLoad
	}

	// PollFailed reports a poll without a response.
	PollFailed struct{ Witness string }

	// PollReceived reports that a daemon polled this one.
	PollReceived struct {
		Poller string
		Loads  []ServerLoad
	}

	// GrantResponse is a server's response to a SendGrant.
	GrantResponse struct {
		Server       string
		Seq          uint64 // of the SendGrant
		Accepted     bool
		Instance     string
		Token        string
		Term         uint64 // highest accepted by the server
		SubTerm      uint64
		PreviousTerm uint64
		SetVersion   uint64
		Held         []SliceRef
		Released     []SliceRef
		Draining     bool
	}

	// GrantFailed reports a SendGrant without a response.
	GrantFailed struct {
		Server string
		Seq    uint64
	}

	// ReleaseCompleted reports the end of a SendRelease.
	ReleaseCompleted struct {
		Server   string
		Slice    SliceRef
		Instance string
		Released bool
	}

	// SliceQuiesced answers a Quiesce: no request of the slice is in flight or will
	// be sent to the server.
	SliceQuiesced struct {
		Server string
		Slice  SliceRef
	}

	// IDTransferCompleted answers a TransferIDs.
	IDTransferCompleted struct {
		Server string
		Slice  SliceRef
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
	// SendPoll asks a witness for its applied offset.
	SendPoll struct {
		Witness       string
		PeerURL       string
		AppliedOffset uint64
		Loads         []ServerLoad
	}

	// AppendRecord proposes a record. Its id never changes when it is tried again.
	AppendRecord struct{ Record record.Record }

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
		Slices     []SliceRef
	}

	// SendRelease asks a server to give a slice up.
	SendRelease struct {
		Server  string
		Address string
		Term    uint64
		SubTerm uint64
		Slice   SliceRef
		Timeout time.Duration
	}

	// SendProbe checks that a server that does not check grants is alive. The
	// driver answers with GrantResponse (Accepted) or GrantFailed.
	SendProbe struct {
		Server  string
		Address string
		Seq     uint64
	}

	// QuiesceSlice stops dispatching requests of a slice to a server and asks for
	// SliceQuiesced once those in flight have ended. Requests that wait go back to
	// route lookup. A later Resume undoes it.
	QuiesceSlice struct {
		Server string
		Slice  SliceRef
	}

	// ResumeSlice ends a Quiesce.
	ResumeSlice struct {
		Server string
		Slice  SliceRef
	}

	// TransferIDs sends the idempotency window of a slice to its next home, which
	// can be this daemon itself.
	TransferIDs struct {
		Service           string
		Server            string // present owner
		TargetServer      string // next owner
		Slice             SliceRef
		Term              uint64
		TargetIncarnation string // incarnation
		TargetPeerURL     string
	}

	// PublishView makes a new view current for the request path.
	PublishView struct{ View *View }

	// RecordOutcome reports the outcome of a record, for commands that wait for
	// theirs and for the timeline.
	RecordOutcome struct {
		Positioned record.Positioned
		Applied    bool
		Reason     string
	}

	// EmitEvent reports an event for log, timeline and metrics.
	EmitEvent struct{ Event event.Event }

	// MemberRemoved reports that peers removed this daemon from the members after a
	// long silence. An incarnation joins only once, so the process must end; its
	// successor joins anew.
	MemberRemoved struct{}

	// DrainCompleted reports that the daemon is home of no server any more.
	DrainCompleted struct{}
)

// SliceRef is a slice of a server with its generation.
type SliceRef struct {
	Range      keyspace.Range
	Generation uint64
}

// ServerLoad is the load of one server.
type ServerLoad struct {
	Server            string
	BusySlots         float64 // busy slots, decayed average
	RequestsPerSecond float64
	Age               time.Duration
}

// SliceLoad is the load of one slice, decayed.
type SliceLoad struct {
	Service   string
	Slice     SliceRef
	Server    string
	BusySlots float64 // busy slots
	// MovedAt is when a move brought the slice to this home, 0 if none did. The
	// machine sets it for the planner.
	MovedAt time.Duration
}

// HotKey is a key hash with much load.
type HotKey struct {
	Service   string
	Hash      uint64
	BusySlots float64 // busy slots
}

func (Tick) input()                {}
func (RecordsRead) input()         {}
func (LogUnreachable) input()      {}
func (AppendCompleted) input()     {}
func (PollResponse) input()        {}
func (PollFailed) input()          {}
func (PollReceived) input()        {}
func (GrantResponse) input()       {}
func (GrantFailed) input()         {}
func (ReleaseCompleted) input()    {}
func (SliceQuiesced) input()       {}
func (IDTransferCompleted) input() {}
func (HostListRead) input()        {}
func (LoadMeasured) input()        {}
func (DrainRequested) input()      {}

func (SendPoll) effect()       {}
func (AppendRecord) effect()   {}
func (SendGrant) effect()      {}
func (SendRelease) effect()    {}
func (SendProbe) effect()      {}
func (QuiesceSlice) effect()   {}
func (ResumeSlice) effect()    {}
func (TransferIDs) effect()    {}
func (PublishView) effect()    {}
func (RecordOutcome) effect()  {}
func (EmitEvent) effect()      {}
func (MemberRemoved) effect()  {}
func (DrainCompleted) effect() {}
