package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/standin/server"
)

// sample is one request as its caller saw it.
type sample struct {
	key     string
	server  string
	sent    time.Duration // since the start of the traffic
	took    time.Duration
	outcome callerapi.Outcome
	reason  callerapi.Reason
}

// traffic is an open load of GET requests over all daemons.
type traffic struct {
	start  time.Time
	client *http.Client
	pick   atomic.Pointer[func(*rand.Rand) string]
	ended  chan struct{}
	sent   sync.WaitGroup

	mu      sync.Mutex
	samples []sample
}

// startTraffic sends requests at exponential intervals until stop.
func (f *fixture) startTraffic(perSecond float64, pick func(*rand.Rand) string) *traffic {
	tr := &traffic{
		start: time.Now(), ended: make(chan struct{}),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	tr.pick.Store(&pick)
	tr.sent.Go(func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for next := time.Now(); ; {
			next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-tr.ended:
				return
			case <-time.After(time.Until(next)):
			}
			key, p := (*tr.pick.Load())(rng), f.daemons[rng.IntN(len(f.daemons))]
			tr.sent.Go(func() { tr.send(p, key) })
		}
	})
	return tr
}

func (tr *traffic) send(p *process, key string) {
	began := time.Now()
	s := sample{key: key, sent: began.Sub(tr.start), outcome: callerapi.OutcomeUnknown}
	resp, err := tr.client.Get(fmt.Sprintf("%s/v1/almacen/%s/item", p.caller, key))
	if err == nil {
		var result server.Result
		err = json.NewDecoder(resp.Body).Decode(&result)
		_ = resp.Body.Close()
		s.server = result.Server
		s.outcome = callerapi.Outcome(resp.Header.Get(callerapi.HeaderOutcome))
		s.reason = callerapi.Reason(resp.Header.Get(callerapi.HeaderReason))
	}
	if err != nil {
		s.outcome = callerapi.OutcomeUnknown
	}
	s.took = time.Since(began)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.samples = append(tr.samples, s)
}

// stop waits for the last answers and returns all samples in the order of answers.
func (tr *traffic) stop() []sample {
	close(tr.ended)
	tr.sent.Wait()
	return tr.samples
}

// failures returns the samples that were not done.
func failures(samples []sample) []sample {
	var list []sample
	for _, s := range samples {
		if s.outcome != callerapi.OutcomeDone {
			list = append(list, s)
		}
	}
	return list
}

// longestMove counts how often a key's server changed and returns for how long
// a key had no answer by then: of the requests that were sent before the first
// answer by the new server, the longest wait since the last answer by the former.
func longestMove(samples []sample) (changes int, longest time.Duration) {
	type owner struct {
		server           string
		began            time.Duration // first answer
		formerEnd, ended time.Duration // last answer of the former and of this server
	}
	owners := map[string]owner{}
	for _, s := range samples {
		at := s.sent + s.took
		o, known := owners[s.key]
		switch {
		case !known:
			o = owner{server: s.server, began: at, formerEnd: at}
		case o.server != s.server:
			o = owner{server: s.server, began: at, formerEnd: o.ended}
			changes++
		}
		if changed := o.formerEnd < o.began; changed && s.sent <= o.began {
			longest = max(longest, at-max(s.sent, o.formerEnd))
		}
		o.ended = at
		owners[s.key] = o
	}
	return changes, longest
}

// slowest returns the longest time to an answer. It also shows a move that held
// a key up and was then aborted, after which the server is the same.
func slowest(samples []sample) (longest time.Duration) {
	for _, s := range samples {
		longest = max(longest, s.took)
	}
	return longest
}

// busyShares returns the busy time of each server since from as a share of the
// mean, measured at the servers.
func (f *fixture) busyShares(from, to time.Duration) map[string]float64 {
	busy, total := map[string]float64{}, 0.0
	for _, w := range f.journal.Executions() {
		if w.Started >= from && w.Started < to && w.Ended > 0 {
			busy[w.Server] += (w.Ended - w.Started).Seconds()
			total += (w.Ended - w.Started).Seconds()
		}
	}
	for name := range busy {
		busy[name] *= float64(len(f.servers)) / total
	}
	return busy
}
