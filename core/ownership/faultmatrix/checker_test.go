package faultmatrix

import (
	"fmt"
	"reflect"
	"time"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// work is a request that a server accepted.
type work struct {
	server, instance string
	hash             uint64
	generation       uint64
	id               string
	order            bool
	from, to         time.Duration
}

// holding is the time during which an instance would accept work of ranges.
type holding struct {
	server, instance string
	ranges           []keyspace.Range
	from, to         time.Duration
}

// checker judges what the servers and the log saw. It knows nothing of the
// router's own state.
type checker struct {
	open       map[string]holding       // by instance
	last       map[uint64]work          // by key hash
	lastWork   map[string]time.Duration // by server
	runs       map[string]int           // accepted attempts of an order by id
	notRun     map[string]bool          // attempts that a caller was told did not run
	attempts   map[string]bool          // accepted attempts
	violations []string
}

func newChecker() *checker {
	return &checker{
		open: map[string]holding{}, last: map[uint64]work{}, runs: map[string]int{},
		lastWork: map[string]time.Duration{}, notRun: map[string]bool{}, attempts: map[string]bool{},
	}
}

func (c *checker) violate(format string, args ...any) {
	if len(c.violations) < 10 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// granted replaces what an instance accepts from now on.
func (c *checker) granted(instance, server string, now, expires time.Duration, ranges []keyspace.Range) {
	c.stopped(instance)
	if len(ranges) == 0 || expires <= now {
		return
	}
	h := holding{server: server, instance: instance, ranges: ranges, from: now, to: expires}
	for _, other := range c.open {
		c.compare(h, other)
	}
	c.open[instance] = h
}

// compare reports two holdings of overlapping ranges at one time. An open holding
// counts until its grant expires, whether or not its server runs at the moment,
// since a frozen server may resume.
func (c *checker) compare(h, other holding) {
	if other.instance == h.instance || other.to <= h.from {
		return
	}
	for _, a := range h.ranges {
		for _, b := range other.ranges {
			if a.Overlaps(b) {
				c.violate("two owners: %s (%s) granted %s at %.3fs while %s (%s) holds %s until %.3fs",
					h.server, h.instance, a, h.from.Seconds(), other.server, other.instance, b, other.to.Seconds())
				return
			}
		}
	}
}

// stopped ends what an instance accepts.
func (c *checker) stopped(instance string) {
	delete(c.open, instance)
}

// accepted judges work at the moment at which a server takes it.
func (c *checker) accepted(w work) {
	if last, ok := c.last[w.hash]; ok {
		if last.instance != w.instance && last.to > w.from {
			c.violate("key %016x runs at %s from %.3fs while %s runs it until %.3fs",
				w.hash, w.server, w.from.Seconds(), last.server, last.to.Seconds())
		}
		if w.generation < last.generation {
			c.violate("key %016x accepted at %s under generation %d at %.3fs after %s accepted generation %d",
				w.hash, w.server, w.generation, w.from.Seconds(), last.server, last.generation)
		}
	}
	c.last[w.hash] = w
	c.lastWork[w.server] = w.from
	if !w.order {
		return
	}
	id, _ := splitAttempt(w.id)
	c.runs[id]++
	if c.runs[id] > 1 {
		c.violate("order %s ran %d times", id, c.runs[id])
	}
	c.attempts[w.id] = true
	if c.notRun[w.id] {
		c.violate("attempt %s runs after its caller was told that it did not", w.id)
	}
}

// toldNotRun records a "not run" response to a caller.
func (c *checker) toldNotRun(attempt string) {
	c.notRun[attempt] = true
	if c.attempts[attempt] {
		c.violate("attempt %s was reported as not run but ran", attempt)
	}
}

// assignments compares every assignment in the log with the view by which a
// daemon routes at the end.
func (c *checker) assignments(log *platformLog, daemon string, view *ownership.View) {
	if view.AppliedOffset < uint64(len(log.all)) {
		c.violate("daemon %s applied %d of %d records", daemon, view.AppliedOffset, len(log.all))
		return
	}
	for _, service := range services(log.all) {
		want, got := log.expected.Table(service), view.Tables[service]
		if want.Len() != got.Len() {
			c.violate("daemon %s has %d slices of %s, the log says %d", daemon, got.Len(), service, want.Len())
			continue
		}
		for s := range want.All {
			if other := got.Lookup(s.Range.First); !reflect.DeepEqual(other, s) {
				c.violate("daemon %s: assignment of %s lost: log says %s at %d, daemon %s at %d",
					daemon, s.Range, s.Server, s.Generation, other.Server, other.Generation)
			}
		}
	}
	for name, server := range view.Servers {
		if home := log.expected.Home(name); home != server.Home {
			c.violate("daemon %s: home of %s lost: log %+v, daemon %+v", daemon, name, home, server.Home)
		}
	}
}

// missing reports acknowledged records that the log does not hold.
func (c *checker) missing(acked []uint64, log []record.Positioned) {
	for _, offset := range acked {
		if offset == 0 || offset > uint64(len(log)) {
			c.violate("acknowledged record at offset %d is not in the log", offset)
		}
	}
}

func services(log []record.Positioned) []string {
	var names []string
	for _, p := range log {
		if b, ok := p.Record.Body.(record.SlicesPlaced); ok {
			names = append(names, b.Service)
		}
	}
	return names
}

// splitAttempt separates the id of an order from the number of the attempt.
func splitAttempt(id string) (string, string) {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '#' {
			return id[:i], id[i+1:]
		}
	}
	return id, ""
}
