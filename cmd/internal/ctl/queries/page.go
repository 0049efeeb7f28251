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
	margin     = 20
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

type page struct {
	Width, Height int
	Left, Right   int
	From, Until   string
	Lanes         []lane
	Rows          []row
	operatorapi.Completeness
}

type lane struct {
	Name string
	Y    int
	Dots []dot
}

type dot struct {
	X, Y  int
	Group int // hundreds of the event code; chooses the colour
	Title string
}

type row struct {
	Time, Host, Name, Subject, Detail string
	Code, Group                       int
}

// renderPage draws one lane per host and lists the events below.
func renderPage(w io.Writer, t operatorapi.Timeline) error {
	p := page{Width: pageWidth, Left: labelWidth, Right: pageWidth - margin, Completeness: t.Completeness}
	index := map[string]int{}
	for _, e := range t.Events {
		if _, ok := index[e.Host]; !ok {
			index[e.Host] = len(index)
			p.Lanes = append(p.Lanes, lane{Name: e.Host})
		}
	}
	slices.SortFunc(p.Lanes, func(a, b lane) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for i := range p.Lanes {
		p.Lanes[i].Y = margin + i*laneHeight
		index[p.Lanes[i].Name] = i
	}
	p.Height = 2*margin + len(p.Lanes)*laneHeight
	if len(t.Events) > 0 {
		first, last := t.Events[0].HLC, t.Events[len(t.Events)-1].HLC
		p.From, p.Until = clock(int64(first>>16)), clock(int64(last>>16))
		for _, e := range t.Events {
			p.add(&p.Lanes[index[e.Host]], e, first, last)
		}
	}
	return pageTemplate.Execute(w, p)
}

func (p *page) add(l *lane, e operatorapi.Event, first, last uint64) {
	at := clock(int64(e.HLC >> 16))
	share := 0.0
	if last > first {
		share = float64(e.HLC-first) / float64(last-first)
	}
	group := e.Code / 100
	l.Dots = append(l.Dots, dot{
		X: p.Left + int(share*float64(p.Right-p.Left)), Y: l.Y, Group: group,
		Title: at + " " + e.Name + " " + subject(e) + " " + e.Detail,
	})
	p.Rows = append(p.Rows, row{
		Time: at, Host: e.Host, Code: e.Code, Name: e.Name, Subject: subject(e), Detail: e.Detail, Group: group,
	})
}
