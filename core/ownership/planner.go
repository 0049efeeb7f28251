package ownership

import (
	"fmt"
	"time"

	"parsleyrelay.example/core/record"
)

const (
	// planInterval is how often a planner is asked; its limits per interval
	// (2% of a service's load) refer to it.
	planInterval = 5 * time.Second
	// slowAppend is the delay of the log above which no moves for load start,
	// since a slice is unavailable while its record is appended.
	slowAppend = 250 * time.Millisecond
)

// Planner decides which slices to move or split to even the load out. Plans are hints: the machine starts only what
// the protocol allows.
type Planner interface {
	Plan(now time.Duration, in PlanInput) Plan
}

// PlanInput describes one service whose hottest server has its home here.
type PlanInput struct {
	Service string
	Servers []PlanServer // that can take slices, and all that have load
	Slices  []SliceLoad  // of the servers whose home is this daemon
	HotKeys []HotKey
}

// PlanServer is a server with its load.
type PlanServer struct {
	Load       ServerLoad
	Zone       string
	Weight     int
	Local      bool // its home is this daemon
	CanReceive bool // it may take slices
}

// Plan lists moves and splits.
type Plan struct {
	Moves  []PlannedMove
	Splits []PlannedSplit
}

// PlannedMove moves a slice to another server.
type PlannedMove struct {
	Slice SliceRef
	From  string
	To    string
}

// PlannedSplit cuts a slice; each cut is the first hash of a new slice.
type PlannedSplit struct {
	Slice       SliceRef
	Server      string
	SplitHashes []uint64
}

// planning keeps the latest measurements of the servers whose home is here.
type planning struct {
	measured LoadMeasured
	nextAt   time.Duration
}

func (m *Machine) loadMeasured(in LoadMeasured) {
	m.planning.measured = in
	m.noteLoads(in.Servers)
}

func (m *Machine) planLoad() {
	if m.cfg.Planner == nil || m.now < m.planning.nextAt || !m.logReachable || m.draining || m.appendDelay > slowAppend {
		return
	}
	m.planning.nextAt = m.now + planInterval
	for _, service := range m.services {
		in, hottestLocal := m.planInput(service)
		if !hottestLocal {
			continue
		}
		plan := m.cfg.Planner.Plan(m.now, in)
		for _, move := range plan.Moves {
			h := m.local[move.From]
			if s := exactOwned(h, move.Slice); s != nil && len(h.moves) < maxMovesPerServer && !h.unresponsive {
				m.startMove(h, s, move.To)
			}
		}
		for _, split := range plan.Splits {
			m.split(service, split)
		}
	}
}

// planInput collects the loads of a service. It reports whether the home of the
// hottest server, by load per weight, is this daemon. A server that can take no
// slices does not count, since a leaving one is emptied without a plan.
func (m *Machine) planInput(service string) (PlanInput, bool) {
	in := PlanInput{Service: service}
	targets := map[string]bool{}
	for _, w := range m.placeable(service, "") {
		h := m.local[w.name]
		targets[w.name] = h == nil && m.loadAge(w.name) < loadFresh || h != nil && h.open && !h.unresponsive
	}
	hottest, hottestLocal := -1.0, false
	for _, name := range m.servers {
		spec, _ := m.st.Server(name)
		if spec.Service != service || (!targets[name] && m.loadAge(name) >= loadFresh) {
			continue
		}
		load := m.loads[name].load
		load.Server = name
		local := m.local[name] != nil
		in.Servers = append(in.Servers, PlanServer{Load: load, Zone: spec.Zone, Weight: spec.EffectiveWeight(), Local: local, CanReceive: targets[name]})
		if heat := load.BusySlots / float64(spec.EffectiveWeight()); targets[name] && heat > hottest {
			hottest, hottestLocal = heat, local
		}
	}
	for _, s := range m.planning.measured.Slices {
		if s.Service == service && m.local[s.Server] != nil {
			s.MovedAt = m.movedAt(s)
			in.Slices = append(in.Slices, s)
		}
	}
	for _, k := range m.planning.measured.HotKeys {
		if k.Service == service {
			in.HotKeys = append(in.HotKeys, k)
		}
	}
	return in, hottestLocal && hottest > 0
}

// movedAt returns since when a slice is served here if it came from another server.
func (m *Machine) movedAt(s SliceLoad) time.Duration {
	owned := exactOwned(m.local[s.Server], s.Slice)
	slice := m.st.Table(s.Service).Lookup(s.Slice.Range.First)
	if owned == nil || slice == nil || slice.Former == "" || slice.Former == s.Server {
		return 0
	}
	return owned.activation.Since
}

func exactOwned(h *home, slice SliceRef) *ownedSlice {
	if h == nil {
		return nil
	}
	if s := h.slices[slice.Range.First]; s != nil && s.held == slice {
		return s
	}
	return nil
}

// split proposes cuts of a slice that is neither moving nor released.
func (m *Machine) split(service string, p PlannedSplit) {
	h := m.local[p.Server]
	s := exactOwned(h, p.Slice)
	if s == nil || s.released || h.moves[p.Slice] != nil || m.batchOf[p.Slice] != "" || len(p.SplitHashes) == 0 {
		return
	}
	key := fmt.Sprintf("split:%s:%s:%d", service, p.Slice.Range, p.Slice.Generation)
	m.propose(key, record.SliceSplit{Service: service, Range: p.Slice.Range, Generation: p.Slice.Generation, Cuts: p.SplitHashes})
}
