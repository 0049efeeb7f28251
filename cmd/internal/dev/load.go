package dev

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/relay/responsecheck"
)

const (
	requestsPerSecond = 400
	keyCount          = 200
	requestDeadline   = 5 * time.Second
	// unavailableLatency is the latency at and above which a key counts as
	// unavailable.
	unavailableLatency = 100 * time.Millisecond
)

// rankShares are the shares of the ranks in the load.
var rankShares = []struct {
	name  string
	share float64
}{{"urgent", 0.2}, {"normal", 0.3}, {"casual", 0.5}}

type rankResult struct {
	offered, done, notRun, unknown int
	latency                        *hdrhistogram.Histogram // microseconds
}

// loadGenerator sends requests and collects their results.
type loadGenerator struct {
	client *http.Client
	hosts  []*entryHost

	mu               sync.Mutex
	resultsByRank    map[string]*rankResult
	unavailableSince map[string]time.Time // by key: start of the first failed or slow request
	maxUnavailable   time.Duration        // of a key, see recordAvailability and countUnavailableAt
}

func newLoadGenerator(hosts []*entryHost) *loadGenerator {
	l := &loadGenerator{
		client: &http.Client{
			Transport: responsecheck.Transport{RoundTripper: responsecheck.SetDialers(&http.Transport{MaxIdleConnsPerHost: 256})},
			Timeout:   2 * requestDeadline,
		},
		hosts: hosts, resultsByRank: map[string]*rankResult{}, unavailableSince: map[string]time.Time{},
	}
	for _, r := range rankShares {
		l.resultsByRank[r.name] = &rankResult{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	}
	return l
}

// run sends requests at exponential intervals, independent of the responses, until
// ctx ends. It then waits for the outstanding responses.
func (l *loadGenerator) run(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var pending sync.WaitGroup
	defer pending.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		rank := randomRank(random)
		key := fmt.Sprintf("key-%d", random.IntN(keyCount))
		host := l.hosts[random.IntN(len(l.hosts))]
		scheduled := next
		pending.Go(func() { l.sendAndRecord(host, rank, key, scheduled) })
	}
}

func randomRank(random *rand.Rand) string {
	draw := random.Float64()
	for _, r := range rankShares {
		if draw < r.share {
			return r.name
		}
		draw -= r.share
	}
	return rankShares[len(rankShares)-1].name
}

func (l *loadGenerator) sendAndRecord(host *entryHost, rank, key string, scheduled time.Time) {
	outcome := l.sendRequest(context.Background(), host, siteProfiles[""].services[0].name, rank, key)
	ended := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.resultsByRank[rank]
	r.offered++
	switch outcome {
	case callerapi.OutcomeDone:
		r.done++
		_ = r.latency.RecordValue(ended.Sub(scheduled).Microseconds())
	case callerapi.OutcomeNotRun:
		r.notRun++
	default:
		r.unknown++
	}
	l.recordAvailability(key, outcome, scheduled, ended)
}

func (l *loadGenerator) recordAvailability(key string, outcome callerapi.Outcome, scheduled, ended time.Time) {
	since, unavailable := l.unavailableSince[key]
	if outcome != callerapi.OutcomeDone {
		if !unavailable {
			l.unavailableSince[key] = scheduled
		}
		return
	}
	if !unavailable && ended.Sub(scheduled) < unavailableLatency {
		return
	}
	if !unavailable || scheduled.Before(since) {
		since = scheduled
	}
	l.maxUnavailable = max(l.maxUnavailable, ended.Sub(since))
	delete(l.unavailableSince, key)
}

// countUnavailableAt counts the keys that are unavailable at the end of the run, which
// have had no successful request since.
func (l *loadGenerator) countUnavailableAt(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, since := range l.unavailableSince {
		l.maxUnavailable = max(l.maxUnavailable, end.Sub(since))
	}
}

// sendRequest sends one request and returns its outcome. Requests of rank urgent
// are orders with an id, which must not run twice.
func (l *loadGenerator) sendRequest(ctx context.Context, host *entryHost, service, rank, key string) callerapi.Outcome {
	method, body := http.MethodGet, ""
	if rank == "urgent" {
		method, body = http.MethodPost, "order"
	}
	url := fmt.Sprintf("%s/v1/%s/%s/item", host.callerURL, service, key)
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return callerapi.OutcomeNotRun
	}
	if rank != "" {
		r.Header.Set(callerapi.HeaderRank, rank)
	}
	r.Header.Set(callerapi.HeaderDeadlineMS, fmt.Sprint(requestDeadline.Milliseconds()))
	if method == http.MethodPost {
		id, err := uuid.NewV7()
		if err != nil {
			return callerapi.OutcomeNotRun
		}
		r.Header.Set(callerapi.HeaderIdempotencyKey, id.String())
		r.Header.Set(callerapi.HeaderAttempt, "1")
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return callerapi.OutcomeUnknown
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return callerapi.OutcomeUnknown
	}
	return callerapi.Outcome(resp.Header.Get(callerapi.HeaderOutcome))
}
