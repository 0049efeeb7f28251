//go:build faultmatrix

package faultmatrix

import "time"

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
}
