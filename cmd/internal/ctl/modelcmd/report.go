package modelcmd

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"parsleyrelay.example/core/model"
)

// report holds the results by number of hosts, then by seed.
type report struct {
	Results []model.Result `json:"results"`
}

// spread is the mean and the range of a figure over the seeds.
type spread struct{ mean, least, most float64 }

func spreadOf(phases []model.PhaseResult, value func(model.PhaseResult) float64) spread {
	s := spread{least: value(phases[0]), most: value(phases[0])}
	for _, p := range phases {
		v := value(p)
		s.mean += v / float64(len(phases))
		s.least, s.most = min(s.least, v), max(s.most, v)
	}
	return s
}

// String returns the spread of a share in percent.
func (s spread) String() string {
	return fmt.Sprintf("%.1f%% (%.1f to %.1f)", 100*s.mean, 100*s.least, 100*s.most)
}

func rejectedShare(p model.PhaseResult) float64 { return p.RejectedShare() }
func inTimeShare(p model.PhaseResult) float64   { return p.InTimeShare() }
func usedShare(p model.PhaseResult) float64     { return p.UsedShare }

// hostCounts returns the numbers of hosts in the order of the results.
func (r report) hostCounts() []int {
	var list []int
	for _, result := range r.Results {
		if !slices.Contains(list, result.Hosts) {
			list = append(list, result.Hosts)
		}
	}
	return list
}

// phase returns the results of a phase with a number of hosts, by seed.
func (r report) phase(index, hosts int) []model.PhaseResult {
	var list []model.PhaseResult
	for _, result := range r.Results {
		if result.Hosts == hosts {
			list = append(list, result.Phases[index])
		}
	}
	return list
}

// total returns the sums over the phases with a number of hosts, by seed.
func (r report) total(hosts int) []model.PhaseResult {
	var list []model.PhaseResult
	for _, result := range r.Results {
		if result.Hosts == hosts {
			list = append(list, model.PhaseResult{Counts: result.Total()})
		}
	}
	return list
}

// WriteTable writes one line per number of hosts, one per phase and number of hosts, and
// one per class of these. Counts and waits are means over the seeds, shares have their
// range.
func (r report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "HOSTS\tSEEDS\tREJECTED\tIN TIME")
	for _, hosts := range r.hostCounts() {
		total := r.total(hosts)
		fmt.Fprintf(tw, "%d\t%d\t%v\t%v\n", hosts, len(total), spreadOf(total, rejectedShare), spreadOf(total, inTimeShare))
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "PHASE\tHOSTS\tSEEDS\tSUBMITTED\tREFUSED AT HOST\tARRIVALS\tREJECTED\tIN TIME\tSLOTS USED\tNEW CONNECTIONS")
	for i, first := range r.Results[0].Phases {
		for _, hosts := range r.hostCounts() {
			phases := r.phase(i, hosts)
			mean := func(value func(model.PhaseResult) int) float64 {
				return spreadOf(phases, func(p model.PhaseResult) float64 { return float64(value(p)) }).mean
			}
			fmt.Fprintf(tw, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%v\t%v\t%v\t%.0f\n", first.Phase, hosts, len(phases),
				mean(func(p model.PhaseResult) int { return p.Submitted }), mean(func(p model.PhaseResult) int { return p.RefusedAtHost }),
				mean(func(p model.PhaseResult) int { return p.Arrivals }), spreadOf(phases, rejectedShare), spreadOf(phases, inTimeShare),
				spreadOf(phases, usedShare), mean(func(p model.PhaseResult) int { return p.NewConnections }))
		}
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "PHASE\tHOSTS\tCLASS\tRANK\tSUBMITTED\tREJECTED\tIN TIME\tWAIT P50 MS\tWAIT P99 MS")
	for i, first := range r.Results[0].Phases {
		for _, hosts := range r.hostCounts() {
			phases := r.phase(i, hosts)
			for j, class := range first.Classes {
				of := func(value func(model.ClassResult) float64) spread {
					return spreadOf(phases, func(p model.PhaseResult) float64 { return value(p.Classes[j]) })
				}
				fmt.Fprintf(tw, "%s\t%d\t%s\t%d\t%.0f\t%v\t%v\t%.0f\t%.0f\n", first.Phase, hosts, class.Class, class.Rank,
					of(func(c model.ClassResult) float64 { return float64(c.Submitted) }).mean,
					of(func(c model.ClassResult) float64 { return c.RejectedShare() }), of(func(c model.ClassResult) float64 { return c.InTimeShare() }),
					of(func(c model.ClassResult) float64 { return c.WaitP50Millis }).mean, of(func(c model.ClassResult) float64 { return c.WaitP99Millis }).mean)
			}
		}
	}
	return tw.Flush()
}
