package load

import (
	"fmt"
	"html"
	"io"
	"strings"
)

// Size of the plot and its margins in pixels.
const (
	plotWidth, plotHeight             = 900, 360
	plotMarginLeft, plotMarginTop     = 70, 30
	plotMarginRight, plotMarginBottom = 150, 40
)

var plotColors = []string{"#b2182b", "#2166ac", "#4d9221", "#762a83", "#e08214"}

// WriteSVG plots the requests per second of each rank: offered (dashed) and done
// within the deadline (solid). Floods are shaded.
func (r *Report) WriteSVG(w io.Writer) error {
	var svg strings.Builder
	seconds := max(r.Duration.Seconds(), 1)
	maxOffered := 1
	for _, rank := range r.Ranks {
		for _, s := range rank.PerSecond {
			maxOffered = max(maxOffered, s.Offered)
		}
	}
	x := func(second float64) float64 {
		return plotMarginLeft + second/seconds*(plotWidth-plotMarginLeft-plotMarginRight)
	}
	y := func(n int) float64 {
		return plotMarginTop + (1-float64(n)/float64(maxOffered))*(plotHeight-plotMarginTop-plotMarginBottom)
	}
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	for _, f := range r.Floods {
		fmt.Fprintf(&svg, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#eee"/>`+"\n", x(f.From.Seconds()), plotMarginTop, x(f.To.Seconds())-x(f.From.Seconds()), plotHeight-plotMarginTop-plotMarginBottom)
	}
	for i := 0; i <= 4; i++ {
		n := maxOffered * i / 4
		fmt.Fprintf(&svg, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ccc"/><text x="%d" y="%.1f" text-anchor="end">%d</text>`+"\n", plotMarginLeft, plotWidth-plotMarginRight, y(n), y(n), plotMarginLeft-6, y(n)+4, n)
		at := seconds * float64(i) / 4
		fmt.Fprintf(&svg, `<text x="%.1f" y="%d" text-anchor="middle">%.0f s</text>`+"\n", x(at), plotHeight-plotMarginBottom+18, at)
	}
	fmt.Fprintf(&svg, `<text x="%d" y="18">requests per second: offered (dashed), done in time (solid), seed %d</text>`+"\n", plotMarginLeft, r.Seed)
	for i, rank := range r.Ranks {
		color := plotColors[i%len(plotColors)]
		var offered, inTime strings.Builder
		for second, stats := range rank.PerSecond {
			fmt.Fprintf(&offered, "%.1f,%.1f ", x(float64(second)+0.5), y(stats.Offered))
			fmt.Fprintf(&inTime, "%.1f,%.1f ", x(float64(second)+0.5), y(stats.WithinDeadline))
		}
		fmt.Fprintf(&svg, `<polyline points="%s" fill="none" stroke="%s" stroke-dasharray="4 3"/>`+"\n", strings.TrimSpace(offered.String()), color)
		fmt.Fprintf(&svg, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.TrimSpace(inTime.String()), color)
		fmt.Fprintf(&svg, `<text x="%d" y="%d" fill="%s">%s, p99 %.0f ms</text>`+"\n", plotWidth-plotMarginRight+8, plotMarginTop+14+18*i, color, html.EscapeString(rank.Rank), rank.P99Millis)
	}
	svg.WriteString("</svg>\n")
	_, err := io.WriteString(w, svg.String())
	return err
}
