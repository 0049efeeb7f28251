// Package client calls the operators' HTTP API on a list of entry hosts.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
)

// Config configures a Client.
type Config struct {
	Hosts []string // base URLs, tried in order
	Token string
	// AttemptTimeout bounds each attempt at one host.
	AttemptTimeout time.Duration
	// SettleTimeout bounds how long SubmitChange tries to learn the outcome of a
	// change whose response was lost.
	SettleTimeout time.Duration
	HTTPClient    *http.Client
}

// Client calls the operators' API on the hosts of its Config.
type Client struct {
	cfg Config
}

// New returns a Client.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Get reads path from the first host that responds. It skips hosts that cannot be
// reached or that respond 503, which means that they cannot give a correct answer.
func (c *Client) Get(ctx context.Context, path string, target any) error {
	var failures []error
	for _, host := range c.cfg.Hosts {
		status, body, err := c.callHost(ctx, http.MethodGet, host, path, nil, nil)
		if err == nil && status != http.StatusServiceUnavailable {
			return decodeResponse(host, status, body, target)
		}
		if err == nil {
			err = errorFromResponse(host, status, body)
		}
		failures = append(failures, err)
	}
	return exit.Errorf(exit.Failure, "no entry host responded: %w", errors.Join(failures...))
}

func decodeResponse(host string, status int, body []byte, target any) error {
	if status != http.StatusOK {
		return errorFromResponse(host, status, body)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return exit.Errorf(exit.Failure, "%s: response is not as expected: %w", host, err)
	}
	return nil
}

// NotFoundError reports that the requested resource does not exist.
type NotFoundError struct{ Message string }

// Error implements error.
func (e *NotFoundError) Error() string { return e.Message }

// errorFromResponse converts a response without a result into an error.
func errorFromResponse(host string, status int, body []byte) error {
	var problem operatorapi.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Message == "" {
		problem.Message = fmt.Sprintf("status %d", status)
	}
	switch status {
	case http.StatusNotFound:
		return &exit.Error{Code: exit.Failure, Err: &NotFoundError{Message: problem.Message}}
	case http.StatusUnprocessableEntity:
		return exit.FindingsError(exit.FindingsFromAPI(problem.Findings))
	}
	return exit.Errorf(exit.Failure, "%s: %s", host, problem.Message)
}

// maxResponseBytes bounds a response. The largest one is a timeline: 12 hosts with
// at most 5,000 events each, and well under 1 KiB per event, take less than 60 MiB.
const maxResponseBytes = 128 << 20

func (c *Client) callHost(ctx context.Context, method, host, path string, header http.Header, body io.Reader) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	resp, err := c.sendRequest(ctx, method, host, path, header, body)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, err
}

func (c *Client) sendRequest(ctx context.Context, method, host, path string, header http.Header, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, host+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	return c.cfg.HTTPClient.Do(req)
}
