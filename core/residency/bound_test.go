package residency

import (
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
)

// TestModelIsLoadedForStreamsOfItsVersion guards against streams that break off because the servers of
// the software version that began them no longer hold the model, although one of them could load it in
// time, and against loads that help no stream.
func TestModelIsLoadedForStreamsOfItsVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		// oldHolds and oldOnDisk are the models of the old version's only server, and newHolds
		// those of the new version's.
		oldHolds, newHolds []HeldModel
		oldOnDisk          []string
		adapter, bound     string
		want               []Order
	}{
		{name: "the old version can load the model from disk", newHolds: models("a"), oldOnDisk: []string{"a"}, bound: "old", want: []Order{loadOnOld("")}},
		{name: "the old version would load it from the store", newHolds: models("a"), bound: "old"},
		{name: "the old version holds it", newHolds: models("a"), oldHolds: models("a"), bound: "old"},
		{name: "the streams may go on at the new version", newHolds: models("a"), oldOnDisk: []string{"a"}, bound: "new"},
		{name: "no stream waits", newHolds: models("a"), oldOnDisk: []string{"a"}},
		{
			name: "an idle model makes room", newHolds: models("a"), oldHolds: models("b", "c"), oldOnDisk: []string{"a"}, bound: "old",
			want: []Order{{Server: "old", Target: Target{Model: "b"}}, loadOnOld("")},
		},
		{name: "the adapter is on the new version only", newHolds: withAdapter("a"), oldHolds: models("a"), adapter: "a1", bound: "old", want: []Order{loadOnOld("a1")}},
		{
			name: "model and adapter are on the new version only", newHolds: withAdapter("a"), oldOnDisk: []string{"a"}, adapter: "a1", bound: "old",
			want: []Order{loadOnOld(""), loadOnOld("a1")},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := testEngine()
			f := newFixture(&e, map[string][]HeldModel{"old": c.oldHolds, "new": c.newHolds})
			for i, s := range f.in.Servers {
				f.in.Servers[i].SoftwareVersion = s.Name
				if s.Name == "old" {
					f.in.Servers[i].OnDisk = c.oldOnDisk
				}
			}
			d := Demand{Host: "h", Target: Target{Model: "a", Adapter: c.adapter}, Waiting: 1, Arrivals: 5, EarliestExpiry: time.Minute}
			if c.bound != "" {
				d.Bound = []origin.BoundDemand{{Version: c.bound, Waiting: 1}}
			}
			var got []Order
			for range 40 {
				d.Arrivals++
				for _, o := range f.step(100*time.Millisecond, d) {
					f.planner.RecordResult(f.in.Now, o, Accepted)
					f.carryOut(o)
					// After an unload for the streams, the load may be the server's ordinary one.
					forStreams := o.Reason.BoundVersion != "" || o.Adapter != "" || len(got) > 0 && o.Model == "a" && o.Load
					if o.Server == "old" && forStreams {
						got = append(got, Order{Server: o.Server, Load: o.Load, Target: o.Target})
					}
				}
			}
			if len(got) != len(c.want) {
				t.Fatalf("orders to the old server %+v, want %+v", got, c.want)
			}
			for i := range got {
				if got[i].Server != c.want[i].Server || got[i].Load != c.want[i].Load || got[i].Target != c.want[i].Target {
					t.Errorf("order %d is %+v, want %+v", i, got[i], c.want[i])
				}
			}
		})
	}
}

func models(names ...string) []HeldModel {
	var out []HeldModel
	for _, n := range names {
		out = append(out, HeldModel{Model: n})
	}
	return out
}

func withAdapter(model string) []HeldModel {
	return []HeldModel{{Model: model, Adapters: []string{"a1"}}}
}

func loadOnOld(adapter string) Order {
	return Order{Server: "old", Load: true, Target: Target{Model: "a", Adapter: adapter}}
}

// carryOut applies an order to what its server holds, which its next report and announcement show.
func (f *fixture) carryOut(o Order) {
	held := f.held[o.Server]
	var out []HeldModel
	for _, h := range held {
		switch {
		case h.Model == o.Model && o.Adapter == "" && !o.Load:
			continue
		case h.Model == o.Model && o.Adapter != "" && o.Load:
			h.Adapters = append(h.Adapters, o.Adapter)
		}
		out = append(out, h)
	}
	if o.Load && o.Adapter == "" {
		out = append(out, HeldModel{Model: o.Model})
	}
	f.held[o.Server] = out
	for i := range f.in.Servers {
		if s := &f.in.Servers[i]; s.Name == o.Server {
			s.Models, s.Sequence = out, s.Sequence+1
		}
	}
}
