package frontend

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/state"
)

// stubRetrierObserver is a Retrier that allows three attempts without delay, and an
// Observer that ignores its calls.
type stubRetrierObserver struct{}

func (stubRetrierObserver) RecordFirstAttempt(*Request) {}
func (stubRetrierObserver) RetryDelay(_ *Request, attempts AttemptCounts, _ *RequestError, _ time.Duration) (time.Duration, bool) {
	return 0, attempts.Total < 3
}
func (stubRetrierObserver) RequestWaitedForRoute(*Request, time.Duration) {}
func (stubRetrierObserver) RequestRetried(*Request, callerapi.Reason)     {}
func (stubRetrierObserver) RequestEnded(*Request, callerapi.Outcome, callerapi.Reason, time.Duration) {
}

// remoteHomeView routes every key to a home on another host.
type remoteHomeView struct{}

func (remoteHomeView) Current() (*ownership.View, <-chan struct{}) {
	slice := state.Slice{Range: keyspace.Range{Last: math.MaxUint64}, Generation: 1, Owner: &state.Owner{Server: "almacen-1"}}
	return &ownership.View{
		Tables:  map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{slice})},
		Servers: map[string]ownership.ServerView{"almacen-1": {Home: state.Home{Incarnation: "i2"}}},
		Members: map[string]state.Member{"i2": {PeerURL: "http://127.0.0.1:1"}},
	}, nil
}

// failingForwarder returns its errors, one per attempt.
type failingForwarder struct{ errors []*RequestError }

func (f *failingForwarder) Forward(context.Context, *Request, string) (*Response, *RequestError) {
	err := f.errors[0]
	f.errors = f.errors[1:]
	return nil, err
}

// Guards against a request reported as "not run" because its last attempt did not
// run, although an earlier attempt may have run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	lost := NewUnknownOutcome(http.StatusBadGateway, callerapi.ReasonNoAnswer, "lost")
	unreachable := NewRefusal(callerapi.ReasonZoneUnreachable, 0, "unreachable")
	refused := NewRefusal(callerapi.ReasonOverloaded, 0, "refused")
	for _, c := range []struct {
		attempts []*RequestError
		want     *RequestError
	}{
		{[]*RequestError{unreachable, refused}, refused},
		{[]*RequestError{lost, refused}, lost},
		{[]*RequestError{unreachable, lost, unreachable}, lost},
	} {
		body, err := newBody(httptest.NewRequest(http.MethodGet, "/", nil), 1)
		require.Nil(t, err)
		h := NewHandler(Config{
			Views: remoteHomeView{}, Forwarder: &failingForwarder{c.attempts}, Retrier: stubRetrierObserver{}, Observer: stubRetrierObserver{},
			Now: func() time.Duration { return 0 },
		})
		_, err = h.runWithRetries(t.Context(), &Request{Service: "almacen", Repeatable: true, Body: body})
		require.Equal(t, c.want, err)
	}
}
