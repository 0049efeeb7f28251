// Package e2e tests the daemon as separate processes against in-process
// stand-ins of the platform and of backend servers.
package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/standin/listen"
	"parsleyrelay.example/standin/platform"
	"parsleyrelay.example/standin/server"
)

// Paths of the two programs.
var daemonBinary, ctlBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "parsleyrelay")
	if err != nil {
		panic(err)
	}
	daemonBinary = filepath.Join(dir, "parsleyrelayd")
	ctlBinary = filepath.Join(dir, "parsleyctl")
	build := exec.Command("go", "build", "-o", dir, "parsleyrelay.example/cmd/parsleyrelayd", "parsleyrelay.example/cmd/parsleyctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const operatorToken = "secret"

type fixture struct {
	t                *testing.T
	platform         *platform.Platform
	platformListener *listen.Server
	journal          *server.Journal
	servers          []*server.Server
	serverListeners  []*listen.Server
	daemons          []*daemonProcess
	daemonEnv        []string // added to the environment of every daemon
	scheme           string   // of the caller and operator URLs
	client           *http.Client
	serverSpecs      map[string]resource.Server
	serverVersions   map[string]uint64 // versions of the servers' resources
}

type daemonProcess struct {
	name        string
	callerURL   string
	operatorURL string
	metricsURL  string
	peerURL     string
	cmd         *exec.Cmd
	output      *lockedBuffer
	exited      chan struct{}
	client      *http.Client
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newFixture declares the ranks, a service and its servers, and starts the given
// numbers of entry hosts and backend servers in one availability zone.
func newFixture(t *testing.T, hosts, servers int, options ...func(*fixture)) *fixture {
	return newFixtureWithSlices(t, hosts, servers, 32, options...)
}

func newFixtureWithSlices(t *testing.T, hosts, servers, slices int, options ...func(*fixture)) *fixture {
	f := &fixture{
		t: t, platform: platform.New(time.Now), journal: server.NewJournal(), scheme: "http",
		serverSpecs: map[string]resource.Server{}, serverVersions: map[string]uint64{},
		client: &http.Client{Timeout: 10 * time.Second},
	}
	for _, option := range options {
		option(f)
	}
	var err error
	f.platformListener, err = f.platform.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { f.platformListener.Close() })
	f.putResource("urgent", &resource.Rank{Level: 0})
	f.putResource("casual", &resource.Rank{Level: 1, FloorPercent: 10})
	f.putResource("almacen", &resource.Service{Ranks: []string{"urgent", "casual"}, DefaultRank: "casual", Slices: slices, MaxBodyBytes: 1 << 20})
	for i := range servers {
		f.startServer(fmt.Sprintf("almacen-%d", i))
	}
	var list []platformapi.Host
	for i := range hosts {
		f.startDaemon(fmt.Sprintf("entry-%d", i))
		list = append(list, platformapi.Host{Name: f.daemons[i].name, State: platformapi.HostLive})
	}
	f.platform.SetHosts(list...)
	t.Cleanup(func() {
		for _, p := range f.daemons {
			p.kill()
			if t.Failed() {
				t.Logf("%s:\n%s", p.name, p.output)
			}
		}
		require.Empty(t, f.journal.FindViolations(nil), "a key had two owners or a request ran twice")
	})
	return f
}

func (f *fixture) putResource(name string, spec resource.Spec) uint64 {
	return f.replaceResource(name, spec, 0)
}

// replaceResource replaces the given version of a resource and returns the new
// version; version 0 creates the resource.
func (f *fixture) replaceResource(name string, spec resource.Spec, version uint64) uint64 {
	data, err := record.Marshal(record.Record{
		ID: uuid.NewString(), Proposer: "test", WallTimeMS: time.Now().UnixMilli(),
		Body: record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}, ExpectedVersion: version, ChangeID: uuid.NewString()},
	})
	require.NoError(f.t, err)
	return f.platform.Append(data)
}

// drainServer sets spec.drain of a server.
func (f *fixture) drainServer(name string) {
	spec := f.serverSpecs[name]
	spec.Drain = true
	f.serverVersions[name] = f.replaceResource(name, &spec, f.serverVersions[name])
}

func (f *fixture) startServer(name string) {
	s := server.New(server.Options{
		ServerName: name, ServiceName: "almacen", ChecksGrants: true, Slots: 6, Journal: f.journal,
		ServiceTime: server.Constant(2 * time.Millisecond),
	})
	l, err := s.Start("127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { s.Resume(); l.Close() })
	f.servers, f.serverListeners = append(f.servers, s), append(f.serverListeners, l)
	f.serverSpecs[name] = resource.Server{Service: "almacen", Zone: "ate", Address: l.URL(), Slots: 6, Connections: 110, ChecksGrants: true}
	spec := f.serverSpecs[name]
	f.serverVersions[name] = f.putResource(name, &spec)
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startDaemon starts a daemon and waits until it listens. It retries with other
// addresses if another process has taken one since freeAddress chose it.
func (f *fixture) startDaemon(name string) *daemonProcess {
	for range 10 {
		p := f.startProcess(name)
		if p.awaitStart() {
			f.daemons = append(f.daemons, p)
			return p
		}
		require.Contains(f.t, p.output.String(), "address already in use")
	}
	require.FailNow(f.t, "found no free addresses for "+name)
	return nil
}

// awaitStart waits until the daemon logs its start and returns true, or returns
// false if the process exits first.
func (p *daemonProcess) awaitStart() bool {
	for {
		select {
		case <-p.exited:
			return false
		case <-time.After(5 * time.Millisecond):
			if strings.Contains(p.output.String(), "name=process_started") {
				return true
			}
		}
	}
}

// startProcess starts the process of a daemon with free addresses. Unlike
// startDaemon, it does not wait until the daemon listens.
func (f *fixture) startProcess(name string) *daemonProcess {
	p := &daemonProcess{name: name, output: &lockedBuffer{}, exited: make(chan struct{}), client: f.client}
	caller, operator, metrics, peer := freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), freeAddress(f.t)
	p.peerURL = "http://" + peer
	p.callerURL, p.operatorURL, p.metricsURL = f.scheme+"://"+caller, f.scheme+"://"+operator, "http://"+metrics+"/metrics"
	p.cmd = exec.Command(daemonBinary, "run", "--host", name, "--availability-zone", "ate",
		"--caller-address", caller, "--operator-address", operator,
		"--peer-address", peer, "--metrics-address", metrics)
	p.cmd.Env = append(os.Environ(), "PARSLEYRELAY_PLATFORM_URL="+f.platformListener.URL(), "PARSLEYRELAY_OPERATOR_TOKEN="+operatorToken)
	p.cmd.Env = append(p.cmd.Env, f.daemonEnv...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	require.NoError(f.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

func (p *daemonProcess) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *daemonProcess) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitFor returns true once condition does, or false after startTimeout. It calls
// condition on the goroutine of the test: with require.Eventually, a failed require in
// the condition would end only the goroutine of the condition.
func waitFor(condition func() bool) bool {
	for end := time.Now().Add(startTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// awaitWitnessSet waits until every daemon knows a witness set of the given size that
// has no successor pending. Until then the loss of one daemon may take the majority
// of the former, smaller set.
func (f *fixture) awaitWitnessSet(size int) {
	f.t.Helper()
	for _, p := range f.daemons {
		require.True(f.t, waitFor(func() bool {
			var status operatorapi.Status
			p.sendOperatorRequest(f.t, http.MethodGet, "/v1/status", "", &status)
			return len(status.WitnessSets) == 1 && len(status.WitnessSets[0].Current) == size && len(status.WitnessSets[0].Pending) == 0
		}), "%s knows no witness set of %d hosts", p.name, size)
	}
}

// response is the response that a caller gets, or the error.
type response struct {
	status  int
	outcome callerapi.Outcome
	reason  callerapi.Reason
	body    string
	err     error
}

type request struct {
	method string
	key    string
	body   string
	header map[string]string
	path   string
}

func (p *daemonProcess) sendRequest(req request) response {
	if req.method == "" {
		req.method = http.MethodGet
	}
	if req.path == "" {
		req.path = "/v1/almacen/" + req.key + "/item"
	}
	r, err := http.NewRequest(req.method, p.callerURL+req.path, strings.NewReader(req.body))
	if err != nil {
		return response{err: err}
	}
	for name, value := range req.header {
		r.Header.Set(name, value)
	}
	resp, err := p.client.Do(r)
	if err != nil {
		return response{err: err, outcome: callerapi.OutcomeUnknown}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, body: string(body), err: err,
		outcome: callerapi.Outcome(resp.Header.Get(callerapi.HeaderOutcome)),
		reason:  callerapi.Reason(resp.Header.Get(callerapi.HeaderReason)),
	}
}

// testKeys returns enough keys for every server to own some of them.
func testKeys() []string {
	keys := make([]string, 40)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	return keys
}

// awaitServing waits until requests for all test keys succeed through p and returns
// the time that this took.
func (f *fixture) awaitServing(p *daemonProcess, timeout time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for _, key := range testKeys() {
		for {
			resp := p.sendRequest(request{key: key, header: map[string]string{callerapi.HeaderDeadlineMS: "1000"}})
			if resp.outcome == callerapi.OutcomeDone {
				break
			}
			if time.Since(began) > timeout {
				require.FailNowf(f.t, "not served", "key %s after %v: %+v", key, timeout, resp)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}
