package explain

import (
	"fmt"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// lookBack is the time before the arrival of a request in which a state change
	// counts as related to it. A load from the weight store takes about this long.
	lookBack = 15 * time.Second
	// lookAhead is the time after the last line of a request in which a state change
	// counts as related to it. It allows for lines that hosts with slower clocks wrote
	// slightly later.
	lookAhead = 500 * time.Millisecond
)

// Report is the report on one request.
type Report struct {
	Request string    `json:"request"`
	Arrived time.Time `json:"arrived"`
	// Summary states how the request ended and why.
	Summary string `json:"summary"`
	// Lines are the lines of the request, sorted by time.
	Lines []Line `json:"lines"`
	// StateChanges are the state changes related to the request: those of its servers
	// and its model, of the route table and settings of its host, publications, and
	// changes of leadership.
	StateChanges []Line `json:"beliefs"`
	// Dropped is the number of lines that each host dropped in the period of the
	// report, by host.
	Dropped map[string]int `json:"dropped"`
	// Unfinished is set if no line reports the end of the request: it was answered
	// and not sampled, its host process ended, or a log is missing.
	Unfinished bool `json:"unfinished"`
}

// NotFoundError reports that no line has the ID of the request.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names the request %q: it was answered and not sampled, its lines were dropped, or a log is missing", e.Request)
}

// NewReport returns the report on one request: its lines and the related state
// changes. It sorts lines. The error is a *NotFoundError if no line has the ID of the
// request.
func NewReport(lines []Line, request string) (Report, error) {
	report := Report{Request: request, Dropped: map[string]int{}}
	Sort(lines)
	for _, l := range lines {
		if l.text(decision.FieldRequest) == request {
			report.Lines = append(report.Lines, l)
		}
	}
	if len(report.Lines) == 0 {
		return report, &NotFoundError{request}
	}
	first, last := report.Lines[0], report.Lines[len(report.Lines)-1]
	report.Arrived = first.At.Add(-first.duration(decision.FieldTookMS))
	from, to := report.Arrived.Add(-lookBack), last.At.Add(lookAhead)
	for _, l := range lines {
		switch {
		case l.At.Before(from) || l.At.After(to) || l.text(decision.FieldRequest) != "":
		case l.Event == decision.EventLinesDropped:
			n, _ := l.Fields[decision.FieldDropped].(float64)
			report.Dropped[l.Host] += int(n)
		case report.isRelated(l):
			report.StateChanges = append(report.StateChanges, l)
		}
	}
	report.Unfinished = !isEnd(last)
	report.Summary = report.summary()
	return report, nil
}

// isRelated reports whether a state change may have affected the request.
func (r *Report) isRelated(l Line) bool {
	switch l.Event {
	case decision.EventPublish, decision.EventLeadership:
		return true
	case decision.EventTable, decision.EventSettings:
		return slices.ContainsFunc(r.Lines, func(requestLine Line) bool { return requestLine.Host == l.Host })
	}
	return slices.ContainsFunc(r.Lines, func(requestLine Line) bool {
		server, model := requestLine.text(decision.FieldServer), requestLine.text(decision.FieldModel)
		if server != "" && server == l.text(decision.FieldServer) {
			return model == "" || l.text(decision.FieldModel) == "" || l.text(decision.FieldModel) == model
		}
		return model != "" && (l.text(decision.FieldModel) == model || l.text(decision.FieldForModel) == model)
	})
}

// isEnd reports whether a line reports the end of a request.
func isEnd(l Line) bool { return endDescriptions[l.Event] != "" }

// endDescriptions describes each event that ends a request.
var endDescriptions = map[string]string{
	decision.EventAnswered:     "was answered",
	decision.EventLate:         "was answered late",
	decision.EventRefused:      "was refused",
	decision.EventFailed:       "failed",
	decision.EventAborted:      "was aborted in the middle of its answer",
	decision.EventCallerLeft:   "was abandoned by its caller",
	decision.EventOverQuota:    "was refused by the quota of its account",
	decision.EventUnauthorized: "was refused, since it has no valid key",
}

// summary returns the text for the field Summary.
func (r *Report) summary() string {
	last := r.Lines[len(r.Lines)-1]
	took := last.duration(decision.FieldTookMS)
	if r.Unfinished {
		return fmt.Sprintf("has no end in the logs; the last event is %s after %s", last.Event, took)
	}
	out := fmt.Sprintf("%s after %s", endDescriptions[last.Event], took)
	if reason := last.text(decision.FieldReason); reason != "" {
		out += ": " + reason
	}
	if at := last.duration(decision.FieldRetryAfterMS); at > 0 {
		out += fmt.Sprintf("; the caller was asked to retry after %s", at)
	}
	if last.Event == decision.EventLate {
		out += fmt.Sprintf(" (waited %s for a server, first event after %s, longest pause %s)", last.duration(decision.FieldWaitMS),
			last.duration(decision.FieldFirstMS), last.duration(decision.FieldPauseMS))
	}
	if n := r.failedAttempts(); n > 0 {
		out += fmt.Sprintf("; attempts without a complete answer: %d", n)
	}
	return out
}

// failedAttempts returns the number of attempts without a complete answer.
func (r *Report) failedAttempts() int {
	n := 0
	for _, l := range r.Lines {
		if l.Event == decision.EventAttempt {
			n++
		}
	}
	return n
}

// Timeline returns the state changes from one time to another, oldest first. A zero
// time means no bound. It sorts lines.
func Timeline(lines []Line, from, to time.Time) []Line {
	Sort(lines)
	var out []Line
	for _, l := range lines {
		tooEarly := !from.IsZero() && l.At.Before(from)
		tooLate := !to.IsZero() && l.At.After(to)
		if !tooEarly && !tooLate && l.text(decision.FieldRequest) == "" {
			out = append(out, l)
		}
	}
	return out
}
