package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// minResidency keeps a model that was just loaded from being unloaded before it
// has served those who waited for it.
const minResidency = 2 * time.Second

// modelSource tells what is known of a model.
type modelSource interface {
	Model(name string) (route.Model, bool)
}

// catalog indexes the models of a service, of which there may be hundreds.
type catalog map[string]route.Model

// Model returns the model with a name.
func (c catalog) Model(name string) (route.Model, bool) {
	m, ok := c[name]
	return m, ok
}

func newCatalog(models []route.Model) catalog {
	out := make(catalog, len(models))
	for _, m := range models {
		out[m.Name] = m
	}
	return out
}

// Planner is the leader's view of the servers. It is not safe for concurrent
// use.
type Planner struct {
	services map[string]route.Service
	catalogs map[string]catalog
	servers  map[string]*server
	// ordered are the servers by name.
	ordered []*server
	// full are the models whose weights are at hand only where there is no room.
	full map[string]fullness
	// storeStarts are the newest loads from the weight store.
	storeStarts []time.Duration

	arrivals map[string]*hostArrivals
	rates    map[Target]*rate
	demand   map[Target]*total
	// running is the average number of running requests by model.
	running map[string]float64
	// loads and copied sum up demand and copies by model.
	loads    map[string]*modelLoad
	copied   map[string]modelCopies
	lastStep time.Duration
	// asked is set once any request was seen.
	asked bool
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
		services: map[string]route.Service{}, catalogs: map[string]catalog{}, servers: map[string]*server{},
		arrivals: map[string]*hostArrivals{}, rates: map[Target]*rate{}, demand: map[Target]*total{},
		running: map[string]float64{}, full: map[string]fullness{},
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
		out.Ends = append(out.Ends, s.ends...)
		s.ends = nil
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
	s.ended(now, o, r, p.catalogs[s.Service])
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
	s.reported(now, r, p.catalogs[s.Service])
}

// Holdings returns what each server holds, ordered by name.
func (p *Planner) Holdings() []ServerHoldings {
	var out []ServerHoldings
	for _, s := range p.sorted() {
		out = append(out, s.holdings())
	}
	return out
}

// sorted returns the servers by name.
func (p *Planner) sorted() []*server { return p.ordered }

// observe merges announcements and demand.
func (p *Planner) observe(in Input) {
	clear(p.services)
	clear(p.catalogs)
	for _, svc := range in.Services {
		p.services[svc.Name] = svc
		if svc.Engine != nil {
			p.catalogs[svc.Name] = newCatalog(svc.Engine.Models)
		}
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
	p.ordered = slices.SortedFunc(maps.Values(p.servers), func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	if !p.asked {
		p.presume(in.Now)
	}
	p.count(in)
	p.sum(in.Now)
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

// offered reports whether a service has a model. Callers may name any.
func (p *Planner) offered(model string) bool {
	for _, c := range p.catalogs {
		if _, ok := c[model]; ok {
			return true
		}
	}
	return false
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

func (p *Planner) send(in Input, s *server, o Order, out *Output) {
	o.Server, o.Address, o.Incarnation = s.Name, s.Address, s.Incarnation
	o.Expected, o.Fence = s.orders, in.Fence
	s.flying = &o
	out.Orders = append(out.Orders, o)
}
