package server

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"parsleyrelay.example/api/serverapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var fullRange = []serverapi.Slice{{First: "0000000000000000", Last: "ffffffffffffffff", Generation: 5}}

func postJSON[T any](t *testing.T, s *Server, path string, body any) T {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(data))))
	var response T
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response), w.Body.String())
	return response
}

func sendGrant(t *testing.T, s *Server, ttlMS int64) {
	t.Helper()
	g := serverapi.Grant{Server: s.options.ServerName, Term: 1}
	g.Token = postJSON[serverapi.GrantResponse](t, s, serverapi.GrantPath, g).Token
	g.TTLMS, g.HasSlices, g.Slices = ttlMS, true, fullRange
	require.True(t, postJSON[serverapi.GrantResponse](t, s, serverapi.GrantPath, g).Accepted)
}

// executeRequest sends a request that matches the grant of sendGrant. headers holds
// names and values in turn. The status is 0 if the connection was closed without a
// complete response.
func executeRequest(ctx context.Context, s *Server, headers ...string) (status int, refusal string) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders", nil)
	r.Header.Set(serverapi.HeaderKey, "k")
	r.Header.Set(serverapi.HeaderKeyHash, "0000000000000001")
	r.Header.Set(serverapi.HeaderTerm, "1")
	r.Header.Set(serverapi.HeaderGeneration, "5")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	s.ServeHTTP(w, r)
	return w.Code, w.Header().Get(serverapi.HeaderRefused)
}

// Guards against a fake server that executes requests without a valid grant, which
// would hide faults of the router from all tests that use it.
func TestExecutionNeedsGrantUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true})
		status, refusal := executeRequest(t.Context(), s)
		require.Equal(t, http.StatusConflict, status)
		require.Equal(t, string(serverapi.RefusedNoGrant), refusal)
		sendGrant(t, s, 1000)
		status, _ = executeRequest(t.Context(), s)
		require.Equal(t, http.StatusOK, status)
		status, refusal = executeRequest(t.Context(), s, HeaderServiceTime, "2000")
		require.Equal(t, http.StatusGatewayTimeout, status, "grant expired during the execution")
		require.Empty(t, refusal, "a request whose execution has started is not refused")
		require.Equal(t, []bool{true, false}, committedFlags(s))
	})
}

func committedFlags(s *Server) []bool {
	var flags []bool
	for _, execution := range s.Journal().Executions() {
		flags = append(flags, execution.Committed)
	}
	return flags
}

// Guards against a paused server that responds, and against one that after the pause
// completes or accepts requests although its grant has expired.
func TestPauseAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true})
		sendGrant(t, s, 1000)
		results := make(chan int, 2)
		run := func() {
			status, _ := executeRequest(context.Background(), s, HeaderServiceTime, "100")
			results <- status
		}
		go run()
		synctest.Wait()
		s.Pause()
		go run()
		time.Sleep(1500 * time.Millisecond)
		require.Empty(t, results)
		s.Resume()
		require.ElementsMatch(t, []int{http.StatusGatewayTimeout, http.StatusConflict}, []int{<-results, <-results})
		require.Equal(t, []bool{false}, committedFlags(s))
	})
}

// Guards against a release that is confirmed while requests of the slice are executed.
func TestReleaseWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true})
		sendGrant(t, s, 5000)
		go executeRequest(t.Context(), s, HeaderServiceTime, "800")
		synctest.Wait()
		// The request ends after 800 ms, during the third release, whose predecessors
		// give up after 300 ms each.
		release := serverapi.Release{Server: "s1", Term: 1, Slices: fullRange, DeadlineMS: 300}
		start := time.Now()
		require.False(t, postJSON[serverapi.ReleaseResponse](t, s, serverapi.ReleasePath, release).Done)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
		require.True(t, postJSON[serverapi.ReleaseResponse](t, s, serverapi.ReleasePath, release).Done == false)
		require.True(t, postJSON[serverapi.ReleaseResponse](t, s, serverapi.ReleasePath, release).Done)
		require.Equal(t, 800*time.Millisecond, time.Since(start))
	})
}

// Guards against faults in the limits on slots and queued requests, in deadlines and
// in cancellation, and in the longer service times during the warm-up.
func TestOverloadDeadlineAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 1, QueueLimit: 2, WarmupDuration: time.Second, WarmupFactor: 3})
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan string, 3)
		start := func(headers ...string) {
			go func() {
				_, refusal := executeRequest(ctx, s, headers...)
				results <- refusal
			}()
			synctest.Wait()
		}
		start(HeaderServiceTime, "1000")
		start(serverapi.HeaderDeadlineMS, "200")
		start()
		require.Equal(t, serverapi.Load{Running: 1, Queued: 2, CPU: 1}, s.Load())
		status, refusal := executeRequest(t.Context(), s)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, string(serverapi.RefusedOverload), refusal)
		require.Equal(t, string(serverapi.RefusedDeadline), <-results, "the deadline passed in the queue")
		cancel()
		synctest.Wait()
		require.Zero(t, s.Load())
		require.Equal(t, []bool{false}, committedFlags(s))
		begin := time.Now()
		executeRequest(t.Context(), s, HeaderServiceTime, "100")
		require.InDelta(t, 260, time.Since(begin).Milliseconds(), 1, "100 ms times 2.6, the warm-up factor 200 ms after the start")
	})
}

// Guards against a restart that keeps grants, saved responses or running requests, and
// against a second execution of an id within one instance that remembers ids.
func TestRestartDiscardsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true, RemembersIDs: true})
		sendGrant(t, s, 5000)
		for range 2 {
			status, _ := executeRequest(t.Context(), s, serverapi.HeaderIdempotencyKey, "a")
			require.Equal(t, http.StatusOK, status)
		}
		require.Equal(t, 1, s.Journal().ExecutionCount("a"))
		ended := make(chan int)
		go func() {
			status, _ := executeRequest(t.Context(), s, HeaderServiceTime, "1000")
			ended <- status
		}()
		synctest.Wait()
		formerID := s.InstanceID()
		s.Restart()
		require.Zero(t, <-ended)
		require.NotEqual(t, formerID, s.InstanceID())
		status, _ := executeRequest(t.Context(), s)
		require.Equal(t, http.StatusConflict, status)
		sendGrant(t, s, 5000)
		_, _ = executeRequest(t.Context(), s, serverapi.HeaderIdempotencyKey, "a")
		violations := s.Journal().FindViolations(nil)
		require.Len(t, violations, 1)
		require.Equal(t, RuleDuplicateExecution, violations[0].Rule)
	})
}

// Guards against a FindViolations that misses overlapping or stale owners.
func TestFindViolationsOfOwnership(t *testing.T) {
	j := NewJournal()
	add := func(instance string, generation uint64, started, ended time.Duration) {
		j.recordEnd(j.recordStart(Execution{Key: "k", Instance: instance, Generation: generation}), true)
		last := &j.executions[len(j.executions)-1]
		last.Started, last.Ended = started, ended
	}
	add("a", 5, 1, 4)
	add("a", 5, 2, 3)
	add("b", 6, 4, 6)
	require.Empty(t, j.FindViolations(nil))
	add("a", 5, 5, 8)
	require.Equal(t, RuleOverlappingOwners, j.FindViolations(nil)[0].Rule)
	j.executions = j.executions[:3]
	add("a", 5, 7, 8)
	require.Equal(t, RuleStaleOwner, j.FindViolations(nil)[0].Rule)
}
