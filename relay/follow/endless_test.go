package follow

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/followv1"
	"parsleyrelay.example/relay/readlimit"
	"parsleyrelay.example/relay/responsecheck"
	"parsleyrelay.example/relay/telemetry"
)

// endlessMessage yields bytes without end, up to four times the limit.
type endlessMessage struct{ read atomic.Int64 }

func (m *endlessMessage) Read(p []byte) (int, error) {
	if m.read.Add(int64(len(p))) > 4*maxMessageBytes {
		return 0, io.EOF
	}
	return len(p), nil
}

// newFollowerOf returns a follower that does not run, whose map names h as the leader.
func newFollowerOf(t *testing.T, h *httptest.Server, out io.Writer) (*followerState, *Follower) {
	state := &followerState{leader: "leader", addresses: map[string]string{"leader": h.Listener.Addr().String()}}
	journal := telemetry.NewJournal(out, "f", "z")
	t.Cleanup(journal.Close)
	return state, NewFollower(testOptions("follower"), state, journal)
}

// Guards against a response of another host, or of whatever runs at its address, that takes
// a follower over its memory because it does not end.
func TestResponsesWithoutEndAreCutOff(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"body": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			_, _ = io.Copy(w, &endlessMessage{})
		},
		"body of an error": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.Copy(w, &endlessMessage{})
		},
		"head": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Part", strings.Repeat("x", 4<<20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := httptest.NewServer(serve)
			defer h.Close()
			_, f := newFollowerOf(t, h, io.Discard)
			_, err := f.clientFor("leader").Follow(t.Context(), f.newRequest())
			require.Error(t, err)
			require.LessOrEqual(t, f.client.Received.Load(), uint64(maxMessageBytes+1<<20))
			if name == "head" {
				require.ErrorContains(t, err, "server response headers exceeded")
				return
			}
			var size *readlimit.ResponseTooLargeError
			require.ErrorAs(t, err, &size)
		})
	}
}

// Guards against a request to a leader that takes it over its memory because its body does
// not end.
func TestRequestsWithoutEndAreCutOff(t *testing.T) {
	message := &endlessMessage{}
	r := httptest.NewRequest(http.MethodPost, followv1.LeaderPathPrefix+"Follow", message)
	r.Header.Set("Content-Type", "application/protobuf")
	w := httptest.NewRecorder()
	NewHandler(fixedParent{}).ServeHTTP(w, r)
	require.NotEqual(t, http.StatusOK, w.Code)
	require.LessOrEqual(t, message.read.Load(), int64(2*maxMessageBytes))
}

// A leader's address answers with status 101 and leaves the connection open. Guards against a
// call for permits that never ends, after which the host would not ask for permits any more.
func TestInvalidStatusEndsCallForPermits(t *testing.T) {
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
	}))
	defer h.Close()
	_, f := newFollowerOf(t, h, io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, _, err := f.BorrowPermits(ctx, "leader", nil)
		ended <- err
	}()
	select {
	case err := <-ended:
		require.ErrorIs(t, err, &responsecheck.StatusError{})
	case <-time.After(3 * time.Second):
		t.Fatal("the call goes on after the end of its context")
	}
}

// Guards against a response of another host that is read by the headers that were recognized:
// an empty message decodes, and names no leader.
func TestInvalidHeadsEndCalls(t *testing.T) {
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nX-Trace : 1\r\nContent-Length: 0\r\n\r\n")
	}))
	defer h.Close()
	_, f := newFollowerOf(t, h, io.Discard)
	var failure *responsecheck.HeadError
	_, err := f.clientFor("leader").Follow(t.Context(), f.newRequest())
	require.ErrorAs(t, err, &failure)
	_, _, err = f.BorrowPermits(t.Context(), "leader", nil)
	require.ErrorAs(t, err, &failure)
}
