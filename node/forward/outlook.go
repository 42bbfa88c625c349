package forward

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/patience"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
)

// outlooks tell when a server can take a request for which none is ready.
type outlooks struct {
	// engines are those of the services by name.
	engines map[string]*route.Engine
	// readyAt are the predicted ends of loads.
	readyAt map[routing.Key]time.Duration
	// held are the models that a server is ready for.
	held map[routing.Key]bool
	// atHand are the shortest load times of models whose weights a server has in
	// memory or on disk.
	atHand map[routing.Key]time.Duration
}

func newOutlooks() *outlooks {
	return &outlooks{
		engines: map[string]*route.Engine{}, readyAt: map[routing.Key]time.Duration{},
		held: map[routing.Key]bool{}, atHand: map[routing.Key]time.Duration{},
	}
}

// add notes what an engine's server can offer. A leaving server loads nothing.
func (o *outlooks) add(s membership.Presence, engine *route.Engine, holdings []residency.Holding) {
	o.engines[s.Service] = engine
	if s.Leaving {
		return
	}
	for _, h := range holdings {
		o.addHolding(s.Service, h)
	}
	for _, c := range s.Cached {
		m, ok := engine.Model(c.Model)
		if !ok {
			continue
		}
		load := m.DiskLoad
		if c.Tier == membership.TierMemory {
			load = m.MemoryLoad
		}
		key := routing.Key{Service: s.Service, Model: c.Model}
		if known, ok := o.atHand[key]; !ok || load < known {
			o.atHand[key] = load
		}
	}
}

func (o *outlooks) addHolding(service string, h residency.Holding) {
	key := routing.Key{Service: service, Model: h.Model, Adapter: h.Adapter}
	switch h.Phase {
	case residency.Ready:
		o.held[key] = true
	case residency.Loading:
		if at, known := o.readyAt[key]; !known || h.ReadyAt < at {
			o.readyAt[key] = h.ReadyAt
		}
	}
}

// of returns the outlook of a request.
func (o *outlooks) of(key routing.Key) patience.Outlook {
	model := routing.Key{Service: key.Service, Model: key.Model}
	for _, k := range []routing.Key{key, model} {
		if at, ok := o.readyAt[k]; ok {
			return patience.Outlook{Known: true, ReadyAt: at}
		}
	}
	return patience.Outlook{Soonest: o.soonest(model)}
}

// soonest is how long a load takes that begins now. An adapter of a model that
// is held takes next to no time.
func (o *outlooks) soonest(model routing.Key) time.Duration {
	if o.held[model] || o.engines[model.Service] == nil {
		return 0
	}
	if load, ok := o.atHand[model]; ok {
		return load
	}
	m, _ := o.engines[model.Service].Model(model.Model)
	return m.StoreLoad
}
