package faultmatrix

import (
	"time"

	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

// fault is a row of the matrix. inject starts the fault and returns the function
// that ends it.
type fault struct {
	name     string
	duration time.Duration
	inject   func(system *testSystem) (heal func())
	// setOptions sets the options for faults that exist from the start of the system.
	setOptions func(o *options)
	// recoveryMayWait is set for faults of the log. Recovery may wait for their end,
	// since the log decides about owners.
	recoveryMayWait bool
	// losesLog is set when one daemon cannot reach the log.
	losesLog bool
	// losesHost is set when the other daemons cannot reach one daemon.
	losesHost bool
}

// targetDaemon returns the home of the first server, or a running daemon of its
// zone.
func (system *testSystem) targetDaemon() *daemon {
	if d := system.homeOf("z1-s1"); d != nil && !d.paused {
		return d
	}
	for _, host := range []string{"z1-h1", "z1-h2", "z1-h3"} {
		if d := system.daemons[host]; !d.dead && !d.paused {
			return d
		}
	}
	return system.daemons["z1-h1"]
}

// targetServer returns the first server of zone z1 that runs. z1-s2, which drains in
// one of the protocols, comes last.
func (system *testSystem) targetServer() *fakeServer {
	for _, name := range []string{"z1-s1", "z1-s2"} {
		if b := system.servers[name]; !b.dead && !b.frozen {
			return b
		}
	}
	return system.servers["z1-s1"]
}

func (system *testSystem) hostNames() []string {
	var names []string
	for host := range system.daemons {
		names = append(names, host)
	}
	return names
}

// setPartitionedOneWay partitions or heals the direction from a to each of the
// others.
func (n *network) setPartitionedOneWay(cut bool, a string, others ...string) {
	for _, b := range others {
		n.partitioned[[2]string{a, b}] = cut
	}
}

// lowestAppliedOffset returns the offset up to which all running daemons have
// applied the log, 0 if none runs. Retention drops no later records: it is far longer
// than the time in which a running daemon reads them, and the system is not designed
// to tolerate the loss of records that no process and no checkpoint holds.
func (system *testSystem) lowestAppliedOffset() uint64 {
	lowest, running := uint64(len(system.log.records)), false
	for _, d := range system.daemons {
		if !d.dead {
			lowest, running = min(lowest, d.view.AppliedOffset), true
		}
	}
	if !running {
		return 0
	}
	return lowest
}

var faults = []fault{
	{name: "entry host killed", duration: 3 * time.Second, losesHost: true, inject: func(system *testSystem) func() {
		d := system.targetDaemon()
		system.killHost(d.host)
		return func() {
			if system.daemons[d.host].dead {
				system.startHost(d.host)
			}
		}
	}},
	{name: "entry host paused past its lease", duration: 3500 * time.Millisecond, losesHost: true, inject: func(system *testSystem) func() {
		d := system.targetDaemon()
		d.paused = true
		system.tracef("%s pauses", d.host)
		return d.resume
	}},
	{name: "cut from the log", duration: 6 * time.Second, losesLog: true, inject: func(system *testSystem) func() {
		host := system.targetDaemon().host
		system.network.setPartitioned(true, host, logName)
		return func() { system.network.setPartitioned(false, host, logName) }
	}},
	{name: "cut from its peers", duration: 6 * time.Second, losesHost: true, inject: func(system *testSystem) func() {
		host := system.targetDaemon().host
		system.network.setPartitioned(true, host, system.hostNames()...)
		return func() { system.network.setPartitioned(false, host, system.hostNames()...) }
	}},
	{name: "cut from its peers, one direction", duration: 6 * time.Second, losesHost: true, inject: func(system *testSystem) func() {
		host := system.targetDaemon().host
		system.network.setPartitionedOneWay(true, host, system.hostNames()...)
		return func() { system.network.setPartitionedOneWay(false, host, system.hostNames()...) }
	}},
	{name: "cut from the server", duration: 6 * time.Second, inject: func(system *testSystem) func() {
		host, server := system.targetDaemon().host, system.targetServer().name
		system.network.setPartitioned(true, host, server)
		return func() { system.network.setPartitioned(false, host, server) }
	}},
	{name: "server killed", duration: 5 * time.Second, inject: func(system *testSystem) func() {
		b := system.targetServer()
		b.kill()
		return b.start
	}},
	{name: "server frozen and returned", duration: 5 * time.Second, inject: func(system *testSystem) func() {
		b := system.targetServer()
		b.frozen = true
		system.tracef("server %s freezes", b.name)
		return b.resume
	}},
	{name: "server replaced, old instance frozen", duration: 3 * time.Second, inject: func(system *testSystem) func() {
		// The old instance may still resume, so the checker keeps its grant period.
		system.targetServer().start()
		return func() {}
	}},
	{name: "server restarted empty", duration: 50 * time.Millisecond, inject: func(system *testSystem) func() {
		b := system.targetServer()
		b.kill()
		return b.start
	}},
	{name: "log down", duration: 8 * time.Second, recoveryMayWait: true, inject: func(system *testSystem) func() {
		system.log.down = true
		system.tracef("log down")
		return func() { system.log.down = false; system.tracef("log up") }
	}},
	{name: "log slow", duration: 8 * time.Second, recoveryMayWait: true, inject: func(system *testSystem) func() {
		system.log.extraLatency = 700 * time.Millisecond
		system.log.omitsNewest = true
		system.log.appendDelay = func(record.Record) time.Duration { return system.randomDuration(0, 4*time.Second) }
		return func() { system.log.extraLatency, system.log.omitsNewest, system.log.appendDelay = 0, false, nil }
	}},
	{name: "append response lost after effect", duration: 6 * time.Second, recoveryMayWait: true, inject: func(system *testSystem) func() {
		system.log.loseResponse = func(record.Record) bool { return system.rng.IntN(2) == 0 }
		return func() { system.log.loseResponse = nil }
	}},
	{name: "retention passed", duration: 5 * time.Second, losesHost: true, inject: func(system *testSystem) func() {
		// A host loses its state while the log retains only the newest records.
		d := system.targetDaemon()
		system.killHost(d.host)
		system.log.oldest = max(system.log.oldest, system.lowestAppliedOffset()+1)
		return func() { system.startHost(d.host) }
	}},
	{name: "host list wrong", duration: 6 * time.Second, inject: func(system *testSystem) func() {
		host := system.targetDaemon().host
		system.hostList.falselyMissing[host], system.hostList.leaving["z1-s2"] = true, true
		return func() { system.hostList.falselyMissing[host], system.hostList.leaving["z1-s2"] = false, false }
	}},
	{name: "host list late", duration: 6 * time.Second, losesHost: true, inject: func(system *testSystem) func() {
		d := system.targetDaemon()
		system.hostList.lag = 20 * time.Second
		system.killHost(d.host)
		return func() { system.startHost(d.host); system.hostList.lag = 500 * time.Millisecond }
	}},
	{name: "operators racing", duration: time.Second, inject: func(system *testSystem) func() {
		key := resource.Key{Kind: resource.KindServer, Name: "z1-s2"}
		current, _ := system.log.expectedState.Resource(key)
		for weight := range 3 {
			spec := system.serverSpec(key.Name)
			spec.Drain = current.Spec.(*resource.Server).Drain
			spec.Weight = 100 + weight
			id := system.newID()
			system.log.append("operators", record.Record{ID: id, Body: record.ResourcePut{
				Resource: resource.Resource{Name: key.Name, Spec: &spec}, ExpectedVersion: current.Version, ChangeID: id,
			}}, func(uint64, error) {})
		}
		return func() {}
	}},
	{name: "clock fast", setOptions: func(o *options) {
		o.fastClocks = append(o.fastClocks, "z1-h1", "z1-s2")
		o.slowClocks = append(o.slowClocks, "z1-s1")
	}},
	{name: "clock slow", setOptions: func(o *options) {
		o.slowClocks = append(o.slowClocks, "z1-h1", "z1-s2")
		o.fastClocks = append(o.fastClocks, "z1-h2", "z1-h3")
	}},
}

// injectAndHeal injects a fault now and ends it after its duration.
func (f fault) injectAndHeal(system *testSystem) {
	if f.inject == nil {
		return
	}
	heal := f.inject(system)
	system.activeFaults++
	system.schedule(f.duration, func() {
		heal()
		system.tracef("%s healed", f.name)
		system.activeFaults--
	})
}
