package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// testEngine returns an engine with three models, of which a server can hold
// two.
func testEngine() route.Engine {
	e := route.Engine{Slots: 96, MemoryMiB: 200, AdapterSlots: 2, LoadsPerSecond: 3}
	for _, name := range []string{"a", "b", "c"} {
		e.Models = append(e.Models, route.Model{
			Name: name, MemoryMiB: 100, StoreLoad: 6 * time.Second, DiskLoad: 400 * time.Millisecond, Adapters: 8, AdapterMiB: 1,
		})
	}
	return e
}

// fixture runs a planner and answers its inquiries at once.
type fixture struct {
	planner *Planner
	in      Input
	held    map[string][]HeldModel
}

func newFixture(e *route.Engine, servers map[string][]HeldModel) *fixture {
	f := &fixture{planner: New(), held: servers, in: Input{Now: time.Second, Fence: 1, Services: []route.Service{{Name: "llm", Engine: e}}}}
	for name, held := range servers {
		f.in.Servers = append(f.in.Servers, Server{Name: name, Service: "llm", Incarnation: 1, Sequence: 1, Models: held})
	}
	return f
}

func (f *fixture) step(after time.Duration, demand ...Demand) []Order {
	f.in.Now += after
	f.in.Demand = demand
	out := f.planner.Step(f.in)
	for _, q := range out.Inquiries {
		f.planner.RecordReport(f.in.Now, q, Report{Models: f.held[q.Server]}, true)
	}
	return out.Orders
}

// TestArrivalsBeforeLeadershipAreNotCounted guards against a new leader that
// counts arrivals from before its leadership as current requests.
func TestArrivalsBeforeLeadershipAreNotCounted(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a"}}})
	d := Demand{Host: "h", Target: Target{Model: "a"}, Arrivals: 100000}
	for range 20 {
		f.step(100*time.Millisecond, d)
	}
	if rate, _, _ := f.planner.demandFor("a"); rate != 0 {
		t.Errorf("model a has rate %v before any new arrival, want 0", rate)
	}
	for range 20 {
		d.Arrivals++
		f.step(100*time.Millisecond, d)
	}
	if rate, _, _ := f.planner.demandFor("a"); rate < 1 || rate > 20 {
		t.Errorf("model a has rate %v at 10 arrivals per second, want 1 to 20", rate)
	}
}

// TestNewLeaderDoesNotLoadIdleModelsFirst guards against a new leader that behaves as before the
// first request: it starts loads of models that nobody requests, and the models that were
// requested all along wait for the servers and the store.
func TestNewLeaderDoesNotLoadIdleModelsFirst(t *testing.T) {
	for _, arrivals := range []uint64{0, 100000} {
		e := testEngine()
		f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a"}}, "t": nil})
		d := Demand{Host: "h", Target: Target{Model: "a"}, Arrivals: arrivals}
		idleLoads := 0
		for range 15 {
			if arrivals > 0 {
				d.Arrivals++
			}
			for _, o := range f.step(100*time.Millisecond, d) {
				f.planner.RecordResult(f.in.Now, o, Accepted)
				if o.Load && o.Model != "a" {
					idleLoads++
				}
			}
		}
		if before := arrivals == 0; (idleLoads > 0) != before {
			t.Errorf("with %d earlier arrivals, %d loads of models without requests began in 1.5 s, want loads only before the first request", arrivals, idleLoads)
		}
	}
}

// TestServerWithLocalWeightsIsPreferred guards against a model that is loaded
// from the store, which takes 6 s, while a server has its weights on disk.
func TestServerWithLocalWeightsIsPreferred(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"far": {{Model: "a"}}, "near": {{Model: "b"}}})
	for i := range f.in.Servers {
		if f.in.Servers[i].Name == "near" {
			f.in.Servers[i].OnDisk = []string{"c"}
		}
	}
	d := Demand{Host: "h", Target: Target{Model: "c"}, Waiting: 1, EarliestExpiry: time.Minute}
	f.step(0, d)
	orders := f.step(100*time.Millisecond, d)
	if len(orders) == 0 || orders[0].Server != "near" || orders[0].Model != "c" || !orders[0].Load {
		t.Errorf("orders %+v, want a load of c on near first", orders)
	}
}

// TestIdleModelIsUnloadedFirst guards against a swap that waits for running
// requests although an idle model could be unloaded.
func TestIdleModelIsUnloadedFirst(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a"}, {Model: "b"}}})
	busy := Demand{Host: "h", Target: Target{Model: "a"}, Running: 2, RunningOn: map[string]int{"s": 2}}
	wait := Demand{Host: "h", Target: Target{Model: "c"}, Waiting: 1, Arrivals: 1, EarliestExpiry: time.Minute}
	var orders []Order
	for range 40 {
		wait.Arrivals++
		orders = append(orders, f.step(100*time.Millisecond, busy, wait)...)
	}
	if len(orders) == 0 || orders[0].Load || orders[0].Model != "b" {
		t.Errorf("orders %+v, want the unload of b first", orders)
	}
}

// TestOverloadedModelGetsAnotherReplica guards against streams that pause
// because one server processes all prompts of a busy model while other servers
// have capacity.
func TestOverloadedModelGetsAnotherReplica(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a"}}, "full": {{Model: "b"}, {Model: "c"}}, "free": nil})
	d := Demand{Host: "h", Target: Target{Model: "a"}}
	loaded := false
	for range 30 {
		d.Arrivals += 4
		for _, o := range f.step(100*time.Millisecond, d) {
			loaded = loaded || o.Load && o.Model == "a" && o.Server == "free"
		}
	}
	if !loaded {
		t.Error("no second replica was ordered at 40 requests per second")
	}
}

// TestModelThatFillsTheSlotsGetsAnotherReplica guards against streams that wait
// for a slot on one server while others have free slots: a low request rate
// fills a server with few slots.
func TestModelThatFillsTheSlotsGetsAnotherReplica(t *testing.T) {
	e := testEngine()
	e.Slots = 12
	f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a"}}, "full": {{Model: "b"}, {Model: "c"}}, "free": nil})
	d := Demand{Host: "h", Target: Target{Model: "a"}, Running: 16, RunningOn: map[string]int{"s": 16}}
	loaded := false
	for range 30 {
		d.Arrivals++
		for _, o := range f.step(100*time.Millisecond, d) {
			loaded = loaded || o.Load && o.Model == "a" && o.Server == "free"
		}
	}
	if !loaded {
		t.Error("no second replica was ordered for 16 running requests on 12 slots")
	}
}

// TestModelIsLoadedFromStoreIfServerWithLocalWeightsIsFull guards against a
// busy model that is never loaded: the only server with its weights on disk is
// full of requests that no unload may wait for, and therefore the weight store
// is not used either.
func TestModelIsLoadedFromStoreIfServerWithLocalWeightsIsFull(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"near": {{Model: "a"}, {Model: "b"}}, "far": nil})
	for i := range f.in.Servers {
		if f.in.Servers[i].Name == "near" {
			f.in.Servers[i].OnDisk = []string{"c"}
		}
	}
	busy := []Demand{
		{Host: "h", Target: Target{Model: "a"}, Running: 20, RunningOn: map[string]int{"near": 20}},
		{Host: "h", Target: Target{Model: "b"}, Running: 20, RunningOn: map[string]int{"near": 20}},
		{Host: "h", Target: Target{Model: "c"}, Waiting: 5, EarliestExpiry: 2 * time.Second},
	}
	var orders []Order
	for at := time.Duration(0); at <= localCapacityWait+200*time.Millisecond; at += 100 * time.Millisecond {
		for i := range busy {
			busy[i].Arrivals++
		}
		if orders = append(orders, f.step(100*time.Millisecond, busy...)...); len(orders) > 0 && at < localCapacityWait {
			t.Fatalf("orders %+v after %s, want none while the server with the weights may get capacity", orders, at)
		}
	}
	if len(orders) == 0 || orders[0].Server != "far" || orders[0].Model != "c" {
		t.Errorf("orders %+v, want a load of c on far", orders)
	}
}

// TestModelsAreUnloadedOnlyForLoadsThatTheStoreCanServe guards against models
// that are unloaded for loads which must wait for the weight store: it serves
// four loads at full speed.
func TestModelsAreUnloadedOnlyForLoadsThatTheStoreCanServe(t *testing.T) {
	e := testEngine()
	e.LoadsPerSecond = 100
	servers := map[string][]HeldModel{}
	for i := range 8 {
		idle := fmt.Sprint("idle", i)
		e.Models = append(e.Models, route.Model{Name: idle, MemoryMiB: 200, StoreLoad: 13 * time.Second})
		e.Models = append(e.Models, route.Model{Name: fmt.Sprint("new", i), MemoryMiB: 200, StoreLoad: 13 * time.Second})
		servers[fmt.Sprint("s", i)] = []HeldModel{{Model: idle}}
	}
	f := newFixture(&e, servers)
	var demand []Demand
	for i := range 8 {
		demand = append(demand, Demand{Host: "h", Target: Target{Model: fmt.Sprint("new", i)}, Waiting: 1, EarliestExpiry: time.Minute})
	}
	f.step(0, demand...)
	unloads := 0
	for range 40 {
		for i := range demand {
			demand[i].Arrivals++
		}
		for _, o := range f.step(100*time.Millisecond, demand...) {
			if !o.Load {
				unloads++
			}
			f.planner.RecordResult(f.in.Now, o, Accepted)
		}
	}
	if unloads != initialStoreLoads {
		t.Errorf("%d models were unloaded, want %d", unloads, initialStoreLoads)
	}
}

// TestModelsOfRemovedServerAreLoadedElsewhere guards against replicas on a
// crashed server that prevent its models from being loaded elsewhere.
func TestModelsOfRemovedServerAreLoadedElsewhere(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a"}}, "other": nil})
	d := Demand{Host: "h", Target: Target{Model: "a"}, Waiting: 1, EarliestExpiry: time.Minute}
	f.step(0, d)
	f.step(time.Second, d)
	f.in.Servers = []Server{{Name: "other", Service: "llm", Incarnation: 1, Sequence: 1}}
	found := false
	for _, o := range f.step(100*time.Millisecond, d) {
		found = found || o.Load && o.Model == "a" && o.Server == "other"
	}
	if !found && f.planner.servers["other"].inFlight == nil {
		t.Error("no load of a was ordered on the other server")
	}
}

// TestAdapterIsLoadedOnServerWithItsModel guards against an adapter load that
// waits for a server with a model order under way, or that is missing from the
// holdings after it was accepted.
func TestAdapterIsLoadedOnServerWithItsModel(t *testing.T) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a"}}})
	d := Demand{Host: "h", Target: Target{Model: "a", Adapter: "a1"}, Waiting: 1, EarliestExpiry: time.Minute}
	f.step(0, d)
	orders := f.step(100*time.Millisecond, d)
	if len(orders) == 0 || orders[0].Adapter != "a1" {
		t.Fatalf("orders %+v, want a load of adapter a1 first", orders)
	}
	f.planner.RecordResult(f.in.Now, orders[0], Accepted)
	for _, s := range f.planner.Holdings() {
		for _, h := range s.Holdings {
			if h.Adapter == "a1" && h.Phase == Ready {
				return
			}
		}
	}
	t.Error("the accepted adapter is not among the holdings")
}

// adapterFixture returns a planner of one server with two adapter slots, of which both are taken,
// and a request that waits for a third adapter.
func adapterFixture() (*fixture, Demand) {
	e := testEngine()
	f := newFixture(&e, map[string][]HeldModel{"s": {{Model: "a", Adapters: []string{"a1", "a2"}}}})
	d := Demand{Host: "h", Target: Target{Model: "a", Adapter: "a3"}, Waiting: 1, EarliestExpiry: time.Minute}
	f.step(0, d)
	return f, d
}

// orderedAdapters returns the adapters whose load or unload is among the orders.
func orderedAdapters(orders []Order, load bool) []string {
	var out []string
	for _, o := range orders {
		if o.Adapter != "" && o.Load == load {
			out = append(out, o.Adapter)
		}
	}
	return out
}

// TestUnloadingAdapterKeepsItsSlot guards against an adapter that is loaded beyond the slots of a
// server, in place of one whose accepted unload still waits for its requests.
func TestUnloadingAdapterKeepsItsSlot(t *testing.T) {
	f, d := adapterFixture()
	orders := f.step(time.Second, d)
	unloaded := orderedAdapters(orders, false)
	if len(unloaded) != 1 {
		t.Fatalf("orders %+v, want the unload of one adapter", orders)
	}
	f.planner.RecordResult(f.in.Now, orders[0], Accepted)
	busy := Demand{Host: "h", Target: Target{Model: "a", Adapter: "a1"}, RunningOn: map[string]int{"s": 1}}
	if unloaded[0] == "a1" {
		busy.Adapter = "a2"
	}
	for range 20 {
		if loaded := orderedAdapters(f.step(100*time.Millisecond, d, busy), true); len(loaded) > 0 {
			t.Fatalf("adapters %v are loaded %v after an unload was accepted, which has not ended", loaded, f.in.Now)
		}
	}
	// An announcement shows that the unload has ended, once it is certain to be newer.
	f.in.Servers[0].Sequence, f.in.Servers[0].Models = 2, []HeldModel{{Model: "a", Adapters: []string{busy.Adapter}}}
	f.held["s"] = f.in.Servers[0].Models
	if loaded := orderedAdapters(f.step(100*time.Millisecond, d, busy), true); len(loaded) > 0 {
		t.Errorf("adapters %v are loaded on an announcement that may be older than the unload", loaded)
	}
	f.in.Servers[0].Sequence = 3
	if loaded := orderedAdapters(f.step(maxAnnouncementAge, d, busy), true); len(loaded) != 1 || loaded[0] != "a3" {
		t.Errorf("adapters %v are loaded after the unload has ended, want a3", loaded)
	}
}

// TestUnloadingAdapterIsNotUsed guards against requests that are sent for an adapter that is being
// unloaded, a second unload of it, and a load of it before the unload has ended.
func TestUnloadingAdapterIsNotUsed(t *testing.T) {
	f, d := adapterFixture()
	orders := f.step(time.Second, d)
	f.planner.RecordResult(f.in.Now, orders[0], Accepted)
	gone := orders[0].Adapter
	for _, h := range f.planner.Holdings()[0].Holdings {
		if h.Adapter == gone && h.Phase == Ready {
			t.Errorf("adapter %s counts as ready while it is unloaded", gone)
		}
	}
	again := Demand{Host: "h", Target: Target{Model: "a", Adapter: gone}, Waiting: 1, EarliestExpiry: time.Minute}
	for range 10 {
		orders := f.step(100*time.Millisecond, again)
		for _, o := range orders {
			if o.Adapter == gone {
				t.Fatalf("order %+v for an adapter that is being unloaded", o)
			}
			f.planner.RecordResult(f.in.Now, o, Fulfilled)
		}
	}
}
