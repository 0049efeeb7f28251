// Package platform connects the daemon with the platform's log service and host
// list: an HTTP client, a watermill publisher and subscriber over the log, the
// reader that runs watermill's router, and a poller for the host list.
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
)

// Bounds of the client.
const (
	DefaultRequestTimeout = 2 * time.Second
	DefaultLongPollWait   = time.Second // long poll of a read
	DefaultMaxRecords     = 1000        // records in one read
	// MaxReadBytes bounds the body of a read; 1000 records of the size of a
	// checkpoint part (64 KiB, base64 twice) stay below it.
	MaxReadBytes     = 128 << 20
	maxResponseBytes = 4 << 20 // of appends and host lists
	maxErrorBytes    = 512     // of a refusal's text
)

// Options configure a Client. Zero values take the defaults.
type Options struct {
	BaseURL        string
	Transport      http.RoundTripper // default: a transport of its own
	RequestTimeout time.Duration     // whole request, without the wait of a long poll
	LongPollWait   time.Duration
	MaxRecords     int
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	traffic Traffic
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
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	o.BaseURL = strings.TrimSuffix(o.BaseURL, "/")
	return &Client{options: o, http: &http.Client{Transport: o.Transport, CheckRedirect: refuseRedirect}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Traffic returns the byte counters.
func (c *Client) Traffic() *Traffic { return &c.traffic }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds a record to the log and returns its offset. The error is a
// RefusedError when the record is certainly not in the log and an UnknownError
// when it may be.
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
	response, err := c.http.Do(request)
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

// appendStatusError treats a 4xx status as a refusal. 408 and every 5xx may come
// from a gateway that gave up while the service went on.
func appendStatusError(response *http.Response) error {
	status := &StatusError{Status: response.StatusCode, Text: errorText(response.Body)}
	if status.Status >= 400 && status.Status < 500 && status.Status != http.StatusRequestTimeout {
		return &AppendRefusedError{Err: status}
	}
	return &AppendOutcomeUnknownError{Err: status}
}

// Read returns records from an offset on and waits for one if there is none.
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

func (c *Client) get(ctx context.Context, path string, timeout time.Duration, limit int64, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.BaseURL+path, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return &StatusError{Status: response.StatusCode, Text: errorText(response.Body)}
	}
	return c.decode(response.Body, limit, into)
}

func (c *Client) decode(body io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	c.traffic.Received.Add(uint64(len(data)))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return &ProtocolError{Problem: fmt.Sprintf("response exceeds %d bytes", limit)}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &ProtocolError{Problem: err.Error()}
	}
	return nil
}

func errorText(body io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	return strings.TrimSpace(string(text))
}

// closeBody reads a short rest, so that the connection can be reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}
