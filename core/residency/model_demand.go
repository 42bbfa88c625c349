package residency

import "time"

// modelDemand is the demand for a model and its adapters over all hosts.
type modelDemand struct {
	// rate is the number of requests per second.
	rate     float64
	waiting  int
	adapters int
	// earliestExpiry is when the first of the waiting callers gives up.
	earliestExpiry time.Duration
	// runningOn counts the running requests by server.
	runningOn map[string]int
}

// sumDemandByModel sums the demand by model, once per step.
func (p *Planner) sumDemandByModel(now time.Duration) {
	p.demandByModel = map[string]*modelDemand{}
	for t, r := range p.rates {
		total := p.ensureModelDemand(t.Model)
		total.rate += r.at(now)
		if t.Adapter != "" {
			total.adapters++
		}
	}
	for t, d := range p.demand {
		total := p.ensureModelDemand(t.Model)
		if d.waiting > 0 && (total.waiting == 0 || d.earliestExpiry < total.earliestExpiry) {
			total.earliestExpiry = d.earliestExpiry
		}
		total.waiting += d.waiting
		for server, n := range d.runningOn {
			total.runningOn[server] += n
		}
	}
}

// ensureModelDemand returns the demand for a model, and adds it if it is new.
func (p *Planner) ensureModelDemand(model string) *modelDemand {
	total := p.demandByModel[model]
	if total == nil {
		total = &modelDemand{runningOn: map[string]int{}}
		p.demandByModel[model] = total
	}
	return total
}

// demandFor returns the demand for a model and its adapters.
func (p *Planner) demandFor(model string) (rate float64, waiting, adapters int) {
	total := p.demandByModel[model]
	if total == nil {
		return 0, 0, 0
	}
	return total.rate, total.waiting, total.adapters
}

// runningOn returns the requests for a model and its adapters on a server.
// Waiting requests are not counted.
func (p *Planner) runningOn(model, server string) int {
	if total := p.demandByModel[model]; total != nil {
		return total.runningOn[server]
	}
	return 0
}

// modelReplicas counts the replicas of a model on servers that are not leaving, silent
// or unreachable.
type modelReplicas struct {
	// ready is the number of replicas that are loaded. starting is the number of those
	// that are being loaded or ordered, and of the servers that are reserved for one.
	ready, starting int
	// pending is set while an order for the model has no answer yet, or a replica
	// is being loaded.
	pending bool
}

// total returns the number of replicas once all that are starting have been loaded.
func (r modelReplicas) total() int { return r.ready + r.starting }

// countReplicas counts the replicas of all models on the servers of a service.
func (p *Planner) countReplicas(now time.Duration, service string) {
	p.replicasByModel = map[string]modelReplicas{}
	p.applyLimits(service)
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		if reserved := s.reservedFor(now); reserved != "" && s.models[reserved] == nil && !s.loadInFlight(reserved) {
			p.addReplica(reserved, modelReplicas{starting: 1})
		}
		for _, o := range []*Order{s.inFlight, s.unanswered} {
			if o == nil || o.Adapter != "" {
				continue
			}
			added := modelReplicas{pending: true}
			if o.Load && s.models[o.Model] == nil {
				added.starting = 1
			}
			p.addReplica(o.Model, added)
		}
		for name, h := range s.models {
			switch h.phase {
			case Ready:
				// A replica whose unload has been ordered is counted no more, so that
				// the same step does not unload the others for the same reason. One
				// beyond its server's limit leaves requests without a server.
				if !s.unloadOrdered(name) && !p.overLimit[s][name] {
					p.addReplica(name, modelReplicas{ready: 1})
				}
			case Loading:
				// A load that began before its server named a limit must not delay one
				// on a server that can serve the model.
				if !p.overLimit[s][name] {
					p.addReplica(name, modelReplicas{starting: 1, pending: true})
				}
			}
		}
	}
}

// unloadOrdered reports whether an unload of a model has been ordered and is not yet
// accepted.
func (s *server) unloadOrdered(model string) bool {
	for _, o := range []*Order{s.inFlight, s.unanswered} {
		if o != nil && !o.Load && o.Target == (Target{Model: model}) {
			return true
		}
	}
	return false
}

// addReplica adds to the count of a model's replicas.
func (p *Planner) addReplica(model string, added modelReplicas) {
	c := p.replicasByModel[model]
	c.ready += added.ready
	c.starting += added.starting
	c.pending = c.pending || added.pending
	p.replicasByModel[model] = c
}

// replicas returns the replicas of a model at the last count.
func (p *Planner) replicas(model string) modelReplicas { return p.replicasByModel[model] }
