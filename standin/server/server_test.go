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

var whole = []serverapi.Slice{{First: "0000000000000000", Last: "ffffffffffffffff", Generation: 5}}

func post[T any](t *testing.T, s *Server, path string, body any) T {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(data))))
	var response T
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response), w.Body.String())
	return response
}

func grant(t *testing.T, s *Server, ttl int64) {
	t.Helper()
	g := serverapi.Grant{Server: s.options.ServerName, Term: 1}
	g.Token = post[serverapi.GrantResponse](t, s, serverapi.GrantPath, g).Token
	g.TTLMS, g.HasSlices, g.Slices = ttl, true, whole
	require.True(t, post[serverapi.GrantResponse](t, s, serverapi.GrantPath, g).Accepted)
}

// execute runs a request under the grant above; headers are pairs. The status is
// 0 when the connection was closed.
func execute(ctx context.Context, s *Server, headers ...string) (status int, refusal string) {
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

// Guards against a stand-in that runs work outside a grant, which would hide
// faults of the router from every test above it.
func TestWorkNeedsGrantUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true})
		status, refusal := execute(t.Context(), s)
		require.Equal(t, http.StatusConflict, status)
		require.Equal(t, string(serverapi.RefusedNoGrant), refusal)
		grant(t, s, 1000)
		status, _ = execute(t.Context(), s)
		require.Equal(t, http.StatusOK, status)
		status, refusal = execute(t.Context(), s, HeaderServiceTime, "2000")
		require.Equal(t, http.StatusGatewayTimeout, status, "expired while it ran")
		require.Empty(t, refusal, "work that began is no refusal")
		require.Equal(t, []bool{true, false}, committed(s))
	})
}

func committed(s *Server) []bool {
	var list []bool
	for _, w := range s.Journal().Executions() {
		list = append(list, w.Committed)
	}
	return list
}

// Guards against a frozen server that answers, and against one that goes on after
// its grant expired by its own clock.
func TestFreezeAndThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true})
		grant(t, s, 1000)
		results := make(chan int, 2)
		run := func() {
			status, _ := execute(context.Background(), s, HeaderServiceTime, "100")
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
		require.Equal(t, []bool{false}, committed(s))
	})
}

// Guards against a release that is confirmed while work of the slice runs.
func TestReleaseWaitsForWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true})
		grant(t, s, 5000)
		go execute(t.Context(), s, HeaderServiceTime, "800")
		synctest.Wait()
		release := serverapi.Release{Server: "s1", Term: 1, Slices: whole, DeadlineMS: 300}
		start := time.Now()
		require.False(t, post[serverapi.ReleaseResponse](t, s, serverapi.ReleasePath, release).Done)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
		require.True(t, post[serverapi.ReleaseResponse](t, s, serverapi.ReleasePath, release).Done == false)
		require.True(t, post[serverapi.ReleaseResponse](t, s, serverapi.ReleasePath, release).Done)
		require.Equal(t, 800*time.Millisecond, time.Since(start))
	})
}

// Guards against slots, shedding, deadlines and cancellation that do not hold.
func TestOverloadDeadlineAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 1, QueueLimit: 2, WarmupDuration: time.Second, WarmupFactor: 3})
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan string, 3)
		start := func(headers ...string) {
			go func() {
				_, refusal := execute(ctx, s, headers...)
				results <- refusal
			}()
			synctest.Wait()
		}
		start(HeaderServiceTime, "1000")
		start(serverapi.HeaderDeadlineMS, "200")
		start()
		require.Equal(t, serverapi.Load{Running: 1, Queued: 2, CPU: 1}, s.Load())
		status, refusal := execute(t.Context(), s)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, string(serverapi.RefusedOverload), refusal)
		require.Equal(t, string(serverapi.RefusedDeadline), <-results, "passed in the queue")
		cancel()
		synctest.Wait()
		require.Zero(t, s.Load())
		require.Equal(t, []bool{false}, committed(s))
		begin := time.Now()
		execute(t.Context(), s, HeaderServiceTime, "100")
		require.InDelta(t, 260, time.Since(begin).Milliseconds(), 1, "cold")
	})
}

// Guards against a restart that keeps grants, ids or work, and against an id that
// runs twice on a server that remembers ids.
func TestRestartEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ServerName: "s1", ChecksGrants: true, RemembersIDs: true})
		grant(t, s, 5000)
		for range 2 {
			status, _ := execute(t.Context(), s, serverapi.HeaderIdempotencyKey, "a")
			require.Equal(t, http.StatusOK, status)
		}
		require.Equal(t, 1, s.Journal().ExecutionCount("a"))
		ended := make(chan int)
		go func() {
			status, _ := execute(t.Context(), s, HeaderServiceTime, "1000")
			ended <- status
		}()
		synctest.Wait()
		former := s.InstanceID()
		s.Restart()
		require.Zero(t, <-ended)
		require.NotEqual(t, former, s.InstanceID())
		status, _ := execute(t.Context(), s)
		require.Equal(t, http.StatusConflict, status)
		grant(t, s, 5000)
		_, _ = execute(t.Context(), s, serverapi.HeaderIdempotencyKey, "a")
		violations := s.Journal().FindViolations(nil)
		require.Len(t, violations, 1)
		require.Equal(t, RuleDuplicateExecution, violations[0].Rule)
	})
}

// Guards against a checker that overlooks two owners or an older one.
func TestJournalFindsTwoOwners(t *testing.T) {
	j := NewJournal()
	add := func(instance string, generation uint64, started, ended time.Duration) {
		j.end(j.begin(Execution{Key: "k", Instance: instance, Generation: generation}), true)
		last := &j.work[len(j.work)-1]
		last.Started, last.Ended = started, ended
	}
	add("a", 5, 1, 4)
	add("a", 5, 2, 3)
	add("b", 6, 4, 6)
	require.Empty(t, j.FindViolations(nil))
	add("a", 5, 5, 8)
	require.Equal(t, RuleOverlappingOwners, j.FindViolations(nil)[0].Rule)
	j.work = j.work[:3]
	add("a", 5, 7, 8)
	require.Equal(t, RuleStaleOwner, j.FindViolations(nil)[0].Rule)
}
