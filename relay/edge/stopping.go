package edge

import (
	"errors"

	"parsleyrelay.example/core/dispatch"
)

// reasonHostStops is the reason of refusals after StopSending.
const reasonHostStops = "host_stops"

// errHostStops is the error of an attempt that was not sent because of StopSending.
var errHostStops = errors.New("the host stops")

// StopSending refuses, with status 503, the requests that wait for a server and all that
// would be sent from now on, unless they may have run. A host calls it before its process
// ends, because a connection that ends without a response says nothing about its request.
func (e *Edge) StopSending() { e.stopOnce.Do(func() { close(e.stopSending) }) }

func (e *Edge) sendingStopped() bool {
	select {
	case <-e.stopSending:
		return true
	default:
		return false
	}
}

var hostStops = dispatch.Decision{Reason: reasonHostStops, RetryAfter: defaultRetryAfter}
