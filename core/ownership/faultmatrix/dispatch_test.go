package faultmatrix

import (
	"time"

	"parsleyrelay.example/core/ownership"
)

// Outcomes of an attempt as the caller sees them.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

const (
	maxQueueTime    = 800 * time.Millisecond // how long an attempt waits for a home that serves its key
	requestTimeout  = time.Second
	maxIDClockError = time.Second // of the time in an id; see docs/design.md, section 6.3
)

// attempt is one request of a caller.
type attempt struct {
	orderID   string // shared by all attempts of one order
	attemptID string // for an order, orderID#number
	keyHash   uint64
	isOrder   bool
	idTime    time.Duration // time in the order's id by the caller's wall clock
}

type inFlightRequest struct {
	server  string
	keyHash uint64
}

// windowKey identifies the idempotency window of a slice under one home.
type windowKey struct {
	server string
	slice  ownership.SliceRef
	term   uint64
}

// dispatcher is the request path of a daemon, reduced to what ownership needs:
// forwarding to the home, the serving set, quiescing and the idempotency window.
type dispatcher struct {
	window map[string]windowEntry // by order id
	// incompleteUntil holds, for each window that this daemon received or is about to
	// transfer, the time up to which the window may lack ids. A transferred window is
	// only as complete as that of its sender, so this time is transferred with it.
	incompleteUntil map[windowKey]time.Duration
	quiescedSlices  []ownership.QuiesceSlice
	inFlight        map[uint64]inFlightRequest
	// activations holds the last activation of each slice, also of slices that have
	// left the serving set.
	activations map[ownership.SliceRef]ownership.Activation
	requestSeq  uint64
}

type windowEntry struct {
	keyHash uint64
	outcome string // empty while the request runs
}

func newDispatcher() dispatcher {
	return dispatcher{
		window: map[string]windowEntry{}, incompleteUntil: map[windowKey]time.Duration{},
		inFlight:    map[uint64]inFlightRequest{},
		activations: map[ownership.SliceRef]ownership.Activation{},
	}
}

// handleAttempt routes an attempt that arrived at this daemon, directly or forwarded.
func (d *daemon) handleAttempt(a attempt, forwarded bool, until time.Duration, respond func(string)) {
	d.receive(func() {
		if d.view == nil {
			respond(outcomeNotRun)
			return
		}
		route, ok := d.view.Lookup(serviceName, a.keyHash, d.localTime())
		switch {
		case ok && !route.ServerView.Local && route.HomeURL != "" && !forwarded:
			d.forward(a, route.HomeURL, until, respond)
		case ok && route.ServerView.Local && route.Dispatchable && !d.isQuiesced(route.Server, a.keyHash):
			d.dispatchAttempt(a, route, respond)
		case !forwarded && d.system.now < until:
			d.system.schedule(d.system.routeRetryInterval, func() { d.handleAttempt(a, false, until, respond) })
		default:
			respond(outcomeNotRun)
		}
	})
}

// forward sends an attempt to the home. If the home did not run it, the attempt
// returns to route lookup until its maxQueueTime has passed.
func (d *daemon) forward(a attempt, url string, until time.Duration, respond func(string)) {
	peer := d.system.daemonAt(url)
	if peer == nil {
		respond(outcomeNotRun) // connection refused
		return
	}
	d.call(peer.host, requestTimeout, func(answer func(func())) {
		peer.handleAttempt(a, true, until, func(outcome string) {
			answer(func() {
				if outcome == outcomeNotRun && d.system.now < until {
					d.system.schedule(d.system.routeRetryInterval, func() { d.handleAttempt(a, false, until, respond) })
					return
				}
				respond(outcome)
			})
		})
	}, func() { respond(outcomeUnknown) })
}

// dispatchAttempt sends an attempt to the server. Only the home of the server calls
// it.
func (d *daemon) dispatchAttempt(a attempt, route ownership.Route, respond func(string)) {
	if a.isOrder {
		if outcome, decided := d.checkWindow(a, route); decided {
			respond(outcome)
			return
		}
		d.window[a.orderID] = windowEntry{keyHash: a.keyHash}
	}
	d.activations[ownership.SliceRef{Range: route.Slice.Range, Generation: route.Slice.Generation}] = route.Activation
	d.requestSeq++
	n := d.requestSeq
	d.inFlight[n] = inFlightRequest{server: route.Server, keyHash: a.keyHash}
	finish := func(outcome string) {
		delete(d.inFlight, n)
		if a.isOrder {
			if outcome == outcomeNotRun {
				delete(d.window, a.orderID)
			} else {
				d.window[a.orderID] = windowEntry{keyHash: a.keyHash, outcome: outcome}
			}
		}
		d.reportQuiesced()
		respond(outcome)
	}
	server := d.system.servers[route.Server]
	r := request{
		attemptID: a.attemptID, keyHash: a.keyHash, isOrder: a.isOrder, generation: route.Slice.Generation,
		term: route.ServerView.Term, subTerm: route.ServerView.SubTerm,
	}
	d.system.recordRequestStep(a)
	d.call(server.name, requestTimeout, func(answer func(func())) {
		server.receive(func() {
			server.handleRequest(r,
				func(string) { answer(func() { finish(outcomeNotRun) }) },
				func() { answer(func() { finish(outcomeDone) }) })
		})
	}, func() { finish(outcomeUnknown) })
}

// checkWindow applies the idempotency window and the rule for ids that are missing
// from it (docs/design.md, section 6.3). It reports whether that decides the outcome.
func (d *daemon) checkWindow(a attempt, route ownership.Route) (string, bool) {
	if d.system.disabledRules.deduplication {
		return "", false
	}
	if e, ok := d.window[a.orderID]; ok {
		if e.outcome == "" {
			return outcomeUnknown, true
		}
		return e.outcome, true
	}
	if a.idTime <= d.windowIncompleteUntil(route) {
		return outcomeUnknown, true
	}
	return "", false
}

// windowIncompleteUntil returns the wall time up to which an id that is not in the
// window may belong to an earlier attempt. In this simulation the wall clocks of
// hosts are exact and those of callers are not.
func (d *daemon) windowIncompleteUntil(route ownership.Route) time.Duration {
	if route.Activation.FirstOwner {
		return -maxIDClockError
	}
	if ids := route.Activation.IDWindow; ids != (ownership.IDWindowKey{}) {
		former := ownership.SliceRef{Range: route.Slice.Range, Generation: ids.Generation}
		if until, ok := d.incompleteUntil[windowKey{ids.Server, former, ids.Term}]; ok {
			return until
		}
	}
	return d.clock.trueTime(route.Activation.Since) + maxIDClockError
}

func (d *daemon) isQuiesced(server string, hash uint64) bool {
	for _, q := range d.quiescedSlices {
		if q.Server == server && q.Slice.Range.Contains(hash) {
			return true
		}
	}
	return false
}

func (d *daemon) quiesceSlice(q ownership.QuiesceSlice) {
	d.quiescedSlices = append(d.quiescedSlices, q)
	// transferIDs sends this time. If the next home is this daemon too, there is no
	// transfer, and this daemon reads the time as the next home.
	route, ok := d.view.Lookup(serviceName, q.Slice.Range.First, d.localTime())
	if ok && route.ServerView.Local && route.Server == q.Server {
		route.Activation, ok = d.activations[q.Slice]
		if ok {
			d.incompleteUntil[windowKey{q.Server, q.Slice, route.ServerView.Term}] = d.windowIncompleteUntil(route)
		}
	}
	d.reportQuiesced()
}

func (d *daemon) resumeSlice(r ownership.ResumeSlice) {
	remaining := d.quiescedSlices[:0]
	for _, q := range d.quiescedSlices {
		if q.Server != r.Server || q.Slice != r.Slice {
			remaining = append(remaining, q)
		}
	}
	d.quiescedSlices = remaining
}

// reportQuiesced reports to the machine each quiesced slice whose requests have
// ended.
func (d *daemon) reportQuiesced() {
	for _, q := range d.quiescedSlices {
		busy := false
		for _, f := range d.inFlight {
			busy = busy || f.server == q.Server && q.Slice.Range.Contains(f.keyHash)
		}
		if !busy {
			d.system.schedule(0, func() { d.step(ownership.SliceQuiesced(q)) })
		}
	}
}

// transferIDs sends the idempotency window of a slice to its next home.
func (d *daemon) transferIDs(e ownership.TransferIDs) {
	answer := func(ok bool) {
		d.step(ownership.IDTransferCompleted{Server: e.Server, Slice: e.Slice, OK: ok})
	}
	peer := d.system.daemonAt(e.TargetPeerURL)
	if peer == nil || peer.incarnation != e.TargetIncarnation {
		d.system.schedule(time.Millisecond, func() { answer(false) })
		return
	}
	key := windowKey{e.Server, e.Slice, e.Term}
	until, known := d.incompleteUntil[key]
	if !known {
		d.system.schedule(time.Millisecond, func() { answer(false) })
		return
	}
	entries := map[string]windowEntry{}
	for id, entry := range d.window {
		if e.Slice.Range.Contains(entry.keyHash) {
			entries[id] = entry
		}
	}
	d.call(peer.host, driverCallTimeout, func(reply func(func())) {
		peer.receive(func() {
			for id, entry := range entries {
				peer.window[id] = entry
			}
			peer.incompleteUntil[key] = until
			reply(func() { answer(true) })
		})
	}, func() { answer(false) })
}
