package dispatch

import "time"

// RetryAfterRefusal returns how long a caller should wait before it returns after a server
// with the given load refused its request. target is the latency at which the route
// aims; 0 for none.
//
// A server that refuses although its queue is short refuses part of its requests
// whatever the load, so the caller has the same chance at once, and a wait only uses
// up its time. The queue of a full server needs time to shrink.
func RetryAfterRefusal(load *Load, target time.Duration) time.Duration {
	switch {
	case load.HasShortQueue():
		return promptRetryAfter
	case target > 0:
		return min(fullServerRetryAfter, time.Duration(float64(target)*retryAfterShare))
	}
	return fullServerRetryAfter
}

const (
	// promptRetryAfter is the pause after a refusal that is not caused by load. It is
	// not 0, so that callers do not return in a busy loop.
	promptRetryAfter = 50 * time.Millisecond
	// fullServerRetryAfter bounds the pause after a full server refused.
	fullServerRetryAfter = 500 * time.Millisecond
	// retryAfterShare is the share of the target latency that callers wait after a full
	// server refused; most of the rest is needed to run the request.
	retryAfterShare = 0.3
)
