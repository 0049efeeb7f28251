package faultmatrix

import (
	"time"

	"parsleyrelay.example/core/ownership"
)

// newMachine returns the machine of a daemon.
func newMachine(d *daemon) machine {
	cfg := ownership.Config{
		Host: d.host, Incarnation: d.incarnation, Zone: d.zone, PeerURL: d.url,
		NewID:       d.w.id,
		WallClockMS: func() int64 { return d.w.now.Milliseconds() },
		Planner:     planner{d.w},
	}
	if d.w.configure != nil {
		d.w.configure(&cfg)
	}
	m := ownership.New(cfg)
	d.view = m.View()
	return m
}

// planner moves one slice off the hot server.
type planner struct{ w *world }

func (p planner) Plan(_ time.Duration, in ownership.PlanInput) ownership.Plan {
	for _, target := range in.Servers {
		for _, slice := range in.Slices {
			if target.CanReceive && target.Load.Server != p.w.hot && slice.Server == p.w.hot {
				return ownership.Plan{Moves: []ownership.PlannedMove{{Slice: slice.Slice, From: p.w.hot, To: target.Load.Server}}}
			}
		}
	}
	return ownership.Plan{}
}
