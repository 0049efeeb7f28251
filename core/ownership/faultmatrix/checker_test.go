package faultmatrix

import (
	"fmt"
	"reflect"
	"time"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// acceptedRequest is a request that a server accepted.
type acceptedRequest struct {
	server, instance  string
	keyHash           uint64
	generation        uint64
	attemptID         string
	isOrder           bool
	startedAt, endsAt time.Duration
}

// grantPeriod is the time during which a server instance accepts requests for key
// hashes in ranges.
type grantPeriod struct {
	server, instance     string
	ranges               []keyspace.Range
	grantedAt, expiresAt time.Duration
}

// checker detects violations in what the servers accepted, what callers were told
// and what the log contains. Except for the final check of assignments, it does not
// use the state of the daemons.
type checker struct {
	currentGrants    map[string]grantPeriod     // by instance
	lastAccepted     map[uint64]acceptedRequest // by key hash
	lastAcceptedAt   map[string]time.Duration   // by server
	runsByOrder      map[string]int             // accepted attempts of an order by id
	reportedNotRun   map[string]bool            // attempts that were reported to the caller as not run
	acceptedAttempts map[string]bool
	violations       []string
}

func newChecker() *checker {
	return &checker{
		currentGrants: map[string]grantPeriod{}, lastAccepted: map[uint64]acceptedRequest{}, runsByOrder: map[string]int{},
		lastAcceptedAt: map[string]time.Duration{}, reportedNotRun: map[string]bool{}, acceptedAttempts: map[string]bool{},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	if len(c.violations) < 10 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// recordGrant replaces the grant period of an instance.
func (c *checker) recordGrant(instance, server string, now, expires time.Duration, ranges []keyspace.Range) {
	c.endGrant(instance)
	if len(ranges) == 0 || expires <= now {
		return
	}
	period := grantPeriod{server: server, instance: instance, ranges: ranges, grantedAt: now, expiresAt: expires}
	for _, other := range c.currentGrants {
		c.checkOverlap(period, other)
	}
	c.currentGrants[instance] = period
}

// checkOverlap reports two grant periods that overlap in time and in key hashes. A
// period lasts until the grant expires, whether or not the server runs at the
// moment, since a frozen server may resume.
func (c *checker) checkOverlap(period, other grantPeriod) {
	if other.instance == period.instance || other.expiresAt <= period.grantedAt {
		return
	}
	for _, a := range period.ranges {
		for _, b := range other.ranges {
			if a.Overlaps(b) {
				c.addViolation("two owners: %s (%s) granted %s at %.3fs while %s (%s) holds %s until %.3fs",
					period.server, period.instance, a, period.grantedAt.Seconds(), other.server, other.instance, b, other.expiresAt.Seconds())
				return
			}
		}
	}
}

// endGrant ends the grant period of an instance.
func (c *checker) endGrant(instance string) {
	delete(c.currentGrants, instance)
}

// recordAccepted checks a request at the time at which a server accepts it.
func (c *checker) recordAccepted(request acceptedRequest) {
	if last, ok := c.lastAccepted[request.keyHash]; ok {
		if last.instance != request.instance && last.endsAt > request.startedAt {
			c.addViolation("key %016x runs at %s from %.3fs while %s runs it until %.3fs",
				request.keyHash, request.server, request.startedAt.Seconds(), last.server, last.endsAt.Seconds())
		}
		if request.generation < last.generation {
			c.addViolation("key %016x accepted at %s under generation %d at %.3fs after %s accepted generation %d",
				request.keyHash, request.server, request.generation, request.startedAt.Seconds(), last.server, last.generation)
		}
	}
	c.lastAccepted[request.keyHash] = request
	c.lastAcceptedAt[request.server] = request.startedAt
	if !request.isOrder {
		return
	}
	id, _ := splitAttemptID(request.attemptID)
	c.runsByOrder[id]++
	if c.runsByOrder[id] > 1 {
		c.addViolation("order %s ran %d times", id, c.runsByOrder[id])
	}
	c.acceptedAttempts[request.attemptID] = true
	if c.reportedNotRun[request.attemptID] {
		c.addViolation("attempt %s runs after its caller was told that it did not", request.attemptID)
	}
}

// recordNotRun records a "not run" response to a caller.
func (c *checker) recordNotRun(attempt string) {
	c.reportedNotRun[attempt] = true
	if c.acceptedAttempts[attempt] {
		c.addViolation("attempt %s was reported as not run but ran", attempt)
	}
}

// checkAssignments compares every slice and home in the log with the view by which a
// daemon routes at the end of a run.
func (c *checker) checkAssignments(log *fakeLog, daemon string, view *ownership.View) {
	if view.AppliedOffset < uint64(len(log.records)) {
		c.addViolation("daemon %s applied %d of %d records", daemon, view.AppliedOffset, len(log.records))
		return
	}
	for _, service := range placedServices(log.records) {
		want, got := log.expectedState.SliceTable(service), view.Tables[service]
		if want.Len() != got.Len() {
			c.addViolation("daemon %s has %d slices of %s, the log says %d", daemon, got.Len(), service, want.Len())
			continue
		}
		for s := range want.All {
			if other := got.Lookup(s.Range.First); !reflect.DeepEqual(other, s) {
				c.addViolation("daemon %s: assignment of %s lost: log says %s at %d, daemon %s at %d",
					daemon, s.Range, s.Server, s.Generation, other.Server, other.Generation)
			}
		}
	}
	for name, server := range view.Servers {
		if home := log.expectedState.Home(name); home != server.Home {
			c.addViolation("daemon %s: home of %s lost: log %+v, daemon %+v", daemon, name, home, server.Home)
		}
	}
}

// checkAckedRecords reports acknowledged records that the log does not contain.
func (c *checker) checkAckedRecords(acked []uint64, log []record.LogEntry) {
	for _, offset := range acked {
		if offset == 0 || offset > uint64(len(log)) {
			c.addViolation("acknowledged record at offset %d is not in the log", offset)
		}
	}
}

func placedServices(log []record.LogEntry) []string {
	var names []string
	for _, entry := range log {
		if b, ok := entry.Record.Body.(record.SlicesPlaced); ok {
			names = append(names, b.Service)
		}
	}
	return names
}

// splitAttemptID separates the id of an order from the number of the attempt.
func splitAttemptID(id string) (string, string) {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '#' {
			return id[:i], id[i+1:]
		}
	}
	return id, ""
}
