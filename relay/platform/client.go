// Package platform connects the daemon to the log service and the host list of the
// platform. It holds an HTTP client, a watermill publisher and subscriber for the log, a
// reader that runs watermill's router, and a poller of the host list.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/relay/responsecheck"
)

// Limits of the client.
const (
	DefaultRequestTimeout = 2 * time.Second
	DefaultLongPollWait   = time.Second // how long a read waits for a record
	DefaultMaxRecords     = 1000        // records in one read
	// MaxReadBytes bounds the response body of a read; 1000 records of the size of a
	// checkpoint part (64 KiB, base64-encoded twice) are smaller.
	MaxReadBytes      = 128 << 20
	maxResponseBytes  = 4 << 20 // responses to appends and host list reads
	maxErrorTextBytes = 512     // text of an error response
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	BaseURL        string
	Transport      http.RoundTripper // default: a new transport
	RequestTimeout time.Duration     // whole request, not counting LongPollWait
	LongPollWait   time.Duration
	MaxRecords     int
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	options    Options
	httpClient *http.Client
	traffic    Traffic
}

// Traffic counts the bytes of bodies that a client sent and received.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// NewClient returns a client. It does not connect yet.
func NewClient(o Options) *Client {
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	if o.LongPollWait <= 0 {
		o.LongPollWait = DefaultLongPollWait
	}
	if o.MaxRecords <= 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.Transport == nil {
		o.Transport = responsecheck.SetDialers(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute})
	}
	o.BaseURL = strings.TrimSuffix(o.BaseURL, "/")
	return &Client{options: o, httpClient: &http.Client{Transport: responsecheck.Transport{RoundTripper: o.Transport}, CheckRedirect: refuseRedirect}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Traffic returns the byte counters.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Append appends a record to the log and returns its offset. The error is an
// AppendRefusedError when the record is certainly not in the log and an
// AppendOutcomeUnknownError when it may be.
func (c *Client) Append(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.options.BaseURL+platformapi.RecordsPath, bytes.NewReader(data))
	if err != nil {
		return 0, &AppendRefusedError{Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	c.traffic.Sent.Add(uint64(len(data)))
	response, err := c.httpClient.Do(request)
	if err != nil {
		if !connected.Load() {
			return 0, &AppendRefusedError{Err: err}
		}
		return 0, &AppendOutcomeUnknownError{Err: err}
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return 0, appendStatusError(response)
	}
	var result platformapi.AppendResponse
	if err := c.decode(response.Body, maxResponseBytes, &result); err != nil {
		return 0, &AppendOutcomeUnknownError{Err: err}
	}
	if result.Offset == 0 {
		return 0, &AppendOutcomeUnknownError{Err: &ProtocolError{Problem: "append response without an offset"}}
	}
	return result.Offset, nil
}

// appendStatusError treats a 4xx status as a refusal, except 408. A 408 or 5xx status may
// come from a gateway that timed out while the service still appended the record.
func appendStatusError(response *http.Response) error {
	status := &StatusError{Status: response.StatusCode, Text: errorText(response.Body)}
	if status.Status >= 400 && status.Status < 500 && status.Status != http.StatusRequestTimeout {
		return &AppendRefusedError{Err: status}
	}
	return &AppendOutcomeUnknownError{Err: status}
}

// Read returns the records from an offset on. If there are none, it waits for one up to
// LongPollWait.
func (c *Client) Read(ctx context.Context, from uint64) (platformapi.ReadResponse, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(c.options.MaxRecords)},
		"wait_ms": {strconv.FormatInt(c.options.LongPollWait.Milliseconds(), 10)},
	}
	var response platformapi.ReadResponse
	err := c.get(ctx, platformapi.RecordsPath+"?"+query.Encode(), c.options.LongPollWait+c.options.RequestTimeout, MaxReadBytes, &response)
	return response, err
}

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) (platformapi.HostList, error) {
	var list platformapi.HostList
	err := c.get(ctx, platformapi.HostsPath, c.options.RequestTimeout, maxResponseBytes, &list)
	return list, err
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration, maxBytes int64, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.BaseURL+path, nil)
	if err != nil {
		return err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode, Text: errorText(response.Body)}
	}
	return c.decode(response.Body, maxBytes, result)
}

func (c *Client) decode(body io.Reader, maxBytes int64, result any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	c.traffic.Received.Add(uint64(len(data)))
	if err != nil {
		return err
	}
	if int64(len(data)) > maxBytes {
		return &ProtocolError{Problem: fmt.Sprintf("response exceeds %d bytes", maxBytes)}
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &ProtocolError{Problem: err.Error()}
	}
	return nil
}

func errorText(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorTextBytes))
	return strings.TrimSpace(string(text))
}

// closeBody discards a short rest of the body, so that the connection can be reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorTextBytes)
	_ = body.Close()
}
