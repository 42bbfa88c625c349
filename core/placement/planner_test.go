package placement

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

const gibInMiB = 1024

// fixture is a small deployment with models a, b and c of 40 GiB on servers of
// 100 GiB.
type fixture struct {
	t       *testing.T
	state   *state.State
	servers []membership.ServerStatus
	demand  []Demand
	now     time.Duration
}

func newFixture(t *testing.T, servers int, edit func(*config.Configuration)) *fixture {
	c := config.Configuration{Deployment: config.Deployment{ColdStartWeight: 1, IdleHourWeight: 1}}
	for _, name := range []string{"a", "b", "c"} {
		c.Models = append(c.Models, config.Model{Name: name, Service: "s", Version: "1", MemoryMiB: 40 * gibInMiB, MaxReplicas: 2})
		c.Adapters = append(c.Adapters, config.Adapter{Name: name + "-x", Model: name, Version: "1", MemoryMiB: 10 * gibInMiB})
	}
	if edit != nil {
		edit(&c)
	}
	f := &fixture{t: t, state: state.New(), now: time.Hour}
	f.apply(state.Command{Configure: &state.Configure{ChangeID: "first", Next: c}})
	for i := range servers {
		srv := membership.Server{Name: fmt.Sprintf("s%d", i), Service: "s", DataCentre: fmt.Sprint(i), Incarnation: 1, MemoryMiB: 100 * gibInMiB, Accelerators: 1}
		f.servers = append(f.servers, membership.ServerStatus{Server: srv})
		f.registerServer(i)
	}
	return f
}

func (f *fixture) registerServer(i int) {
	status := f.servers[i]
	f.apply(state.Command{Register: &state.Register{Server: status.Name, Service: "s", Incarnation: 1, MemoryMiB: status.MemoryMiB, DataCentre: status.DataCentre, ChecksFencing: true}})
}

func (f *fixture) apply(c state.Command) {
	f.t.Helper()
	if err := f.state.Apply(f.state.Index+1, c).Err(); err != nil {
		f.t.Fatal(err)
	}
}

// placeReady places a model, or an adapter if adapter is set, on a server and
// closes the intent, so that it is ready.
func (f *fixture) placeReady(server, model, adapter string) {
	f.t.Helper()
	f.apply(state.Command{Load: &state.Load{Server: server, Incarnation: 1, Model: model, Adapter: adapter}})
	f.apply(state.Command{CloseIntent: &state.CloseIntent{Server: server, Incarnation: 1, Model: model, Adapter: adapter, Fence: f.state.Index, Loaded: true}})
}

// planAndApply computes one plan, applies its decisions to the state and returns
// them as text.
func (f *fixture) planAndApply(p *Planner) []string {
	f.t.Helper()
	f.now += 2 * time.Second
	var out []string
	for _, d := range p.Plan(Input{Now: f.now, State: f.state, Servers: f.servers, Demand: f.demand}) {
		f.apply(state.Command{Load: d.Load, Unload: d.Unload})
		if d.Load != nil {
			out = append(out, "load "+d.Load.Server+" "+d.Load.Model+d.Load.Adapter)
		} else {
			out = append(out, "unload "+d.Unload.Server+" "+d.Unload.Model+d.Unload.Adapter)
		}
	}
	return out
}

// TestPlan guards against plans that load or unload the wrong target or use the
// wrong server.
func TestPlan(t *testing.T) {
	waiting := func(models ...string) (out []Demand) {
		for _, m := range models {
			out = append(out, Demand{Model: m, Waiting: 1})
		}
		return out
	}
	cases := []struct {
		name    string
		servers int
		config  func(*config.Configuration)
		setup   func(*fixture)
		want    []string
	}{
		{"a server with the checkpoint on disk is chosen first", 2, nil, func(f *fixture) {
			f.servers[1].Cached = []membership.Checkpoint{{Model: "a", Version: "1", Tier: membership.TierDisk}}
			f.demand = waiting("a")
		}, []string{"load s1 a"}},
		{"silent and leaving servers get no load", 3, nil, func(f *fixture) {
			f.servers[0].Silent, f.servers[1].Leaving = true, true
			f.demand = waiting("a")
		}, []string{"load s2 a"}},
		{"the model of the most urgent requests is loaded first at the store's limit", 3, func(c *config.Configuration) { c.Deployment.StoreConcurrency = 1 }, func(f *fixture) {
			f.demand = waiting("a", "b")
			f.demand[0].Classes[Patient], f.demand[1].Classes[Interactive] = ClassDemand{Waiting: 1}, ClassDemand{Waiting: 1}
		}, []string{"load s0 b"}},
		{"the model of a patient request near its deadline is loaded first", 3, func(c *config.Configuration) { c.Deployment.StoreConcurrency = 1 }, func(f *fixture) {
			f.demand = waiting("a", "b")
			f.demand[0].Classes[Patient], f.demand[1].Classes[Interactive] = ClassDemand{1, f.now + 45*time.Second}, ClassDemand{Waiting: 1}
		}, []string{"load s0 a"}},
		{"an idle adapter is evicted before an idle model", 1, nil, func(f *fixture) {
			f.placeReady("s0", "a", "")
			f.placeReady("s0", "b", "")
			f.placeReady("s0", "a", "a-x")
			f.demand = append(waiting("b"), Demand{Model: "b", Adapter: "b-x", Waiting: 1}, Demand{Model: "a", Running: 1})
			f.state.Servers["s0"] = withoutFreeMemory(f.state.Servers["s0"])
		}, []string{"unload s0 aa-x"}},
		{"the adapters of a model are unloaded before the model", 1, nil, func(f *fixture) {
			f.placeReady("s0", "a", "")
			f.placeReady("s0", "a", "a-x")
			f.placeReady("s0", "b", "")
			f.demand = append(waiting("c"), Demand{Model: "b", Running: 1})
		}, []string{"unload s0 aa-x"}},
		{"a pinned model is loaded without demand", 1, func(c *config.Configuration) { c.Models[2].PinnedReplicas = 1 }, nil, []string{"load s0 c"}},
		{"a pinned model is not evicted", 1, func(c *config.Configuration) { c.Models[0].PinnedReplicas = 1 }, func(f *fixture) {
			f.placeReady("s0", "a", "")
			f.placeReady("s0", "b", "")
			f.demand = waiting("c")
		}, []string{"unload s0 b"}},
		{"a lowered replica limit unloads the idle replica", 2, nil, func(f *fixture) {
			f.placeReady("s0", "a", "")
			f.placeReady("s1", "a", "")
			f.demand = []Demand{{Model: "a", Running: 1, RunningOn: map[string]int{"s0": 1}}}
			c := f.state.Config
			c.Models = slices.Clone(c.Models)
			c.Models[0].MaxReplicas = 1
			f.apply(state.Command{Configure: &state.Configure{ChangeID: "limit", Expected: 1, Next: c}})
		}, []string{"unload s1 a"}},
		{"a busy old version is replaced before it is unloaded", 2, nil, func(f *fixture) {
			f.placeReady("s0", "a", "")
			f.demand = []Demand{{Model: "a", Running: 1}}
			f.configureNewVersion()
		}, []string{"load s1 a"}},
		{"an idle old version is unloaded", 2, nil, func(f *fixture) {
			f.placeReady("s0", "a", "")
			f.configureNewVersion()
		}, []string{"unload s0 a"}},
		{"unattributed running requests protect the server's models", 2, nil, func(f *fixture) {
			f.placeReady("s0", "a", "")
			f.placeReady("s0", "b", "")
			f.servers[0].Load.Running, f.servers[1].Leaving = 1, true
			f.demand = waiting("c")
		}, nil},
		{"a server that holds a target without a placement gets no load", 1, nil, func(f *fixture) {
			f.apply(state.Command{MarkLost: &state.MarkLost{Server: "s0", Incarnation: 1}})
			f.registerServer(0)
			f.servers[0].Models = []membership.ModelReport{{Model: "b", Phase: membership.ReportReady}, {Model: "b", Adapter: "b-x", Phase: membership.ReportReady}}
			f.demand = waiting("a")
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.servers, c.config)
			p := New()
			p.storeLimiter.configure(0, 3)
			if c.setup != nil {
				c.setup(f)
			}
			if got := f.planAndApply(p); !reflect.DeepEqual(got, c.want) {
				t.Errorf("decisions: got %q, want %q", got, c.want)
			}
		})
	}
}

// withoutFreeMemory reduces the memory so that only the placed models and one
// adapter fit.
func withoutFreeMemory(s state.Server) state.Server {
	s.MemoryMiB = 95 * gibInMiB
	return s
}

func (f *fixture) configureNewVersion() {
	c := f.state.Config
	c.Models = slices.Clone(c.Models)
	c.Models[0].Version = "2"
	f.apply(state.Command{Configure: &state.Configure{ChangeID: "version", Expected: 1, Next: c}})
}

// TestSlowStoreLowersConcurrency guards against a slow store that is detected too
// late: two slow loads must raise the estimate and lower the concurrency, and two
// fast ones must restore the concurrency.
func TestSlowStoreLowersConcurrency(t *testing.T) {
	p := New()
	for range 10 {
		p.loads.Observe(membership.TierStore, 10*gibInMiB, 10*time.Second)
	}
	before := p.loads.Estimate(membership.TierStore, 10*gibInMiB, 0.5)
	for range 2 {
		p.loads.Observe(membership.TierStore, 10*gibInMiB, 40*time.Second)
	}
	after := p.loads.Estimate(membership.TierStore, 10*gibInMiB, 0.5)
	if after < 3*before || p.storeConcurrency(config.Deployment{}) != 1 {
		t.Errorf("after two slow loads: estimate %v (before: %v, want at least 3 times as long), concurrency %d, want 1", after, before, p.storeConcurrency(config.Deployment{}))
	}
	for range 2 {
		p.loads.Observe(membership.TierStore, 10*gibInMiB, 10*time.Second)
	}
	if n := p.storeConcurrency(config.Deployment{}); n != 4 {
		t.Errorf("after recovery: concurrency %d, want 4", n)
	}
}

// TestLearnedSurvivesSnapshot guards against learned values that are lost or changed
// by export, JSON encoding and import.
func TestLearnedSurvivesSnapshot(t *testing.T) {
	p := New()
	p.loads.Observe(membership.TierDisk, 10*gibInMiB, 3*time.Second)
	h := p.arrivals.historyOf(Target{Model: "a"})
	h.addGap(time.Minute, 0)
	h.startSeen = true
	h.closeSlot(4 * 288)
	p.arrivals.targets[Target{Model: "a"}] = &activity{history: h, lastActive: time.Minute}
	first := p.Export(2*time.Minute, 600_000)
	data, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	var read Learned
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	q := New()
	q.Import(read)
	if second := q.Export(0, 0); !reflect.DeepEqual(first, second) {
		t.Errorf("export after an import: got %+v, want %+v", second, first)
	}
}
