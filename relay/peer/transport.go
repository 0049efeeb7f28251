package peer

import (
	"context"
	"net/http"
	"time"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/relay/readlimit"
	"parsleyrelay.example/relay/responsecheck"
)

// Default limits of calls.
const (
	// DefaultPollTimeout is below ownership.SuspicionTimeout, after which a response has
	// no effect.
	DefaultPollTimeout = 600 * time.Millisecond
	DefaultCallTimeout = 2 * time.Second
	// DefaultMaxMessageBytes is enough for a batch of log records or of stored responses.
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

// WindowReceiver receives the idempotency window of a slice.
type WindowReceiver interface {
	TransferIDs(context.Context, *peerv1.TransferIDsRequest) (*peerv1.TransferIDsResponse, error)
}

// Service combines the handlers of all calls between daemons.
type Service struct {
	Poller
	StatusReporter
	TimelineReader
	WindowReceiver
}

// Options limit calls. Zero values select the defaults.
type Options struct {
	PollTimeout     time.Duration // of a poll, at the client
	CallTimeout     time.Duration // of other calls at the client, and of every call at the server
	MaxMessageBytes int64         // per request and per response
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
	limited := http.MaxBytesHandler(peerv1.NewPeerServer(service), o.MaxMessageBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), o.CallTimeout)
		defer cancel()
		limited.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Transport makes control calls with limits on time and message size. It is safe for
// concurrent use.
type Transport struct {
	options Options
	client  *readlimit.Client
}

// Traffic returns the bytes of message bodies sent and received so far.
func (t *Transport) Traffic() (sent, received uint64) {
	return t.client.Sent.Load(), t.client.Received.Load()
}

// NewTransport returns a transport over inner, which carries the TLS settings.
func NewTransport(inner http.RoundTripper, o Options) *Transport {
	o = o.withDefaults()
	return &Transport{options: o, client: &readlimit.Client{
		HTTP:     &http.Client{Transport: responsecheck.Transport{RoundTripper: inner}, CheckRedirect: refuseRedirect},
		MaxBytes: o.MaxMessageBytes,
	}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (t *Transport) Close() { t.client.HTTP.CloseIdleConnections() }

// Poll polls the witness at url.
func (t *Transport) Poll(ctx context.Context, url string, r *peerv1.PollRequest) (*peerv1.PollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.PollTimeout)
	defer cancel()
	return t.peer(url).Poll(ctx, r)
}

// Status queries the state of the daemon at url.
func (t *Transport) Status(ctx context.Context, url string, r *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.CallTimeout)
	defer cancel()
	return t.peer(url).Status(ctx, r)
}

// Timeline queries the events of the daemon at url.
func (t *Transport) Timeline(ctx context.Context, url string, r *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.CallTimeout)
	defer cancel()
	return t.peer(url).Timeline(ctx, r)
}

// TransferIDs sends a part of an idempotency window to the daemon at url. After an error
// it may still have arrived.
func (t *Transport) TransferIDs(ctx context.Context, url string, r *peerv1.TransferIDsRequest) (*peerv1.TransferIDsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.CallTimeout)
	defer cancel()
	return t.peer(url).TransferIDs(ctx, r)
}

func (t *Transport) peer(url string) peerv1.Peer {
	return peerv1.NewPeerProtobufClient(url, t.client)
}
