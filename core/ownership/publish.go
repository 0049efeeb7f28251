package ownership

import (
	"maps"
	"time"

	"parsleyrelay.example/core/resource"
	"parsleyrelay.example/core/state"
)

// viewChange says which parts of the view are out of date.
type viewChange struct {
	all       bool // scalar fields
	resources bool
	members   bool
	servers   map[string]struct{}
	tables    map[string]struct{}
	every     bool
	until     time.Duration
}

func (v *viewChange) everything() { v.all, v.every = true, true }

func (v *viewChange) server(name string) {
	if v.servers == nil {
		v.servers = map[string]struct{}{}
	}
	v.servers[name] = struct{}{}
}

func (v *viewChange) table(service string) {
	if v.tables == nil {
		v.tables = map[string]struct{}{}
	}
	v.tables[service] = struct{}{}
}

func (v *viewChange) lease(until time.Duration) {
	if until != v.until {
		v.until, v.all = until, true
	}
}

// publish emits a new view if anything that it shows has changed. Maps that did
// not change are shared with the previous view.
func (m *Machine) publish() {
	for name, h := range m.local {
		if !h.spec.ChecksGrants && h.lastLook.DispatchUntil != m.untilOf(h) {
			m.viewDirty.server(name)
		}
	}
	d := &m.viewDirty
	if !d.all && !d.every && !d.resources && !d.members && len(d.servers) == 0 && len(d.tables) == 0 {
		return
	}
	old := m.view
	if old == nil {
		old = &View{}
	}
	v := &View{
		AppliedOffset: m.st.Applied(), StateComplete: m.complete, Draining: m.draining, LogReachable: m.logReachable,
		LeaseUntil: d.until, SelfIncarnation: m.cfg.Incarnation,
		Resources: old.Resources, Members: old.Members, Tables: old.Tables, Servers: old.Servers,
		Witnesses: old.Witnesses,
	}
	m.fillMaps(v, old, d)
	m.view = v
	m.viewDirty = viewChange{until: d.until}
	m.emit(PublishView{View: v})
}

func (m *Machine) fillMaps(v, old *View, d *viewChange) {
	if d.every || d.resources {
		v.Resources = map[resource.Key]resource.Resource{}
		for _, kind := range resource.Kinds {
			for _, r := range m.st.Resources(kind) {
				v.Resources[r.Key()] = r
			}
		}
	}
	if d.every || d.members {
		v.Witnesses = m.st.WitnessSets()
		v.Members = map[string]state.Member{}
		for _, member := range m.st.Members() {
			v.Members[member.Incarnation] = member
		}
	}
	if d.every || d.resources || len(d.tables) > 0 {
		v.Tables = map[string]*state.Table{}
		for _, service := range m.services {
			if table := m.st.Table(service); table != nil {
				v.Tables[service] = table
			}
		}
	}
	switch {
	case d.every:
		v.Servers = map[string]ServerView{}
		for _, name := range m.servers {
			v.Servers[name] = m.look(name)
		}
	case len(d.servers) > 0:
		v.Servers = maps.Clone(old.Servers)
		for name := range d.servers {
			if _, ok := m.st.Server(name); ok {
				v.Servers[name] = m.look(name)
			} else {
				delete(v.Servers, name)
			}
		}
	}
}

func (m *Machine) look(name string) ServerView {
	spec, _ := m.st.Server(name)
	v := ServerView{Spec: spec, Home: m.st.Home(name)}
	h := m.local[name]
	if h == nil {
		return v
	}
	v.Local, v.Term, v.SubTerm, v.Instance = true, h.assigned.Term, h.subTerm, h.instance
	v.DispatchUntil, v.Serving = m.untilOf(h), h.serving
	switch {
	case h.unresponsive:
		v.State = ServerUnresponsive
	case m.serverLeaving(name, spec):
		v.State = ServerDraining
	case h.open && !h.stopped && m.now < v.DispatchUntil:
		v.State = ServerServing
	default:
		v.State = ServerWaiting
	}
	h.lastLook = v
	return v
}

// untilOf returns the instant after which nothing may be sent to a server.
func (m *Machine) untilOf(h *home) time.Duration {
	if !h.open || h.stopped {
		return 0
	}
	if h.spec.ChecksGrants {
		return h.until
	}
	until, _ := m.leased(h.scope)
	return until
}
