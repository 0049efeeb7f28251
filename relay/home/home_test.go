package home

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/core/admission"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/frontend"
)

// fixture is a Manager with one server that has one slot.
type fixture struct {
	mu        sync.Mutex
	view      *ownership.View
	started   time.Time
	manager   *Manager
	calls     chan Call
	responses chan *frontend.Response // a nil response is a lost connection
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{started: time.Now(), calls: make(chan Call, 10), responses: make(chan *frontend.Response, 10)}
	f.view = viewWithLease(time.Hour)
	f.manager = NewManager(Config{
		Views: f, Backend: f, Now: func() time.Duration { return time.Since(f.started) }, WallClock: time.Now,
		OnEventQueueFull: func(string) {}, OnDispatch: func(*frontend.Request, time.Duration) {},
	})
	f.manager.Update(f.view)
	t.Cleanup(f.manager.Stop)
	return f
}

func viewWithLease(until time.Duration) *ownership.View {
	slice := ownership.SliceRef{Range: keyspace.FullRange, Generation: 3}
	return &ownership.View{
		Resources: map[resource.Key]resource.Resource{
			{Kind: resource.KindService, Name: "almacen"}: {Name: "almacen", Spec: &resource.Service{Ranks: []string{"urgent"}, DefaultRank: "urgent"}},
			{Kind: resource.KindRank, Name: "urgent"}:     {Name: "urgent", Spec: &resource.Rank{}},
		},
		Tables: map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{state.NewPlacedSlice(keyspace.FullRange, "a", 3)})},
		Servers: map[string]ownership.ServerView{"a": {
			Spec:  &resource.Server{Service: "almacen", Slots: 1, Connections: 10},
			Local: true, Term: 2, DispatchUntil: until, State: ownership.ServerServing,
			ServingSet: ownership.NewServingSet(map[ownership.SliceRef]ownership.Activation{slice: {FirstOwner: true}}),
		}},
	}
}

// Current implements frontend.ViewSource.
func (f *fixture) Current() (*ownership.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, nil
}

func (f *fixture) setView(v *ownership.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
}

// Do implements Backend.
func (f *fixture) Do(ctx context.Context, call Call) (*frontend.Response, *Failure) {
	f.calls <- call
	select {
	case response := <-f.responses:
		if response == nil {
			return nil, &Failure{Kind: FailureMayHaveRun, Err: errors.New("connection lost")}
		}
		return response, nil
	case <-ctx.Done():
		return nil, &Failure{Kind: FailureMayHaveRun, Err: ctx.Err()}
	}
}

func okResponse(body io.Reader) *frontend.Response {
	return &frontend.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}
}

type result struct {
	body     string
	response *frontend.Response
	err      *frontend.RequestError
}

func (f *fixture) send(t *testing.T, id string) <-chan result {
	now := time.Since(f.started)
	req := &frontend.Request{
		Service: "almacen", Key: "key", KeyHash: keyspace.Hash("key"), RankName: "urgent", Rank: &resource.Rank{},
		IdempotencyKey: id, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: frontend.NewBufferedBody([]byte("bale")),
		ReceivedAt: now, Deadline: now + 5*time.Second,
	}
	out := make(chan result, 1)
	go func() {
		view, _ := f.Current()
		route, _ := view.Lookup("almacen", req.KeyHash, time.Since(f.started))
		response, err := f.manager.Execute(t.Context(), req, route)
		res := result{response: response, err: err}
		if response != nil {
			body, _ := io.ReadAll(response.Body)
			res.body = string(body)
		}
		out <- res
	}()
	return out
}

func newID(t *testing.T) string {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

// Guards against a queued request that is sent after the lease has ended: the view
// changes while the request waits for the only slot.
func TestNoRequestIsSentAfterTheLeaseEnds(t *testing.T) {
	f := newFixture(t)
	first := f.send(t, newID(t))
	<-f.calls
	second := f.send(t, newID(t))
	require.Eventually(t, func() bool {
		stats, _ := f.manager.AdmissionStats("a")
		return stats.QueuedByRank["urgent"] == 1
	}, 5*time.Second, time.Millisecond)
	f.setView(viewWithLease(time.Nanosecond))
	f.responses <- okResponse(strings.NewReader("done"))
	require.Nil(t, (<-first).err)
	require.Equal(t, frontend.RerouteError(), (<-second).err)
	require.Empty(t, f.calls)
}

// Guards against a duplicate request that runs again or gets a truncated response
// when it arrives while the first one is running.
func TestTwinGetsTheWholeAnswer(t *testing.T) {
	f := newFixture(t)
	id := newID(t)
	first := f.send(t, id)
	<-f.calls
	second := f.send(t, id)
	f.responses <- okResponse(strings.NewReader("dispatched"))
	require.Equal(t, "dispatched", (<-first).body)
	duplicate := <-second
	require.Nil(t, duplicate.err)
	require.Equal(t, callerapi.ReasonReplayed, duplicate.response.Reason)
	require.Equal(t, "dispatched", duplicate.body)
	require.Empty(t, f.calls)
}

// Guards against a request reported as "not run" after its response was lost or
// truncated, and against a retry that runs it a second time.
func TestOutcomeOfLostResponseStaysUnknown(t *testing.T) {
	f := newFixture(t)
	truncated := okResponse(io.MultiReader(strings.NewReader("disp"), failingReader{}))
	for _, response := range []*frontend.Response{nil, truncated} {
		id := newID(t)
		first := f.send(t, id)
		<-f.calls
		f.responses <- response
		require.Equal(t, callerapi.ReasonNoAnswer, (<-first).err.Reason)
		retry := <-f.send(t, id)
		require.Equal(t, callerapi.OutcomeUnknown, retry.err.Outcome)
		require.Equal(t, callerapi.ReasonAttemptMayHaveRun, retry.err.Reason)
		require.Empty(t, f.calls)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("truncated") }

// Guards against lower ranks that get no floor when the operator configures none.
func TestDefaultFloors(t *testing.T) {
	ranks := []admission.RankConfig{{Name: "low", Level: 5}, {Name: "mid", Level: 2}, {Name: "off", Level: 3, FloorPercent: resource.NoFloor}, {Name: "top"}}
	sortRanksAndSetFloors(ranks)
	floors := map[string]int{}
	for _, r := range ranks {
		floors[r.Name] = r.FloorPercent
	}
	require.Equal(t, map[string]int{"top": 0, "mid": 10, "off": 0, "low": 5}, floors)
}
