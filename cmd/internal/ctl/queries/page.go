package queries

import (
	_ "embed"
	"html/template"
	"io"
	"slices"

	"parsleyrelay.example/api/operatorapi"
)

// Sizes of the drawing in pixels.
const (
	pageWidth  = 1200
	laneHeight = 36
	labelWidth = 160
	pageMargin = 20
)

//go:embed page.html.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageTemplateText))

// timelinePage is the data of page.html.tmpl: a drawing with one lane per host and
// a table of all events.
type timelinePage struct {
	Width, Height int
	Left, Right   int // horizontal ends of the lanes
	From, Until   string
	Lanes         []hostLane
	Rows          []eventRow
	operatorapi.Completeness
}

type hostLane struct {
	Name string
	Y    int
	Dots []eventDot
}

type eventDot struct {
	X, Y  int
	Group int    // hundreds digit of the event code, which selects the colour
	Title string // shown when the pointer is over the dot
}

type eventRow struct {
	Time, Host, Name, Subject, Detail string
	Code, Group                       int
}

// renderTimelinePage writes an HTML page that draws one lane per host and lists
// the events below.
func renderTimelinePage(w io.Writer, t operatorapi.Timeline) error {
	p := timelinePage{Width: pageWidth, Left: labelWidth, Right: pageWidth - pageMargin, Completeness: t.Completeness}
	laneIndex := map[string]int{}
	for _, e := range t.Events {
		if _, ok := laneIndex[e.Host]; !ok {
			laneIndex[e.Host] = len(laneIndex)
			p.Lanes = append(p.Lanes, hostLane{Name: e.Host})
		}
	}
	slices.SortFunc(p.Lanes, func(a, b hostLane) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for i := range p.Lanes {
		p.Lanes[i].Y = pageMargin + i*laneHeight
		laneIndex[p.Lanes[i].Name] = i
	}
	p.Height = 2*pageMargin + len(p.Lanes)*laneHeight
	if len(t.Events) > 0 {
		first, last := t.Events[0].HLC, t.Events[len(t.Events)-1].HLC
		// The upper 48 bits of the hybrid logical clock are Unix milliseconds.
		p.From, p.Until = formatUnixMillis(int64(first>>16)), formatUnixMillis(int64(last>>16))
		for _, e := range t.Events {
			p.addEvent(&p.Lanes[laneIndex[e.Host]], e, first, last)
		}
	}
	return pageTemplate.Execute(w, p)
}

// addEvent adds a dot to the lane, placed by its time between first and last, and
// a row to the table. first and last are hybrid logical clock values.
func (p *timelinePage) addEvent(lane *hostLane, e operatorapi.Event, first, last uint64) {
	eventTime := formatUnixMillis(int64(e.HLC >> 16))
	fraction := 0.0
	if last > first {
		fraction = float64(e.HLC-first) / float64(last-first)
	}
	group := e.Code / 100
	lane.Dots = append(lane.Dots, eventDot{
		X: p.Left + int(fraction*float64(p.Right-p.Left)), Y: lane.Y, Group: group,
		Title: eventTime + " " + e.Name + " " + eventSubject(e) + " " + e.Detail,
	})
	p.Rows = append(p.Rows, eventRow{
		Time: eventTime, Host: e.Host, Code: e.Code, Name: e.Name, Subject: eventSubject(e), Detail: e.Detail, Group: group,
	})
}
