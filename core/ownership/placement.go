package ownership

import (
	"time"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/placement"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// placementDelay is how long the servers of a service without slices must be
// unchanged before its slices are placed, so that all servers of a new service are
// declared by then.
const placementDelay = time.Second

// proposePlacements proposes the initial placement of services without slices.
func (m *Machine) proposePlacements() {
	if _, ok := m.state.Member(m.cfg.Incarnation); !ok || m.draining {
		return
	}
	for _, service := range sortedKeys(m.unplacedSince) {
		spec, ok := m.state.Service(service)
		servers := m.eligibleServers(service, "")
		if !ok || len(servers) == 0 {
			continue
		}
		key := "place/" + service
		waited := m.now - m.unplacedSince[service] - placementDelay
		if !m.isProposing(key) && !m.isOwnTurn(key, m.state.Members(), waited) {
			continue
		}
		// placement.PlaceSlices gives each server its exact share. Plain rendezvous hashing
		// is uneven: it gives six servers between 37 and 56 of 256 slices.
		shares := make([]placement.Server, len(servers))
		for i, s := range servers {
			shares[i] = placement.Server{Name: s.name, Weight: s.weight}
		}
		m.propose(key, record.SlicesPlaced{
			Service: service, Slices: placement.PlaceSlices(service, keyspace.EqualRanges(spec.EffectiveSlices()), shares),
		})
	}
}

// eligibleServers returns the servers of a service that may receive slices. If zone
// is set, it returns only those of that zone, unless there are none.
func (m *Machine) eligibleServers(service, zone string) []weightedServer {
	var all, inZone []weightedServer
	for _, name := range m.serverNames {
		spec, ok := m.state.Server(name)
		if !ok || spec.Service != service || spec.Drain || spec.Gone || m.isServerLeaving(name, spec) {
			continue
		}
		if _, lost := m.zoneLostSince[spec.Zone]; lost {
			continue
		}
		w := weightedServer{name: name, weight: spec.EffectiveWeight()}
		all = append(all, w)
		if spec.Zone == zone {
			inZone = append(inZone, w)
		}
	}
	if zone != "" && len(inZone) > 0 {
		return inZone
	}
	return all
}

// isServerLeaving reports whether a server is leaving: an operator drains it, the host
// list shows the server or its host as leaving, or it reported to its home that it is
// draining. The host list can contain servers by name.
func (m *Machine) isServerLeaving(name string, spec *resource.Server) bool {
	if spec.Drain || m.leavingHosts[name] || m.leavingHosts[addressHost(spec.Address)] {
		return true
	}
	h := m.localHomes[name]
	return h != nil && h.serverDraining
}
