package placement

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Prediction says when a target without a ready replica will be ready.
type Prediction struct {
	// Usual and Late are the predicted times, in the clock of Input.Now, that
	// half and 95 percent of such loads meet.
	Usual time.Duration
	Late  time.Duration
	// Impossible is set when no server can load the target at present.
	Impossible bool
}

// Ready returns the prediction for a target that had waiting requests and no
// ready replica in the newest plan. A request whose deadline is before Usual
// is better refused at once.
func (p *Planner) Ready(t Target) (Prediction, bool) {
	r, ok := p.ready[t]
	return r, ok
}

// predict estimates when w gets its first ready replica. c is the server
// chosen in this plan, if one was found.
func (p *Planner) predict(in Input, w want, c candidate, found bool) Prediction {
	if w.target.Adapter != "" {
		return p.predictAdapter(in, w, c, found)
	}
	if r, ok := p.soonestFlight(in, w.target); ok {
		return r
	}
	if !found && w.replicas > 0 {
		return Prediction{Impossible: true}
	}
	if !found {
		// All slots of the model are being freed.
		c = candidate{tier: membership.TierStore, mustWait: true}
	}
	wait := time.Duration(0)
	if c.tier == membership.TierStore {
		wait += time.Duration(p.storeWait(in) * float64(time.Second))
	}
	if c.mustWait {
		wait += time.Duration(memoryWait * float64(time.Second))
	}
	return Prediction{
		Usual: in.Now + wait + p.loads.Estimate(c.tier, w.weightsMiB, 0.5),
		Late:  in.Now + 2*wait + p.loads.Estimate(c.tier, w.weightsMiB, 0.95),
	}
}

// predictAdapter adds an adapter load to the time at which its model is ready.
func (p *Planner) predictAdapter(in Input, w want, c candidate, found bool) Prediction {
	r := Prediction{Usual: in.Now, Late: in.Now}
	base := Target{Model: w.target.Model}
	if ready, _ := p.view.count(base); ready == 0 {
		r = p.predictBase(in, base)
	}
	r.Impossible = r.Impossible || w.replicas > 0 && !found
	if c.mustWait {
		r.Usual += time.Duration(memoryWait * float64(time.Second))
		r.Late += time.Duration(2 * memoryWait * float64(time.Second))
	}
	r.Usual += p.loads.Estimate(adapterTier, 0, 0.5)
	r.Late += p.loads.Estimate(adapterTier, 0, 0.95)
	return r
}

// predictBase predicts an adapter's model. It may come later in the plan than
// the adapter.
func (p *Planner) predictBase(in Input, base Target) Prediction {
	if r, ok := p.ready[base]; ok {
		return r
	}
	m, _, ok := p.describe(base)
	if !ok {
		return Prediction{Impossible: true}
	}
	c, found := p.choose(in, m)
	return p.predict(in, m, c, found)
}

// soonestFlight predicts from the loads of a target that are in flight.
func (p *Planner) soonestFlight(in Input, t Target) (Prediction, bool) {
	best, found := Prediction{}, false
	for _, r := range p.view.models[t.Model] {
		f, ok := p.flights[r.key]
		if !ok || r.placement.Phase != state.PhaseLoading || !p.view.servers[r.server].usable {
			continue
		}
		x := Prediction{Usual: p.flightEnd(in.Now, f, 0.5), Late: p.flightEnd(in.Now, f, 0.95)}
		if !found || x.Usual < best.Usual {
			best, found = x, true
		}
	}
	return best, found
}

// flightEnd predicts the end of a load in flight. A load that is overdue is
// expected to take a further half of the time it has taken.
func (p *Planner) flightEnd(now time.Duration, f flight, q float64) time.Duration {
	end := f.since + p.loads.Estimate(f.tier, f.weightsMiB, q)
	if end > now {
		return end
	}
	return now + max((now-f.since)/2, time.Second)
}
