// Package peer makes and serves the control calls between daemons (twirp over
// the generated code of api/peerv1).
package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/dedup"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// maxRelayed bounds the records in one response to a poll.
const maxRelayed = 256

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	self    string // incarnation
	http    *http.Client
	mu      sync.Mutex
	clients map[string]peerv1.Peer // by URL
}

// NewClient returns a client that calls in the name of the given incarnation.
func NewClient(self string, client *http.Client) *Client {
	return &Client{self: self, http: client, clients: map[string]peerv1.Peer{}}
}

// For returns the twirp client of a peer.
func (c *Client) For(url string) peerv1.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[url]
	if client == nil {
		client = peerv1.NewPeerProtobufClient(url, c.http)
		c.clients[url] = client
	}
	return client
}

// Keep drops the clients of all peers that are not in urls.
func (c *Client) Keep(urls map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for url := range c.clients {
		if !urls[url] {
			delete(c.clients, url)
		}
	}
}

// Poll asks a witness for its applied offset.
func (c *Client) Poll(ctx context.Context, p ownership.Poll) (ownership.PollAnswered, error) {
	r, err := c.For(p.PeerURL).Poll(ctx, &peerv1.PollRequest{
		Poller: c.self, Applied: p.Applied, MaxRecords: maxRelayed, Loads: encodeLoads(p.Loads),
	})
	if err != nil {
		return ownership.PollAnswered{}, err
	}
	if r.Witness != p.Witness {
		return ownership.PollAnswered{}, &WrongPeerError{URL: p.PeerURL, Want: p.Witness, Got: r.Witness}
	}
	answer := ownership.PollAnswered{
		Witness: r.Witness, Applied: r.Applied,
		Heard: make(map[string]time.Duration, len(r.Heard)), Loads: decodeLoads(r.Loads),
	}
	for _, h := range r.Heard {
		answer.Heard[h.Incarnation] = time.Duration(h.AgeMs) * time.Millisecond
	}
	for _, e := range r.Records {
		rec, err := record.Unmarshal(e.Data)
		if err != nil {
			break // the log reader reports it; the records before are still useful
		}
		answer.Records = append(answer.Records, record.Positioned{Offset: e.Offset, Record: rec})
	}
	return answer, nil
}

// Transfer sends one part of an idempotency window to the next home.
func (c *Client) Transfer(ctx context.Context, url, server string, part dedup.Part) error {
	data, err := json.Marshal(part)
	if err != nil {
		return err
	}
	r, err := c.For(url).TransferIDs(ctx, &peerv1.TransferIDsRequest{Server: server, PartJson: data})
	if err != nil {
		return err
	}
	if !r.Accepted {
		return &RefusedError{URL: url}
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

// RefusedError reports that a peer did not take a transfer.
type RefusedError struct{ URL string }

// Error implements error.
func (e *RefusedError) Error() string { return "peer at " + e.URL + " refused the transfer" }

func encodeLoads(loads []ownership.ServerLoad) []*peerv1.ServerLoad {
	out := make([]*peerv1.ServerLoad, len(loads))
	for i, l := range loads {
		out[i] = &peerv1.ServerLoad{
			Server: l.Server, Busy: l.Busy, RequestsPerSecond: l.RequestsPerSecond,
			AgeMs: uint32(l.Age.Milliseconds()),
		}
	}
	return out
}

func decodeLoads(loads []*peerv1.ServerLoad) []ownership.ServerLoad {
	out := make([]ownership.ServerLoad, len(loads))
	for i, l := range loads {
		out[i] = ownership.ServerLoad{
			Server: l.Server, Busy: l.Busy, RequestsPerSecond: l.RequestsPerSecond,
			Age: time.Duration(l.AgeMs) * time.Millisecond,
		}
	}
	return out
}
