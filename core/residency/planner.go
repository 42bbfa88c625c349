package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// minResidency is how long a loaded model is protected from being unloaded, so
// that it serves the requests that waited for it.
const minResidency = 2 * time.Second

// modelLookup finds a model by name.
type modelLookup interface {
	Model(name string) (route.Model, bool)
}

// catalog indexes the models of a service by name. A service may have hundreds.
type catalog map[string]route.Model

// Model returns the model with the given name.
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

// Planner holds the leader's view of the backend servers and plans orders for
// them. It is not safe for concurrent use.
type Planner struct {
	services map[string]route.Service
	catalogs map[string]catalog
	servers  map[string]*server
	// sortedServers holds the servers in the order of their names.
	sortedServers []*server
	// capacityShortages holds, by model, since when the servers that have its
	// weights in memory or on disk lack capacity.
	capacityShortages map[string]capacityShortage
	// recentStoreLoads are the times of the recent loads from the weight store.
	recentStoreLoads []time.Duration
	// loadCrashes holds, by model, the server processes that ended while they loaded it.
	loadCrashes map[string]loadCrashes
	// newLoadCrashes are those since the last step.
	newLoadCrashes   []LoadCrash
	storeConcurrency storeConcurrency
	// serverRates holds the rate up to which one server is used, by service. It is
	// computed anew in each step.
	serverRates map[string]float64

	arrivals map[string]*hostArrivals
	rates    map[Target]*rate
	demand   map[Target]*targetDemand
	// averageRunning is the average number of running requests by model.
	averageRunning map[string]float64
	// demandByModel and replicasByModel are totals over hosts, adapters and
	// servers.
	demandByModel   map[string]*modelDemand
	replicasByModel map[string]modelReplicas
	// overLimit holds, for servers with a limit on requests, the models whose replica
	// there cannot serve its part of the demand, and spareLimit the unused part of the
	// limit in 1/s.
	overLimit  map[*server]map[string]bool
	spareLimit map[*server]float64
	lastStep   time.Duration
	// requestSeen is set once any request has arrived.
	requestSeen bool
	// learningUntil is set if requests arrived before this leader, and is when it knows
	// which models are requested.
	learningUntil time.Duration
}

// targetDemand is the demand for a target over all hosts.
type targetDemand struct {
	waiting, running int
	// earliestExpiry is when the first of the waiting callers gives up.
	earliestExpiry time.Duration
	runningOn      map[string]int
	// bound holds the number of waiting requests that only servers of a software version
	// can serve.
	bound map[string]int
}

// New returns a planner without servers.
func New() *Planner {
	return &Planner{
		services: map[string]route.Service{}, catalogs: map[string]catalog{}, servers: map[string]*server{},
		arrivals: map[string]*hostArrivals{}, rates: map[Target]*rate{}, demand: map[Target]*targetDemand{},
		averageRunning: map[string]float64{}, capacityShortages: map[string]capacityShortage{}, loadCrashes: map[string]loadCrashes{},
		storeConcurrency: newStoreConcurrency(), serverRates: map[string]float64{},
	}
}

// Step merges the input and returns the orders and inquiries that are due.
func (p *Planner) Step(in Input) Output {
	p.mergeInput(in)
	out := Output{LoadCrashes: p.newLoadCrashes}
	p.newLoadCrashes = nil
	for _, svc := range in.Services {
		if svc.Engine == nil || in.SuspendOrders {
			continue
		}
		p.resendUnanswered(in, svc, &out)
		p.planBound(in, svc, &out)
		p.planAdapters(in, svc, &out)
		p.planModels(in, svc, &out)
	}
	for _, s := range p.serversByName() {
		p.forgetLoadCrashes(s.loadEnds)
		out.LoadEnds = append(out.LoadEnds, s.loadEnds...)
		s.loadEnds = nil
		if s.needsReport(in.Now) && p.services[s.Service].Engine != nil {
			s.inquiryPending, s.inquirySentAt = true, in.Now
			out.Inquiries = append(out.Inquiries, Inquiry{s.Name, s.Address, s.Incarnation})
		}
	}
	return out
}

// RecordResult records the result of an order's transmission.
func (p *Planner) RecordResult(now time.Duration, o Order, r Result) {
	s := p.servers[o.Server]
	if s == nil || s.Incarnation != o.Incarnation || s.inFlight == nil {
		return
	}
	loadTime := s.loadTime(p.catalogs[s.Service], o.Model)
	parallelLoads := 0
	if o.Load && o.Adapter == "" && s.loadsFromStore(o.Model) {
		parallelLoads = max(1, p.countStoreLoads(now))
		loadTime = p.storeConcurrency.loadTime(loadTime, parallelLoads)
	}
	s.applyResult(now, o, r, loadTime, parallelLoads)
}

// RecordReport records the answer to an inquiry; ok is false if there was none.
func (p *Planner) RecordReport(now time.Duration, q Inquiry, r Report, ok bool) {
	s := p.servers[q.Server]
	if s == nil || s.Incarnation != q.Incarnation {
		return
	}
	if !ok {
		s.inquiryPending = false
		return
	}
	s.applyReport(now, r, p.catalogs[s.Service])
	s.recordSizes(p.catalogs[s.Service])
}

// Holdings returns what each server holds, sorted by server name.
func (p *Planner) Holdings() []ServerHoldings {
	var out []ServerHoldings
	for _, s := range p.serversByName() {
		out = append(out, s.holdings())
	}
	return out
}

// serversByName returns the servers sorted by name.
func (p *Planner) serversByName() []*server { return p.sortedServers }

// mergeInput merges configuration, announcements and demand.
func (p *Planner) mergeInput(in Input) {
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
		s := p.servers[a.Name]
		// A server whose service has left the configuration still holds what it held.
		if s == nil && p.services[a.Service].Engine == nil {
			continue
		}
		present[a.Name] = true
		if s == nil || s.Incarnation != a.Incarnation {
			if s != nil {
				p.recordProcessEnd(in.Now, s)
			}
			s = newServer()
			p.servers[a.Name] = s
		}
		s.applyAnnouncement(in.Now, a)
		s.recordSizes(p.catalogs[s.Service])
		p.learnFromLoads(s)
	}
	for name, s := range p.servers {
		if !present[name] {
			p.recordProcessEnd(in.Now, s)
			delete(p.servers, name)
		}
	}
	p.sortedServers = slices.SortedFunc(maps.Values(p.servers), func(a, b *server) int { return cmp.Compare(a.Name, b.Name) })
	if !p.requestSeen {
		p.presumeBusyModels(in.Now)
	}
	p.mergeDemand(in)
	p.serverRates = map[string]float64{}
	p.sumDemandByModel(in.Now)
}

// presumeBusyModels assumes before the first request that models on several
// servers are busy, until requests give actual rates.
func (p *Planner) presumeBusyModels(now time.Duration) {
	replicas := map[string]int{}
	for _, s := range p.servers {
		for name := range s.models {
			replicas[name]++
		}
	}
	for name, n := range replicas {
		if n > 1 {
			p.rates[Target{Model: name}] = &rate{slow: maxServerRate * float64(n) / 2, lastArrival: now}
		}
	}
}

// isOffered reports whether any service has a model. Callers may request unknown
// names.
func (p *Planner) isOffered(model string) bool {
	for _, c := range p.catalogs {
		if _, ok := c[model]; ok {
			return true
		}
	}
	return false
}

// resendUnanswered sends the unanswered orders again. At most one of the copies
// is executed, since all of them expect the same number of accepted orders. A load
// that no longer fits is not repeated: an unload with the same number takes its place.
func (p *Planner) resendUnanswered(in Input, svc route.Service, out *Output) {
	for _, s := range p.serversByName() {
		if s.Service != svc.Name || s.unanswered == nil || !s.acceptsOrders() {
			continue
		}
		if s.unanswered.Load && s.usedMemory(svc.Engine.MemoryMiB) > svc.Engine.MemoryMiB {
			if name := p.settlingModel(svc, s); name != "" {
				p.sendOrder(in, s, Order{Target: Target{Model: name}, Reason: s.unanswered.Reason}, out)
			}
			continue
		}
		p.sendOrder(in, s, *s.unanswered, out)
	}
}

func (p *Planner) sendOrder(in Input, s *server, o Order, out *Output) {
	o.Server, o.Address, o.Incarnation = s.Name, s.Address, s.Incarnation
	o.ExpectedOrders, o.Fence = s.acceptedOrders, in.Fence
	if o.Load && o.Adapter == "" && !s.concerns(o.Model) {
		// The server fetches the model anew, in its present size.
		delete(s.sizes, o.Model)
	}
	s.inFlight = &o
	s.recordSize(p.catalogs[s.Service], o.Model)
	out.Orders = append(out.Orders, o)
}
