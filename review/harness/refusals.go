package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runFalseRefusals lets one of eight servers with keys fail part of the orders that it has
// run, with status 503 and without Not-Executed.
func runFalseRefusals(dir string, trouble bool) int {
	d, err := newDeployment(dir)
	if err != nil {
		return 2
	}
	defer d.stop()
	d.configure(1, []route{
		{"roster-lookup", "/roster/", "safe", "orders", 1.2, 0.6, 1, 2},
		{"print-order", "/order/", "unsafe", "orders", 1.5, 0.8, 1, 2},
	}, map[string]bool{"orders": true}, 1<<20)
	zones := []string{"a", "b", "c"}
	var servers []*server
	for i := range 8 {
		servers = append(servers, d.addServer("i-"+strconv.Itoa(i), "orders", zones[i%3], 2, true, workOf))
	}
	for i, z := range zones {
		d.addHost("front-"+z+"-"+strconv.Itoa(i), z)
	}
	if !d.waitReady(25 * time.Second) {
		d.record.log("the hosts did not get ready")
		return 2
	}
	time.Sleep(6 * time.Second) // the servers get their keys
	grey := spells{time.Now(), 8500 * time.Millisecond, 3500 * time.Millisecond}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(3, 4))
	if trouble {
		servers[0].setFailStatus(func(path string) int {
			mu.Lock()
			defer mu.Unlock()
			if !strings.HasPrefix(path, "/order/") || !grey.on() || random.Float64() > 0.55 {
				return 0
			}
			return http.StatusServiceUnavailable
		})
	}
	c := newCallers(d)
	for i := range 16 {
		c.start(uint64(i), 400*time.Millisecond, func(r *rand.Rand) request {
			path, key := strconv.Itoa(r.IntN(10000)), r.IntN(keyCount)
			if i%2 == 0 {
				return request{http.MethodGet, "/roster/" + path, nil, 2500 * time.Millisecond, key}
			}
			return request{http.MethodPost, "/order/" + path, []byte(strings.Repeat("o", 1200)), 3 * time.Second, key}
		})
	}
	time.Sleep(45 * time.Second)
	refused, falselyRefused, served := 0, 0, 0
	for _, o := range c.stop() {
		runs := 0
		for _, s := range servers {
			runs += s.runs(o.attempt)
		}
		switch o.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused++
			if runs > 0 && o.method == http.MethodPost {
				falselyRefused++
				d.record.log("result: order %s was answered %d by %s and has run", o.attempt, o.status, o.host.name)
			}
		}
	}
	d.record.log("result: %d served, %d refused; REFUSED: %d orders answered 503, 429, 408 or 421 that have run", served, refused, falselyRefused)
	switch {
	case falselyRefused > 0:
		return 1
	case served == 0:
		return 2
	}
	return 0
}
