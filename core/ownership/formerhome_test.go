package ownership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a grant that counts for longer than its server holds it: a host is the
// home of a server again, for instance when its provisional home is confirmed, and takes
// the response to the first call of the former home, with an older token, for that to its
// own first call.
func TestResponseToAFormerHomeCountsForNoLaterOne(t *testing.T) {
	cluster := newServingCluster(t, 3, "checka")
	for _, daemon := range cluster.daemons {
		m := daemon.machine
		former := m.localHomes["checka"]
		if former == nil {
			continue
		}
		assignment := former.assignment
		assignment.Term++
		m.endHome(former)
		m.startHome("checka", former.spec, assignment, 0)
		h := m.localHomes["checka"]
		m.callServer(h)
		require.NotNil(t, h.inFlight)
		m.handleGrantResponse(GrantResponse{Server: "checka", Seq: 1, Term: former.assignment.Term, Instance: former.instance, Token: former.token})
		require.Empty(t, h.token, "token that was issued before the call of this home")
	}
}
