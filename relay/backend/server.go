// Package backend is the client of one backend server: grants, releases, probes
// and the execution of requests, with a truthful statement of what was sent.
package backend

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"parsleyrelay.example/api/serverapi"
)

// Bounds of the client.
const (
	// MaxControlConnections are kept apart from MaxConnections, so that requests
	// cannot keep grants and releases waiting.
	MaxControlConnections = 2
	DefaultDialTimeout    = 500 * time.Millisecond
	// DefaultIdleTimeout is short, since a connection that the server closes while
	// a request is being written makes that request's outcome unknown.
	DefaultIdleTimeout     = 10 * time.Second
	maxControlBytes        = 64 << 20 // of a grant response, which lists slices
	maxResponseHeaderBytes = 64 << 10
)

// Options describe a server. Zero durations take the defaults.
type Options struct {
	BaseURL        string // http or https
	TLS            *tls.Config
	MaxConnections int // for requests; at least 1
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Client is the client of one backend server. It is safe for concurrent use.
type Client struct {
	base     *url.URL
	requests *http.Transport
	control  *http.Transport
	traffic  ControlTraffic
}

// ControlTraffic counts the bytes of control calls' bodies.
type ControlTraffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// New returns a client. It does not connect yet.
func New(o Options) (*Client, error) {
	base, err := url.Parse(strings.TrimSuffix(o.BaseURL, "/"))
	if err != nil {
		return nil, err
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, &ProtocolError{Problem: fmt.Sprintf("address %q is no http or https URL", o.BaseURL)}
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	return &Client{
		base:     base,
		requests: newTransport(o, max(1, o.MaxConnections)),
		control:  newTransport(o, MaxControlConnections),
	}, nil
}

func newTransport(o Options, connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	var protocols http.Protocols
	// HTTP/1 only: one request per connection keeps the connection bound equal to
	// the bound on concurrent requests, and makes "nothing was written" decidable.
	protocols.SetHTTP1(true)
	config := o.TLS
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &http.Transport{
		DialContext:            dialPlain(dialer),
		DialTLSContext:         dialTLS(dialer, config),
		Protocols:              &protocols,
		DisableCompression:     true, // bodies pass unchanged
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Close closes idle connections. Requests in flight go on.
func (s *Client) Close() {
	s.requests.CloseIdleConnections()
	s.control.CloseIdleConnections()
}

// ControlTraffic returns the byte counters of control calls.
func (s *Client) ControlTraffic() *ControlTraffic { return &s.traffic }

// Grant sends a grant. An error means that the server may have taken it or not;
// a later grant settles that.
func (s *Client) Grant(ctx context.Context, g serverapi.Grant) (serverapi.GrantResponse, error) {
	var response serverapi.GrantResponse
	err := s.call(ctx, http.MethodPost, serverapi.GrantPath, g, &response)
	return response, err
}

// Release asks the server to give slices up. The response can take as long as
// the deadline in r.
func (s *Client) Release(ctx context.Context, r serverapi.Release) (serverapi.ReleaseResponse, error) {
	var response serverapi.ReleaseResponse
	err := s.call(ctx, http.MethodPost, serverapi.ReleasePath, r, &response)
	return response, err
}

// Probe reads the health endpoint. A nil error means that the server answered.
func (s *Client) Probe(ctx context.Context) (serverapi.Health, error) {
	var response serverapi.Health
	err := s.call(ctx, http.MethodGet, serverapi.HealthPath, nil, &response)
	return response, err
}

// call may be sent twice by the transport over a broken connection, which is
// harmless: grants and releases can be repeated.
func (s *Client) call(ctx context.Context, method, path string, body, into any) error {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		data = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, s.base.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	s.traffic.Sent.Add(uint64(len(data)))
	response, err := s.control.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes+1))
	s.traffic.Received.Add(uint64(len(received)))
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return &StatusError{Status: response.StatusCode}
	case len(received) > maxControlBytes:
		return &ProtocolError{Problem: "control response too large"}
	}
	if err := json.Unmarshal(received, into); err != nil {
		return &ProtocolError{Problem: err.Error()}
	}
	return nil
}
