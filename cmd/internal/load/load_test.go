package load

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"parsleyrelay.example/api/callerapi"
)

func startEntryHost(t *testing.T, handle http.HandlerFunc) string {
	host := httptest.NewServer(handle)
	t.Cleanup(host.Close)
	return host.URL
}

// Guards against coordinated omission: a stall of the system must raise the
// latencies of all requests scheduled during the stall, and must not reduce the
// number of requests.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	start := time.Now()
	address := startEntryHost(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Until(start.Add(600 * time.Millisecond))) // no responses before 600 ms
		w.Header().Set(callerapi.HeaderOutcome, string(callerapi.OutcomeDone))
	})
	cfg := Config{
		Addresses: []string{address},
		Streams:   []Stream{{Service: "s", Rank: "checks", Rate: 200, Deadline: 300 * time.Millisecond, Repeatable: true}},
		Duration:  time.Second,
		Seed:      1,
		Keys:      DefaultKeyDistribution,
	}
	report, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	rank := report.Ranks[0]
	require.InDelta(t, 200, rank.Offered, 50)
	require.Equal(t, rank.Offered, rank.Outcomes[string(callerapi.OutcomeDone)])
	// Requests intended in the first 300 ms of the stall of 600 ms miss their deadline
	// of 300 ms; the other 0.7 s of the run are in time.
	require.InDelta(t, 0.7, float64(rank.WithinDeadline)/float64(rank.Offered), 0.15)
	require.Greater(t, rank.MaxMillis, 500.0)
}

// Guards against requests that the router would reject, outcomes that are lost,
// and reports that cannot be read.
func TestRequestsAndReport(t *testing.T) {
	var invalidRequests atomic.Int64
	address := startEntryHost(t, func(w http.ResponseWriter, r *http.Request) {
		id, err := uuid.Parse(r.Header.Get(callerapi.HeaderIdempotencyKey))
		body, _ := io.ReadAll(r.Body)
		post := r.Method == http.MethodPost
		if !strings.HasPrefix(r.URL.Path, "/v1/") || post != (err == nil && id.Version() == 7 && len(body) == 64) {
			invalidRequests.Add(1)
		}
		if r.Header.Get(callerapi.HeaderRank) == "lookups" {
			w.Header().Set(callerapi.HeaderOutcome, string(callerapi.OutcomeNotRun))
			w.Header().Set(callerapi.HeaderReason, string(callerapi.ReasonQueueFull))
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		w.Header().Set(callerapi.HeaderOutcome, string(callerapi.OutcomeDone))
	})
	for name := range trafficProfiles {
		cfg, err := ConfigForProfile(name, 200)
		require.NoError(t, err)
		cfg.Addresses, cfg.Duration, cfg.Seed = []string{address}, time.Second, 2
		cfg.Floods = []Flood{{Rank: "lookups", From: 300 * time.Millisecond, To: 600 * time.Millisecond, Factor: 2}}
		report, err := Run(context.Background(), cfg)
		require.NoError(t, err)
		require.Len(t, report.Ranks, 3)
		lookups := report.Ranks[2]
		require.Equal(t, lookups.Offered, lookups.Reasons["not-run queue_full"])
		require.Greater(t, lookups.Offered, 100)

		var table, data, svg bytes.Buffer
		require.NoError(t, report.WriteTable(&table))
		require.Contains(t, table.String(), "not-run queue_full")
		require.NoError(t, report.WriteJSON(&data))
		require.NoError(t, json.Unmarshal(data.Bytes(), &Report{}))
		require.NoError(t, report.WriteSVG(&svg))
		for dec := xml.NewDecoder(&svg); err == nil; {
			_, err = dec.Token()
		}
		require.True(t, errors.Is(err, io.EOF), "%v", err)
	}
	require.Zero(t, invalidRequests.Load())
	_, err := Run(context.Background(), Config{})
	require.ErrorContains(t, err, "addresses")
}

// Guards against runs that the same seed does not reproduce, and against hot keys
// that do not change after HotKeyInterval.
func TestSequenceDependsOnSeed(t *testing.T) {
	generateSequence := func(seed uint64) (list []intendedRequest) {
		cfg, err := ConfigForProfile("kandyan", 1000)
		require.NoError(t, err)
		cfg.Addresses, cfg.Duration, cfg.Seed = []string{"a", "b"}, 2*time.Minute, seed
		g := &generator{Config: cfg}
		g.Callers = 5
		rng := newStreamRand(seed, 0)
		g.generateArrivals(0, rng, newKeyGenerator(cfg.Keys, rng), func(r intendedRequest) bool {
			r.stream = nil
			list = append(list, r)
			return true
		})
		return list
	}
	first := generateSequence(1)
	require.Equal(t, first, generateSequence(1))
	require.NotEqual(t, first[:100], generateSequence(2)[:100])
	hottestKey := func(from, to time.Duration) (best string) {
		counts := map[string]int{}
		for _, r := range first {
			if r.intendedAt >= from && r.intendedAt < to {
				counts[r.key]++
				if counts[r.key] > counts[best] {
					best = r.key
				}
			}
		}
		return best
	}
	require.NotEqual(t, hottestKey(0, time.Minute), hottestKey(time.Minute, 2*time.Minute))
}
