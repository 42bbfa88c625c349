package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// Worth of a copy of a model, in requests a second that it serves in time, and
// what bounds it.
const (
	// waitingWorth is added to the first copy of a model that is waited for.
	waitingWorth = 5
	// idleWorth is that of a first copy of a model nobody asked for yet: the
	// first request would wait for the weight store.
	idleWorth = 0.06
	// spareShare is the part of a model's rate that a second copy is worth, for
	// the loss of the first.
	spareShare = 0.004
	// crowdedShare is the same for a copy that is needed for the load, and
	// adapterShare for one that is needed for the adapters.
	crowdedShare = 0.3
	adapterShare = 0.004
	// crowded is the share of a server's slots above which a model should have
	// another copy.
	crowded = 0.35
	// runningCost is what each running request adds to the loss of a model: the
	// unload waits for it.
	runningCost = 0.4
	// waitingFactor and preloadFactor are how many times the loss a load must
	// gain, for models that are waited for and for others. They keep models of
	// about the same worth from taking turns.
	waitingFactor = 2
	preloadFactor = 5
	// slowness is the part of a load's gain that each second of it costs.
	slowness = 0.6
	// reservationTime is how long a server may make room for a model.
	reservationTime = 6 * time.Second
	// storeCost is what a load from the weight store must gain, and copyCost
	// what another load must.
	storeCost = 0.05
	copyCost  = 0.02
)

// choice is one load that a server could do.
type choice struct {
	model   route.Model
	server  *server
	victims []string
	gain    float64
	score   float64
}

// models orders loads, best first, and the unloads that make room for them.
func (p *Planner) models(in Input, svc route.Service, out *Output) {
	for {
		c, ok := p.best(in, svc)
		if !ok {
			return
		}
		c.server.reserved, c.server.reservedAt = c.model.Name, in.Now
		if len(c.victims) > 0 {
			p.send(in, c.server, Order{Target: Target{Model: c.victims[0]}}, out)
			continue
		}
		if c.server.fromStore(c.model.Name) {
			p.storeStarts = append(p.storeStarts, in.Now)
		}
		c.server.reserved = ""
		p.send(in, c.server, Order{Load: true, Target: Target{Model: c.model.Name}}, out)
	}
}

// best returns the load with the highest net gain that is worth it.
func (p *Planner) best(in Input, svc route.Service) (choice, bool) {
	store := p.storeFree(in.Now, svc)
	var best choice
	for _, m := range svc.Engine.Models {
		copies, pending := p.copies(svc.Name, m.Name)
		if pending {
			continue
		}
		place := p.reservation(in.Now, svc.Name, m.Name)
		gain := p.worth(in.Now, svc, m, copies)
		for _, s := range p.sorted() {
			if s.Service != svc.Name || !s.orderable() || s.working() || s.models[m.Name] != nil || s.uncertain != nil {
				continue
			}
			if place != nil && s != place || s.reservedFor(in.Now) != "" && s.reserved != m.Name {
				continue
			}
			fromStore := s.fromStore(m.Name)
			if fromStore && !store {
				continue
			}
			c := choice{model: m, server: s, gain: gain}
			if !p.makeRoom(in.Now, svc, &c) {
				continue
			}
			if c.score > best.score {
				best = c
			}
		}
	}
	return best, best.server != nil
}

// reservation returns the server that makes room for a model, if one does.
func (p *Planner) reservation(now time.Duration, service, model string) *server {
	for _, s := range p.servers {
		if s.Service == service && !s.Leaving && !s.Silent && s.reservedFor(now) == model {
			return s
		}
	}
	return nil
}

// reservedFor returns the model that the server makes room for. A reservation
// ends when the unloads take too long, so that the model can go elsewhere.
func (s *server) reservedFor(now time.Duration) string {
	if s.reserved == "" || now-s.reservedAt > reservationTime {
		return ""
	}
	return s.reserved
}

// copies counts the live copies of a model that are held or being loaded.
// Pending reports an order for the model on its way or a server that is being
// emptied for it.
func (p *Planner) copies(service, model string) (n int, pending bool) {
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent {
			continue
		}
		if o := s.flying; o != nil && o.Adapter == "" && o.Model == model {
			pending = true
		}
		if o := s.uncertain; o != nil && o.Adapter == "" && o.Model == model {
			pending = true
		}
		if h := s.models[model]; h != nil && h.phase != Unloading {
			n++
			pending = pending || h.phase == Loading
		}
	}
	return n, pending
}

// worth is the value of one more copy beyond the given number.
func (p *Planner) worth(now time.Duration, svc route.Service, m route.Model, copies int) float64 {
	rate, running, waiting, adapters := p.load(now, m.Name)
	if copies == 0 {
		w := rate + idleWorth
		if waiting > 0 {
			w += waitingWorth
		}
		return w
	}
	w := 0.0
	if copies == 1 {
		w = spareShare * rate
	}
	if float64(running) > crowded*float64(svc.Engine.Slots*copies) {
		w += crowdedShare * rate
	}
	if adapters > svc.Engine.AdapterSlots*copies {
		w += adapterShare * rate
	}
	return w
}

// load sums the demand for a model and its adapters.
func (p *Planner) load(now time.Duration, model string) (rate float64, running, waiting, adapters int) {
	for t, r := range p.rates {
		if t.Model == model {
			rate += r.at(now)
			if t.Adapter != "" {
				adapters++
			}
		}
	}
	for t, d := range p.demand {
		if t.Model == model {
			running += d.running
			waiting += d.waiting
		}
	}
	return rate, running, waiting, adapters
}

// makeRoom picks the models that must go for a load and scores the load. It
// reports whether the load is possible and worth it.
func (p *Planner) makeRoom(now time.Duration, svc route.Service, c *choice) bool {
	e := svc.Engine
	free := e.MemoryMiB - c.server.used(e)
	loss := 0.0
	for free < c.model.MemoryMiB {
		victim, cost, ok := p.cheapest(now, svc, c.server, c.victims)
		if !ok {
			return false
		}
		m, _ := e.Model(victim)
		free += m.MemoryMiB + float64(len(c.server.models[victim].adapters))*m.AdapterMiB
		loss += cost
		c.victims = append(c.victims, victim)
	}
	cost := copyCost
	if c.server.fromStore(c.model.Name) {
		cost = storeCost
	}
	factor := float64(preloadFactor)
	if c.gain > waitingWorth {
		factor = waitingFactor
	}
	if c.gain < factor*loss+cost {
		return false
	}
	load := c.server.loadTime(e, c.model.Name).Seconds()
	leftover := (free - c.model.MemoryMiB) / e.MemoryMiB
	c.score = (c.gain-loss)/(1+slowness*load) + 0.01*(1-leftover)
	return true
}

// cheapest returns the model whose loss on a server costs least.
func (p *Planner) cheapest(now time.Duration, svc route.Service, s *server, chosen []string) (string, float64, bool) {
	type option struct {
		name string
		cost float64
	}
	var options []option
	for name, h := range s.models {
		if h.phase != Ready || now-h.since < minResidency || slices.Contains(chosen, name) {
			continue
		}
		m, ok := svc.Engine.Model(name)
		if !ok {
			continue
		}
		copies, _ := p.copies(svc.Name, name)
		cost := p.worth(now, svc, m, copies-1)
		if d := p.demand[Target{Model: name}]; d != nil && d.runningOn[s.Name] > 0 {
			cost += runningCost * float64(d.runningOn[s.Name])
		}
		options = append(options, option{name, cost})
	}
	if len(options) == 0 {
		return "", 0, false
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return options[0].name, options[0].cost, true
}

// storeFree reports whether another load from the weight store may begin.
func (p *Planner) storeFree(now time.Duration, svc route.Service) bool {
	p.storeStarts = slices.DeleteFunc(p.storeStarts, func(at time.Duration) bool { return now-at > ceilingWindow })
	if float64(len(p.storeStarts)+1) > ceilingShare*svc.Engine.LoadsPerSecond*ceilingWindow.Seconds() {
		return false
	}
	loading := 0
	for _, s := range p.servers {
		for name, h := range s.models {
			if h.phase == Loading && s.fromStore(name) {
				loading++
			}
		}
		if o := s.flying; o != nil && o.Load && o.Adapter == "" && s.fromStore(o.Model) {
			loading++
		}
	}
	return loading < storeLoads
}
