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

// clockFormat is the layout of a time of day with milliseconds.
const clockFormat = "15:04:05.000"

// Print writes the report as text.
func (r Report) Print(w io.Writer) error {
	var b strings.Builder
	first := r.Lines[0]
	fmt.Fprintf(&b, "request %s %s\n", r.Request, r.Summary)
	fmt.Fprintf(&b, "arrived %s at %s, route %s, service %s%s\n", r.Arrived.Format(clockFormat), first.Host, first.text(decision.FieldRoute),
		first.text(decision.FieldService), withPrefix(", model ", first.text(decision.FieldModel))+withPrefix(", adapter ", first.text(decision.FieldAdapter)))
	for _, host := range slices.Sorted(maps.Keys(r.Dropped)) {
		fmt.Fprintf(&b, "%s dropped %d log lines in this period: the report may be incomplete\n", host, r.Dropped[host])
	}
	b.WriteString("\nevents of the request\n")
	if err := printLines(&b, r.Lines, decision.FieldRequest, decision.FieldRoute, decision.FieldService, decision.FieldModel, decision.FieldAdapter); err != nil {
		return err
	}
	b.WriteString("\nrelated state changes\n")
	if len(r.StateChanges) == 0 {
		b.WriteString("  none\n")
	}
	if err := printLines(&b, r.StateChanges); err != nil {
		return err
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// withPrefix returns the value after a prefix, or an empty string if the value is
// empty.
func withPrefix(prefix, value string) string {
	if value == "" {
		return ""
	}
	return prefix + value
}

// PrintTimeline writes state changes as text.
func PrintTimeline(w io.Writer, lines []Line) error { return printLines(w, lines) }

// printLines prints each line of the log without the omitted fields.
func printLines(w io.Writer, lines []Line, omitted ...string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if text := l.text(name); text != "" && !slices.Contains(omitted, name) {
				fields = append(fields, fmt.Sprintf("%s=%s", name, quoted(text)))
			}
		}
		if _, err := fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", l.At.Format(clockFormat), l.Host, l.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return t.Flush()
}

// quoted returns a value, in quotes if it contains a space, a tab, a quote or an equals
// sign.
func quoted(text string) string {
	if strings.ContainsAny(text, " \t\"=") {
		return fmt.Sprintf("%q", text)
	}
	return text
}

// ParseTime parses a bound of a timeline: an RFC 3339 time, or a time of day on the
// given day.
func ParseTime(text string, day time.Time) (time.Time, error) {
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
