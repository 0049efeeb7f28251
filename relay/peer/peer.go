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

// maxRecordsPerPoll bounds the log records that one poll response relays.
const maxRecordsPerPoll = 256

// Client calls other daemons with the message types of the ownership machine. It is safe
// for concurrent use.
type Client struct {
	selfIncarnation string
	transport       *Transport
	clock           *event.HybridClock
}

// NewClient returns a client that identifies itself by the incarnation self.
func NewClient(self string, transport *Transport, clock *event.HybridClock) *Client {
	return &Client{selfIncarnation: self, transport: transport, clock: clock}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.Close() }

// Transport returns the transport, for status and timeline queries.
func (c *Client) Transport() *Transport { return c.transport }

// Poll polls a witness, which responds with its applied offset and with records that
// this daemon lacks.
func (c *Client) Poll(ctx context.Context, p ownership.SendPoll) (ownership.PollResponse, error) {
	r, err := c.transport.Poll(ctx, p.PeerURL, &peerv1.PollRequest{
		Poller: c.selfIncarnation, Applied: p.AppliedOffset, MaxRecords: maxRecordsPerPoll, Loads: encodeLoads(p.Loads), Hlc: c.clock.Now(),
	})
	if err != nil {
		return ownership.PollResponse{}, err
	}
	if r.Witness != p.Witness {
		return ownership.PollResponse{}, &WrongPeerError{URL: p.PeerURL, Want: p.Witness, Got: r.Witness}
	}
	c.clock.Observe(r.Hlc)
	response := ownership.PollResponse{
		Witness: r.Witness, AppliedOffset: r.Applied,
		LastPollAge: make(map[string]time.Duration, len(r.Heard)), Loads: decodeLoads(r.Loads),
	}
	for _, h := range r.Heard {
		response.LastPollAge[h.Incarnation] = time.Duration(h.AgeMs) * time.Millisecond
	}
	for _, e := range r.Records {
		rec, err := record.Unmarshal(e.Data)
		if err != nil {
			break // the log reader reports the error; the records before are still useful
		}
		response.Records = append(response.Records, record.LogEntry{Offset: e.Offset, Record: rec})
	}
	return response, nil
}

// SendWindowPart sends one part of an idempotency window to the next home.
func (c *Client) SendWindowPart(ctx context.Context, url, server string, part dedup.TransferPart) error {
	data, err := json.Marshal(part)
	if err != nil {
		return err
	}
	r, err := c.transport.TransferIDs(ctx, url, &peerv1.TransferIDsRequest{Server: server, PartJson: data})
	if err != nil {
		return err
	}
	if !r.Accepted {
		return &TransferRefusedError{URL: url}
	}
	return nil
}

// WrongPeerError reports that another incarnation answered at the URL of a peer, for
// example after a restart. Its response must not be taken for that of the peer.
type WrongPeerError struct{ URL, Want, Got string }

// Error implements error.
func (e *WrongPeerError) Error() string {
	return "incarnation " + e.Got + " answers at " + e.URL + ", expected " + e.Want
}

// TransferRefusedError reports that a peer refused a part of an idempotency window.
type TransferRefusedError struct{ URL string }

// Error implements error.
func (e *TransferRefusedError) Error() string {
	return "peer at " + e.URL + " refused a part of an idempotency window"
}

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
