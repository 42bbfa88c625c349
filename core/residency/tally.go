package residency

import "time"

// modelLoad is the demand for a model and its adapters over all hosts.
type modelLoad struct {
	// rate is the number of requests a second.
	rate     float64
	waiting  int
	adapters int
	// leaves is when the first of the waiting callers gives up.
	leaves time.Duration
	// runningOn counts the running requests by server.
	runningOn map[string]int
}

// sum adds up the demand by model once for each step.
func (p *Planner) sum(now time.Duration) {
	p.loads = map[string]*modelLoad{}
	for t, r := range p.rates {
		l := p.loadOf(t.Model)
		l.rate += r.at(now)
		if t.Adapter != "" {
			l.adapters++
		}
	}
	for t, d := range p.demand {
		l := p.loadOf(t.Model)
		if d.waiting > 0 && (l.waiting == 0 || d.leaves < l.leaves) {
			l.leaves = d.leaves
		}
		l.waiting += d.waiting
		for server, n := range d.runningOn {
			l.runningOn[server] += n
		}
	}
}

func (p *Planner) loadOf(model string) *modelLoad {
	l := p.loads[model]
	if l == nil {
		l = &modelLoad{runningOn: map[string]int{}}
		p.loads[model] = l
	}
	return l
}

// load returns the demand for a model and its adapters.
func (p *Planner) load(model string) (rate float64, waiting, adapters int) {
	l := p.loads[model]
	if l == nil {
		return 0, 0, 0
	}
	return l.rate, l.waiting, l.adapters
}

// runningOn returns the requests for a model and its adapters on a server.
func (p *Planner) runningOn(model, server string) int {
	if l := p.loads[model]; l != nil {
		return l.runningOn[server]
	}
	return 0
}

// modelCopies counts the live copies of a model that are held or being loaded.
type modelCopies struct {
	count int
	// pending is set while an order for the model is under way.
	pending bool
}

// tally counts the copies of all models on the servers of a service.
func (p *Planner) tally(service string) {
	p.copied = map[string]modelCopies{}
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		for _, o := range []*Order{s.flying, s.uncertain} {
			if o != nil && o.Adapter == "" {
				c := p.copied[o.Model]
				c.pending = true
				p.copied[o.Model] = c
			}
		}
		for name, h := range s.models {
			if h.phase == Unloading {
				continue
			}
			c := p.copied[name]
			c.count++
			c.pending = c.pending || h.phase == Loading
			p.copied[name] = c
		}
	}
}

// copies returns the number of live copies of a model at the newest tally, and
// whether an order for it was under way.
func (p *Planner) copies(model string) (n int, pending bool) {
	c := p.copied[model]
	return c.count, c.pending
}
