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

const (
	// balanceFactor is the ratio of the request rate up to which one server is used
	// to the mean over the servers of its service. How many requests a server runs
	// without stalling its streams depends on the engine and the prompts and is not
	// announced; an even spread keeps every server as far from that point as the fleet
	// allows. The margin above 1 avoids loads that would move very few requests.
	balanceFactor = 1.25
	// minServerRate is the number of requests per second that one server is expected
	// to run in any case. It keeps few requests from being spread over many servers.
	minServerRate = 2
	// maxServerRate is the number of requests per second above which prompt
	// processing on a server delays the streams that run there, also if all servers
	// are as busy.
	maxServerRate = 16
)

// serverRate returns the number of requests per second up to which one server of a
// service is used.
func (p *Planner) serverRate(svc route.Service) float64 {
	if r, ok := p.serverRates[svc.Name]; ok {
		return r
	}
	total := 0.0
	for name := range p.catalogs[svc.Name] {
		if d := p.demandByModel[name]; d != nil {
			total += d.rate
		}
	}
	var available []*server
	for _, s := range p.servers {
		if s.Service == svc.Name && !s.Leaving && !s.Silent && !s.unreachable {
			available = append(available, s)
		}
	}
	r := spreadRate(total, len(available))
	// What servers with a lower limit do not take is spread over the others.
	others := len(available)
	for _, s := range available {
		if s.Limited && s.RequestsPerSecond < r {
			total -= s.RequestsPerSecond
			others--
		}
	}
	r = spreadRate(total, others)
	p.serverRates[svc.Name] = r
	return r
}

// spreadRate returns the number of requests per second up to which each of a number of
// servers is used that share a total.
func spreadRate(total float64, servers int) float64 {
	return min(maxServerRate, max(minServerRate, balanceFactor*total/float64(max(1, servers))))
}

// requiredServers returns the number of servers that the requests for a model
// fill, by their prompts or by the slots that they use.
func (p *Planner) requiredServers(svc route.Service, model string) float64 {
	demand := p.demandByModel[model]
	if demand == nil {
		return 0
	}
	servers := demand.rate / p.serverRate(svc)
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
