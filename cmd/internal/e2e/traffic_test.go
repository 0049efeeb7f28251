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

// sample is the result of one request, measured at its caller.
type sample struct {
	key     string
	server  string
	sentAt  time.Duration // since the start of the traffic
	latency time.Duration
	outcome callerapi.Outcome
	reason  callerapi.Reason
}

// traffic sends GET requests through all daemons at a rate that does not depend on
// the responses.
type traffic struct {
	start   time.Time
	client  *http.Client
	pickKey atomic.Pointer[func(*rand.Rand) string]
	stopped chan struct{}
	pending sync.WaitGroup

	mu      sync.Mutex
	samples []sample
}

// startTraffic sends requests at exponential intervals until stop.
func (f *fixture) startTraffic(perSecond float64, pickKey func(*rand.Rand) string) *traffic {
	tr := &traffic{
		start: time.Now(), stopped: make(chan struct{}),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	tr.pickKey.Store(&pickKey)
	tr.pending.Go(func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for next := time.Now(); ; {
			next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-tr.stopped:
				return
			case <-time.After(time.Until(next)):
			}
			key, p := (*tr.pickKey.Load())(rng), f.daemons[rng.IntN(len(f.daemons))]
			tr.pending.Go(func() { tr.sendRequest(p, key) })
		}
	})
	return tr
}

func (tr *traffic) sendRequest(p *daemonProcess, key string) {
	began := time.Now()
	s := sample{key: key, sentAt: began.Sub(tr.start), outcome: callerapi.OutcomeUnknown}
	resp, err := tr.client.Get(fmt.Sprintf("%s/v1/almacen/%s/item", p.callerURL, key))
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
	s.latency = time.Since(began)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.samples = append(tr.samples, s)
}

// stop waits for the outstanding responses and returns all samples in the order of
// the responses.
func (tr *traffic) stop() []sample {
	close(tr.stopped)
	tr.pending.Wait()
	return tr.samples
}

// failedSamples returns the samples that were not done.
func failedSamples(samples []sample) []sample {
	var list []sample
	for _, s := range samples {
		if s.outcome != callerapi.OutcomeDone {
			list = append(list, s)
		}
	}
	return list
}

// measureServerChanges returns how often a key's server changed and the longest time
// that a change made a key unavailable. For each request that was sent before the
// first answer of the new server, this time runs from the last answer of the
// previous server, or from the sending of the request if that is later, until the
// answer to the request.
func measureServerChanges(samples []sample) (changes int, maxUnavailable time.Duration) {
	type owner struct {
		server                         string
		firstAnswer                    time.Duration
		previousLastAnswer, lastAnswer time.Duration // of the previous server and of this one
	}
	owners := map[string]owner{}
	for _, s := range samples {
		answeredAt := s.sentAt + s.latency
		o, known := owners[s.key]
		switch {
		case !known:
			// Equal times mark a key whose server has not changed.
			o = owner{server: s.server, firstAnswer: answeredAt, previousLastAnswer: answeredAt}
		case o.server != s.server:
			o = owner{server: s.server, firstAnswer: answeredAt, previousLastAnswer: o.lastAnswer}
			changes++
		}
		if changed := o.previousLastAnswer < o.firstAnswer; changed && s.sentAt <= o.firstAnswer {
			maxUnavailable = max(maxUnavailable, answeredAt-max(s.sentAt, o.previousLastAnswer))
		}
		o.lastAnswer = answeredAt
		owners[s.key] = o
	}
	return changes, maxUnavailable
}

// maxLatency returns the highest latency. Unlike measureServerChanges, it also covers a move
// that delayed requests and was then aborted, since the key's server stays the same.
func maxLatency(samples []sample) (longest time.Duration) {
	for _, s := range samples {
		longest = max(longest, s.latency)
	}
	return longest
}

// relativeBusyTimes returns the busy time of each server, measured at the servers,
// for the requests that started between from and to, relative to the mean.
func (f *fixture) relativeBusyTimes(from, to time.Duration) map[string]float64 {
	busy, total := map[string]float64{}, 0.0
	for _, execution := range f.journal.Executions() {
		if execution.Started >= from && execution.Started < to && execution.Ended > 0 {
			busy[execution.Server] += (execution.Ended - execution.Started).Seconds()
			total += (execution.Ended - execution.Started).Seconds()
		}
	}
	for name := range busy {
		busy[name] *= float64(len(f.servers)) / total
	}
	return busy
}
