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

const gib = 1024

// scene is a small deployment with models a, b and c of 40 GiB on servers of
// 100 GiB.
type scene struct {
	t       *testing.T
	st      *state.State
	servers []membership.Presence
	demand  []Demand
	now     time.Duration
}

func newScene(t *testing.T, servers int, edit func(*config.Configuration)) *scene {
	c := config.Configuration{Deployment: config.Deployment{ColdStartWeight: 1, IdleHourWeight: 1}}
	for _, name := range []string{"a", "b", "c"} {
		c.Models = append(c.Models, config.Model{Name: name, Service: "s", Version: "1", MemoryMiB: 40 * gib, MaxReplicas: 2})
		c.Adapters = append(c.Adapters, config.Adapter{Name: name + "-x", Model: name, Version: "1", MemoryMiB: 10 * gib})
	}
	if edit != nil {
		edit(&c)
	}
	s := &scene{t: t, st: state.New(), now: time.Hour}
	s.do(state.Command{Configure: &state.Configure{ChangeID: "first", Next: c}})
	for i := range servers {
		srv := membership.Server{Name: fmt.Sprintf("s%d", i), Service: "s", DataCentre: fmt.Sprint(i), Incarnation: 1, MemoryMiB: 100 * gib, Accelerators: 1}
		s.servers = append(s.servers, membership.Presence{Server: srv})
		s.register(i)
	}
	return s
}

func (s *scene) register(i int) {
	x := s.servers[i]
	s.do(state.Command{Register: &state.Register{Server: x.Name, Service: "s", Incarnation: 1, MemoryMiB: x.MemoryMiB, DataCentre: x.DataCentre, ChecksFencing: true}})
}

func (s *scene) do(c state.Command) {
	s.t.Helper()
	if err := s.st.Apply(s.st.Index+1, c).Err(); err != nil {
		s.t.Fatal(err)
	}
}

// ready places what is written as server/model or server/model/adapter.
func (s *scene) ready(server, model, adapter string) {
	s.t.Helper()
	s.do(state.Command{Load: &state.Load{Server: server, Incarnation: 1, Model: model, Adapter: adapter}})
	s.do(state.Command{Settle: &state.Settle{Server: server, Incarnation: 1, Model: model, Adapter: adapter, Fence: s.st.Index, Loaded: true}})
}

// plan returns the decisions as words, after applying them.
func (s *scene) plan(p *Planner) []string {
	s.t.Helper()
	s.now += 2 * time.Second
	var out []string
	for _, d := range p.Plan(Input{Now: s.now, State: s.st, Servers: s.servers, Demand: s.demand}) {
		s.do(state.Command{Load: d.Load, Unload: d.Unload})
		if d.Load != nil {
			out = append(out, "load "+d.Load.Server+" "+d.Load.Model+d.Load.Adapter)
		} else {
			out = append(out, "unload "+d.Unload.Server+" "+d.Unload.Model+d.Unload.Adapter)
		}
	}
	return out
}

// TestPlan guards the choice of what is loaded and unloaded where.
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
		given   func(*scene)
		want    []string
	}{
		{"checkpoint on disk before the store", 2, nil, func(s *scene) {
			s.servers[1].Cached = []membership.Checkpoint{{Model: "a", Version: "1", Tier: membership.TierDisk}}
			s.demand = waiting("a")
		}, []string{"load s1 a"}},
		{"silent and leaving servers get nothing", 3, nil, func(s *scene) {
			s.servers[0].Silent, s.servers[1].Leaving = true, true
			s.demand = waiting("a")
		}, []string{"load s2 a"}},
		{"urgent requests go first at the store's limit", 3, func(c *config.Configuration) { c.Deployment.StoreConcurrency = 1 }, func(s *scene) {
			s.demand = waiting("a", "b")
			s.demand[0].Classes[Patient], s.demand[1].Classes[Interactive] = ClassDemand{Waiting: 1}, ClassDemand{Waiting: 1}
		}, []string{"load s0 b"}},
		{"a patient request near its deadline goes first", 3, func(c *config.Configuration) { c.Deployment.StoreConcurrency = 1 }, func(s *scene) {
			s.demand = waiting("a", "b")
			s.demand[0].Classes[Patient], s.demand[1].Classes[Interactive] = ClassDemand{1, s.now + 45*time.Second}, ClassDemand{Waiting: 1}
		}, []string{"load s0 a"}},
		{"an idle adapter goes before an idle model", 1, nil, func(s *scene) {
			s.ready("s0", "a", "")
			s.ready("s0", "b", "")
			s.ready("s0", "a", "a-x")
			s.demand = append(waiting("b"), Demand{Model: "b", Adapter: "b-x", Waiting: 1}, Demand{Model: "a", Running: 1})
			s.st.Servers["s0"] = smaller(s.st.Servers["s0"])
		}, []string{"unload s0 aa-x"}},
		{"a model with adapters loses them first", 1, nil, func(s *scene) {
			s.ready("s0", "a", "")
			s.ready("s0", "a", "a-x")
			s.ready("s0", "b", "")
			s.demand = append(waiting("c"), Demand{Model: "b", Running: 1})
		}, []string{"unload s0 aa-x"}},
		{"a pinned model is loaded without demand", 1, func(c *config.Configuration) { c.Models[2].PinnedReplicas = 1 }, nil, []string{"load s0 c"}},
		{"a pinned model is no victim", 1, func(c *config.Configuration) { c.Models[0].PinnedReplicas = 1 }, func(s *scene) {
			s.ready("s0", "a", "")
			s.ready("s0", "b", "")
			s.demand = waiting("c")
		}, []string{"unload s0 b"}},
		{"a lowered limit takes the idle replica", 2, nil, func(s *scene) {
			s.ready("s0", "a", "")
			s.ready("s1", "a", "")
			s.demand = []Demand{{Model: "a", Running: 1, RunningOn: map[string]int{"s0": 1}}}
			c := s.st.Config
			c.Models = slices.Clone(c.Models)
			c.Models[0].MaxReplicas = 1
			s.do(state.Command{Configure: &state.Configure{ChangeID: "limit", Expected: 1, Next: c}})
		}, []string{"unload s1 a"}},
		{"a busy old version is replaced before it is unloaded", 2, nil, func(s *scene) {
			s.ready("s0", "a", "")
			s.demand = []Demand{{Model: "a", Running: 1}}
			s.newVersion()
		}, []string{"load s1 a"}},
		{"an idle old version is unloaded", 2, nil, func(s *scene) {
			s.ready("s0", "a", "")
			s.newVersion()
		}, []string{"unload s0 a"}},
		{"running requests without demand protect the server's models", 2, nil, func(s *scene) {
			s.ready("s0", "a", "")
			s.ready("s0", "b", "")
			s.servers[0].Load.Running, s.servers[1].Leaving = 1, true
			s.demand = waiting("c")
		}, nil},
		{"a server that holds what no placement accounts for gets no load", 1, nil, func(s *scene) {
			s.do(state.Command{Lose: &state.Lose{Server: "s0", Incarnation: 1}})
			s.register(0)
			s.servers[0].Models = []membership.Report{{Model: "b", Phase: membership.ReportReady}, {Model: "b", Adapter: "b-x", Phase: membership.ReportReady}}
			s.demand = waiting("a")
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(t, c.servers, c.config)
			p := New()
			p.store.configure(0, 3)
			if c.given != nil {
				c.given(s)
			}
			if got := s.plan(p); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// smaller leaves no free memory beyond the placed models and one adapter.
func smaller(s state.Server) state.Server {
	s.MemoryMiB = 95 * gib
	return s
}

func (s *scene) newVersion() {
	c := s.st.Config
	c.Models = slices.Clone(c.Models)
	c.Models[0].Version = "2"
	s.do(state.Command{Configure: &state.Configure{ChangeID: "version", Expected: 1, Next: c}})
}

// TestSlowStore guards against a slow store that is noticed too late: two slow
// loads must raise the estimate and lower the concurrency, and fast ones must
// restore both.
func TestSlowStore(t *testing.T) {
	p := New()
	for range 10 {
		p.loads.Observe(membership.TierStore, 10*gib, 10*time.Second)
	}
	before := p.loads.Estimate(membership.TierStore, 10*gib, 0.5)
	for range 2 {
		p.loads.Observe(membership.TierStore, 10*gib, 40*time.Second)
	}
	after := p.loads.Estimate(membership.TierStore, 10*gib, 0.5)
	if after < 3*before || p.storeConcurrency(config.Deployment{}) != 1 {
		t.Errorf("after two slow loads: estimate %v (before %v), concurrency %d", after, before, p.storeConcurrency(config.Deployment{}))
	}
	for range 2 {
		p.loads.Observe(membership.TierStore, 10*gib, 10*time.Second)
	}
	if n := p.storeConcurrency(config.Deployment{}); n != 4 {
		t.Errorf("after recovery: concurrency %d", n)
	}
}

// TestLearned guards against learned values that are lost or changed by a
// snapshot.
func TestLearned(t *testing.T) {
	p := New()
	p.loads.Observe(membership.TierDisk, 10*gib, 3*time.Second)
	h := p.arrivals.history(Target{Model: "a"})
	h.addGap(time.Minute, 0)
	h.onset = true
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
		t.Errorf("got %+v, want %+v", second, first)
	}
}
