package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playTime is the length of the cases.
const playTime = 80 * time.Second

// The routes of the cases, as in a small deployment.
var memoryRoutes = []route{
	{"status-check", "/status/", "safe", "proofs", 3, 3, 2, 2},
	{"proof-view", "/view/", "safe", "proofs", 1.2, 0.25, 0, 2},
	{"print-order", "/order/", "unsafe", "proofs", 1.5, 0.8, 1, 2},
}

func workOf(path string) time.Duration {
	mean := 0.29
	switch {
	case strings.HasPrefix(path, "/status/"):
		mean = 0.55
	case strings.HasPrefix(path, "/view/"):
		mean = 0.088
	}
	return time.Duration(mean * (0.7 + 0.6*rand.Float64()) * float64(time.Second))
}

// startMemoryCase starts three hosts and twelve servers and waits until they serve.
func startMemoryCase(dir string, maxBodyBytes int) (*deployment, []*server, bool) {
	d, err := newDeployment(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, nil, false
	}
	zones := []string{"a", "b", "c"}
	d.configure(1, memoryRoutes, map[string]bool{"proofs": false}, maxBodyBytes)
	var servers []*server
	for i := range 12 {
		servers = append(servers, d.addServer("i-"+strconv.Itoa(i), "proofs", zones[i%3], 2, false, workOf))
	}
	for i, z := range zones {
		d.addHost("front-"+z+"-"+strconv.Itoa(i), z)
	}
	return d, servers, d.waitReady(25 * time.Second)
}

// judgeMemoryCase writes the result: 1 if Fault or LOST was broken.
func judgeMemoryCase(d *deployment, servers []*server, outcomes []outcome) int {
	runsOfSound := func(attempt string) bool {
		for _, s := range servers {
			if s.runs(attempt) > 0 && !s.spoiled(attempt) {
				return true
			}
		}
		return false
	}
	failing, lost, answered, served := 0, map[*host]int{}, 0, 0
	for _, o := range outcomes {
		switch {
		case o.status != 0:
			answered++
			if o.status == 200 {
				served++
			}
		case !o.timeout && o.kept && runsOfSound(o.attempt):
			lost[o.host]++
		}
	}
	broken := false
	for _, h := range d.hosts {
		h.mu.Lock()
		ends := h.memoryKills + h.otherEnds
		d.record.log("result: host %s: %d ends over the memory limit, %d other ends, peak %d MB; LOST: %d requests passed on to sound servers and not answered",
			h.name, h.memoryKills, h.otherEnds, h.peakMB, lost[h])
		h.mu.Unlock()
		if ends >= 3 {
			failing++
		}
		broken = broken || lost[h] > 3
	}
	d.record.log("result: %d attempts, %d answered, %d served; Fault: %d of %d hosts ended by themselves three times or more (two break the rule)", len(outcomes), answered, served, failing, len(d.hosts))
	if broken || failing >= 2 {
		d.record.log("result: broken")
		return 1
	}
	if served == 0 {
		d.record.log("result: nothing was served, the case could not run")
		return 2
	}
	d.record.log("result: held")
	return 0
}

func startCommonCallers(c *callers, n int) {
	for i := range n {
		c.start(uint64(i), 350*time.Millisecond, func(r *rand.Rand) request {
			path := strconv.Itoa(r.IntN(10000))
			switch k := r.IntN(10); {
			case k < 4:
				return request{"GET", "/status/" + path, nil, 6 * time.Second, -1}
			case k < 8:
				return request{"GET", "/view/" + path, nil, 1200 * time.Millisecond, -1}
			}
			return request{"POST", "/order/" + path, []byte(strings.Repeat("o", 1200)), 3 * time.Second, -1}
		})
	}
}

// runEndlessHeads lets half of the servers answer a share of their requests with a head
// that does not end.
func runEndlessHeads(dir string, trouble bool) int {
	d, servers, ok := startMemoryCase(dir, 1<<20)
	if d == nil {
		return 2
	}
	defer d.stop()
	if !ok {
		d.record.log("the hosts did not get ready")
		return 2
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	garble := spells{time.Now(), 5500 * time.Millisecond, 2500 * time.Millisecond}
	if trouble {
		for _, s := range servers[:len(servers)/2] {
			s.spoil = func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				return garble.on() && random.Float64() < 0.05
			}
		}
	}
	c := newCallers(d)
	startCommonCallers(c, 30)
	time.Sleep(playTime)
	return judgeMemoryCase(d, servers, c.stop())
}

// runLargeBodies lets a caller send orders with bodies up to the configured limit, one
// after the other.
func runLargeBodies(dir string, trouble bool) int {
	const maxBodyBytes = 67108864
	d, servers, ok := startMemoryCase(dir, maxBodyBytes)
	if d == nil {
		return 2
	}
	defer d.stop()
	if !ok {
		d.record.log("the hosts did not get ready")
		return 2
	}
	size := 1200
	if trouble {
		size = maxBodyBytes
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = 'o'
	}
	c := newCallers(d)
	startCommonCallers(c, 30)
	for i := range 4 {
		c.start(uint64(1000+i), time.Second, func(r *rand.Rand) request {
			return request{"POST", "/order/" + strconv.Itoa(r.IntN(10000)), body, 3 * time.Second, -1}
		})
	}
	time.Sleep(playTime)
	return judgeMemoryCase(d, servers, c.stop())
}
