package dev

import (
	"context"
	"fmt"
	"io"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/go-kit/log"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/standin/server"
)

// Options configures the demonstration.
type Options struct {
	// Duration of the load; 0 keeps the deployment running without load until
	// the context ends, see Run.
	Duration time.Duration
	// StopServerAtHalf stops a backend server at half of Duration. Ignored if
	// Duration is 0.
	StopServerAtHalf bool
	Seed             uint64
	Out              io.Writer
	Logger           log.Logger

	Profile       string        // name of a site (docs/design.md, section 2.1); empty for the small demonstration
	ServerDivisor int           // divides the numbers of servers, for small machines
	HostsPerZone  int           // 0 for the number in the profile
	ServiceTime   time.Duration // mean; 0 for the mean of the profile
	// ConstantServiceTime makes all requests take ServiceTime. Otherwise service
	// times are exponentially distributed, and their variance hides the latency
	// that the router adds.
	ConstantServiceTime bool
	// CPUProfile, unless it is nil, receives a CPU profile that ends with the
	// context. Ignored unless Duration is 0.
	CPUProfile io.Writer
	PolicyOff  bool // baseline: one FIFO queue per server
	// ExternalHosts starts no entry hosts in this process. They are started as
	// separate processes that use the printed platform address.
	ExternalHosts bool
	// StopServerAfter stops a backend server of the first service this long
	// after the deployment serves requests or, with ExternalHosts, after its
	// start. 0 means never. Ignored unless Duration is 0.
	StopServerAfter time.Duration
	// DirectServer starts one more server, which is not declared to the router and
	// accepts requests without grants, to compare direct with routed requests.
	DirectServer bool
}

// InvariantError reports keys with two owners and requests that ran twice.
type InvariantError struct {
	DuplicateOwners, DuplicateExecutions int
	Example                              string // description of one violation
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("%d keys had two owners and %d orders ran twice, for example %s", e.DuplicateOwners, e.DuplicateExecutions, e.Example)
}

// startTimeout limits the time until all entry hosts serve requests.
const startTimeout = 20 * time.Second

// Run starts the deployment. If Duration is set, it sends the load for that time and
// prints the results. Otherwise it prints the addresses and serves requests until
// ctx ends. In both cases it returns an *InvariantError if the journal of the
// servers shows violations.
func Run(ctx context.Context, opts Options) error {
	d, err := startDeployment(context.WithoutCancel(ctx), opts)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return err
	}
	if err := d.applyResources(); err != nil {
		return err
	}
	if opts.DirectServer {
		direct, err := d.startServer("direct", d.profile.services[0].name, d.profile.zones[0], 0, false)
		if err != nil {
			return err
		}
		defer direct.listener.Close()
		fmt.Fprintf(opts.Out, "direct server: %s\n", direct.listener.URL())
	}
	l := newLoadGenerator(d.hosts)
	if !opts.ExternalHosts {
		startCtx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		began := time.Now()
		if err := d.awaitServing(startCtx, func(ctx context.Context, h *entryHost) bool { return l.probeHost(ctx, h, d.profile) }); err != nil {
			return err
		}
		fmt.Fprintf(opts.Out, "%d entry hosts and %d backend servers in zones %v serve after %d ms\n",
			len(d.hosts), len(d.servers), d.profile.zones, time.Since(began).Milliseconds())
	}
	if opts.Duration == 0 {
		d.printAddresses(opts.Out)
		if opts.CPUProfile != nil {
			if err := pprof.StartCPUProfile(opts.CPUProfile); err != nil {
				return err
			}
			defer pprof.StopCPUProfile()
		}
		d.waitForShutdown(ctx)
		return d.checkInvariants(l, opts.Out)
	}
	d.runLoad(ctx, l, opts)
	l.countUnavailableAt(time.Now())
	l.printTable(opts.Out)
	return d.checkInvariants(l, opts.Out)
}

// waitForShutdown waits until ctx ends and stops a server after StopServerAfter.
func (d *deployment) waitForShutdown(ctx context.Context) {
	var stopTime <-chan time.Time
	if d.opts.StopServerAfter > 0 {
		stopTime = time.After(d.opts.StopServerAfter)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopTime:
			d.stopFirstServer()
		}
	}
}

func (d *deployment) stopFirstServer() {
	stopped := d.servers[0]
	fmt.Fprintf(d.opts.Out, "stopping backend server %s\n", stopped.name)
	stopped.server.Pause()
	stopped.listener.Close()
}

// probeHost reports whether requests for three keys per server of each service
// all succeed through host.
func (l *loadGenerator) probeHost(ctx context.Context, host *entryHost, profile siteProfile) bool {
	var failed atomic.Bool
	var pending sync.WaitGroup
	for _, service := range profile.services {
		for i := range 3 * service.servers {
			pending.Go(func() {
				if l.sendRequest(ctx, host, service.name, "", fmt.Sprintf("key-%d", i)) != callerapi.OutcomeDone {
					failed.Store(true)
				}
			})
		}
	}
	pending.Wait()
	return !failed.Load()
}

func (d *deployment) runLoad(ctx context.Context, l *loadGenerator, opts Options) {
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.run(ctx, opts.Seed)
	}()
	stopTime := time.After(opts.Duration / 2)
	progress := time.NewTicker(2 * time.Second)
	defer progress.Stop()
	for {
		select {
		case <-finished:
			return
		case <-progress.C:
			l.printProgress(opts.Out)
		case <-stopTime:
			if opts.StopServerAtHalf {
				d.stopFirstServer()
			}
		}
	}
}

func (l *loadGenerator) printProgress(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offered, done := 0, 0
	for _, r := range l.resultsByRank {
		offered += r.offered
		done += r.done
	}
	fmt.Fprintf(w, "offered %d, done %d\n", offered, done)
}

func (l *loadGenerator) printTable(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rank\toffered\tdone\tnot run\tunknown\tp50 ms\tp99 ms\t")
	for _, share := range rankShares {
		r := l.resultsByRank[share.name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", share.name, r.offered, r.done, r.notRun, r.unknown,
			float64(r.latency.ValueAtQuantile(50))/1000, float64(r.latency.ValueAtQuantile(99))/1000)
	}
	_ = table.Flush()
}

// checkInvariants counts the violations in the journal of the servers, prints the
// counts and the longest time that a key was unavailable in the built-in load, and
// returns the violations as an *InvariantError.
// It uses no data of the router, which would not show the router's own faults.
func (d *deployment) checkInvariants(l *loadGenerator, w io.Writer) error {
	result := &InvariantError{}
	for _, v := range d.journal.FindViolations(nil) {
		if v.Rule == server.RuleDuplicateExecution {
			result.DuplicateExecutions++
		} else {
			result.DuplicateOwners++
		}
		result.Example = v.String()
	}
	fmt.Fprintf(w, "double_owner=%d double_run=%d unavailable_ms_max=%d\n",
		result.DuplicateOwners, result.DuplicateExecutions, l.maxUnavailable.Milliseconds())
	if result.DuplicateOwners+result.DuplicateExecutions > 0 {
		return result
	}
	return nil
}

// printAddresses prints the addresses and the size of the deployment and, with a
// profile, the command line that sends load to it.
func (d *deployment) printAddresses(w io.Writer) {
	var callers []string
	for _, h := range d.hosts {
		fmt.Fprintf(w, "%s (zone %s): callers %s operators %s\n", h.name, h.zone, h.callerURL, h.operatorURL)
		callers = append(callers, h.callerURL)
	}
	fmt.Fprintf(w, "operator token: %s\nplatform: %s\n", operatorToken, d.listener.URL())
	for _, s := range d.profile.services {
		fmt.Fprintf(w, "service %s: %d servers with %d slots of %v, %.0f requests/s\n", s.name, s.servers, d.profile.slots, d.profile.serviceTime, d.profile.capacity(s))
	}
	if d.opts.ServerDivisor > 1 {
		fmt.Fprintf(w, "the numbers of servers are those of the site divided by %d\n", d.opts.ServerDivisor)
	}
	if d.opts.Profile != "" && len(callers) > 0 {
		fmt.Fprintf(w, "parsleyctl load --profile %s --capacity %.0f --caller-hosts %s\n",
			d.opts.Profile, d.profile.capacity(d.profile.services[0]), strings.Join(callers, ","))
	}
}
