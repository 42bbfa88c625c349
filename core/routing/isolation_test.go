package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

var lace = Key{Service: "lace-assist", Model: "lace"}

// pair returns a router for a model on a local and a remote server.
func pair(opts Options) *Router {
	opts.DataCentre = "waco"
	r := New(opts, rand.New(rand.NewPCG(1, 1)))
	r.Rebuild([]Server{{Name: "near", DataCentre: "waco", Incarnation: 1}, {Name: "far", DataCentre: "bryan", Incarnation: 1}},
		[]Replica{{"near", lace}, {"far", lace}})
	return r
}

func pickedServer(t *testing.T, r *Router, now time.Duration) (string, Attempt) {
	t.Helper()
	a, ok := r.Pick(now, Query{Key: lace})
	if !ok {
		return "", a
	}
	return a.Server, a
}

// Guards against a server that keeps all attempts of a model, and against a
// limit that is not given back.
func TestLimitPerServer(t *testing.T) {
	r := pair(Options{Spill: 100, PerServer: 2})
	var first Attempt
	for i, want := range []string{"near", "near", "far", "far", ""} {
		got, a := pickedServer(t, r, 0)
		if got != want {
			t.Errorf("attempt %d goes to %q, want %q", i, got, want)
		}
		if i == 0 {
			first = a
		}
		r.Report("near", 1, uint64(i+1), 0) // a report must not reset the limit
	}
	r.Done(0, first, Neutral)
	if got, _ := pickedServer(t, r, 0); got != "near" {
		t.Errorf("attempt after the end of another goes to %q", got)
	}
}

// Guards against work for a stalled server, also after the index is rebuilt,
// and against a new process that inherits the stall.
func TestStalledServer(t *testing.T) {
	r := pair(Options{Spill: 100})
	if got, _ := pickedServer(t, r, 0); got != "near" {
		t.Fatalf("picked %q", got)
	}
	if !r.SetStalled("near", 1, true) || r.SetStalled("near", 1, true) || r.SetStalled("near", 2, true) {
		t.Error("wrong report of the change")
	}
	for range 2 {
		if got, _ := pickedServer(t, r, 0); got != "far" || r.Count(lace) != 1 || r.Stuck(lace) != 1 {
			t.Errorf("picked %q, %d open, %d stuck", got, r.Count(lace), r.Stuck(lace))
		}
		r.Rebuild([]Server{{Name: "near", DataCentre: "waco", Incarnation: 1}, {Name: "far", DataCentre: "bryan", Incarnation: 1}},
			[]Replica{{"near", lace}, {"far", lace}})
	}
	r.Rebuild([]Server{{Name: "near", DataCentre: "waco", Incarnation: 2}, {Name: "far", DataCentre: "bryan", Incarnation: 1}},
		[]Replica{{"near", lace}, {"far", lace}})
	if got, _ := pickedServer(t, r, 0); got != "near" || r.Count(lace) != 2 || r.Stuck(lace) != 0 {
		t.Errorf("after the restart: picked %q, %d open, %d stuck", got, r.Count(lace), r.Stuck(lace))
	}
}

// Guards against a slow or failing server that keeps its share of the work,
// against a demotion by a few slow answers, and against a demotion without end.
func TestDemotion(t *testing.T) {
	fast, slow := 100*time.Millisecond, 900*time.Millisecond
	cases := []struct {
		name    string
		answers []time.Duration // zero is a failed answer
		want    string
	}{
		{"fast", []time.Duration{fast, fast, fast, fast}, "near"},
		{"two slow in a row", []time.Duration{slow, slow}, "near"},
		{"three slow in a row", []time.Duration{slow, slow, slow}, "far"},
		{"slow now and then", []time.Duration{slow, slow, fast, slow, slow}, "near"},
		{"three failures", []time.Duration{0, 0, 0}, "far"},
		{"slow and failed", []time.Duration{slow, 0, slow}, "far"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := pair(Options{Spill: 100})
			for _, took := range append([]time.Duration{fast, fast, fast, fast, fast, fast}, c.answers...) {
				_, a := pickedServer(t, r, 0)
				if took == 0 {
					r.Failed(0, a)
				} else {
					a.began = -took
					r.Answered(0, a)
				}
				r.Done(0, a, Success)
			}
			got, a := pickedServer(t, r, 0)
			if got != c.want {
				t.Errorf("picked %q, want %q", got, c.want)
			}
			r.Done(0, a, Neutral)
			if got, _ := pickedServer(t, r, trialPause); got != "near" {
				t.Errorf("after the pause picked %q", got)
			}
			if got, _ := pickedServer(t, r, trialPause); got != c.want {
				t.Errorf("beside the trial picked %q, want %q", got, c.want)
			}
			r.SetStalled("far", 1, true)
			if got, _ := pickedServer(t, r, trialPause); got != "near" {
				t.Errorf("without another server picked %q", got)
			}
		})
	}
}

// Guards against a demotion that waits until slow answers are there.
func TestOverdueAttemptsDemote(t *testing.T) {
	r := pair(Options{Spill: 100})
	for range learnAnswers {
		_, a := pickedServer(t, r, 0)
		r.Answered(100*time.Millisecond, a)
		r.Done(100*time.Millisecond, a, Success)
	}
	var waiting []Attempt
	for range poorAnswers {
		_, a := pickedServer(t, r, time.Second)
		waiting = append(waiting, a)
	}
	if got, _ := pickedServer(t, r, time.Second+300*time.Millisecond); got != "near" {
		t.Errorf("before the attempts are overdue picked %q", got)
	}
	if got, _ := pickedServer(t, r, time.Second+400*time.Millisecond); got != "far" {
		t.Errorf("with overdue attempts picked %q", got)
	}
	r.Answered(time.Second+100*time.Millisecond, waiting[0])
	if got, _ := pickedServer(t, r, time.Second+400*time.Millisecond); got != "near" {
		t.Errorf("after an answer picked %q", got)
	}
}
