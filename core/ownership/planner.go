package ownership

import (
	"fmt"
	"time"

	"parsleyrelay.example/core/record"
)

const (
	// planInterval is the interval between plans. The planner's limit of 2% of a
	// service's load per interval refers to it.
	planInterval = 5 * time.Second
	// maxAppendDelayForLoadMoves is the append delay above which no moves that
	// balance the load start, since a slice is unavailable while its record is
	// appended.
	maxAppendDelayForLoadMoves = 250 * time.Millisecond
)

// Planner decides which slices to move or split to balance the load. The machine
// carries out only what the protocol permits at the moment.
type Planner interface {
	Plan(now time.Duration, in PlanInput) Plan
}

// PlanInput describes the load of one service. It is passed to the planner only by
// the home of the most loaded server.
type PlanInput struct {
	Service string
	Servers []PlanServer // that can receive slices or have a recent load report
	Slices  []SliceLoad  // of the servers whose home is this daemon
	HotKeys []HotKey
}

// PlanServer is a server as input of a planner.
type PlanServer struct {
	Load       ServerLoad
	Zone       string
	Weight     int
	Local      bool // its home is this daemon
	CanReceive bool // it may receive slices
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

// PlannedSplit splits a slice; each split hash is the first hash of a new slice.
type PlannedSplit struct {
	Slice       SliceRef
	Server      string
	SplitHashes []uint64
}

// planningState holds the latest load measurements of the servers whose home is this
// daemon.
type planningState struct {
	lastMeasurement LoadMeasured
	nextPlanAt      time.Duration
}

func (m *Machine) handleLoadMeasured(in LoadMeasured) {
	m.planning.lastMeasurement = in
	m.recordLoads(in.Servers)
}

// startLoadMoves asks the planner for each service whose most loaded server has its
// home here, and starts the planned moves and splits.
func (m *Machine) startLoadMoves() {
	if m.cfg.Planner == nil || m.now < m.planning.nextPlanAt || !m.logReachable || m.draining || m.appendDelay > maxAppendDelayForLoadMoves {
		return
	}
	m.planning.nextPlanAt = m.now + planInterval
	for _, service := range m.serviceNames {
		in, highestIsLocal := m.newPlanInput(service)
		if !highestIsLocal {
			continue
		}
		plan := m.cfg.Planner.Plan(m.now, in)
		for _, move := range plan.Moves {
			h := m.localHomes[move.From]
			if s := findSlice(h, move.Slice); s != nil && len(h.moves) < maxMovesPerServer && !h.unresponsive {
				m.startMove(h, s, move.To)
			}
		}
		for _, split := range plan.Splits {
			m.proposeSplit(service, split)
		}
	}
}

// newPlanInput collects the loads of a service and reports whether the home of the
// most loaded server, by load per weight, is this daemon. A server that cannot
// receive slices does not count, since the slices of a leaving one move away without
// a plan.
func (m *Machine) newPlanInput(service string) (PlanInput, bool) {
	in := PlanInput{Service: service}
	targets := map[string]bool{}
	for _, w := range m.eligibleServers(service, "") {
		h := m.localHomes[w.name]
		targets[w.name] = h == nil && m.loadAge(w.name) < loadReportTTL || h != nil && h.active && !h.unresponsive
	}
	highestLoad, highestIsLocal := -1.0, false
	for _, name := range m.serverNames {
		spec, _ := m.state.Server(name)
		if spec.Service != service || (!targets[name] && m.loadAge(name) >= loadReportTTL) {
			continue
		}
		load := m.serverLoads[name].load
		load.Server = name
		local := m.localHomes[name] != nil
		in.Servers = append(in.Servers, PlanServer{Load: load, Zone: spec.Zone, Weight: spec.EffectiveWeight(), Local: local, CanReceive: targets[name]})
		if busyPerWeight := load.BusySlots / float64(spec.EffectiveWeight()); targets[name] && busyPerWeight > highestLoad {
			highestLoad, highestIsLocal = busyPerWeight, local
		}
	}
	for _, s := range m.planning.lastMeasurement.Slices {
		if s.Service == service && m.localHomes[s.Server] != nil {
			s.MovedAt = m.sliceMovedAt(s)
			in.Slices = append(in.Slices, s)
		}
	}
	for _, k := range m.planning.lastMeasurement.HotKeys {
		if k.Service == service {
			in.HotKeys = append(in.HotKeys, k)
		}
	}
	return in, highestIsLocal && highestLoad > 0
}

// sliceMovedAt returns since when a slice has been served here if it came from
// another server, otherwise 0.
func (m *Machine) sliceMovedAt(s SliceLoad) time.Duration {
	owned := findSlice(m.localHomes[s.Server], s.Slice)
	slice := m.state.SliceTable(s.Service).Lookup(s.Slice.Range.First)
	if owned == nil || slice == nil || slice.Former == "" || slice.Former == s.Server {
		return 0
	}
	return owned.activation.Since
}

// findSlice returns the slice of a home with exactly this range and generation, nil
// for none.
func findSlice(h *localHome, slice SliceRef) *localSlice {
	if h == nil {
		return nil
	}
	if s := h.slices[slice.Range.First]; s != nil && s.ref == slice {
		return s
	}
	return nil
}

// proposeSplit proposes to split a slice that is neither moving nor released.
func (m *Machine) proposeSplit(service string, p PlannedSplit) {
	h := m.localHomes[p.Server]
	s := findSlice(h, p.Slice)
	if s == nil || s.withheld || h.moves[p.Slice] != nil || m.batchKeyBySlice[p.Slice] != "" || len(p.SplitHashes) == 0 {
		return
	}
	key := fmt.Sprintf("split:%s:%s:%d", service, p.Slice.Range, p.Slice.Generation)
	m.propose(key, record.SliceSplit{Service: service, Range: p.Slice.Range, Generation: p.Slice.Generation, SplitPoints: p.SplitHashes})
}
