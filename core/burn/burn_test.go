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

func recorder() *Recorder {
	r := NewRecorder()
	r.SetObjectives(objectives)
	return r
}

func counts(s Snapshot, id string) [windowCount]Count { return s.find(id).Windows }

// Guards against a request that counts for the wrong objective.
func TestRecord(t *testing.T) {
	for name, c := range map[string]struct {
		event                         Event
		availability, cold, firstByte Count
	}{
		"warm and in time": {Event{"assist", true, false, 800 * time.Millisecond}, Count{1, 1}, Count{}, Count{1, 1}},
		"warm and late":    {Event{"assist", true, false, 801 * time.Millisecond}, Count{1, 1}, Count{}, Count{0, 1}},
		"cold and in time": {Event{"assist", true, true, 20 * time.Second}, Count{1, 1}, Count{1, 1}, Count{}},
		"cold and late":    {Event{"assist", true, true, 21 * time.Second}, Count{1, 1}, Count{0, 1}, Count{}},
		"warm and failed":  {Event{"assist", false, false, 0}, Count{0, 1}, Count{}, Count{0, 1}},
		"other service":    {Event{"other", true, false, 0}, Count{}, Count{}, Count{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := recorder()
			r.Record(time.Minute, c.event)
			s := r.Snapshot(time.Minute)
			for id, want := range map[string]Count{
				"assist/availability": c.availability, "assist/cold_start": c.cold, "assist/first_token": c.firstByte,
			} {
				if got := counts(s, id)[window5m]; got != want {
					t.Errorf("%s: got %v, want %v", id, got, want)
				}
			}
		})
	}
}

// Guards against windows that forget early, remember for too long, or mix the
// counts of a reused bucket. The oracle keeps every event.
func TestWindowsAgainstOracle(t *testing.T) {
	r := recorder()
	var times []time.Duration
	now, step := time.Duration(0), uint64(88172645463325252)
	for range 4000 {
		step ^= step << 13
		step ^= step >> 7
		step ^= step << 17
		now += time.Duration(step%300) * time.Second
		times = append(times, now)
		r.Record(now, Event{Service: "assist", OK: step%3 > 0})
		got := counts(r.Snapshot(now), "assist/availability")
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
	for i, c := range counts(r.Snapshot(now+80*time.Hour), "assist/availability") {
		if c != (Count{}) {
			t.Errorf("window %s remembers %v after 80 h", Windows[i].Name, c)
		}
	}
}

// Guards against a merge that loses hosts, counts twice, or depends on order.
func TestMerge(t *testing.T) {
	var parts []Snapshot
	whole := recorder()
	for host := range 3 {
		r := recorder()
		for i := range 50 {
			e := Event{Service: "assist", OK: (i+host)%4 > 0, Cold: i%5 == 0}
			at := time.Duration(i*(host+1)) * time.Minute
			r.Record(at, e)
			whole.Record(at, e)
		}
		parts = append(parts, r.Snapshot(3*time.Hour))
	}
	want := whole.Snapshot(3 * time.Hour)
	if got := Merge(parts...); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
	if got := Merge(parts[2], Merge(parts[1], parts[0])); !reflect.DeepEqual(got, want) {
		t.Errorf("another order gives %+v", got)
	}
}

// Guards against counts that are lost when a configuration changes.
func TestSetObjectivesKeepsCounts(t *testing.T) {
	r := recorder()
	r.Record(0, Event{Service: "assist", OK: true})
	r.SetObjectives(objectives[:1])
	if got := counts(r.Snapshot(0), "assist/availability")[window3d]; got != (Count{1, 1}) {
		t.Errorf("got %v", got)
	}
}

// Guards against alarms that stay silent or that one short window raises.
func TestSeverity(t *testing.T) {
	for name, c := range map[string]struct {
		bad  [windowCount]uint64 // of 1000 requests, with a target of 99%
		want Severity
	}{
		"within the budget":         {[...]uint64{9, 9, 9, 9}, OK},
		"short peak":                {[...]uint64{900, 20, 9, 9}, OK},
		"peak of an hour":           {[...]uint64{150, 150, 20, 9}, Page},
		"peak that is over":         {[...]uint64{0, 150, 20, 9}, OK},
		"steady burn":               {[...]uint64{0, 61, 61, 9}, Page},
		"slow burn":                 {[...]uint64{0, 0, 11, 11}, Ticket},
		"budget spent and over now": {[...]uint64{0, 0, 0, 30}, OK},
	} {
		t.Run(name, func(t *testing.T) {
			s := Series{Service: "assist", Kind: config.ObjectiveAvailability}
			for i, bad := range c.bad {
				s.Windows[i] = Count{Good: 1000 - bad, Total: 1000}
			}
			if got := line(objectives[0], s); got.Severity != c.want {
				t.Errorf("got %s, want %s: %+v", got.Severity, c.want, got.Rates)
			}
		})
	}
	if got := line(objectives[0], Series{}).Severity; got != NoData {
		t.Errorf("without requests: got %s", got)
	}
}

// Guards against reports that cannot be read by machines.
func TestReportFormats(t *testing.T) {
	r := recorder()
	for i := range 100 {
		r.Record(time.Duration(i)*time.Minute, Event{Service: "assist", OK: i%10 > 0})
	}
	c := config.Configuration{Version: 4, Deployment: config.Deployment{Name: "a<b"}, Objectives: objectives}
	report := NewReport(c, r.Snapshot(100*time.Minute))
	if got := report.Lines[0].Rates[window3d].Burn; math.Abs(got-10) > 1e-9 {
		t.Errorf("burn is %g, want 10", got)
	}
	data, err := json.Marshal(report)
	var back Report
	if err != nil || json.Unmarshal(data, &back) != nil || !reflect.DeepEqual(report, back) {
		t.Errorf("JSON changes the report: %v\n%s", err, data)
	}
	want := "assist/availability  99%              page      0.00     8.47     10.00    10.00    10/100\n"
	if !strings.Contains(report.Text(), want) {
		t.Errorf("text lacks %q:\n%s", want, report.Text())
	}
	d := xml.NewDecoder(strings.NewReader(report.SVG()))
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("SVG is not XML: %v\n%s", err, report.SVG())
		}
	}
}
