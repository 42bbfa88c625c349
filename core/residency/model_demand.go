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

// modelReplicas counts the replicas of a model that are loaded or being loaded, on
// servers that are not leaving, silent or unreachable.
type modelReplicas struct {
	count int
	// pending is set while an order for the model has no answer yet, or a replica
	// is being loaded.
	pending bool
}

// countReplicas counts the replicas of all models on the servers of a service.
func (p *Planner) countReplicas(service string) {
	p.replicasByModel = map[string]modelReplicas{}
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		for _, o := range []*Order{s.inFlight, s.unanswered} {
			if o != nil && o.Adapter == "" {
				c := p.replicasByModel[o.Model]
				c.pending = true
				p.replicasByModel[o.Model] = c
			}
		}
		for name, h := range s.models {
			if h.phase == Unloading {
				continue
			}
			c := p.replicasByModel[name]
			c.count++
			c.pending = c.pending || h.phase == Loading
			p.replicasByModel[name] = c
		}
	}
}

// replicas returns the number of replicas of a model at the last count, and
// whether it was pending then.
func (p *Planner) replicas(model string) (n int, pending bool) {
	c := p.replicasByModel[model]
	return c.count, c.pending
}
