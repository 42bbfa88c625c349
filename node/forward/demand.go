package forward

import (
	"github.com/pollenwheel/pollenwheel/core/residency"
)

// demand counts the requests for one target.
type demand struct {
	waiting, running int
	arrivals         uint64
	runningOn        map[string]int
}

// Demand returns what callers ask for. The host's name is left to the caller.
func (g *Gate) Demand() []residency.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []residency.Demand
	for t, d := range g.demand {
		x := residency.Demand{
			Target: t, Waiting: d.waiting, Running: d.running, Arrivals: d.arrivals, RunningOn: map[string]int{},
		}
		for s, n := range d.runningOn {
			x.RunningOn[s] = n
		}
		out = append(out, x)
	}
	return out
}

// target returns the demand for a target. The caller holds the lock.
func (g *Gate) target(t residency.Target) *demand {
	d := g.demand[t]
	if d == nil {
		d = &demand{runningOn: map[string]int{}}
		g.demand[t] = d
	}
	return d
}

func (d *demand) begin(server string) {
	d.running++
	d.runningOn[server]++
}

func (d *demand) end(server string) {
	d.running--
	if d.runningOn[server]--; d.runningOn[server] <= 0 {
		delete(d.runningOn, server)
	}
}
