package residency

import (
	"cmp"
	"maps"
	"slices"
)

// applyLimits determines which replicas on servers with a limit on requests can serve
// their part of the demand. The models with the fewest requests come first: moving one
// busy model relieves a server more than moving many rare ones. Models that a server
// without a limit holds as well come last.
func (p *Planner) applyLimits(service string) {
	p.overLimit, p.spareLimit = map[*server]map[string]bool{}, map[*server]float64{}
	ready, unlimited := p.countReady(service)
	for _, s := range p.servers {
		if s.Service != service || !s.Limited {
			continue
		}
		names := slices.SortedFunc(maps.Keys(s.models), func(a, b string) int {
			return cmp.Or(cmp.Compare(min(1, unlimited[a]), min(1, unlimited[b])), cmp.Compare(p.rateOf(a), p.rateOf(b)), cmp.Compare(a, b))
		})
		over, spare := map[string]bool{}, s.RequestsPerSecond
		for _, name := range names {
			share := p.rateOf(name) / float64(max(1, ready[name]))
			if share > spare {
				over[name] = true
				continue
			}
			spare -= share
		}
		p.overLimit[s], p.spareLimit[s] = over, spare
		if s.reservedModel != "" && !p.limitAllows(s, s.reservedModel, 0) {
			s.reservedModel = ""
		}
	}
}

// countReady counts the loaded replicas of each model on the servers of a service, and
// those on servers without a limit.
func (p *Planner) countReady(service string) (ready, unlimited map[string]int) {
	ready, unlimited = map[string]int{}, map[string]int{}
	for _, s := range p.servers {
		if s.Service != service || s.Leaving || s.Silent || s.unreachable {
			continue
		}
		for name, h := range s.models {
			if h.phase != Ready {
				continue
			}
			ready[name]++
			if !s.Limited {
				unlimited[name]++
			}
		}
	}
	return ready, unlimited
}

func (p *Planner) rateOf(model string) float64 {
	rate, _, _ := p.demandFor(model)
	return rate
}

// limitAllows reports whether a server without a limit, or with an unused part of it, can
// serve its part of the requests for one more replica of a model.
func (p *Planner) limitAllows(s *server, model string, replicas int) bool {
	return !s.Limited || p.spareLimit[s] >= p.rateOf(model)/float64(replicas+1)
}
