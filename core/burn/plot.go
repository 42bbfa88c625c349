package burn

import (
	"fmt"
	"html/template"
	"math"
	"strings"
)

// Sizes of the plot, in pixels.
const (
	plotWidth   = 760
	panelHeight = 120
	graphLeft   = 40
	graphWidth  = 480
	graphHeight = 80
	graphTop    = 28
)

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="12">
<rect width="{{.Width}}" height="{{.Height}}" fill="#ffffff"/>
<text x="10" y="20" font-size="14">Burn rates of {{.Deployment}}, configuration version {{.Version}}, last 6 h</text>
{{range .Panels}}<g transform="translate(0,{{.Top}})">
<text x="40" y="18">{{.Title}}: {{.Severity}}</text>
<rect x="40" y="28" width="480" height="80" fill="none" stroke="#999999"/>
{{range .Grid}}<line x1="40" x2="520" y1="{{.Y}}" y2="{{.Y}}" stroke="#dddddd"/><text x="34" y="{{.Y}}" dy="4" text-anchor="end">{{.Label}}</text>
{{end}}<polyline points="{{.Points}}" fill="none" stroke="{{.Color}}" stroke-width="2"/>
{{range .Rates}}<text x="540" y="{{.Y}}">{{.Label}}</text>
{{end}}</g>
{{end}}</svg>
`))

type plotMark struct {
	Y     int
	Label string
}

type plotPanel struct {
	Top                            int
	Title, Severity, Points, Color string
	Grid, Rates                    []plotMark
}

// SVG returns the report as an SVG image: for each objective a graph of the burn
// rate over the last 6 h, oldest on the left, and beside it the rates of all
// windows.
func (r Report) SVG() string {
	data := struct {
		Width, Height int
		Deployment    string
		Version       uint64
		Panels        []plotPanel
	}{Width: plotWidth, Height: 40 + panelHeight*len(r.Lines), Deployment: r.Deployment, Version: r.Version}
	for i, l := range r.Lines {
		data.Panels = append(data.Panels, l.newPlotPanel(30+panelHeight*i))
	}
	var b strings.Builder
	if err := plotTemplate.Execute(&b, data); err != nil {
		return "" // unreachable: the template is constant and a strings.Builder accepts every write
	}
	return b.String()
}

func (l Line) newPlotPanel(top int) plotPanel {
	p := plotPanel{Top: top, Title: l.ID() + ", " + l.targetText(), Severity: string(l.Severity), Points: l.plotPoints()}
	p.Color = map[Severity]string{SeverityPage: "#c0392b", SeverityTicket: "#d68910", SeverityOK: "#1e8449", SeverityNoData: "#999999"}[l.Severity]
	for _, burn := range []float64{0, 1, 10, 100} {
		p.Grid = append(p.Grid, plotMark{Y: int(plotY(burn)), Label: fmt.Sprint(burn)})
	}
	for i, rate := range l.Rates {
		p.Rates = append(p.Rates, plotMark{Y: graphTop + 16 + 18*i, Label: rate.Window + ": " + rate.text()})
	}
	return p
}

func (l Line) plotPoints() string {
	var b strings.Builder
	for age := len(l.History) - 1; age >= 0; age-- {
		x := graphLeft + graphWidth*float64(bucketCount-1-age)/(bucketCount-1)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, plotY(l.History[age]))
	}
	return strings.TrimSuffix(b.String(), " ")
}

// plotY returns the y coordinate of a burn rate, in pixels, on a logarithmic
// scale from 0 to 100. Higher rates are drawn at 100.
func plotY(burn float64) float64 {
	fraction := math.Log10(1+min(burn, 100)) / math.Log10(101)
	return graphTop + graphHeight*(1-fraction)
}
