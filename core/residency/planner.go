package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

const (
	// slowMemory and fastMemory are the times over which arrivals are averaged.
	// The higher average counts: a model whose demand rises is seen at once, and
	// chance does not hide one that is asked for now and then.
	slowMemory = 8 * time.Second
	fastMemory = 1500 * time.Millisecond
	// silenceFactor bounds a rate by the time since the last arrival: a target
	// with a higher rate would have been asked for with a probability of 95%.
	silenceFactor = 3
	// storeLoads is how many loads from the weight store run at once. The store
	// serves no more at full speed, and more would delay the urgent ones.
	storeLoads = 4
	// ceilingWindow and ceilingShare bound the loads from the store that begin
	// in a window to a share of what the store allows.
	ceilingWindow = 5 * time.Second
	ceilingShare  = 0.8
	// minResidency keeps a model that was just loaded from being unloaded before
	// it has served those who waited for it.
	minResidency = 2 * time.Second
	// quiet is how long an adapter must be unused before it makes way.
	quiet = 300 * time.Millisecond
)

// Planner is the leader's view of the servers. It is not safe for concurrent
// use.
type Planner struct {
	services map[string]route.Service
	servers  map[string]*server
	// storeStarts are the newest loads from the weight store.
	storeStarts []time.Duration

	arrivals map[string]*hostArrivals
	rates    map[Target]*rate
	demand   map[Target]*total
	lastStep time.Duration
	// asked is set once any request was seen.
	asked bool
}

// rate is the smoothed number of arrivals a second.
type rate struct {
	slow, fast float64
	pending    float64
	last       time.Duration
}

// at returns the rate at now. It falls at once when a busy target falls silent.
func (r *rate) at(now time.Duration) float64 {
	return min(max(r.slow, r.fast), silenceFactor/max(0.05, (now-r.last).Seconds()))
}

// advance averages in the arrivals of the time that has passed.
func (r *rate) advance(elapsed time.Duration) {
	now := r.pending / elapsed.Seconds()
	r.pending = 0
	keep := math.Exp(-float64(elapsed) / float64(slowMemory))
	r.slow = r.slow*keep + (1-keep)*now
	keep = math.Exp(-float64(elapsed) / float64(fastMemory))
	r.fast = r.fast*keep + (1-keep)*now
}

// total is the demand for a target over all hosts.
type total struct {
	waiting, running int
	// leaves is when the first of the waiting callers gives up.
	leaves    time.Duration
	runningOn map[string]int
}

// New returns a planner that knows no server.
func New() *Planner {
	return &Planner{
		services: map[string]route.Service{}, servers: map[string]*server{},
		arrivals: map[string]*hostArrivals{}, rates: map[Target]*rate{}, demand: map[Target]*total{},
	}
}

// Step merges the input and returns the orders and inquiries that are due.
func (p *Planner) Step(in Input) Output {
	p.observe(in)
	var out Output
	for _, svc := range in.Services {
		if svc.Engine == nil || in.Hold {
			continue
		}
		p.repeat(in, svc, &out)
		p.adapters(in, svc, &out)
		p.models(in, svc, &out)
	}
	for _, s := range p.sorted() {
		if s.needsReport(in.Now) && p.services[s.Service].Engine != nil {
			s.inquired, s.askedAt = true, in.Now
			out.Inquiries = append(out.Inquiries, Inquiry{s.Name, s.Address, s.Incarnation})
		}
	}
	return out
}

// Ended records the end of an order's transmission.
func (p *Planner) Ended(now time.Duration, o Order, r Result) {
	s := p.servers[o.Server]
	if s == nil || s.Incarnation != o.Incarnation || s.flying == nil {
		return
	}
	svc := p.services[s.Service]
	if svc.Engine == nil {
		s.flying = nil
		return
	}
	s.ended(now, o, r, svc.Engine)
}

// Reported records the answer to an inquiry; ok is false without one.
func (p *Planner) Reported(now time.Duration, q Inquiry, r Report, ok bool) {
	s := p.servers[q.Server]
	if s == nil || s.Incarnation != q.Incarnation {
		return
	}
	if !ok {
		s.inquired = false
		return
	}
	svc := p.services[s.Service]
	if svc.Engine == nil {
		s.inquired = false
		return
	}
	s.reported(now, r, svc.Engine)
}

// Holdings returns what each server holds, ordered by name.
func (p *Planner) Holdings() []ServerHoldings {
	var out []ServerHoldings
	for _, s := range p.sorted() {
		out = append(out, s.holdings())
	}
	return out
}

func (p *Planner) sorted() []*server {
	return slices.SortedFunc(maps.Values(p.servers), func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
}

// observe merges announcements and demand.
func (p *Planner) observe(in Input) {
	clear(p.services)
	for _, svc := range in.Services {
		p.services[svc.Name] = svc
	}
	present := map[string]bool{}
	for _, a := range in.Servers {
		if p.services[a.Service].Engine == nil {
			continue
		}
		present[a.Name] = true
		s := p.servers[a.Name]
		if s == nil || s.Incarnation != a.Incarnation {
			s = &server{models: map[string]*holding{}}
			p.servers[a.Name] = s
		}
		s.announced(in.Now, a)
	}
	maps.DeleteFunc(p.servers, func(name string, _ *server) bool { return !present[name] })
	if !p.asked {
		p.presume(in.Now)
	}
	p.count(in)
}

// presume takes the models that are on several servers before the first request
// for busy ones, until the requests show more.
func (p *Planner) presume(now time.Duration) {
	copies := map[string]int{}
	for _, s := range p.servers {
		for name := range s.models {
			copies[name]++
		}
	}
	for name, n := range copies {
		if n > 1 {
			p.rates[Target{Model: name}] = &rate{slow: serverRate * float64(n) / 2, last: now}
		}
	}
}

// count sums the demand and updates the rates.
func (p *Planner) count(in Input) {
	clear(p.demand)
	p.hosts(in.Demand)
	for _, d := range in.Demand {
		if !p.offered(d.Model) {
			continue
		}
		t := p.demand[d.Target]
		if t == nil {
			t = &total{runningOn: map[string]int{}}
			p.demand[d.Target] = t
		}
		if d.Waiting > 0 && (t.waiting == 0 || d.Leaves < t.leaves) {
			t.leaves = d.Leaves
		}
		t.waiting += d.Waiting
		t.running += d.Running
		for s, n := range d.RunningOn {
			t.runningOn[s] += n
		}
		p.arrive(in.Now, d)
	}
	elapsed := in.Now - p.lastStep
	if elapsed < 50*time.Millisecond {
		return
	}
	p.lastStep = in.Now
	for t, r := range p.rates {
		r.advance(elapsed)
		if r.slow < 1e-4 {
			delete(p.rates, t)
		}
	}
	p.touch(in)
}

// hostArrivals are the counts that a host has reported.
type hostArrivals struct {
	counts map[Target]uint64
	// fresh is set during the first report: its counts began before this leader
	// and are no arrivals of now.
	fresh bool
}

// hosts prepares the counts of the hosts that report, and forgets the others.
func (p *Planner) hosts(demand []Demand) {
	reports := map[string]*hostArrivals{}
	for _, d := range demand {
		if reports[d.Host] != nil {
			continue
		}
		reports[d.Host] = &hostArrivals{counts: map[Target]uint64{}, fresh: true}
		if known := p.arrivals[d.Host]; known != nil {
			known.fresh = false
			reports[d.Host] = known
		}
	}
	p.arrivals = reports
}

// arrive adds the arrivals since the host's earlier report. A lower count
// comes from a new process of the host.
func (p *Planner) arrive(now time.Duration, d Demand) {
	host := p.arrivals[d.Host]
	before := host.counts[d.Target]
	host.counts[d.Target] = d.Arrivals
	if d.Arrivals < before {
		before = 0
	}
	if host.fresh || d.Arrivals == before {
		return
	}
	r := p.rates[d.Target]
	if r == nil {
		r = &rate{}
		p.rates[d.Target] = r
	}
	p.asked = true
	r.pending += float64(d.Arrivals - before)
	r.last = now
}

// offered reports whether a service has a model. Callers may name any.
func (p *Planner) offered(model string) bool {
	for _, svc := range p.services {
		if svc.Engine == nil {
			continue
		}
		if _, ok := svc.Engine.Model(model); ok {
			return true
		}
	}
	return false
}

// touch notes which adapters are in use.
func (p *Planner) touch(in Input) {
	for t, d := range p.demand {
		if t.Adapter == "" {
			continue
		}
		for name := range d.runningOn {
			if s := p.servers[name]; s != nil && s.models[t.Model] != nil {
				if a := s.models[t.Model].adapters[t.Adapter]; a != nil {
					a.used = in.Now
				}
			}
		}
	}
}

// repeat sends the orders without an answer again. At most one of the copies is
// executed, since all of them expect the same number of orders.
func (p *Planner) repeat(in Input, svc route.Service, out *Output) {
	for _, s := range p.sorted() {
		if s.Service == svc.Name && s.uncertain != nil && s.orderable() {
			p.send(in, s, *s.uncertain, out)
		}
	}
}

// adapters orders the adapters that are waited for.
func (p *Planner) adapters(in Input, svc route.Service, out *Output) {
	for _, t := range p.waitingAdapters(svc.Engine) {
		if p.hasAdapter(svc.Name, t) {
			continue
		}
		if s := p.adapterPlace(in.Now, svc, t); s != nil {
			p.orderAdapter(in, svc.Engine, s, t, out)
		}
	}
}

func (p *Planner) waitingAdapters(e *route.Engine) []Target {
	var out []Target
	for t, d := range p.demand {
		if _, ok := e.Model(t.Model); ok && t.Adapter != "" && d.waiting > 0 {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(p.demand[b].waiting, p.demand[a].waiting), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// hasAdapter reports whether a live server holds the adapter.
func (p *Planner) hasAdapter(service string, t Target) bool {
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		if h := s.models[t.Model]; h != nil && h.phase == Ready && h.adapters[t.Adapter] != nil {
			return true
		}
		if o := s.flying; o != nil && o.Load && o.Target == t {
			return true
		}
	}
	return false
}

// adapterPlace picks the server that has the model and the most room.
func (p *Planner) adapterPlace(now time.Duration, svc route.Service, t Target) *server {
	var best *server
	bestScore := math.Inf(1)
	for _, s := range p.sorted() {
		h := s.models[t.Model]
		if s.Service != svc.Name || h == nil || h.phase != Ready || !s.orderable() || s.working() {
			continue
		}
		taken := s.adapterCount()
		if taken >= svc.Engine.AdapterSlots && s.oldestAdapter(now) == (Target{}) {
			continue
		}
		if score := float64(taken); score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// oldestAdapter returns the adapter that was not used for longest, if one is
// unused.
func (s *server) oldestAdapter(now time.Duration) Target {
	var out Target
	oldest := now - quiet
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		for a, x := range s.models[name].adapters {
			if x.used < oldest || x.used == oldest && out.Adapter > a {
				out, oldest = Target{name, a}, x.used
			}
		}
	}
	return out
}

// orderAdapter loads an adapter, or first unloads one that is not used.
func (p *Planner) orderAdapter(in Input, e *route.Engine, s *server, t Target, out *Output) {
	m, _ := e.Model(t.Model)
	if s.adapterCount() >= e.AdapterSlots || s.used(e)+m.AdapterMiB > e.MemoryMiB {
		if old := s.oldestAdapter(in.Now); old != (Target{}) {
			p.send(in, s, Order{Target: old}, out)
		}
		return
	}
	p.send(in, s, Order{Load: true, Target: t}, out)
}

func (p *Planner) send(in Input, s *server, o Order, out *Output) {
	o.Server, o.Address, o.Incarnation = s.Name, s.Address, s.Incarnation
	o.Expected, o.Fence = s.orders, in.Fence
	s.flying = &o
	out.Orders = append(out.Orders, o)
}
