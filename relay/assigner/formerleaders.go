package assigner

import (
	"slices"
	"sync"
	"time"

	"parsleyrelay.example/core/assignment"
	"parsleyrelay.example/core/event"
)

// formerLeaders are the leaders before this host's term whose processes may still run and
// grant. It is safe for concurrent use.
type formerLeaders struct {
	mu         sync.Mutex
	last       string   // incarnation of the leader before the term
	running    []string // incarnations of last and of the leaders before it whose exit is not known
	term       uint64   // this host's term
	nextOffset uint64   // of the map that begins the term
}

// leadersExited reports that the process of the leader before a term of this host, or of all
// leaders before it, has ended.
type leadersExited struct {
	term uint64
	all  bool
}

// set records the leaders before the term that the map m begins.
func (f *formerLeaders) set(last string, m *assignment.Map) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last, f.running, f.term, f.nextOffset = last, slices.Clone(m.EarlierLeaders), m.Term, m.NextOffset
	if !slices.Contains(f.running, last) {
		f.running = append(f.running, last) // it has resigned
	}
}

// RecordKnownMap is called when a process of a host, identified by incarnation, reports
// the NextOffset of its newest map. It detects that former leaders have ended: this is
// proved by another process of the same host that knows the map with which this host's term
// began, because a host runs one process at a time, and an earlier process cannot know that
// map, however late its call arrives.
func (a *Assigner) RecordKnownMap(incarnation string, nextOffset uint64) {
	f := &a.formerLeaders
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.running) == 0 || nextOffset < f.nextOffset {
		return
	}
	host, before := a.options.HostOf(incarnation), len(f.running)
	lastRan := slices.Contains(f.running, f.last)
	f.running = slices.DeleteFunc(f.running, func(former string) bool {
		return former != incarnation && a.options.HostOf(former) == host
	})
	lastExited := lastRan && !slices.Contains(f.running, f.last)
	exited := leadersExited{term: f.term, all: len(f.running) == 0}
	if len(f.running) < before && (lastExited || exited.all) {
		// Run calls this method too and must not block on its own queue.
		go func() { a.messages <- message{leadersExited: &exited} }()
	}
}

// handleExitOfLeaders shortens the wait for grants of former leaders.
func (a *Assigner) handleExitOfLeaders(now time.Duration, e leadersExited) {
	if a.leader == nil || a.leader.Term() != e.term {
		return
	}
	a.options.Journal.LogEvent(event.FormerLeaderEnded, "term", e.term, "all", e.all)
	if e.all {
		a.leader.RecordExitOfEarlierLeaders(now)
	} else {
		a.leader.RecordFormerLeaderExit(now)
	}
}
