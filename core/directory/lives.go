package directory

import (
	"cmp"
	"slices"
	"time"
)

// Life names one run of a server. A restart under the same ID is another life, with a
// later Born.
type Life struct {
	ID   string
	Born int64 // start time in Unix milliseconds
}

// Life returns the life that the entry describes.
func (s Server) Life() Life { return Life{ID: s.ID, Born: s.Born} }

// Source says where a host learned that a server leaves.
type Source string

// Sources of a Notice.
const (
	SourceStore  Source = "store"  // an entry in the store
	SourceAnswer Source = "answer" // a response of the server to this host
	SourceHost   Source = "host"   // another host
)

// Notice is the first that a host learned of a server's leaving.
type Notice struct {
	Life
	Source Source
	At     time.Duration
}

// maxLives bounds the lives whose state is kept after their entries are gone. It covers
// several days of restarts in a large deployment.
const maxLives = 8192

// evictedPart is the part of maxLives that is removed at a time.
const evictedPart = 8

// lifeState is what is known of a life apart from its entry. It outlasts the entry, since
// an entry that expires may return.
type lifeState struct {
	born        int64
	leaving     bool // never reset
	listed      bool // the last entry says that the server leaves
	pausedUntil time.Duration
	changedAt   time.Duration
}

// lives holds the states of lives by server ID. A state is dropped when a newer life is
// listed.
type lives struct {
	byID    map[string][]lifeState
	count   int
	notices []Notice // not yet taken by Directory.TakeNotices
}

func (l *lives) find(life Life) *lifeState {
	for i := range l.byID[life.ID] {
		if s := &l.byID[life.ID][i]; s.born == life.Born {
			return s
		}
	}
	return nil
}

func (l *lives) leaving(life Life) bool {
	s := l.find(life)
	return s != nil && s.leaving
}

// add returns the state of a life, which it adds if there is none.
func (l *lives) add(life Life) *lifeState {
	if s := l.find(life); s != nil {
		return s
	}
	l.byID[life.ID] = append(l.byID[life.ID], lifeState{born: life.Born})
	l.count++
	return l.find(life)
}

// leavesUnlisted reports whether a life leaves although its last entry does not say so.
func (l *lives) leavesUnlisted(life Life) bool {
	s := l.find(life)
	return s != nil && s.leaving && !s.listed
}

func (l *lives) markLeaving(n Notice) bool {
	s := l.add(n.Life)
	if s.leaving {
		return false
	}
	s.leaving, s.changedAt = true, n.At
	l.notices = append(l.notices, n)
	return true
}

// removeWhere removes the states of a server's lives for which remove is true.
func (l *lives) removeWhere(id string, remove func(lifeState) bool) {
	before := l.byID[id]
	if len(before) == 0 {
		return
	}
	count := len(before)
	after := slices.DeleteFunc(before, remove)
	l.count -= count - len(after)
	if len(after) == 0 {
		delete(l.byID, id)
		return
	}
	l.byID[id] = after
}

// IsFormer reports whether the server is listed with a newer life.
func (d *Directory) IsFormer(life Life) bool {
	s, listed := d.servers[life.ID]
	return listed && s.Born > life.Born
}

// MarkLeaving records that a life leaves, which holds until the server is listed with a
// newer life. It reports whether that is new. What is said of a former life is ignored.
func (d *Directory) MarkLeaving(now time.Duration, life Life, source Source) bool {
	if d.IsFormer(life) || !d.lives.markLeaving(Notice{Life: life, Source: source, At: now}) {
		return false
	}
	if s, listed := d.servers[life.ID]; listed && s.Life() == life {
		s.Draining = true
		d.servers[life.ID] = s
	}
	d.evictLives()
	return true
}

// Leaving reports whether a life is known to leave.
func (d *Directory) Leaving(life Life) bool { return d.lives.leaving(life) }

// Pause records that a life asked this host for no requests until a time, and reports
// whether that is later than what it asked before. What a former life asked is ignored.
func (d *Directory) Pause(now time.Duration, life Life, until time.Duration) bool {
	if d.IsFormer(life) || until <= now {
		return false
	}
	s := d.lives.add(life)
	if until <= s.pausedUntil {
		return false
	}
	s.pausedUntil, s.changedAt = until, now
	d.evictLives()
	return true
}

// PausedUntil returns the end of the last pause that a life asked for; 0 for none.
func (d *Directory) PausedUntil(life Life) time.Duration {
	if s := d.lives.find(life); s != nil {
		return s.pausedUntil
	}
	return 0
}

// TakeNotices returns what has been learned of leaving servers since the last call.
func (d *Directory) TakeNotices() []Notice {
	taken := d.lives.notices
	d.lives.notices = nil
	return taken
}

// recordEntry updates the state of lives by an entry: it returns the entry as it is to be
// listed, and drops the states of former lives.
func (d *Directory) recordEntry(now time.Duration, s Server, source Source) Server {
	s.PausedUntil = 0
	d.lives.removeWhere(s.ID, func(l lifeState) bool { return l.born < s.Born })
	if s.Draining {
		d.lives.markLeaving(Notice{Life: s.Life(), Source: source, At: now})
	}
	if l := d.lives.find(s.Life()); l != nil {
		l.listed, s.Draining = s.Draining, l.leaving
	}
	return s
}

// evictLives removes the states that have been unchanged for longest once there are too
// many, apart from those of listed servers. It removes many at a time, because it looks at
// all of them.
func (d *Directory) evictLives() {
	if d.lives.count <= maxLives {
		return
	}
	type candidate struct {
		Life
		changedAt time.Duration
	}
	var candidates []candidate
	for id, states := range d.lives.byID {
		for _, l := range states {
			if s, listed := d.servers[id]; !listed || s.Born != l.born {
				candidates = append(candidates, candidate{Life{ID: id, Born: l.born}, l.changedAt})
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.changedAt, b.changedAt) })
	for _, c := range candidates[:min(len(candidates), maxLives/evictedPart)] {
		d.lives.removeWhere(c.ID, func(l lifeState) bool { return l.born == c.Born })
	}
}
