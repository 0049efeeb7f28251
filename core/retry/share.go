package retry

import "time"

// HostBudget is one host's part of a retry budget that all hosts of a deployment
// share without talking to each other. It counts arrivals at the servers of a
// service in a sliding window.
type HostBudget struct {
	Ratio  float64       // extra arrivals per request
	Slack  float64       // extra arrivals per window that are always allowed
	Window time.Duration // of the budget

	buckets [shareBuckets]bucket
}

type bucket struct {
	start    time.Duration
	requests float64
	extra    float64
}

// shareBuckets divides the window; with more, the window slides more finely.
const shareBuckets = 11

func (s *HostBudget) bucket(now time.Duration) *bucket {
	width := s.Window / (shareBuckets - 1)
	n := now / width
	b := &s.buckets[int(n)%shareBuckets]
	if b.start != n*width {
		*b = bucket{start: n * width}
	}
	return b
}

// RecordRequest notes the first arrival of a request.
func (s *HostBudget) RecordRequest(now time.Duration) { s.bucket(now).requests++ }

// TryReserve reserves one extra arrival. It returns false when the window has none
// left.
func (s *HostBudget) TryReserve(now time.Duration) bool {
	current := s.bucket(now)
	requests, extra := 0.0, 0.0
	for i := range s.buckets {
		if b := &s.buckets[i]; now-b.start <= s.Window+s.Window/(shareBuckets-1) {
			requests += b.requests
			extra += b.extra
		}
	}
	if extra+1 > s.Ratio*requests+s.Slack {
		return false
	}
	current.extra++
	return true
}
