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

// LocalDaemon is what the server answers for.
type LocalDaemon interface {
	// AppliedOffset returns the offset that the daemon has folded and acts on.
	AppliedOffset() uint64
	// PollReceived tells the machine that a daemon was heard.
	PollReceived(in ownership.PollReceived)
	// ImportIDs takes a part of an idempotency window.
	ImportIDs(server string, part dedup.TransferPart) bool
	Status(ctx context.Context) *peerv1.StatusResponse
	Timeline(ctx context.Context, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error)
}

// Server answers control calls.
type Server struct {
	self    string
	daemon  LocalDaemon
	history *control.RecordHistory
	now     func() time.Duration
	clock   *event.Clock

	mu    sync.Mutex
	heard map[string]heard // by incarnation
}

type heard struct {
	at    time.Duration
	loads []ownership.ServerLoad
}

// heardFor bounds how long a silent poller is remembered, in which a peer that
// asks still learns of it.
const heardFor = time.Minute

// NewServer returns a server for the daemon with the given incarnation.
func NewServer(self string, daemon LocalDaemon, history *control.RecordHistory, now func() time.Duration, clock *event.Clock) *Server {
	return &Server{self: self, daemon: daemon, history: history, now: now, clock: clock, heard: map[string]heard{}}
}

// Poll implements peerv1.Peer.
func (s *Server) Poll(_ context.Context, r *peerv1.PollRequest) (*peerv1.PollResponse, error) {
	if r.Poller == "" {
		return nil, twirp.RequiredArgumentError("poller")
	}
	s.clock.Observe(r.Hlc)
	loads := decodeLoads(r.Loads)
	s.daemon.PollReceived(ownership.PollReceived{Poller: r.Poller, Loads: loads})
	response := &peerv1.PollResponse{Witness: s.self, Applied: s.daemon.AppliedOffset(), Hlc: s.clock.Now()}
	for _, e := range s.history.After(r.Applied, int(min(r.MaxRecords, maxRelayed))) {
		response.Records = append(response.Records, &peerv1.LogRecord{Offset: e.Offset, Data: e.Data})
	}
	s.noteAndReport(r.Poller, loads, response)
	return response, nil
}

func (s *Server) noteAndReport(poller string, loads []ownership.ServerLoad, response *peerv1.PollResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.heard[poller] = heard{at: now, loads: loads}
	for incarnation, h := range s.heard {
		age := now - h.at
		if age > heardFor {
			delete(s.heard, incarnation)
			continue
		}
		if incarnation == poller {
			continue // it knows its own loads and that it is alive
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
	return &peerv1.TransferIDsResponse{Accepted: s.daemon.ImportIDs(r.Server, part)}, nil
}
