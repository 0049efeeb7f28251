package assignment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"parsleyrelay.example/core/directory"
)

// evacuateZone evacuates the zone of newZoneSimulation.
func (sim *simulation) evacuateZone() {
	for _, id := range []string{"0", "1", "2"} {
		sim.servers[id].Evacuated = true
	}
}

// Guards against keys of a zone that move to a server which has stopped answering, where they
// are not served.
func TestSilentServersGetNoKeysOfAZone(t *testing.T) {
	sim, l := newZoneSimulation(t)
	l.SetHostCount(minLimitingHosts)
	for range 20 {
		l.RecordArrivals("stock", []uint16{1})
		l.RecordContact("11", 1, 0)
		sim.run(100*time.Millisecond, l)
	}
	require.True(t, l.IsSilent("11"))
	before := sim.rangesByOwner()["11"]
	sim.evacuateZone()
	delete(sim.servers, "10") // its keys move, too
	l.SetServers(sim.serversExcept())
	sim.run(1500*time.Millisecond, l)
	owned, _ := sim.inZone()
	require.Zero(t, owned)
	require.LessOrEqual(t, sim.rangesByOwner()["11"], before)
}

// Guards against keys of a zone that all move to one cold server because it has many slots.
func TestColdServersGetKeysOfAZoneUpToTheirRoom(t *testing.T) {
	sim, l := newZoneSimulation(t)
	const limit = 50.0 // requests per second, of 160 for all servers
	l.SetWarmupLimits(map[string]float64{"stock": limit})
	for id, s := range sim.servers {
		s.Cold = len(id) > 1 || id > "2"
	}
	sim.servers["11"].Slots = 60
	l.SetServers(sim.serversExcept())
	next := uint16(0)
	send := func(d time.Duration) {
		sim.sendRequests(l, d, 8, func() uint16 { next += 40503; return next })
	}
	send(4 * time.Second)
	sim.evacuateZone()
	l.SetServers(sim.serversExcept())
	send(2 * time.Second)
	owned, _ := sim.inZone()
	require.Zero(t, owned)
	room := l.coldRooms("stock", []directory.Server{sim.servers["11"].Server})["11"]
	require.GreaterOrEqual(t, room, -0.25*limit, "the rates vary by a part of the limit")
}
