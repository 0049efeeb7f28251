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

// fakeSystem serves the operator API of two hosts, lima-1 and lima-2, that share
// one log and one state. lima-2 does not respond to queries of its peers.
type fakeSystem struct {
	mu                       sync.Mutex
	state                    *state.State
	view                     *ownership.View
	viewReplaced             chan struct{}
	outcomes                 *commands.OutcomeStore
	history                  *queries.ChangeHistory
	appliedRecords           int
	hostURLs                 []string
	responsesToLose          atomic.Int32 // number of changes that lima-1 applies without responding
	firstHostFailsAfterApply atomic.Bool  // lima-1 aborts all calls once a record has been applied
}

func newFakeSystem(t *testing.T) *fakeSystem {
	f := &fakeSystem{state: state.New(), viewReplaced: make(chan struct{}), outcomes: commands.NewOutcomeStore(), history: queries.NewChangeHistory(),
		view: &ownership.View{StateComplete: true, LogReachable: true, SelfIncarnation: "i1",
			Resources: map[resource.Key]resource.Resource{},
			Members:   map[string]state.Member{"i1": {Host: "lima-1", Incarnation: "i1"}, "i2": {Host: "lima-2", Incarnation: "i2"}}}}
	router := chi.NewRouter()
	policy := bearer.Policy{Token: "secret"}
	commands.New(commands.Config{Proposer: f, Views: f, Outcomes: f.outcomes, WallClock: time.Now}).Mount(router, policy)
	queries.New(queries.Config{Views: f, Peers: f, Witnesses: f, History: f.history, WallClock: time.Now}).Mount(router, policy)
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && f.responsesToLose.Load() > 0 {
			f.responsesToLose.Add(-1)
			router.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if f.firstHostFailsAfterApply.Load() && f.appliedRecordCount() > 0 {
			panic(http.ErrAbortHandler)
		}
		router.ServeHTTP(w, r)
	}))
	second := httptest.NewServer(router)
	t.Cleanup(first.Close)
	t.Cleanup(second.Close)
	f.hostURLs = []string{first.URL, second.URL}
	return f
}

func (f *fakeSystem) Propose(r record.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := record.LogEntry{Offset: f.state.AppliedOffset() + 1, Record: r}
	effect, err := f.state.Apply(entry)
	if err != nil {
		panic(err)
	}
	f.appliedRecords++
	outcome := ownership.RecordOutcome{Entry: entry, TookEffect: effect.TookEffect, Reason: effect.Reason}
	view := *f.view
	view.AppliedOffset, view.Resources = entry.Offset, maps.Clone(view.Resources)
	switch body := r.Body.(type) {
	case record.ResourcePut:
		if current, ok := f.state.Resource(body.Resource.Key()); ok {
			view.Resources[body.Resource.Key()] = current
		}
	case record.ResourceDelete:
		if effect.TookEffect {
			delete(view.Resources, body.Key)
		}
	}
	f.outcomes.LogRecordApplied(outcome)
	f.history.LogRecordApplied(outcome)
	f.view = &view
	close(f.viewReplaced)
	f.viewReplaced = make(chan struct{})
	return true
}

func (f *fakeSystem) appliedRecordCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appliedRecords
}

func (f *fakeSystem) Current() (*ownership.View, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.viewReplaced
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

// run runs parsleyctl and returns its exit code, standard output and standard
// error.
func (f *fakeSystem) run(input string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	args = append([]string{"parsleyctl", "--entry-hosts", strings.Join(f.hostURLs, ","), "--operator-token", "secret",
		"--timeout", "2s", "--settle-timeout", "600ms"}, args...)
	code = Run(context.Background(), args, strings.NewReader(input), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const exampleManifest = "../../../examples/huaman.yaml"

// Guards against commands that do not match the operator API: a full sequence of
// apply, get, diff and delete runs against the real handlers.
func TestApplyGetDiffDelete(t *testing.T) {
	f := newFakeSystem(t)
	code, out, errOut := f.run("", "apply", "-f", exampleManifest)
	require.Equal(t, exit.OK, code, errOut)
	assert.Contains(t, out, "Server/almacen-15 accepted")
	appliedBefore := f.appliedRecords
	code, out, _ = f.run("", "apply", "-f", exampleManifest)
	assert.Equal(t, exit.OK, code)
	assert.Contains(t, out, "Rank/check unchanged")
	assert.Equal(t, appliedBefore, f.appliedRecords)
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

// rankTemplate is a manifest in which rankManifest replaces %v by the version and
// %l by the level.
const rankTemplate = `{"kind":"Rank","metadata":{"name":"r","version":%v},"spec":{"level":%l}}`

func rankManifest(version, level string) string {
	return strings.NewReplacer("%v", version, "%l", level).Replace(rankTemplate)
}

// Guards against a version conflict whose error does not show the current
// resource, so that the operator cannot see what was changed in the meantime.
func TestConflictShowsTheCurrentResource(t *testing.T) {
	f := newFakeSystem(t)
	f.run(rankManifest("0", "1"), "apply", "-f", "-")
	code, out, errOut := f.run(rankManifest("7", "2"), "apply", "-f", "-")
	assert.Equal(t, exit.Conflict, code, out)
	assert.Contains(t, errOut, `"spec":{"level":1}`)
}

// Guards against a change that is applied twice, or is reported as failed,
// because the response of the first host was lost.
func TestLostResponseIsResolvedByTheNextHost(t *testing.T) {
	f := newFakeSystem(t)
	f.responsesToLose.Store(1)
	code, out, errOut := f.run(rankManifest("0", "1"), "apply", "-f", "-")
	assert.Equal(t, exit.OK, code, errOut)
	assert.Contains(t, out, "Rank/r accepted (version 1)")
	assert.Equal(t, 1, f.appliedRecords)
}

// Guards against reporting a change as failed when its response was lost and no
// other host can be asked for the outcome.
func TestUnknownOutcomeHasItsOwnExitCode(t *testing.T) {
	f := newFakeSystem(t)
	f.hostURLs = f.hostURLs[:1]
	f.responsesToLose.Store(1)
	f.firstHostFailsAfterApply.Store(true)
	code, _, errOut := f.run(rankManifest("0", "1"), "apply", "-f", "-")
	assert.Equal(t, exit.OutcomeUnknown, code, errOut)
	assert.Contains(t, errOut, "GET /v1/changes/")
}

// Guards against wrong exit codes and incomplete messages: several findings in
// one manifest, a missing confirmation, an unreachable log, an unknown flag and a
// wrong token.
func TestFailuresHaveDocumentedExitCodes(t *testing.T) {
	f := newFakeSystem(t)
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
	code, _, errOut = f.run(rankManifest("0", "1"), "apply", "-f", "-")
	assert.Equal(t, exit.Failure, code)
	assert.Contains(t, errOut, "log is unreachable")
	code, _, _ = f.run("", "get", "--no-such-flag")
	assert.Equal(t, exit.BadInput, code)
	code, _, errOut = f.run("", "--operator-token", "wrong", "get")
	assert.Equal(t, exit.Failure, code)
	assert.Contains(t, errOut, "token")
}

// Guards against query tables that fail, or that leave out the hosts that did not
// respond.
func TestQueryTables(t *testing.T) {
	f := newFakeSystem(t)
	f.run(rankManifest("0", "1"), "apply", "-f", "-")
	f.view.Tables = map[string]*state.SliceTable{"almacen": state.NewSliceTable([]state.Slice{state.NewPlacedSlice(keyspace.FullRange, "a", 9)})}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"describe", "rank", "r"}, `(?s)version: 1.*notKnown:.*host: lima-2`},
		{[]string{"status"}, `(?s)lima-1 .*not known: +lima-2.*at offset 1`},
		{[]string{"ownership", "almacen", "caja/7"}, `a +- +0 +0000000000000000-ffffffffffffffff +9 +yes`},
		{[]string{"ownership", "almacen", "caja/7", "--history"}, `(?s)9 +the change of owner is not in the timelines.*lima-2.*lost: +lima-1`},
		{[]string{"timeline"}, `(?s)lease_gained.*slice_moved.*not known: +lima-2`},
		{[]string{"-o", "json", "timeline"}, `"overwritten": {`},
		{[]string{"completion", "bash"}, `parsleyctl`},
	} {
		code, out, errOut := f.run("", c.args...)
		assert.Equal(t, exit.OK, code, errOut)
		assert.Regexp(t, c.want, out)
	}
}

// Guards against a timeline page that leaves out hosts without a response or
// overwritten events, or that does not escape the text of events.
func TestTimelinePage(t *testing.T) {
	f := newFakeSystem(t)
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

// writerFunc lets a test act on output as it is written, such as to end a watch.
type writerFunc func(p []byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// Guards against a watch that gives up, or starts over, when its host fails.
func TestWatchResumesOnTheNextHost(t *testing.T) {
	f := newFakeSystem(t)
	f.run(rankManifest("0", "1"), "apply", "-f", "-")
	f.firstHostFailsAfterApply.Store(true) // the rank was applied, so lima-1 aborts all calls
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var printed string
	out := writerFunc(func(p []byte) (int, error) {
		printed += string(p)
		if strings.Contains(printed, "put") {
			cancel()
		}
		return len(p), nil
	})
	var errOut bytes.Buffer
	code := Run(ctx, []string{"parsleyctl", "--entry-hosts", strings.Join(f.hostURLs, ","), "--operator-token", "secret", "watch", "--from", "0"}, nil, out, &errOut)
	assert.Equal(t, exit.OK, code, errOut.String())
	assert.Regexp(t, `1 +put +Rank +r`, printed)
}
