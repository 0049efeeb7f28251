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

// Options of the demonstration.
type Options struct {
	// Duration of the load; 0 keeps the deployment running without load until
	// the context ends.
	Duration time.Duration
	// StopServer stops a backend server at half of the duration.
	StopServer bool
	Seed       uint64
	Out        io.Writer
	Logger     log.Logger

	Profile       string        // a site of design 2.1, empty for the small demonstration
	ServerDivisor int           // divides the numbers of servers, for small machines
	HostsPerZone  int           // 0 for that of the profile
	ServiceTime   time.Duration // mean, 0 for that of the profile
	// ConstantServiceTime makes all requests take ServiceTime; otherwise service times
	// are exponential, whose spread hides the cost of the router.
	ConstantServiceTime bool
	// CPUProfile is written until ctx ends, unless it is nil.
	CPUProfile io.Writer
	PolicyOff  bool // baseline: one FIFO queue per server
	// ExternalHosts leaves the entry hosts to be started as processes of their own.
	ExternalHosts bool
	// StopServerAfter stops a backend server of the first service this long
	// after the deployment serves, or after its start with ExternalHosts.
	// 0 means never; it applies without Duration.
	StopServerAfter time.Duration
	// DirectServer starts one more server, which the router does not know and
	// which takes requests without grants, to compare direct calls with.
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

// startTimeout bounds the time until all keys are served.
const startTimeout = 20 * time.Second

// Run starts the deployment and, with a duration, sends the load and reports.
func Run(ctx context.Context, opts Options) error {
	d, err := start(context.WithoutCancel(ctx), opts)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return err
	}
	if err := d.apply(); err != nil {
		return err
	}
	if opts.DirectServer {
		direct, err := d.startServer("direct", d.site.services[0].name, d.site.zones[0], 0, false)
		if err != nil {
			return err
		}
		defer direct.listener.Close()
		fmt.Fprintf(opts.Out, "direct server: %s\n", direct.listener.URL())
	}
	l := newLoad(d.hosts)
	if !opts.ExternalHosts {
		startCtx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		began := time.Now()
		if err := d.awaitServing(startCtx, func(ctx context.Context, h *entryHost) bool { return l.probe(ctx, h, d.site) }); err != nil {
			return err
		}
		fmt.Fprintf(opts.Out, "%d entry hosts and %d backend servers in zones %v serve after %d ms\n",
			len(d.hosts), len(d.servers), d.site.zones, time.Since(began).Milliseconds())
	}
	if opts.Duration == 0 {
		d.printAddresses(opts.Out)
		if opts.CPUProfile != nil {
			if err := pprof.StartCPUProfile(opts.CPUProfile); err != nil {
				return err
			}
			defer pprof.StopCPUProfile()
		}
		d.await(ctx)
		return d.verdict(l, opts.Out)
	}
	d.drive(ctx, l, opts)
	l.printTable(opts.Out)
	return d.verdict(l, opts.Out)
}

// await waits for the end of ctx and loses a server on the way if asked to.
func (d *deployment) await(ctx context.Context) {
	var lose <-chan time.Time
	if d.opts.StopServerAfter > 0 {
		lose = time.After(d.opts.StopServerAfter)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-lose:
			d.loseServer()
		}
	}
}

func (d *deployment) loseServer() {
	lost := d.servers[0]
	fmt.Fprintf(d.opts.Out, "stopping backend server %s\n", lost.name)
	lost.server.Pause()
	lost.listener.Close()
}

// probe asks for a few keys per server of each service through a host.
func (l *load) probe(ctx context.Context, host *entryHost, of site) bool {
	var failed atomic.Bool
	var pending sync.WaitGroup
	for _, service := range of.services {
		for i := range 3 * service.servers {
			pending.Go(func() {
				if l.request(ctx, host, service.name, "", fmt.Sprintf("key-%d", i)) != callerapi.OutcomeDone {
					failed.Store(true)
				}
			})
		}
	}
	pending.Wait()
	return !failed.Load()
}

func (d *deployment) drive(ctx context.Context, l *load, opts Options) {
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		l.run(ctx, opts.Seed)
	}()
	lose := time.After(opts.Duration / 2)
	progress := time.NewTicker(2 * time.Second)
	defer progress.Stop()
	for {
		select {
		case <-finished:
			return
		case <-progress.C:
			l.printProgress(opts.Out)
		case <-lose:
			if opts.StopServer {
				d.loseServer()
			}
		}
	}
}

func (l *load) printProgress(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offered, done := 0, 0
	for _, r := range l.ranks {
		offered += r.offered
		done += r.done
	}
	fmt.Fprintf(w, "offered %d, done %d\n", offered, done)
}

func (l *load) printTable(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rank\toffered\tdone\tnot run\tunknown\tp50 ms\tp99 ms\t")
	for _, share := range rankShares {
		r := l.ranks[share.name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", share.name, r.offered, r.done, r.notRun, r.unknown,
			float64(r.latency.ValueAtQuantile(50))/1000, float64(r.latency.ValueAtQuantile(99))/1000)
	}
	_ = table.Flush()
}

// verdict checks what the servers saw, not what the router says.
func (d *deployment) verdict(l *load, w io.Writer) error {
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
		result.DuplicateOwners, result.DuplicateExecutions, l.unavailableMax.Milliseconds())
	if result.DuplicateOwners+result.DuplicateExecutions > 0 {
		return result
	}
	return nil
}

// printAddresses ends with what parsleyctl load needs.
func (d *deployment) printAddresses(w io.Writer) {
	var callers []string
	for _, h := range d.hosts {
		fmt.Fprintf(w, "%s (zone %s): callers %s operators %s\n", h.name, h.zone, h.caller, h.operator)
		callers = append(callers, h.caller)
	}
	fmt.Fprintf(w, "operator token: %s\nplatform: %s\n", operatorToken, d.listener.URL())
	for _, s := range d.site.services {
		fmt.Fprintf(w, "service %s: %d servers with %d slots of %v, %.0f requests/s\n", s.name, s.servers, d.site.slots, d.site.serviceTime, d.site.capacity(s))
	}
	if d.opts.ServerDivisor > 1 {
		fmt.Fprintf(w, "the numbers of servers are those of the site divided by %d\n", d.opts.ServerDivisor)
	}
	if d.opts.Profile != "" && len(callers) > 0 {
		fmt.Fprintf(w, "parsleyctl load --profile %s --capacity %.0f --caller-hosts %s\n",
			d.opts.Profile, d.site.capacity(d.site.services[0]), strings.Join(callers, ","))
	}
}
