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
	minLatency = 1
	maxLatency = 120_000_000
)

// RankReport is what happened to the requests of one rank.
type RankReport struct {
	Rank           string         `json:"rank"`
	Offered        int            `json:"offered"`
	WithinDeadline int            `json:"inTime"`   // done within the deadline
	Outcomes       map[string]int `json:"outcomes"` // by outcome
	Reasons        map[string]int `json:"reasons"`  // by outcome and reason, "not-run queue_full"
	// Latencies of done requests from their intended time, in milliseconds.
	P50  float64 `json:"p50Ms"`
	P90  float64 `json:"p90Ms"`
	P99  float64 `json:"p99Ms"`
	P999 float64 `json:"p999Ms"`
	Max  float64 `json:"maxMs"`
	// PerSecond holds one entry per second of the run, by intended time.
	PerSecond []SecondStats `json:"seconds"`
	// Phases holds one entry per phase of the report, by intended time.
	Phases []PhaseStats `json:"phases"`
}

// PhaseStats is what happened to the requests of a rank in a phase.
type PhaseStats struct {
	Offered        int     `json:"offered"`
	WithinDeadline int     `json:"inTime"`
	P50            float64 `json:"p50Ms"` // of done requests
	P99            float64 `json:"p99Ms"`
}

// Phase is a part of the run with constant rates.
type Phase struct {
	From time.Duration `json:"fromNs"`
	To   time.Duration `json:"toNs"`
}

// SecondStats counts the requests that were intended for one second.
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

type rankRecord struct {
	RankReport
	latency *hdrhistogram.Histogram
	phases  []*hdrhistogram.Histogram
}

// recorder collects outcomes; it is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	cfg    Config
	phases []Phase
	ranks  []*rankRecord
}

// phasesOf divides a run at the starts and ends of its floods.
func phasesOf(cfg Config) []Phase {
	changes := []time.Duration{0, cfg.Duration}
	for _, f := range cfg.Floods {
		changes = append(changes, min(f.From, cfg.Duration), min(f.To, cfg.Duration))
	}
	slices.Sort(changes)
	changes = slices.Compact(changes)
	var phases []Phase
	for i, from := range changes[:len(changes)-1] {
		phases = append(phases, Phase{From: from, To: changes[i+1]})
	}
	return phases
}

func (rec *recorder) phase(at time.Duration) int {
	return max(0, slices.IndexFunc(rec.phases, func(p Phase) bool { return at < p.To }))
}

func newRecorder(cfg Config) *recorder {
	rec := &recorder{cfg: cfg, phases: phasesOf(cfg)}
	for _, s := range cfg.Streams {
		if rec.find(s.Rank) == nil {
			r := &rankRecord{
				RankReport: RankReport{
					Rank:      s.Rank,
					Outcomes:  map[string]int{},
					Reasons:   map[string]int{},
					PerSecond: make([]SecondStats, int((cfg.Duration+time.Second-1)/time.Second)),
					Phases:    make([]PhaseStats, len(rec.phases)),
				},
				latency: hdrhistogram.New(minLatency, maxLatency, 3),
			}
			for range rec.phases {
				r.phases = append(r.phases, hdrhistogram.New(minLatency, maxLatency, 3))
			}
			rec.ranks = append(rec.ranks, r)
		}
	}
	return rec
}

func (rec *recorder) find(rank string) *rankRecord {
	for _, r := range rec.ranks {
		if r.Rank == rank {
			return r
		}
	}
	return nil
}

// add records the end of a request; latency counts from the intended time.
func (rec *recorder) add(req intended, outcome, reason string, latency time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.find(req.stream.Rank)
	second := &r.PerSecond[int(req.at/time.Second)]
	index := rec.phase(req.at)
	phase := &r.Phases[index]
	r.Offered++
	second.Offered++
	phase.Offered++
	r.Outcomes[outcome]++
	if reason != "" {
		r.Reasons[outcome+" "+reason]++
	}
	if outcome != string(callerapi.Done) {
		return
	}
	if latency <= req.stream.Deadline {
		r.WithinDeadline++
		second.WithinDeadline++
		phase.WithinDeadline++
	}
	// Cannot fail: the value is clamped to the range of the histogram.
	value := min(max(latency.Microseconds(), minLatency), maxLatency)
	_ = r.latency.RecordValue(value)
	_ = r.phases[index].RecordValue(value)
}

func (rec *recorder) report() *Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := &Report{Seed: rec.cfg.Seed, Duration: rec.cfg.Duration, Floods: rec.cfg.Floods, Phases: rec.phases}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	for _, r := range rec.ranks {
		r.P50, r.P90, r.P99, r.P999 = ms(r.latency, 50), ms(r.latency, 90), ms(r.latency, 99), ms(r.latency, 99.9)
		for i, h := range r.phases {
			r.Phases[i].P50, r.Phases[i].P99 = ms(h, 50), ms(h, 99)
		}
		r.Max = float64(r.latency.Max()) / 1000
		out.Ranks = append(out.Ranks, r.RankReport)
	}
	return out
}

// HasResponses reports whether any request had a complete response of an entry host.
func (r *Report) HasResponses() bool {
	for _, k := range r.Ranks {
		for outcome, n := range k.Outcomes {
			if n > 0 && outcome != outcomeTransport && outcome != outcomeNotSent {
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
	for _, k := range r.Ranks {
		fmt.Fprintf(tw, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n",
			k.Rank, k.Offered, 100*float64(k.WithinDeadline)/float64(max(k.Offered, 1)),
			k.Outcomes[string(callerapi.Done)], k.Outcomes[string(callerapi.NotRun)], k.Outcomes[string(callerapi.Unknown)],
			k.Outcomes[outcomeTransport], k.Outcomes[outcomeNotSent], k.P50, k.P99, k.P999, k.Max)
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "FROM\tTO\tRANK\tOFFERED/S\tIN TIME/S\tIN TIME\tP50 MS\tP99 MS")
	for i, p := range r.Phases {
		seconds := (p.To - p.From).Seconds()
		for _, k := range r.Ranks {
			c := k.Phases[i]
			fmt.Fprintf(tw, "%v\t%v\t%s\t%.1f\t%.1f\t%.2f%%\t%.2f\t%.2f\n", p.From, p.To, k.Rank,
				float64(c.Offered)/seconds, float64(c.WithinDeadline)/seconds, 100*float64(c.WithinDeadline)/float64(max(c.Offered, 1)), c.P50, c.P99)
		}
	}
	fmt.Fprintln(tw)
	for _, k := range r.Ranks {
		reasons := make([]string, 0, len(k.Reasons))
		for reason := range k.Reasons {
			reasons = append(reasons, reason)
		}
		sort.Strings(reasons)
		for _, reason := range reasons {
			fmt.Fprintf(tw, "%s\t%s\t%d\n", k.Rank, reason, k.Reasons[reason])
		}
	}
	return tw.Flush()
}
