// Package egress decides which downloads a host takes, by the time that its network link needs
// for them and by the bytes that it may hold, and when their bytes are written. It does no I/O
// and starts no goroutines; time is passed in as monotonic time.
//
// A download counts with its expected size from its admission until its response arrives
// (reserved), and with its true size until the caller has taken it (held). The time until the
// link is free follows from the bytes that have arrived, at the speed of the link, whether or
// not their callers read them: a slow caller takes memory of the host, but not time of the
// link.
package egress

import "time"

// Parameters of a Link.
const (
	// usableShare is the share of the link's speed that the bodies of responses get; headers of
	// packets and messages and the host's own calls need the rest.
	usableShare = 0.9
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter. The minimum is a few responses
	// of 90 kB on the slowest links; callers wait no longer than the maximum for one.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxBurst is the time by which downloads may be written ahead of the link's speed, so that
	// the link does not run idle while a writer sleeps.
	maxBurst = 20 * time.Millisecond
	// idleWait is the wait up to which the link counts as idle. Small responses of other routes
	// take a few milliseconds each, and must not keep out downloads that need more time than they
	// have even on an idle link.
	idleWait = 20 * time.Millisecond
	// maxLag bounds the time by which responses other than downloads count ahead of the link.
	// If they need more than its speed, which a wrong setting makes likely, downloads would
	// otherwise be stopped for as long as that lasted.
	maxLag = 2 * time.Second
)

// Config describes a host's link and memory.
type Config struct {
	BytesPerSecond float64 // speed of the link, more than 0
	MemoryBytes    int64   // that downloads may take; 0 for no limit
}

// Reason says why a download was refused.
type Reason string

// Reasons of refusals.
const (
	LinkBusy      Reason = "link_busy"      // the bytes that wait for the link delay it beyond its time
	DownloadsFull Reason = "downloads_full" // the downloads of the host leave no memory for it
)

// Refusal says why and when a download does not fit.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// State is what a Link has to deliver.
type State struct {
	Reserved float64       // bytes of downloads that are expected from servers
	Held     int64         // bytes of downloads that callers have not taken
	Wait     time.Duration // until the link has delivered what has arrived and is expected
}

// Admission is a download that was admitted, until Arrived or Cancel.
type Admission struct {
	Route    string
	Expected Expected
	ended    bool
}

// Link is the state machine of one host. It is not safe for concurrent use.
type Link struct {
	config   Config
	rate     float64 // bytes per second for bodies
	routes   map[string]*sizes
	all      sizes
	reserved Expected // sums of the admitted downloads
	admitted int      // downloads that are reserved
	held     int64
	freeAt   time.Duration // when the link has delivered all bytes that have arrived
	// promisedAt is the time up to which the link is promised to refused callers, so that they
	// do not all return at once.
	promisedAt time.Duration
	writtenAt  time.Duration // when the link has delivered all bytes that were written
}

// New returns a Link without downloads.
func New(c Config) *Link {
	return &Link{config: c, rate: c.BytesPerSecond * usableShare, routes: map[string]*sizes{}}
}

// State returns what the link has to deliver.
func (l *Link) State(now time.Duration) State {
	return State{Reserved: l.reserved.Mean, Held: l.held, Wait: l.wait(now)}
}

func (l *Link) wait(now time.Duration) time.Duration {
	return max(0, l.freeAt-now) + l.time(l.reserved.Mean)
}

func (l *Link) time(bytes float64) time.Duration {
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// Admit decides on a download that has to be delivered within left. latency is the time within
// which a response of its route has to be delivered, from which the retry of its caller has
// its time. A download that finds the link idle is always admitted, because a wait would not
// make it faster.
func (l *Link) Admit(now time.Duration, route string, left, latency time.Duration) (*Admission, *Refusal) {
	expected := l.expected(route)
	wait := l.wait(now)
	need := wait + l.time(expected.High)
	switch {
	case wait > idleWait && need > left:
		// The link has drained enough for a new request after need-latency.
		return nil, &Refusal{Reason: LinkBusy, RetryAfter: l.promise(now, need-latency, expected.Mean)}
	case l.config.MemoryBytes > 0 && l.admitted+int(min(l.held, 1)) > 0 && l.reserved.High+float64(l.held)+expected.High > float64(l.config.MemoryBytes):
		over := l.reserved.High + float64(l.held) + expected.High - float64(l.config.MemoryBytes)
		return nil, &Refusal{Reason: DownloadsFull, RetryAfter: l.promise(now, l.time(over), expected.Mean)}
	}
	l.admitted++
	l.reserved.Mean += expected.Mean
	l.reserved.High += expected.High
	return &Admission{Route: route, Expected: expected}, nil
}

// promise returns when a refused caller should return. Each one gets the link time of its
// download behind those before it.
func (l *Link) promise(now, after time.Duration, bytes float64) time.Duration {
	at := max(now+after, l.promisedAt)
	if at-now < maxRetryAfter {
		l.promisedAt = at + l.time(bytes)
	}
	return min(max(at-now, minRetryAfter), maxRetryAfter)
}

// end takes back the reservation of a download. It returns false if that was done before.
func (l *Link) end(a *Admission) bool {
	if a.ended {
		return false
	}
	a.ended = true
	if l.admitted--; l.admitted == 0 {
		l.reserved = Expected{} // no rounding errors remain
		return true
	}
	l.reserved.Mean -= a.Expected.Mean
	l.reserved.High -= a.Expected.High
	return true
}

// Cancel ends a download without a response.
func (l *Link) Cancel(a *Admission) { l.end(a) }

// Arrived replaces the reservation of a download by the bytes of its response, which count as
// held until Taken. learn says that the size is one of a complete response of the route.
func (l *Link) Arrived(now time.Duration, a *Admission, bytes int64, learn bool) {
	if !l.end(a) {
		return
	}
	l.held += bytes
	l.use(now, bytes)
	if learn {
		l.learn(a.Route, bytes)
	}
}

// Taken ends the hold of bytes that the caller has taken or will not get.
func (l *Link) Taken(bytes int64) { l.held -= bytes }

// Passed records a response that is not a download and takes its time of the link.
func (l *Link) Passed(now time.Duration, bytes int64) {
	limit := max(l.freeAt, now+maxLag)
	l.use(now, bytes)
	l.freeAt = min(l.freeAt, limit)
}

func (l *Link) use(now time.Duration, bytes int64) {
	l.freeAt = max(l.freeAt, now) + l.time(float64(bytes))
}

// Write records bytes that are written and returns how long a download has to wait before it
// writes them: until the link has delivered what was written before, but for maxBurst. Other
// responses do not wait, and those that they overtake wait longer.
func (l *Link) Write(now time.Duration, bytes int) (wait time.Duration) {
	wait = max(0, l.writtenAt-maxBurst-now)
	l.writtenAt = min(max(l.writtenAt, now)+l.time(float64(bytes)), now+maxLag)
	return wait
}
