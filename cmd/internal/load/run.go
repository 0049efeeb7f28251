package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/relay/responsecheck"
)

// Defaults of Config.
const (
	defaultCallers     = 20
	defaultMaxInFlight = 4096
	defaultBodyBytes   = 64
	// deadlineGrace is how long the generator waits for a response after the
	// deadline, so that the entry host's response to an expired request is counted.
	deadlineGrace = time.Second
)

// Outcomes that the generator itself assigns.
const (
	outcomeTransportError = "transport-error" // no complete HTTP response, or one without an outcome
	outcomeNotSent        = "not-sent"        // MaxInFlight requests were in flight
)

// generator sends the load of one run.
type generator struct {
	Config
	start    time.Time
	inFlight chan struct{} // holds one element per request in flight
	recorder *resultRecorder
	requests sync.WaitGroup
}

// intendedRequest is a request that the generator will send at its intended time.
type intendedRequest struct {
	stream     *Stream
	intendedAt time.Duration // since the start of the run
	key        string
	caller     string
	address    string
}

// Run sends the configured load until it ends or ctx is done, and waits for the
// responses. Arrivals, keys, callers and entry hosts depend only on the seed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if findings := cfg.Validate(); len(findings) > 0 {
		return nil, findings
	}
	if cfg.Callers <= 0 {
		cfg.Callers = defaultCallers
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	if cfg.BodyBytes <= 0 {
		cfg.BodyBytes = defaultBodyBytes
	}
	if cfg.Client == nil {
		transport := responsecheck.SetDialers(&http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true})
		defer transport.CloseIdleConnections()
		cfg.Client = &http.Client{Transport: responsecheck.Transport{RoundTripper: transport}}
	}
	g := &generator{Config: cfg, start: time.Now(), inFlight: make(chan struct{}, cfg.MaxInFlight), recorder: newResultRecorder(cfg)}
	var streams sync.WaitGroup
	for i := range cfg.Streams {
		streams.Go(func() { g.runStream(ctx, i) })
	}
	streams.Wait()
	g.requests.Wait()
	return g.recorder.buildReport(), nil
}

// runStream sends the requests of one stream at their intended times.
func (g *generator) runStream(ctx context.Context, index int) {
	rng := newStreamRand(g.Seed, index)
	keys := newKeyGenerator(g.Keys, rng)
	timer := time.NewTimer(0)
	defer timer.Stop()
	g.generateArrivals(index, rng, keys, func(r intendedRequest) bool {
		timer.Reset(time.Until(g.start.Add(r.intendedAt)))
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
		select {
		case g.inFlight <- struct{}{}:
			g.requests.Go(func() {
				defer func() { <-g.inFlight }()
				g.sendRequest(ctx, r)
			})
		default:
			g.recorder.recordOutcome(r, outcomeNotSent, "", 0)
		}
		return true
	})
}

func newStreamRand(seed uint64, stream int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(stream)))
}

// generateArrivals draws the Poisson arrivals of a stream and passes them to emit,
// until the run ends or emit returns false.
func (g *generator) generateArrivals(index int, rng *rand.Rand, keys *keyGenerator, emit func(intendedRequest) bool) {
	stream := &g.Streams[index]
	for at := time.Duration(0); at < g.Duration; {
		rate, until := g.rateAt(*stream, at)
		next := until
		if rate > 0 {
			// The wait is capped so that it fits a Duration; a request after the end
			// of the run is not sent.
			next = at + time.Duration(min(rng.ExpFloat64()/rate, g.Duration.Seconds())*float64(time.Second))
		}
		if next >= until {
			at = until // the rate changes here; draw again with the new rate
			continue
		}
		at = next
		r := intendedRequest{
			stream:     stream,
			intendedAt: at,
			key:        keys.nextKey(at),
			caller:     "caller-" + strconv.Itoa(rng.IntN(g.Callers)),
			address:    g.Addresses[rng.IntN(len(g.Addresses))],
		}
		if !emit(r) {
			return
		}
	}
}

func (g *generator) sendRequest(ctx context.Context, r intendedRequest) {
	ctx, cancel := context.WithDeadline(ctx, g.start.Add(r.intendedAt+r.stream.Deadline+deadlineGrace))
	defer cancel()
	req, err := g.newRequest(ctx, r)
	if err != nil {
		g.recorder.recordOutcome(r, outcomeTransportError, "bad_request", 0)
		return
	}
	resp, err := g.Client.Do(req)
	if err != nil {
		g.recorder.recordOutcome(r, outcomeTransportError, "", time.Since(g.start)-r.intendedAt)
		return
	}
	defer resp.Body.Close()
	// A truncated response counts as a transport error, even if its header holds an
	// outcome.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		g.recorder.recordOutcome(r, outcomeTransportError, "truncated", time.Since(g.start)-r.intendedAt)
		return
	}
	outcome := resp.Header.Get(callerapi.HeaderOutcome)
	switch {
	case g.DirectToServers && resp.StatusCode/100 == 2:
		outcome = string(callerapi.OutcomeDone)
	case outcome == "":
		outcome = outcomeTransportError
	}
	g.recorder.recordOutcome(r, outcome, resp.Header.Get(callerapi.HeaderReason), time.Since(g.start)-r.intendedAt)
}

func (g *generator) newRequest(ctx context.Context, r intendedRequest) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if !r.stream.Repeatable {
		// Hiding the reader's type leaves GetBody unset, so that the transport never
		// resends a request that must not run twice.
		method, body = http.MethodPost, struct{ io.Reader }{bytes.NewReader(make([]byte, g.BodyBytes))}
	}
	req, err := http.NewRequestWithContext(ctx, method, r.address+"/v1/"+r.stream.Service+"/"+r.key+"/load", body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(callerapi.HeaderRank, r.stream.Rank)
	req.Header.Set(callerapi.HeaderCaller, r.caller)
	req.Header.Set(callerapi.HeaderDeadlineMS, strconv.FormatInt(r.stream.Deadline.Milliseconds(), 10))
	req.Header.Set(callerapi.HeaderRepeatable, strconv.FormatBool(r.stream.Repeatable))
	if !r.stream.Repeatable {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		req.ContentLength = int64(g.BodyBytes)
		req.Header.Set(callerapi.HeaderIdempotencyKey, id.String())
		req.Header.Set(callerapi.HeaderAttempt, "1")
	}
	return req, nil
}
