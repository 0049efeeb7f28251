package modelcmd

import (
	"fmt"
	"html"
	"io"
	"math"
	"slices"
	"strings"
)

// Size of the plot and its margins in pixels.
const (
	plotWidth, plotHeight             = 900, 360
	plotMarginLeft, plotMarginTop     = 70, 30
	plotMarginRight, plotMarginBottom = 150, 40
)

var plotColors = []string{"#b2182b", "#2166ac", "#4d9221", "#762a83", "#e08214"}

// WriteSVG plots, for each phase over the number of hosts, the share of the arrivals that
// the servers rejected (dashed) and of the requests that were served in time (solid).
// Lines are means over the seeds, vertical bars show the range. Responses to requests of
// an earlier phase can raise the second share above 1, where it is cut off.
func (r report) WriteSVG(w io.Writer) error {
	var svg strings.Builder
	hostCounts := r.hostCounts()
	slices.Sort(hostCounts)
	least, most := math.Log(float64(hostCounts[0])), math.Log(float64(hostCounts[len(hostCounts)-1]))
	x := func(hosts int) float64 {
		if least == most {
			return plotMarginLeft
		}
		return plotMarginLeft + (math.Log(float64(hosts))-least)/(most-least)*(plotWidth-plotMarginLeft-plotMarginRight)
	}
	y := func(share float64) float64 {
		return plotMarginTop + (1-min(1, share))*(plotHeight-plotMarginTop-plotMarginBottom)
	}
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	for i := 0; i <= 4; i++ {
		share := float64(i) / 4
		fmt.Fprintf(&svg, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ccc"/><text x="%d" y="%.1f" text-anchor="end">%.0f%%</text>`+"\n", plotMarginLeft, plotWidth-plotMarginRight, y(share), y(share), plotMarginLeft-6, y(share)+4, 100*share)
	}
	for _, hosts := range hostCounts {
		fmt.Fprintf(&svg, `<text x="%.1f" y="%d" text-anchor="middle">%d hosts</text>`+"\n", x(hosts), plotHeight-plotMarginBottom+18, hosts)
	}
	fmt.Fprintf(&svg, `<text x="%d" y="18">rejected of the arrivals (dashed), in time of the requests (solid)</text>`+"\n", plotMarginLeft)
	for i, phase := range r.Results[0].Phases {
		color := plotColors[i%len(plotColors)]
		var rejected, inTime strings.Builder
		for _, hosts := range hostCounts {
			phases := r.phase(i, hosts)
			for _, line := range []struct {
				points *strings.Builder
				spread spread
			}{{&rejected, spreadOf(phases, rejectedShare)}, {&inTime, spreadOf(phases, inTimeShare)}} {
				fmt.Fprintf(line.points, "%.1f,%.1f ", x(hosts), y(line.spread.mean))
				fmt.Fprintf(&svg, `<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" stroke="%s"/>`+"\n", x(hosts), x(hosts), y(line.spread.least), y(line.spread.most), color)
			}
		}
		fmt.Fprintf(&svg, `<polyline points="%s" fill="none" stroke="%s" stroke-dasharray="4 3"/>`+"\n", strings.TrimSpace(rejected.String()), color)
		fmt.Fprintf(&svg, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.TrimSpace(inTime.String()), color)
		fmt.Fprintf(&svg, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotWidth-plotMarginRight+8, plotMarginTop+14+18*i, color, html.EscapeString(phase.Phase))
	}
	svg.WriteString("</svg>\n")
	_, err := io.WriteString(w, svg.String())
	return err
}
