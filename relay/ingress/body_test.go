package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/routes"
	"parsleyrelay.example/relay/memory"
)

// Sizes of the tests of bodies, in bytes.
const (
	testMemory   = 13 << 20
	testMaxBody  = 8 << 20
	testLongBody = 3 << 20
)

// testWait is how long the tests of bodies wait for a state.
const testWait = 4 * time.Second

// startBodyServer starts a server with testMemory for bodies and returns the errors that it
// reports.
func startBodyServer(t *testing.T, handler Handler) (account *memory.Account, address string, refused chan error) {
	account, refused = memory.NewAccount(testMemory), make(chan error, 100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Handler: handler, Memory: account, OnReadError: func(_ string, _ *http.Request, _ int, err error) { refused <- err }, Limits: func() routes.Limits {
		return routes.Limits{HeaderBytes: 1024, BodyBytes: testMaxBody, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}}
	go func() { _ = s.Serve(l) }()
	return account, l.Addr().String(), refused
}

func formatPost(size int) string {
	return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size, size)
}

// formatChunked returns a request whose head does not tell its length.
func formatChunked(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// Guards against bodies that together take a process over its memory, and against small
// requests that find no room beside them.
func TestBodiesShareTheMemory(t *testing.T) {
	for name, format := range map[string]func(int) string{
		"announced": func(size int) string { return formatPost(size) + strings.Repeat("a", size) },
		"chunked":   func(size int) string { return formatChunked(strings.Repeat("c", size)) },
	} {
		t.Run(name, func(t *testing.T) {
			const callers = 16
			release := make(chan struct{})
			account, address, _ := startBodyServer(t, func(ctx context.Context, r *Request) *Response {
				if r.PayloadSize() == testLongBody {
					<-release
				}
				return echoHandler(ctx, &Request{Request: r.Request})
			})
			statuses := make(chan int, callers)
			retryAfter := make(chan string, callers)
			var sent sync.WaitGroup
			for range callers {
				c, reader := dial(t, address)
				sent.Add(1)
				go func() {
					_, _ = io.WriteString(c, format(testLongBody))
					sent.Done()
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						statuses <- 0
						return
					}
					if response.StatusCode == http.StatusServiceUnavailable {
						retryAfter <- response.Header.Get("Retry-After")
					}
					statuses <- response.StatusCode
				}()
			}
			sent.Wait()
			require.Positive(t, account.Held())
			require.LessOrEqual(t, account.Held(), int64(testMemory))
			for range 8 {
				c, reader := dial(t, address)
				_, err := io.WriteString(c, formatPost(1200)+strings.Repeat("s", 1200))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, readResponse(t, reader).StatusCode)
			}
			close(release)
			count := map[int]int{}
			for range callers {
				count[<-statuses]++
			}
			require.Positive(t, count[http.StatusOK])
			require.Equal(t, callers-count[http.StatusOK], count[http.StatusServiceUnavailable], "%v", count)
			require.Len(t, retryAfter, count[http.StatusServiceUnavailable])
			for range count[http.StatusServiceUnavailable] {
				require.Equal(t, memoryRetryAfter, <-retryAfter)
			}
			require.Eventually(t, func() bool { return account.Held() == 0 }, testWait, time.Millisecond)
		})
	}
}

// Guards against a host that waits for a body, or asks for it, although its announced
// length shows that the request will be refused.
func TestBodiesAreRefusedByTheirAnnouncedLength(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	started := make(chan struct{})
	account, address, refused := startBodyServer(t, func(ctx context.Context, r *Request) *Response {
		close(started)
		<-release
		return echoHandler(ctx, r)
	})
	refuse := func(size, status int, cause error) *http.Response {
		c, reader := dial(t, address)
		_, err := io.WriteString(c, strings.Replace(formatPost(size), "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1))
		require.NoError(t, err)
		response := readResponse(t, reader)
		require.Equal(t, status, response.StatusCode)
		require.True(t, response.Close)
		require.ErrorIs(t, <-refused, cause)
		return response
	}
	refuse(testMaxBody+1, http.StatusRequestEntityTooLarge, errBodyTooLarge)
	require.Zero(t, account.Held())
	c, _ := dial(t, address)
	_, err := io.WriteString(c, formatPost(testMaxBody)+strings.Repeat("a", testMaxBody))
	require.NoError(t, err)
	<-started
	require.EqualValues(t, testMaxBody, account.Held())
	require.NotEmpty(t, refuse(testMaxBody, http.StatusServiceUnavailable, ErrNoMemory).Header.Get("Retry-After"))
	require.EqualValues(t, testMaxBody, account.Held())
}

// Guards against bytes that stay counted, and then keep other requests out, after a body
// that ended early, and against a wrong answer to it.
func TestBodiesThatEndEarlyLeaveNothingHeld(t *testing.T) {
	account, address, refused := startBodyServer(t, echoHandler)
	for name, text := range map[string]string{"announced": formatPost(testLongBody) + "a", "chunked": formatChunked(strings.Repeat("c", testLongBody))[:1<<20]} {
		c, _ := dial(t, address)
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return account.Held() > 0 }, testWait, time.Millisecond, name)
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool { return account.Held() == 0 }, testWait, time.Millisecond, name)
	}
	require.Empty(t, refused)
	c, reader := dial(t, address)
	_, err := io.WriteString(c, formatChunked(strings.Repeat("c", testMaxBody+1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, readResponse(t, reader).StatusCode)
	require.ErrorIs(t, <-refused, errBodyTooLarge)
	require.Eventually(t, func() bool { return account.Held() == 0 }, testWait, time.Millisecond)
}

// Guards against bodies that are changed by the division into pieces, and against the next
// request on their connection that is taken for a part of them.
func TestBodiesOfAllSizesArriveUnchanged(t *testing.T) {
	_, address, _ := startBodyServer(t, echoHandler)
	c, reader := dial(t, address)
	for _, size := range []int{0, 1, minPieceBytes, maxSinglePiece, maxSinglePiece + 1, pieceBytes, pieceBytes + 1, 5*pieceBytes - 1} {
		body := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		for _, text := range []string{formatPost(size) + string(body), formatChunked(string(body))} {
			if size == 0 && strings.Contains(text, "chunked") {
				continue // a chunk without bytes is the end
			}
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			got, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.True(t, bytes.Equal(body, got), "body of %d bytes", size)
		}
	}
}

// Guards against slow callers whose responses take memory that no request counts with.
func TestResponsesCountUntilTheyAreWritten(t *testing.T) {
	const size = 6 << 20 // more than the buffers of both ends take
	account, address, refused := startBodyServer(t, func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Body: make([]byte, size)}
	})
	c, reader := dialSmall(t, address)
	_, err := io.WriteString(c, formatGet("/"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return account.Held() == size }, testWait, time.Millisecond)
	other, otherReader := dial(t, address)
	_, err = io.WriteString(other, formatPost(testMaxBody))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, readResponse(t, otherReader).StatusCode)
	require.ErrorIs(t, <-refused, ErrNoMemory)
	full := memory.Hold{Account: account}
	full.Take(testMemory)
	small, smallReader := dial(t, address)
	_, err = io.WriteString(small, formatPost(1200)+strings.Repeat("s", 1200))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, readResponse(t, smallReader).StatusCode, "a small request in a full account")
	full.Release()
	readResponse(t, reader)
	require.Eventually(t, func() bool { return account.Held() == 0 }, testWait, time.Millisecond)
	_, err = io.WriteString(c, formatGet("/"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return account.Held() == size }, testWait, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return account.Held() == 0 }, testWait, time.Millisecond, "after the caller has left")
}

// Guards against pieces of a body that serve another request while a part of a handler that
// panicked still reads them.
func TestPiecesAreNotUsedAgainAfterAPanic(t *testing.T) {
	account := memory.NewAccount(testMemory)
	c := &conn{server: &Server{Memory: account, Handler: func(context.Context, *Request) *Response { panic(errors.New("of the test")) }}}
	b, err := c.server.admitBody(&http.Request{ContentLength: pieceBytes}, testMaxBody)
	require.NoError(t, err)
	require.NoError(t, b.read(strings.NewReader(strings.Repeat("a", pieceBytes)), testMaxBody))
	piece := &b.pieces[0][0]
	require.Panics(t, func() { c.handle(t.Context(), &pipelinedRequest{}, b) })
	require.Zero(t, account.Held())
	for range 100 {
		require.NotSame(t, piece, &freePieces.Get().(*[pieceBytes]byte)[0])
	}
}

// Guards against long responses that are copied, and so take twice what counts for them.
func TestLongResponsesAreWrittenWithoutACopy(t *testing.T) {
	for _, size := range []int{0, maxJoinedBody, maxJoinedBody + 1} {
		body := bytes.Repeat([]byte("a"), size)
		p := &pipelinedRequest{request: &http.Request{Method: http.MethodGet}, response: &Response{Status: http.StatusOK, Body: body}}
		b, furtherBody := encodeResponse(p, false)
		if size <= maxJoinedBody {
			require.Empty(t, furtherBody)
		} else {
			require.Same(t, &body[0], &furtherBody[0])
		}
		r, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(b), bytes.NewReader(furtherBody))), p.request)
		require.NoError(t, err)
		got, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.True(t, bytes.Equal(body, got))
		p.request.Method = http.MethodHead
		_, furtherBody = encodeResponse(p, false)
		require.Empty(t, furtherBody)
	}
}
