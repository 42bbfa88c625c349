package burn

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pollenwheel/pollenwheel/core/config"
)

// Severity is how urgently an objective needs attention.
type Severity string

// Severities. SeverityNoData means that no request was counted in the last 3 days.
const (
	SeverityNoData Severity = "no_data"
	SeverityOK     Severity = "ok"
	SeverityTicket Severity = "ticket"
	SeverityPage   Severity = "page"
)

// Burn rates that raise an alert. Both a short and a long window must reach the
// rate, so that neither a few requests nor an incident that is over raises an
// alert. With an error budget for 30 days, a rate of 14.4 spends 2% of the
// budget in an hour, 6 spends 5% in 6 hours, and 1 spends 10% in 3 days.
const (
	fastBurn   = 14.4 // in the windows 1h and 5m
	steadyBurn = 6.0  // in the windows 6h and 1h
	slowBurn   = 1.0  // in the windows 3d and 6h
)

// Rate is the burn rate over one window.
type Rate struct {
	Window string `json:"window"`
	Count
	// Burn is the share of bad requests divided by the share that the target
	// allows. At 1 the error budget lasts exactly for its period.
	Burn float64 `json:"burn"`
}

// Line is the part of a report for one objective.
type Line struct {
	config.Objective
	Severity Severity `json:"severity"`
	Rates    []Rate   `json:"rates"`
	// History holds the burn rates of 60 equal intervals of the last 6 h, newest
	// first.
	History []float64 `json:"history"`
}

// Report holds the burn rates of a deployment.
type Report struct {
	Deployment string `json:"deployment"`
	Version    uint64 `json:"version"`
	// Hosts are the hosts whose requests are counted. Missing are the hosts that
	// did not answer; their requests are not counted.
	Hosts   []string `json:"hosts"`
	Missing []string `json:"missing,omitempty"`
	Lines   []Line   `json:"objectives"`
}

// NewReport computes the burn rates of the objectives in c from the counts in s.
func NewReport(c config.Configuration, s Snapshot) Report {
	r := Report{Deployment: c.Deployment.Name, Version: c.Version, Lines: []Line{}}
	for _, o := range c.Objectives {
		r.Lines = append(r.Lines, newLine(o, s.seriesByID(o.ID())))
	}
	return r
}

func newLine(o config.Objective, s Series) Line {
	l := Line{Objective: o}
	for i, w := range Windows {
		l.Rates = append(l.Rates, Rate{Window: w.Name, Count: s.Windows[i], Burn: burnRate(o, s.Windows[i])})
	}
	for _, c := range s.History {
		l.History = append(l.History, burnRate(o, c))
	}
	l.Severity = severityOf(l.Rates)
	return l
}

func burnRate(o config.Objective, c Count) float64 {
	if c.Total == 0 || o.Target >= 1 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / (1 - o.Target)
}

// severityOf returns the severity for the burn rates of all windows.
func severityOf(rates []Rate) Severity {
	bothReach := func(long, short int, threshold float64) bool {
		return rates[long].Burn >= threshold && rates[short].Burn >= threshold
	}
	switch {
	case rates[window3d].Total == 0:
		return SeverityNoData
	case bothReach(window1h, window5m, fastBurn) || bothReach(window6h, window1h, steadyBurn):
		return SeverityPage
	case bothReach(window3d, window6h, slowBurn):
		return SeverityTicket
	}
	return SeverityOK
}

// Text returns the report as a plain-text table.
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
		row = []string{l.ID(), l.targetText(), string(l.Severity)}
		for _, rate := range l.Rates {
			row = append(row, rate.text())
		}
		longest := l.Rates[window3d]
		_, _ = fmt.Fprintln(w, strings.Join(append(row, fmt.Sprintf("%d/%d", longest.Total-longest.Good, longest.Total)), "\t"))
	}
	_ = w.Flush() // a strings.Builder accepts every write
	return b.String()
}

func (l Line) targetText() string {
	if l.ThresholdMS == 0 {
		return fmt.Sprintf("%g%%", percent(l.Target))
	}
	return fmt.Sprintf("%g%% in %d ms", percent(l.Target), l.ThresholdMS)
}

// percent converts a share to percent, rounded to 4 decimal places because
// 0.999*100 is not exactly 99.9 in floating point.
func percent(share float64) float64 {
	return float64(int64(share*1e6+0.5)) / 1e4
}

func (r Rate) text() string {
	if r.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.Burn)
}
