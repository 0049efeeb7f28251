// Package backend is the HTTP client of a backend server. It sends grants, releases,
// health probes and callers' requests. The error of a request states whether any
// part of it was sent.
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
	"parsleyrelay.example/relay/responsecheck"
)

// Bounds of the client.
const (
	// MaxControlConnections are separate from Options.MaxConnections, so that grants
	// and releases don't wait behind requests.
	MaxControlConnections = 2
	DefaultDialTimeout    = 500 * time.Millisecond
	// DefaultIdleTimeout is short, since a connection that the server closes while
	// a request is being written makes that request's outcome unknown.
	DefaultIdleTimeout      = 10 * time.Second
	maxControlResponseBytes = 64 << 20 // grant responses list slices
	maxResponseHeaderBytes  = 64 << 10
)

// Options configure a Client. Zero durations select the defaults.
type Options struct {
	BaseURL        string // http or https
	TLS            *tls.Config
	MaxConnections int // for requests; values below 1 count as 1
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Client is the client of one backend server. It is safe for concurrent use.
type Client struct {
	baseURL          *url.URL
	requestTransport *http.Transport
	controlTransport responsecheck.Transport
	controlTraffic   ControlTraffic
}

// ControlTraffic counts the bytes in the bodies of control calls, which are grants,
// releases and probes.
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
		return nil, &ProtocolError{Problem: fmt.Sprintf("address %q is not an http or https URL", o.BaseURL)}
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	return &Client{
		baseURL:          base,
		requestTransport: newTransport(o, max(1, o.MaxConnections)),
		controlTransport: responsecheck.Transport{RoundTripper: newTransport(o, MaxControlConnections)},
	}, nil
}

func newTransport(o Options, connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	var protocols http.Protocols
	// HTTP/1 only: with one request at a time per connection, the connection limit
	// is also the limit of concurrent requests, and the bytes written to a
	// connection show whether a request was sent.
	protocols.SetHTTP1(true)
	config := o.TLS
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &http.Transport{
		DialContext:            dialTCP(dialer),
		DialTLSContext:         dialTLS(dialer, config),
		Protocols:              &protocols,
		DisableCompression:     true, // bodies are forwarded unchanged
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// Close closes idle connections. Requests in flight continue.
func (c *Client) Close() {
	c.requestTransport.CloseIdleConnections()
	c.controlTransport.CloseIdleConnections()
}

// ControlTraffic returns the byte counters of control calls.
func (c *Client) ControlTraffic() *ControlTraffic { return &c.controlTraffic }

// Grant sends a grant. After an error it is unknown whether the server accepted the
// grant; a later grant resolves this.
func (c *Client) Grant(ctx context.Context, g serverapi.Grant) (serverapi.GrantResponse, error) {
	var response serverapi.GrantResponse
	err := c.controlCall(ctx, http.MethodPost, serverapi.GrantPath, g, &response)
	return response, err
}

// Release asks the server to stop serving slices. The response can take up to the
// deadline in r.
func (c *Client) Release(ctx context.Context, r serverapi.Release) (serverapi.ReleaseResponse, error) {
	var response serverapi.ReleaseResponse
	err := c.controlCall(ctx, http.MethodPost, serverapi.ReleasePath, r, &response)
	return response, err
}

// Probe reads the health endpoint. A nil error means that the server answered.
func (c *Client) Probe(ctx context.Context) (serverapi.Health, error) {
	var response serverapi.Health
	err := c.controlCall(ctx, http.MethodGet, serverapi.HealthPath, nil, &response)
	return response, err
}

// controlCall sends a control call and decodes the JSON response into result. The
// transport may resend the call after a connection failure, which is harmless, since
// grants and releases are idempotent.
func (c *Client) controlCall(ctx context.Context, method, path string, body, result any) error {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		data = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL.String()+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	c.controlTraffic.Sent.Add(uint64(len(data)))
	response, err := c.controlTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes+1))
	c.controlTraffic.Received.Add(uint64(len(received)))
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return &StatusError{Status: response.StatusCode}
	case len(received) > maxControlResponseBytes:
		return &ProtocolError{Problem: "control response too large"}
	}
	if err := json.Unmarshal(received, result); err != nil {
		return &ProtocolError{Problem: err.Error()}
	}
	return nil
}
