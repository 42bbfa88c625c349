package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// tightSlack is the slack below which a request counts as interactive, so that
// patient requests still finish before their deadline.
const tightSlack = 10 * time.Second

// noDeadlineSlack is the slack of requests without a deadline.
const noDeadlineSlack = time.Duration(math.MaxInt64)

// loadRequest requests more replicas of a target.
type loadRequest struct {
	target   Target
	service  string
	version  string
	waiting  int // waiting requests
	replicas int // number of replicas to load
	// readyReplicas and loadingReplicas count only replicas on usable servers.
	readyReplicas   int
	loadingReplicas int
	memoryMiB       int64
	weightsMiB      int64
	urgency         Urgency
	// slack is the time from the expected end of the load to the earliest deadline.
	slack time.Duration
	// maxEvictionLoss bounds the summed loss of the victims. It is infinite for
	// waiting requests, which may evict any idle target.
	maxEvictionLoss float64
}

// loadRequests returns the load requests of this plan: those for waiting requests,
// most urgent first, then those for pinned counts and new versions.
func (p *Planner) loadRequests(in Input) []loadRequest {
	var list []loadRequest
	for _, act := range p.arrivals.withDemand {
		if act.mergedDemand.waiting == 0 {
			continue
		}
		if req, ok := p.requestForDemand(in, act); ok {
			list = append(list, req)
		}
	}
	slices.SortFunc(list, compareUrgency)
	for i := range p.index.config.Models {
		if req, ok := p.requestForConfig(&p.index.config.Models[i]); ok {
			list = append(list, req)
		}
	}
	return list
}

// compareUrgency orders load requests by urgency class, then by slack, then by
// waiting requests per MiB to load. Any slack below tightSlack counts as tightSlack.
func compareUrgency(a, b loadRequest) int {
	effectiveSlack := func(req loadRequest) time.Duration { return max(req.slack, tightSlack) }
	waitingPerMiB := func(req loadRequest) float64 { return float64(req.waiting) / float64(max(req.weightsMiB, 1)) }
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(effectiveSlack(a), effectiveSlack(b)),
		cmp.Compare(waitingPerMiB(b), waitingPerMiB(a)),
		cmp.Compare(a.target.Model, b.target.Model),
		cmp.Compare(a.target.Adapter, b.target.Adapter),
	)
}

// requestForDemand returns a load request for the replicas that the waiting requests
// of a target need. It returns false if the target is not configured.
func (p *Planner) requestForDemand(in Input, act *activity) (loadRequest, bool) {
	t, d := act.target, &act.mergedDemand
	req, limit, ok := p.describeTarget(t)
	if !ok {
		return req, false
	}
	req.waiting, req.maxEvictionLoss = d.waiting, math.Inf(1)
	req.readyReplicas, req.loadingReplicas = p.view.countReplicas(t)
	load := p.loads.Estimate(loadTier(state.PlacementKey{Adapter: t.Adapter}, membership.TierStore), req.weightsMiB, 0.5)
	req.urgency, req.slack = effectiveUrgency(in.Now, d, load)
	needed := p.neededReplicas(in, act, req, load)
	req.replicas = max(0, min(needed-req.readyReplicas-req.loadingReplicas, limit-len(p.view.replicas(t))))
	return req, true
}

// describeTarget returns a load request with the configured properties of a target,
// and the limit on the number of its replicas. It returns false if the target is
// not configured.
func (p *Planner) describeTarget(t Target) (loadRequest, int, bool) {
	i, ok := p.index.models[t.Model]
	if !ok {
		return loadRequest{}, 0, false
	}
	m := &p.index.config.Models[i]
	if t.Adapter == "" {
		return modelLoadRequest(m), m.MaxReplicas, true
	}
	j, ok := p.index.adapters[t.Adapter]
	if !ok || p.index.config.Adapters[j].Model != t.Model {
		return loadRequest{}, 0, false
	}
	a := p.index.config.Adapters[j]
	readyBases, _ := p.view.countReplicas(Target{Model: t.Model})
	return loadRequest{target: t, service: m.Service, version: a.Version, memoryMiB: a.MemoryMiB, weightsMiB: a.MemoryMiB}, readyBases, true
}

func modelLoadRequest(m *config.Model) loadRequest {
	return loadRequest{
		target: Target{Model: m.Name}, service: m.Service, version: m.Version,
		memoryMiB: m.MemoryMiB + m.KVMiB, weightsMiB: m.MemoryMiB, slack: noDeadlineSlack, urgency: urgencyClassCount,
	}
}

// effectiveUrgency returns the most urgent class with waiting requests, and the
// least slack of all classes. If that slack is below tightSlack, the class is
// Interactive.
func effectiveUrgency(now time.Duration, d *demandTotals, load time.Duration) (Urgency, time.Duration) {
	urgency, slack := urgencyClassCount, noDeadlineSlack
	for u := Patient; u >= Interactive; u-- {
		c := d.classes[u]
		if c.Waiting == 0 {
			continue
		}
		classSlack := noDeadlineSlack
		if c.EarliestDeadline != 0 {
			classSlack = c.EarliestDeadline - now - load
		}
		slack = min(slack, classSlack)
		urgency = u
	}
	if slack < tightSlack {
		urgency = Interactive
	}
	return urgency, slack
}

// neededReplicas returns how many replicas the demand needs. Another replica is
// useful if the existing ones take longer to serve the waiting requests than the
// replica takes to load.
func (p *Planner) neededReplicas(in Input, act *activity, req loadRequest, load time.Duration) int {
	d := &act.mergedDemand
	existing := max(1, req.readyReplicas+req.loadingReplicas)
	rate := act.history.completionRate
	if rate <= 0 {
		return existing
	}
	horizon := load
	if req.target.Adapter == "" && d.earliestDeadline != 0 {
		horizon = min(horizon, max(d.earliestDeadline-in.Now, time.Second))
	}
	horizon = max(horizon, completionWindow)
	needed := float64(d.waiting) / (rate * horizon.Seconds())
	return max(existing, int(min(math.Ceil(needed), float64(existing+d.waiting))))
}

// requestForConfig returns a load request for the replicas that a model needs even
// without waiting requests: its pinned count, and a first replica of a new version
// while a replica of an old version is in use. It returns false if none is missing.
func (p *Planner) requestForConfig(m *config.Model) (loadRequest, bool) {
	list := p.view.replicasByModel[m.Name]
	current, outdated := 0, 0
	for _, r := range list {
		if !p.view.servers[r.server].usable || r.placement.Phase != state.PhaseReady && r.placement.Phase != state.PhaseLoading {
			continue
		}
		if r.placement.Version == m.Version {
			current++
		} else {
			outdated++
		}
	}
	needed := m.PinnedReplicas
	if outdated > 0 && p.hasDemand(Target{Model: m.Name}) {
		needed = max(needed, 1)
	}
	req := modelLoadRequest(m)
	req.maxEvictionLoss = math.Inf(1)
	req.replicas = min(needed-current, m.MaxReplicas-len(list))
	return req, req.replicas > 0
}

// hasDemand reports whether requests for a target are waiting or running.
func (p *Planner) hasDemand(t Target) bool {
	d := p.arrivals.targets[t].currentDemand(p.arrivals.planNumber)
	return d.waiting > 0 || d.running > 0
}
