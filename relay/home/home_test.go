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

// fixture is a manager of one server with one slot.
type fixture struct {
	mu      sync.Mutex
	view    *ownership.View
	started time.Time
	manager *Manager
	calls   chan Call
	answers chan *frontend.Response // nil answers are failures
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{started: time.Now(), calls: make(chan Call, 10), answers: make(chan *frontend.Response, 10)}
	f.view = serverView(time.Hour)
	f.manager = NewManager(Config{
		Views: f, Backend: f, Now: func() time.Duration { return time.Since(f.started) }, WallClock: time.Now,
		OnRingOverflow: func(string) {}, OnDispatch: func(*frontend.Request, time.Duration) {},
	})
	f.manager.Update(f.view)
	t.Cleanup(f.manager.Stop)
	return f
}

func serverView(until time.Duration) *ownership.View {
	held := ownership.SliceRef{Range: keyspace.Full, Generation: 3}
	return &ownership.View{
		Resources: map[resource.Key]resource.Resource{
			{Kind: resource.KindService, Name: "almacen"}: {Name: "almacen", Spec: &resource.Service{Ranks: []string{"urgent"}, DefaultRank: "urgent"}},
			{Kind: resource.KindRank, Name: "urgent"}:     {Name: "urgent", Spec: &resource.Rank{}},
		},
		Tables: map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{state.NewPlacedSlice(keyspace.Full, "a", 3)})},
		Servers: map[string]ownership.ServerView{"a": {
			Spec:  &resource.Server{Service: "almacen", Slots: 1, Connections: 10},
			Local: true, Term: 2, DispatchUntil: until, State: ownership.ServerServing,
			ServingSet: ownership.NewServingSet(map[ownership.SliceRef]ownership.Activation{held: {FirstOwner: true}}),
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
	case a := <-f.answers:
		if a == nil {
			return nil, &Failure{Kind: FailureMayHaveRun, Err: errors.New("connection lost")}
		}
		return a, nil
	case <-ctx.Done():
		return nil, &Failure{Kind: FailureMayHaveRun, Err: ctx.Err()}
	}
}

func okAnswer(body io.Reader) *frontend.Response {
	return &frontend.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1}
}

type result struct {
	body string
	ans  *frontend.Response
	err  *frontend.RequestError
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
		ans, err := f.manager.Execute(t.Context(), req, route)
		res := result{ans: ans, err: err}
		if ans != nil {
			body, _ := io.ReadAll(ans.Body)
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

// Guards against a request that leaves the queue after the lease has ended.
func TestNothingIsSentAfterTheLease(t *testing.T) {
	f := newFixture(t)
	first := f.send(t, newID(t))
	<-f.calls
	second := f.send(t, newID(t))
	require.Eventually(t, func() bool {
		stats, _ := f.manager.AdmissionStats("a")
		return stats.QueuedByRank["urgent"] == 1
	}, 5*time.Second, time.Millisecond)
	f.setView(serverView(time.Nanosecond))
	f.answers <- okAnswer(strings.NewReader("done"))
	require.Nil(t, (<-first).err)
	require.Equal(t, frontend.RerouteError(), (<-second).err)
	require.Empty(t, f.calls)
}

// Guards against a twin that runs again, or gets less than the whole answer.
func TestTwinGetsTheWholeAnswer(t *testing.T) {
	f := newFixture(t)
	id := newID(t)
	first := f.send(t, id)
	<-f.calls
	second := f.send(t, id)
	f.answers <- okAnswer(strings.NewReader("dispatched"))
	require.Equal(t, "dispatched", (<-first).body)
	twin := <-second
	require.Nil(t, twin.err)
	require.Equal(t, callerapi.ReasonReplayed, twin.ans.Reason)
	require.Equal(t, "dispatched", twin.body)
	require.Empty(t, f.calls)
}

// Guards against a lost or cut answer that is taken for "not run", and against
// a repeat of the order after it.
func TestLostAnswerStaysUnknown(t *testing.T) {
	f := newFixture(t)
	cut := okAnswer(io.MultiReader(strings.NewReader("disp"), errReader{}))
	for _, answer := range []*frontend.Response{nil, cut} {
		id := newID(t)
		first := f.send(t, id)
		<-f.calls
		f.answers <- answer
		require.Equal(t, callerapi.ReasonNoAnswer, (<-first).err.Reason)
		again := <-f.send(t, id)
		require.Equal(t, callerapi.Unknown, again.err.Outcome)
		require.Equal(t, callerapi.ReasonAttemptMayHaveRun, again.err.Reason)
		require.Empty(t, f.calls)
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("cut") }

// Guards against lower ranks without a floor when operators declare none.
func TestDefaultFloors(t *testing.T) {
	ranks := []admission.RankConfig{{Name: "low", Level: 5}, {Name: "mid", Level: 2}, {Name: "off", Level: 3, FloorPercent: resource.NoFloor}, {Name: "top"}}
	setFloors(ranks)
	floors := map[string]int{}
	for _, r := range ranks {
		floors[r.Name] = r.FloorPercent
	}
	require.Equal(t, map[string]int{"top": 0, "mid": 10, "off": 0, "low": 5}, floors)
}
