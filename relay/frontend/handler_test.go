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

// always retries at once, up to three attempts.
type always struct{}

func (always) RecordFirstAttempt(*Request) {}
func (always) RetryDelay(_ *Request, attempt AttemptCounts, _ *RequestError, _ time.Duration) (time.Duration, bool) {
	return 0, attempt.Total < 3
}
func (always) RequestWaitedForRoute(*Request, time.Duration)                             {}
func (always) RequestRetried(*Request, callerapi.Reason)                                 {}
func (always) RequestEnded(*Request, callerapi.Outcome, callerapi.Reason, time.Duration) {}

// remoteRoute routes every key to a home on another host.
type remoteRoute struct{}

func (remoteRoute) Current() (*ownership.View, <-chan struct{}) {
	slice := state.Slice{Range: keyspace.Range{Last: math.MaxUint64}, Generation: 1, Owner: &state.Owner{Server: "almacen-1"}}
	return &ownership.View{
		Tables:  map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{slice})},
		Servers: map[string]ownership.ServerView{"almacen-1": {Home: state.Home{Incarnation: "i2"}}},
		Members: map[string]state.Member{"i2": {PeerURL: "http://127.0.0.1:1"}},
	}, nil
}

// failing ends one attempt after another with its errors.
type failing struct{ errors []*RequestError }

func (f *failing) Forward(context.Context, *Request, string) (*Response, *RequestError) {
	err := f.errors[0]
	f.errors = f.errors[1:]
	return nil, err
}

// Guards against a "not run" of the last attempt that hides an earlier attempt
// which may have run.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	lost := NewUnknownOutcome(http.StatusBadGateway, callerapi.ReasonNoAnswer, "lost")
	unreached := NewRefusal(callerapi.ReasonZoneUnreachable, 0, "unreached")
	refused := NewRefusal(callerapi.ReasonOverloaded, 0, "refused")
	for _, c := range []struct {
		attempts []*RequestError
		want     *RequestError
	}{
		{[]*RequestError{unreached, refused}, refused},
		{[]*RequestError{lost, refused}, lost},
		{[]*RequestError{unreached, lost, unreached}, lost},
	} {
		body, err := newBody(httptest.NewRequest(http.MethodGet, "/", nil), 1)
		require.Nil(t, err)
		h := NewHandler(Config{
			Views: remoteRoute{}, Forwarder: &failing{c.attempts}, Retrier: always{}, Observer: always{},
			Now: func() time.Duration { return 0 },
		})
		_, err = h.run(t.Context(), &Request{Service: "almacen", Repeatable: true, Body: body})
		require.Equal(t, c.want, err)
	}
}
