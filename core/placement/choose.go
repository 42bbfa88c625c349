package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Costs in the choice of a server, in seconds of load time.
const (
	// memoryWaitSeconds is the usual time from an unload until its memory is free.
	memoryWaitSeconds = 3.0
	// requestCostSeconds is added for each request that the server runs or has
	// queued.
	requestCostSeconds = 0.02
	// sameDataCentreSeconds is added if the data centre already has a replica, so
	// that the replicas of a model are in different data centres.
	sameDataCentreSeconds = 2.0
	// freeGiBCostSeconds is added for each free GiB. It favours the server with
	// the least free memory and so keeps large free areas for large models.
	freeGiBCostSeconds = 0.001
)

// candidate is a server that could take one load.
type candidate struct {
	server  int // index in clusterView.servers
	tier    membership.Tier
	cost    float64 // in seconds
	victims []replicaView
	// waitsForMemory is set if memory must be freed before the load can start.
	waitsForMemory bool
}

// chooseServer returns the server with the lowest expected cost for a load, and
// false if no server can take it. An adapter can only be loaded on a server on
// which its model is ready.
func (p *Planner) chooseServer(in Input, req loadRequest) (candidate, bool) {
	best := candidate{cost: math.Inf(1)}
	usedDataCentres := p.replicaDataCentres(req.target)
	wait := p.storeWait(in)
	consider := func(i int) {
		srv := &p.view.servers[i]
		if !srv.acceptsLoads || srv.registered.Service != req.service || !p.isEligible(in, req, i) {
			return
		}
		c := p.newCandidate(req, i, wait)
		if slices.Contains(usedDataCentres, srv.registered.DataCentre) && req.target.Adapter == "" {
			c.cost += sameDataCentreSeconds
		}
		if c.cost < best.cost && p.planEviction(in, req, &c) && c.cost < best.cost {
			best = c
		}
	}
	if req.target.Adapter != "" {
		for _, r := range p.view.replicasByModel[req.target.Model] {
			consider(r.server)
		}
	} else {
		for i := range p.view.servers {
			consider(i)
		}
	}
	return best, !math.IsInf(best.cost, 1)
}

// newCandidate returns a candidate whose cost does not yet include the cost of
// freeing memory.
func (p *Planner) newCandidate(req loadRequest, server int, storeWait float64) candidate {
	srv := &p.view.servers[server]
	tier := loadTier(state.PlacementKey{Adapter: req.target.Adapter}, cachedTier(srv.status, req))
	c := candidate{server: server, tier: tier, cost: p.loads.Estimate(tier, req.weightsMiB, 0.5).Seconds()}
	if tier == membership.TierStore {
		c.cost += storeWait
	}
	c.cost += requestCostSeconds * float64(srv.status.Load.Running+srv.status.Load.Queued)
	c.cost += freeGiBCostSeconds * float64(srv.freeMiB()) / mibPerGiB
	return c
}

// isEligible reports whether a server can take a replica of the target, whatever
// its free memory: it has none yet, no back-off applies, and the model of an
// adapter is ready there.
func (p *Planner) isEligible(in Input, req loadRequest, server int) bool {
	srv := &p.view.servers[server]
	if _, placed := p.view.replicaOn(req.target, server); placed {
		return false
	}
	if len(p.failures) > 0 {
		key := state.PlacementKey{Server: srv.name, Model: req.target.Model, Adapter: req.target.Adapter}
		if in.Now < p.failures[key].retryAt {
			return false
		}
	}
	if req.target.Adapter != "" {
		base, ok := p.view.replicaOn(Target{Model: req.target.Model}, server)
		return ok && base.placement.Phase == state.PhaseReady
	}
	return true
}

func (p *Planner) replicaDataCentres(t Target) []string {
	var out []string
	for _, r := range p.view.replicas(t) {
		out = append(out, p.view.servers[r.server].registered.DataCentre)
	}
	return out
}

// cachedTier returns the fastest tier from which a server can load the requested
// version.
func cachedTier(status *membership.ServerStatus, req loadRequest) membership.Tier {
	best := membership.TierStore
	for _, c := range status.Cached {
		if c.Model != req.target.Model || c.Version != req.version {
			continue
		}
		if c.Tier == membership.TierMemory {
			return c.Tier
		}
		if c.Tier == membership.TierDisk {
			best = c.Tier
		}
	}
	return best
}

// storeWait estimates how long a load from the store waits for other loads, in
// seconds.
func (p *Planner) storeWait(in Input) float64 {
	limit := p.storeConcurrency(in.State.Config.Deployment)
	ahead := p.countPending(in.Now, membership.TierStore) + p.queuedLoads - limit + 1
	if ahead <= 0 {
		return 0
	}
	return float64(ahead) / float64(limit) * p.typicalStoreLoadTime().Seconds()
}

// typicalStoreLoadTime returns the estimated time of a load from the store whose
// size is the mean of the pending ones.
func (p *Planner) typicalStoreLoadTime() time.Duration {
	var sum, n int64
	for _, pending := range p.pendingLoads {
		if pending.tier == membership.TierStore {
			sum += pending.weightsMiB
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return p.loads.Estimate(membership.TierStore, sum/n, 0.5)
}

// planEviction chooses the victims of a candidate and adds the cost of freeing
// memory to it. It reports false if the unloads would not free enough memory or
// would cost more than the request allows.
func (p *Planner) planEviction(in Input, req loadRequest, c *candidate) bool {
	srv := &p.view.servers[c.server]
	missingMiB := req.memoryMiB - srv.freeMiB()
	if missingMiB <= 0 {
		return true
	}
	c.waitsForMemory = true
	c.cost += memoryWaitSeconds
	missingMiB -= srv.freeingMiB
	if missingMiB <= 0 {
		return true
	}
	victims, loss, ok := p.chooseVictims(in, req, c.server, missingMiB)
	if !ok || loss > req.maxEvictionLoss {
		return false
	}
	c.victims = victims
	c.cost += max(0, loss) / coldWeight(in)
	return true
}

// victim is an idle target that may be unloaded to free memory.
type victim struct {
	replicaView
	memoryMiB int64
	// evictionLoss is the KeepSaving of the target, which its unload forgoes.
	evictionLoss float64
	adapter      bool
	// baseIdle is set for an adapter whose model has no requests.
	baseIdle bool
}

// chooseVictims returns the idle targets to unload in order to free missingMiB, and
// the sum of their losses. It chooses adapters of idle models first, then other idle
// adapters, then models, and within each group the targets with the lowest loss. It
// returns false if the idle targets do not free enough.
func (p *Planner) chooseVictims(in Input, req loadRequest, server int, missingMiB int64) ([]replicaView, float64, bool) {
	list := p.evictableTargets(in, req, server)
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(compareBool(b.adapter, a.adapter), compareBool(b.baseIdle, a.baseIdle),
			cmp.Compare(a.evictionLoss, b.evictionLoss), compareKeys(a.key, b.key))
	})
	var chosen []victim
	for _, v := range list {
		if missingMiB <= 0 {
			break
		}
		chosen = append(chosen, v)
		missingMiB -= v.memoryMiB
	}
	if missingMiB > 0 {
		return nil, 0, false
	}
	return dropUnneededVictims(chosen, -missingMiB)
}

// dropUnneededVictims drops the victims that are no longer needed because larger
// ones were chosen after them. spareMiB is what the chosen victims free in excess.
func dropUnneededVictims(chosen []victim, spareMiB int64) ([]replicaView, float64, bool) {
	var out []replicaView
	loss := 0.0
	for _, v := range chosen {
		if v.memoryMiB <= spareMiB {
			spareMiB -= v.memoryMiB
			continue
		}
		out = append(out, v.replicaView)
		loss += v.evictionLoss
	}
	return out, loss, true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// evictableTargets returns the idle targets on a server, or none if any target may
// be running unattributed requests. The memory of a model does not include its
// adapters, which are separate entries.
func (p *Planner) evictableTargets(in Input, req loadRequest, server int) []victim {
	srv := &p.view.servers[server]
	var out []victim
	if srv.unattributed {
		return nil
	}
	for _, r := range srv.adapterReplicas {
		t := Target{r.key.Model, r.key.Adapter}
		if r.placement.Phase != state.PhaseReady || t == req.target || p.hasDemand(t) {
			continue
		}
		out = append(out, victim{
			replicaView: r, memoryMiB: r.placement.MemoryMiB, adapter: true,
			evictionLoss: p.keepSaving(in, r), baseIdle: !p.hasDemand(Target{Model: t.Model}),
		})
	}
	for _, r := range srv.modelReplicas {
		t := Target{Model: r.key.Model}
		if r.placement.Phase != state.PhaseReady || t.Model == req.target.Model || p.hasDemand(t) || !p.abovePinnedCount(t) {
			continue
		}
		out = append(out, victim{replicaView: r, memoryMiB: r.placement.MemoryMiB, evictionLoss: p.keepSaving(in, r)})
	}
	return out
}

// abovePinnedCount reports whether a model has more ready replicas of the
// configured version on usable servers than its pinned count.
func (p *Planner) abovePinnedCount(t Target) bool {
	i, ok := p.index.models[t.Model]
	if !ok {
		return true
	}
	m := &p.index.config.Models[i]
	n := 0
	for _, r := range p.view.replicasByModel[t.Model] {
		if p.view.servers[r.server].usable && r.placement.Phase == state.PhaseReady && r.placement.Version == m.Version {
			n++
		}
	}
	return n > m.PinnedReplicas
}
