package residency

import (
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

const (
	// storeLoads is how many loads from the weight store run at once. The store
	// serves no more at full speed, and more would delay the urgent ones.
	storeLoads = 4
	// idleStoreLoads is how many run at once for models that nobody asks for, once
	// requests come in. A load takes seconds, and others would wait for it.
	idleStoreLoads = 2
	// roomWait is how long the servers with the weights at hand may be without
	// room before the store is asked. Most streams end within it. Asked at once, the
	// store loads models that such a server would hold half a second later.
	roomWait = 2 * time.Second
	// ceilingWindow and ceilingShare bound the loads from the store that begin
	// in a window to a share of what the store allows.
	ceilingWindow = 5 * time.Second
	ceilingShare  = 0.8
)

// storeWorth reports whether the first copy of a model should come from the
// weight store. A server that has the weights at hand, and can make room for
// them soon, has them ready earlier. The store is asked once no such server had
// room for a while.
func (p *Planner) storeWorth(now time.Duration, svc route.Service, m route.Model, gain float64) bool {
	atHand := false
	for _, s := range p.servers {
		if s.Service != svc.Name || s.Leaving || s.Silent || s.unreachable || s.fenced || s.fromStore(m.Name) {
			continue
		}
		if s.freeAt(now)+s.loadTime(p.catalogs[svc.Name], m.Name) >= now+m.StoreLoad-storeMargin {
			continue
		}
		if !s.orderable() || s.working() || p.hasRoom(now, svc, m, s, gain) {
			delete(p.full, m.Name)
			return false
		}
		atHand = true
	}
	if !atHand {
		return true
	}
	f, ok := p.full[m.Name]
	if !ok || now-f.seen > roomWait {
		f.since = now
	}
	f.seen = now
	p.full[m.Name] = f
	return now-f.since >= roomWait
}

// fullness is since when no server with a model's weights at hand has room, and
// when that was last seen.
type fullness struct{ since, seen time.Duration }

// hasRoom reports whether a server that is at work on nothing could make room
// for the first copy of a model.
func (p *Planner) hasRoom(now time.Duration, svc route.Service, m route.Model, s *server, gain float64) bool {
	if r := s.reservedFor(now); r != "" && r != m.Name {
		return false
	}
	c := p.option(svc, s)
	c.model, c.gain = m, gain
	c.waiting, c.drain = p.urgency(now, m.Name, 0)
	return p.makeRoom(now, svc, &c)
}

// freeAt is when a server can take an order for a model.
func (s *server) freeAt(now time.Duration) time.Duration {
	at := now
	for _, h := range s.models {
		switch h.phase {
		case Loading:
			at = max(at, h.readyAt)
		case Unloading:
			at = max(at, h.since+usualUnload)
		}
	}
	return at
}

// rescues reports whether requests wait for a model whose only copy is loaded
// so slowly that a server with the weights at hand would have it ready earlier.
func (p *Planner) rescues(now time.Duration, service, model string) bool {
	waiting, _ := p.urgency(now, model, 0)
	if !waiting {
		return false
	}
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		if o := s.flying; o != nil && o.Model == model || s.uncertain != nil && s.uncertain.Model == model {
			return false
		}
		if h := s.models[model]; h != nil && (h.phase == Ready || h.phase == Loading && h.readyAt < now+storeMargin) {
			return false
		}
	}
	return true
}

// storeAllows reports whether the ceiling admits another load from the weight
// store.
func (p *Planner) storeAllows(now time.Duration, svc route.Service) bool {
	p.storeStarts = slices.DeleteFunc(p.storeStarts, func(at time.Duration) bool { return now-at > ceilingWindow })
	return float64(len(p.storeStarts)+1) <= ceilingShare*svc.Engine.LoadsPerSecond*ceilingWindow.Seconds()
}

// storeLoading counts the loads from the weight store that are under way, and
// those that servers make room for.
func (p *Planner) storeLoading(now time.Duration) int {
	loading := 0
	for _, s := range p.servers {
		if r := s.reservedFor(now); r != "" && s.models[r] == nil && s.fromStore(r) && !s.flyingLoad(r) {
			loading++
		}
		for name, h := range s.models {
			if h.phase == Loading && s.fromStore(name) {
				loading++
			}
		}
		if o := s.flying; o != nil && o.Load && o.Adapter == "" && s.fromStore(o.Model) {
			loading++
		}
	}
	return loading
}

// flyingLoad reports whether a load of the model waits for its answer.
func (s *server) flyingLoad(model string) bool {
	return s.flying != nil && s.flying.Load && s.flying.Adapter == "" && s.flying.Model == model
}
