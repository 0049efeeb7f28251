package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ParseFlood reads RANK:FROM:TO:FACTOR, such as lookups:10s:20s:10.
func ParseFlood(text string) (Flood, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 {
		return Flood{}, fmt.Errorf("%q is not RANK:FROM:TO:FACTOR", text)
	}
	from, errFrom := time.ParseDuration(parts[1])
	to, errTo := time.ParseDuration(parts[2])
	factor, errFactor := strconv.ParseFloat(parts[3], 64)
	for _, err := range []error{errFrom, errTo, errFactor} {
		if err != nil {
			return Flood{}, fmt.Errorf("%q: %w", text, err)
		}
	}
	return Flood{Rank: parts[0], From: from, To: to, Factor: factor}, nil
}

// ParseMix reads shares of the form RANK=SHARE. The mix is empty if there are no
// items.
func ParseMix(items []string) (map[string]float64, error) {
	mix := map[string]float64{}
	for _, item := range items {
		rank, text, ok := strings.Cut(item, "=")
		share, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || share < 0 {
			return nil, fmt.Errorf("%q is not RANK=SHARE with a share of 0 or more", item)
		}
		mix[strings.TrimSpace(rank)] = share
	}
	return mix, nil
}

// ScaleRates changes the rates of the streams so that they add up to rate requests
// per second and are divided among the ranks by the shares in mix, which need not
// add up to 1. A rate of 0 keeps the total, an empty mix keeps the shares. Within a
// rank the streams keep their proportions.
func (c *Config) ScaleRates(rate float64, mix map[string]float64) error {
	if rate < 0 {
		return fmt.Errorf("rate %v is negative", rate)
	}
	total, byRank := 0.0, map[string]float64{}
	for _, s := range c.Streams {
		total += s.Rate
		byRank[s.Rank] += s.Rate
	}
	if rate == 0 {
		rate = total
	}
	if len(mix) == 0 {
		mix = byRank
	}
	shares := 0.0
	for rank, share := range mix {
		if _, ok := byRank[rank]; !ok {
			return fmt.Errorf("no stream has rank %q", rank)
		}
		shares += share
	}
	if shares == 0 {
		return fmt.Errorf("the shares of the ranks are all 0")
	}
	for i := range c.Streams {
		s := &c.Streams[i]
		s.Rate *= rate * mix[s.Rank] / shares / byRank[s.Rank]
	}
	return nil
}
