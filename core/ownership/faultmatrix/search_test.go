package faultmatrix

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	searchStepDuration = 250 * time.Millisecond
	searchStepCount    = 20 // steps of a run; longer than suspicion, append and the expiry wait of 1.53 s together
	// maxSearchRuns bounds the search in CI; FAULTMATRIX_SEARCH replaces it.
	maxSearchRuns = 1500
	maxSearchTime = 10 * time.Second // bounds the search in CI on slow machines
	// maxQueuedSchedules bounds the memory for schedules to about 100 MB.
	maxQueuedSchedules = 1_000_000
)

// action is a fault or other change that the search can apply at the beginning of a
// step.
type action struct {
	name string
	run  func(system *testSystem)
}

// scheduledAction is an action, by its index, and the step at which it is applied. A
// list of them, ordered by step, is the schedule of a run.
type scheduledAction struct{ step, action int }

// searchActions returns the actions of the search: pauses and restarts of processes,
// partitions, delayed messages, outages of the log, and planned moves.
func searchActions() []action {
	var list []action
	add := func(name string, run func(system *testSystem)) { list = append(list, action{name, run}) }
	for _, host := range []string{"z1-h1", "z1-h2", "z1-h3"} {
		add("pause or resume "+host, func(system *testSystem) {
			if d := system.daemons[host]; d.paused {
				d.resume()
			} else {
				d.paused = true
			}
		})
		add("restart "+host, func(system *testSystem) {
			system.killHost(host)
			system.startHost(host)
		})
		add("cut or heal what peers send to "+host, func(system *testSystem) { system.togglePartitions([]string{"z1-h1", "z1-h2", "z1-h3"}, host) })
		add("cut or heal what the log sends to "+host, func(system *testSystem) { system.togglePartitions([]string{logName}, host) })
		add("cut or heal what the servers send to "+host, func(system *testSystem) { system.togglePartitions([]string{"z1-s1", "z1-s2"}, host) })
		add("delay for one step what "+host+" sends", func(system *testSystem) { system.delayMessages(host) })
	}
	for _, name := range []string{"z1-s1", "z1-s2"} {
		add("freeze or resume "+name, func(system *testSystem) {
			if b := system.servers[name]; b.frozen {
				b.resume()
			} else {
				b.frozen = true
			}
		})
		add("restart "+name, func(system *testSystem) {
			system.servers[name].kill()
			system.servers[name].start()
		})
		add("replace "+name+", old instance frozen", func(system *testSystem) { system.servers[name].start() })
		add("delay for one step what "+name+" sends", func(system *testSystem) { system.delayMessages(name) })
		add("load on "+name, func(system *testSystem) { system.setHotServer(name) })
	}
	add("log down or up", func(system *testSystem) { system.log.down = !system.log.down })
	return list
}

// togglePartitions partitions or heals one direction only, so that a request can take
// effect while its response is lost.
func (system *testSystem) togglePartitions(from []string, to string) {
	for _, other := range from {
		if path := [2]string{other, to}; other != to {
			system.network.partitioned[path] = !system.network.partitioned[path]
		}
	}
}

// delayMessages delays what one sender sends in this step until after what it sends
// in the next.
func (system *testSystem) delayMessages(from string) {
	var paths [][2]string
	for _, to := range []string{"z1-h1", "z1-h2", "z1-h3", "z1-s1", "z1-s2", logName} {
		paths = append(paths, [2]string{from, to})
		system.network.extraDelay[paths[len(paths)-1]] = searchStepDuration + 50*time.Millisecond
	}
	system.schedule(searchStepDuration-time.Millisecond, func() {
		for _, path := range paths {
			delete(system.network.extraDelay, path)
		}
	})
}

// replaySchedule runs a new system with the actions of a schedule, for searchStepCount
// steps. It returns the hash of the state after the step of the last action and after
// each later one.
func replaySchedule(o options, actions []action, schedule []scheduledAction) (states []uint64, system *testSystem) {
	o.seed, o.slices = 1, 1
	system = newTestSystem(o)
	// Orders start at multiples of 100 ms, so that one is in flight at every other step.
	system.runUntil(3*time.Second + 5*time.Millisecond)
	begin := system.now
	for step := range searchStepCount {
		for _, c := range schedule {
			if c.step == step {
				actions[c.action].run(system)
			}
		}
		system.runUntil(begin + time.Duration(step+1)*searchStepDuration)
		if len(schedule) == 0 || step >= schedule[len(schedule)-1].step {
			states = append(states, system.stateHash())
		}
	}
	return states, system
}

var (
	hashSeed   = maphash.MakeSeed()
	processIDs = regexp.MustCompile(`[0-9a-f]{8}-0000-7000-8000-[0-9a-f]{12}`)
)

// stateHash hashes what determines the further run: the log's and the daemons'
// offsets, homes and owners, the grants at the servers, the remaining times of leases
// and grants, which processes run, the partitioned paths and the number of messages in
// flight per path. Ids of processes are replaced by numbers in order of appearance, and
// times are rounded to 50 ms. The hash omits the internal timers of the machines
// (proposal ranks, retries, suspicion of peers), the contents of messages, the
// idempotency windows and the requests in flight. States that differ only in these
// count as one, and the second is not continued.
func (system *testSystem) stateHash() uint64 {
	var b strings.Builder
	unit := func(d time.Duration) int64 { return int64(max(d, 0) / (50 * time.Millisecond)) }
	fmt.Fprint(&b, len(system.log.records), system.log.down, system.hotServer)
	for s := range system.log.expectedState.SliceTable(serviceName).All {
		fmt.Fprint(&b, " slice ", s.Server, s.Generation, s.Former, s.Released)
	}
	for _, host := range []string{"z1-h1", "z1-h2", "z1-h3"} {
		d := system.daemons[host]
		fmt.Fprint(&b, "\n", host, d.incarnation, d.paused, d.view.AppliedOffset, unit(d.view.LeaseUntil-d.localTime()))
		for _, name := range []string{"z1-s1", "z1-s2"} {
			s := d.view.Servers[name]
			fmt.Fprint(&b, " ", s.Home.Incarnation, s.Local, s.Term, s.SubTerm, s.State, s.Instance, unit(s.DispatchUntil-d.localTime()), s.ServingSet.Len())
		}
	}
	for _, name := range []string{"z1-s1", "z1-s2"} {
		s := system.servers[name]
		fmt.Fprint(&b, "\n", name, s.instance, s.frozen, s.term, s.subTerm, s.grantTerm, s.grantSubTerm, sortedSlices(s.held), sortedSlices(s.released), unit(s.grantExpiresAt-s.localTime()))
	}
	var rest []string
	for instance, h := range system.checker.currentGrants {
		if h.expiresAt > system.now {
			rest = append(rest, fmt.Sprint("open ", instance, h.ranges, unit(h.expiresAt-system.now)))
		}
	}
	for path, cut := range system.network.partitioned {
		if cut {
			rest = append(rest, fmt.Sprint("cut ", path))
		}
	}
	for path, n := range system.network.inFlight {
		if n > 0 && path[0] != callerName && path[1] != callerName {
			rest = append(rest, fmt.Sprint("pending ", path, n))
		}
	}
	slices.Sort(rest)
	b.WriteString(strings.Join(rest, "\n"))
	nameByID := map[string]string{}
	text := processIDs.ReplaceAllStringFunc(b.String(), func(id string) string {
		if nameByID[id] == "" {
			nameByID[id] = "#" + strconv.Itoa(len(nameByID))
		}
		return nameByID[id]
	})
	return maphash.String(hashSeed, text)
}

// searchResult is the extent of a search and its first violation, if any.
type searchResult struct {
	runs, states, actions int
	violation             string
	complete              bool // all schedules that continue from new states were run
}

// search runs schedules with no action, then with one, two and so on: a breadth-first
// search by the number of actions. A schedule is extended only at steps whose state was
// not reached before.
func search(o options, limit int, until time.Time) searchResult {
	actions := searchActions()
	seenStates := map[uint64]struct{}{}
	schedules := [][]scheduledAction{nil}
	var result searchResult
	for ; len(schedules) > 0; result.actions++ {
		var next [][]scheduledAction
		for len(schedules) > 0 {
			n := min(len(schedules), 2*runtime.GOMAXPROCS(0), limit-result.runs)
			if n == 0 || time.Now().After(until) {
				return result
			}
			states, found := make([][]uint64, n), make([]string, n)
			var wg sync.WaitGroup
			for i, schedule := range schedules[:n] {
				wg.Go(func() {
					var system *testSystem
					states[i], system = replaySchedule(o, actions, schedule)
					if len(system.checker.violations) > 0 {
						found[i] = system.checker.violations[0]
					}
				})
			}
			wg.Wait()
			for i, schedule := range schedules[:n] {
				result.runs++
				if found[i] != "" {
					for _, scheduled := range schedule {
						result.violation += fmt.Sprintf("step %d: %s; ", scheduled.step, actions[scheduled.action].name)
					}
					result.violation += found[i]
					return result
				}
				for j, state := range states[i] {
					if _, ok := seenStates[state]; ok {
						continue
					}
					seenStates[state] = struct{}{}
					result.states++
					if step := searchStepCount - len(states[i]) + j + 1; step < searchStepCount && len(next) < maxQueuedSchedules {
						for a := range actions {
							next = append(next, append(slices.Clone(schedule), scheduledAction{step, a}))
						}
					}
				}
			}
			schedules = schedules[n:]
		}
		// The order is random, so that the limit omits random schedules.
		rand.New(rand.NewPCG(1, 0)).Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
		schedules = next
	}
	result.complete = true
	return result
}

// TestSearch guards against a violation in a combination of partitions, delays, pauses
// and restarts that the fault matrix does not include.
func TestSearch(t *testing.T) {
	limit, until := maxSearchRuns, time.Now().Add(maxSearchTime)
	if n, err := strconv.Atoi(os.Getenv("FAULTMATRIX_SEARCH")); err == nil {
		limit, until = n, time.Now().Add(time.Hour)
	}
	r := search(options{}, limit, until)
	t.Logf("%d runs, %d states, at most %d actions in %d steps of %s", r.runs, r.states, r.actions, searchStepCount, searchStepDuration)
	require.Empty(t, r.violation)
}

// TestSearchFindsViolation guards against a search that cannot find violations: without
// the home's idempotency window, it must find an order that runs twice.
func TestSearchFindsViolation(t *testing.T) {
	r := search(options{disabledRules: disabledFakeRules{deduplication: true}}, maxSearchRuns, time.Now().Add(maxSearchTime))
	require.Contains(t, r.violation, "ran 2 times")
	t.Logf("after %d runs: %s", r.runs, r.violation)
}
