package burn

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
)

var objectives = []config.Objective{
	{Service: "assist", Kind: config.ObjectiveAvailability, Target: 0.99},
	{Service: "assist", Kind: config.ObjectiveColdStart, Target: 0.9, ThresholdMS: 20_000},
	{Service: "assist", Kind: config.ObjectiveFirstToken, Target: 0.95, ThresholdMS: 800},
}

func newTestRecorder() *Recorder {
	r := NewRecorder()
	r.SetObjectives(objectives)
	return r
}

func windowCounts(s Snapshot, id string) [windowCount]Count { return s.seriesByID(id).Windows }

// TestRecord guards against a request that is counted for the wrong objective.
func TestRecord(t *testing.T) {
	for name, c := range map[string]struct {
		event                          Event
		availability, cold, firstToken Count
	}{
		"warm and in time": {Event{"assist", true, false, 800 * time.Millisecond}, Count{1, 1}, Count{}, Count{1, 1}},
		"warm and late":    {Event{"assist", true, false, 801 * time.Millisecond}, Count{1, 1}, Count{}, Count{0, 1}},
		"cold and in time": {Event{"assist", true, true, 20 * time.Second}, Count{1, 1}, Count{1, 1}, Count{}},
		"cold and late":    {Event{"assist", true, true, 21 * time.Second}, Count{1, 1}, Count{0, 1}, Count{}},
		"warm and failed":  {Event{"assist", false, false, 0}, Count{0, 1}, Count{}, Count{0, 1}},
		"other service":    {Event{"other", true, false, 0}, Count{}, Count{}, Count{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRecorder()
			r.Record(time.Minute, c.event)
			s := r.Snapshot(time.Minute)
			for id, want := range map[string]Count{
				"assist/availability": c.availability, "assist/cold_start": c.cold, "assist/first_token": c.firstToken,
			} {
				if got := windowCounts(s, id)[window5m]; got != want {
					t.Errorf("counts of %s in the 5m window: got %v, want %v", id, got, want)
				}
			}
		})
	}
}

// TestWindowsAgainstOracle guards against windows that drop counts too early,
// keep them too long, or mix the old and new counts of a reused bucket. The
// oracle keeps the time of every event.
func TestWindowsAgainstOracle(t *testing.T) {
	r := newTestRecorder()
	var times []time.Duration
	now, random := time.Duration(0), uint64(88172645463325252)
	for range 4000 {
		random ^= random << 13
		random ^= random >> 7
		random ^= random << 17
		now += time.Duration(random%300) * time.Second
		times = append(times, now)
		r.Record(now, Event{Service: "assist", OK: random%3 > 0})
		got := windowCounts(r.Snapshot(now), "assist/availability")
		for i, w := range Windows {
			var least, most uint64
			for _, at := range times {
				if now-at < w.Span-w.Span/bucketCount {
					least++
				}
				if now-at < w.Span {
					most++
				}
			}
			if got[i].Total < least || got[i].Total > most || got[i].Good > got[i].Total {
				t.Fatalf("window %s at %s: got %v, want a total from %d to %d", w.Name, now, got[i], least, most)
			}
		}
	}
	for i, c := range windowCounts(r.Snapshot(now+80*time.Hour), "assist/availability") {
		if c != (Count{}) {
			t.Errorf("window %s still holds %v after 80 h without events, want no counts", Windows[i].Name, c)
		}
	}
}

// TestMerge guards against a merge that loses hosts, counts requests twice, or
// depends on the order of the snapshots.
func TestMerge(t *testing.T) {
	var parts []Snapshot
	combined := newTestRecorder()
	for host := range 3 {
		r := newTestRecorder()
		for i := range 50 {
			e := Event{Service: "assist", OK: (i+host)%4 > 0, Cold: i%5 == 0}
			at := time.Duration(i*(host+1)) * time.Minute
			r.Record(at, e)
			combined.Record(at, e)
		}
		parts = append(parts, r.Snapshot(3*time.Hour))
	}
	want := combined.Snapshot(3 * time.Hour)
	if got := Merge(parts...); !reflect.DeepEqual(got, want) {
		t.Errorf("merged snapshot: got %+v\nwant %+v", got, want)
	}
	if got := Merge(parts[2], Merge(parts[1], parts[0])); !reflect.DeepEqual(got, want) {
		t.Errorf("snapshot merged in another order differs: got %+v", got)
	}
}

// TestSetObjectivesKeepsCounts guards against counts that are lost when the
// configuration changes.
func TestSetObjectivesKeepsCounts(t *testing.T) {
	r := newTestRecorder()
	r.Record(0, Event{Service: "assist", OK: true})
	r.SetObjectives(objectives[:1])
	if got := windowCounts(r.Snapshot(0), "assist/availability")[window3d]; got != (Count{1, 1}) {
		t.Errorf("3d window after the change: got %v, want 1 good of 1 request", got)
	}
}

// TestSeverity guards against alerts that are missing, and against alerts that a
// single short window raises.
func TestSeverity(t *testing.T) {
	for name, c := range map[string]struct {
		bad  [windowCount]uint64 // of 1000 requests, with a target of 99%
		want Severity
	}{
		"within the budget":      {[...]uint64{9, 9, 9, 9}, SeverityOK},
		"short peak":             {[...]uint64{900, 20, 9, 9}, SeverityOK},
		"peak of an hour":        {[...]uint64{150, 150, 20, 9}, SeverityPage},
		"peak now over":          {[...]uint64{0, 150, 20, 9}, SeverityOK},
		"steady burn":            {[...]uint64{0, 61, 61, 9}, SeverityPage},
		"slow burn":              {[...]uint64{0, 0, 11, 11}, SeverityTicket},
		"budget spent, now over": {[...]uint64{0, 0, 0, 30}, SeverityOK},
	} {
		t.Run(name, func(t *testing.T) {
			s := Series{Service: "assist", Kind: config.ObjectiveAvailability}
			for i, bad := range c.bad {
				s.Windows[i] = Count{Good: 1000 - bad, Total: 1000}
			}
			if got := newLine(objectives[0], s); got.Severity != c.want {
				t.Errorf("severity: got %s, want %s with burn rates %+v", got.Severity, c.want, got.Rates)
			}
		})
	}
	if got := newLine(objectives[0], Series{}).Severity; got != SeverityNoData {
		t.Errorf("severity without requests: got %s, want no_data", got)
	}
}

// TestReportFormats guards against report formats that programs cannot parse.
func TestReportFormats(t *testing.T) {
	r := newTestRecorder()
	for i := range 100 {
		r.Record(time.Duration(i)*time.Minute, Event{Service: "assist", OK: i%10 > 0})
	}
	c := config.Configuration{Version: 4, Deployment: config.Deployment{Name: "a<b"}, Objectives: objectives}
	report := NewReport(c, r.Snapshot(100*time.Minute))
	if got := report.Lines[0].Rates[window3d].Burn; math.Abs(got-10) > 1e-9 {
		t.Errorf("burn rate over 3d: got %g, want 10", got)
	}
	data, err := json.Marshal(report)
	var decoded Report
	if err != nil || json.Unmarshal(data, &decoded) != nil || !reflect.DeepEqual(report, decoded) {
		t.Errorf("report changed by a JSON round trip: %v\n%s", err, data)
	}
	want := "assist/availability  99%              page      0.00     8.47     10.00    10.00    10/100\n"
	if !strings.Contains(report.Text(), want) {
		t.Errorf("text report does not contain %q:\n%s", want, report.Text())
	}
	d := xml.NewDecoder(strings.NewReader(report.SVG()))
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("SVG is not valid XML: %v\n%s", err, report.SVG())
		}
	}
}
