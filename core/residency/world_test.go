package residency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// fakeServer executes orders as the engines of the users' platform do: it
// numbers what it accepts, works on one model order at a time, and some orders
// get no answer and are executed seconds later.
type fakeServer struct {
	name        string
	incarnation uint64
	orders      uint64
	models      map[string]map[string]bool
	cached      map[string]bool
	work        *Order
	workEnds    time.Duration
	late        []lateOrder
	sequence    uint64
	nextBeat    time.Duration
	// past holds what reports show, oldest first.
	past []pastReport
	down time.Duration
}

type lateOrder struct {
	order Order
	at    time.Duration
}

type pastReport struct {
	at     time.Duration
	report Report
}

type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	engine  route.Engine
	servers []*fakeServer
	planner *Planner
	fence   uint64
	answers []answer
	// starts are the loads from the weight store.
	starts []time.Duration
}

type answer struct {
	at   time.Duration
	give func()
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), planner: New(), fence: 1}
	w.engine = route.Engine{Slots: 96, MemoryMiB: 58000, AdapterSlots: 3, LoadsPerSecond: 3.2}
	for i := range 9 {
		m := route.Model{
			Name: fmt.Sprint("m", i), MemoryMiB: 16100, StoreLoad: 6 * time.Second,
			DiskLoad: 350 * time.Millisecond, MemoryLoad: 270 * time.Millisecond,
		}
		if i%2 == 0 {
			m.MemoryMiB = 34300
		}
		if i < 2 {
			m.Adapters, m.AdapterMiB = 8, 14
		}
		w.engine.Models = append(w.engine.Models, m)
	}
	for i := range 4 {
		w.servers = append(w.servers, &fakeServer{
			name: fmt.Sprint("s", i), incarnation: 1, models: map[string]map[string]bool{fmt.Sprint("m", i): {}}, cached: map[string]bool{},
		})
	}
	return w
}

func (s *fakeServer) report() Report {
	r := Report{Orders: s.orders, Busy: s.work != nil, Models: s.held()}
	return r
}

func (s *fakeServer) held() []Held {
	var out []Held
	for name, adapters := range s.models {
		if s.work != nil && s.work.Load && s.work.Model == name {
			continue
		}
		h := Held{Model: name}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		out = append(out, h)
	}
	return out
}

// execute carries out an order, and fails the test if it overcommits.
func (w *world) execute(s *fakeServer, o Order) Result {
	if o.Incarnation != s.incarnation {
		return Rejected
	}
	if s.work != nil || o.Expected != s.orders {
		return Conflict
	}
	adapters, held := s.models[o.Model]
	switch {
	case o.Adapter != "" && !held:
		return Rejected
	case o.Adapter != "" && o.Load && adapters[o.Adapter]:
		return Fulfilled
	case o.Adapter != "" && o.Load:
		adapters[o.Adapter] = true
	case o.Adapter != "":
		delete(adapters, o.Adapter)
		s.orders++
		return Fulfilled
	case o.Load && held, !o.Load && !held:
		return Fulfilled
	case o.Load:
		s.models[o.Model] = map[string]bool{}
		m, _ := w.engine.Model(o.Model)
		s.workEnds = w.now + m.StoreLoad
		if s.cached[o.Model] {
			s.workEnds = w.now + m.DiskLoad
		} else {
			w.starts = append(w.starts, w.now)
		}
		s.work = &o
	default:
		s.work, s.workEnds = &o, w.now+time.Duration(w.rng.IntN(1500))*time.Millisecond
	}
	s.orders++
	w.check(s)
	return Accepted
}

// check fails the test if a server holds more than it has room for.
func (w *world) check(s *fakeServer) {
	memory, slots := 0.0, 0
	for name, adapters := range s.models {
		m, _ := w.engine.Model(name)
		memory += m.MemoryMiB + float64(len(adapters))*m.AdapterMiB
		slots += len(adapters)
	}
	if memory > w.engine.MemoryMiB || slots > w.engine.AdapterSlots {
		w.t.Fatalf("at %v server %s was ordered to hold %v MiB and %d adapters", w.now, s.name, memory, slots)
	}
}

// advance moves a server's own work to the present.
func (w *world) advance(s *fakeServer) {
	if s.down > 0 && w.now >= s.down {
		s.down = 0
	}
	if s.work != nil && w.now >= s.workEnds {
		if s.work.Load {
			s.cached[s.work.Model] = true
		} else {
			delete(s.models, s.work.Model)
		}
		s.work = nil
		s.nextBeat = w.now
	}
	var rest []lateOrder
	for _, l := range s.late {
		if w.now < l.at {
			rest = append(rest, l)
			continue
		}
		w.execute(s, l.order)
	}
	s.late = rest
	s.past = append(s.past, pastReport{w.now, s.report()})
	for len(s.past) > 1 && w.now-s.past[0].at > 200*time.Millisecond {
		s.past = s.past[1:]
	}
}

// crash restarts a server empty.
func (w *world) crash(s *fakeServer) {
	s.incarnation++
	s.orders, s.sequence, s.work, s.late, s.past = 0, 0, nil, nil, nil
	s.models = map[string]map[string]bool{}
	s.nextBeat = w.now + time.Second
}

func (w *world) input() Input {
	in := Input{Now: w.now, Fence: w.fence, Services: []route.Service{{Name: "llm", Engine: &w.engine}}}
	for _, s := range w.servers {
		if s.sequence == 0 {
			continue
		}
		x := Server{Name: s.name, Service: "llm", Incarnation: s.incarnation, Sequence: s.sequence, Models: s.held()}
		for name := range s.cached {
			x.OnDisk = append(x.OnDisk, name)
		}
		in.Servers = append(in.Servers, x)
	}
	return in
}

// step runs 20 ms of the world.
func (w *world) step(last *Input) {
	w.now += 20 * time.Millisecond
	for _, s := range w.servers {
		w.advance(s)
		if w.now >= s.nextBeat {
			s.sequence++
			s.nextBeat = w.now + 1200*time.Millisecond
		}
	}
	w.answers = slices.DeleteFunc(w.answers, func(a answer) bool {
		if w.now < a.at {
			return false
		}
		a.give()
		return true
	})
	in := w.input()
	for i := range in.Servers {
		// Announcements show the state of their sending, so a repeated one is old.
		for _, old := range last.Servers {
			if old.Name == in.Servers[i].Name && old.Incarnation == in.Servers[i].Incarnation && old.Sequence == in.Servers[i].Sequence {
				in.Servers[i] = old
			}
		}
	}
	*last = in
	for range 3 {
		t := Target{Model: fmt.Sprint("m", w.rng.IntN(9))}
		if t.Model == "m0" || t.Model == "m1" {
			t.Adapter = fmt.Sprint("a", w.rng.IntN(8))
		}
		in.Demand = append(in.Demand, Demand{Host: "h", Target: t, Waiting: 1, Arrivals: uint64(w.now)})
	}
	out := w.planner.Step(in)
	p := w.planner
	for _, o := range out.Orders {
		w.transmit(p, o)
	}
	for _, q := range out.Inquiries {
		s := w.server(q.Server)
		w.answers = append(w.answers, answer{w.now + 20*time.Millisecond, func() {
			ok := s.incarnation == q.Incarnation && len(s.past) > 0
			var r Report
			if ok {
				r = s.past[0].report
			}
			p.Reported(w.now, q, r, ok)
		}})
	}
}

func (w *world) server(name string) *fakeServer {
	i := slices.IndexFunc(w.servers, func(s *fakeServer) bool { return s.name == name })
	return w.servers[i]
}

// transmit delivers an order. A third get no answer: of those, some are lost,
// some executed at once and some late.
func (w *world) transmit(p *Planner, o Order) {
	s := w.server(o.Server)
	result := Unanswered
	switch w.rng.IntN(9) {
	case 0:
		w.execute(s, o)
	case 1:
		if o.Incarnation == s.incarnation {
			s.late = append(s.late, lateOrder{o, w.now + 2*time.Second + time.Duration(w.rng.IntN(10000))*time.Millisecond})
		}
	case 2:
	default:
		result = w.execute(s, o)
	}
	delay := 20 * time.Millisecond
	if result == Unanswered {
		delay = 500 * time.Millisecond
	}
	w.answers = append(w.answers, answer{w.now + delay, func() { p.Ended(w.now, o, result) }})
}

// Guards against a server that is ordered to hold more than it has room for,
// with lost answers, late copies, crashes and new leaders, and against a planner
// that gives up on a server.
func TestServersAreNeverOvercommitted(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed)
			last := Input{}
			for w.now < 60*time.Second {
				w.step(&last)
				if w.rng.IntN(400) == 0 {
					w.crash(w.servers[w.rng.IntN(len(w.servers))])
				}
				if w.rng.IntN(500) == 0 {
					// A new leader knows nothing of the orders before.
					w.planner, w.fence = New(), w.fence+1
				}
			}
			held := 0
			for _, s := range w.servers {
				held += len(s.models)
			}
			if held < len(w.servers) {
				t.Errorf("the servers hold %d models at the end", held)
			}
			w.checkCeiling()
		})
	}
}

// checkCeiling fails the test if more loads from the store begin than allowed.
func (w *world) checkCeiling() {
	for i, at := range w.starts {
		n := 0
		for _, other := range w.starts[i:] {
			if other-at <= ceilingWindow {
				n++
			}
		}
		if limit := w.engine.LoadsPerSecond*ceilingWindow.Seconds()*1.1 + 3; float64(n) > limit {
			w.t.Errorf("%d loads from the store began within %v of %v", n, ceilingWindow, at)
		}
	}
}
