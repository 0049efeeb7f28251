package faultmatrix

import (
	"time"

	"parsleyrelay.example/core/ownership"
)

// newMachine returns the machine of a daemon.
func newMachine(d *daemon) machine {
	cfg := ownership.Config{
		Host: d.host, Incarnation: d.incarnation, Zone: d.zone, PeerURL: d.url,
		NewID:       d.system.newID,
		WallClockMS: func() int64 { return d.system.now.Milliseconds() },
		Planner:     planner{d.system},
	}
	if d.system.configureMachine != nil {
		d.system.configureMachine(&cfg)
	}
	m := ownership.New(cfg)
	d.view = m.View()
	return m
}

// planner moves one slice off the hot server.
type planner struct{ system *testSystem }

func (p planner) Plan(_ time.Duration, in ownership.PlanInput) ownership.Plan {
	for _, target := range in.Servers {
		for _, slice := range in.Slices {
			if target.CanReceive && target.Load.Server != p.system.hotServer && slice.Server == p.system.hotServer {
				return ownership.Plan{Moves: []ownership.PlannedMove{{Slice: slice.Slice, From: p.system.hotServer, To: target.Load.Server}}}
			}
		}
	}
	return ownership.Plan{}
}
