package backend

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/serverapi"
)

// A server resets the connection while a long grant is sent to it. Guards against the part of
// the response that arrived, which decodes, and counts as the acceptance of the grant.
func TestGrantCutByAResetIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"accepted\":true}")
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}))
	t.Cleanup(server.Close)
	taken := 0
	for range 20 {
		if _, err := newClient(t, server.URL, 1).Grant(t.Context(), serverapi.Grant{Token: strings.Repeat("x", 4<<20)}); err == nil {
			taken++
		}
	}
	require.Zero(t, taken, "of 20")
}
