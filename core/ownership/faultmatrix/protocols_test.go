package faultmatrix

import (
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/resource"
	"strings"
	"time"
)

// protocol is a column of the matrix: a protocol at whose steps faults are injected.
type protocol struct {
	name       string
	setOptions func(o *options)
	// trigger starts the protocol in a system that serves all keys; nil for the first
	// grant, whose steps count from the start of the system.
	trigger func(system *testSystem)
	// isStep selects the messages and records that belong to the protocol.
	isStep   func(step string) bool
	maxSteps int // faults are injected at the first maxSteps steps
	// recoveryNeedsLog is set when a server releases a slice before the record of its
	// move is in the log. If its home cannot reach the log then, the slice waits for
	// the log.
	recoveryNeedsLog bool
}

func hasAnyPrefix(list ...string) func(string) bool {
	return func(step string) bool {
		for _, p := range list {
			if strings.HasPrefix(step, p) {
				return true
			}
		}
		return false
	}
}

// setHotServer makes a server the most loaded one, so that the planner moves slices
// off it.
func (system *testSystem) setHotServer(name string) { system.hotServer = name }

// drainServer declares a server as draining, so that all slices are moved off it.
func (system *testSystem) drainServer(name string) {
	spec := system.serverSpec(name)
	spec.Drain = true
	system.putResource(name, &spec)
}

var protocols = []protocol{
	{name: "first grant", isStep: hasAnyPrefix("append", "token", "grant"), maxSteps: 8},
	{name: "renewal", trigger: func(*testSystem) {}, isStep: hasAnyPrefix("renew", "token"), maxSteps: 4},
	{name: "release", trigger: func(system *testSystem) { system.drainServer("z1-s1") }, isStep: hasAnyPrefix("quiesce", "release", "released"), maxSteps: 6, recoveryNeedsLog: true},
	{name: "planned move", trigger: func(system *testSystem) { system.setHotServer("z1-s1") },
		isStep: hasAnyPrefix("quiesce", "transfer", "release", "append slice", "grant"), maxSteps: 6, recoveryNeedsLog: true},
	{name: "takeover", trigger: func(system *testSystem) {
		if d := system.homeOf("z1-s1"); d != nil {
			system.killHost(d.host)
			system.schedule(5*time.Second, func() { system.startHost(d.host) })
		}
	}, isStep: hasAnyPrefix("append", "token", "grant"), maxSteps: 6},
	{name: "zone declared lost", setOptions: func(o *options) { o.zones = 2 }, trigger: func(system *testSystem) {
		for _, host := range []string{"z2-h1", "z2-h2", "z2-h3"} {
			system.killHost(host)
		}
		for _, name := range []string{"z2-s1", "z2-s2"} {
			system.servers[name].kill()
		}
		system.putResource("z2", &resource.Zone{Lost: true})
	}, isStep: hasAnyPrefix("append", "token", "grant"), maxSteps: 6},
	{name: "checkpoint", setOptions: func(o *options) {
		o.configureMachine = func(c *ownership.Config) { c.LogRetention = 14 * time.Second }
	}, trigger: func(*testSystem) {}, isStep: hasAnyPrefix("append checkpoint"), maxSteps: 3},
	{name: "host join", trigger: func(system *testSystem) { system.startHost("z1-h4") }, isStep: hasAnyPrefix("append", "token", "grant"), maxSteps: 6},
	{name: "server leave", setOptions: func(o *options) { o.servers = 3 }, trigger: func(system *testSystem) { system.drainServer("z1-s2") }, isStep: hasAnyPrefix("append", "quiesce", "transfer", "released", "grant"), maxSteps: 6, recoveryNeedsLog: true},
	{name: "order dispatch", trigger: func(*testSystem) {}, isStep: hasAnyPrefix("order"), maxSteps: 4},
}
