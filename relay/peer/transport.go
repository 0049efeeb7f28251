package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"parsleyrelay.example/api/peerv1"
)

// Bounds of calls.
const (
	// DefaultPollTimeout is below the suspicion time of 900 ms; a later response
	// would not count anyway.
	DefaultPollTimeout = 600 * time.Millisecond
	DefaultCallTimeout = 2 * time.Second
	// DefaultMaxMessageBytes holds a batch of log records or of stored responses.
	DefaultMaxMessageBytes = 8 << 20
)

// Poller answers witness polls.
type Poller interface {
	Poll(context.Context, *peerv1.PollRequest) (*peerv1.PollResponse, error)
}

// StatusReporter answers status queries.
type StatusReporter interface {
	Status(context.Context, *peerv1.StatusRequest) (*peerv1.StatusResponse, error)
}

// TimelineReader answers timeline queries.
type TimelineReader interface {
	Timeline(context.Context, *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error)
}

// IDReceiver takes the idempotency window of a slice.
type IDReceiver interface {
	TransferIDs(context.Context, *peerv1.TransferIDsRequest) (*peerv1.TransferIDsResponse, error)
}

// Service is everything that a daemon answers to its peers.
type Service struct {
	Poller
	StatusReporter
	TimelineReader
	IDReceiver
}

// Options bound calls. Zero values take the defaults.
type Options struct {
	PollTimeout     time.Duration // client only
	CallTimeout     time.Duration // other calls, and every call at the server
	MaxMessageBytes int64         // of a request and of a response
}

func (o Options) withDefaults() Options {
	if o.PollTimeout <= 0 {
		o.PollTimeout = DefaultPollTimeout
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MaxMessageBytes <= 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	return o
}

// NewHandler returns the handler of the calls, for paths below peerv1.PeerPathPrefix.
func NewHandler(service Service, o Options) http.Handler {
	o = o.withDefaults()
	bounded := http.MaxBytesHandler(peerv1.NewPeerServer(service), o.MaxMessageBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), o.CallTimeout)
		defer cancel()
		bounded.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Transport makes control calls with bounds on time and message size. It is safe
// for concurrent use.
type Transport struct {
	options Options
	http    *boundedClient
}

// Traffic returns the bytes of message bodies sent and received so far.
func (t *Transport) Traffic() (sent, received uint64) {
	return t.http.sent.Load(), t.http.received.Load()
}

// NewTransport returns a transport over inner, which carries the TLS settings.
func NewTransport(inner http.RoundTripper, o Options) *Transport {
	o = o.withDefaults()
	return &Transport{options: o, http: &boundedClient{
		inner:    &http.Client{Transport: inner, CheckRedirect: refuseRedirect},
		maxBytes: o.MaxMessageBytes,
	}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (t *Transport) Close() { t.http.inner.CloseIdleConnections() }

// Poll asks the witness at url for its applied offset.
func (t *Transport) Poll(ctx context.Context, url string, r *peerv1.PollRequest) (*peerv1.PollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.PollTimeout)
	defer cancel()
	return t.peer(url).Poll(ctx, r)
}

// Status asks the daemon at url for its state.
func (t *Transport) Status(ctx context.Context, url string, r *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.CallTimeout)
	defer cancel()
	return t.peer(url).Status(ctx, r)
}

// Timeline asks the daemon at url for events.
func (t *Transport) Timeline(ctx context.Context, url string, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.CallTimeout)
	defer cancel()
	return t.peer(url).Timeline(ctx, r)
}

// TransferIDs sends stored ids to the daemon at url. After an error they may
// have arrived.
func (t *Transport) TransferIDs(ctx context.Context, url string, r *peerv1.TransferIDsRequest) (*peerv1.TransferIDsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.CallTimeout)
	defer cancel()
	return t.peer(url).TransferIDs(ctx, r)
}

func (t *Transport) peer(url string) peerv1.Peer {
	return peerv1.NewPeerProtobufClient(url, t.http)
}

// ResponseTooLargeError reports a response beyond the bound.
type ResponseTooLargeError struct{ MaxBytes int64 }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response of the peer exceeds %d bytes", e.MaxBytes)
}

type boundedClient struct {
	inner    *http.Client
	maxBytes int64
	sent     atomic.Uint64
	received atomic.Uint64
}

// Do implements twirp's HTTPClient.
func (c *boundedClient) Do(r *http.Request) (*http.Response, error) {
	c.sent.Add(uint64(max(0, r.ContentLength)))
	response, err := c.inner.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: c.maxBytes, maxBytes: c.maxBytes, received: &c.received}
	return response, nil
}

type boundedBody struct {
	io.ReadCloser
	left     int64
	maxBytes int64
	received *atomic.Uint64
}

// Read fails once more than the bound has arrived; a cut message could decode.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	b.received.Add(uint64(n))
	if b.left < 0 {
		return 0, &ResponseTooLargeError{MaxBytes: b.maxBytes}
	}
	return n, err
}
