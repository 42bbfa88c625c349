package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// adapterIdleTime is how long an adapter must be unused before it may be
// unloaded to make room for another.
const adapterIdleTime = 300 * time.Millisecond

// markAdaptersUsed records the current time as the last use of each adapter
// with running requests.
func (p *Planner) markAdaptersUsed(in Input) {
	for t, d := range p.demand {
		if t.Adapter == "" {
			continue
		}
		for name := range d.runningOn {
			if s := p.servers[name]; s != nil && s.models[t.Model] != nil {
				if a := s.models[t.Model].adapters[t.Adapter]; a != nil {
					a.lastUsed = in.Now
				}
			}
		}
	}
}

// planAdapters orders loads of the adapters that requests wait for.
func (p *Planner) planAdapters(in Input, svc route.Service, out *Output) {
	for _, t := range p.requestedAdapters(p.catalogs[svc.Name]) {
		if p.hasAdapter(svc.Name, t) {
			continue
		}
		if s := p.adapterServer(in.Now, svc, t, p.serversByName()); s != nil {
			p.orderAdapter(in, svc.Engine, s, t, out)
		}
	}
}

// requestedAdapters returns the adapters that requests wait for, those with the
// most waiting requests first.
func (p *Planner) requestedAdapters(models modelLookup) []Target {
	var out []Target
	for t, d := range p.demand {
		if _, ok := models.Model(t.Model); ok && t.Adapter != "" && d.waiting > 0 {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(p.demand[b].waiting, p.demand[a].waiting), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}

// hasAdapter reports whether a server that is not leaving, silent or unreachable
// has the adapter loaded, or a load of it is in flight to one.
func (p *Planner) hasAdapter(service string, t Target) bool {
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		if s.hasOrAwaits(t) {
			return true
		}
	}
	return false
}

// adapterServer returns the one of the servers that has the model of an adapter loaded and the
// fewest adapter slots in use, or nil. A server that unloads the adapter cannot load it yet.
func (p *Planner) adapterServer(now time.Duration, svc route.Service, t Target, servers []*server) *server {
	var best *server
	bestScore := math.Inf(1)
	for _, s := range servers {
		h := s.models[t.Model]
		if s.Service != svc.Name || h == nil || h.phase != Ready || s.unloads(t) || !s.acceptsOrders() || s.modelOrderUnderWay() {
			continue
		}
		usedSlots := s.usedAdapterSlots()
		if usedSlots >= svc.Engine.AdapterSlots && s.evictableAdapter(now) == (Target{}) {
			continue
		}
		if score := float64(usedSlots); score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// evictableAdapter returns the least recently used adapter that has been unused
// for adapterIdleTime, or an empty target.
func (s *server) evictableAdapter(now time.Duration) Target {
	var out Target
	oldest := now - adapterIdleTime
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		for a, x := range s.models[name].adapters {
			if x.phase == Unloading {
				continue
			}
			if x.lastUsed < oldest || x.lastUsed == oldest && out.Adapter > a {
				out, oldest = Target{name, a}, x.lastUsed
			}
		}
	}
	return out
}

// orderAdapter orders the load of an adapter, or first an unload that makes room for
// it if slots or memory are short: that of a model that the service no longer offers, or
// of an unused adapter.
func (p *Planner) orderAdapter(in Input, engine *route.Engine, s *server, t Target, out *Output) {
	models := p.catalogs[s.Service]
	noMemory := s.usedMemory(engine.MemoryMiB)+s.sizes[t.Model].adapter > engine.MemoryMiB
	if noMemory || s.usedAdapterSlots() >= engine.AdapterSlots {
		victim := Target{Model: s.withdrawnModel(models)}
		if !noMemory || victim.Model == "" {
			victim = s.evictableAdapter(in.Now)
		}
		if victim != (Target{}) {
			p.sendOrder(in, s, Order{Target: victim}, out)
		}
		return
	}
	p.sendOrder(in, s, Order{Load: true, Target: t}, out)
}
