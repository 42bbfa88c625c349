package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// engine has three models, of which a server holds two.
func engine() route.Engine {
	e := route.Engine{Slots: 96, MemoryMiB: 200, AdapterSlots: 2, LoadsPerSecond: 3}
	for _, name := range []string{"a", "b", "c"} {
		e.Models = append(e.Models, route.Model{
			Name: name, MemoryMiB: 100, StoreLoad: 6 * time.Second, DiskLoad: 400 * time.Millisecond, Adapters: 8, AdapterMiB: 1,
		})
	}
	return e
}

// plan runs a planner on servers whose reports it answers at once.
type plan struct {
	planner *Planner
	in      Input
	held    map[string][]Held
}

func newPlan(e *route.Engine, servers map[string][]Held) *plan {
	p := &plan{planner: New(), held: servers, in: Input{Now: time.Second, Fence: 1, Services: []route.Service{{Name: "llm", Engine: e}}}}
	for name, held := range servers {
		p.in.Servers = append(p.in.Servers, Server{Name: name, Service: "llm", Incarnation: 1, Sequence: 1, Models: held})
	}
	return p
}

func (p *plan) step(after time.Duration, demand ...Demand) []Order {
	p.in.Now += after
	p.in.Demand = demand
	out := p.planner.Step(p.in)
	for _, q := range out.Inquiries {
		p.planner.Reported(p.in.Now, q, Report{Models: p.held[q.Server]}, true)
	}
	return out.Orders
}

// Guards against a new leader that takes what hosts counted before its time for
// requests of now.
func TestCountsBeforeTheLeadAreNoRate(t *testing.T) {
	e := engine()
	p := newPlan(&e, map[string][]Held{"s": {{Model: "a"}}})
	d := Demand{Host: "h", Target: Target{Model: "a"}, Arrivals: 100000}
	for range 20 {
		p.step(100*time.Millisecond, d)
	}
	if rate, _, _ := p.planner.load("a"); rate != 0 {
		t.Errorf("rate %v, want 0", rate)
	}
	for range 20 {
		d.Arrivals++
		p.step(100*time.Millisecond, d)
	}
	if rate, _, _ := p.planner.load("a"); rate < 1 || rate > 20 {
		t.Errorf("rate %v, want about 10", rate)
	}
}

// Guards against a model that is loaded from the store, 6 s, while a server has
// its weights at hand.
func TestWeightsAtHandAreLoadedFirst(t *testing.T) {
	e := engine()
	p := newPlan(&e, map[string][]Held{"far": {{Model: "a"}}, "near": {{Model: "b"}}})
	for i := range p.in.Servers {
		if p.in.Servers[i].Name == "near" {
			p.in.Servers[i].OnDisk = []string{"c"}
		}
	}
	d := Demand{Host: "h", Target: Target{Model: "c"}, Waiting: 1, Leaves: time.Minute}
	p.step(0, d)
	orders := p.step(100*time.Millisecond, d)
	if len(orders) == 0 || orders[0].Server != "near" || orders[0].Model != "c" || !orders[0].Load {
		t.Errorf("orders %+v, want a load of c on near first", orders)
	}
}

// Guards against a swap that waits for running requests while an idle model
// could make way.
func TestAnIdleModelMakesWay(t *testing.T) {
	e := engine()
	p := newPlan(&e, map[string][]Held{"s": {{Model: "a"}, {Model: "b"}}})
	busy := Demand{Host: "h", Target: Target{Model: "a"}, Running: 2, RunningOn: map[string]int{"s": 2}}
	wait := Demand{Host: "h", Target: Target{Model: "c"}, Waiting: 1, Arrivals: 1, Leaves: time.Minute}
	var orders []Order
	for range 40 {
		wait.Arrivals++
		orders = append(orders, p.step(100*time.Millisecond, busy, wait)...)
	}
	if len(orders) == 0 || orders[0].Load || orders[0].Model != "b" {
		t.Errorf("orders %+v, want the unload of b first", orders)
	}
}

// Guards against streams that pause because one server reads the prompts of a
// busy model alone, while others have room.
func TestACrowdedModelGetsAnotherCopy(t *testing.T) {
	e := engine()
	p := newPlan(&e, map[string][]Held{"s": {{Model: "a"}}, "full": {{Model: "b"}, {Model: "c"}}, "free": nil})
	d := Demand{Host: "h", Target: Target{Model: "a"}}
	loaded := false
	for range 30 {
		d.Arrivals += 4
		for _, o := range p.step(100*time.Millisecond, d) {
			loaded = loaded || o.Load && o.Model == "a" && o.Server == "free"
		}
	}
	if !loaded {
		t.Error("40 requests a second brought no second copy")
	}
}

// Guards against streams that wait for a slot on one server while others have
// free ones: few requests a second fill a server with few slots.
func TestAModelThatFillsTheSlotsGetsAnotherCopy(t *testing.T) {
	e := engine()
	e.Slots = 12
	p := newPlan(&e, map[string][]Held{"s": {{Model: "a"}}, "full": {{Model: "b"}, {Model: "c"}}, "free": nil})
	d := Demand{Host: "h", Target: Target{Model: "a"}, Running: 16, RunningOn: map[string]int{"s": 16}}
	loaded := false
	for range 30 {
		d.Arrivals++
		for _, o := range p.step(100*time.Millisecond, d) {
			loaded = loaded || o.Load && o.Model == "a" && o.Server == "free"
		}
	}
	if !loaded {
		t.Error("16 running requests on 12 slots brought no second copy")
	}
}

// Guards against a busy model that nobody loads: the only server with its
// weights at hand is full of requests that no unload may wait for, and the
// weight store is not asked because of it.
func TestTheStoreIsAskedIfTheServerWithTheWeightsHasNoRoom(t *testing.T) {
	e := engine()
	p := newPlan(&e, map[string][]Held{"near": {{Model: "a"}, {Model: "b"}}, "far": nil})
	for i := range p.in.Servers {
		if p.in.Servers[i].Name == "near" {
			p.in.Servers[i].OnDisk = []string{"c"}
		}
	}
	busy := []Demand{
		{Host: "h", Target: Target{Model: "a"}, Running: 20, RunningOn: map[string]int{"near": 20}},
		{Host: "h", Target: Target{Model: "b"}, Running: 20, RunningOn: map[string]int{"near": 20}},
		{Host: "h", Target: Target{Model: "c"}, Waiting: 5, Leaves: 2 * time.Second},
	}
	var orders []Order
	for at := time.Duration(0); at <= roomWait+200*time.Millisecond; at += 100 * time.Millisecond {
		for i := range busy {
			busy[i].Arrivals++
		}
		if orders = append(orders, p.step(100*time.Millisecond, busy...)...); len(orders) > 0 && at < roomWait {
			t.Fatalf("orders %+v after %s, in which the server may get room", orders, at)
		}
	}
	if len(orders) == 0 || orders[0].Server != "far" || orders[0].Model != "c" {
		t.Errorf("orders %+v, want a load of c on far", orders)
	}
}

// Guards against models that are unloaded for loads which must wait for the
// weight store: it serves four at full speed.
func TestRoomIsMadeOnlyForLoadsThatTheStoreCanServe(t *testing.T) {
	e := engine()
	e.LoadsPerSecond = 100
	servers := map[string][]Held{}
	for i := range 8 {
		idle := fmt.Sprint("idle", i)
		e.Models = append(e.Models, route.Model{Name: idle, MemoryMiB: 200, StoreLoad: 13 * time.Second})
		e.Models = append(e.Models, route.Model{Name: fmt.Sprint("new", i), MemoryMiB: 200, StoreLoad: 13 * time.Second})
		servers[fmt.Sprint("s", i)] = []Held{{Model: idle}}
	}
	p := newPlan(&e, servers)
	var demand []Demand
	for i := range 8 {
		demand = append(demand, Demand{Host: "h", Target: Target{Model: fmt.Sprint("new", i)}, Waiting: 1, Leaves: time.Minute})
	}
	p.step(0, demand...)
	unloads := 0
	for range 40 {
		for i := range demand {
			demand[i].Arrivals++
		}
		for _, o := range p.step(100*time.Millisecond, demand...) {
			if !o.Load {
				unloads++
			}
			p.planner.Ended(p.in.Now, o, Accepted)
		}
	}
	if unloads != storeLoads {
		t.Errorf("%d models were unloaded, want %d", unloads, storeLoads)
	}
}

// Guards against the copies of a crashed server that keep its models unloaded.
func TestTheModelsOfAnEndedServerAreLoadedElsewhere(t *testing.T) {
	e := engine()
	p := newPlan(&e, map[string][]Held{"s": {{Model: "a"}}, "other": nil})
	d := Demand{Host: "h", Target: Target{Model: "a"}, Waiting: 1, Leaves: time.Minute}
	p.step(0, d)
	p.step(time.Second, d)
	p.in.Servers = []Server{{Name: "other", Service: "llm", Incarnation: 1, Sequence: 1}}
	found := false
	for _, o := range p.step(100*time.Millisecond, d) {
		found = found || o.Load && o.Model == "a" && o.Server == "other"
	}
	if !found && p.planner.servers["other"].flying == nil {
		t.Error("nothing was ordered from the other server")
	}
}

// Guards against an adapter that waits for a server that is at work on a model.
func TestAdaptersGoWhereNoModelIsLoaded(t *testing.T) {
	e := engine()
	p := newPlan(&e, map[string][]Held{"s": {{Model: "a"}}})
	d := Demand{Host: "h", Target: Target{Model: "a", Adapter: "a1"}, Waiting: 1, Leaves: time.Minute}
	p.step(0, d)
	orders := p.step(100*time.Millisecond, d)
	if len(orders) == 0 || orders[0].Adapter != "a1" {
		t.Fatalf("orders %+v, want adapter a1", orders)
	}
	p.planner.Ended(p.in.Now, orders[0], Accepted)
	for _, s := range p.planner.Holdings() {
		for _, h := range s.Holdings {
			if h.Adapter == "a1" && h.Phase == Ready {
				return
			}
		}
	}
	t.Error("the accepted adapter is not among the holdings")
}
