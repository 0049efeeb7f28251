package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/relay/responsecheck"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTestClient returns a client of a test server that runs handler.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	c := NewClient(Options{BaseURL: server.URL, RequestTimeout: 300 * time.Millisecond, LongPollWait: 50 * time.Millisecond})
	t.Cleanup(func() { c.Close(); server.Close() })
	return c
}

// Guards against reporting an append as refused whose record may be in the log: the
// proposer would propose it again as a new record.
func TestAppendErrors(t *testing.T) {
	var refused *AppendRefusedError
	var unknown *AppendOutcomeUnknownError
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		target  any
	}{
		"status 503": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, &unknown},
		"status 400": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(400) }, &refused},
		"aborted":    {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, &unknown},
		"no JSON":    {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{") }, &unknown},
		"no offset":  {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }, &unknown},
		"no response": {func(_ http.ResponseWriter, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
		}, &unknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newTestClient(t, test.handler).Append(t.Context(), []byte("x"))
			require.ErrorAs(t, err, test.target)
		})
	}
	_, err := NewClient(Options{BaseURL: "http://127.0.0.1:1"}).Append(t.Context(), []byte("x"))
	require.ErrorAs(t, err, &refused)
}

type recordingLogObserver struct {
	oldest      atomic.Uint64
	unreachable atomic.Int64
}

func (o *recordingLogObserver) LogReachable(oldest uint64) { o.oldest.Store(oldest) }
func (o *recordingLogObserver) LogUnreachable(error)       { o.unreachable.Add(1) }

// Guards against lost, duplicate or reordered records when reads fail, are short or have a
// gap, and against a reader that does not report that the log is unreachable.
func TestReaderKeepsOrderThroughFaults(t *testing.T) {
	const oldest, head = 3, 60
	data, err := record.Marshal(record.Record{ID: "a", Body: record.HostLeft{Incarnation: "i", Reason: record.LeaveLost}})
	require.NoError(t, err)
	var reads atomic.Int64
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		var from uint64
		_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
		response := platformapi.ReadResponse{Oldest: oldest}
		first := max(from, oldest)
		switch reads.Add(1) % 4 {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case 2:
			first++ // a gap
		}
		for offset := first; offset < min(first+7, head+1); offset++ {
			entry := platformapi.LogEntry{Offset: offset, Data: data}
			if offset == 10 {
				entry.Data = []byte(`{"kind":"later"}`)
			}
			response.Entries = append(response.Entries, entry)
		}
		writeJSON(t, w, response)
	})
	ctx, cancel := context.WithCancel(t.Context())
	out, logObserver, ended := make(chan LogItem, 2), &recordingLogObserver{}, make(chan error)
	go func() { ended <- (&Reader{Client: c, FirstOffset: 1, Observer: logObserver, Out: out}).Run(ctx) }()
	for offset := uint64(oldest); offset <= head; offset++ {
		item := <-out
		require.Equal(t, offset, item.Offset)
		var unknown *record.UnknownKindError
		require.Equal(t, offset == 10, item.Err != nil)
		if item.Err != nil {
			require.ErrorAs(t, item.Err, &unknown)
		}
	}
	require.EqualValues(t, oldest, logObserver.oldest.Load())
	require.Positive(t, logObserver.unreachable.Load())
	cancel()
	require.NoError(t, <-ended)
}

// Guards against a publisher that hides the offset or accepts another topic.
func TestPublisher(t *testing.T) {
	p := NewPublisher(newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"offset":7}`) }))
	m := message.NewMessage("id", []byte("x"))
	require.NoError(t, p.Publish(Topic, m))
	require.Equal(t, "7", m.Metadata.Get(MetadataOffset))
	require.Error(t, p.Publish("other", m))
	require.NoError(t, p.Close())
	var refused *AppendRefusedError
	require.ErrorAs(t, p.Publish(Topic, m), &refused)
}

func writeJSON(t *testing.T, w http.ResponseWriter, body any) {
	t.Helper()
	require.NoError(t, json.NewEncoder(w).Encode(body))
}

type recordingHostObserver struct {
	lists  chan platformapi.HostList
	errors chan error
}

func (o *recordingHostObserver) HostListRead(list platformapi.HostList) { o.lists <- list }
func (o *recordingHostObserver) HostListUnreachable(err error)          { o.errors <- err }

// Guards against a poller that ends at the first failed poll or hides it.
func TestHostPollerGoesOnAfterFailure(t *testing.T) {
	var polls atomic.Int64
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if polls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(t, w, platformapi.HostList{Hosts: []platformapi.Host{{Name: "a", State: platformapi.HostLeaving}}})
	})
	ctx, cancel := context.WithCancel(t.Context())
	observer := &recordingHostObserver{lists: make(chan platformapi.HostList), errors: make(chan error)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&HostPoller{Client: c, Interval: time.Millisecond, Observer: observer}).Run(ctx)
	}()
	var status *StatusError
	require.ErrorAs(t, <-observer.errors, &status)
	require.Equal(t, "a", (<-observer.lists).Hosts[0].Name)
	cancel()
	for {
		select {
		case <-observer.lists:
		case <-observer.errors:
		case <-ended:
			return
		}
	}
}

// Guards against a response that is read by the headers that were recognized, as an empty
// list of hosts.
func TestInvalidHeadsAreErrors(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Trace : 1\r\nContent-Length: 12\r\n\r\n{\"offset\":7}")
	})
	var failure *responsecheck.HeadError
	_, err := c.Hosts(t.Context())
	require.ErrorAs(t, err, &failure)
	_, err = c.Append(t.Context(), []byte("x"))
	require.ErrorAs(t, err, &failure)
	var unknown *AppendOutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
}

// The platform resets the connection while a record is sent to it. Guards against the part of
// the response that arrived, which decodes, and counts as the offset of the record.
func TestAppendCutByAResetIsUnknown(t *testing.T) {
	taken := 0
	for range 20 {
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"offset\":7}")
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		var unknown *AppendOutcomeUnknownError
		if _, err := c.Append(t.Context(), make([]byte, 4<<20)); !errors.As(err, &unknown) {
			taken++
		}
	}
	require.Zero(t, taken, "of 20")
}
