package responsecheck

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// ErrEarlyResponse is the error of a call whose response arrived before its request was
// sent, so that it belongs to no request or to an earlier one.
var ErrEarlyResponse = errors.New("the response arrived before the request")

// Transport checks the responses of an http.Transport whose connections SetDialers has
// prepared. Responses over other connections, as through a proxy with TLS, are checked when
// they are parsed; if such a one has no body, its connection may carry another call before
// it is closed.
type Transport struct{ http.RoundTripper }

// checkedConn is implemented by Conn, and by connections that embed one.
type checkedConn interface {
	ExpectResponse() (number uint64)
	HeadRead(number uint64) bool
	Fault() error
}

// usedConn is the connection that a call has got last.
type usedConn struct {
	net.Conn
	checked checkedConn // nil if Conn is none
	number  uint64      // of the expected response
}

// RoundTrip implements http.RoundTripper. Its error is a *HeadError or *StatusError for an
// invalid head.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var lastUsed atomic.Pointer[usedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used := &usedConn{Conn: info.Conn}
		if c, ok := info.Conn.(checkedConn); ok {
			used.checked, used.number = c, c.ExpectResponse()
		}
		lastUsed.Store(used)
	}}
	response, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	used := lastUsed.Load()
	isChecked := used != nil && used.checked != nil
	switch {
	case err != nil && isChecked && used.checked.Fault() != nil:
		return nil, used.checked.Fault()
	case err != nil:
		return nil, err
	case !isChecked:
		err = checkParsed(response)
	case !used.checked.HeadRead(used.number):
		err = ErrEarlyResponse
	}
	if err == nil {
		return response, nil
	}
	_ = response.Body.Close()
	if used != nil {
		_ = used.Close()
	}
	return nil, err
}

// checkParsed checks what net/http leaves of a head.
func checkParsed(r *http.Response) error {
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{Reason: InvalidFieldName, Text: name}
		}
	}
	return nil
}

// CloseIdleConnections makes http.Client.CloseIdleConnections reach the inner transport.
func (t Transport) CloseIdleConnections() {
	if inner, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}
