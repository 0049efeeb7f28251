package load

import (
	"encoding/json"
	"fmt"
	"io"
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
	Rank     string         `json:"rank"`
	Offered  int            `json:"offered"`
	InTime   int            `json:"inTime"`   // done within the deadline
	Outcomes map[string]int `json:"outcomes"` // by outcome
	Reasons  map[string]int `json:"reasons"`  // by outcome and reason, "not-run queue_full"
	// Latencies of done requests from their intended time, in milliseconds.
	P50  float64 `json:"p50Ms"`
	P90  float64 `json:"p90Ms"`
	P99  float64 `json:"p99Ms"`
	P999 float64 `json:"p999Ms"`
	Max  float64 `json:"maxMs"`
	// Seconds holds one entry per second of the run, by intended time.
	Seconds []Second `json:"seconds"`
}

// Second counts the requests that were intended for one second.
type Second struct {
	Offered int `json:"offered"`
	InTime  int `json:"inTime"`
}

// Report is the result of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"durationNs"`
	Floods   []Flood       `json:"floods,omitempty"`
	Ranks    []RankReport  `json:"ranks"` // in order of first appearance in the streams
}

type rankRecord struct {
	RankReport
	latency *hdrhistogram.Histogram
}

// recorder collects outcomes; it is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	cfg   Config
	ranks []*rankRecord
}

func newRecorder(cfg Config) *recorder {
	rec := &recorder{cfg: cfg}
	for _, s := range cfg.Streams {
		if rec.find(s.Rank) == nil {
			rec.ranks = append(rec.ranks, &rankRecord{
				RankReport: RankReport{
					Rank:     s.Rank,
					Outcomes: map[string]int{},
					Reasons:  map[string]int{},
					Seconds:  make([]Second, int((cfg.Duration+time.Second-1)/time.Second)),
				},
				latency: hdrhistogram.New(minLatency, maxLatency, 3),
			})
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
	second := &r.Seconds[int(req.at/time.Second)]
	r.Offered++
	second.Offered++
	r.Outcomes[outcome]++
	if reason != "" {
		r.Reasons[outcome+" "+reason]++
	}
	if outcome != string(callerapi.Done) {
		return
	}
	if latency <= req.stream.Deadline {
		r.InTime++
		second.InTime++
	}
	// Cannot fail: the value is clamped to the range of the histogram.
	_ = r.latency.RecordValue(min(max(latency.Microseconds(), minLatency), maxLatency))
}

func (rec *recorder) report() *Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := &Report{Seed: rec.cfg.Seed, Duration: rec.cfg.Duration, Floods: rec.cfg.Floods}
	for _, r := range rec.ranks {
		ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
		r.P50, r.P90, r.P99, r.P999 = ms(50), ms(90), ms(99), ms(99.9)
		r.Max = float64(r.latency.Max()) / 1000
		out.Ranks = append(out.Ranks, r.RankReport)
	}
	return out
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes one line per rank and one per reason.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "RANK\tOFFERED\tIN TIME\tDONE\tNOT RUN\tUNKNOWN\tTRANSPORT\tNOT SENT\tP50 MS\tP99 MS\tP99.9 MS\tMAX MS")
	for _, k := range r.Ranks {
		fmt.Fprintf(tw, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n",
			k.Rank, k.Offered, 100*float64(k.InTime)/float64(max(k.Offered, 1)),
			k.Outcomes[string(callerapi.Done)], k.Outcomes[string(callerapi.NotRun)], k.Outcomes[string(callerapi.Unknown)],
			k.Outcomes[outcomeTransport], k.Outcomes[outcomeNotSent], k.P50, k.P99, k.P999, k.Max)
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
