package residency

import (
	"fmt"
	"testing"
	"time"
)

// playLoadCrashes plays servers that end a second after they begin to load a model, until its
// weights are mended. It returns how many processes ended, how many loads of other models
// began, and when the model was first loaded after that.
func playLoadCrashes(t *testing.T, mended time.Duration) (ended, otherLoads int, loadedAt time.Duration) {
	t.Helper()
	const broken = "a"
	e := testEngine()
	servers := map[string][]HeldModel{}
	for i := range 6 {
		servers[fmt.Sprint("s", i)] = nil
	}
	f := newFixture(&e, servers)
	demand := []Demand{{Host: "h", Target: Target{Model: broken}}, {Host: "h", Target: Target{Model: "b"}}}
	ends := map[string]time.Duration{}
	for f.in.Now < 5*time.Minute {
		for i := range demand {
			demand[i].Arrivals++
			demand[i].Waiting, demand[i].EarliestExpiry = 1, f.in.Now+10*time.Second
		}
		for _, o := range f.step(100*time.Millisecond, demand...) {
			f.planner.RecordResult(f.in.Now, o, Accepted)
			switch {
			case o.Load && o.Model == broken && f.in.Now < mended:
				ends[o.Server] = f.in.Now + time.Second
			case o.Load && o.Model == broken && loadedAt == 0:
				loadedAt = f.in.Now
			case o.Load:
				otherLoads++
			}
		}
		for i := range f.in.Servers {
			s := &f.in.Servers[i]
			if at, ok := ends[s.Name]; ok && f.in.Now >= at {
				delete(ends, s.Name)
				s.Incarnation++
				s.Sequence = 1
				ended++
			}
		}
	}
	return ended, otherLoads, loadedAt
}

// TestModelWhoseLoadCrashesServersIsHeldBack guards against a model with damaged weights that
// ends one server after another while it is loaded, and with them all requests there.
func TestModelWhoseLoadCrashesServersIsHeldBack(t *testing.T) {
	const fiveMinutes = 5 * time.Minute
	ended, others, _ := playLoadCrashes(t, fiveMinutes)
	// Holds of 30, 60, 120 and 240 s allow four attempts more in five minutes.
	if ended > maxLoadCrashes+4 || ended < maxLoadCrashes {
		t.Errorf("%d servers ended while they loaded the model in five minutes, want %d to %d", ended, maxLoadCrashes, maxLoadCrashes+4)
	}
	if others == 0 {
		t.Error("no other model was loaded")
	}
	ended, _, loadedAt := playLoadCrashes(t, 10*time.Second)
	if loadedAt == 0 || loadedAt > 10*time.Second+2*firstLoadHold {
		t.Errorf("the model was loaded at %s after %d ends, want soon after its weights are mended at 10 s", loadedAt, ended)
	}
}

// TestProcessEndsBetweenLoadsHoldNothingBack guards against a sound model that is held back
// because processes ended long before or after its loads, or while they left as planned.
func TestProcessEndsBetweenLoadsHoldNothingBack(t *testing.T) {
	for _, c := range []struct {
		name    string
		phase   Phase
		leaving bool
		held    bool
	}{
		{"loading", Loading, false, true},
		{"loading on a server that leaves", Loading, true, false},
		{"loaded", Ready, false, false},
		{"being unloaded", Unloading, false, false},
	} {
		p := New()
		for range maxLoadCrashes {
			p.recordProcessEnd(time.Second, &server{Server: Server{Leaving: c.leaving}, models: map[string]*holding{"a": {phase: c.phase}}})
		}
		if got := !p.mayBeLoaded(2*time.Second, "a"); got != c.held {
			t.Errorf("%s: held back %t, want %t", c.name, got, c.held)
		}
		p.forgetLoadCrashes([]LoadEnd{{Model: "a"}})
		if !p.mayBeLoaded(2*time.Second, "a") {
			t.Errorf("%s: held back after a complete load", c.name)
		}
	}
}
