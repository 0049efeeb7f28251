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
)

// Defaults of Config.
const (
	defaultCallers     = 20
	defaultMaxInFlight = 4096
	defaultBodyBytes   = 64
	// deadlineGrace is how long the generator waits for a response after the
	// deadline, so that the router's own answer about a late request is counted.
	deadlineGrace = time.Second
)

// Outcomes that the generator itself assigns.
const (
	outcomeTransport = "transport-error" // no complete HTTP response
	outcomeNotSent   = "not-sent"        // MaxInFlight was reached
)

type generator struct {
	Config
	start   time.Time
	slots   chan struct{} // one per request in flight
	results *recorder
	wg      sync.WaitGroup
}

// intended is a request with its intended time from the start of the run.
type intended struct {
	stream  *Stream
	at      time.Duration
	key     string
	caller  string
	address string
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
		transport := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true}
		defer transport.CloseIdleConnections()
		cfg.Client = &http.Client{Transport: transport}
	}
	g := &generator{Config: cfg, start: time.Now(), slots: make(chan struct{}, cfg.MaxInFlight), results: newRecorder(cfg)}
	var streams sync.WaitGroup
	for i := range cfg.Streams {
		streams.Go(func() { g.runStream(ctx, i) })
	}
	streams.Wait()
	g.wg.Wait()
	return g.results.report(), nil
}

// runStream sends the requests of one stream at their intended times.
func (g *generator) runStream(ctx context.Context, index int) {
	rng := newRand(g.Seed, index)
	source := newKeySource(g.Keys, rng)
	timer := time.NewTimer(0)
	defer timer.Stop()
	g.arrivals(index, rng, source, func(r intended) bool {
		timer.Reset(time.Until(g.start.Add(r.at)))
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
		select {
		case g.slots <- struct{}{}:
			g.wg.Go(func() {
				defer func() { <-g.slots }()
				g.send(ctx, r)
			})
		default:
			g.results.add(r, outcomeNotSent, "", 0)
		}
		return true
	})
}

func newRand(seed uint64, stream int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(stream)))
}

// arrivals draws the Poisson arrivals of a stream until emit returns false.
func (g *generator) arrivals(index int, rng *rand.Rand, source *keySource, emit func(intended) bool) {
	stream := &g.Streams[index]
	for at := time.Duration(0); at < g.Duration; {
		rate, until := g.rate(*stream, at)
		next := until
		if rate > 0 {
			next = at + time.Duration(min(rng.ExpFloat64()/rate, g.Duration.Seconds())*float64(time.Second))
		}
		if next >= until {
			at = until // drawn again from the change of rate on
			continue
		}
		at = next
		r := intended{
			stream:  stream,
			at:      at,
			key:     source.next(at),
			caller:  "caller-" + strconv.Itoa(rng.IntN(g.Callers)),
			address: g.Addresses[rng.IntN(len(g.Addresses))],
		}
		if !emit(r) {
			return
		}
	}
}

func (g *generator) send(ctx context.Context, r intended) {
	ctx, cancel := context.WithDeadline(ctx, g.start.Add(r.at+r.stream.Deadline+deadlineGrace))
	defer cancel()
	req, err := g.request(ctx, r)
	if err != nil {
		g.results.add(r, outcomeTransport, "bad_request", 0)
		return
	}
	resp, err := g.Client.Do(req)
	if err != nil {
		g.results.add(r, outcomeTransport, "", time.Since(g.start)-r.at)
		return
	}
	defer resp.Body.Close()
	// A truncated response is an unknown outcome, whatever its header says.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		g.results.add(r, outcomeTransport, "truncated", time.Since(g.start)-r.at)
		return
	}
	outcome := resp.Header.Get(callerapi.HeaderOutcome)
	switch {
	case g.DirectToServers && resp.StatusCode/100 == 2:
		outcome = string(callerapi.Done)
	case outcome == "":
		outcome = outcomeTransport
	}
	g.results.add(r, outcome, resp.Header.Get(callerapi.HeaderReason), time.Since(g.start)-r.at)
}

func (g *generator) request(ctx context.Context, r intended) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if !r.stream.Repeatable {
		// Hiding the reader's type leaves GetBody unset, so that the transport
		// never sends a request again by itself.
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
		req.Header.Set(callerapi.HeaderID, id.String())
		req.Header.Set(callerapi.HeaderAttempt, "1")
	}
	return req, nil
}
