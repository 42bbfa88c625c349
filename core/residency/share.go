package residency

import (
	"math"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

const (
	// slotShare is the part of its slots that a server fills without delaying
	// requests: arrivals come in clusters.
	slotShare = 0.7
	// runningMemory is the time over which the number of running requests is
	// averaged. It is about as long as a stream.
	runningMemory = 2 * time.Second
)

// share is the number of servers that the requests for a model would fill, by
// their prompts or by the slots they take.
func (p *Planner) share(svc route.Service, model string) float64 {
	l := p.loads[model]
	if l == nil {
		return 0
	}
	share := l.rate / serverRate
	if svc.Engine.Slots > 0 {
		share = max(share, p.running[model]/(slotShare*float64(svc.Engine.Slots)))
	}
	return share
}

// averageRunning averages the number of running requests by model.
func (p *Planner) averageRunning(elapsed time.Duration) {
	now := map[string]float64{}
	for t, d := range p.demand {
		now[t.Model] += float64(d.running)
	}
	keep := math.Exp(-float64(elapsed) / float64(runningMemory))
	for model, n := range p.running {
		if p.running[model] = n * keep; p.running[model] < 0.01 {
			delete(p.running, model)
		}
	}
	for model, n := range now {
		p.running[model] += (1 - keep) * n
	}
}
