package peer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/dedup"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/relay/control"
)

// LocalDaemon is the daemon on whose behalf a Server answers calls.
type LocalDaemon interface {
	// AppliedOffset returns the offset of the last record that the daemon has applied and
	// acts on.
	AppliedOffset() uint64
	// PollReceived informs the ownership machine of a poll.
	PollReceived(in ownership.PollReceived)
	// ImportWindowPart imports a part of the idempotency window of a slice and reports whether it
	// was accepted.
	ImportWindowPart(server string, part dedup.TransferPart) bool
	Status(ctx context.Context) *peerv1.StatusResponse
	Timeline(ctx context.Context, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error)
}

// Server answers the control calls of other daemons.
type Server struct {
	selfIncarnation string
	daemon          LocalDaemon
	history         *control.RecordHistory
	now             func() time.Duration
	clock           *event.HybridClock

	mu      sync.Mutex
	pollers map[string]pollerState // by incarnation
}

type pollerState struct {
	lastPollAt time.Duration
	loads      []ownership.ServerLoad
}

// pollerRetention is how long poll responses still mention a daemon after its last poll.
const pollerRetention = time.Minute

// NewServer returns a server for the daemon with the given incarnation.
func NewServer(self string, daemon LocalDaemon, history *control.RecordHistory, now func() time.Duration, clock *event.HybridClock) *Server {
	return &Server{selfIncarnation: self, daemon: daemon, history: history, now: now, clock: clock, pollers: map[string]pollerState{}}
}

// Poll implements peerv1.Peer.
func (s *Server) Poll(_ context.Context, r *peerv1.PollRequest) (*peerv1.PollResponse, error) {
	if r.Poller == "" {
		return nil, twirp.RequiredArgumentError("poller")
	}
	s.clock.Observe(r.Hlc)
	loads := decodeLoads(r.Loads)
	s.daemon.PollReceived(ownership.PollReceived{Poller: r.Poller, Loads: loads})
	response := &peerv1.PollResponse{Witness: s.selfIncarnation, Applied: s.daemon.AppliedOffset(), Hlc: s.clock.Now()}
	for _, e := range s.history.After(r.Applied, int(min(r.MaxRecords, maxRecordsPerPoll))) {
		response.Records = append(response.Records, &peerv1.LogRecord{Offset: e.Offset, Data: e.Data})
	}
	s.recordPollAndReportOthers(r.Poller, loads, response)
	return response, nil
}

// recordPollAndReportOthers stores the time and the loads of a poll and adds those of
// other daemons to the response, so that daemons learn of each other through a witness.
func (s *Server) recordPollAndReportOthers(poller string, loads []ownership.ServerLoad, response *peerv1.PollResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pollers[poller] = pollerState{lastPollAt: now, loads: loads}
	for incarnation, h := range s.pollers {
		age := now - h.lastPollAt
		if age > pollerRetention {
			delete(s.pollers, incarnation)
			continue
		}
		if incarnation == poller {
			continue // the poller knows its own state
		}
		ms := uint32(age.Milliseconds())
		response.Heard = append(response.Heard, &peerv1.Heard{Incarnation: incarnation, AgeMs: ms})
		for _, l := range encodeLoads(h.loads) {
			l.AgeMs += ms
			response.Loads = append(response.Loads, l)
		}
	}
}

// Status implements peerv1.Peer.
func (s *Server) Status(ctx context.Context, _ *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	return s.daemon.Status(ctx), nil
}

// Timeline implements peerv1.Peer.
func (s *Server) Timeline(ctx context.Context, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	return s.daemon.Timeline(ctx, r)
}

// TransferIDs implements peerv1.Peer.
func (s *Server) TransferIDs(_ context.Context, r *peerv1.TransferIDsRequest) (*peerv1.TransferIDsResponse, error) {
	var part dedup.TransferPart
	if err := json.Unmarshal(r.PartJson, &part); err != nil {
		return nil, twirp.InvalidArgumentError("part_json", err.Error())
	}
	return &peerv1.TransferIDsResponse{Accepted: s.daemon.ImportWindowPart(r.Server, part)}, nil
}
