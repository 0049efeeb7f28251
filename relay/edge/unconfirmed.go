package edge

import (
	"errors"
	"time"

	"parsleyrelay.example/core/dispatch"
)

const (
	// reasonStateUnconfirmed is the reason of refusals because of Options.MayDecide.
	reasonStateUnconfirmed = "state_unconfirmed"
	// unconfirmedRetryAfter is the Retry-After of these refusals. It is short, because a caller
	// reaches another host by a new connection.
	unconfirmedRetryAfter = 200 * time.Millisecond
)

// errStateUnconfirmed is the error of an attempt that was not sent because of Options.MayDecide: a
// change may have taken the server or the route out of use while the request waited.
var errStateUnconfirmed = errors.New("the state is older than the bounds allow")

func (e *Edge) mayDecide() bool { return e.options.MayDecide == nil || e.options.MayDecide() }

// holdBack releases the server of an attempt that this host did not send. The server is not silent.
func (c *callerRequest) holdBack(s dispatch.Server) {
	if c.keyed {
		c.edge.recordContact(s.ID, -1, 0)
	}
	c.reportResult(s.ID, dispatch.AttemptResult{Outcome: dispatch.Canceled})
}
