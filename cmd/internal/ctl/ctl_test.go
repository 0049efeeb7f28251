package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/peerv1"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
	"parsleyrelay.example/relay/bearer"
	"parsleyrelay.example/relay/commands"
	"parsleyrelay.example/relay/queries"
)

// fakeSystem is two hosts, lima-1 and lima-2, that share one log and one state.
type fakeSystem struct {
	mu       sync.Mutex
	state    *state.State
	view     *ownership.View
	replaced chan struct{}
	ledger   *commands.OutcomeStore
	history  *queries.ChangeHistory
	folds    int
	urls     []string
	lose     atomic.Int32 // responses to changes that lima-1 still loses
	dead     atomic.Bool  // lima-1 fails whenever it has lost a response
}

func newSystem(t *testing.T) *fakeSystem {
	f := &fakeSystem{state: state.New(), replaced: make(chan struct{}), ledger: commands.NewOutcomeStore(), history: queries.NewChangeHistory(),
		view: &ownership.View{StateComplete: true, LogReachable: true, SelfIncarnation: "i1",
			Resources: map[resource.Key]resource.Resource{},
			Members:   map[string]state.Member{"i1": {Host: "lima-1", Incarnation: "i1"}, "i2": {Host: "lima-2", Incarnation: "i2"}}}}
	router := chi.NewRouter()
	policy := bearer.Policy{Token: "secret"}
	commands.New(commands.Config{Proposer: f, Views: f, Outcomes: f.ledger, WallClock: time.Now}).Mount(router, policy)
	queries.New(queries.Config{Views: f, Peers: f, Witnesses: f, History: f.history, WallClock: time.Now}).Mount(router, policy)
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && f.lose.Load() > 0 {
			f.lose.Add(-1)
			router.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if f.dead.Load() && f.foldCount() > 0 {
			panic(http.ErrAbortHandler)
		}
		router.ServeHTTP(w, r)
	}))
	second := httptest.NewServer(router)
	t.Cleanup(first.Close)
	t.Cleanup(second.Close)
	f.urls = []string{first.URL, second.URL}
	return f
}

func (f *fakeSystem) Propose(r record.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := record.LogEntry{Offset: f.state.AppliedOffset() + 1, Record: r}
	out, err := f.state.Apply(p)
	if err != nil {
		panic(err)
	}
	f.folds++
	folded := ownership.RecordOutcome{Positioned: p, TookEffect: out.TookEffect, Reason: out.Reason}
	view := *f.view
	view.AppliedOffset, view.Resources = p.Offset, maps.Clone(view.Resources)
	switch b := r.Body.(type) {
	case record.ResourcePut:
		if now, ok := f.state.Resource(b.Resource.Key()); ok {
			view.Resources[b.Resource.Key()] = now
		}
	case record.ResourceDelete:
		if out.TookEffect {
			delete(view.Resources, b.Key)
		}
	}
	f.ledger.RecordApplied(folded)
	f.history.RecordApplied(folded)
	f.view = &view
	close(f.replaced)
	f.replaced = make(chan struct{})
	return true
}

func (f *fakeSystem) foldCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.folds
}

func (f *fakeSystem) Current() (*ownership.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.replaced
}

func (f *fakeSystem) Status(_ context.Context, m state.Member) (*peerv1.StatusResponse, error) {
	if m.Incarnation == "i2" {
		return nil, errors.New("no response")
	}
	view, _ := f.Current()
	return &peerv1.StatusResponse{Incarnation: "i1", Applied: view.AppliedOffset, Complete: true}, nil
}

func (f *fakeSystem) Timeline(_ context.Context, m state.Member, _ *peerv1.TimelineRequest) (*peerv1.TimelineResponse, error) {
	if m.Incarnation == "i2" {
		return nil, errors.New("no response")
	}
	data, err := json.Marshal([]event.Event{
		{Code: event.LeaseGained, Name: "lease_gained", HLC: 1 << 40, Host: "lima-1"},
		{Code: event.SliceMoved, Name: "slice_moved", HLC: 1 << 41, Host: "lima-1", Detail: "<script>"},
	})
	return &peerv1.TimelineResponse{EventsJson: data, Overwritten: 3}, err
}

func (f *fakeSystem) WitnessSets() map[string]state.WitnessSet { return nil }

// run returns the exit code and both outputs.
func (f *fakeSystem) run(input string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	args = append([]string{"parsleyctl", "--entry-hosts", strings.Join(f.urls, ","), "--operator-token", "secret",
		"--timeout", "2s", "--settle-timeout", "600ms"}, args...)
	code = Run(context.Background(), args, strings.NewReader(input), &o, &e)
	return code, o.String(), e.String()
}

const example = "../../../examples/huaman.yaml"

// Guards against a command line that does not work against the API.
func TestApplyGetDiffDelete(t *testing.T) {
	f := newSystem(t)
	code, out, errOut := f.run("", "apply", "-f", example)
	require.Equal(t, exit.OK, code, errOut)
	assert.Contains(t, out, "Server/almacen-15 accepted")
	folds := f.folds
	code, out, _ = f.run("", "apply", "-f", example)
	assert.Equal(t, exit.OK, code)
	assert.Contains(t, out, "Rank/check unchanged")
	assert.Equal(t, folds, f.folds)
	_, out, _ = f.run("", "get", "rank")
	assert.Contains(t, out, "lima-2", "a silent host is named")
	_, out, _ = f.run("", "-o", "yaml", "get", "Rank", "check")
	assert.Contains(t, out, "floorPercent: 10")
	_, out, _ = f.run(`{"kind":"Rank","metadata":{"name":"check"},"spec":{"level":4}}`, "diff", "-f", "-")
	assert.Regexp(t, `level +1 +4`, out)
	code, _, errOut = f.run("", "delete", "rank", "check")
	assert.Equal(t, exit.Conflict, code)
	assert.Contains(t, errOut, "is used by")
	code, out, _ = f.run("", "delete", "Route", "stock")
	assert.Equal(t, exit.OK, code, out)
	code, _, errOut = f.run("", "delete", "Route", "stock")
	assert.Equal(t, exit.Failure, code)
	assert.Contains(t, errOut, "does not exist")
}

const rank = `{"kind":"Rank","metadata":{"name":"r","version":%v},"spec":{"level":%l}}`

func rankOf(version, level string) string {
	return strings.NewReplacer("%v", version, "%l", level).Replace(rank)
}

// Guards against a loser who does not see the winner's change.
func TestConflictShowsTheWinner(t *testing.T) {
	f := newSystem(t)
	f.run(rankOf("0", "1"), "apply", "-f", "-")
	code, out, errOut := f.run(rankOf("7", "2"), "apply", "-f", "-")
	assert.Equal(t, exit.Conflict, code, out)
	assert.Contains(t, errOut, `"spec":{"level":1}`)
}

// Guards against a change that runs twice, or is reported as failed, because its
// response was lost.
func TestLostAnswerIsSettledOnTheNextHost(t *testing.T) {
	f := newSystem(t)
	f.lose.Store(1)
	code, out, errOut := f.run(rankOf("0", "1"), "apply", "-f", "-")
	assert.Equal(t, exit.OK, code, errOut)
	assert.Contains(t, out, "Rank/r accepted (version 1)")
	assert.Equal(t, 1, f.folds)
}

// Guards against calling an outcome failed when nobody can tell it.
func TestUnknownOutcomeHasItsOwnCode(t *testing.T) {
	f := newSystem(t)
	f.urls = f.urls[:1]
	f.lose.Store(1)
	f.dead.Store(true)
	code, _, errOut := f.run(rankOf("0", "1"), "apply", "-f", "-")
	assert.Equal(t, exit.OutcomeUnknown, code, errOut)
	assert.Contains(t, errOut, "GET /v1/changes/")
}

// Guards against hiding findings, and against a change while the log is down.
func TestFailuresHaveTheirCodes(t *testing.T) {
	f := newSystem(t)
	code, _, errOut := f.run("kind: Rank\nmetadata: {name: r}\nspec: {level: x, speed: 1}\n", "apply", "-f", "-")
	assert.Equal(t, exit.BadInput, code)
	assert.Contains(t, errOut, "Rank/r: spec.level")
	assert.Contains(t, errOut, "Rank/r: spec.speed")
	code, _, errOut = f.run("kind: Zone\nmetadata: {name: ate}\nspec: {lost: true}\n", "apply", "-f", "-")
	assert.Equal(t, exit.BadInput, code)
	assert.Contains(t, errOut, "confirm=lost")
	code, _, errOut = f.run("kind: Zone\nmetadata: {name: ate}\nspec: {lost: true}\n", "apply", "--confirm-lost", "-f", "-")
	assert.Equal(t, exit.OK, code)
	assert.Contains(t, errOut, "warning: this presumes")
	f.view.LogReachable = false
	code, _, errOut = f.run(rankOf("0", "1"), "apply", "-f", "-")
	assert.Equal(t, exit.Failure, code)
	assert.Contains(t, errOut, "log is unreachable")
	code, _, _ = f.run("", "get", "--no-such-flag")
	assert.Equal(t, exit.BadInput, code)
	code, _, errOut = f.run("", "--operator-token", "wrong", "get")
	assert.Equal(t, exit.Failure, code)
	assert.Contains(t, errOut, "token")
}

// Guards against queries that fail, or that hide what is not known, as a table.
func TestTablesOfQueries(t *testing.T) {
	f := newSystem(t)
	f.run(rankOf("0", "1"), "apply", "-f", "-")
	f.view.Tables = map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{state.NewPlacedSlice(keyspace.FullRange, "a", 9)})}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"describe", "rank", "r"}, `(?s)version: 1.*notKnown:.*host: lima-2`},
		{[]string{"status"}, `(?s)lima-1 .*not known: +lima-2.*at offset 1`},
		{[]string{"ownership", "almacen", "caja/7"}, `a +- +0 +0000000000000000-ffffffffffffffff +9 +yes`},
		{[]string{"ownership", "almacen", "caja/7", "--history"}, `(?s)9 +the change of owner is not in the rings.*lima-2.*lost: +lima-1`},
		{[]string{"timeline"}, `(?s)lease_gained.*slice_moved.*not known: +lima-2`},
		{[]string{"-o", "json", "timeline"}, `"overwritten": {`},
		{[]string{"completion", "bash"}, `parsleyctl`},
	} {
		code, out, errOut := f.run("", c.args...)
		assert.Equal(t, exit.OK, code, errOut)
		assert.Regexp(t, c.want, out)
	}
}

// Guards against a page that hides missing hosts or runs text from events.
func TestTimelinePage(t *testing.T) {
	f := newSystem(t)
	file := filepath.Join(t.TempDir(), "t.html")
	code, _, errOut := f.run("", "timeline", "--html", file)
	require.Equal(t, exit.OK, code, errOut)
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	page := string(data)
	assert.Equal(t, 2, strings.Count(page, "<circle"))
	assert.Contains(t, page, "lima-2 (zone ) did not respond")
	assert.Contains(t, page, "3 older events were overwritten")
	assert.NotContains(t, page, "<script>")
}

// writerFunc ends a watch once it has seen enough.
type writerFunc func(p []byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// Guards against a watch that gives up, or starts over, when its host fails.
func TestWatchResumesOnTheNextHost(t *testing.T) {
	f := newSystem(t)
	f.run(rankOf("0", "1"), "apply", "-f", "-")
	f.dead.Store(true) // from now on lima-1 aborts all calls
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var text string
	out := writerFunc(func(p []byte) (int, error) {
		text += string(p)
		if strings.Contains(text, "put") {
			cancel()
		}
		return len(p), nil
	})
	var errOut bytes.Buffer
	code := Run(ctx, []string{"parsleyctl", "--entry-hosts", strings.Join(f.urls, ","), "--operator-token", "secret", "watch", "--from", "0"}, nil, out, &errOut)
	assert.Equal(t, exit.OK, code, errOut.String())
	assert.Regexp(t, `1 +put +Rank +r`, text)
}
