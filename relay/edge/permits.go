package edge

import (
	"context"
	"sync"
	"time"

	"parsleyrelay.example/core/directory"
	"parsleyrelay.example/core/dispatch"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/warmup"
)

// This file limits the requests to cold servers. It connects the dispatch pools with
// warmup.Borrower, and calls the lending host for permits.

// Warmup configures the limit for cold servers. There is none if Factor is 0 or Borrow is
// nil, or at services without a warm-up rate.
type Warmup struct {
	Factor, Slack float64 // see warmup.Limit
	// Borrow asks the leading host for permits. lending is false if no host lends.
	Borrow func(ctx context.Context, demands []warmup.Demand) (grants []warmup.Grant, lending bool)
}

// WarmupLimit returns the requests that a cold server of a service may get within any
// second. limited is false if there is no limit.
func (e *Edge) WarmupLimit(service string) (limit int, limited bool) {
	t := e.routeTable.Load()
	if t == nil || e.options.Warmup.Borrow == nil {
		return 0, false
	}
	return warmup.Limit(t.Config.Services[service].WarmupRate, e.options.Warmup.Factor, e.options.Warmup.Slack)
}

// LimitsColdServers reports whether there is a limit for cold servers of a service.
func (e *Edge) LimitsColdServers(service string) bool {
	_, limited := e.WarmupLimit(service)
	return limited
}

// WarmupLimitOf returns the WarmupLimit of a server's service, 0 if there is none, if the
// server is not known or if it has a newer start time.
func (e *Edge) WarmupLimitOf(id string, born int64) int {
	s, known := e.knownServers()[id]
	if !known || s.Born > born {
		return 0
	}
	limit, _ := e.WarmupLimit(s.Service)
	return limit
}

// needsPermit reports whether requests to a server need a permit.
func (e *Edge) needsPermit(s directory.Server) bool { return s.Cold && e.LimitsColdServers(s.Service) }

// permits are the permits of this host, for all pools. It implements dispatch.Permits and is
// safe for concurrent use. Its methods may be called while a pool is locked.
type permits struct {
	edge *Edge

	mu           sync.Mutex
	borrower     *warmup.Borrower
	reachability *warmup.Reachability
	scheduledAt  time.Duration // time of the timer for the next call; 0 for none
	noLender     bool          // the last call reached no lender
}

func newPermits(e *Edge) *permits {
	return &permits{edge: e, borrower: warmup.NewBorrower(), reachability: warmup.NewReachability()}
}

// setServers takes over which of the known servers need permits.
func (p *permits) setServers() {
	var cold []directory.Life
	for _, s := range p.edge.knownServers() {
		if !s.Draining && p.edge.needsPermit(s) {
			cold = append(cold, s.Life())
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrower.SetCold(p.edge.now(), cold)
	p.scheduleLocked()
}

// Take implements dispatch.Permits.
func (p *permits) Take(s dispatch.Server) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.borrower.Take(p.edge.now(), s.ID, s.Born)
}

// Held implements dispatch.Permits.
func (p *permits) Held(s dispatch.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.borrower.Held(p.edge.now(), s.ID, s.Born)
}

// GiveBack implements dispatch.Permits.
func (p *permits) GiveBack(s dispatch.Server, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrower.GiveBack(p.edge.now(), s.ID, s.Born, until)
}

// Wait implements dispatch.Permits.
func (p *permits) Wait(s dispatch.Server) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.borrower.Wait(p.edge.now(), s.ID)
}

// SetDemand implements dispatch.Permits.
func (p *permits) SetDemand(s dispatch.Server, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrower.SetDemand(s.ID, s.Born, count)
	p.scheduleLocked()
}

// scheduleLocked starts a timer for the next call, if one is needed. p.mu must be held.
func (p *permits) scheduleLocked() {
	now := p.edge.now()
	at, needed := p.borrower.NextCall(now)
	if !needed || p.scheduledAt != 0 && p.scheduledAt <= at {
		return
	}
	p.scheduledAt = max(at, 1)
	time.AfterFunc(at-now, p.callIfDue)
}

// callIfDue asks the lending host for permits if a call is due, and dispatches the requests
// that wait for them.
func (p *permits) callIfDue() {
	p.mu.Lock()
	p.scheduledAt = 0
	sentAt := p.edge.now()
	var demands []warmup.Demand
	if at, needed := p.borrower.NextCall(sentAt); needed && at <= sentAt {
		demands = p.borrower.StartCall(sentAt)
	}
	if demands == nil {
		p.scheduleLocked()
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), warmup.Validity)
	defer cancel()
	grants, lending := p.edge.options.Warmup.Borrow(ctx, demands)
	p.mu.Lock()
	p.borrower.FinishCall(p.edge.now(), sentAt, lending, grants)
	changed := p.noLender == lending
	p.noLender = !lending
	p.mu.Unlock()
	switch {
	case changed && lending:
		p.edge.options.Journal.LogEvent(event.LenderReached, "demands", len(demands))
	case changed:
		p.edge.options.Journal.LogEvent(event.LenderMissing, "demands", len(demands), "first", demands[0].ID)
	}
	p.edge.dispatchWaiting()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduleLocked()
}

// dispatchWaiting dispatches the queued requests of all services.
func (e *Edge) dispatchWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.dispatchWaiting()
	}
}

// checkPermit returns an error if a request must not be written for want of a valid permit.
// It records the requests to servers that are not cold, which count if the server turns out
// to have become cold.
func (e *Edge) checkPermit(d dispatch.Decision) error {
	s := e.knownServers()[d.Server.ID]
	if !e.LimitsColdServers(s.Service) {
		return nil
	}
	now := e.now()
	switch {
	case !s.Cold:
		e.permits.mu.Lock()
		defer e.permits.mu.Unlock()
		e.permits.borrower.RecordSend(now, s.ID, s.Born)
	case d.PermitUntil == 0:
		return errServerCold
	case now >= d.PermitUntil:
		return errPermitExpired
	}
	return nil
}

// RecordUnreachable records that no connection to a server could be opened, in an attempt that
// took a time.
func (e *Edge) RecordUnreachable(service string, life directory.Life, took time.Duration) {
	if !e.LimitsColdServers(service) {
		return
	}
	e.permits.mu.Lock()
	defer e.permits.mu.Unlock()
	e.permits.reachability.RecordFailure(e.now()-took, life)
}

// RecordAnswer records a response of a server, and reports the server as possibly cold if it
// could not be reached before.
func (e *Edge) RecordAnswer(service string, life directory.Life) {
	if !e.LimitsColdServers(service) {
		return
	}
	e.permits.mu.Lock()
	suspected := e.permits.reachability.RecordAnswer(e.now(), life)
	e.permits.mu.Unlock()
	if suspected && e.options.OnSignal != nil {
		e.options.OnSignal(Signal{Life: life, Cold: true})
	}
}

// giveBackPermit returns the permit of a request that was not sent. It is called before the
// result of the attempt is reported.
func (p *servicePool) giveBackPermit(d dispatch.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchPool.GiveBackPermit(d)
}
