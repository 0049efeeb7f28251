// Package statuscheck rejects responses whose status a client cannot use.
package statuscheck

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// The bounds of the statuses that HTTP defines (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Error reports a response whose status HTTP does not define, or 101 although no request
// asks for an upgrade.
type Error struct{ Status int }

// Error implements error.
func (e *Error) Error() string {
	if e.Status == http.StatusSwitchingProtocols {
		return "response with status 101, but no upgrade was requested"
	}
	return fmt.Sprintf("response with the invalid status %03d", e.Status)
}

// Is makes errors.Is match any Error with the zero Error.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && (t.Status == 0 || t.Status == e.Status)
}

// Check returns an *Error if a client that requests no upgrade cannot use a status.
func Check(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &Error{Status: status}
	}
	return nil
}

// IsFinal reports whether a status is one of a final response, which
// http.ResponseWriter.WriteHeader accepts and does not take for an interim one.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// Transport returns an *Error for responses with a status that Check rejects, and closes
// their connection. net/http returns such responses; the body of one with status 101 is the
// connection itself, and reading it ends neither with the context of the request nor with the
// timeout of the client. The connection of a response without a body is idle again when the
// status is checked, so closing it may end another call that has just got it; it is for calls
// that may be repeated.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }}
	response, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode); err != nil {
		_ = response.Body.Close()
		if c := conn.Load(); c != nil {
			_ = (*c).Close()
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections makes http.Client.CloseIdleConnections reach the inner transport.
func (t Transport) CloseIdleConnections() {
	if inner, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}
