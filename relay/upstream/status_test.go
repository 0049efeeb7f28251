package upstream

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// answeringConn is a connection on which a text arrives and then its end.
type answeringConn struct {
	net.Conn // nil
	text     *strings.Reader
	closed   bool
}

func (c *answeringConn) Read(p []byte) (int, error)  { return c.text.Read(p) }
func (c *answeringConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *answeringConn) Close() error                { c.closed = true; return nil }

// A server sends a status that HTTP does not define. Guards against a later response on the
// connection that is returned for such a one, and against a status that no caller understands.
func TestResponsesWithInvalidStatusAreErrors(t *testing.T) {
	for _, status := range []string{"000", "012", "099", "101", "600", "999"} {
		c := &answeringConn{text: strings.NewReader("HTTP/1.1 " + status + " X\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n" + responseA)}
		client := NewClientWithDial(func(context.Context, string) (net.Conn, error) { return c, nil })
		r, err := client.Do(t.Context(), newExchange("server:80", "a"))
		require.ErrorIs(t, err, ErrInvalidStatus, "status %s, response %+v", status, r)
		var failure *Error
		require.ErrorAs(t, err, &failure)
		require.True(t, failure.Sent, status)
		require.True(t, c.closed, status)
	}
	for _, interim := range []string{"100", "102", "103", "199"} {
		c := &answeringConn{text: strings.NewReader("HTTP/1.1 " + interim + " X\r\n\r\n" + responseA)}
		client := NewClientWithDial(func(context.Context, string) (net.Conn, error) { return c, nil })
		r, err := client.Do(t.Context(), newExchange("server:80", "a"))
		require.NoError(t, err, interim)
		require.Equal(t, 200, r.Status)
	}
}
