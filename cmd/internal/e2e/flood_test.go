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

// Times and rates of the floods. With a service time of 60 ms, 3 servers with 6
// slots each run 300 requests per second.
const (
	floodServiceTimeMS = "60"
	floodCapacity      = 300
	floodFactor        = 5
	floodDuration      = 5 * time.Second
)

// outcomeRecorder records the outcome that the caller of each request got.
type outcomeRecorder struct {
	mu          sync.Mutex
	byRequestID map[string]callerapi.Outcome
}

// RoundTrip implements http.RoundTripper. Each request gets an id that the
// servers record, and the service time of the flood.
func (o *outcomeRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	id := uuid.NewString()
	r.Header.Set(callerapi.HeaderRequestID, id)
	r.Header.Set(server.HeaderServiceTime, floodServiceTimeMS)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.byRequestID[id] = callerapi.Outcome(resp.Header.Get(callerapi.HeaderOutcome))
	}
	return resp, err
}

// Guards against a flood that starves the top rank or takes the slots
// reserved for the lowest rank, and against wrong outcomes when a process is lost
// during the flood: "not run" for a request that a server started, and "done" for
// one that no server started. The fixture checks that no order ran twice. No limit
// depends on the speed of the machine. Halfway through the run, a backend server is lost
// in the flood of rank casual, and a daemon is killed in the flood of rank urgent.
func TestFloodOverSockets(t *testing.T) {
	for rank, injectFault := range map[string]func(*fixture){
		"casual": func(f *fixture) { f.servers[0].Pause(); f.serverListeners[0].Close() },
		"urgent": func(f *fixture) { f.daemons[0].kill() },
	} {
		t.Run("flood of rank "+rank, func(t *testing.T) {
			f := newFixture(t, 3, 3)
			var addresses []string
			for _, p := range f.daemons {
				f.awaitServing(p, startTimeout)
				addresses = append(addresses, p.callerURL)
			}
			recorder := &outcomeRecorder{byRequestID: map[string]callerapi.Outcome{}}
			timer := time.AfterFunc(floodDuration/2, func() { injectFault(f) })
			defer timer.Stop()
			report, err := load.Run(t.Context(), load.Config{
				Addresses: addresses, Duration: floodDuration, Seed: 1, Keys: load.KeyDistribution{Count: 1000, Exponent: 1.1, Offset: 100},
				Streams: []load.Stream{
					{Service: "almacen", Rank: "urgent", Rate: floodCapacity / 5, Deadline: 2 * time.Second},
					{Service: "almacen", Rank: "casual", Rate: floodCapacity / 5, Deadline: 2 * time.Second, Repeatable: true},
				},
				Capacity: map[string]float64{"almacen": floodCapacity},
				Floods:   []load.Flood{{Rank: rank, From: floodDuration / 5, To: floodDuration, Factor: floodFactor}},
				Client:   &http.Client{Transport: recorder},
			})
			require.NoError(t, err)
			urgent, casual := report.Ranks[0], report.Ranks[1]
			t.Logf("urgent %+v, casual %+v", urgent.Reasons, casual.Reasons)
			if rank == "casual" {
				share := func(r load.RankReport) float64 { return float64(r.WithinDeadline) / float64(r.Offered) }
				require.Greater(t, share(urgent), share(casual))
			}
			require.Positive(t, casual.Phases[1].WithinDeadline, "no request of the lowest rank finished within its deadline during the flood")
			f.requireOutcomesMatchExecutions(recorder)
		})
	}
}

func (f *fixture) requireOutcomesMatchExecutions(recorder *outcomeRecorder) {
	started := map[string]bool{}
	for _, execution := range f.journal.Executions() {
		started[execution.RequestID] = true
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for id, outcome := range recorder.byRequestID {
		switch outcome {
		case callerapi.OutcomeNotRun:
			require.False(f.t, started[id], "request %s was reported as not run and was started", id)
		case callerapi.OutcomeDone:
			require.True(f.t, started[id], "request %s was reported as done and was never started", id)
		}
	}
}
