//go:build faultmatrix

package faultmatrix

import (
	"slices"
	"time"
)

// roles names the home of z1-s1, that of z1-s2 and the remaining host; ok is
// false when one host is the home of both servers.
func (w *world) roles() (first, second, third *daemon, ok bool) {
	first, second = w.homeOf("z1-s1"), w.homeOf("z1-s2")
	if first == nil || second == nil || first == second {
		return nil, nil, nil, false
	}
	for _, d := range w.daemons {
		if d != first && d != second {
			third = d
		}
	}
	return first, second, third, true
}

func (w *world) pauseFor(d *daemon, t time.Duration) {
	d.paused = true
	w.after(t, d.resume)
}

// settleJoin lets a fourth host join and the witness set follow.
const settleJoin = 4 * time.Second

// takeoverByOutsider cuts the home of both servers from its peers for two seconds
// and every witness from the log, so that the daemon outside the witness set
// proposes itself as home and the others do not learn it. ok is false when there
// is no such daemon.
func (w *world) takeoverByOutsider() (former, outsider *daemon, ok bool) {
	former = w.homeOf("z1-s1")
	witnesses := w.log.expected.Witnesses("zone:z1").Current
	for _, d := range w.daemons {
		if !d.dead && !slices.Contains(witnesses, d.incarnation) {
			outsider = d
		}
	}
	if len(w.daemons) != 4 || former == nil || outsider == nil || former == outsider || former != w.homeOf("z1-s2") {
		return nil, nil, false
	}
	w.note("%s is to take over from %s", outsider.host, former.host)
	for _, d := range w.daemons {
		if d != outsider {
			w.links.setCut(true, d.host, logName)
		}
	}
	w.links.setCut(true, former.host, w.hostNames()...)
	w.after(2*time.Second, func() { w.links.setCut(false, former.host, w.hostNames()...) })
	return former, outsider, true
}

// Courses of events that only the rule under test keeps safe.
var ruleFaults = []fault{
	// A witness restarts empty after it confirmed the change of owners, and the
	// former home resumes.
	{name: "witness restarted after confirmation", lasts: 10 * time.Second, inject: func(w *world) func() {
		first, second, third, ok := w.roles()
		if !ok {
			return func() {}
		}
		w.links.setCut(true, first.host, logName, second.host)
		w.links.setCut(true, second.host, "z1-s1")
		w.pauseFor(first, 5*time.Second)
		w.after(4800*time.Millisecond, func() {
			w.links.setCut(true, third.host, logName, second.host)
			w.killHost(third.host)
			w.startHost(third.host)
		})
		return func() { clear(w.links.cut) }
	}},
	// A daemon that is no witness takes the home of both servers over, while the
	// witnesses with the former home cannot read the log and keep its lease up. The
	// slices are moved off z1-s1, which the new home does not reach.
	{name: "takeover unknown to the witnesses, server unreachable", lasts: 14 * time.Second, inject: func(w *world) func() {
		w.after(settleJoin, func() {
			if _, outsider, ok := w.takeoverByOutsider(); ok {
				w.links.setCut(true, outsider.host, "z1-s1")
			}
		})
		return func() { clear(w.links.cut) }
	}},
	// The same takeover; the new home reaches both servers and the callers lose
	// the responses of the former home.
	{name: "takeover unknown to the witnesses, responses lost", lasts: 14 * time.Second, inject: func(w *world) func() {
		w.after(settleJoin, func() {
			if former, _, ok := w.takeoverByOutsider(); ok {
				w.after(3*time.Second, func() { w.links.oneWay(true, former.host, callers) })
			}
		})
		return func() { clear(w.links.cut) }
	}},
}
