package residency

import (
	"math"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

const (
	// maxSlotUtilisation is the part of its slots that a server can fill
	// without delaying requests: arrivals come in bursts.
	maxSlotUtilisation = 0.7
	// runningAverageTime is the time constant for averaging the number of
	// running requests. It is about the length of a stream.
	runningAverageTime = 2 * time.Second
)

// requiredServers returns the number of servers that the requests for a model
// fill, by their prompts or by the slots that they use.
func (p *Planner) requiredServers(svc route.Service, model string) float64 {
	demand := p.demandByModel[model]
	if demand == nil {
		return 0
	}
	servers := demand.rate / maxServerRate
	if svc.Engine.Slots > 0 {
		servers = max(servers, p.averageRunning[model]/(maxSlotUtilisation*float64(svc.Engine.Slots)))
	}
	return servers
}

// updateAverageRunning updates the average number of running requests by model.
func (p *Planner) updateAverageRunning(elapsed time.Duration) {
	running := map[string]float64{}
	for t, d := range p.demand {
		running[t.Model] += float64(d.running)
	}
	keep := math.Exp(-float64(elapsed) / float64(runningAverageTime))
	for model, n := range p.averageRunning {
		if p.averageRunning[model] = n * keep; p.averageRunning[model] < 0.01 {
			delete(p.averageRunning, model)
		}
	}
	for model, n := range running {
		p.averageRunning[model] += (1 - keep) * n
	}
}
