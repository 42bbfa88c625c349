package residency

import (
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

const (
	// idleStoreLoadDivisor divides the number of loads from the weight store for
	// models that are not requested, once any request has arrived. A load takes
	// seconds, and requested models would wait for it.
	idleStoreLoadDivisor = 2
	// localCapacityWait is how long the servers with the weights in memory or
	// on disk may lack capacity before the store is used. Most streams end
	// within this time. If the store were used at once, it would load models
	// that such a server could load half a second later.
	localCapacityWait = 2 * time.Second
	// storeRateWindow and storeRateShare limit the loads from the store that
	// begin in a window to a share of what the store allows.
	storeRateWindow = 5 * time.Second
	storeRateShare  = 0.8
)

// shouldLoadFromStore reports whether the first replica of a model should come
// from the weight store. A server that has the weights in memory or on disk,
// and can soon unload enough, has the model ready earlier. The store is used
// once no such server has had capacity for localCapacityWait.
func (p *Planner) shouldLoadFromStore(now time.Duration, svc route.Service, m route.Model, gain float64) bool {
	hasLocalWeights := false
	for _, s := range p.servers {
		if s.Service != svc.Name || s.Leaving || s.Silent || s.unreachable || s.fenced || s.loadsFromStore(m.Name) {
			continue
		}
		if s.models[m.Name] != nil || !p.limitAllows(s, m.Name, 0) {
			// Its limit is why the model is needed elsewhere.
			continue
		}
		if s.availableAt(now)+s.loadTime(p.catalogs[svc.Name], m.Name) >= now+m.StoreLoad-localLoadMargin {
			continue
		}
		if !s.acceptsOrders() || s.modelOrderUnderWay() || p.hasCapacity(now, svc, m, s, gain) {
			delete(p.capacityShortages, m.Name)
			return false
		}
		hasLocalWeights = true
	}
	if !hasLocalWeights {
		return true
	}
	shortage, ok := p.capacityShortages[m.Name]
	if !ok || now-shortage.seen > localCapacityWait {
		shortage.since = now
	}
	shortage.seen = now
	p.capacityShortages[m.Name] = shortage
	return now-shortage.since >= localCapacityWait
}

// capacityShortage records since when no server with a model's weights in
// memory or on disk has capacity, and when that was last observed.
type capacityShortage struct{ since, seen time.Duration }

// hasCapacity reports whether a server without a model order under way could load
// the first replica of a model, after unloading others if needed.
func (p *Planner) hasCapacity(now time.Duration, svc route.Service, m route.Model, s *server, gain float64) bool {
	if r := s.reservedFor(now); r != "" && r != m.Name {
		return false
	}
	c := p.newCandidate(svc, s)
	c.model, c.gain = m, gain
	c.waiting, c.allowDrain = p.urgency(now, m.Name, 0)
	return p.planEvictions(now, svc, &c)
}

// availableAt returns the predicted time at which a server can accept an order
// for a model.
func (s *server) availableAt(now time.Duration) time.Duration {
	at := now
	for _, h := range s.models {
		switch h.phase {
		case Loading:
			at = max(at, h.readyAt)
		case Unloading:
			at = max(at, h.since+usualUnloadTime)
		}
	}
	return at
}

// needsSecondLoad reports whether requests wait for a model whose only replica
// loads so slowly that a server with the weights in memory or on disk would
// have it ready earlier.
func (p *Planner) needsSecondLoad(now time.Duration, service, model string) bool {
	waiting, _ := p.urgency(now, model, 0)
	if !waiting {
		return false
	}
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		if o := s.inFlight; o != nil && o.Model == model || s.unanswered != nil && s.unanswered.Model == model {
			return false
		}
		if h := s.models[model]; h != nil && (h.phase == Ready || h.phase == Loading && h.readyAt < now+localLoadMargin) {
			return false
		}
	}
	return true
}

// storeRateAllows reports whether the rate limit of the weight store allows
// another load.
func (p *Planner) storeRateAllows(now time.Duration, svc route.Service) bool {
	p.recentStoreLoads = slices.DeleteFunc(p.recentStoreLoads, func(at time.Duration) bool { return now-at > storeRateWindow })
	return float64(len(p.recentStoreLoads)+1) <= storeRateShare*svc.Engine.LoadsPerSecond*storeRateWindow.Seconds()
}

// countStoreLoads counts the loads from the weight store that are under way,
// and those for which servers are reserved.
func (p *Planner) countStoreLoads(now time.Duration) int {
	count := 0
	for _, s := range p.servers {
		if r := s.reservedFor(now); r != "" && s.models[r] == nil && s.loadsFromStore(r) && !s.loadInFlight(r) {
			count++
		}
		for name, h := range s.models {
			if h.phase == Loading && s.loadsFromStore(name) {
				count++
			}
		}
		if o := s.inFlight; o != nil && o.Load && o.Adapter == "" && s.loadsFromStore(o.Model) {
			count++
		}
	}
	return count
}

// loadInFlight reports whether a load order for the model waits for its answer.
func (s *server) loadInFlight(model string) bool {
	return s.inFlight != nil && s.inFlight.Load && s.inFlight.Adapter == "" && s.inFlight.Model == model
}
