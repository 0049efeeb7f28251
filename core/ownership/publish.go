package ownership

import (
	"maps"
	"time"

	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// viewChanges records which parts of the view are out of date.
type viewChanges struct {
	scalars    bool // fields that are no maps
	resources  bool
	members    bool // members and witness sets
	servers    map[string]struct{}
	tables     map[string]struct{} // by service
	everything bool
	leaseUntil time.Duration
}

func (v *viewChanges) markEverything() { v.scalars, v.everything = true, true }

func (v *viewChanges) markServer(name string) {
	if v.servers == nil {
		v.servers = map[string]struct{}{}
	}
	v.servers[name] = struct{}{}
}

func (v *viewChanges) markTable(service string) {
	if v.tables == nil {
		v.tables = map[string]struct{}{}
	}
	v.tables[service] = struct{}{}
}

func (v *viewChanges) setLeaseUntil(until time.Duration) {
	if until != v.leaseUntil {
		v.leaseUntil, v.scalars = until, true
	}
}

// publishView publishes a new view if anything in it has changed. Unchanged maps
// are shared with the previous view.
func (m *Machine) publishView() {
	for name, h := range m.localHomes {
		if !h.spec.ChecksGrants && h.publishedView.DispatchUntil != m.dispatchUntil(h) {
			m.viewChanges.markServer(name)
		}
	}
	changes := &m.viewChanges
	if !changes.scalars && !changes.everything && !changes.resources && !changes.members && len(changes.servers) == 0 && len(changes.tables) == 0 {
		return
	}
	old := m.view
	if old == nil {
		old = &View{}
	}
	v := &View{
		AppliedOffset: m.state.AppliedOffset(), StateComplete: m.stateComplete, Draining: m.draining, LogReachable: m.logReachable,
		LeaseUntil: changes.leaseUntil, SelfIncarnation: m.cfg.Incarnation,
		Resources: old.Resources, Members: old.Members, Tables: old.Tables, Servers: old.Servers,
		Witnesses: old.Witnesses,
	}
	m.buildViewMaps(v, old, changes)
	m.view = v
	m.viewChanges = viewChanges{leaseUntil: changes.leaseUntil}
	m.addEffect(PublishView{View: v})
}

func (m *Machine) buildViewMaps(v, old *View, changes *viewChanges) {
	if changes.everything || changes.resources {
		v.Resources = map[resource.Key]resource.Resource{}
		for _, kind := range resource.Kinds {
			for _, r := range m.state.Resources(kind) {
				v.Resources[r.Key()] = r
			}
		}
	}
	if changes.everything || changes.members {
		v.Witnesses = m.state.WitnessSets()
		v.Members = map[string]state.Member{}
		for _, member := range m.state.Members() {
			v.Members[member.Incarnation] = member
		}
	}
	if changes.everything || changes.resources || len(changes.tables) > 0 {
		v.Tables = map[string]*state.SliceTable{}
		for _, service := range m.serviceNames {
			if table := m.state.SliceTable(service); table != nil {
				v.Tables[service] = table
			}
		}
	}
	switch {
	case changes.everything:
		v.Servers = map[string]ServerView{}
		for _, name := range m.serverNames {
			v.Servers[name] = m.serverView(name)
		}
	case len(changes.servers) > 0:
		v.Servers = maps.Clone(old.Servers)
		for name := range changes.servers {
			if _, ok := m.state.Server(name); ok {
				v.Servers[name] = m.serverView(name)
			} else {
				delete(v.Servers, name)
			}
		}
	}
}

func (m *Machine) serverView(name string) ServerView {
	spec, _ := m.state.Server(name)
	v := ServerView{Spec: spec, Home: m.state.Home(name)}
	h := m.localHomes[name]
	if h == nil {
		return v
	}
	v.Local, v.Term, v.SubTerm, v.Instance = true, h.assignment.Term, h.subTerm, h.instance
	v.DispatchUntil, v.ServingSet = m.dispatchUntil(h), h.servingSet
	switch {
	case h.unresponsive:
		v.State = ServerUnresponsive
	case m.isServerLeaving(name, spec):
		v.State = ServerDraining
	case h.active && !h.relinquished && m.now < v.DispatchUntil:
		v.State = ServerServing
	default:
		v.State = ServerWaiting
	}
	h.publishedView = v
	return v
}

// dispatchUntil returns the time after which no request may be sent to a server.
func (m *Machine) dispatchUntil(h *localHome) time.Duration {
	if !h.active || h.relinquished {
		return 0
	}
	if h.spec.ChecksGrants {
		return h.grantUntil
	}
	until, _ := m.prefixLease(h.scope)
	return until
}
