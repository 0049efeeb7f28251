package daemon

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/frontend"
)

// failingHome refuses every request with refusalReason until healsAt.
type failingHome struct {
	refusalReason callerapi.Reason
	healsAt       time.Time
	attempts      int
}

func (h *failingHome) Execute(context.Context, *frontend.Request, ownership.Route) (*frontend.Response, *frontend.RequestError) {
	if h.attempts++; time.Now().Before(h.healsAt) {
		return nil, frontend.NewRefusal(h.refusalReason, time.Second, "failed")
	}
	return &frontend.Response{Status: http.StatusOK, Outcome: callerapi.OutcomeDone, Reason: callerapi.ReasonOK}, nil
}

type fixedView struct{ view *ownership.View }

func (v fixedView) Current() (*ownership.View, <-chan struct{}) { return v.view, nil }

type noopObserver struct{}

func (noopObserver) RequestEnded(*frontend.Request, callerapi.Outcome, callerapi.Reason, time.Duration) {
}
func (noopObserver) RequestWaitedForRoute(*frontend.Request, time.Duration) {}
func (noopObserver) RequestRetried(*frontend.Request, callerapi.Reason)     {}

func oneServerView() *ownership.View {
	slice := ownership.SliceRef{Range: keyspace.Range{Last: math.MaxUint64}, Generation: 1}
	return &ownership.View{
		Resources: map[resource.Key]resource.Resource{
			{Kind: resource.KindService, Name: "almacen"}: {Spec: &resource.Service{Ranks: []string{"casual"}, DefaultRank: "casual"}},
			{Kind: resource.KindRank, Name: "casual"}:     {Spec: &resource.Rank{}},
		},
		Tables: map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{state.NewPlacedSlice(slice.Range, "a", 1)})},
		Servers: map[string]ownership.ServerView{"a": {
			Spec: &resource.Server{Service: "almacen"}, Local: true, DispatchUntil: math.MaxInt64,
			ServingSet: ownership.NewServingSet(map[ownership.SliceRef]ownership.Activation{slice: {}}),
		}},
	}
}

// Guards against three failures, in the order of the cases: requests for a lost server,
// whose port is closed, are refused before the key has a new owner (45 of 3,900 in one
// run); retries continue past the deadline; a server that refuses is called more than four
// times. Attempts at a closed port are limited by the delays between them only, which
// keep them below 60.
func TestRetriesUntilTheServerIsReplaced(t *testing.T) {
	for _, c := range []struct {
		reason      callerapi.Reason
		healsAfter  time.Duration
		outcome     callerapi.Outcome
		maxAttempts int
	}{
		{callerapi.ReasonConnectFailed, 4 * time.Second, callerapi.OutcomeDone, 60},
		{callerapi.ReasonConnectFailed, time.Minute, callerapi.OutcomeNotRun, 60},
		{callerapi.ReasonServerRefused, 4 * time.Second, callerapi.OutcomeNotRun, 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			now := func() time.Duration { return time.Since(start) }
			home := &failingHome{refusalReason: c.reason, healsAt: start.Add(c.healsAfter)}
			h := frontend.NewHandler(frontend.Config{
				Views: fixedView{oneServerView()}, Executor: home, Retrier: newRetrier(now), Observer: noopObserver{},
				Now: now, MaxConcurrentRequests: 10, MaxHeaderBytes: 64 << 10, Ready: func() bool { return true },
			})
			r := httptest.NewRequest(http.MethodGet, "/v1/almacen/key/item", nil)
			r.Header.Set(callerapi.HeaderDeadlineMS, "5000")
			w := httptest.NewRecorder()
			h.CallerHandler().ServeHTTP(w, r)
			require.Equal(t, string(c.outcome), w.Header().Get(callerapi.HeaderOutcome))
			require.LessOrEqual(t, home.attempts, c.maxAttempts)
			require.LessOrEqual(t, now(), 5*time.Second)
		})
	}
}
