package explain

import (
	"fmt"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// lookBack is how long before a request's arrival a change of belief may still
	// bear on it. A load from the weight store takes about as long.
	lookBack = 15 * time.Second
	// lookAhead takes in lines that hosts with slower clocks wrote a little later.
	lookAhead = 500 * time.Millisecond
)

// Story is what the logs tell of one request.
type Story struct {
	Request string    `json:"request"`
	Arrived time.Time `json:"arrived"`
	// Summary tells how the request ended and why.
	Summary string `json:"summary"`
	// Lines are those of the request in the order of time.
	Lines []Line `json:"lines"`
	// Beliefs are the changes that bore on the request: those of its servers and
	// its model, of the routes and state of its host and of the lead.
	Beliefs []Line `json:"beliefs"`
	// Dropped counts the lines that hosts dropped meanwhile, by host.
	Dropped map[string]int `json:"dropped"`
	// Unfinished is set if no line tells the end of the request: it was answered
	// and not sampled, its host has ended, or a log is missing.
	Unfinished bool `json:"unfinished"`
}

// NotFoundError reports a request without any line.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names the request %q: it was answered and not sampled, its lines were dropped, or a log is missing", e.Request)
}

// Tell joins the lines of one request with the beliefs that bore on it.
func Tell(lines []Line, request string) (Story, error) {
	s := Story{Request: request, Dropped: map[string]int{}}
	Sort(lines)
	for _, l := range lines {
		if l.text(decision.FieldRequest) == request {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return s, &NotFoundError{request}
	}
	first, last := s.Lines[0], s.Lines[len(s.Lines)-1]
	s.Arrived = first.At.Add(-first.duration(decision.FieldTookMS))
	from, to := s.Arrived.Add(-lookBack), last.At.Add(lookAhead)
	for _, l := range lines {
		switch {
		case l.At.Before(from) || l.At.After(to) || l.text(decision.FieldRequest) != "":
		case l.Event == decision.EventDropped:
			n, _ := l.Fields[decision.FieldDropped].(float64)
			s.Dropped[l.Host] += int(n)
		case s.concerns(l):
			s.Beliefs = append(s.Beliefs, l)
		}
	}
	s.Unfinished = !ends(last)
	s.Summary = s.summary()
	return s, nil
}

// concerns reports whether a change of belief bears on the request.
func (s *Story) concerns(l Line) bool {
	switch l.Event {
	case decision.EventPublish, decision.EventLeading:
		return true
	case decision.EventTable, decision.EventSettings:
		return slices.ContainsFunc(s.Lines, func(own Line) bool { return own.Host == l.Host })
	}
	return slices.ContainsFunc(s.Lines, func(own Line) bool {
		server, model := own.text(decision.FieldServer), own.text(decision.FieldModel)
		if server != "" && server == l.text(decision.FieldServer) {
			return model == "" || l.text(decision.FieldModel) == "" || l.text(decision.FieldModel) == model
		}
		return model != "" && (l.text(decision.FieldModel) == model || l.text(decision.FieldFor) == model)
	})
}

// ends reports whether a line tells the end of a request.
func ends(l Line) bool { return endings[l.Event] != "" }

// endings are the events that end a request, in words.
var endings = map[string]string{
	decision.EventAnswered: "was answered",
	decision.EventLate:     "was answered late",
	decision.EventRefused:  "was refused",
	decision.EventFailed:   "failed",
	decision.EventAborted:  "was broken off in the middle of its answer",
	decision.EventLeft:     "was given up by its caller",
}

func (s *Story) summary() string {
	last := s.Lines[len(s.Lines)-1]
	took := last.duration(decision.FieldTookMS)
	if s.Unfinished {
		return fmt.Sprintf("the end is not told; the last line is %s after %s", last.Event, took)
	}
	out := fmt.Sprintf("%s after %s", endings[last.Event], took)
	if why := last.text(decision.FieldReason); why != "" {
		out += ": " + why
	}
	if at := last.duration(decision.FieldReturnMS); at > 0 {
		out += fmt.Sprintf("; the caller was told to come back after %s", at)
	}
	if last.Event == decision.EventLate {
		out += fmt.Sprintf(" (%s without a server, first event after %s, longest pause %s)", last.duration(decision.FieldWaitMS),
			last.duration(decision.FieldFirstMS), last.duration(decision.FieldPauseMS))
	}
	if n := s.attempts(); n > 0 {
		out += fmt.Sprintf("; attempts without a whole answer: %d", n)
	}
	return out
}

// attempts counts the attempts that brought no whole answer.
func (s *Story) attempts() int {
	n := 0
	for _, l := range s.Lines {
		if l.Event == decision.EventAttempt {
			n++
		}
	}
	return n
}

// Timeline returns the changes of belief within a span of time, oldest first. A
// zero time is no bound.
func Timeline(lines []Line, from, to time.Time) []Line {
	Sort(lines)
	var out []Line
	for _, l := range lines {
		early := !from.IsZero() && l.At.Before(from)
		late := !to.IsZero() && l.At.After(to)
		if !early && !late && l.text(decision.FieldRequest) == "" {
			out = append(out, l)
		}
	}
	return out
}
