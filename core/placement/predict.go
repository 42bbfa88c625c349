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

// predict estimates when w gets its first ready replica.
func (p *Planner) predict(in Input, w want) Prediction {
	if w.target.Adapter != "" {
		return p.predictAdapter(in, w)
	}
	if r, ok := p.soonestFlight(in, w.target); ok {
		return r
	}
	c, ok := p.choose(in, w)
	full := false
	if i, known := p.index.models[w.target.Model]; known {
		full = len(p.view.models[w.target.Model]) >= p.index.config.Models[i].MaxReplicas
	}
	if !ok && !full {
		return Prediction{Impossible: true}
	}
	if !ok {
		c.tier = membership.TierStore
	}
	wait := time.Duration(0)
	if c.tier == membership.TierStore {
		wait += time.Duration(p.storeWait(in) * float64(time.Second))
	}
	if c.mustWait || full {
		wait += time.Duration(memoryWait * float64(time.Second))
	}
	return Prediction{
		Usual: in.Now + wait + p.loads.Estimate(c.tier, w.weightsMiB, 0.5),
		Late:  in.Now + 2*wait + p.loads.Estimate(c.tier, w.weightsMiB, 0.95),
	}
}

// predictAdapter adds an adapter load to the time at which its model is ready.
func (p *Planner) predictAdapter(in Input, w want) Prediction {
	base := Target{Model: w.target.Model}
	r := Prediction{Usual: in.Now, Late: in.Now}
	if ready, _ := p.view.count(base); ready == 0 {
		known, ok := p.ready[base]
		if !ok {
			m, _, _ := p.describe(base)
			known = p.predict(in, m)
		}
		r = known
	}
	r.Usual += p.loads.Estimate(adapterTier, 0, 0.5)
	r.Late += p.loads.Estimate(adapterTier, 0, 0.95)
	return r
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
