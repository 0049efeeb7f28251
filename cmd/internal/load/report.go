package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"parsleyrelay.example/api/callerapi"
)

// Bounds of the latency histograms in microseconds, with 3 significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 120_000_000
)

// RankReport summarizes the requests of one rank.
type RankReport struct {
	Rank           string         `json:"rank"`
	Offered        int            `json:"offered"`
	WithinDeadline int            `json:"inTime"`   // done within the deadline
	Outcomes       map[string]int `json:"outcomes"` // number of requests by outcome
	Reasons        map[string]int `json:"reasons"`  // by outcome and reason, such as "not-run queue_full"
	// Latencies of done requests from their intended time, in milliseconds.
	P50Millis  float64 `json:"p50Ms"`
	P90Millis  float64 `json:"p90Ms"`
	P99Millis  float64 `json:"p99Ms"`
	P999Millis float64 `json:"p999Ms"`
	MaxMillis  float64 `json:"maxMs"`
	// PerSecond holds one entry per second of the run, by intended time.
	PerSecond []SecondStats `json:"seconds"`
	// Phases holds one entry per phase of the report, by intended time.
	Phases []PhaseStats `json:"phases"`
}

// PhaseStats summarizes the requests of a rank in a phase; latencies are those of
// done requests.
type PhaseStats struct {
	Offered        int     `json:"offered"`
	WithinDeadline int     `json:"inTime"`
	P50Millis      float64 `json:"p50Ms"`
	P99Millis      float64 `json:"p99Ms"`
}

// Phase is a part of the run with constant rates.
type Phase struct {
	From time.Duration `json:"fromNs"`
	To   time.Duration `json:"toNs"`
}

// SecondStats counts the requests whose intended time is in one second of the run.
type SecondStats struct {
	Offered        int `json:"offered"`
	WithinDeadline int `json:"inTime"`
}

// Report is the result of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"durationNs"`
	Floods   []Flood       `json:"floods,omitempty"`
	Phases   []Phase       `json:"phases"` // separated by the starts and ends of floods
	Ranks    []RankReport  `json:"ranks"`  // in order of first appearance in the streams
}

// rankRecorder collects the outcomes and latencies of one rank.
type rankRecorder struct {
	RankReport
	latencies      *hdrhistogram.Histogram
	phaseLatencies []*hdrhistogram.Histogram
}

// resultRecorder collects the outcomes of all requests. It is safe for concurrent
// use.
type resultRecorder struct {
	mu     sync.Mutex
	cfg    Config
	phases []Phase
	ranks  []*rankRecorder
}

// splitIntoPhases divides a run at the starts and ends of its floods.
func splitIntoPhases(cfg Config) []Phase {
	boundaries := []time.Duration{0, cfg.Duration}
	for _, f := range cfg.Floods {
		boundaries = append(boundaries, min(f.From, cfg.Duration), min(f.To, cfg.Duration))
	}
	slices.Sort(boundaries)
	boundaries = slices.Compact(boundaries)
	var phases []Phase
	for i, from := range boundaries[:len(boundaries)-1] {
		phases = append(phases, Phase{From: from, To: boundaries[i+1]})
	}
	return phases
}

// phaseIndex returns the index of the phase that contains a time since the start
// of the run.
func (rec *resultRecorder) phaseIndex(at time.Duration) int {
	return max(0, slices.IndexFunc(rec.phases, func(p Phase) bool { return at < p.To }))
}

func newResultRecorder(cfg Config) *resultRecorder {
	rec := &resultRecorder{cfg: cfg, phases: splitIntoPhases(cfg)}
	for _, s := range cfg.Streams {
		if rec.findRank(s.Rank) == nil {
			r := &rankRecorder{
				RankReport: RankReport{
					Rank:      s.Rank,
					Outcomes:  map[string]int{},
					Reasons:   map[string]int{},
					PerSecond: make([]SecondStats, int((cfg.Duration+time.Second-1)/time.Second)),
					Phases:    make([]PhaseStats, len(rec.phases)),
				},
				latencies: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, 3),
			}
			for range rec.phases {
				r.phaseLatencies = append(r.phaseLatencies, hdrhistogram.New(minLatencyMicros, maxLatencyMicros, 3))
			}
			rec.ranks = append(rec.ranks, r)
		}
	}
	return rec
}

func (rec *resultRecorder) findRank(rank string) *rankRecorder {
	for _, r := range rec.ranks {
		if r.Rank == rank {
			return r
		}
	}
	return nil
}

// recordOutcome counts a finished request. latency is the time since its intended
// time.
func (rec *resultRecorder) recordOutcome(req intendedRequest, outcome, reason string, latency time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.findRank(req.stream.Rank)
	second := &r.PerSecond[int(req.intendedAt/time.Second)]
	index := rec.phaseIndex(req.intendedAt)
	phase := &r.Phases[index]
	r.Offered++
	second.Offered++
	phase.Offered++
	r.Outcomes[outcome]++
	if reason != "" {
		r.Reasons[outcome+" "+reason]++
	}
	if outcome != string(callerapi.OutcomeDone) {
		return
	}
	if latency <= req.stream.Deadline {
		r.WithinDeadline++
		second.WithinDeadline++
		phase.WithinDeadline++
	}
	// Cannot fail: the value is clamped to the range of the histogram.
	value := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = r.latencies.RecordValue(value)
	_ = r.phaseLatencies[index].RecordValue(value)
}

func (rec *resultRecorder) buildReport() *Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := &Report{Seed: rec.cfg.Seed, Duration: rec.cfg.Duration, Floods: rec.cfg.Floods, Phases: rec.phases}
	percentileMillis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	for _, r := range rec.ranks {
		r.P50Millis, r.P90Millis, r.P99Millis, r.P999Millis = percentileMillis(r.latencies, 50), percentileMillis(r.latencies, 90), percentileMillis(r.latencies, 99), percentileMillis(r.latencies, 99.9)
		for i, h := range r.phaseLatencies {
			r.Phases[i].P50Millis, r.Phases[i].P99Millis = percentileMillis(h, 50), percentileMillis(h, 99)
		}
		r.MaxMillis = float64(r.latencies.Max()) / 1000
		out.Ranks = append(out.Ranks, r.RankReport)
	}
	return out
}

// HasResponses reports whether any request got a response with an outcome.
func (r *Report) HasResponses() bool {
	for _, rank := range r.Ranks {
		for outcome, n := range rank.Outcomes {
			if n > 0 && outcome != outcomeTransportError && outcome != outcomeNotSent {
				return true
			}
		}
	}
	return false
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes one line per rank, per rank and phase, and per reason.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "RANK\tOFFERED\tIN TIME\tDONE\tNOT RUN\tUNKNOWN\tTRANSPORT\tNOT SENT\tP50 MS\tP99 MS\tP99.9 MS\tMAX MS")
	for _, rank := range r.Ranks {
		fmt.Fprintf(tw, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n",
			rank.Rank, rank.Offered, 100*float64(rank.WithinDeadline)/float64(max(rank.Offered, 1)),
			rank.Outcomes[string(callerapi.OutcomeDone)], rank.Outcomes[string(callerapi.OutcomeNotRun)], rank.Outcomes[string(callerapi.OutcomeUnknown)],
			rank.Outcomes[outcomeTransportError], rank.Outcomes[outcomeNotSent], rank.P50Millis, rank.P99Millis, rank.P999Millis, rank.MaxMillis)
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "FROM\tTO\tRANK\tOFFERED/S\tIN TIME/S\tIN TIME\tP50 MS\tP99 MS")
	for i, phase := range r.Phases {
		seconds := (phase.To - phase.From).Seconds()
		for _, rank := range r.Ranks {
			c := rank.Phases[i]
			fmt.Fprintf(tw, "%v\t%v\t%s\t%.1f\t%.1f\t%.2f%%\t%.2f\t%.2f\n", phase.From, phase.To, rank.Rank,
				float64(c.Offered)/seconds, float64(c.WithinDeadline)/seconds, 100*float64(c.WithinDeadline)/float64(max(c.Offered, 1)), c.P50Millis, c.P99Millis)
		}
	}
	fmt.Fprintln(tw)
	for _, rank := range r.Ranks {
		reasons := make([]string, 0, len(rank.Reasons))
		for reason := range rank.Reasons {
			reasons = append(reasons, reason)
		}
		sort.Strings(reasons)
		for _, reason := range reasons {
			fmt.Fprintf(tw, "%s\t%s\t%d\n", rank.Rank, reason, rank.Reasons[reason])
		}
	}
	return tw.Flush()
}
