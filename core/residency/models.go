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
	// waiterWorth is added for each request that waits.
	waiterWorth = 0.2
	// idleWorth is that of a first copy of a model nobody asked for yet: the
	// first request would wait for the weight store.
	idleWorth = 0.06
	// spareShare is the part of a model's rate that a second copy is worth, for
	// the loss of the first.
	spareShare = 0.004
	// adapterShare is the same for a copy that is needed for the adapters.
	adapterShare = 0.004
	// serverRate is the number of requests a second above which the prompts that
	// a server reads delay the streams that it runs. With 47 a second on one
	// server, most streams paused for longer than their routes allow.
	serverRate = 16
	// crowdedShare is the worth of one request a second that a further copy takes
	// from a crowded server: it would be late there, not lost.
	crowdedShare = 1.0
	// runningCost is what each running request adds to the loss of a model: the
	// unload waits for it.
	runningCost = 0.4
	// drainTime is how long before a waiting caller gives up a load may wait for
	// the requests of another model.
	drainTime = 2500 * time.Millisecond
	// maxDrained is the number of running requests that an unload may wait for. A
	// server that unloads takes no other order meanwhile.
	maxDrained = 2
	// maxCrowdDrained is the same for a load that gains more than crowdGain, as
	// for a busy model.
	maxCrowdDrained = 6
	crowdGain       = 8
	// usualUnload is how long an unload usually waits for running requests.
	usualUnload = 1500 * time.Millisecond
	// storeMargin is how much earlier a server with the weights at hand must have
	// them ready to be preferred to the store.
	storeMargin = 1500 * time.Millisecond
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
	// used is the memory that the server's models take, and filled the part of it
	// that their requests fill.
	used, filled float64
	// copies is the number of other copies, and waiting is set if requests wait
	// for the first.
	copies  int
	waiting bool
	// drain allows victims with running requests.
	drain      bool
	gain, loss float64
	score      float64
}

// why explains the orders of a choice.
func (c *choice) why(waiting int) Why {
	return Why{
		For: c.model.Name, Source: c.server.source(c.model.Name), Gain: c.gain, Loss: c.loss, Copies: c.copies, Waiting: waiting,
	}
}

// models orders loads, best first, and the unloads that make room for them.
func (p *Planner) models(in Input, svc route.Service, out *Output) {
	for {
		c, ok := p.best(in, svc)
		if !ok {
			return
		}
		c.server.reserved, c.server.reservedAt = c.model.Name, in.Now
		_, waiting, _ := p.load(c.model.Name)
		why := c.why(waiting)
		if len(c.victims) > 0 {
			p.send(in, c.server, Order{Target: Target{Model: c.victims[0]}, Why: why}, out)
			continue
		}
		if c.server.fromStore(c.model.Name) {
			p.storeStarts = append(p.storeStarts, in.Now)
		}
		c.server.reserved = ""
		p.send(in, c.server, Order{Load: true, Target: Target{Model: c.model.Name}, Why: why}, out)
	}
}

// best returns the load with the highest net gain that is worth it.
func (p *Planner) best(in Input, svc route.Service) (choice, bool) {
	p.tally(svc.Name)
	store := p.storeAllows(in.Now, svc)
	loading := p.storeLoading(in.Now)
	free := p.free(svc)
	var best choice
	for _, m := range svc.Engine.Models {
		copies, pending := p.copies(m.Name)
		rescue := false
		if pending {
			if rescue = p.rescues(in.Now, svc.Name, m.Name); !rescue {
				continue
			}
			copies = 0
		}
		gain := p.worth(svc, m, copies)
		if gain < copyCost {
			continue
		}
		place := p.reservation(in.Now, svc.Name, m.Name)
		most := storeLoads
		if copies == 0 && p.asked && !p.wanted(m.Name) {
			most = idleStoreLoads
		}
		for _, option := range free {
			s := option.server
			if s.models[m.Name] != nil {
				continue
			}
			if place != nil && s != place || s.reservedFor(in.Now) != "" && s.reserved != m.Name {
				continue
			}
			// A server that has made room for the model holds its place at the store.
			served := store && (s == place || loading < most)
			if s.fromStore(m.Name) && (!served || rescue || copies == 0 && !p.storeWorth(in.Now, svc, m, gain)) {
				continue
			}
			c := option
			c.model, c.gain, c.copies = m, gain, copies
			c.waiting, c.drain = p.urgency(in.Now, m.Name, copies)
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

// free returns a choice without a model for each server of a service that can
// take an order for one.
func (p *Planner) free(svc route.Service) []choice {
	var out []choice
	for _, s := range p.sorted() {
		if s.Service == svc.Name && s.orderable() && !s.working() && s.uncertain == nil {
			out = append(out, p.option(svc, s))
		}
	}
	return out
}

// option returns a choice without a model for a server.
func (p *Planner) option(svc route.Service, s *server) choice {
	return choice{server: s, used: s.used(p.catalogs[svc.Name]), filled: p.filled(svc, s)}
}

// wanted reports whether requests ask for a model.
func (p *Planner) wanted(model string) bool {
	rate, waiting, _ := p.load(model)
	return rate > 0 || waiting > 0
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

// worth is the value of one more copy beyond the given number.
func (p *Planner) worth(svc route.Service, m route.Model, copies int) float64 {
	rate, waiting, adapters := p.load(m.Name)
	if copies <= 0 {
		w := rate + idleWorth
		if waiting > 0 {
			w += waitingWorth + waiterWorth*float64(waiting)
		}
		return w
	}
	w := 0.0
	if copies == 1 {
		w = spareShare * rate
	}
	share := p.share(svc, m.Name)
	if over := share - float64(copies); over > 0 {
		w += crowdedShare * rate * over / share / float64(copies)
	}
	if adapters > svc.Engine.AdapterSlots*copies {
		w += adapterShare * rate
	}
	return w
}

// urgency reports whether requests wait for the first copy of a model, and
// whether that or the lack of a further copy warrants to wait for the running
// requests of another model. A swap with an idle model takes less than the
// objective of a patient request, and both models are then served in time; one
// that waits for running requests keeps two models from being served.
func (p *Planner) urgency(now time.Duration, model string, copies int) (waiting, drain bool) {
	if copies > 0 {
		return false, true
	}
	l := p.loads[model]
	if l == nil || l.waiting == 0 {
		return false, false
	}
	return true, l.leaves-now < drainTime
}

// makeRoom picks the models that must go for a load and scores the load. It
// reports whether the load is possible and worth it.
func (p *Planner) makeRoom(now time.Duration, svc route.Service, c *choice) bool {
	e, models := svc.Engine, p.catalogs[svc.Name]
	free := e.MemoryMiB - c.used
	filled := c.filled + p.share(svc, c.model.Name)/float64(c.copies+1)
	loss := 0.0
	for free < c.model.MemoryMiB {
		// Before the first request nothing is known that warrants an unload.
		victim, cost, ok := p.cheapest(now, svc, c)
		if !ok || !p.asked {
			return false
		}
		m, _ := models.Model(victim)
		free += m.MemoryMiB + float64(len(c.server.models[victim].adapters))*m.AdapterMiB
		loss += cost
		c.victims = append(c.victims, victim)
		filled -= p.part(svc, victim)
	}
	cost := copyCost
	if c.server.fromStore(c.model.Name) {
		cost = storeCost
	}
	factor := float64(preloadFactor)
	if c.waiting || c.copies > 0 {
		factor = waitingFactor
	}
	if c.gain < factor*loss+cost {
		return false
	}
	crowd := serverRate * max(0, filled-1)
	load := c.server.loadTime(models, c.model.Name).Seconds()
	c.loss = loss
	leftover := (free - c.model.MemoryMiB) / e.MemoryMiB
	c.score = (c.gain-loss-crowdedShare*crowd)/(1+slowness*load) + 0.01*(1-leftover)
	return true
}

// part is the part of a server that the requests for one copy of a model fill.
func (p *Planner) part(svc route.Service, model string) float64 {
	copies, _ := p.copies(model)
	return p.share(svc, model) / float64(max(1, copies))
}

// filled is the part of a server that the requests for its models fill.
func (p *Planner) filled(svc route.Service, s *server) float64 {
	total := 0.0
	for name, h := range s.models {
		if h.phase != Unloading {
			total += p.part(svc, name)
		}
	}
	return total
}

// cheapest returns the model whose loss on a server costs least.
func (p *Planner) cheapest(now time.Duration, svc route.Service, c *choice) (string, float64, bool) {
	s := c.server
	type option struct {
		name string
		cost float64
	}
	var options []option
	for name, h := range s.models {
		if h.phase != Ready || now-h.since < minResidency || slices.Contains(c.victims, name) {
			continue
		}
		m, ok := p.catalogs[svc.Name].Model(name)
		if !ok {
			continue
		}
		copies, _ := p.copies(name)
		cost := p.worth(svc, m, copies-1)
		running := p.runningOn(name, s.Name)
		most := maxDrained
		if c.gain > crowdGain {
			most = maxCrowdDrained
		}
		if running > most || running > 0 && !c.drain {
			continue
		}
		cost += runningCost * float64(running)
		options = append(options, option{name, cost})
	}
	if len(options) == 0 {
		return "", 0, false
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return options[0].name, options[0].cost, true
}
