package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/bearer"
)

// fakeProposer applies proposed records at once, or holds them while holdRecords is set. It
// implements Proposer and Views.
type fakeProposer struct {
	mu             sync.Mutex
	state          *state.State
	outcomes       *OutcomeStore
	view           *ownership.View
	latest         *ownership.View // published at once, or after viewDelay
	replaced       chan struct{}
	viewDelay      time.Duration
	holdRecords    bool
	ringFull       bool
	heldRecords    []record.Record
	appliedRecords int
}

func (f *fakeProposer) Propose(r record.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ringFull {
		return false
	}
	if f.holdRecords {
		f.heldRecords = append(f.heldRecords, r)
		return true
	}
	f.apply(r)
	return true
}

func (f *fakeProposer) apply(r record.Record) {
	entry := record.LogEntry{Offset: f.state.AppliedOffset() + 1, Record: r}
	out, err := f.state.Apply(entry)
	if err != nil {
		panic(err)
	}
	f.appliedRecords++
	f.outcomes.LogRecordApplied(ownership.RecordOutcome{Entry: entry, TookEffect: out.TookEffect, Reason: out.Reason})
	view := *f.latest
	view.AppliedOffset, view.Resources = entry.Offset, maps.Clone(view.Resources)
	if out.TookEffect {
		switch b := r.Body.(type) {
		case record.ResourcePut:
			view.Resources[b.Resource.Key()], _ = f.state.Resource(b.Resource.Key())
		case record.ResourceDelete:
			delete(view.Resources, b.Key)
		}
	}
	f.latest = &view
	if f.viewDelay == 0 {
		f.publish(&view)
		return
	}
	time.AfterFunc(f.viewDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.publish(&view)
	})
}

func (f *fakeProposer) publish(view *ownership.View) {
	if view.AppliedOffset < f.view.AppliedOffset {
		return
	}
	f.view = view
	close(f.replaced)
	f.replaced = make(chan struct{})
}

func (f *fakeProposer) Current() (*ownership.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.replaced
}

func (f *fakeProposer) applyHeldRecords() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdRecords = false
	for _, r := range f.heldRecords {
		f.apply(r)
	}
}

func newTestAPI(t *testing.T, token string) (*fakeProposer, func(method, path, id, body string) (int, operatorapi.Change)) {
	proposer := &fakeProposer{
		state: state.New(), outcomes: NewOutcomeStore(), replaced: make(chan struct{}),
		view: &ownership.View{LogReachable: true, StateComplete: true, Resources: map[resource.Key]resource.Resource{}},
	}
	proposer.latest = proposer.view
	router := chi.NewRouter()
	New(Config{Proposer: proposer, Views: proposer, Outcomes: proposer.outcomes, WallClock: time.Now, ApplyTimeout: 50 * time.Millisecond}).
		Mount(router, bearer.Policy{Token: token})
	return proposer, func(method, path, id, body string) (int, operatorapi.Change) {
		r := httptest.NewRequest(method, path, bytes.NewBufferString(body))
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set(operatorapi.HeaderChangeID, id)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		var change operatorapi.Change
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &change))
		return w.Code, change
	}
}

const rankPath = "/v1/resources/Rank/orders"

func rankDocument(version, level int) string {
	return fmt.Sprintf(`{"kind":"Rank","metadata":{"name":"orders","version":%d},"spec":{"level":%d,"floorPercent":%d}}`, version, level, level)
}

// Guards against accepting two concurrent changes of the same version, against a mix of
// both, and against a refusal that does not show the accepted change.
func TestConcurrentChangesOneWinsOthersSeeIt(t *testing.T) {
	proposer, call := newTestAPI(t, "secret")
	_, created := call("PUT", rankPath, "", rankDocument(0, 9))
	proposer.viewDelay = 5 * time.Millisecond // views are published late
	var wg sync.WaitGroup
	codes, changes := make([]int, 8), make([]operatorapi.Change, 8)
	for i := range codes {
		wg.Go(func() { codes[i], changes[i] = call("PUT", rankPath, "", rankDocument(int(created.Version), i+1)) })
	}
	wg.Wait()
	current, _ := proposer.state.Resource(resource.Key{Kind: resource.KindRank, Name: "orders"})
	wins := 0
	for i, code := range codes {
		if code == http.StatusOK {
			wins++
			assert.Equal(t, current.Version, changes[i].Version)
			continue
		}
		require.Equal(t, http.StatusConflict, code)
		require.NotNil(t, changes[i].Resource)
		assert.Equal(t, current.Version, changes[i].Resource.Metadata.Version)
		level := current.Spec.(*resource.Rank).Level
		assert.JSONEq(t, fmt.Sprintf(`{"level":%d,"floorPercent":%d}`, level, level), string(changes[i].Resource.Spec))
	}
	assert.Equal(t, 1, wins)
}

// Guards against acknowledging a change that is not in the log, and against applying a
// repeated change twice.
func TestRepeatedChangeAfterUnknownOutcome(t *testing.T) {
	proposer, call := newTestAPI(t, "secret")
	proposer.holdRecords = true
	id := uuid.NewString()
	code, change := call("PUT", rankPath, id, rankDocument(0, 1))
	assert.Equal(t, http.StatusGatewayTimeout, code)
	assert.Equal(t, operatorapi.ChangeUnknown, change.State)
	assert.Equal(t, id, change.ChangeID)
	code, _ = call("GET", "/v1/changes/"+id, "", "")
	assert.Equal(t, http.StatusNotFound, code)

	proposer.applyHeldRecords()
	code, settled := call("GET", "/v1/changes/"+id, "", "")
	assert.Equal(t, http.StatusOK, code)
	_, later := call("PUT", rankPath, "", rankDocument(int(settled.Version), 2))
	assert.Equal(t, operatorapi.ChangeAccepted, later.State)
	code, again := call("PUT", rankPath, id, rankDocument(0, 1))
	assert.Equal(t, http.StatusOK, code, "the change was accepted, although another one followed")
	assert.Equal(t, settled.Version, again.Version)
	assert.Equal(t, 2, proposer.appliedRecords)

	code, other := call("PUT", rankPath, id, rankDocument(0, 3))
	assert.Equal(t, http.StatusUnprocessableEntity, code, "the id belongs to another change")
	assert.Len(t, other.Findings, 1)
}

// Guards against replacing the outcome of an accepted change when a second copy of its
// record, proposed through another host, is refused.
func TestDuplicateRecordKeepsFirstOutcome(t *testing.T) {
	proposer, call := newTestAPI(t, "secret")
	id := uuid.NewString()
	_, first := call("PUT", rankPath, id, rankDocument(0, 1))
	_, later := call("PUT", rankPath, "", rankDocument(int(first.Version), 2))
	r := resource.Resource{Name: "orders", Spec: &resource.Rank{Level: 1, FloorPercent: 1}}
	proposer.Propose(record.Record{ID: id, Body: record.ResourcePut{Resource: r, ChangeID: id}})
	code, settled := call("GET", "/v1/changes/"+id, "", "")
	assert.Equal(t, http.StatusOK, code)
	assert.Equal(t, first.Version, settled.Version)
	assert.Less(t, first.Version, later.Version)
}

// Guards against an unclear response when nothing was proposed.
func TestLogDownOrRingFullIsNotAccepted(t *testing.T) {
	proposer, call := newTestAPI(t, "secret")
	proposer.ringFull = true
	code, change := call("PUT", rankPath, "", rankDocument(0, 1))
	assert.Equal(t, http.StatusServiceUnavailable, code)
	proposer.ringFull, proposer.view.LogReachable = false, false
	code, _ = call("PUT", rankPath, change.ChangeID, rankDocument(0, 1))
	assert.Equal(t, http.StatusServiceUnavailable, code)
	assert.Zero(t, proposer.appliedRecords)
	proposer.view.LogReachable = true
	code, _ = call("PUT", rankPath, change.ChangeID, rankDocument(0, 1))
	assert.Equal(t, http.StatusOK, code)
}

// Guards against reporting only one finding per attempt.
func TestAllFindingsAtOnce(t *testing.T) {
	proposer, call := newTestAPI(t, "secret")
	code, change := call("PUT", "/v1/resources/Server/a", "not-a-uuid",
		`{"kind":"Rank","metadata":{"name":"b"},"spec":{"slots":"ten","color":1,"service":"none","zone":"ate","address":"ftp://x"}}`)
	assert.Equal(t, http.StatusUnprocessableEntity, code)
	paths := []string{}
	for _, f := range change.Findings {
		paths = append(paths, f.Place)
	}
	assert.ElementsMatch(t, []string{
		"header Parsleyrelay-Change-Id", "kind", "metadata.name", "Server/a: spec.slots",
		"Server/a: spec.color", "Server/a: spec.address", "Server/a: spec.service",
	}, paths)
	code, change = call("PUT", "/v1/resources/Service/s", "", `{"spec":{"ranks":["x","y"],"defaultRank":"x"}}`)
	assert.Equal(t, http.StatusUnprocessableEntity, code)
	assert.Len(t, change.Findings, 2, "all missing references are named")
	// Missing references are found only when the record is applied, which refuses it.
	assert.Equal(t, 1, proposer.appliedRecords)
}

// Guards against declaring a zone lost by accident, and against changes without a valid
// token.
func TestConfirmationAndToken(t *testing.T) {
	_, call := newTestAPI(t, "secret")
	code, change := call("PUT", "/v1/resources/Zone/ate", "", `{"spec":{"lost":true}}`)
	assert.Equal(t, http.StatusUnprocessableEntity, code)
	assert.NotEmpty(t, change.Warning)
	code, change = call("PUT", "/v1/resources/Zone/ate?confirm=lost", "", `{"spec":{"lost":true}}`)
	assert.Equal(t, http.StatusOK, code)
	assert.NotEmpty(t, change.Warning)
	code, _ = call("DELETE", "/v1/resources/Zone/ate", "", "")
	assert.Equal(t, http.StatusUnprocessableEntity, code, "a delete needs a version")
	code, _ = call("DELETE", "/v1/resources/Zone/ate", "", fmt.Sprintf(`{"metadata":{"version":%d}}`, change.Version))
	assert.Equal(t, http.StatusOK, code)
	// A caller with the wrong token is refused, and without a configured token everybody is.
	for _, serverToken := range []string{"", "other"} {
		proposer, call := newTestAPI(t, serverToken)
		code, _ = call("PUT", rankPath, "", rankDocument(0, 1))
		assert.Equal(t, http.StatusUnauthorized, code)
		assert.Zero(t, proposer.appliedRecords)
	}
}
