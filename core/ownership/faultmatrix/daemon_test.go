package faultmatrix

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// Intervals and timeouts of the driver.
const (
	logReadInterval    = 50 * time.Millisecond
	hostListInterval   = time.Second
	loadReportInterval = 500 * time.Millisecond
	// driverCallTimeout limits polls, grants and id transfers in the driver. The
	// machine has its own, shorter timeout, after which it starts another call.
	driverCallTimeout = 500 * time.Millisecond
)

// machine is the method of ownership.Machine that the driver uses.
type machine interface {
	Step(now time.Duration, in ownership.Input) []ownership.Effect
}

// daemon is one process of an entry host: a driver for one machine, and a dispatcher
// for requests.
type daemon struct {
	system                  *testSystem
	host, zone, incarnation string
	url                     string
	clock                   driftingClock
	machine                 machine
	view                    *ownership.View

	dead, paused   bool
	inbox          []func()
	lastReadOffset uint64
	appliedRecords []record.LogEntry        // for poll responses
	lastPollAt     map[string]time.Duration // by incarnation of the poller, on the own clock
	drained        bool
	dispatcher
}

func (d *daemon) localTime() time.Duration { return d.clock.at(d.system.now) }

// receive runs a handler now, or when the process resumes.
func (d *daemon) receive(run func()) {
	switch {
	case d.dead:
	case d.paused:
		d.inbox = append(d.inbox, run)
	default:
		run()
	}
}

func (d *daemon) resume() {
	d.paused = false
	d.system.tracef("%s resumes", d.host)
	inbox := d.inbox
	d.inbox = nil
	for _, run := range inbox {
		run()
	}
}

func (d *daemon) step(in ownership.Input) {
	d.receive(func() {
		for _, effect := range d.machine.Step(d.localTime(), in) {
			d.perform(effect)
		}
	})
}

// start begins the periodic work of the driver.
func (d *daemon) start() {
	d.repeat(ownership.TickInterval, func() { d.step(ownership.Tick{}) })
	d.repeat(loadReportInterval, d.reportLoads)
	d.repeat(hostListInterval, func() {
		live, leaving := d.system.hostList.read()
		d.step(ownership.HostListRead{Live: live, Leaving: leaving})
	})
	d.readLog()
}

// repeat runs a function periodically on the process's own clock. After a pause, it
// does not make up for missed runs.
func (d *daemon) repeat(period time.Duration, run func()) {
	d.system.schedule(time.Duration(float64(period)/d.clock.rate), func() {
		if d.dead {
			return
		}
		if !d.paused {
			run()
		}
		d.repeat(period, run)
	})
}

// reportLoads reports the load of the servers whose home is this daemon. hotServer
// has five times the load of the others.
func (d *daemon) reportLoads() {
	in := ownership.LoadMeasured{}
	for name, server := range d.view.Servers {
		if !server.Local {
			continue
		}
		load := ownership.ServerLoad{Server: name, BusySlots: 1}
		if name == d.system.hotServer {
			load.BusySlots = 5
		}
		in.Servers = append(in.Servers, load)
		for s := range d.view.Tables[serviceName].All {
			if s.Server == name {
				in.Slices = append(in.Slices, ownership.SliceLoad{
					Service: serviceName, Server: name, BusySlots: 1,
					Slice: ownership.SliceRef{Range: s.Range, Generation: s.Generation},
				})
			}
		}
	}
	slices.SortFunc(in.Servers, func(a, b ownership.ServerLoad) int { return strings.Compare(a.Server, b.Server) })
	slices.SortFunc(in.Slices, func(a, b ownership.SliceLoad) int { return cmp.Compare(a.Slice.Range.First, b.Slice.Range.First) })
	d.step(in)
}

func (d *daemon) readLog() {
	if d.dead {
		return
	}
	if d.view != nil {
		d.lastReadOffset = max(d.lastReadOffset, d.view.AppliedOffset)
	}
	d.system.log.read(d.host, d.lastReadOffset+1, func(records []record.LogEntry, oldest uint64, err error) {
		d.receive(func() {
			if err != nil {
				d.step(ownership.LogUnreachable{})
			} else {
				if n := len(records); n > 0 {
					d.lastReadOffset = records[n-1].Offset
				}
				d.step(ownership.RecordsRead{Records: records, OldestOffset: oldest})
			}
			d.system.schedule(logReadInterval, d.readLog)
		})
	})
}

func (d *daemon) perform(effect ownership.Effect) {
	switch e := effect.(type) {
	case ownership.SendPoll:
		d.sendPoll(e)
	case ownership.AppendRecord:
		d.system.recordStep("append %s", e.Record.Body.Kind())
		d.system.log.append(d.host, e.Record, func(offset uint64, err error) {
			d.step(ownership.AppendCompleted{RecordID: e.Record.ID, Offset: offset, Failed: err != nil})
		})
	case ownership.SendGrant:
		d.sendGrant(e)
	case ownership.SendRelease:
		d.sendRelease(e)
	case ownership.SendProbe:
		d.probe(e)
	case ownership.QuiesceSlice:
		d.system.recordStep("quiesce %s", e.Server)
		d.quiesceSlice(e)
	case ownership.ResumeSlice:
		d.resumeSlice(e)
	case ownership.TransferIDs:
		d.system.recordStep("transfer ids of %s", e.Server)
		d.transferIDs(e)
	case ownership.PublishView:
		d.view = e.View
	case ownership.RecordOutcome:
		d.appliedRecords = append(d.appliedRecords, e.Entry)
	case ownership.EmitEvent:
		d.system.tracef("%s event %s %s %s %s", d.host, e.Event.Name, e.Event.Server, e.Event.Slice, e.Event.Detail)
	case ownership.DrainCompleted:
		d.drained = true
	}
}

// call sends a request to another process and its response back. failed runs after
// the timeout unless the response arrived before.
func (d *daemon) call(to string, timeout time.Duration, handle func(answer func(func())), failed func()) {
	ended := false
	d.system.schedule(timeout, func() {
		if !ended {
			ended = true
			d.receive(failed)
		}
	})
	d.system.network.send(d.host, to, func() {
		handle(func(arrived func()) {
			d.system.network.send(to, d.host, func() {
				if !ended {
					ended = true
					d.receive(arrived)
				}
			})
		})
	})
}

func (d *daemon) sendPoll(e ownership.SendPoll) {
	sent := d.localTime()
	peer := d.system.daemonAt(e.PeerURL)
	if peer == nil {
		d.system.schedule(time.Millisecond, func() { d.step(ownership.PollFailed{Witness: e.Witness}) })
		return
	}
	d.call(peer.host, driverCallTimeout, func(answer func(func())) {
		peer.receive(func() {
			// A restarted process does not respond for its predecessor.
			if peer.incarnation != e.Witness && !d.system.disabledRules.witnessIncarnation {
				return
			}
			peer.step(ownership.PollReceived{Poller: d.incarnation, Loads: e.Loads})
			peer.lastPollAt[d.incarnation] = peer.localTime()
			out := peer.pollResponse(e.AppliedOffset)
			answer(func() {
				out.Witness, out.SentAt = e.Witness, sent
				d.step(out)
			})
		})
	}, func() { d.step(ownership.PollFailed{Witness: e.Witness}) })
}

func (d *daemon) pollResponse(applied uint64) ownership.PollResponse {
	out := ownership.PollResponse{LastPollAge: map[string]time.Duration{}}
	if d.view != nil {
		out.AppliedOffset = d.view.AppliedOffset
	}
	for incarnation, at := range d.lastPollAt {
		out.LastPollAge[incarnation] = d.localTime() - at
	}
	first, found := slices.BinarySearchFunc(d.appliedRecords, applied+1, func(entry record.LogEntry, offset uint64) int {
		return int(entry.Offset) - int(offset)
	})
	if found {
		out.Records = d.appliedRecords[first:]
	}
	return out
}

func (d *daemon) sendGrant(e ownership.SendGrant) {
	d.system.recordGrantStep(e)
	server := d.system.serverAt(e.Address)
	d.call(server.name, driverCallTimeout, func(answer func(func())) {
		server.receive(func() {
			out := server.handleGrant(e)
			answer(func() { d.step(out) })
		})
	}, func() { d.step(ownership.GrantFailed{Server: e.Server, Seq: e.Seq}) })
}

func (d *daemon) sendRelease(e ownership.SendRelease) {
	d.system.recordStep("release %s at %s", e.Slice.Range, e.Server)
	server := d.system.serverAt(e.Address)
	d.call(server.name, e.Timeout+driverCallTimeout, func(answer func(func())) {
		server.receive(func() {
			server.handleRelease(e, func(out ownership.ReleaseCompleted) {
				d.system.recordStep("released %s at %s", e.Slice.Range, e.Server)
				answer(func() { d.step(out) })
			})
		})
	}, func() { d.step(ownership.ReleaseCompleted{Server: e.Server, Slice: e.Slice}) })
}

func (d *daemon) probe(e ownership.SendProbe) {
	server := d.system.serverAt(e.Address)
	d.call(server.name, driverCallTimeout, func(answer func(func())) {
		server.receive(func() {
			answer(func() { d.step(ownership.GrantResponse{Server: e.Server, Seq: e.Seq, Accepted: true}) })
		})
	}, func() { d.step(ownership.GrantFailed{Server: e.Server, Seq: e.Seq}) })
}
