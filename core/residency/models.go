package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// Weights for the value of a replica, and limits on loads and unloads. The value
// of a replica is in requests per second that it serves in time.
const (
	// awaitedModelValue is added to the value of the first replica of a model
	// that requests wait for.
	awaitedModelValue = 5
	// waitingRequestValue is added for each waiting request.
	waitingRequestValue = 0.2
	// idleModelValue is the value of the first replica of a model that has not
	// been requested yet: without it, the first request would wait for the
	// weight store.
	idleModelValue = 0.06
	// spareReplicaShare is the value of a second replica, as a part of the model's
	// request rate. It protects against the loss of the first.
	spareReplicaShare = 0.004
	// adapterReplicaShare is the value of a further replica whose adapter slots are
	// needed, as a part of the model's request rate.
	adapterReplicaShare = 0.004
	// overloadShare is the value of each request per second that a further
	// replica takes over from an overloaded server: there the request would be
	// late, not lost.
	overloadShare = 1.0
	// runningRequestCost is what each running request adds to the cost of
	// unloading a model: the unload waits for it.
	runningRequestCost = 0.4
	// drainThreshold is the remaining time of a waiting caller below which the load
	// of the requested model may wait for the running requests of another model.
	drainThreshold = 2500 * time.Millisecond
	// maxDrainedRequests is the number of running requests that an unload may
	// wait for. Meanwhile the server accepts no other order.
	maxDrainedRequests = 2
	// maxBusyDrainedRequests replaces maxDrainedRequests for a load that gains more
	// than busyModelGain, which is usual for a busy model.
	maxBusyDrainedRequests = 6
	busyModelGain          = 8
	// usualUnloadTime is how long an unload usually waits for running
	// requests.
	usualUnloadTime = 1500 * time.Millisecond
	// localLoadMargin is how much earlier a server with the weights in memory
	// or on disk must have the model ready to be preferred to a load from the
	// store.
	localLoadMargin = 1500 * time.Millisecond
	// awaitedGainFactor and preloadGainFactor are the minimum ratios of a
	// load's gain to its loss, for models that requests wait for or that need
	// a further replica, and for others. They prevent models of similar value
	// from replacing each other in turn.
	awaitedGainFactor = 2
	preloadGainFactor = 5
	// loadTimePenalty reduces the score of a slow load: the net gain is divided
	// by 1 + loadTimePenalty * load time in seconds.
	loadTimePenalty = 0.6
	// reservationTime is how long a server may stay reserved for a model while
	// it unloads others.
	reservationTime = 6 * time.Second
	// storeLoadCost is the cost of a load from the weight store, and loadCost
	// the cost of any other load. The gain of a load must be at least this cost
	// plus its loss times awaitedGainFactor or preloadGainFactor.
	storeLoadCost = 0.05
	loadCost      = 0.02
)

// candidate is one load that a server could execute.
type candidate struct {
	model   route.Model
	server  *server
	victims []string
	// usedMemory is the memory that the server's models and adapters take, in
	// MiB. utilisation is the load of their requests, where 1 is a fully used
	// server.
	usedMemory, utilisation float64
	// replicas is the number of other replicas, and waiting is set if requests
	// wait for the first replica.
	replicas int
	waiting  bool
	// allowDrain permits victims with running requests.
	allowDrain bool
	gain, loss float64
	score      float64
}

// reason returns the explanation that is attached to the orders of a candidate.
func (c *candidate) reason(waiting int) OrderReason {
	return OrderReason{
		LoadModel: c.model.Name, Source: c.server.source(c.model.Name), Gain: c.gain, Loss: c.loss, OtherReplicas: c.replicas, Waiting: waiting,
	}
}

// planModels orders loads, best first, and the unloads that free memory for
// them.
func (p *Planner) planModels(in Input, svc route.Service, out *Output) {
	for {
		c, ok := p.bestCandidate(in, svc)
		if !ok {
			return
		}
		_, waiting, _ := p.demandFor(c.model.Name)
		p.orderLoad(in, c, c.reason(waiting), out)
	}
}

// orderLoad orders the load of a candidate or, if the server lacks memory, the unload of its
// first victim. The server is then reserved for the load.
func (p *Planner) orderLoad(in Input, c candidate, reason OrderReason, out *Output) {
	if len(c.victims) > 0 {
		c.server.reservedModel, c.server.reservedAt = c.model.Name, in.Now
		p.sendOrder(in, c.server, Order{Target: Target{Model: c.victims[0]}, Reason: reason}, out)
		return
	}
	if c.server.loadsFromStore(c.model.Name) {
		p.recentStoreLoads = append(p.recentStoreLoads, in.Now)
	}
	c.server.reservedModel = ""
	p.sendOrder(in, c.server, Order{Load: true, Target: Target{Model: c.model.Name}, Reason: reason}, out)
}

// bestCandidate returns the permitted load with the highest score.
func (p *Planner) bestCandidate(in Input, svc route.Service) (candidate, bool) {
	p.countReplicas(in.Now, svc.Name)
	withinStoreRate := p.storeRateAllows(in.Now, svc)
	storeLoads := p.countStoreLoads(in.Now)
	candidates := p.candidates(svc)
	var best candidate
	for _, m := range svc.Engine.Models {
		count := p.replicas(m.Name)
		parallel := p.mayLoadInParallel(svc, m.Name, count)
		secondLoad := false
		if count.pending && !parallel {
			if secondLoad = p.needsSecondLoad(in.Now, svc.Name, m.Name); !secondLoad {
				continue
			}
			count = modelReplicas{}
		}
		reservedServer := p.serverReservedFor(in.Now, svc.Name, m.Name)
		replicas := count.total()
		if reservedServer != nil && !secondLoad {
			// The reservation is for the replica that is considered here.
			replicas = max(0, replicas-1)
		}
		if in.Now < p.learningUntil && !p.isRequested(m.Name) {
			continue
		}
		gain := p.replicaValue(svc, m, replicas)
		if gain < loadCost || !p.mayBeLoaded(in.Now, m.Name) {
			continue
		}
		maxLoads := p.storeConcurrency.limit
		if replicas == 0 && p.requestSeen && !p.isRequested(m.Name) {
			maxLoads /= idleStoreLoadDivisor
		}
		for _, option := range candidates {
			s := option.server
			if s.models[m.Name] != nil || !p.limitAllows(s, m.Name, replicas) {
				continue
			}
			if reservedServer != nil && s != reservedServer && !parallel || s.reservedFor(in.Now) != "" && s.reservedModel != m.Name {
				continue
			}
			// A server that unloaded models for this one keeps its turn at the
			// store.
			storeAvailable := withinStoreRate && (s == reservedServer || storeLoads < maxLoads)
			if s.loadsFromStore(m.Name) && (!storeAvailable || secondLoad || replicas == 0 && !p.shouldLoadFromStore(in.Now, svc, m, gain)) {
				continue
			}
			c := option
			c.model, c.gain, c.replicas = m, gain, replicas
			c.waiting, c.allowDrain = p.urgency(in.Now, m.Name, replicas)
			if !p.planEvictions(in.Now, svc, &c) {
				continue
			}
			if c.score > best.score {
				best = c
			}
		}
	}
	return best, best.server != nil
}

// mayLoadInParallel reports whether a replica of a model may be started while others
// are starting. A busy model needs many servers at once when demand moves to it; at
// most doubling its replicas in one load time leaves time to see what they change.
func (p *Planner) mayLoadInParallel(svc route.Service, model string, count modelReplicas) bool {
	return count.starting < count.ready && p.requiredServers(svc, model)-float64(count.total()) >= 1
}

// candidates returns a candidate without a model for each server of a service
// that can accept an order for one.
func (p *Planner) candidates(svc route.Service) []candidate {
	var out []candidate
	for _, s := range p.serversByName() {
		if s.Service == svc.Name && s.acceptsOrders() && !s.modelOrderUnderWay() && s.unanswered == nil {
			out = append(out, p.newCandidate(svc, s))
		}
	}
	return out
}

// newCandidate returns a candidate without a model for a server.
func (p *Planner) newCandidate(svc route.Service, s *server) candidate {
	return candidate{server: s, usedMemory: s.usedMemory(svc.Engine.MemoryMiB), utilisation: p.serverUtilisation(svc, s)}
}

// isRequested reports whether a model has a request rate or waiting requests.
func (p *Planner) isRequested(model string) bool {
	rate, waiting, _ := p.demandFor(model)
	return rate > 0 || waiting > 0
}

// serverReservedFor returns the server that is reserved for a model, or nil.
func (p *Planner) serverReservedFor(now time.Duration, service, model string) *server {
	for _, s := range p.servers {
		if s.Service == service && !s.Leaving && !s.Silent && s.reservedFor(now) == model {
			return s
		}
	}
	return nil
}

// reservedFor returns the model that the server is reserved for, or an empty
// string. A reservation expires when the unloads take too long, so that the
// model can be loaded elsewhere.
func (s *server) reservedFor(now time.Duration) string {
	if s.reservedModel == "" || now-s.reservedAt > reservationTime {
		return ""
	}
	return s.reservedModel
}

// replicaValue returns the value of one more replica beyond the given number.
func (p *Planner) replicaValue(svc route.Service, m route.Model, replicas int) float64 {
	rate, waiting, adapters := p.demandFor(m.Name)
	if replicas <= 0 {
		value := rate + idleModelValue
		if waiting > 0 {
			value += awaitedModelValue + waitingRequestValue*float64(waiting)
		}
		return value
	}
	value := 0.0
	if replicas == 1 {
		value = spareReplicaShare * rate
	}
	servers := p.requiredServers(svc, m.Name)
	if excess := servers - float64(replicas); excess > 0 {
		value += overloadShare * rate * excess / servers / float64(replicas)
	}
	if adapters > svc.Engine.AdapterSlots*replicas {
		value += adapterReplicaShare * rate
	}
	return value
}

// urgency reports whether requests wait for the first replica of a model, and
// whether its load may wait for the running requests of another model. The load
// may wait if a waiting caller is about to give up, or if it adds a further
// replica. A swap with an idle model takes less time than the objective of a
// patient request, so both models are served in time; a swap that waits for
// running requests keeps two models from being served.
func (p *Planner) urgency(now time.Duration, model string, replicas int) (waiting, allowDrain bool) {
	if replicas > 0 {
		return false, true
	}
	demand := p.demandByModel[model]
	if demand == nil || demand.waiting == 0 {
		return false, false
	}
	return true, demand.earliestExpiry-now < drainThreshold
}

// planEvictions selects the models to unload for a load and scores the load. It
// reports whether the load is possible and gains enough.
func (p *Planner) planEvictions(now time.Duration, svc route.Service, c *candidate) bool {
	engine := svc.Engine
	freeMemory := engine.MemoryMiB - c.usedMemory
	utilisation := c.utilisation + p.requiredServers(svc, c.model.Name)/float64(c.replicas+1)
	loss := 0.0
	for freeMemory < c.model.MemoryMiB {
		// Before the first request there is no demand that justifies an
		// unload.
		victim, cost, ok := p.cheapestVictim(now, svc, c)
		if !ok || !p.requestSeen {
			return false
		}
		loss += cost
		c.victims = append(c.victims, victim)
		freeMemory = engine.MemoryMiB - c.server.usedMemory(engine.MemoryMiB, c.victims...)
		utilisation -= p.replicaUtilisation(svc, victim)
	}
	cost := loadCost
	if c.server.loadsFromStore(c.model.Name) {
		cost = storeLoadCost
	}
	factor := float64(preloadGainFactor)
	if c.waiting || c.replicas > 0 {
		factor = awaitedGainFactor
	}
	if c.gain < factor*loss+cost {
		return false
	}
	overload := p.serverRate(svc) * max(0, utilisation-1)
	loadSeconds := c.server.loadTime(p.catalogs[svc.Name], c.model.Name).Seconds()
	c.loss = loss
	leftover := (freeMemory - c.model.MemoryMiB) / engine.MemoryMiB
	c.score = (c.gain-loss-overloadShare*overload)/(1+loadTimePenalty*loadSeconds) + 0.01*(1-leftover)
	return true
}

// replicaUtilisation returns the part of a server that the requests for one
// replica of a model use.
func (p *Planner) replicaUtilisation(svc route.Service, model string) float64 {
	return p.requiredServers(svc, model) / float64(max(1, p.replicas(model).total()))
}

// serverUtilisation returns the part of a server that the requests for its
// models use.
func (p *Planner) serverUtilisation(svc route.Service, s *server) float64 {
	total := 0.0
	for name, h := range s.models {
		if h.phase != Unloading {
			total += p.replicaUtilisation(svc, name)
		}
	}
	return total
}

// cheapestVictim returns the model whose unload on a server costs least, and
// that cost.
func (p *Planner) cheapestVictim(now time.Duration, svc route.Service, c *candidate) (string, float64, bool) {
	s := c.server
	type victim struct {
		name string
		cost float64
	}
	var victims []victim
	for name, h := range s.models {
		if h.phase != Ready || now-h.since < minResidency || slices.Contains(c.victims, name) {
			continue
		}
		// A model that the service no longer offers has no value.
		cost := 0.0
		if m, ok := p.catalogs[svc.Name].Model(name); ok {
			cost = p.replicaValue(svc, m, p.replicas(name).ready-1)
		}
		running := p.runningOn(name, s.Name)
		maxRunning := maxDrainedRequests
		if c.gain > busyModelGain {
			maxRunning = maxBusyDrainedRequests
		}
		if running > maxRunning || running > 0 && !c.allowDrain {
			continue
		}
		cost += runningRequestCost * float64(running)
		victims = append(victims, victim{name, cost})
	}
	if len(victims) == 0 {
		return "", 0, false
	}
	slices.SortFunc(victims, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name)) })
	return victims[0].name, victims[0].cost, true
}
