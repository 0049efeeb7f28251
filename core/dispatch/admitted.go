package dispatch

import "time"

// admittedShareTTL is the time after which admitted shares without a successor end. It
// covers the loss of a few responses of the leader host, which computes them.
const admittedShareTTL = 1500 * time.Millisecond

// admission limits the requests that this host queues for one server with keys that gets
// more requests from all hosts than it can serve.
type admission struct {
	share  float64 // of the requests for the server's keys; 1 without a limit
	until  time.Duration
	credit float64 // requests that may be queued now
}

// SetAdmittedShares limits the requests that are queued for overloaded servers with keys:
// shares holds, by server, the share of the requests for its keys that may be queued.
// Servers without an entry have no limit. The shares hold for admittedShareTTL.
func (p *Pool) SetAdmittedShares(now time.Duration, shares map[string]float64) {
	for id, s := range p.servers {
		share, limited := shares[id]
		if !limited {
			s.admission = admission{share: 1}
			continue
		}
		if s.admission.share >= 1 {
			// Each host starts at another point, so that the hosts do not admit their
			// first requests together.
			s.admission.credit = hashFraction(p.host + "|" + id)
		}
		s.admission.share, s.admission.until = share, now+admittedShareTTL
	}
}

// admit reports whether a request may be queued. Requests of rank 0 are admitted at the
// expense of later requests of the other ranks.
func (a *admission) admit(now time.Duration, rank int) bool {
	if a.share >= 1 || now >= a.until {
		return true
	}
	a.credit += a.share
	if a.credit < 1 && rank > 0 {
		return false
	}
	a.credit = max(a.credit-1, -1)
	return true
}
