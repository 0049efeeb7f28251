package faultmatrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/ownership"
	"parsleyrelay.example/core/record"
	"parsleyrelay.example/core/resource"
)

const (
	serviceName       = "orders"
	callerName        = "callers"
	defaultSliceCount = 4
)

// options configure the system of one run.
type options struct {
	seed             uint64
	grantsUnchecked  bool // servers do not check grants
	zones            int  // default 1, each with three hosts
	servers          int  // per zone, default 2
	slices           int  // default defaultSliceCount
	scope            resource.Scope
	slowClocks       []string // clocks of these hosts and servers run 1% slow
	fastClocks       []string
	configureMachine func(*ownership.Config)
	disabledRules    disabledFakeRules
}

// disabledFakeRules disables rules of the fakes, to show that the checker detects the
// resulting violations.
type disabledFakeRules struct {
	deduplication      bool // the home ignores the ids of orders
	witnessIncarnation bool // a restarted daemon responds to polls of its predecessor
	termFencing        bool // servers accept requests and grants of any term
	releaseMemory      bool // servers forget which slices they released
}

// testSystem is the simulated system of one run: daemons, servers, log, host list and
// callers.
type testSystem struct {
	*simulator
	options
	network        *network
	log            *fakeLog
	hostList       *fakeHostList
	checker        *checker
	daemons        map[string]*daemon // current process by host
	startedDaemons []*daemon
	servers        map[string]*fakeServer

	lookupInterval     time.Duration
	routeRetryInterval time.Duration // between the route lookups of a waiting request

	// The steps of the protocol are recorded while isProtocolStep is set; injectFault
	// runs at step number injectAtStep.
	isProtocolStep func(step string) bool
	protocolSteps  []string
	injectAtStep   int
	injectFault    func()
	activeFaults   int // faults that are scheduled or have not ended
	// mayLoseQuorum is set when the faults may remove a majority of the witnesses
	// permanently, so that keys are served again only after a reset of the set.
	mayLoseQuorum bool

	keys            []uint64
	lastServedAt    map[uint64]time.Duration // last success by key
	longestGaps     map[uint64]time.Duration // longest time without success by key
	completedOrders int
	failedLookups   int
	hotServer       string // server that reports the highest load
	entryHostIndex  int
}

func newTestSystem(o options) *testSystem {
	if o.zones == 0 {
		o.zones = 1
	}
	if o.servers == 0 {
		o.servers = 2
	}
	if o.slices == 0 {
		o.slices = defaultSliceCount
	}
	s := newSimulator(o.seed)
	system := &testSystem{
		simulator: s, options: o, network: newNetwork(s), hostList: newFakeHostList(s), checker: newChecker(),
		daemons: map[string]*daemon{}, servers: map[string]*fakeServer{},
		lastServedAt: map[uint64]time.Duration{}, longestGaps: map[uint64]time.Duration{},
		lookupInterval: 100 * time.Millisecond, routeRetryInterval: 25 * time.Millisecond,
	}
	system.log = newFakeLog(s, system.network)
	for _, r := range keyspace.EqualRanges(o.slices) {
		system.keys = append(system.keys, r.First+(r.Last-r.First)/2)
	}
	system.putResource("high", &resource.Rank{})
	system.putResource(serviceName, &resource.Service{Scope: o.scope, Slices: o.slices, Ranks: []string{"high"}, DefaultRank: "high"})
	for z := 1; z <= o.zones; z++ {
		for n := 1; n <= o.servers; n++ {
			system.addServer(fmt.Sprintf("z%d-s%d", z, n))
		}
	}
	for z := 1; z <= o.zones; z++ {
		for n := 1; n <= 3; n++ {
			system.startHost(fmt.Sprintf("z%d-h%d", z, n))
		}
	}
	system.startTraffic()
	return system
}

func zoneOf(name string) string { return strings.SplitN(name, "-", 2)[0] }

func urlOf(name string) string { return "http://" + name }

func (system *testSystem) putResource(name string, spec resource.Spec) {
	r := resource.Resource{Name: name, Spec: spec}
	current, _ := system.log.expectedState.Resource(r.Key())
	id := system.newID()
	system.log.appendNow(record.Record{ID: id, Body: record.ResourcePut{Resource: r, ExpectedVersion: current.Version, ChangeID: id}})
}

func (system *testSystem) serverSpec(name string) resource.Server {
	return resource.Server{
		Service: serviceName, Zone: zoneOf(name), Address: urlOf(name), Slots: 6, Connections: 100, ChecksGrants: !system.grantsUnchecked,
	}
}

func (system *testSystem) addServer(name string) {
	b := newFakeServer(system.simulator, system.checker, name, !system.grantsUnchecked, system.clockRate(name))
	b.ignoresTerms, b.forgetsReleases = system.disabledRules.termFencing, system.disabledRules.releaseMemory
	system.servers[name] = b
	spec := system.serverSpec(name)
	system.putResource(name, &spec)
}

func (system *testSystem) clockRate(name string) float64 {
	switch {
	case slices.Contains(system.slowClocks, name):
		return 0.99
	case slices.Contains(system.fastClocks, name):
		return 1.01
	}
	return 1
}

// startHost starts a new incarnation of the daemon on a host.
func (system *testSystem) startHost(host string) *daemon {
	d := &daemon{
		system: system, host: host, zone: zoneOf(host), incarnation: system.newID(), url: urlOf(host),
		clock:      newClock(system.clockRate(host), system.now, system.randomDuration(0, time.Hour)),
		lastPollAt: map[string]time.Duration{}, dispatcher: newDispatcher(),
	}
	d.machine = newMachine(d)
	system.daemons[host] = d
	system.startedDaemons = append(system.startedDaemons, d)
	system.hostList.setLive(host, true)
	system.tracef("%s starts as %s", host, d.incarnation)
	system.schedule(system.randomDuration(0, 30*time.Millisecond), d.start)
	return d
}

func (system *testSystem) killHost(host string) {
	system.daemons[host].dead = true
	system.hostList.setLive(host, false)
	system.tracef("%s killed", host)
}

func (system *testSystem) daemonAt(url string) *daemon {
	d := system.daemons[strings.TrimPrefix(url, "http://")]
	if d == nil || d.dead {
		return nil
	}
	return d
}

func (system *testSystem) serverAt(url string) *fakeServer {
	return system.servers[strings.TrimPrefix(url, "http://")]
}

// homeOf returns the daemon that is the home of a server by the log, nil if it was
// killed.
func (system *testSystem) homeOf(server string) *daemon {
	home := system.log.expectedState.Home(server).Incarnation
	for _, d := range system.daemons {
		if d.incarnation == home && !d.dead {
			return d
		}
	}
	return nil
}

// recordStep records a message or record if it is a step of the protocol, and injects
// the fault at the step that is due.
func (system *testSystem) recordStep(format string, args ...any) {
	name := fmt.Sprintf(format, args...)
	if system.isProtocolStep == nil || !system.isProtocolStep(name) {
		return
	}
	system.protocolSteps = append(system.protocolSteps, name)
	if len(system.protocolSteps) == system.injectAtStep {
		system.tracef("fault at step %d: %s", system.injectAtStep, name)
		system.injectFault()
	}
}

func (system *testSystem) recordGrantStep(e ownership.SendGrant) {
	switch {
	case e.Token == "":
		system.recordStep("token %s", e.Server)
	case e.HasSlices:
		system.recordStep("grant %s", e.Server)
	default:
		system.recordStep("renew %s", e.Server)
	}
}

func (system *testSystem) recordRequestStep(a attempt) {
	if a.isOrder {
		system.recordStep("order %s", a.orderID)
	}
}

// startTraffic sends a repeatable lookup per key every lookupInterval and an order,
// which must not run twice, every 100 ms.
func (system *testSystem) startTraffic() {
	system.schedule(system.lookupInterval, system.sendLookups)
	system.schedule(100*time.Millisecond, system.sendOrder)
}

// nextEntryDaemon chooses the hosts with a running process in turn, as a load balancer
// with health checks does.
func (system *testSystem) nextEntryDaemon() *daemon {
	hosts := make([]string, 0, len(system.daemons))
	for host, d := range system.daemons {
		if !d.dead && !d.paused {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	slices.Sort(hosts)
	system.entryHostIndex++
	return system.daemons[hosts[system.entryHostIndex%len(hosts)]]
}

func (system *testSystem) sendLookups() {
	for _, key := range system.keys {
		system.sendAttempt(attempt{attemptID: system.newID(), keyHash: key}, func(outcome string) {
			if outcome == outcomeDone {
				system.recordServed(key)
			} else {
				system.failedLookups++
			}
		})
	}
	system.schedule(system.lookupInterval, system.sendLookups)
}

func (system *testSystem) recordServed(key uint64) {
	if last, ok := system.lastServedAt[key]; ok {
		system.longestGaps[key] = max(system.longestGaps[key], system.now-last)
	}
	system.lastServedAt[key] = system.now
}

// resetGaps starts a new measurement of the times during which keys are not served.
func (system *testSystem) resetGaps() {
	clear(system.longestGaps)
	for _, key := range system.keys {
		system.lastServedAt[key] = system.now
	}
}

// longestUnavailability returns the longest time for which a key was not served since
// resetGaps, including a time that has not ended yet.
func (system *testSystem) longestUnavailability() time.Duration {
	var longest time.Duration
	for _, key := range system.keys {
		longest = max(longest, system.longestGaps[key], system.now-system.lastServedAt[key])
	}
	return longest
}

// allServedSince reports whether every key was served since the given time.
func (system *testSystem) allServedSince(since time.Duration) bool {
	for _, key := range system.keys {
		if at, ok := system.lastServedAt[key]; !ok || at < since {
			return false
		}
	}
	return true
}

// sendAttempt sends an attempt to an entry host. For the caller it times out after
// three seconds.
func (system *testSystem) sendAttempt(a attempt, respond func(string)) {
	ended := false
	end := func(outcome string) {
		if ended {
			return
		}
		ended = true
		if outcome == outcomeNotRun {
			system.checker.recordNotRun(a.attemptID)
		}
		respond(outcome)
	}
	d := system.nextEntryDaemon()
	if d == nil {
		end(outcomeNotRun)
		return
	}
	system.schedule(3*time.Second, func() { end(outcomeUnknown) })
	system.network.send(callerName, d.host, func() {
		d.handleAttempt(a, false, system.now+maxQueueTime, func(outcome string) {
			system.network.send(d.host, callerName, func() { end(outcome) })
		})
	})
}

// sendOrder sends a request that must not run twice. As a caller does, it repeats the
// request with the same id until the outcome is done.
func (system *testSystem) sendOrder() {
	id := system.newID()
	a := attempt{
		orderID: id, keyHash: system.keys[system.rng.IntN(len(system.keys))], isOrder: true,
		idTime: system.now + system.randomDuration(-400*time.Millisecond, 400*time.Millisecond),
	}
	system.sendOrderAttempt(a, 1)
	system.schedule(100*time.Millisecond, system.sendOrder)
}

func (system *testSystem) sendOrderAttempt(a attempt, n int) {
	a.attemptID = fmt.Sprintf("%s#%d", a.orderID, n)
	system.sendAttempt(a, func(outcome string) {
		switch {
		case outcome == outcomeDone:
			system.completedOrders++
		case n < 20:
			system.schedule(200*time.Millisecond, func() { system.sendOrderAttempt(a, n+1) })
		}
	})
}

// runUntilServed runs until all keys are served, for at most d, and reports whether
// they are.
func (system *testSystem) runUntilServed(d time.Duration) bool {
	for end, start := system.now+d, system.now; system.now < end; {
		system.runUntil(system.now + 50*time.Millisecond)
		if system.allServedSince(start) {
			return true
		}
	}
	return false
}

// settleAndCheck runs the system for at most the given time until all keys are served.
// Then it checks that they are, and that all running daemons route by the assignments
// in the log.
func (system *testSystem) settleAndCheck(settle time.Duration) {
	const minSettleTime = 2 * time.Second
	system.runUntil(system.now + minSettleTime)
	for end := system.now + settle - minSettleTime; system.now < end && !system.allServedSince(system.now-500*time.Millisecond); {
		system.runUntil(system.now + 500*time.Millisecond)
	}
	if !system.allServedSince(system.now - 500*time.Millisecond) {
		system.checker.addViolation("keys are not served %.0f s after the fault ended", settle.Seconds())
	}
	// The log grows slowly, so all daemons can read it within a short time.
	for range 20 {
		if system.allApplied() {
			break
		}
		system.runUntil(system.now + 50*time.Millisecond)
	}
	system.checker.checkAckedRecords(system.log.ackedOffsets, system.log.records)
	for _, d := range system.startedDaemons {
		if !d.dead && !d.paused && !d.drained {
			system.checker.checkAssignments(system.log, d.host, d.view)
		}
	}
}

func (system *testSystem) allApplied() bool {
	for _, d := range system.daemons {
		if !d.dead && (d.view == nil || d.view.AppliedOffset < uint64(len(system.log.records))) {
			return false
		}
	}
	return true
}
