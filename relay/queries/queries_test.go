package queries

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/bearer"
)

// fakeCluster has the hosts lima-1 (the queried one), lima-2 (which lags behind) and lima-3
// (which does not respond).
type fakeCluster struct {
	mu       sync.Mutex
	view     *ownership.View
	replaced chan struct{}
	history  *ChangeHistory
	now      time.Time
	events   map[string][]event.Event
}

func newFakeCluster() *fakeCluster {
	c := &fakeCluster{history: NewChangeHistory(), now: time.UnixMilli(1_000_000), replaced: make(chan struct{})}
	view := &ownership.View{SelfIncarnation: "i1", StateComplete: true, LogReachable: true,
		Resources: map[resource.Key]resource.Resource{}, Members: map[string]state.Member{}}
	for i := 1; i <= 3; i++ {
		id := fmt.Sprintf("i%d", i)
		view.Members[id] = state.Member{Host: fmt.Sprintf("lima-%d", i), Incarnation: id, Zone: "ate"}
	}
	view.Tables = map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{
		{Range: keyspace.FullRange, Generation: 9, Owner: &state.Owner{Server: "b"}, Origin: &state.Origin{Former: "a"}},
	})}
	view.Servers = map[string]ownership.ServerView{"b": {Home: state.Home{Incarnation: "i1", Term: 5}}}
	c.view = view
	return c
}

func (c *fakeCluster) Current() (*ownership.View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view, c.replaced
}

func (c *fakeCluster) Status(_ context.Context, m state.Member) (*peerv1.StatusResponse, error) {
	switch m.Incarnation {
	case "i1":
		return &peerv1.StatusResponse{Incarnation: "i1", Applied: c.view.AppliedOffset, Complete: true, LeaseValid: true,
			Servers: []*peerv1.ServerStatus{{Server: "b", State: "unresponsive", Term: 5, SubTerm: 1, SlicesServing: 0, ClaimedHealth: "ok"}}}, nil
	case "i2":
		return &peerv1.StatusResponse{Incarnation: "i2", Applied: 1, Complete: true,
			Servers: []*peerv1.ServerStatus{{Server: "b", State: "serving", Term: 4, ClaimedHealth: "ok"}}}, nil
	}
	return nil, errors.New("no response")
}

func (c *fakeCluster) Timeline(_ context.Context, m state.Member, _ *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	if m.Incarnation == "i3" {
		return nil, errors.New("no response")
	}
	data, err := json.Marshal(c.events[m.Incarnation])
	return &peerv1.TimelineResponse{EventsJson: data, Overwritten: uint64(len(c.events[m.Incarnation]))}, err
}

func (c *fakeCluster) WitnessSets() map[string]state.WitnessSet {
	return map[string]state.WitnessSet{"zone:ate": {Epoch: 2, Current: []string{"i1", "gone"}}}
}

// put applies the put of a rank at an offset.
func (c *fakeCluster) put(offset uint64, name string) {
	r := resource.Resource{Name: name, Spec: &resource.Rank{}}
	c.history.LogRecordApplied(ownership.RecordOutcome{TookEffect: true, Entry: record.LogEntry{
		Offset: offset, Record: record.Record{Body: record.ResourcePut{Resource: r}},
	}})
	c.mu.Lock()
	defer c.mu.Unlock()
	view := *c.view
	r.Version, view.AppliedOffset = offset, offset
	view.Resources = map[resource.Key]resource.Resource{r.Key(): r}
	c.view = &view
	close(c.replaced)
	c.replaced = make(chan struct{})
}

func (c *fakeCluster) serve(t *testing.T, policy bearer.Policy) *httptest.Server {
	router := chi.NewRouter()
	New(Config{Views: c, Peers: c, Witnesses: c, History: c.history, ProgressInterval: 20 * time.Millisecond,
		WallClock: func() time.Time { return c.now }}).Mount(router, policy)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return server
}

func get[T any](t *testing.T, server *httptest.Server, path string) (out T) {
	resp, err := http.Get(server.URL + path)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode, path)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

var anonymous = bearer.Policy{AllowAnonymousReads: true}

// Guards against showing a change as in force on hosts where that is not known, and against
// taking the state of a server from its former home or its health endpoint, and against
// leaving out hosts that do not respond.
func TestStatusNamesSilentHosts(t *testing.T) {
	c := newFakeCluster()
	c.put(7, "orders")
	c.view.Resources[resource.Key{Kind: resource.KindServer, Name: "b"}] =
		resource.Resource{Name: "b", Version: 7, Spec: &resource.Server{Service: "almacen"}}
	server := c.serve(t, anonymous)
	list := get[operatorapi.List](t, server, "/v1/resources")
	require.Len(t, list.Resources, 2)
	status := list.Resources[0].Status
	assert.Equal(t, []string{"lima-1"}, status.InForce)
	assert.Equal(t, []operatorapi.HostOffset{{Host: "lima-2", Applied: 1}}, status.Behind)
	c.now = c.now.Add(time.Minute)
	b := get[operatorapi.Resource](t, server, "/v1/resources/Server/b")
	require.Len(t, b.Status.NotKnown, 1)
	assert.Equal(t, "lima-3", b.Status.NotKnown[0].Host)
	assert.Equal(t, int64(1_000_000), b.Status.NotKnown[0].SinceMS)
	assert.Equal(t, &operatorapi.ServerStatus{State: "unresponsive", ClaimedHealth: "ok", SlicesOwned: 1,
		Home: "lima-1", Term: 5, SubTerm: 1}, b.Status.Server)
	all := get[operatorapi.Status](t, server, "/v1/status")
	assert.Len(t, all.Hosts, 2)
	assert.Len(t, all.NotKnown, 1)
	assert.Equal(t, []string{"lima-1", "gone"}, all.WitnessSets[0].Current)
}

func watch(t *testing.T, server *httptest.Server, from string) func() operatorapi.WatchEvent {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, "GET", server.URL+"/v1/watch"+from, nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	lines := bufio.NewScanner(resp.Body)
	return func() (e operatorapi.WatchEvent) {
		for lines.Scan() {
			e = operatorapi.WatchEvent{}
			require.NoError(t, json.Unmarshal(lines.Bytes(), &e))
			if e.Type != operatorapi.WatchProgress {
				return e
			}
		}
		require.Fail(t, "the watch ended")
		return e
	}
}

// Guards against a watcher that misses a change when it resumes.
func TestWatchResumes(t *testing.T) {
	c := newFakeCluster()
	for offset := uint64(1); offset <= 3; offset++ {
		c.put(offset, "orders")
	}
	next := watch(t, c.serve(t, anonymous), "?from=1")
	for offset := uint64(2); offset <= 3; offset++ {
		e := next()
		assert.Equal(t, operatorapi.WatchPut, e.Type)
		assert.Equal(t, offset, e.Offset)
	}
	c.put(4, "orders")
	assert.Equal(t, uint64(4), next().Offset)
	c.put(8, "proofs") // records 5 to 7 were skipped, as by a checkpoint
	e := next()
	assert.Equal(t, operatorapi.WatchResync, e.Type)
	assert.Equal(t, uint64(8), e.Offset)
}

// Guards against a silent gap when the offset is older than the history.
func TestWatchResyncsBeyondTheHistory(t *testing.T) {
	c := newFakeCluster()
	for offset := uint64(1); offset <= changeHistoryCapacity+2; offset++ {
		c.put(offset, "orders")
	}
	server := c.serve(t, anonymous)
	e := watch(t, server, "?from=1")()
	assert.Equal(t, operatorapi.WatchResync, e.Type)
	assert.NotEmpty(t, e.Reason)
	require.Len(t, e.Resources, 1)
	assert.Equal(t, uint64(changeHistoryCapacity+2), e.Resources[0].Metadata.Version)
	assert.Equal(t, uint64(3), watch(t, server, "?from=2")().Offset)

	restored := newFakeCluster() // restored from a checkpoint, no record applied since
	restored.view.AppliedOffset = 50
	assert.Equal(t, operatorapi.WatchResync, watch(t, restored.serve(t, anonymous), "?from=1")().Type)
}

// Guards against unauthorized reads and against lists from an incomplete state.
func TestReadAccess(t *testing.T) {
	c := newFakeCluster()
	c.view.StateComplete = false
	for want, policy := range map[int]bearer.Policy{
		http.StatusUnauthorized: {Token: "secret"}, http.StatusServiceUnavailable: anonymous,
	} {
		resp, err := http.Get(c.serve(t, policy).URL + "/v1/resources")
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, want, resp.StatusCode)
	}
}

// Guards against an ownership history with wrong owners or reasons, and against one that
// hides which hosts or events are missing.
func TestOwnershipHistoryGivesOwnersAndReasons(t *testing.T) {
	c := newFakeCluster()
	at := func(ms uint64, e event.Event) event.Event {
		e.HLC, e.Service = ms<<16, "almacen"
		return e
	}
	full := keyspace.FullRange.String()
	c.events = map[string][]event.Event{
		"i1": {
			at(300, event.Event{Code: event.SliceMoved, Host: "lima-1", Server: "b", Slice: full, Generation: 9}),
			at(310, event.Event{Code: event.SliceServing, Host: "lima-1", Server: "b", Slice: full, Generation: 9}),
		},
		"i2": {
			at(100, event.Event{Code: event.SlicePlaced, Host: "lima-2", Offset: 2}),
			at(200, event.Event{Code: event.ServerUnresponsive, Host: "lima-2", Server: "a"}),
			at(305, event.Event{Code: event.SliceMoved, Host: "lima-2", Server: "b", Slice: full, Generation: 9}),
		},
	}
	h := get[operatorapi.OwnershipHistory](t, c.serve(t, anonymous), "/v1/ownership/almacen/caja%2F7/history")
	assert.Equal(t, "caja/7", h.Current.Key)
	assert.True(t, h.Current.Durable)
	require.Len(t, h.Periods, 2)
	assert.Equal(t, "a", h.Periods[0].Owner)
	assert.Equal(t, "first placement", h.Periods[0].Reason)
	assert.Equal(t, int64(300), h.Periods[0].UntilMS)
	assert.Equal(t, "forced move: a did not respond", h.Periods[1].Reason)
	assert.Equal(t, int64(310), h.Periods[1].ServingMS)
	assert.Len(t, h.NotKnown, 1)
	assert.Equal(t, map[string]uint64{"lima-1": 2, "lima-2": 3}, h.Overwritten)
}
