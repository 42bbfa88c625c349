package forward

import (
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/residency"
)

// demand counts the requests for one target.
type demand struct {
	waiting, running int
	arrivals         uint64
	// last is when the newest request arrived.
	last      time.Duration
	runningOn map[string]int
	// leaves holds when each waiting caller gives up.
	leaves map[*call]time.Duration
	// returns holds when the refused callers were told to come back. They are
	// waited for: a load that was worth it for them still is.
	returns []time.Duration
}

// maxReturns bounds the refused callers of a target that are remembered.
const maxReturns = 256

// forgetDemand is how long a target without requests is kept. Callers may name
// any adapter.
const forgetDemand = time.Minute

// Demand returns what callers ask for. The host's name is left to the caller.
func (g *Gate) Demand() []residency.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []residency.Demand
	now := g.opts.Now()
	for t, d := range g.demand {
		d.returns = slices.DeleteFunc(d.returns, func(at time.Duration) bool { return at <= now })
		if d.waiting == 0 && d.running == 0 && now-d.last > forgetDemand {
			delete(g.demand, t)
			continue
		}
		x := residency.Demand{
			Target: t, Waiting: d.waiting + len(d.returns), Running: d.running, Arrivals: d.arrivals, RunningOn: map[string]int{},
			Leaves: d.firstLeave(),
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
		d = &demand{runningOn: map[string]int{}, leaves: map[*call]time.Duration{}}
		g.demand[t] = d
	}
	return d
}

// firstLeave is when the first of the waiting callers gives up, or one that was
// refused comes back.
func (d *demand) firstLeave() time.Duration {
	first := time.Duration(0)
	for _, at := range d.leaves {
		if first == 0 || at < first {
			first = at
		}
	}
	for _, at := range d.returns {
		if first == 0 || at < first {
			first = at
		}
	}
	return first
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
