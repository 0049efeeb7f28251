package faultmatrix

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
)

// Periods and timeouts of the driver.
const (
	readPeriod     = 50 * time.Millisecond
	hostListPeriod = time.Second
	loadPeriod     = 500 * time.Millisecond
	rpcTimeout     = 500 * time.Millisecond // polls, grants, transfers
)

// machine is the part of ownership.Machine that the driver uses.
type machine interface {
	Step(now time.Duration, in ownership.Input) []ownership.Effect
}

// daemon is a process of an entry host: the driver around one machine.
type daemon struct {
	w                       *world
	host, zone, incarnation string
	url                     string
	clock                   clock
	machine                 machine
	view                    *ownership.View

	dead, paused bool
	inbox        []func()
	lastRead     uint64
	records      []record.Positioned      // folded, to relay
	heard        map[string]time.Duration // last poll by incarnation, own clock
	drained      bool
	dispatcher
}

func (d *daemon) local() time.Duration { return d.clock.at(d.w.now) }

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
	d.w.note("%s resumes", d.host)
	inbox := d.inbox
	d.inbox = nil
	for _, run := range inbox {
		run()
	}
}

func (d *daemon) step(in ownership.Input) {
	d.receive(func() {
		for _, effect := range d.machine.Step(d.local(), in) {
			d.perform(effect)
		}
	})
}

// start begins the periodic work of the driver.
func (d *daemon) start() {
	d.every(ownership.TickInterval, func() { d.step(ownership.Tick{}) })
	d.every(loadPeriod, d.measure)
	d.every(hostListPeriod, func() {
		live, leaving := d.w.hosts.read()
		d.step(ownership.HostListRead{Live: live, Leaving: leaving})
	})
	d.read()
}

// every repeats on the process's own clock. A paused process does not catch up.
func (d *daemon) every(period time.Duration, run func()) {
	d.w.after(time.Duration(float64(period)/d.clock.rate), func() {
		if d.dead {
			return
		}
		if !d.paused {
			run()
		}
		d.every(period, run)
	})
}

// measure reports the load of local servers; one server may be hot.
func (d *daemon) measure() {
	in := ownership.LoadMeasured{}
	for name, server := range d.view.Servers {
		if !server.Local {
			continue
		}
		load := ownership.ServerLoad{Server: name, BusySlots: 1}
		if name == d.w.hot {
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

func (d *daemon) read() {
	if d.dead {
		return
	}
	if d.view != nil {
		d.lastRead = max(d.lastRead, d.view.AppliedOffset)
	}
	d.w.log.read(d.host, d.lastRead+1, func(records []record.Positioned, oldest uint64, err error) {
		d.receive(func() {
			if err != nil {
				d.step(ownership.LogUnreachable{})
			} else {
				if n := len(records); n > 0 {
					d.lastRead = records[n-1].Offset
				}
				d.step(ownership.RecordsRead{Records: records, OldestOffset: oldest})
			}
			d.w.after(readPeriod, d.read)
		})
	})
}

func (d *daemon) perform(effect ownership.Effect) {
	switch e := effect.(type) {
	case ownership.SendPoll:
		d.poll(e)
	case ownership.AppendRecord:
		d.w.step("append %s", e.Record.Body.Kind())
		d.w.log.append(d.host, e.Record, func(offset uint64, err error) {
			d.step(ownership.AppendCompleted{RecordID: e.Record.ID, Offset: offset, Failed: err != nil})
		})
	case ownership.SendGrant:
		d.sendGrant(e)
	case ownership.SendRelease:
		d.sendRelease(e)
	case ownership.SendProbe:
		d.probe(e)
	case ownership.QuiesceSlice:
		d.w.step("quiesce %s", e.Server)
		d.quiesce(e)
	case ownership.ResumeSlice:
		d.resumeSlice(e)
	case ownership.TransferIDs:
		d.w.step("transfer ids of %s", e.Server)
		d.transferIDs(e)
	case ownership.PublishView:
		d.view = e.View
	case ownership.RecordOutcome:
		d.records = append(d.records, e.Positioned)
	case ownership.EmitEvent:
		d.w.note("%s event %s %s %s %s", d.host, e.Event.Name, e.Event.Server, e.Event.Slice, e.Event.Detail)
	case ownership.DrainCompleted:
		d.drained = true
	}
}

// call sends a request to a party and its answer back; failed runs after the
// timeout unless the answer came before.
func (d *daemon) call(to string, timeout time.Duration, handle func(answer func(func())), failed func()) {
	ended := false
	d.w.after(timeout, func() {
		if !ended {
			ended = true
			d.receive(failed)
		}
	})
	d.w.links.send(d.host, to, func() {
		handle(func(arrived func()) {
			d.w.links.send(to, d.host, func() {
				if !ended {
					ended = true
					d.receive(arrived)
				}
			})
		})
	})
}

func (d *daemon) poll(e ownership.SendPoll) {
	sent := d.local()
	peer := d.w.daemonAt(e.PeerURL)
	if peer == nil {
		d.w.after(time.Millisecond, func() { d.step(ownership.PollFailed{Witness: e.Witness}) })
		return
	}
	d.call(peer.host, rpcTimeout, func(answer func(func())) {
		peer.receive(func() {
			// A restarted process does not answer for its predecessor.
			if peer.incarnation != e.Witness && !d.w.off.witnessIncarnation {
				return
			}
			peer.step(ownership.PollReceived{Poller: d.incarnation, Loads: e.Loads})
			peer.heard[d.incarnation] = peer.local()
			out := peer.pollAnswer(e.AppliedOffset)
			answer(func() {
				out.Witness, out.SentAt = e.Witness, sent
				d.step(out)
			})
		})
	}, func() { d.step(ownership.PollFailed{Witness: e.Witness}) })
}

func (d *daemon) pollAnswer(applied uint64) ownership.PollResponse {
	out := ownership.PollResponse{LastPollAge: map[string]time.Duration{}}
	if d.view != nil {
		out.AppliedOffset = d.view.AppliedOffset
	}
	for incarnation, at := range d.heard {
		out.LastPollAge[incarnation] = d.local() - at
	}
	first, found := slices.BinarySearchFunc(d.records, applied+1, func(p record.Positioned, offset uint64) int {
		return int(p.Offset) - int(offset)
	})
	if found {
		out.Records = d.records[first:]
	}
	return out
}

func (d *daemon) sendGrant(e ownership.SendGrant) {
	d.w.grantStep(e)
	server := d.w.serverAt(e.Address)
	d.call(server.name, rpcTimeout, func(answer func(func())) {
		server.receive(func() {
			out := server.grant(e)
			answer(func() { d.step(out) })
		})
	}, func() { d.step(ownership.GrantFailed{Server: e.Server, Seq: e.Seq}) })
}

func (d *daemon) sendRelease(e ownership.SendRelease) {
	d.w.step("release %s at %s", e.Slice.Range, e.Server)
	server := d.w.serverAt(e.Address)
	d.call(server.name, e.Timeout+rpcTimeout, func(answer func(func())) {
		server.receive(func() {
			server.release(e, func(out ownership.ReleaseCompleted) {
				d.w.step("released %s at %s", e.Slice.Range, e.Server)
				answer(func() { d.step(out) })
			})
		})
	}, func() { d.step(ownership.ReleaseCompleted{Server: e.Server, Slice: e.Slice}) })
}

func (d *daemon) probe(e ownership.SendProbe) {
	server := d.w.serverAt(e.Address)
	d.call(server.name, rpcTimeout, func(answer func(func())) {
		server.receive(func() {
			answer(func() { d.step(ownership.GrantResponse{Server: e.Server, Seq: e.Seq, Accepted: true}) })
		})
	}, func() { d.step(ownership.GrantFailed{Server: e.Server, Seq: e.Seq}) })
}
