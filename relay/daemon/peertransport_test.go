package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/relay/peer"
	"parsleyrelay.example/relay/responsecheck"
)

// serveRaw returns the URL of a server that answers each call with a text, without reading
// its body, and then calls end with the connection.
func serveRaw(t *testing.T, text string, end func(*net.TCPConn)) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
		end(conn.(*net.TCPConn))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// accepted is a TransferIDsResponse with its first field set, and the begin of another one.
const accepted = "\x08\x01"

// Another host resets the connection while a message is sent to it. Guards against the part
// of its response that arrived, which decodes, and counts as the acceptance of the message.
func TestMessageCutByAResetIsAnError(t *testing.T) {
	url := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"+accepted, func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	taken := 0
	for range 20 {
		client := peer.NewTransport(peerTransport(nil), peer.Options{})
		if _, err := client.TransferIDs(t.Context(), url, &peerv1.TransferIDsRequest{PartJson: make([]byte, 4<<20)}); err == nil {
			taken++
		}
		client.Close()
	}
	require.Zero(t, taken, "of 20")
}

// Guards against a response of another host whose message is read by the headers that were
// recognized, and for none: an empty message decodes.
func TestMessageBehindAnInvalidHeadIsAnError(t *testing.T) {
	for _, line := range []string{"X-Tr ace: 1", "X-Trace : 1", "Content-Encoding : gzip"} {
		url := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", func(*net.TCPConn) {})
		client := peer.NewTransport(peerTransport(nil), peer.Options{})
		_, err := client.Poll(t.Context(), url, &peerv1.PollRequest{})
		var failure *responsecheck.HeadError
		require.ErrorAs(t, err, &failure, line)
		client.Close()
	}
}
