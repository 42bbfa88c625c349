package burn

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Severity is how soon an objective needs attention.
type Severity string

// Severities. NoData means that no request counted in the last 3 d.
const (
	NoData Severity = "no_data"
	OK     Severity = "ok"
	Ticket Severity = "ticket"
	Page   Severity = "page"
)

// Burn rates at which an objective needs attention. A short and a long window
// must agree, so that neither a few requests nor an old incident raises it.
// Of a budget for 30 days, 14.4 spends 2% in an hour, 6 spends 5% in 6 hours,
// and 1 spends 10% in 3 days.
const (
	fastBurn   = 14.4 // over 1h and 5m
	steadyBurn = 6.0  // over 6h and 1h
	slowBurn   = 1.0  // over 3d and 6h
)

// Rate is the burn over one window.
type Rate struct {
	Window string `json:"window"`
	Count
	// Burn is the share of bad requests over the share that the target allows.
	// At 1 the budget lasts exactly as long as it should.
	Burn float64 `json:"burn"`
}

// Line reports on one objective.
type Line struct {
	config.Objective
	Severity Severity `json:"severity"`
	Rates    []Rate   `json:"rates"`
	// History has the burn of 60 equal intervals of the last 6 h, newest first.
	History []float64 `json:"history"`
}

// Report covers a deployment.
type Report struct {
	Deployment string `json:"deployment"`
	Version    uint64 `json:"version"`
	// Hosts were counted; Missing did not answer, so their requests are absent.
	Hosts   []string `json:"hosts"`
	Missing []string `json:"missing,omitempty"`
	Lines   []Line   `json:"objectives"`
}

// NewReport computes the burn rates of the configuration's objectives.
func NewReport(c config.Configuration, s Snapshot) Report {
	r := Report{Deployment: c.Deployment.Name, Version: c.Version, Lines: []Line{}}
	for _, o := range c.Objectives {
		r.Lines = append(r.Lines, line(o, s.find(o.ID())))
	}
	return r
}

func line(o config.Objective, s Series) Line {
	l := Line{Objective: o}
	for i, w := range Windows {
		l.Rates = append(l.Rates, Rate{Window: w.Name, Count: s.Windows[i], Burn: burnRate(o, s.Windows[i])})
	}
	for _, c := range s.History {
		l.History = append(l.History, burnRate(o, c))
	}
	l.Severity = severity(l.Rates)
	return l
}

func burnRate(o config.Objective, c Count) float64 {
	if c.Total == 0 || o.Target >= 1 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / (1 - o.Target)
}

func severity(r []Rate) Severity {
	both := func(long, short int, limit float64) bool { return r[long].Burn >= limit && r[short].Burn >= limit }
	switch {
	case r[window3d].Total == 0:
		return NoData
	case both(window1h, window5m, fastBurn) || both(window6h, window1h, steadyBurn):
		return Page
	case both(window3d, window6h, slowBurn):
		return Ticket
	}
	return OK
}

// Text returns the report as a table.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "deployment %s, configuration version %d, %d hosts counted\n", r.Deployment, r.Version, len(r.Hosts))
	if len(r.Missing) > 0 {
		fmt.Fprintf(&b, "not counted, because they did not answer: %s\n", strings.Join(r.Missing, ", "))
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	row := []string{"OBJECTIVE", "TARGET", "SEVERITY"}
	for _, window := range Windows {
		row = append(row, "BURN "+window.Name)
	}
	_, _ = fmt.Fprintln(w, strings.Join(append(row, "BAD/ALL 3d"), "\t"))
	for _, l := range r.Lines {
		row = []string{l.ID(), l.target(), string(l.Severity)}
		for _, rate := range l.Rates {
			row = append(row, rate.text())
		}
		long := l.Rates[window3d]
		_, _ = fmt.Fprintln(w, strings.Join(append(row, fmt.Sprintf("%d/%d", long.Total-long.Good, long.Total)), "\t"))
	}
	_ = w.Flush() // a strings.Builder accepts every write
	return b.String()
}

func (l Line) target() string {
	if l.ThresholdMS == 0 {
		return fmt.Sprintf("%g%%", percent(l.Target))
	}
	return fmt.Sprintf("%g%% in %d ms", percent(l.Target), l.ThresholdMS)
}

// percent rounds to 4 digits, since 0.999*100 is not exactly 99.9.
func percent(share float64) float64 {
	return float64(int64(share*1e6+0.5)) / 1e4
}

func (r Rate) text() string {
	if r.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.Burn)
}
