package explain

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/pollenwheel/pollenwheel/node/decision"
)

// readTestLog reads testdata/day.log, three lines of which are damaged.
func readTestLog(t *testing.T) []Line {
	t.Helper()
	data, err := os.ReadFile("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	lines, damaged, err := Read(bytes.NewReader(data), "day.log")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range damaged {
		got = append(got, d.Error())
	}
	want := "day.log:15: unexpected end of JSON input\nday.log:16: the line holds no JSON object\nday.log:17: the line holds no time"
	if text := strings.Join(got, "\n"); text != want {
		t.Errorf("damaged lines:\n%s\nwant:\n%s", text, want)
	}
	return lines
}

// Guards against a report that lacks the line or the state change that explains a
// failure, and against one with unrelated lines.
func TestReports(t *testing.T) {
	for _, c := range []struct{ name, request string }{
		{"refused", "6b3c6531983310ab"},
		{"cut", "529ab2e56548c382"},
		{"unfinished", "0011223344556677"},
		{"late", "8811223344556677"},
	} {
		t.Run(c.name, func(t *testing.T) {
			report, err := NewReport(readTestLog(t), c.request)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := report.Print(&out); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, c.name, out.Bytes())
		})
	}
}

// Guards against an empty report for a request that no line names.
func TestUnknownRequestIsAnError(t *testing.T) {
	_, err := NewReport(readTestLog(t), "ffff")
	var notFound *NotFoundError
	if !errors.As(err, &notFound) || notFound.Request != "ffff" {
		t.Errorf("error %v, want a NotFoundError for the request ffff", err)
	}
}

// Guards against a timeline with lines of requests or lines outside its period.
func TestTimeline(t *testing.T) {
	parse := func(text string) time.Time {
		out, err := ParseTime(text, time.Date(2026, 2, 26, 0, 0, 0, 0, time.UTC))
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	var out bytes.Buffer
	if err := PrintTimeline(&out, Timeline(readTestLog(t), parse("00:35:31.2"), parse("2026-02-26T00:35:34Z"))); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "timeline", out.Bytes())
	if _, err := ParseTime("noon", time.Time{}); err == nil {
		t.Error("ParseTime accepts \"noon\"")
	}
}

// Guards against an event that ends a request but has no description in reports.
func TestEveryEndHasADescription(t *testing.T) {
	for _, event := range decision.RequestEvents {
		beforeTheEnd := event == decision.EventAttempt || event == decision.EventSent || event == decision.EventResumed || event == decision.EventUnresumed
		if !beforeTheEnd && endDescriptions[event] == "" {
			t.Errorf("the event %q has no description", event)
		}
	}
}

// Guards against an overlong line that is read into memory completely, and against
// the loss of the lines after it.
func TestOverlongLineIsSkipped(t *testing.T) {
	text := strings.Repeat("x", 3*maxLineBytes) + "\n" + `{"event":"table","host":"h","time":"2026-02-26T00:35:22Z"}`
	lines, damaged, err := Read(strings.NewReader(text), "f")
	if err != nil || len(lines) != 1 || len(damaged) != 1 || damaged[0].Line != 1 {
		t.Errorf("%d lines, damaged %v, error %v; want 1 line, and line 1 damaged", len(lines), damaged, err)
	}
}

// FuzzRead guards against logs on which Read, NewReport or Print fails or panics.
func FuzzRead(f *testing.F) {
	data, err := os.ReadFile("testdata/day.log")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		lines, _, err := Read(bytes.NewReader(data), "f")
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range lines {
			report, err := NewReport(lines, l.text(decision.FieldRequest))
			if err == nil {
				err = report.Print(&bytes.Buffer{})
			}
			var notFound *NotFoundError
			if err != nil && !errors.As(err, &notFound) {
				t.Fatal(err)
			}
		}
	})
}
