package placement

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Prediction estimates when a target without a ready replica will be ready.
type Prediction struct {
	// Median and P95 are points in time on the clock of Input.Now by which 50 and 95
	// percent of such loads are complete.
	Median time.Duration
	P95    time.Duration
	// Impossible is set if no server can load the target at present.
	Impossible bool
}

// PredictionFor returns the prediction for a target that had waiting requests and no
// ready replica in the latest plan, and false for other targets. A request whose
// deadline is before Median is better refused at once.
func (p *Planner) PredictionFor(t Target) (Prediction, bool) {
	r, ok := p.predictions[t]
	return r, ok
}

// predict estimates when the target of req gets its first ready replica. c is the
// server chosen in this plan, if found is set.
func (p *Planner) predict(in Input, req loadRequest, c candidate, found bool) Prediction {
	if req.target.Adapter != "" {
		return p.predictAdapter(in, req, c, found)
	}
	if r, ok := p.soonestPendingLoad(in, req.target); ok {
		return r
	}
	if !found && req.replicas > 0 {
		return Prediction{Impossible: true}
	}
	if !found {
		// The replica limit is used up by replicas that are being unloaded.
		c = candidate{tier: membership.TierStore, waitsForMemory: true}
	}
	wait := time.Duration(0)
	if c.tier == membership.TierStore {
		wait += time.Duration(p.storeWait(in) * float64(time.Second))
	}
	if c.waitsForMemory {
		wait += time.Duration(memoryWaitSeconds * float64(time.Second))
	}
	return Prediction{
		Median: in.Now + wait + p.loads.Estimate(c.tier, req.weightsMiB, 0.5),
		P95:    in.Now + 2*wait + p.loads.Estimate(c.tier, req.weightsMiB, 0.95),
	}
}

// predictAdapter adds the time of an adapter load to the time at which the adapter's
// model is ready, and the wait for memory if the load needs one.
func (p *Planner) predictAdapter(in Input, req loadRequest, c candidate, found bool) Prediction {
	r := Prediction{Median: in.Now, P95: in.Now}
	base := Target{Model: req.target.Model}
	if ready, _ := p.view.countReplicas(base); ready == 0 {
		r = p.predictBaseModel(in, base)
	}
	r.Impossible = r.Impossible || req.replicas > 0 && !found
	if c.waitsForMemory {
		r.Median += time.Duration(memoryWaitSeconds * float64(time.Second))
		r.P95 += time.Duration(2 * memoryWaitSeconds * float64(time.Second))
	}
	r.Median += p.loads.Estimate(adapterTier, 0, 0.5)
	r.P95 += p.loads.Estimate(adapterTier, 0, 0.95)
	return r
}

// predictBaseModel predicts when the model of an adapter is ready. It computes the
// prediction if the plan has not reached the model yet.
func (p *Planner) predictBaseModel(in Input, base Target) Prediction {
	if r, ok := p.predictions[base]; ok {
		return r
	}
	req, _, ok := p.describeTarget(base)
	if !ok {
		return Prediction{Impossible: true}
	}
	c, found := p.chooseServer(in, req)
	return p.predict(in, req, c, found)
}

// soonestPendingLoad returns the prediction for the pending load of a model that is
// expected to end first, and false if there is none.
func (p *Planner) soonestPendingLoad(in Input, t Target) (Prediction, bool) {
	best, found := Prediction{}, false
	for _, r := range p.view.replicasByModel[t.Model] {
		pending, ok := p.pendingLoads[r.key]
		if !ok || r.placement.Phase != state.PhaseLoading || !p.view.servers[r.server].usable {
			continue
		}
		prediction := Prediction{Median: p.predictLoadEnd(in.Now, pending, 0.5), P95: p.predictLoadEnd(in.Now, pending, 0.95)}
		if !found || prediction.Median < best.Median {
			best, found = prediction, true
		}
	}
	return best, found
}

// predictLoadEnd predicts the end of a pending load at quantile q. An overdue load
// is expected to take another half of the time that it has taken so far.
func (p *Planner) predictLoadEnd(now time.Duration, pending pendingLoad, q float64) time.Duration {
	end := pending.start + p.loads.Estimate(pending.tier, pending.weightsMiB, q)
	if end > now {
		return end
	}
	return now + max((now-pending.start)/2, time.Second)
}
