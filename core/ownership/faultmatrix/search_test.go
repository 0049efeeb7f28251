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
	searchStep  = 250 * time.Millisecond
	searchDepth = 20 // steps of a course; longer than suspicion, append and the wait of 1.53 s together
	// searchRuns bounds the search in CI; FAULTMATRIX_SEARCH replaces it.
	searchRuns = 1500
	searchTime = 10 * time.Second // in CI, for slow machines
	// maxQueued bounds the memory for courses to about 100 MB.
	maxQueued = 1_000_000
)

// action is one choice of the scheduler at the beginning of a step.
type action struct {
	name string
	run  func(w *world)
}

// choice places an action at a step of a course.
type choice struct{ step, action int }

// searchActions are pauses and restarts of processes, losses and late delivery
// of what one party sends, outages of the log, and a planned move.
func searchActions() []action {
	var list []action
	add := func(name string, run func(w *world)) { list = append(list, action{name, run}) }
	for _, host := range []string{"z1-h1", "z1-h2", "z1-h3"} {
		add("pause or resume "+host, func(w *world) {
			if d := w.daemons[host]; d.paused {
				d.resume()
			} else {
				d.paused = true
			}
		})
		add("restart "+host, func(w *world) {
			w.killHost(host)
			w.startHost(host)
		})
		add("cut or heal what peers send to "+host, func(w *world) { w.toggle([]string{"z1-h1", "z1-h2", "z1-h3"}, host) })
		add("cut or heal what the log sends to "+host, func(w *world) { w.toggle([]string{logName}, host) })
		add("cut or heal what the servers send to "+host, func(w *world) { w.toggle([]string{"z1-s1", "z1-s2"}, host) })
		add("delay for one step what "+host+" sends", func(w *world) { w.delay(host) })
	}
	for _, name := range []string{"z1-s1", "z1-s2"} {
		add("freeze or resume "+name, func(w *world) {
			if b := w.servers[name]; b.frozen {
				b.resume()
			} else {
				b.frozen = true
			}
		})
		add("restart "+name, func(w *world) {
			w.servers[name].kill()
			w.servers[name].start()
		})
		add("replace "+name+", old instance frozen", func(w *world) { w.servers[name].start() })
		add("delay for one step what "+name+" sends", func(w *world) { w.delay(name) })
		add("load on "+name, func(w *world) { w.heat(name) })
	}
	add("log down or up", func(w *world) { w.log.down = !w.log.down })
	return list
}

// toggle cuts or heals one direction only, so that a request can take effect
// without its response.
func (w *world) toggle(from []string, to string) {
	for _, other := range from {
		if path := [2]string{other, to}; other != to {
			w.links.cut[path] = !w.links.cut[path]
		}
	}
}

// delay lets what a party sends in this step arrive after what it sends in the next.
func (w *world) delay(from string) {
	var paths [][2]string
	for _, to := range []string{"z1-h1", "z1-h2", "z1-h3", "z1-s1", "z1-s2", logName} {
		paths = append(paths, [2]string{from, to})
		w.links.slow[paths[len(paths)-1]] = searchStep + 50*time.Millisecond
	}
	w.after(searchStep-time.Millisecond, func() {
		for _, path := range paths {
			delete(w.links.slow, path)
		}
	})
}

// searchRun replays a course from the start, and goes on without actions to
// searchDepth. It returns the hash of the state after each step that follows the
// last action.
func searchRun(o options, actions []action, course []choice) (states []uint64, w *world) {
	o.seed, o.slices = 1, 1
	w = newWorld(o)
	// Orders start at multiples of 100 ms, so that one is under way at every other step.
	w.until(3*time.Second + 5*time.Millisecond)
	begin := w.now
	for step := range searchDepth {
		for _, c := range course {
			if c.step == step {
				actions[c.action].run(w)
			}
		}
		w.until(begin + time.Duration(step+1)*searchStep)
		if len(course) == 0 || step >= course[len(course)-1].step {
			states = append(states, w.hash())
		}
	}
	return states, w
}

var (
	hashSeed   = maphash.MakeSeed()
	processIDs = regexp.MustCompile(`[0-9a-f]{8}-0000-7000-8000-[0-9a-f]{12}`)
)

// hash identifies what decides the future: the folded state by the log's and the
// daemons' offsets, homes and owners, the grants at the servers, leases and open
// grants relative to now, which processes run, the cut paths and the number of
// messages under way per path. Ids of processes count by their first appearance
// and times in units of 50 ms. It leaves out the machines' private timers
// (proposal ranks, retries, suspicion of peers), the contents of messages, the
// idempotency windows and the requests under way, so two states that differ only
// in these count as one and the second is not continued.
func (w *world) hash() uint64 {
	var b strings.Builder
	unit := func(d time.Duration) int64 { return int64(max(d, 0) / (50 * time.Millisecond)) }
	fmt.Fprint(&b, len(w.log.all), w.log.down, w.hot)
	for s := range w.log.expected.Table(serviceName).All {
		fmt.Fprint(&b, " slice ", s.Server, s.Generation, s.Former, s.Released)
	}
	for _, host := range []string{"z1-h1", "z1-h2", "z1-h3"} {
		d := w.daemons[host]
		fmt.Fprint(&b, "\n", host, d.incarnation, d.paused, d.view.AppliedOffset, unit(d.view.LeaseUntil-d.local()))
		for _, name := range []string{"z1-s1", "z1-s2"} {
			s := d.view.Servers[name]
			fmt.Fprint(&b, " ", s.Home.Incarnation, s.Local, s.Term, s.SubTerm, s.State, s.Instance, unit(s.DispatchUntil-d.local()), s.Serving.Len())
		}
	}
	for _, name := range []string{"z1-s1", "z1-s2"} {
		s := w.servers[name]
		fmt.Fprint(&b, "\n", name, s.instance, s.frozen, s.term, s.subTerm, s.grantTerm, s.grantSub, sorted(s.held), sorted(s.released), unit(s.expires-s.local()))
	}
	var rest []string
	for instance, h := range w.checker.open {
		if h.to > w.now {
			rest = append(rest, fmt.Sprint("open ", instance, h.ranges, unit(h.to-w.now)))
		}
	}
	for path, cut := range w.links.cut {
		if cut {
			rest = append(rest, fmt.Sprint("cut ", path))
		}
	}
	for path, n := range w.links.pending {
		if n > 0 && path[0] != callers && path[1] != callers {
			rest = append(rest, fmt.Sprint("pending ", path, n))
		}
	}
	slices.Sort(rest)
	b.WriteString(strings.Join(rest, "\n"))
	seen := map[string]string{}
	text := processIDs.ReplaceAllStringFunc(b.String(), func(id string) string {
		if seen[id] == "" {
			seen[id] = "#" + strconv.Itoa(len(seen))
		}
		return seen[id]
	})
	return maphash.String(hashSeed, text)
}

// searchResult is the extent of a search and the first violation.
type searchResult struct {
	runs, states, actions int
	violation             string
	complete              bool // all courses with that number of actions were run
}

// search explores courses with no action, then one, two and so on (breadth
// first in actions). A course is continued only from states not seen before.
func search(o options, limit int, until time.Time) searchResult {
	actions := searchActions()
	seen := map[uint64]struct{}{}
	level := [][]choice{nil}
	var out searchResult
	for ; len(level) > 0; out.actions++ {
		var next [][]choice
		for len(level) > 0 {
			n := min(len(level), 2*runtime.GOMAXPROCS(0), limit-out.runs)
			if n == 0 || time.Now().After(until) {
				return out
			}
			states, found := make([][]uint64, n), make([]string, n)
			var wg sync.WaitGroup
			for i, course := range level[:n] {
				wg.Go(func() {
					var w *world
					states[i], w = searchRun(o, actions, course)
					if len(w.checker.violations) > 0 {
						found[i] = w.checker.violations[0]
					}
				})
			}
			wg.Wait()
			for i, course := range level[:n] {
				out.runs++
				if found[i] != "" {
					for _, c := range course {
						out.violation += fmt.Sprintf("step %d: %s; ", c.step, actions[c.action].name)
					}
					out.violation += found[i]
					return out
				}
				for j, state := range states[i] {
					if _, ok := seen[state]; ok {
						continue
					}
					seen[state] = struct{}{}
					out.states++
					if step := searchDepth - len(states[i]) + j + 1; step < searchDepth && len(next) < maxQueued {
						for a := range actions {
							next = append(next, append(slices.Clone(course), choice{step, a}))
						}
					}
				}
			}
			level = level[n:]
		}
		// Any courses that the limit cuts off are chosen at random.
		rand.New(rand.NewPCG(1, 0)).Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
		level = next
	}
	out.complete = true
	return out
}

// TestSearch guards against an order of messages, losses, pauses, restarts and
// times that the matrix does not name and that gives one slice two owners.
func TestSearch(t *testing.T) {
	limit, until := searchRuns, time.Now().Add(searchTime)
	if n, err := strconv.Atoi(os.Getenv("FAULTMATRIX_SEARCH")); err == nil {
		limit, until = n, time.Now().Add(time.Hour)
	}
	r := search(options{}, limit, until)
	t.Logf("%d courses, %d states, at most %d actions in %d steps of %s", r.runs, r.states, r.actions, searchDepth, searchStep)
	require.Empty(t, r.violation)
}

// TestSearchFindsViolation guards against a search that reaches no dangerous
// state: without the home's window of ids an order must run twice.
func TestSearchFindsViolation(t *testing.T) {
	r := search(options{off: fakeRules{dedupe: true}}, searchRuns, time.Now().Add(searchTime))
	require.Contains(t, r.violation, "ran 2 times")
	t.Logf("after %d courses: %s", r.runs, r.violation)
}
