// Package main runs the scripts of the review. It starts entry hosts as separate
// processes with the command of deploy/system.toml, and plays the platform, the backend
// servers and the callers on loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"parsleyrelay.example/platform/standin"
)

// Settings of the small deployments.
const (
	memoryMB     = 284
	linkBytes    = 125_000_000 // bytes a second of a link with 1,000 Mbit/s
	heartbeat    = 1500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	hostName     = "review.example"
)

// record is the text of record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// deployment is a store, entry hosts and backend servers.
type deployment struct {
	record  *record
	dir     string
	store   *standin.Store
	address string // of the store
	hosts   []*host
	sentTo  sync.Map // attempt: *host
}

// hostOf returns the host that got an attempt from its caller.
func (d *deployment) hostOf(attempt string) *host {
	h, _ := d.sentTo.Load(attempt)
	found, _ := h.(*host)
	return found
}

// started is the deployment of this process.
var started *deployment

// newDeployment starts the store.
func newDeployment(caseDir string) (*deployment, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: &record{file: f, begin: time.Now()}, dir: dir, store: standin.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = l.Addr().String()
	go func() { _ = http.Serve(l, d.store.Handler()) }()
	started = d
	return d, nil
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             float64 // seconds
	priority, attempts          int
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int, routes []route, services map[string]bool, maxBodyBytes int) {
	var list, named []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "host": hostName, "pathPrefix": r.prefix, "kind": r.kind, "timeoutS": r.timeout,
			"targetLatencyS": r.target, "priority": r.priority, "service": r.service, "maxAttempts": r.attempts})
	}
	for name, keyed := range services {
		named = append(named, map[string]any{"name": name, "healthPath": "/health", "maxConns": 46, "protocol": "h1", "tls": false, "sharded": keyed, "grants": "call"})
	}
	value, err := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "routes": list, "services": named,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutS": 3, "idleTimeoutS": 15}})
	if err != nil {
		panic(err)
	}
	d.store.Put("keyed.op", "config", value)
}

// host is an entry host. A process that ends is started again, as on the platform.
type host struct {
	d                       *deployment
	name, zone              string
	listen, ready, internal string
	link                    link // for endless answers
	uploads                 link // for bodies of callers
	mu                      sync.Mutex
	process                 *os.Process
	memoryKills, otherEnds  int
	peakMB                  int
	stopping                bool
	expectedEnd             bool
}

var nextPort = rand.IntN(12000)

// freeAddress returns a loopback address with a port that is free now, below the range
// from which the system takes the ports of outgoing connections.
func freeAddress() string {
	for range 2000 {
		nextPort++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort%12000+20000))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("no free port")
}

// addHost starts an entry host with the command of deploy/system.toml.
func (d *deployment) addHost(name, zone string) *host {
	h := &host{d: d, name: name, zone: zone, listen: freeAddress(), ready: freeAddress(), internal: freeAddress()}
	d.hosts = append(d.hosts, h)
	h.start()
	return h
}

func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return
	}
	_, port, _ := net.SplitHostPort(h.internal)
	c := exec.Command("target/parsleyrelayd", "serve", "--host", h.name, "--availability-zone", h.zone, "--address", "127.0.0.1", "--listen", h.listen,
		"--listen-ready", h.ready, "--internal-port", port, "--store", h.d.address, "--processor-share", "0.32", "--memory-mb", strconv.Itoa(memoryMB),
		"--grace-time", "6s", "--hold-max", "10s", "--retry-ratio", "0.2", "--retry-slack", "64", "--retry-window", "10s", "--renewal-interval", "1.5s",
		"--config-apply-time", "2s", "--drain-time", "2s")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.d.dir, "LANG=C.UTF-8"}
	out, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		h.d.record.log("host %s: cannot start: %v", h.name, err)
		_ = out.Close()
		return
	}
	h.process = c.Process
	h.d.record.log("host %s: process %d started", h.name, c.Process.Pid)
	over := make(chan struct{})
	done := make(chan struct{})
	go h.limitMemory(c.Process.Pid, over, done)
	go func() {
		err := c.Wait()
		close(done)
		_ = out.Close()
		h.mu.Lock()
		h.process = nil
		stopping := h.stopping
		select {
		case <-over:
			h.memoryKills++
			h.d.record.log("host %s: process ended over its memory limit (end %d)", h.name, h.memoryKills)
		default:
			if !stopping && !h.expectedEnd {
				h.otherEnds++
				h.d.record.log("host %s: process ended by itself: %v", h.name, err)
			}
			h.expectedEnd = false
		}
		h.mu.Unlock()
		if !stopping {
			time.Sleep(restartDelay)
			h.start()
		}
	}()
}

// limitMemory kills a process whose resident memory exceeds the limit, as the platform
// does.
func (h *host) limitMemory(pid int, over, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := residentMB(pid)
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		h.mu.Unlock()
		if mb > memoryMB {
			close(over)
			h.d.record.log("host %s: %d MB resident, limit %d MB: killed", h.name, mb, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := bytes.Cut(data, []byte("VmRSS:"))
	if !found {
		return 0
	}
	fields := bytes.Fields(rest)
	kb, _ := strconv.Atoi(string(fields[0]))
	return kb / 1024
}

// signal sends a signal to the running process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.expectedEnd = h.expectedEnd || s == syscall.SIGTERM || s == syscall.SIGKILL
		_ = h.process.Signal(s)
	}
}

// isReady asks the readiness check of the host.
func (h *host) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (d *deployment) waitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, h := range d.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.mu.Lock()
		h.stopping = true
		p := h.process
		h.mu.Unlock()
		if p != nil {
			_ = p.Signal(syscall.SIGCONT)
			_ = p.Kill()
		}
	}
	for _, h := range d.hosts {
		for range 100 {
			h.mu.Lock()
			running := h.process != nil
			h.mu.Unlock()
			if !running {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// spells reports whether a disruption is on: it comes in spells of a length, with pauses.
type spells struct {
	begin         time.Time
	length, pause time.Duration
}

func (s spells) on() bool {
	return time.Since(s.begin)%(s.length+s.pause) < s.length
}
