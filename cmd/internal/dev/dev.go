package dev

import (
	"context"
	"fmt"
	"io"
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
	// LoseServer stops a backend server at half of the duration.
	LoseServer bool
	Seed       uint64
	Out        io.Writer
	Logger     log.Logger
}

// InvariantError reports a broken invariant.
type InvariantError struct {
	DoubleOwner, DoubleRun int
	First                  string // one of the violations
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("%d keys had two owners and %d orders ran twice, for example %s", e.DoubleOwner, e.DoubleRun, e.First)
}

// startTimeout bounds the time until all keys are served.
const startTimeout = 20 * time.Second

// Run starts the deployment and, with a duration, sends the load and reports.
func Run(ctx context.Context, opts Options) error {
	d, err := start(context.WithoutCancel(ctx), opts.Logger)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return err
	}
	if err := d.apply(); err != nil {
		return err
	}
	l := newLoad(d.hosts)
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	if err := d.awaitServing(startCtx, l.probe); err != nil {
		return err
	}
	fmt.Fprintf(opts.Out, "%d entry hosts and %d backend servers in zones %v serve after %d ms\n",
		len(d.hosts), len(d.servers), zones, time.Since(began).Milliseconds())
	if opts.Duration == 0 {
		d.printAddresses(opts.Out)
		<-ctx.Done()
		return nil
	}
	d.drive(ctx, l, opts)
	l.printTable(opts.Out)
	return d.verdict(l, opts.Out)
}

// probe asks for one key per server through a host.
func (l *load) probe(ctx context.Context, host *entryHost) bool {
	for i := range 3 * len(zones) * serversPerZone {
		if l.request(ctx, host, "casual", fmt.Sprintf("key-%d", i)) != callerapi.Done {
			return false
		}
	}
	return true
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
			if opts.LoseServer {
				lost := d.servers[0]
				fmt.Fprintf(opts.Out, "stopping backend server %s\n", lost.name)
				lost.server.Freeze()
				lost.listener.Close()
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
	for _, v := range d.journal.Check(nil) {
		if v.Rule == server.RuleDoubleRun {
			result.DoubleRun++
		} else {
			result.DoubleOwner++
		}
		result.First = v.String()
	}
	fmt.Fprintf(w, "double_owner=%d double_run=%d unavailable_ms_max=%d\n",
		result.DoubleOwner, result.DoubleRun, l.unavailableMax.Milliseconds())
	if result.DoubleOwner+result.DoubleRun > 0 {
		return result
	}
	return nil
}

func (d *deployment) printAddresses(w io.Writer) {
	for _, h := range d.hosts {
		fmt.Fprintf(w, "%s (zone %s): callers %s operators %s\n", h.name, h.zone, h.caller, h.operator)
	}
	fmt.Fprintf(w, "operator token: %s\n", operatorToken)
}
