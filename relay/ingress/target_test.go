package ingress

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that gets no response, and against the end of the others on its
// connection, because its target cannot be parsed.
func TestInvalidEscapeInATargetIsRefused(t *testing.T) {
	for _, target := range []string{"/a%zz", "/a%", "http://h/a%zz", "http://h%zz/a"} {
		refused := make(chan int, 1)
		_, address := startServerWith(t, &Server{
			OnReadError: func(_ string, _ *http.Request, status int, _ error) { refused <- status },
			Handler: func(ctx context.Context, r *Request) *Response {
				select {
				case <-ctx.Done():
					return &Response{Abort: true}
				case status := <-refused: // the request behind this one has been read
					refused <- status
				case <-time.After(time.Second):
				}
				return echoHandler(ctx, r)
			}})
		c, reader := dial(t, address)
		_, err := io.WriteString(c, formatGet("/1")+formatGet(target)+formatGet("/3"))
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, target)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "/1", response.Header.Get("X-Path"))
		response = readResponse(t, reader)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, target)
		require.True(t, response.Close, "what follows has not been read: its caller sends it again")
		require.Equal(t, http.StatusBadRequest, <-refused)
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}
