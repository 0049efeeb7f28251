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
	"parsleyrelay.example/api/platformapi"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/standin/listen"
	"parsleyrelay.example/standin/platform"
	"parsleyrelay.example/standin/server"
)

// Paths of the two programs.
var binary, ctlBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "parsleyrelay")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "parsleyrelayd")
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

const token = "secret"

type fixture struct {
	t        *testing.T
	platform *platform.Platform
	log      *listen.Server
	journal  *server.Journal
	servers  []*server.Server
	sockets  []*listen.Server
	daemons  []*process
	env      []string // of all daemons
	scheme   string   // of callers and operators
	client   *http.Client
	specs    map[string]resource.Server
	versions map[string]uint64 // of the servers' resources
}

type process struct {
	name     string
	caller   string
	operator string
	metrics  string
	peer     string
	cmd      *exec.Cmd
	output   *lockedBuffer
	done     chan struct{}
	client   *http.Client
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

// newFixture starts hosts daemons and servers servers in one availability zone
// and applies their resources.
func newFixture(t *testing.T, hosts, servers int, options ...func(*fixture)) *fixture {
	return newFixtureOf(t, hosts, servers, 32, options...)
}

func newFixtureOf(t *testing.T, hosts, servers, slices int, options ...func(*fixture)) *fixture {
	f := &fixture{
		t: t, platform: platform.New(time.Now), journal: server.NewJournal(), scheme: "http",
		specs: map[string]resource.Server{}, versions: map[string]uint64{},
		client: &http.Client{Timeout: 10 * time.Second},
	}
	for _, option := range options {
		option(f)
	}
	var err error
	f.log, err = f.platform.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { f.log.Close() })
	f.put("urgent", &resource.Rank{Level: 0})
	f.put("casual", &resource.Rank{Level: 1, FloorPercent: 10})
	f.put("almacen", &resource.Service{Ranks: []string{"urgent", "casual"}, DefaultRank: "casual", Slices: slices, MaxBodyBytes: 1 << 20})
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
		require.Empty(t, f.journal.FindViolations(nil), "two owners or a doubled run at the servers")
	})
	return f
}

func (f *fixture) put(name string, spec resource.Spec) uint64 {
	return f.replace(name, spec, 0)
}

// replace puts a resource in the place of a version; 0 means that there is none.
func (f *fixture) replace(name string, spec resource.Spec, version uint64) uint64 {
	data, err := record.Marshal(record.Record{
		ID: uuid.NewString(), Proposer: "test", WallTimeMS: time.Now().UnixMilli(),
		Body: record.ResourcePut{Resource: resource.Resource{Name: name, Spec: spec}, ExpectedVersion: version, ChangeID: uuid.NewString()},
	})
	require.NoError(f.t, err)
	return f.platform.Append(data)
}

// drain sets spec.drain of a server.
func (f *fixture) drain(name string) {
	spec := f.specs[name]
	spec.Drain = true
	f.versions[name] = f.replace(name, &spec, f.versions[name])
}

func (f *fixture) startServer(name string) {
	s := server.New(server.Options{
		ServerName: name, ServiceName: "almacen", ChecksGrants: true, Slots: 6, Journal: f.journal,
		ServiceTime: server.Constant(2 * time.Millisecond),
	})
	l, err := s.Start("127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { s.Resume(); l.Close() })
	f.servers, f.sockets = append(f.servers, s), append(f.sockets, l)
	f.specs[name] = resource.Server{Service: "almacen", Zone: "ate", Address: l.URL(), Slots: 6, Connections: 110, ChecksGrants: true}
	spec := f.specs[name]
	f.versions[name] = f.put(name, &spec)
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startDaemon starts a daemon and waits until it listens. Another process can
// take an address between its choice and its use; then others are tried.
func (f *fixture) startDaemon(name string) *process {
	for range 10 {
		p := f.launch(name)
		if p.listens() {
			f.daemons = append(f.daemons, p)
			return p
		}
		require.Contains(f.t, p.output.String(), "address already in use")
	}
	require.FailNow(f.t, "no free addresses for "+name)
	return nil
}

// listens waits until the daemon reports its start (true) or ends (false).
func (p *process) listens() bool {
	for {
		select {
		case <-p.done:
			return false
		case <-time.After(5 * time.Millisecond):
			if strings.Contains(p.output.String(), "name=process_started") {
				return true
			}
		}
	}
}

// launch starts a daemon on addresses that were free a moment ago.
func (f *fixture) launch(name string) *process {
	p := &process{name: name, output: &lockedBuffer{}, done: make(chan struct{}), client: f.client}
	caller, operator, metrics, peer := freeAddress(f.t), freeAddress(f.t), freeAddress(f.t), freeAddress(f.t)
	p.peer = "http://" + peer
	p.caller, p.operator, p.metrics = f.scheme+"://"+caller, f.scheme+"://"+operator, "http://"+metrics+"/metrics"
	p.cmd = exec.Command(binary, "run", "--host", name, "--availability-zone", "ate",
		"--caller-address", caller, "--operator-address", operator,
		"--peer-address", peer, "--metrics-address", metrics)
	p.cmd.Env = append(os.Environ(), "PARSLEYRELAY_PLATFORM_URL="+f.log.URL(), "PARSLEYRELAY_OPERATOR_TOKEN="+token)
	p.cmd.Env = append(p.cmd.Env, f.env...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	require.NoError(f.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// answer is what a caller sees.
type answer struct {
	status  int
	outcome callerapi.Outcome
	reason  callerapi.Reason
	body    string
	err     error
}

type call struct {
	method string
	key    string
	body   string
	header map[string]string
	path   string
}

func (p *process) send(c call) answer {
	if c.method == "" {
		c.method = http.MethodGet
	}
	if c.path == "" {
		c.path = "/v1/almacen/" + c.key + "/item"
	}
	r, err := http.NewRequest(c.method, p.caller+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	resp, err := p.client.Do(r)
	if err != nil {
		return answer{err: err, outcome: callerapi.OutcomeUnknown}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, body: string(body), err: err,
		outcome: callerapi.Outcome(resp.Header.Get(callerapi.HeaderOutcome)),
		reason:  callerapi.Reason(resp.Header.Get(callerapi.HeaderReason)),
	}
}

// testKeys are enough for every server to own some of them.
func testKeys() []string {
	keys := make([]string, 40)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	return keys
}

// awaitServing waits until all keys are served through p and returns the time it took.
func (f *fixture) awaitServing(p *process, bound time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for _, key := range testKeys() {
		for {
			a := p.send(call{key: key, header: map[string]string{callerapi.HeaderDeadlineMS: "1000"}})
			if a.outcome == callerapi.OutcomeDone {
				break
			}
			if time.Since(began) > bound {
				require.FailNowf(f.t, "not served", "key %s after %v: %+v", key, bound, a)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}
