package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// quiet is how long an adapter must be unused before it makes way.
const quiet = 300 * time.Millisecond

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

// adapters orders the adapters that are waited for.
func (p *Planner) adapters(in Input, svc route.Service, out *Output) {
	for _, t := range p.waitingAdapters(p.catalogs[svc.Name]) {
		if p.hasAdapter(svc.Name, t) {
			continue
		}
		if s := p.adapterPlace(in.Now, svc, t); s != nil {
			p.orderAdapter(in, svc.Engine, s, t, out)
		}
	}
}

func (p *Planner) waitingAdapters(e modelSource) []Target {
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
	models := p.catalogs[s.Service]
	m, _ := models.Model(t.Model)
	if s.adapterCount() >= e.AdapterSlots || s.used(models)+m.AdapterMiB > e.MemoryMiB {
		if old := s.oldestAdapter(in.Now); old != (Target{}) {
			p.send(in, s, Order{Target: old}, out)
		}
		return
	}
	p.send(in, s, Order{Load: true, Target: t}, out)
}
