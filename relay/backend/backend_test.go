package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"parsleyrelay.example/api/serverapi"
	"parsleyrelay.example/relay/responsecheck"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, url string, connections int) *Client {
	t.Helper()
	client, err := New(Options{BaseURL: url, MaxConnections: connections})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// scriptedServer answers each request with the next entry of the script. For an empty
// entry, and at the end of the script, it closes the connection after it has read
// the request. It returns a counter of the requests read.
func scriptedServer(t *testing.T, script ...string) (url string, requestsRead *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	requestsRead = &atomic.Int64{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			serveScript(c, script, requestsRead)
		}
	}()
	t.Cleanup(func() { listener.Close(); <-done })
	return "http://" + listener.Addr().String(), requestsRead
}

func serveScript(c net.Conn, script []string, requestsRead *atomic.Int64) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		n := int(requestsRead.Add(1))
		if n > len(script) || script[n-1] == "" {
			return
		}
		_, _ = io.WriteString(c, script[n-1])
		if n == len(script) {
			return
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func doRequest(t *testing.T, client *Client, r *Request) (string, error) {
	t.Helper()
	response, err := client.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a request that net/http itself sends twice: it resends a GET, or a
// request with an Idempotency-Key, when a reused connection breaks.
func TestRequestIsWrittenOnce(t *testing.T) {
	for name, r := range map[string]*Request{
		"POST with id":          {Method: http.MethodPost, Path: "/x", Header: http.Header{serverapi.HeaderIdempotencyKey: {"a"}}},
		"POST with id and body": {Method: http.MethodPost, Path: "/x", Header: http.Header{serverapi.HeaderIdempotencyKey: {"a"}}, Body: strings.NewReader("b"), ContentLength: 1},
		"GET":                   {Method: http.MethodGet, Path: "/x"},
		"DELETE with id":        {Method: http.MethodDelete, Path: "/x", Header: http.Header{serverapi.HeaderIdempotencyKey: {"a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			url, requestsRead := scriptedServer(t, okResponse, "", okResponse)
			client := newClient(t, url, 1)
			body, err := doRequest(t, client, &Request{Method: http.MethodGet, Path: "/first"})
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			_, err = doRequest(t, client, r)
			var unknown *UnknownOutcomeError
			require.ErrorAs(t, err, &unknown)
			require.EqualValues(t, 2, requestsRead.Load(), "read by the server")
		})
	}
}

// Guards against a request reported as not sent although it may have run, and the
// reverse.
func TestClassification(t *testing.T) {
	var unknown *UnknownOutcomeError
	var refused *RefusedError
	var truncated *TruncatedResponseError
	for name, test := range map[string]struct {
		response string
		target   any
	}{
		"no response":                {"", &unknown},
		"refused":                    {"HTTP/1.1 409 Conflict\r\nParsleyrelay-Refused: term\r\nContent-Length: 0\r\n\r\n", &refused},
		"503 without refusal header": {"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n", nil},
		"refusal with 200":           {"HTTP/1.1 200 OK\r\nParsleyrelay-Refused: term\r\nContent-Length: 0\r\n\r\n", nil},
		"truncated":                  {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok", &truncated},
		"truncated chunked body":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", &truncated},
		"body without length":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", &unknown},
		"id of another request":      {"HTTP/1.1 200 OK\r\nParsleyrelay-Request-Id: r2\r\nContent-Length: 0\r\n\r\n", &unknown},
		"protocol switch":            {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", &unknown},
		"malformed headers":          {"HTTP/1.1 OK\r\n\r\n", &unknown},
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := scriptedServer(t, test.response)
			_, err := doRequest(t, newClient(t, url, 1), &Request{
				Method: http.MethodPost, Path: "/x", Header: http.Header{serverapi.HeaderRequestID: {"r1"}},
			})
			if test.target == nil {
				require.NoError(t, err)
				return
			}
			require.ErrorAs(t, err, test.target)
		})
	}
	var notSent *NotSentError
	_, err := doRequest(t, newClient(t, "http://127.0.0.1:1", 1), &Request{Method: http.MethodPost, Path: "/x"})
	require.ErrorAs(t, err, &notSent)
}

// Guards against a surplus response on a connection that is taken for the response
// to the next request. The second request may fail, since the client may close the
// connection on a surplus response; the rounds vary when that response is read.
func TestStaleResponseIsNotUsed(t *testing.T) {
	const rounds = 200
	for range rounds {
		url, _ := scriptedServer(t, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", okResponse, okResponse)
		client := newClient(t, url, 1)
		_, err := doRequest(t, client, &Request{Method: http.MethodGet, Path: "/a"})
		require.NoError(t, err)
		body, err := doRequest(t, client, &Request{Method: http.MethodGet, Path: "/b"})
		if err == nil {
			require.Equal(t, "ok", body)
		}
		client.Close()
	}
}

// Guards against a write after Do has reported the request as not sent. An attempt
// that never got a connection counts as not sent too.
func TestSealedConnectionRefusesWrites(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	c := &countingConn{Conn: responsecheck.NewConn(client)}
	c.startRequest()
	require.True(t, c.sealIfUnwritten())
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, sealedError{})

	neverConnected := &roundTrip{}
	unwritten, _ := neverConnected.fail()
	require.True(t, unwritten)
}

// Guards against more connections than configured, a deadline or cancellation that
// does not reach the server, and control calls that wait behind requests.
func TestConnectionBoundDeadlineAndCancellation(t *testing.T) {
	var running, maxRunning atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == serverapi.HealthPath {
			fmt.Fprint(w, `{"status":"ok"}`)
			return
		}
		// net/http notices a closed connection only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		if n := running.Add(1); n > maxRunning.Load() {
			maxRunning.Store(n)
		}
		defer running.Add(-1)
		if r.Header.Get(serverapi.HeaderDeadlineMS) == "" {
			w.WriteHeader(http.StatusBadRequest)
		}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { close(release); server.Close() })
	client := newClient(t, server.URL, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	results := make(chan error, 5)
	for range 5 {
		go func() {
			_, err := client.Do(ctx, &Request{Method: http.MethodPost, Path: "/x"})
			results <- err
		}()
	}
	require.Eventually(t, func() bool { return running.Load() == 2 }, time.Second, time.Millisecond)
	health, err := client.Probe(t.Context())
	require.NoError(t, err)
	require.Equal(t, "ok", health.Status)
	var sent, notSent int
	for range 5 {
		err := <-results
		require.ErrorIs(t, err, context.DeadlineExceeded)
		if _, ok := errors.AsType[*NotSentError](err); ok {
			notSent++
		} else {
			sent++
		}
	}
	require.Equal(t, []int{2, 3}, []int{sent, notSent})
	require.EqualValues(t, 2, maxRunning.Load())
	require.Eventually(t, func() bool { return running.Load() == 0 }, time.Second, time.Millisecond)
}
