package directory

import "time"

// ReregistrationGrace is the time within which live servers have registered again
// after an outage of the store. Until it has passed, a missing entry does not mean
// that the server is gone.
const ReregistrationGrace = 2200 * time.Millisecond

// Contact is a span of time in which the store answered some host again and again.
type Contact struct{ Begin, End time.Duration }

// outageDetector tells outages of the store, in which entries of live servers expire,
// from a host's own loss of the store. An outage is a span longer than maxGap in which
// the store answered no host. What other hosts report of their contact may arrive after
// this host has reached the store again, and refutes an outage that it assumed.
type outageDetector struct {
	maxGap  time.Duration
	known   bool
	contact Contact // the newest one
	// before is the contact before the newest one. There was an outage between the two if
	// hasBefore is set.
	before    Contact
	hasBefore bool
	// restoredAt is when the store was seen to have been restored from an older copy; 0 for
	// never. Contact of other hosts does not refute that.
	restoredAt time.Duration
}

// record adds a contact.
func (o *outageDetector) record(c Contact) {
	switch {
	case !o.known:
		o.known, o.contact = true, c
	case c.Begin-o.contact.End > o.maxGap:
		o.before, o.hasBefore, o.contact = o.contact, true, c
	case o.contact.Begin-c.End <= o.maxGap: // c and the newest contact are one
		o.contact = join(o.contact, c)
	case !o.hasBefore || c.Begin-o.before.End > o.maxGap:
		o.before, o.hasBefore = c, true
	case o.before.Begin-c.End <= o.maxGap:
		o.before = join(o.before, c)
	}
	if o.hasBefore && o.contact.Begin-o.before.End <= o.maxGap {
		o.contact, o.hasBefore = join(o.before, o.contact), false
	}
}

func join(a, b Contact) Contact { return Contact{Begin: min(a.Begin, b.Begin), End: max(a.End, b.End)} }

// entriesMayBeMissing reports whether live servers may be without an entry: during an
// outage of the store, and for ReregistrationGrace after it or after a restore.
func (o *outageDetector) entriesMayBeMissing(now time.Duration) bool {
	return o.restoredRecently(now) || o.known && (now-o.contact.End > o.maxGap || o.hasBefore && now-o.contact.Begin < ReregistrationGrace)
}

// restoredRecently reports whether live servers may not have registered again after a restore.
func (o *outageDetector) restoredRecently(now time.Duration) bool {
	return o.restoredAt > 0 && now-o.restoredAt < ReregistrationGrace
}

// lastOutage returns the newest outage that has ended, and false if there was none.
func (o *outageDetector) lastOutage() (begin, end time.Duration, ok bool) {
	return o.before.End, o.contact.Begin, o.hasBefore
}
