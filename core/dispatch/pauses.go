package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file holds back the requests to servers that asked this host for a pause. Such a
// pause is kept apart from those that the host chooses itself after a failure
// (serverState.pausedUntil), which later results may shorten. It is remembered with the
// list of servers, so that it outlasts the entry of the server.

// ServerPaused says that all servers that can run the request asked for a pause that lasts
// longer than the request can wait.
const ServerPaused RefusalReason = "server_paused"

const (
	// maxPauseShare is the largest share of its time in the queue that a request waits for
	// the end of a pause. The rest is needed because requests return one after another.
	maxPauseShare = 0.5
	// resumedWindow limits the requests in flight at a server whose pause has just ended.
	resumedWindow = 1.0
	// resumedWindowGrowth multiplies this limit with each success.
	resumedWindowGrowth = 2.0
)

// setListed replaces what the list of servers says. Within one life a pause is never
// shortened.
func (s *serverState) setListed(listed Server) {
	pausedUntil := listed.PausedUntil
	if listed.Born == s.Born {
		pausedUntil = max(pausedUntil, s.PausedUntil)
	} else {
		s.PausedUntil, s.resumeWindow = 0, 0
	}
	if pausedUntil > s.PausedUntil {
		s.resumeWindow = resumedWindow
	}
	s.Server, s.removed = listed, false
	s.PausedUntil = pausedUntil
}

// requestedPause returns how long the server still wants no requests.
func (s *serverState) requestedPause(now time.Duration) time.Duration {
	return max(0, s.PausedUntil-now)
}

// resuming reports whether the server's requests in flight reach the limit after a pause.
func (s *serverState) resuming() bool {
	return s.resumeWindow > 0 && float64(s.inflight) >= s.resumeWindow
}

// resume adjusts the limit after a pause to the result of an attempt that began after it.
func (s *serverState) resume(now time.Duration, r AttemptResult) {
	if s.resumeWindow == 0 || now-r.Latency < s.PausedUntil {
		return
	}
	switch r.Outcome {
	case OK:
		s.resumeWindow *= resumedWindowGrowth
		if s.resumeWindow >= resumedWindowGrowth*float64(max(1, s.Slots)) {
			s.resumeWindow = 0
		}
	case ServerFull, Unreachable, ConnectionLost, Slow, DeadlineExceeded:
		s.resumeWindow = resumedWindow
	}
}

// resumeWait estimates how long ahead+1 requests take to pass the limit after a pause.
func (s *serverState) resumeWait(ahead int) time.Duration {
	if s.resumeWindow == 0 {
		return 0
	}
	return secondsToDuration(math.Log2(1+float64(ahead)/s.resumeWindow) * s.latency)
}

// requestedPause returns the time until the first server that may run a request ends the
// pause for which it asked; 0 if one of them has not asked.
func (p *Pool) requestedPause(now time.Duration, request *queuedRequest) time.Duration {
	if now >= p.lastPauseEnd {
		return 0
	}
	if p.holderOf != nil && request.Keyed {
		id, _ := p.holderOf(request.Key)
		if s := p.servers[id]; s != nil && !s.removed {
			return s.requestedPause(now)
		}
		return 0
	}
	shortest, found, reservedShare := time.Duration(0), false, p.reservedShare()
	for _, excluded := range []bool{false, true} { // excluded servers count if there are no others
		for _, s := range p.candidates {
			if slices.Contains(request.ExcludeIDs, s.ID) != excluded || request.Rank > 0 && s.reservationOrder < reservedShare {
				continue
			}
			if pause := s.requestedPause(now); !found || pause < shortest {
				shortest, found = pause, true
			}
		}
		if found {
			break
		}
	}
	return shortest
}

// refuseForPause reports whether the request cannot wait for the end of a pause, and when
// its caller should return. Another host may serve it sooner, so that is at most
// maxRetryAfter.
func (p *Pool) refuseForPause(now time.Duration, request *queuedRequest) (retryAfter time.Duration, refuse bool) {
	if now >= p.lastPauseEnd {
		return 0, false
	}
	pause := p.requestedPause(now, request)
	left := min(request.submitted+request.MaxQueueWait, request.Deadline) - now
	if pause == 0 || float64(pause) <= maxPauseShare*float64(left) {
		return 0, false
	}
	return clampRetryAfter(pause), true
}
