package responsecheck

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A server answers with status 101 and leaves the connection open. Guards against a call that
// reads the connection as the body of an error response, which its context does not end, and
// against statuses that net/http passes on.
func TestInvalidStatusEndsCall(t *testing.T) {
	for _, head := range []string{"101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n", "101 X\r\n", "012 X\r\nContent-Length: 9\r\n", "600 X\r\nContent-Length: 0\r\n", "999 X\r\nContent-Length: 9\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			closed := make(chan struct{})
			dial := func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer close(closed)
					if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
						_, _ = io.WriteString(far, "HTTP/1.1 "+head+"\r\n")
					}
					_, _ = far.Read(make([]byte, 1))
				}()
				return near, nil
			}
			client := &http.Client{Transport: Transport{SetDialers(&http.Transport{DialContext: dial})}}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", nil)
			require.NoError(t, err)
			_, err = client.Do(request)
			require.ErrorIs(t, err, &StatusError{}, head)
			<-closed
		})
	}
}
