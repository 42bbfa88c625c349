package residency

import (
	"slices"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// limitedFixture returns a fixture of servers that hold one model each. The server "limited"
// names a limit.
func limitedFixture(perSecond float64, servers map[string][]HeldModel) *fixture {
	e := testEngine()
	e.MemoryMiB = 100
	e.Models = slices.DeleteFunc(e.Models, func(m route.Model) bool { return m.Name == "c" })
	f := newFixture(&e, servers)
	for i := range f.in.Servers {
		if f.in.Servers[i].Name == "limited" {
			f.in.Servers[i].Limited, f.in.Servers[i].RequestsPerSecond = true, perSecond
		}
	}
	return f
}

// ordersAtRate returns the servers that get orders for the sake of the model a while one
// request for it arrives in each second. It calls before before each step.
func (f *fixture) ordersAtRate(before func(step int)) map[string]bool {
	const model = "a"
	out := map[string]bool{}
	d := Demand{Host: "h", Target: Target{Model: model}}
	for step := range 60 {
		before(step)
		if step%10 == 0 {
			d.Arrivals++
		}
		for _, o := range f.step(100*time.Millisecond, d) {
			if o.Reason.LoadModel == model {
				out[o.Server] = true
			}
		}
	}
	return out
}

// TestModelBeyondTheLimitOfItsServerIsLoadedElsewhere guards against a busy model whose only
// replica is on a server that takes hardly any requests.
func TestModelBeyondTheLimitOfItsServerIsLoadedElsewhere(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		onDisk    bool
		want      bool
	}{
		{"limit far below the demand", 0.2, false, true},
		{"limit of zero", 0, false, true},
		{"limit above the demand", 50, false, false},
		{"the limited server has the weights on disk", 0.2, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := limitedFixture(c.perSecond, map[string][]HeldModel{"limited": {{Model: "a"}}, "other": {{Model: "b"}}})
			for i := range f.in.Servers {
				if f.in.Servers[i].Name == "limited" && c.onDisk {
					f.in.Servers[i].OnDisk = []string{"a"}
				}
			}
			if got := f.ordersAtRate(func(int) {})["other"]; got != c.want {
				t.Errorf("the other server got an order for model a: %t, want %t", got, c.want)
			}
		})
	}
}

// TestLoadOnALimitedServerDoesNotDelayAnother guards against a busy model that waits for a load on
// a server which names a limit meanwhile, although another server could serve it.
func TestLoadOnALimitedServerDoesNotDelayAnother(t *testing.T) {
	f := limitedFixture(0.2, map[string][]HeldModel{"limited": nil, "other": {{Model: "b"}}})
	limit := func(limited, otherSilent bool) {
		for i := range f.in.Servers {
			s := &f.in.Servers[i]
			s.Limited, s.Silent = limited && s.Name == "limited", otherSilent && s.Name == "other"
		}
	}
	d := Demand{Host: "h", Target: Target{Model: "a"}, Waiting: 1, EarliestExpiry: time.Minute}
	// The load from the store takes 6 s; the limit comes after 2 s.
	for step := range 40 {
		limit(step >= 20, step < 20)
		d.Arrivals++
		for _, o := range f.step(100*time.Millisecond, d) {
			f.planner.RecordResult(f.in.Now, o, Accepted)
			if o.Server == "other" && o.Reason.LoadModel == "a" {
				return
			}
		}
	}
	t.Error("no order on the other server for the sake of model a within 2 s of the limit")
}

// TestBusyModelIsNotLoadedOnALimitedServer guards against a server with few requests because
// of its limit that is taken for an idle one.
func TestBusyModelIsNotLoadedOnALimitedServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		limited bool
		want    bool
	}{{"with a limit", true, false}, {"without a limit", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			f := limitedFixture(0.2, map[string][]HeldModel{"limited": {{Model: "b"}}})
			orders := f.ordersAtRate(func(step int) {
				f.in.Servers[0].Limited = c.limited
				// The server comes once the rate of the requests is known.
				f.in.Servers[0].Silent = step < 20
			})
			if orders["limited"] != c.want {
				t.Errorf("the server that takes 0.2 requests a second got an order for model a: %t, want %t", orders["limited"], c.want)
			}
		})
	}
}

// TestModelIsServedAgainWhereALimitEnds guards against replicas that are left out of account
// after the limit of their server has ended.
func TestModelIsServedAgainWhereALimitEnds(t *testing.T) {
	f := limitedFixture(0, map[string][]HeldModel{"limited": {{Model: "a"}}})
	f.ordersAtRate(func(int) {})
	for i := range f.in.Servers {
		f.in.Servers[i].Limited = false
	}
	f.step(100 * time.Millisecond)
	if got := f.planner.replicas("a").ready; got != 1 {
		t.Errorf("model a has %d counted replicas after the end of the limit, want 1", got)
	}
}

// TestWeightsOnALimitedServerDoNotDelayALoad guards against a load from the store that waits
// for a server that has the weights and may not serve the model.
func TestWeightsOnALimitedServerDoNotDelayALoad(t *testing.T) {
	f := limitedFixture(0.2, map[string][]HeldModel{"limited": {{Model: "b"}}, "other": nil})
	for i := range f.in.Servers {
		if f.in.Servers[i].Name == "limited" {
			f.in.Servers[i].OnDisk = []string{"a"}
		}
	}
	orders := f.ordersAtRate(func(step int) {
		for i := range f.in.Servers {
			// The servers come once the rate of the requests is known.
			f.in.Servers[i].Silent = step < 20
		}
	})
	if !orders["other"] {
		t.Error("no order for the sake of model a, which no server holds")
	}
}
