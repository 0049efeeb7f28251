package faultmatrix

import (
	"time"

	"parsleyrelay.example/core/ownership"
)

// Outcomes as a caller sees them.
const (
	done    = "done"
	notRun  = "not-run"
	unknown = "unknown"
)

const (
	waitInQueue    = 800 * time.Millisecond // longest wait for a home that serves
	requestTimeout = time.Second
	idClockBound   = time.Second // design section 6.3
)

// attempt is one request of a caller.
type attempt struct {
	id      string // of the order; attempts of one order share it
	label   string // id#n
	hash    uint64
	order   bool
	stamped time.Duration // time in the id by the caller's wall clock
}

type flight struct {
	server string
	hash   uint64
}

// handedOver identifies the window of a slice under one home.
type handedOver struct {
	server string
	slice  ownership.SliceRef
	term   uint64
}

// dispatcher is the request path of a daemon, cut down to what ownership needs:
// one hop to the home, the serving set, quiescing and the idempotency window.
type dispatcher struct {
	window map[string]windowEntry
	// floors holds, for each window that this daemon has from a former home, the
	// time up to which the window may lack ids. A transferred window is only as
	// complete as that of its sender, so the floor goes with it.
	floors   map[handedOver]time.Duration
	quiesced []ownership.QuiesceSlice
	inFlight map[uint64]flight
	// activations remembers what the serving set said of slices that left it.
	activations map[ownership.SliceRef]ownership.Activation
	flightSeq   uint64
}

type windowEntry struct {
	hash    uint64
	outcome string // empty while it runs
}

func newDispatcher() dispatcher {
	return dispatcher{
		window: map[string]windowEntry{}, floors: map[handedOver]time.Duration{},
		inFlight:    map[uint64]flight{},
		activations: map[ownership.SliceRef]ownership.Activation{},
	}
}

// handle routes an attempt that arrived at this daemon, directly or forwarded.
func (d *daemon) handle(a attempt, forwarded bool, until time.Duration, respond func(string)) {
	d.receive(func() {
		if d.view == nil {
			respond(notRun)
			return
		}
		route, ok := d.view.Lookup(serviceName, a.hash, d.local())
		switch {
		case ok && !route.ServerView.Local && route.HomeURL != "" && !forwarded:
			d.forward(a, route.HomeURL, until, respond)
		case ok && route.ServerView.Local && route.Serving && !d.isQuiesced(route.Server, a.hash):
			d.dispatch(a, route, respond)
		case !forwarded && d.w.now < until:
			d.w.after(d.w.queuePoll, func() { d.handle(a, false, until, respond) })
		default:
			respond(notRun)
		}
	})
}

// forward sends an attempt to the home. "Not run" from the home returns it to
// route lookup until its waiting time ends.
func (d *daemon) forward(a attempt, url string, until time.Duration, respond func(string)) {
	peer := d.w.daemonAt(url)
	if peer == nil {
		respond(notRun) // connection refused
		return
	}
	d.call(peer.host, requestTimeout, func(answer func(func())) {
		peer.handle(a, true, until, func(outcome string) {
			answer(func() {
				if outcome == notRun && d.w.now < until {
					d.w.after(d.w.queuePoll, func() { d.handle(a, false, until, respond) })
					return
				}
				respond(outcome)
			})
		})
	}, func() { respond(unknown) })
}

// dispatch writes an attempt to the server. Only the home comes here.
func (d *daemon) dispatch(a attempt, route ownership.Route, respond func(string)) {
	if a.order {
		if outcome, decided := d.decide(a, route); decided {
			respond(outcome)
			return
		}
		d.window[a.id] = windowEntry{hash: a.hash}
	}
	d.activations[ownership.SliceRef{Range: route.Slice.Range, Generation: route.Slice.Generation}] = route.Activation
	d.flightSeq++
	n := d.flightSeq
	d.inFlight[n] = flight{server: route.Server, hash: a.hash}
	finish := func(outcome string) {
		delete(d.inFlight, n)
		if a.order {
			if outcome == notRun {
				delete(d.window, a.id)
			} else {
				d.window[a.id] = windowEntry{hash: a.hash, outcome: outcome}
			}
		}
		d.checkQuiesced()
		respond(outcome)
	}
	server := d.w.servers[route.Server]
	r := request{
		id: a.label, hash: a.hash, order: a.order, generation: route.Slice.Generation,
		term: route.ServerView.Term, subTerm: route.ServerView.SubTerm,
	}
	d.w.requestStep(a)
	d.call(server.name, requestTimeout, func(answer func(func())) {
		server.receive(func() {
			server.execute(r,
				func(string) { answer(func() { finish(notRun) }) },
				func() { answer(func() { finish(done) }) })
		})
	}, func() { finish(unknown) })
}

// decide applies the idempotency window and the rule for ids of section 6.3.
func (d *daemon) decide(a attempt, route ownership.Route) (string, bool) {
	if d.w.off.dedupe {
		return "", false
	}
	if e, ok := d.window[a.id]; ok {
		if e.outcome == "" {
			return unknown, true
		}
		return e.outcome, true
	}
	if a.stamped <= d.floor(route) {
		return unknown, true
	}
	return "", false
}

// floor returns the wall time up to which an id that is not in the window may
// belong to an earlier attempt. Hosts show true time in this harness; the wall
// clocks of callers differ.
func (d *daemon) floor(route ownership.Route) time.Duration {
	if route.Activation.FirstOwner {
		return -idClockBound
	}
	if ids := route.Activation.IDWindow; ids != (ownership.IDWindowKey{}) {
		former := ownership.SliceRef{Range: route.Slice.Range, Generation: ids.Generation}
		if floor, ok := d.floors[handedOver{ids.Server, former, ids.Term}]; ok {
			return floor
		}
	}
	return d.clock.trueTime(route.Activation.Since) + idClockBound
}

func (d *daemon) isQuiesced(server string, hash uint64) bool {
	for _, q := range d.quiesced {
		if q.Server == server && q.Slice.Range.Contains(hash) {
			return true
		}
	}
	return false
}

func (d *daemon) quiesce(q ownership.QuiesceSlice) {
	d.quiesced = append(d.quiesced, q)
	// The next home may be this daemon, which needs no transfer.
	route, ok := d.view.Lookup(serviceName, q.Slice.Range.First, d.local())
	if ok && route.ServerView.Local && route.Server == q.Server {
		route.Activation, ok = d.activations[q.Slice]
		if ok {
			d.floors[handedOver{q.Server, q.Slice, route.ServerView.Term}] = d.floor(route)
		}
	}
	d.checkQuiesced()
}

func (d *daemon) resumeSlice(r ownership.ResumeSlice) {
	kept := d.quiesced[:0]
	for _, q := range d.quiesced {
		if q.Server != r.Server || q.Slice != r.Slice {
			kept = append(kept, q)
		}
	}
	d.quiesced = kept
}

// checkQuiesced answers each Quiesce whose requests have ended.
func (d *daemon) checkQuiesced() {
	for _, q := range d.quiesced {
		busy := false
		for _, f := range d.inFlight {
			busy = busy || f.server == q.Server && q.Slice.Range.Contains(f.hash)
		}
		if !busy {
			d.w.after(0, func() { d.step(ownership.SliceQuiesced(q)) })
		}
	}
}

// transferIDs sends the window of a slice to its next home.
func (d *daemon) transferIDs(e ownership.TransferIDs) {
	answer := func(ok bool) {
		d.step(ownership.IDTransferCompleted{Server: e.Server, Slice: e.Slice, OK: ok})
	}
	peer := d.w.daemonAt(e.TargetPeerURL)
	if peer == nil || peer.incarnation != e.TargetIncarnation {
		d.w.after(time.Millisecond, func() { answer(false) })
		return
	}
	key := handedOver{e.Server, e.Slice, e.Term}
	floor, known := d.floors[key]
	if !known {
		d.w.after(time.Millisecond, func() { answer(false) })
		return
	}
	entries := map[string]windowEntry{}
	for id, entry := range d.window {
		if e.Slice.Range.Contains(entry.hash) {
			entries[id] = entry
		}
	}
	d.call(peer.host, rpcTimeout, func(reply func(func())) {
		peer.receive(func() {
			for id, entry := range entries {
				peer.window[id] = entry
			}
			peer.floors[key] = floor
			reply(func() { answer(true) })
		})
	}, func() { answer(false) })
}
