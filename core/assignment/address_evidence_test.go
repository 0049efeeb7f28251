package assignment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that is taken for ended while it accepts grants, because another
// server is listed with its address and a later start time: the clock of the other one was
// ahead and its entry has not expired yet, or the list does not show yet that the server
// has started again after it.
func TestServerThatAcceptsGrantsHasNotEnded(t *testing.T) {
	for name, test := range map[string]struct {
		id         string
		clockAhead time.Duration // of the other server
	}{
		"clock ahead": {"6", time.Minute},
		"old list":    {"2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "1", "2", "3", "4")
			l := sim.leaderAfterPlacement("a")
			former := sim.addServer("5")
			former.Address, former.Draining = sim.addressOf(test.id), true
			former.Born += int64(test.clockAhead)
			servers := sim.serversExcept()
			delete(sim.servers, "5")
			sim.step(l)
			s := sim.addServer(test.id)
			if test.id == "6" {
				servers["stock"]["6"] = s.Server
			}
			l.SetServers(servers)
			sim.run(RenewalInterval+time.Second, l)
			require.NotEmpty(t, s.heldUntil)
			listed := servers["stock"][test.id]
			listed.Draining = true
			servers["stock"][test.id] = listed
			sim.run(time.Second, l)
		})
	}
}

// Guards against a server that is taken for ended although it accepted a grant that was
// open when another server responded at its address: it has started again since.
func TestGrantThatEndsAfterAnotherServerRespondedIsWaitedFor(t *testing.T) {
	sim := newSimulation(t, "1", "2", "3", "4")
	l := sim.leaderAfterPlacement("a")
	sim.now += 2 * RenewalInterval
	var toServer2 []Call
	for _, c := range l.Tick(sim.now) {
		if c.Server.ID == "2" {
			toServer2 = append(toServer2, c)
		} else {
			sim.send(l, c)
		}
	}
	l.HandleCallResult(sim.now, toServer2[0], CallResult{Status: CallAddressReused})
	servers := sim.serversExcept()
	sim.now += tick
	restarted := sim.addServer("2")
	for _, c := range toServer2[1:] {
		l.HandleCallResult(sim.now, c, sim.apply(restarted, sim.now, c))
	}
	l.SetServers(servers)
	restarted.unreachable = true
	sim.run(time.Second, l)
}
