//go:build faultmatrix

package faultmatrix

import (
	"slices"
	"time"
)

// homesAndThirdHost returns the homes of z1-s1 and z1-s2 and the remaining host. ok is
// false if one host is the home of both servers.
func (system *testSystem) homesAndThirdHost() (first, second, third *daemon, ok bool) {
	first, second = system.homeOf("z1-s1"), system.homeOf("z1-s2")
	if first == nil || second == nil || first == second {
		return nil, nil, nil, false
	}
	for _, d := range system.daemons {
		if d != first && d != second {
			third = d
		}
	}
	return first, second, third, true
}

func (system *testSystem) pauseDaemon(d *daemon, t time.Duration) {
	d.paused = true
	system.schedule(t, d.resume)
}

// joinSettleTime is the time in which a fourth host joins and the witness set adapts.
const joinSettleTime = 4 * time.Second

// takeoverByNonWitness partitions the home of both servers from its peers for two
// seconds and every witness from the log. The daemon that is no witness then proposes
// itself as home, and the others do not learn it. ok is false if there is no such
// daemon.
func (system *testSystem) takeoverByNonWitness() (former, nonWitness *daemon, ok bool) {
	former = system.homeOf("z1-s1")
	witnesses := system.log.expectedState.WitnessSetOf("zone:z1").Current
	for _, d := range system.daemons {
		if !d.dead && !slices.Contains(witnesses, d.incarnation) {
			nonWitness = d
		}
	}
	if len(system.daemons) != 4 || former == nil || nonWitness == nil || former == nonWitness || former != system.homeOf("z1-s2") {
		return nil, nil, false
	}
	system.tracef("%s is to take over from %s", nonWitness.host, former.host)
	for _, d := range system.daemons {
		if d != nonWitness {
			system.network.setPartitioned(true, d.host, logName)
		}
	}
	system.network.setPartitioned(true, former.host, system.hostNames()...)
	system.schedule(2*time.Second, func() { system.network.setPartitioned(false, former.host, system.hostNames()...) })
	return former, nonWitness, true
}

// ruleSpecificFaults are scenarios that are safe only because of the rule under test.
var ruleSpecificFaults = []fault{
	// A witness restarts empty after it confirmed the change of owners, and the
	// former home resumes.
	{name: "witness restarted after confirmation", duration: 10 * time.Second, inject: func(system *testSystem) func() {
		first, second, third, ok := system.homesAndThirdHost()
		if !ok {
			return func() {}
		}
		system.network.setPartitioned(true, first.host, logName, second.host)
		system.network.setPartitioned(true, second.host, "z1-s1")
		system.pauseDaemon(first, 5*time.Second)
		system.schedule(4800*time.Millisecond, func() {
			system.network.setPartitioned(true, third.host, logName, second.host)
			system.killHost(third.host)
			system.startHost(third.host)
		})
		return func() { clear(system.network.partitioned) }
	}},
	// A daemon that is no witness takes over the home of both servers, while the
	// witnesses, one of which is the former home, cannot read the log and continue its
	// lease. The new home cannot reach z1-s1 and moves its slices.
	{name: "takeover unknown to the witnesses, server unreachable", duration: 14 * time.Second, inject: func(system *testSystem) func() {
		system.schedule(joinSettleTime, func() {
			if _, nonWitness, ok := system.takeoverByNonWitness(); ok {
				system.network.setPartitioned(true, nonWitness.host, "z1-s1")
			}
		})
		return func() { clear(system.network.partitioned) }
	}},
	// The same takeover; the new home reaches both servers and the callers lose
	// the responses of the former home.
	{name: "takeover unknown to the witnesses, responses lost", duration: 14 * time.Second, inject: func(system *testSystem) func() {
		system.schedule(joinSettleTime, func() {
			if former, _, ok := system.takeoverByNonWitness(); ok {
				system.schedule(3*time.Second, func() { system.network.setPartitionedOneWay(true, former.host, callerName) })
			}
		})
		return func() { clear(system.network.partitioned) }
	}},
}
