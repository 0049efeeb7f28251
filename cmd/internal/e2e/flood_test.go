package e2e

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
	"parsleyrelay.example/cmd/internal/load"
	"parsleyrelay.example/standin/server"
)

// Times and rates of the floods: 3 servers with 6 slots of 60 ms run 300
// requests per second.
const (
	floodServiceMS = "60"
	floodCapacity  = 300
	floodFactor    = 5
	floodLength    = 5 * time.Second
)

// outcomes notes what callers were told per request.
type outcomes struct {
	mu   sync.Mutex
	told map[string]callerapi.Outcome // by request id
}

// RoundTrip implements http.RoundTripper. Each request gets an id that the
// servers record, and the service time of the flood.
func (o *outcomes) RoundTrip(r *http.Request) (*http.Response, error) {
	id := uuid.NewString()
	r.Header.Set(callerapi.HeaderRequestID, id)
	r.Header.Set(server.HeaderServiceTime, floodServiceMS)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.told[id] = callerapi.Outcome(resp.Header.Get(callerapi.HeaderOutcome))
	}
	return resp, err
}

// Guards against a flood that starves the top rank or takes the floor of the
// lowest, and against untrue outcomes while a process is lost in the flood: "not
// run" for a request that a server started, and "done" for one that none did.
// The fixture checks for doubled orders. No bound depends on the machine's speed.
func TestFloodOverSockets(t *testing.T) {
	for rank, lose := range map[string]func(*fixture){
		"casual": func(f *fixture) { f.servers[0].Pause(); f.sockets[0].Close() },
		"urgent": func(f *fixture) { f.daemons[0].kill() },
	} {
		t.Run("flood of rank "+rank, func(t *testing.T) {
			f := newFixture(t, 3, 3)
			var addresses []string
			for _, p := range f.daemons {
				f.awaitServing(p, startBound)
				addresses = append(addresses, p.caller)
			}
			seen := &outcomes{told: map[string]callerapi.Outcome{}}
			timer := time.AfterFunc(floodLength/2, func() { lose(f) })
			defer timer.Stop()
			report, err := load.Run(t.Context(), load.Config{
				Addresses: addresses, Duration: floodLength, Seed: 1, Keys: load.KeyDistribution{Count: 1000, Exponent: 1.1, Offset: 100},
				Streams: []load.Stream{
					{Service: "almacen", Rank: "urgent", Rate: floodCapacity / 5, Deadline: 2 * time.Second},
					{Service: "almacen", Rank: "casual", Rate: floodCapacity / 5, Deadline: 2 * time.Second, Repeatable: true},
				},
				Capacity: map[string]float64{"almacen": floodCapacity},
				Floods:   []load.Flood{{Rank: rank, From: floodLength / 5, To: floodLength, Factor: floodFactor}},
				Client:   &http.Client{Transport: seen},
			})
			require.NoError(t, err)
			urgent, casual := report.Ranks[0], report.Ranks[1]
			t.Logf("urgent %+v, casual %+v", urgent.Reasons, casual.Reasons)
			if rank == "casual" {
				share := func(r load.RankReport) float64 { return float64(r.WithinDeadline) / float64(r.Offered) }
				require.Greater(t, share(urgent), share(casual))
			}
			require.Positive(t, casual.Phases[1].WithinDeadline, "the lowest rank lost its floor")
			f.requireTrueOutcomes(seen)
		})
	}
}

func (f *fixture) requireTrueOutcomes(seen *outcomes) {
	started := map[string]bool{}
	for _, w := range f.journal.Executions() {
		started[w.RequestID] = true
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for id, outcome := range seen.told {
		switch outcome {
		case callerapi.OutcomeNotRun:
			require.False(f.t, started[id], "request %s was reported as not run and was started", id)
		case callerapi.OutcomeDone:
			require.True(f.t, started[id], "request %s was reported as done and was never started", id)
		}
	}
}
