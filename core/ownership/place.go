package ownership

import (
	"time"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/placement"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// placementDelay lets the servers of a new service be declared before its
// slices are placed.
const placementDelay = time.Second

// placeServices proposes the first placement of services without slices.
func (m *Machine) placeServices() {
	if _, ok := m.st.Member(m.cfg.Incarnation); !ok || m.draining {
		return
	}
	for _, service := range sortedKeys(m.unplaced) {
		spec, ok := m.st.Service(service)
		servers := m.placeable(service, "")
		if !ok || len(servers) == 0 {
			continue
		}
		key := "place/" + service
		since := m.now - m.unplaced[service] - placementDelay
		if !m.proposing(key) && !m.myTurn(key, m.st.Members(), since) {
			continue
		}
		// Each server gets its share: with plain rendezvous order six servers got
		// 37 to 56 of 256 slices.
		shares := make([]placement.Server, len(servers))
		for i, s := range servers {
			shares[i] = placement.Server{Name: s.name, Weight: s.weight}
		}
		m.propose(key, record.SlicesPlaced{
			Service: service, Slices: placement.Place(service, keyspace.Divide(spec.EffectiveSlices()), shares),
		})
	}
}

// placeable returns the servers of a service that may get slices. With a zone
// it returns only those of that zone, unless there are none.
func (m *Machine) placeable(service, zone string) []weighted {
	var all, inZone []weighted
	for _, name := range m.servers {
		spec, ok := m.st.Server(name)
		if !ok || spec.Service != service || spec.Drain || spec.Gone || m.serverLeaving(name, spec) {
			continue
		}
		if _, lost := m.zoneLost[spec.Zone]; lost {
			continue
		}
		w := weighted{name: name, weight: spec.EffectiveWeight()}
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

// serverLeaving reports whether a server or its host is on its way out.
func (m *Machine) serverLeaving(name string, spec *resource.Server) bool {
	if spec.Drain || m.leaving[name] || m.leaving[hostOf(spec.Address)] {
		return true
	}
	h := m.local[name]
	return h != nil && h.hintDrain
}
