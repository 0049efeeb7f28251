package ingress

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request with Expect: 100-continue that gets no response because the
// deadline for writing the response before it has passed.
func TestExpectIsAnsweredAfterAPause(t *testing.T) {
	const stallTimeout = 100 * time.Millisecond
	_, address := startServerWith(t, &Server{Handler: echoHandler, writeStallTimeout: stallTimeout})
	c, reader := dial(t, address)
	_, err := io.WriteString(c, formatGet("/1"))
	require.NoError(t, err)
	readResponse(t, reader)
	time.Sleep(stallTimeout)
	_, err = io.WriteString(c, "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, readResponse(t, reader).StatusCode)
	_, err = io.WriteString(c, "abc")
	require.NoError(t, err)
	require.Equal(t, "/2", readResponse(t, reader).Header.Get("X-Path"))
}
