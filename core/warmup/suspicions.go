package warmup

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"parsleyrelay.example/core/directory"
)

// Evidence says why a server counts as cold although its registration does not say so.
type Evidence string

// The kinds of Evidence. EvidenceRegistration and EvidenceList are only logged.
const (
	EvidenceRegistration Evidence = "registration"     // its registration says so
	EvidenceList         Evidence = "list"             // the list of the followed host says so
	EvidenceRestart      Evidence = "newer_start_time" // its registration has a newer start time
	EvidenceAnswer       Evidence = "answers_again"    // it answered this host after it could not be reached
	EvidenceHost         Evidence = "other_host"       // another host reported it
	EvidenceSuccessor    Evidence = "former_list"      // the host that was followed before listed it as cold
)

const (
	// UnreachableTime is the time for which a server must have been unreachable to be
	// suspected when it answers again.
	UnreachableTime = 300 * time.Millisecond
	// maxLives limits the servers whose start times are kept.
	maxLives = 8192
)

// Suspicions holds the servers that count as cold because they may have started again.
//
// A host that reads the store ends a suspicion at a registration that was written after it
// (RecordRead, RecordRegistration). A host that follows another reports it, and the list of
// that host then says whether the server is cold (Report). It is not safe for concurrent use.
type Suspicions struct {
	byLife   map[directory.Life]*suspicion
	born     map[string]int64 // newest start time by server ID
	notices  []Notice
	ofLeader map[directory.Life]bool // cold by the list of the host that was followed last
	// reportedStateAt is Report's stateAt at its last call.
	reportedStateAt time.Duration
}

// suspicion says that a server may be cold.
type suspicion struct {
	evidence  Evidence
	since     time.Duration
	until     time.Duration
	endOffset uint64 // registrations from this offset on were written after since; 0 if not known yet
	reported  bool   // to the followed host, in the last call
}

// Notice is a new suspicion, for the log.
type Notice struct {
	directory.Life
	Evidence Evidence
	Until    time.Duration
}

// NewSuspicions returns an empty set.
func NewSuspicions() *Suspicions {
	return &Suspicions{byLife: map[directory.Life]*suspicion{}, born: map[string]int64{}}
}

// Suspect records that a server may be cold for its warm-up time from now on, and reports
// whether it did not count as cold before.
func (s *Suspicions) Suspect(now time.Duration, life directory.Life, warmup time.Duration, evidence Evidence) bool {
	if warmup <= 0 || life.Born < s.born[life.ID] {
		return false
	}
	former := s.byLife[life]
	if former != nil && former.evidence == EvidenceRestart && now < former.until {
		// The end of this one does not depend on registrations.
		former.until = max(former.until, now+warmup)
		return false
	}
	s.byLife[life] = &suspicion{evidence: evidence, since: now, until: now + warmup}
	if former != nil {
		return false
	}
	s.notices = append(s.notices, Notice{Life: life, Evidence: evidence, Until: now + warmup})
	return true
}

// ObserveLife records the start time of a listed server, which counts as cold if it has
// started again.
func (s *Suspicions) ObserveLife(now time.Duration, life directory.Life, warmup time.Duration) {
	former, known := s.born[life.ID]
	if known && life.Born <= former {
		return
	}
	if !known && len(s.born) >= maxLives {
		clear(s.born) // a restart that follows is known from its registration only
	}
	s.born[life.ID] = life.Born
	if known {
		s.Suspect(now, life, warmup, EvidenceRestart)
		for l := range s.byLife {
			if l.ID == life.ID && l.Born < life.Born {
				delete(s.byLife, l)
			}
		}
	}
}

// SetFollowed sets the servers that are cold by the list of the followed host.
func (s *Suspicions) SetFollowed(servers map[string]directory.Server) {
	s.ofLeader = map[directory.Life]bool{}
	for _, v := range servers {
		if v.Cold {
			s.ofLeader[v.Life()] = true
		}
	}
}

// EndFollowing is called when this host begins to read the store. It returns the servers
// that the followed host listed as cold. They are to be suspected, since that host may have
// had other evidence than their registrations.
func (s *Suspicions) EndFollowing() []directory.Life {
	lives := slices.Collect(maps.Keys(s.ofLeader))
	s.ofLeader = nil
	return lives
}

// RecordRegistration records a server's registration at an offset of the store's log, and
// reports whether it ended a suspicion.
func (s *Suspicions) RecordRegistration(life directory.Life, cold bool, offset uint64) bool {
	v := s.byLife[life]
	if v == nil || cold || v.evidence == EvidenceRestart || v.endOffset == 0 || offset < v.endOffset {
		return false
	}
	delete(s.byLife, life)
	return true
}

// RecordRead records a read of the registrations that returned all records before an
// offset. Registrations from there on were written after the read was sent.
func (s *Suspicions) RecordRead(sentAt time.Duration, nextOffset uint64) {
	for _, v := range s.byLife {
		if v.endOffset == 0 && sentAt >= v.since {
			v.endOffset = max(1, nextOffset)
		}
	}
}

// Expire ends the suspicions that have lasted for the warm-up time, and reports whether
// there were any.
func (s *Suspicions) Expire(now time.Duration) bool {
	ended := false
	for life, v := range s.byLife {
		if now >= v.until {
			delete(s.byLife, life)
			ended = true
		}
	}
	return ended
}

// Mark sets Cold of the servers that are suspected.
func (s *Suspicions) Mark(now time.Duration, servers map[string]directory.Server) {
	for life, v := range s.byLife {
		if server, ok := servers[life.ID]; ok && server.Life() == life && now < v.until {
			server.Cold = true
			servers[life.ID] = server
		}
	}
}

// Report returns the servers to report with the next call to the followed host, in order.
// stateAt is the time of the state that the last answered call brought; calls follow one
// another. If it is later than at the last Report, the call between them was answered: the
// followed host knows what was reported, its list is in force here, and it decides how long
// its suspicions last; ended reports whether there were any. A newer start time is known to
// all hosts by the registration.
func (s *Suspicions) Report(now, stateAt time.Duration) (lives []directory.Life, ended bool) {
	answered := stateAt > s.reportedStateAt
	s.reportedStateAt = stateAt
	for life, v := range s.byLife {
		switch {
		case v.evidence == EvidenceRestart || now >= v.until:
		case v.reported && answered:
			delete(s.byLife, life)
			ended = true
		default:
			v.reported = true
			lives = append(lives, life)
		}
	}
	slices.SortFunc(lives, func(a, b directory.Life) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
	return lives, ended
}

// TakeNotices returns the suspicions that have begun since the last call.
func (s *Suspicions) TakeNotices() []Notice {
	taken := s.notices
	s.notices = nil
	return taken
}

// Reachability notices when a server answers after it could not be reached. It is not safe
// for concurrent use.
type Reachability struct {
	unreachableSince map[directory.Life]time.Duration
}

// NewReachability returns a Reachability that has seen no failure.
func NewReachability() *Reachability {
	return &Reachability{unreachableSince: map[directory.Life]time.Duration{}}
}

// RecordFailure records that no connection to a server could be opened by an attempt that
// began at a time. Connections that break after they were opened do not count, because full
// servers reset them.
func (r *Reachability) RecordFailure(begun time.Duration, life directory.Life) {
	if _, failed := r.unreachableSince[life]; failed {
		return
	}
	if len(r.unreachableSince) >= maxLives {
		clear(r.unreachableSince)
	}
	r.unreachableSince[life] = begun
}

// RecordAnswer records a response, and reports whether the server was unreachable for
// UnreachableTime or longer before.
func (r *Reachability) RecordAnswer(now time.Duration, life directory.Life) bool {
	since, failed := r.unreachableSince[life]
	delete(r.unreachableSince, life)
	return failed && now-since >= UnreachableTime
}
