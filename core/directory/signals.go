package directory

import (
	"cmp"
	"slices"
	"time"
)

// Signal is what a server said of itself in its responses to hosts. A host reports the
// signals that it and its followers got to the host that it follows.
type Signal struct {
	Life
	Leaving bool
	Pause
	Cold bool // it has become cold, or may have; not kept by the Directory
}

// Pause says from how many hosts a server wants no requests, and for how long.
type Pause struct {
	Hosts   int
	Longest time.Duration // longest of the times that are left for these hosts
}

// Limits of signals.
const (
	// maxSignals limits the signals of one report.
	maxSignals = 256
	// minReportedPause is the shortest time left for which a pause is reported. The leader
	// does nothing about shorter ones.
	minReportedPause = 500 * time.Millisecond
)

// hostPause is the pause that a server asked of a follower, or of hosts behind it.
type hostPause struct {
	Life
	hosts int
	until time.Duration
}

// RecordSignals records the signals that a follower reported, in place of its earlier ones,
// and reports whether a server is newly known to leave.
func (d *Directory) RecordSignals(now time.Duration, host string, signals []Signal) bool {
	changed := false
	var pauses []hostPause
	for _, s := range signals[:min(len(signals), maxSignals)] {
		if s.Leaving && d.MarkLeaving(now, s.Life, SourceHost) {
			changed = true
		}
		if s.Hosts > 0 && s.Longest > 0 {
			pauses = append(pauses, hostPause{Life: s.Life, hosts: s.Hosts, until: now + s.Longest})
		}
	}
	delete(d.followerPauses, host)
	if len(pauses) > 0 {
		d.followerPauses[host] = pauses
	}
	return changed
}

// Pauses returns, by server ID, the pauses that listed servers asked of this host and its
// followers.
func (d *Directory) Pauses(now time.Duration) map[string]Pause {
	pauses := map[string]Pause{}
	add := func(life Life, hosts int, until time.Duration) {
		if s, listed := d.servers[life.ID]; !listed || s.Life() != life || until <= now {
			return
		}
		p := pauses[life.ID]
		pauses[life.ID] = Pause{Hosts: p.Hosts + hosts, Longest: max(p.Longest, until-now)}
	}
	for id, states := range d.lives.byID {
		for _, l := range states {
			add(Life{ID: id, Born: l.born}, 1, l.pausedUntil)
		}
	}
	for host, list := range d.followerPauses {
		if !slices.ContainsFunc(list, func(p hostPause) bool { return p.until > now }) {
			delete(d.followerPauses, host)
			continue
		}
		for _, p := range list {
			add(p.Life, p.hosts, p.until)
		}
	}
	return pauses
}

// Signals returns the signals to report: the listed servers that are known to leave
// although their entry does not say so, and the longer pauses.
func (d *Directory) Signals(now time.Duration) []Signal {
	pauses := d.Pauses(now)
	var signals []Signal
	for id, s := range d.servers {
		signal := Signal{Life: s.Life(), Leaving: d.lives.leavesUnlisted(s.Life())}
		if p := pauses[id]; p.Longest >= minReportedPause {
			signal.Pause = p
		}
		if signal.Leaving || signal.Hosts > 0 {
			signals = append(signals, signal)
		}
	}
	slices.SortFunc(signals, func(a, b Signal) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(b.Hosts, a.Hosts), cmp.Compare(a.ID, b.ID))
	})
	return signals[:min(len(signals), maxSignals)]
}

// rank orders signals for the limit: those of leaving servers come first.
func (s Signal) rank() int {
	if s.Leaving {
		return 1
	}
	return 0
}
