package upstream

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/relay/responsecheck"
)

// invalidLines are header lines that a caller or another parser may read otherwise than
// http.ReadResponse.
var invalidLines = []string{
	"X-Tr ace: 1", "X-Trace : 1", " X-Trace: 1", "Transfer-Encoding : chunked", "Content-Length : 7", "Content -Length: 1", "Content-Encoding : gzip", "X : a",
	"X-Tr\x00ace: 1", "X-Tr\tace: 1", "X-Trace\x1f: 1", "X-Trace\x7f: 1",
}

// Guards against a response whose headers a caller reads otherwise than this host, whose body
// was read by the headers that were recognized, and whose connection serves another request.
func TestResponsesWithInvalidHeaderNamesAreErrors(t *testing.T) {
	const end = "Content-Length: 1\r\n\r\nA"
	for _, line := range invalidLines {
		for name, text := range map[string]string{
			"final":      "HTTP/1.1 200 OK\r\nX-Id: a\r\nLINE\r\n" + end,
			"no length":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nLINE\r\n\r\n1\r\nA\r\n0\r\n\r\n",
			"no body":    "HTTP/1.1 204 X\r\nX-Id: a\r\nLINE\r\n\r\n",
			"error":      "HTTP/1.1 503 X\r\nX-Id: a\r\nLINE\r\n" + end,
			"interim":    "HTTP/1.1 103 X\r\nX-Id: a\r\nLINE\r\n\r\n" + responseA,
			"skipped":    "HTTP/1.1 200 OK\r\nX-Id: old\r\nLINE\r\n" + end + responseA,
			"skipped by": responseSkipped + "HTTP/1.1 200 OK\r\nX-Id: a\r\nLINE\r\n" + end,
		} {
			t.Run(name+" "+line, func(t *testing.T) {
				address := startScriptedServer(t, responseA, strings.Replace(text, "LINE", line, 1), responseA)
				c := NewClient()
				_, err := doExchange(c, address, "a")
				require.NoError(t, err)
				start := time.Now()
				r, err := doExchange(c, address, "a")
				require.Error(t, err, "taken: %+v", r)
				require.Less(t, time.Since(start), time.Second, "the exchange waited for the end of the connection")
				var failure *Error
				require.ErrorAs(t, err, &failure)
				require.True(t, failure.Sent, "the server may have run the request")
				c.mu.Lock()
				idle := len(c.idle[address])
				c.mu.Unlock()
				require.Zero(t, idle)
			})
		}
	}
}

const responseSkipped = "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"

// Guards against the framing of chunks in a body of HTTP/1.0, which has no chunks.
func TestChunksInHTTP10AreAnError(t *testing.T) {
	address := startScriptedServer(t, "HTTP/1.0 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n")
	var failure *responsecheck.HeadError
	r, err := doExchange(NewClient(), address, "a")
	require.ErrorAs(t, err, &failure, "taken: %+v", r)
}

// A server answers a long request early. Guards against a head that is checked only for short
// ones.
func TestEarlyResponseWithInvalidHeaderNameIsAnError(t *testing.T) {
	address := startScriptedServer(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Trace : 1\r\nContent-Length: 1\r\n\r\nA")
	x := newExchange(address, "a")
	x.Method, x.RawRequest = http.MethodPost, []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	x.FurtherBody = [][]byte{make([]byte, 1000000)}
	r, err := NewClient().Do(t.Context(), x)
	var failure *responsecheck.HeadError
	require.ErrorAs(t, err, &failure, "taken: %+v", r)
}

// Guards against broken responses that no counter shows, and against those that the end of
// the exchange broke off and that are counted as the server's.
func TestBrokenResponsesAreCounted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	for text, want := range map[string][2]uint64{
		head + "X : 1\r\nContent-Length: 0\r\n\r\n":                      {1, 0},
		"HTTP/1.1 000 X\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n":         {1, 0},
		head + "Connection: close\r\nContent-Length: 9\r\n\r\npart":      {0, 1},
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n":   {0, 1},
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r": {0, 1},
		head + "Content-Length: 9\r\n\r\npart":                           {0, 0},
		"":                                                               {0, 0},
	} {
		ends := want[1] > 0
		address := startScriptedServer(t, text)
		if ends {
			address = startScriptedServer(t, text, "")
		}
		c := NewClient()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		x := newExchange(address, "a")
		if ends { // the second request makes the server end the connection
			x.RawRequest = append(x.RawRequest, x.RawRequest...)
		}
		_, err := c.Do(ctx, x)
		cancel()
		require.Error(t, err, text)
		require.Equal(t, want, [2]uint64{c.InvalidHeads.Load(), c.IncompleteBodies.Load()}, text)
	}
}
