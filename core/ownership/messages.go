// Package ownership is the state machine by which the daemons of all entry hosts
// agree on which backend server owns which key. It does no I/O and starts no
// goroutines: a driver passes inputs and the time to Machine.Step and carries out
// the returned effects.
//
// Terms of the protocol:
//
//   - The log is a totally ordered log of records that all daemons apply to the
//     same replicated state. A member is a daemon that joined through the log; an
//     incarnation is one process of it.
//   - A slice is a range of key hashes. Its generation is the log offset of the
//     record that gave it to its present owner, a backend server.
//   - The home of a server is the only daemon that sends requests to it. Its term
//     is the log offset of the record that assigned it. While the log is
//     unreachable, a provisional home continues the term; sub-terms order the
//     provisional homes of one term.
//   - A grant permits a server that checks grants to handle a set of slices until
//     the grant expires. Other servers are protected by their home's lease only.
//   - The witnesses of a scope (a zone, or all zones) are a set of members. A
//     daemon polls them, and a majority of the responses gives it a prefix lease:
//     until it ends, the daemon may act on the prefix of the log that it has
//     applied.
//   - An offset is confirmed once a majority of the witnesses has applied it, since
//     no daemon without it can obtain a new lease. It is effective after a further
//     wait for all earlier leases and grants to expire.
//   - A record is applied when a daemon has processed it, and takes effect if its
//     precondition holds then. A slice is effective, and a home active, once no
//     former owner or home can act on it any more; only then does the home grant the
//     slice and dispatch its requests.
//   - A planned move is made with the consent of both sides: the home quiesces the
//     slice and the server releases it before the record is appended. A forced move
//     is made without a release; its slices become effective only after the expiry
//     wait.
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
	// Tick triggers the work that depends on time only. The driver sends one
	// every TickInterval.
	Tick struct{}

	// RecordsRead carries records in offset order, read from the log.
	// OldestOffset is the oldest offset that the log retains; 0 if an earlier
	// RecordsRead has reported it.
	RecordsRead struct {
		Records      []record.LogEntry
		OldestOffset uint64
	}

	// LogUnreachable reports a failed read.
	LogUnreachable struct{}

	// AppendCompleted reports the end of an AppendRecord. If it failed, the record
	// may or may not be in the log; reading a record with its id decides.
	AppendCompleted struct {
		RecordID string
		Offset   uint64
		Failed   bool
	}

	// PollResponse is a witness's response to a SendPoll. SentAt is when the poll
	// was sent.
	PollResponse struct {
		Witness       string // incarnation
		SentAt        time.Duration
		AppliedOffset uint64
		Records       []record.LogEntry
		LastPollAge   map[string]time.Duration // age of the last poll by incarnation
		Loads         []ServerLoad
	}

	// PollFailed reports a SendPoll without a response.
	PollFailed struct{ Witness string }

	// PollReceived reports that a daemon polled this one as a witness.
	PollReceived struct {
		Poller string
		Loads  []ServerLoad
	}

	// GrantResponse is a server's response to a SendGrant. Held and Released list
	// the slices that the server holds and that it has released.
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

	// GrantFailed reports a SendGrant or SendProbe without a response.
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

	// SliceQuiesced reports the end of a QuiesceSlice: no request of the slice is in
	// flight or will be sent to the server.
	SliceQuiesced struct {
		Server string
		Slice  SliceRef
	}

	// IDTransferCompleted reports the end of a TransferIDs.
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
	// SendPoll asks a witness for its applied offset. It carries the sender's
	// applied offset, so that the response can include the records that follow, and
	// the loads of the servers that the sender serves.
	SendPoll struct {
		Witness       string
		PeerURL       string
		AppliedOffset uint64
		Loads         []ServerLoad
	}

	// AppendRecord appends a record to the log. A retry keeps the id of the record.
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

	// SendRelease asks a server to stop handling a slice and to confirm it once no
	// request of the slice runs.
	SendRelease struct {
		Server  string
		Address string
		Term    uint64
		SubTerm uint64
		Slice   SliceRef
		Timeout time.Duration
	}

	// SendProbe checks that a server that does not check grants is alive. The
	// driver replies with an accepted GrantResponse or with GrantFailed.
	SendProbe struct {
		Server  string
		Address string
		Seq     uint64
	}

	// QuiesceSlice stops dispatching requests of a slice to a server and asks for
	// SliceQuiesced once those in flight have ended. Queued requests go back to
	// route lookup. A later ResumeSlice undoes it.
	QuiesceSlice struct {
		Server string
		Slice  SliceRef
	}

	// ResumeSlice ends a QuiesceSlice.
	ResumeSlice struct {
		Server string
		Slice  SliceRef
	}

	// TransferIDs sends the idempotency window of a slice, the ids of recent
	// requests and their outcomes, to its next home, which can be this daemon
	// itself.
	TransferIDs struct {
		Service           string
		Server            string // current owner
		TargetServer      string // next owner
		Slice             SliceRef
		Term              uint64
		TargetIncarnation string // daemon that is home of TargetServer
		TargetPeerURL     string
	}

	// PublishView makes a new view current for the request path.
	PublishView struct{ View *View }

	// RecordOutcome reports that a record was read and whether it took effect, for
	// commands that wait for their record and for the timeline.
	RecordOutcome struct {
		Entry      record.LogEntry
		TookEffect bool
		Reason     string
	}

	// EmitEvent emits an event to the process log, the timeline and the metrics.
	EmitEvent struct{ Event event.Event }

	// MemberRemoved reports that peers removed this daemon from the members because
	// it did not respond for long. An incarnation joins only once, so the process
	// must exit; its successor joins under a new incarnation.
	MemberRemoved struct{}

	// DrainCompleted reports that the drain has ended and the process can exit:
	// normally the daemon is home of no server any more.
	DrainCompleted struct{}
)

// SliceRef identifies a slice under one generation.
type SliceRef struct {
	Range      keyspace.Range
	Generation uint64
}

// ServerLoad is the load of one server. Loads are averages in which older measurements
// count exponentially less; see core/balance.
type ServerLoad struct {
	Server            string
	BusySlots         float64 // slots of the server (its concurrent requests) in use
	RequestsPerSecond float64
	Age               time.Duration // time since the measurement
}

// SliceLoad is the load of one slice.
type SliceLoad struct {
	Service   string
	Slice     SliceRef
	Server    string
	BusySlots float64 // slots of the server that the slice keeps in use
	// MovedAt is when a move from another server brought the slice here, 0 if none
	// did. The machine sets it for the planner.
	MovedAt time.Duration
}

// HotKey is a key hash with a large share of the load.
type HotKey struct {
	Service   string
	Hash      uint64
	BusySlots float64 // slots of the server that the key keeps in use
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
