package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

var laceKey = Key{Service: "lace-assist", Model: "lace"}

// newTwoServerRouter returns a router for a model that is ready on a local
// server (near) and on a server of another data centre (far).
func newTwoServerRouter(opts Options) *Router {
	opts.DataCentre = "waco"
	r := New(opts, rand.New(rand.NewPCG(1, 1)))
	r.Rebuild([]Server{{Name: "near", DataCentre: "waco", Incarnation: 1}, {Name: "far", DataCentre: "bryan", Incarnation: 1}},
		[]Replica{{"near", laceKey}, {"far", laceKey}})
	return r
}

func pickServer(t *testing.T, r *Router, now time.Duration) (string, Attempt) {
	t.Helper()
	a, ok := r.Pick(now, Query{Key: laceKey})
	if !ok {
		return "", a
	}
	return a.Server, a
}

// TestLimitPerServer guards against one server receiving all attempts for a
// model, and against an attempt that still counts towards the limit after it has
// ended.
func TestLimitPerServer(t *testing.T) {
	r := newTwoServerRouter(Options{RemoteLoadThreshold: 100, MaxAttemptsPerServer: 2})
	var first Attempt
	for i, want := range []string{"near", "near", "far", "far", ""} {
		got, a := pickServer(t, r, 0)
		if got != want {
			t.Errorf("attempt %d goes to %q, want %q", i, got, want)
		}
		if i == 0 {
			first = a
		}
		r.RecordLoad("near", 1, uint64(i+1), 0) // a load report must not reset the count
	}
	r.EndAttempt(0, first, Neutral)
	if got, _ := pickServer(t, r, 0); got != "near" {
		t.Errorf("after an attempt on near has ended, the next goes to %q, want near", got)
	}
}

// TestStalledServerGetsNoAttempts guards against new attempts on a stalled
// server, also after the index is rebuilt, and against a restarted process that
// is still treated as stalled.
func TestStalledServerGetsNoAttempts(t *testing.T) {
	r := newTwoServerRouter(Options{RemoteLoadThreshold: 100})
	if got, _ := pickServer(t, r, 0); got != "near" {
		t.Fatalf("before the stall picked %q, want near", got)
	}
	if !r.SetStalled("near", 1, true) || r.SetStalled("near", 1, true) || r.SetStalled("near", 2, true) {
		t.Error("SetStalled must report true for the first change only, and false for an unchanged state or another incarnation")
	}
	for range 2 {
		if got, _ := pickServer(t, r, 0); got != "far" || r.AvailableServers(laceKey) != 1 || r.AttemptsOnUnavailable(laceKey) != 1 {
			t.Errorf("while near is stalled: picked %q, %d servers available, %d attempts on unavailable servers; want far, 1 and 1", got, r.AvailableServers(laceKey), r.AttemptsOnUnavailable(laceKey))
		}
		r.Rebuild([]Server{{Name: "near", DataCentre: "waco", Incarnation: 1}, {Name: "far", DataCentre: "bryan", Incarnation: 1}},
			[]Replica{{"near", laceKey}, {"far", laceKey}})
	}
	r.Rebuild([]Server{{Name: "near", DataCentre: "waco", Incarnation: 2}, {Name: "far", DataCentre: "bryan", Incarnation: 1}},
		[]Replica{{"near", laceKey}, {"far", laceKey}})
	if got, _ := pickServer(t, r, 0); got != "near" || r.AvailableServers(laceKey) != 2 || r.AttemptsOnUnavailable(laceKey) != 0 {
		t.Errorf("after the restart: picked %q, %d servers available, %d attempts on unavailable servers; want near, 2 and 0", got, r.AvailableServers(laceKey), r.AttemptsOnUnavailable(laceKey))
	}
}

// TestDemotion guards against a slow or failing server that keeps its share of
// the attempts, against demotion after only a few slow answers, and against a
// demotion that never ends.
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
		{"slow but interrupted by a fast one", []time.Duration{slow, slow, fast, slow, slow}, "near"},
		{"three failures", []time.Duration{0, 0, 0}, "far"},
		{"slow and failed", []time.Duration{slow, 0, slow}, "far"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTwoServerRouter(Options{RemoteLoadThreshold: 100})
			for _, took := range append([]time.Duration{fast, fast, fast, fast, fast, fast}, c.answers...) {
				_, a := pickServer(t, r, 0)
				if took == 0 {
					r.RecordFailedAnswer(0, a)
				} else {
					a.startedAt = -took
					r.RecordAnswer(0, a)
				}
				r.EndAttempt(0, a, Success)
			}
			got, a := pickServer(t, r, 0)
			if got != c.want {
				t.Errorf("picked %q, want %q", got, c.want)
			}
			r.EndAttempt(0, a, Neutral)
			if got, _ := pickServer(t, r, initialDemotionPause); got != "near" {
				t.Errorf("after the pause picked %q, want near", got)
			}
			if got, _ := pickServer(t, r, initialDemotionPause); got != c.want {
				t.Errorf("while the first attempt after the pause is in progress picked %q, want %q", got, c.want)
			}
			r.SetStalled("far", 1, true)
			if got, _ := pickServer(t, r, initialDemotionPause); got != "near" {
				t.Errorf("with the other server stalled picked %q, want near", got)
			}
		})
	}
}

// TestOverdueAttemptsDemote guards against a demotion that happens only once the
// slow answers have begun: attempts whose answer is overdue must count before.
func TestOverdueAttemptsDemote(t *testing.T) {
	r := newTwoServerRouter(Options{RemoteLoadThreshold: 100})
	for range minMeanAnswers {
		_, a := pickServer(t, r, 0)
		r.RecordAnswer(100*time.Millisecond, a)
		r.EndAttempt(100*time.Millisecond, a, Success)
	}
	var pending []Attempt
	for range demotionThreshold {
		_, a := pickServer(t, r, time.Second)
		pending = append(pending, a)
	}
	if got, _ := pickServer(t, r, time.Second+300*time.Millisecond); got != "near" {
		t.Errorf("before the attempts are overdue picked %q, want near", got)
	}
	if got, _ := pickServer(t, r, time.Second+400*time.Millisecond); got != "far" {
		t.Errorf("with overdue attempts picked %q, want far", got)
	}
	r.RecordAnswer(time.Second+100*time.Millisecond, pending[0])
	if got, _ := pickServer(t, r, time.Second+400*time.Millisecond); got != "near" {
		t.Errorf("after an answer picked %q, want near", got)
	}
}
