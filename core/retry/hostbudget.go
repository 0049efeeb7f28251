package retry

import "time"

// HostBudget is one host's part of the retry budget of a service. Each host of a
// deployment enforces its part alone, without communication between hosts. It
// counts the attempts that arrive at the service's servers in a sliding window; an
// extra arrival is any attempt after a request's first.
//
// Points in time count from the start of the host's process. During its first window a
// host has no part of the slack, because the process before it may just have used that;
// it retries by Ratio for the requests that it has got itself.
type HostBudget struct {
	Ratio  float64       // allowed extra arrivals per request
	Slack  float64       // extra arrivals per window in addition to Ratio, so that retries are possible with little traffic
	Window time.Duration // length of the sliding window

	buckets [bucketCount]bucket
}

// bucket counts the arrivals in one part of the window.
type bucket struct {
	start    time.Duration
	requests float64
	extra    float64
}

// bucketCount is the number of buckets: ten divide the window, and one more covers
// the part that is just leaving it. More buckets make the window slide in smaller steps.
const bucketCount = 11

// currentBucket returns the bucket of the time now, cleared if it held an older part
// of the window.
func (s *HostBudget) currentBucket(now time.Duration) *bucket {
	width := s.Window / (bucketCount - 1)
	n := now / width
	b := &s.buckets[int(n)%bucketCount]
	if b.start != n*width {
		*b = bucket{start: n * width}
	}
	return b
}

// RecordRequest counts the first arrival of a request.
func (s *HostBudget) RecordRequest(now time.Duration) { s.currentBucket(now).requests++ }

// TryReserve reserves one extra arrival. It returns false if the budget of the window
// is used up.
func (s *HostBudget) TryReserve(now time.Duration) bool {
	current := s.currentBucket(now)
	requests, extra := 0.0, 0.0
	for i := range s.buckets {
		if b := &s.buckets[i]; now-b.start <= s.Window+s.Window/(bucketCount-1) {
			requests += b.requests
			extra += b.extra
		}
	}
	allowed := s.Ratio * requests
	if now >= s.Window {
		allowed += s.Slack
	}
	if extra+1 > allowed {
		return false
	}
	current.extra++
	return true
}
