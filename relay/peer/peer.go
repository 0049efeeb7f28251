// Package peer makes and serves the control calls between daemons (twirp over
// the generated code of api/peerv1).
package peer

import (
	"context"
	"encoding/json"
	"time"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/dedup"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// maxRelayed bounds the records in one response to a poll.
const maxRelayed = 256

// Client calls other daemons in terms of the ownership machine. It is safe for
// concurrent use.
type Client struct {
	self  string // incarnation
	calls *Transport
	clock *event.Clock
}

// NewClient returns a client that calls in the name of the given incarnation.
func NewClient(self string, calls *Transport, clock *event.Clock) *Client {
	return &Client{self: self, calls: calls, clock: clock}
}

// Close closes idle connections.
func (c *Client) Close() { c.calls.Close() }

// Transport returns the plain calls, for queries.
func (c *Client) Transport() *Transport { return c.calls }

// Poll asks a witness for its applied offset.
func (c *Client) Poll(ctx context.Context, p ownership.SendPoll) (ownership.PollResponse, error) {
	r, err := c.calls.Poll(ctx, p.PeerURL, &peerv1.PollRequest{
		Poller: c.self, Applied: p.AppliedOffset, MaxRecords: maxRelayed, Loads: encodeLoads(p.Loads), Hlc: c.clock.Now(),
	})
	if err != nil {
		return ownership.PollResponse{}, err
	}
	if r.Witness != p.Witness {
		return ownership.PollResponse{}, &WrongPeerError{URL: p.PeerURL, Want: p.Witness, Got: r.Witness}
	}
	c.clock.Observe(r.Hlc)
	answer := ownership.PollResponse{
		Witness: r.Witness, AppliedOffset: r.Applied,
		LastPollAge: make(map[string]time.Duration, len(r.Heard)), Loads: decodeLoads(r.Loads),
	}
	for _, h := range r.Heard {
		answer.LastPollAge[h.Incarnation] = time.Duration(h.AgeMs) * time.Millisecond
	}
	for _, e := range r.Records {
		rec, err := record.Unmarshal(e.Data)
		if err != nil {
			break // the log reader reports it; the records before are still useful
		}
		answer.Records = append(answer.Records, record.LogEntry{Offset: e.Offset, Record: rec})
	}
	return answer, nil
}

// SendTransferPart sends one part of an idempotency window to the next home.
func (c *Client) SendTransferPart(ctx context.Context, url, server string, part dedup.TransferPart) error {
	data, err := json.Marshal(part)
	if err != nil {
		return err
	}
	r, err := c.calls.TransferIDs(ctx, url, &peerv1.TransferIDsRequest{Server: server, PartJson: data})
	if err != nil {
		return err
	}
	if !r.Accepted {
		return &TransferRefusedError{URL: url}
	}
	return nil
}

// WrongPeerError reports that another process answers at the URL of a peer, as
// after a restart. Its answer must not count as the peer's.
type WrongPeerError struct{ URL, Want, Got string }

// Error implements error.
func (e *WrongPeerError) Error() string {
	return "incarnation " + e.Got + " answers at " + e.URL + ", expected " + e.Want
}

// TransferRefusedError reports that a peer did not take a transfer.
type TransferRefusedError struct{ URL string }

// Error implements error.
func (e *TransferRefusedError) Error() string { return "peer at " + e.URL + " refused the transfer" }

func encodeLoads(loads []ownership.ServerLoad) []*peerv1.ServerLoad {
	out := make([]*peerv1.ServerLoad, len(loads))
	for i, l := range loads {
		out[i] = &peerv1.ServerLoad{
			Server: l.Server, Busy: l.BusySlots, RequestsPerSecond: l.RequestsPerSecond,
			AgeMs: uint32(l.Age.Milliseconds()),
		}
	}
	return out
}

func decodeLoads(loads []*peerv1.ServerLoad) []ownership.ServerLoad {
	out := make([]ownership.ServerLoad, len(loads))
	for i, l := range loads {
		out[i] = ownership.ServerLoad{
			Server: l.Server, BusySlots: l.Busy, RequestsPerSecond: l.RequestsPerSecond,
			Age: time.Duration(l.AgeMs) * time.Millisecond,
		}
	}
	return out
}
