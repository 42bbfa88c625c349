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

// recorded reads the lines of testdata/day.log, three of which are damaged.
func recorded(t *testing.T) []Line {
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

// Guards against a story that lacks the line or the belief that explains a
// failure, and against one that is filled with what does not concern it.
func TestStories(t *testing.T) {
	for _, c := range []struct{ name, request string }{
		{"refused", "6b3c6531983310ab"},
		{"cut", "529ab2e56548c382"},
		{"unfinished", "0011223344556677"},
		{"late", "8811223344556677"},
	} {
		t.Run(c.name, func(t *testing.T) {
			story, err := Tell(recorded(t), c.request)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := story.Print(&out); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, c.name, out.Bytes())
		})
	}
}

// Guards against an unknown request that is taken for one without trouble.
func TestARequestWithoutLinesIsAnError(t *testing.T) {
	_, err := Tell(recorded(t), "ffff")
	var missing *NotFoundError
	if !errors.As(err, &missing) || missing.Request != "ffff" {
		t.Errorf("error %v", err)
	}
}

// Guards against a timeline that shows requests, or what lies outside its span.
func TestTimeline(t *testing.T) {
	at := func(text string) time.Time {
		out, err := Span(text, time.Date(2026, 2, 26, 0, 0, 0, 0, time.UTC))
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	var out bytes.Buffer
	if err := PrintTimeline(&out, Timeline(recorded(t), at("00:35:31.2"), at("2026-02-26T00:35:34Z"))); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "timeline", out.Bytes())
	if _, err := Span("noon", time.Time{}); err == nil {
		t.Error("noon was taken for a time")
	}
}

// Guards against an ending of requests without words in a story.
func TestEveryEventOfARequestIsKnown(t *testing.T) {
	for _, event := range decision.RequestEvents {
		if event != decision.EventAttempt && endings[event] == "" {
			t.Errorf("the ending %q has no words", event)
		}
	}
}

// Guards against a line without end that fills the memory, and against the loss
// of the lines after it.
func TestAnEndlessLineIsPassedOver(t *testing.T) {
	text := strings.Repeat("x", 3*maxLine) + "\n" + `{"event":"table","host":"h","time":"2026-02-26T00:35:22Z"}`
	lines, damaged, err := Read(strings.NewReader(text), "f")
	if err != nil || len(lines) != 1 || len(damaged) != 1 || damaged[0].Line != 1 {
		t.Errorf("%d lines, damaged %v, error %v", len(lines), damaged, err)
	}
}

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
			story, err := Tell(lines, l.text(decision.FieldRequest))
			if err == nil {
				err = story.Print(&bytes.Buffer{})
			}
			var missing *NotFoundError
			if err != nil && !errors.As(err, &missing) {
				t.Fatal(err)
			}
		}
	})
}
