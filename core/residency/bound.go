package residency

import (
	"cmp"
	"slices"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// boundTarget is a target that requests wait for which only servers of one software version
// can serve, because they resume a stream that it began.
type boundTarget struct {
	Target
	version string
	waiting int
}

// planBound orders loads of models and adapters for requests that resume streams, on servers of
// the software version that began them. Their callers wait only for a moment, so that only
// weights that a server has in memory or on disk are loaded, and no unload waits for running
// requests.
func (p *Planner) planBound(in Input, svc route.Service, out *Output) {
	for _, t := range p.boundTargets(p.catalogs[svc.Name]) {
		holders := p.boundHolders(svc.Name, t)
		switch {
		case len(holders) == 0:
			p.loadForBound(in, svc, t, out)
		case t.Adapter != "" && !slices.ContainsFunc(holders, func(s *server) bool { return s.hasOrAwaits(t.Target) }):
			if s := p.adapterServer(in.Now, svc, t.Target, holders); s != nil {
				p.orderAdapter(in, svc.Engine, s, t.Target, out)
			}
		}
	}
}

// boundTargets returns the targets with waiting requests that are bound to a version, those
// with the most first.
func (p *Planner) boundTargets(models modelLookup) []boundTarget {
	var out []boundTarget
	for t, d := range p.demand {
		if _, ok := models.Model(t.Model); !ok {
			continue
		}
		for version, n := range d.bound {
			if n > 0 {
				out = append(out, boundTarget{t, version, n})
			}
		}
	}
	slices.SortFunc(out, func(a, b boundTarget) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.version, b.version))
	})
	return out
}

// boundHolders returns the servers of the version that hold the model or load it.
func (p *Planner) boundHolders(service string, t boundTarget) []*server {
	var out []*server
	for _, s := range p.serversByName() {
		if s.Service != service || s.SoftwareVersion != t.version || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		h := s.models[t.Model]
		loaded := h != nil && h.phase != Unloading
		if loaded || s.loadInFlight(t.Model) {
			out = append(out, s)
		}
	}
	return out
}

// loadForBound orders the load of a model on the server of the version where that costs the
// least, or an unload that frees memory for it.
func (p *Planner) loadForBound(in Input, svc route.Service, t boundTarget, out *Output) {
	m, _ := p.catalogs[svc.Name].Model(t.Model)
	if !p.mayBeLoaded(in.Now, t.Model) {
		return
	}
	p.countReplicas(in.Now, svc.Name)
	reservedServer := p.serverReservedFor(in.Now, svc.Name, t.Model)
	if reservedServer != nil && reservedServer.SoftwareVersion != t.version {
		reservedServer = nil
	}
	var best candidate
	for _, c := range p.candidates(svc) {
		s := c.server
		if s.SoftwareVersion != t.version || s.models[t.Model] != nil || s.loadsFromStore(t.Model) {
			continue
		}
		if reserved := s.reservedFor(in.Now); reservedServer != nil && s != reservedServer || reserved != "" && reserved != t.Model {
			continue
		}
		c.model, c.waiting, c.gain = m, true, awaitedModelValue+waitingRequestValue*float64(t.waiting)
		if p.planEvictions(in.Now, svc, &c) && (best.server == nil || c.score > best.score) {
			best = c
		}
	}
	if best.server == nil {
		return
	}
	reason := best.reason(t.waiting)
	reason.BoundVersion = t.version
	p.orderLoad(in, best, reason, out)
}

// unloads reports whether an adapter is being unloaded from a server.
func (s *server) unloads(t Target) bool {
	h := s.models[t.Model]
	return h != nil && h.adapters[t.Adapter] != nil && h.adapters[t.Adapter].phase == Unloading
}

// hasOrAwaits reports whether an adapter is loaded on a server or its load is in flight to it.
func (s *server) hasOrAwaits(t Target) bool {
	if h := s.models[t.Model]; h != nil && h.phase == Ready && h.adapters[t.Adapter] != nil && !s.unloads(t) {
		return true
	}
	return s.inFlight != nil && s.inFlight.Load && s.inFlight.Target == t
}
