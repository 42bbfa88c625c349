package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pollenwheel/pollenwheel/node/decision"
)

const clock = "15:04:05.000"

// Print writes a story as text.
func (s Story) Print(w io.Writer) error {
	var b strings.Builder
	first := s.Lines[0]
	fmt.Fprintf(&b, "request %s %s\n", s.Request, s.Summary)
	fmt.Fprintf(&b, "arrived %s at %s, route %s, service %s%s\n", s.Arrived.Format(clock), first.Host, first.text(decision.FieldRoute),
		first.text(decision.FieldService), named(", model ", first.text(decision.FieldModel))+named(", adapter ", first.text(decision.FieldAdapter)))
	for _, host := range slices.Sorted(maps.Keys(s.Dropped)) {
		fmt.Fprintf(&b, "%s dropped %d lines meanwhile: the story may have gaps\n", host, s.Dropped[host])
	}
	b.WriteString("\nthe request\n")
	if err := printLines(&b, s.Lines, decision.FieldRequest, decision.FieldRoute, decision.FieldService, decision.FieldModel, decision.FieldAdapter); err != nil {
		return err
	}
	b.WriteString("\nwhat was believed\n")
	if len(s.Beliefs) == 0 {
		b.WriteString("  no change bore on the request\n")
	}
	if err := printLines(&b, s.Beliefs); err != nil {
		return err
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func named(name, value string) string {
	if value == "" {
		return ""
	}
	return name + value
}

// PrintTimeline writes changes of belief as text.
func PrintTimeline(w io.Writer, lines []Line) error { return printLines(w, lines) }

// printLines writes one line for each decision, without the given fields.
func printLines(w io.Writer, lines []Line, without ...string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if text := l.text(name); text != "" && !slices.Contains(without, name) {
				fields = append(fields, fmt.Sprintf("%s=%s", name, quoted(text)))
			}
		}
		if _, err := fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", l.At.Format(clock), l.Host, l.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return t.Flush()
}

func quoted(text string) string {
	if strings.ContainsAny(text, " \t\"=") {
		return fmt.Sprintf("%q", text)
	}
	return text
}

// Span is a bound of a timeline: a time of day in the logs, or a full time.
func Span(text string, day time.Time) (time.Time, error) {
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return at, nil
	}
	at, err := time.Parse("15:04:05", text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is neither a time of day such as 15:04:05 nor a time such as 2026-02-26T15:04:05Z", text)
	}
	y, m, d := day.Date()
	return time.Date(y, m, d, at.Hour(), at.Minute(), at.Second(), at.Nanosecond(), day.Location()), nil
}
