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
)

const (
	requestsPerSecond = 400
	keyCount          = 200
	requestDeadline   = 5 * time.Second
	// slowAnswer is the latency above which a key counts as unavailable.
	slowAnswer = 100 * time.Millisecond
)

// rankShares is the mix of the load.
var rankShares = []struct {
	name  string
	share float64
}{{"urgent", 0.2}, {"normal", 0.3}, {"casual", 0.5}}

type rankResult struct {
	offered, done, notRun, unknown int
	latency                        *hdrhistogram.Histogram // microseconds
}

// load sends requests and keeps the results.
type load struct {
	client *http.Client
	hosts  []*entryHost

	mu             sync.Mutex
	ranks          map[string]*rankResult
	badSince       map[string]time.Time // by key: start of the first failed or slow request
	unavailableMax time.Duration
}

func newLoad(hosts []*entryHost) *load {
	l := &load{
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 256},
			Timeout:   2 * requestDeadline,
		},
		hosts: hosts, ranks: map[string]*rankResult{}, badSince: map[string]time.Time{},
	}
	for _, r := range rankShares {
		l.ranks[r.name] = &rankResult{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	}
	return l
}

// run sends an open load until ctx ends and waits for the last answers.
func (l *load) run(ctx context.Context, seed uint64) {
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
		rank := drawRank(random)
		key := fmt.Sprintf("key-%d", random.IntN(keyCount))
		host := l.hosts[random.IntN(len(l.hosts))]
		intended := next
		pending.Go(func() { l.send(host, rank, key, intended) })
	}
}

func drawRank(random *rand.Rand) string {
	draw := random.Float64()
	for _, r := range rankShares {
		if draw < r.share {
			return r.name
		}
		draw -= r.share
	}
	return rankShares[len(rankShares)-1].name
}

func (l *load) send(host *entryHost, rank, key string, intended time.Time) {
	outcome := l.request(context.Background(), host, sites[""].services[0].name, rank, key)
	ended := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.ranks[rank]
	r.offered++
	switch outcome {
	case callerapi.OutcomeDone:
		r.done++
		_ = r.latency.RecordValue(ended.Sub(intended).Microseconds())
	case callerapi.OutcomeNotRun:
		r.notRun++
	default:
		r.unknown++
	}
	l.noteAvailability(key, outcome, intended, ended)
}

func (l *load) noteAvailability(key string, outcome callerapi.Outcome, intended, ended time.Time) {
	since, bad := l.badSince[key]
	if outcome != callerapi.OutcomeDone {
		if !bad {
			l.badSince[key] = intended
		}
		return
	}
	if !bad && ended.Sub(intended) < slowAnswer {
		return
	}
	if !bad || intended.Before(since) {
		since = intended
	}
	l.unavailableMax = max(l.unavailableMax, ended.Sub(since))
	delete(l.badSince, key)
}

// request sends one request. Urgent ones are orders that must not run twice.
func (l *load) request(ctx context.Context, host *entryHost, service, rank, key string) callerapi.Outcome {
	method, body := http.MethodGet, ""
	if rank == "urgent" {
		method, body = http.MethodPost, "order"
	}
	url := fmt.Sprintf("%s/v1/%s/%s/item", host.caller, service, key)
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
