package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Parameters of unloading and pre-warming.
const (
	// maxOutdatedDelay is how long requests on a replica of an old version may
	// delay its unload. The engine finishes running requests before it reports the
	// unload as complete.
	maxOutdatedDelay = time.Minute
	// spareIdleLoadTimes is how many load times a replica beyond the first may stay
	// idle before it is unloaded.
	spareIdleLoadTimes = 3
	// adapterCheckParts is the number of idle checks over which the evaluation of
	// all idle adapters is spread. An adapter is kept for minutes, and evaluating
	// all of them at once takes milliseconds.
	adapterCheckParts = 10
	// leadLoadTimes and leadMargin are how long before an expected use a load is
	// started: leadLoadTimes load times plus leadMargin.
	leadLoadTimes = 1.5
	leadMargin    = 30 * time.Second
)

// unloadObsolete unloads replicas beyond the replica limit, replicas of old
// versions and models that are no longer configured. Targets that a server holds
// without a placement are adopted and unloaded by package orders.
func (p *Planner) unloadObsolete(in Input) {
	for name, list := range p.view.replicasByModel {
		if len(list) > 0 {
			p.unloadObsoleteReplicas(in, name, list)
		}
	}
	slices.SortStableFunc(p.decisions, func(a, b Decision) int {
		return compareKeys(unloadKey(a), unloadKey(b))
	})
}

func unloadKey(d Decision) state.PlacementKey {
	return state.PlacementKey{Server: d.Unload.Server, Model: d.Unload.Model, Adapter: d.Unload.Adapter}
}

func (p *Planner) unloadObsoleteReplicas(in Input, name string, list []replicaView) {
	i, ok := p.index.models[name]
	limit := 0
	if ok {
		limit = p.index.config.Models[i].MaxReplicas
	}
	excess := -limit
	for _, r := range list {
		if r.placement.Phase == state.PhaseReady || r.placement.Phase == state.PhaseLoading {
			excess++
		}
	}
	if excess > 0 {
		p.unloadLeastUseful(in, name, list, excess)
	}
	if ok {
		p.unloadOutdated(in, &p.index.config.Models[i], list)
	}
}

// unloadLeastUseful unloads n replicas: old versions first, then replicas that are
// still loading, then idle ones, then busy ones.
func (p *Planner) unloadLeastUseful(in Input, name string, list []replicaView, n int) {
	sorted := slices.Clone(list)
	current, _ := p.index.configuredVersion(state.PlacementKey{Model: name})
	act := p.arrivals.targets[Target{Model: name}]
	unloadOrder := func(r replicaView) int {
		switch {
		case r.placement.Version != current:
			return 0
		case r.placement.Phase == state.PhaseLoading:
			return 1
		case !act.mayRunOn(p.arrivals.planNumber, r.key.Server):
			return 2
		}
		return 3
	}
	slices.SortStableFunc(sorted, func(a, b replicaView) int { return cmp.Compare(unloadOrder(a), unloadOrder(b)) })
	for _, r := range sorted {
		loaded := r.placement.Phase == state.PhaseReady || r.placement.Phase == state.PhaseLoading
		if n > 0 && loaded && p.view.servers[r.server].usable {
			p.unload(in, r)
			n--
		}
	}
}

// unloadOutdated unloads replicas of old versions. If the replica limit allows
// another replica and the model is in use or pinned, the new version is loaded
// first.
func (p *Planner) unloadOutdated(in Input, m *config.Model, list []replicaView) {
	t := Target{Model: m.Name}
	current := 0
	for _, r := range list {
		if r.placement.Version == m.Version && r.placement.Phase == state.PhaseReady && p.view.servers[r.server].usable {
			current++
		}
	}
	for _, r := range list {
		if r.placement.Version == m.Version || r.placement.Phase != state.PhaseReady {
			if len(p.outdatedSince) > 0 {
				delete(p.outdatedSince, r.key)
			}
			continue
		}
		replaced := current >= max(1, m.PinnedReplicas)
		needed := p.hasDemand(t) || m.PinnedReplicas > current
		if !replaced && needed && len(list) < m.MaxReplicas {
			continue
		}
		p.unloadWhenIdle(in, t, r)
	}
}

// unloadWhenIdle unloads an outdated replica once it is idle, or after
// maxOutdatedDelay.
func (p *Planner) unloadWhenIdle(in Input, t Target, r replicaView) {
	if _, ok := p.outdatedSince[r.key]; !ok {
		p.outdatedSince[r.key] = in.Now
	}
	if !p.mayBeBusy(p.arrivals.targets[t], r) || in.Now-p.outdatedSince[r.key] >= maxOutdatedDelay {
		p.unload(in, r)
	}
}

// unloadIdle unloads the targets that cost more to keep than to load again. Each
// call evaluates all models, and the adapters on one of adapterCheckParts parts of
// the servers.
func (p *Planner) unloadIdle(in Input) {
	tiers := p.bestTiers()
	for i := range p.index.config.Models {
		p.unloadIdleModel(in, &p.index.config.Models[i], tiers)
	}
	for i := p.idleChecks % adapterCheckParts; i < len(p.view.servers); i += adapterCheckParts {
		for _, r := range p.view.servers[i].adapterReplicas {
			p.unloadIdleAdapter(in, r)
		}
	}
	p.idleChecks++
	p.pruneRecords(in)
}

// pruneRecords drops the records of placements that no longer exist, and failures
// whose back-off ended more than maxBackoff ago.
func (p *Planner) pruneRecords(in Input) {
	unused := func(k state.PlacementKey, _ time.Duration) bool {
		_, placed := in.State.Placements[k]
		_, loading := p.pendingLoads[k]
		return !placed && !loading
	}
	maps.DeleteFunc(p.lastBusy, unused)
	maps.DeleteFunc(p.outdatedSince, unused)
	maps.DeleteFunc(p.failures, func(_ state.PlacementKey, f failure) bool { return in.Now > f.retryAt+maxBackoff })
}

func (p *Planner) unloadIdleModel(in Input, m *config.Model, tiers map[string]membership.Tier) {
	t := Target{Model: m.Name}
	act := p.arrivals.targets[t]
	d := act.currentDemand(p.arrivals.planNumber)
	remaining := 0
	for _, r := range p.view.replicasByModel[m.Name] {
		if p.view.servers[r.server].usable && r.placement.Phase == state.PhaseReady {
			remaining++
		}
	}
	list := p.view.replicasByModel[m.Name]
	for i := len(list) - 1; i >= 0; i-- {
		r := list[i]
		if r.placement.Phase != state.PhaseReady || !p.view.servers[r.server].usable || remaining <= m.PinnedReplicas {
			continue
		}
		if d.waiting > 0 || p.mayBeBusy(act, r) {
			p.markBusy(in, r.key)
			continue
		}
		if remaining > 1 && p.spareExpired(in, r) || remaining == 1 && p.retention.KeepSaving(p.describeIdleReplica(in, r, tiers)) <= 0 {
			p.unload(in, r)
			remaining--
		}
	}
}

// mayBeBusy reports whether a replica may be running requests.
func (p *Planner) mayBeBusy(act *activity, r replicaView) bool {
	return p.view.servers[r.server].unattributed || act.mayRunOn(p.arrivals.planNumber, r.key.Server)
}

// markBusy records that a replica is in use now.
func (p *Planner) markBusy(in Input, key state.PlacementKey) {
	last := p.lastBusy[key]
	last = max(last, in.Now)
	p.lastBusy[key] = last
}

// spareExpired reports whether a replica beyond the first has been idle for longer
// than spareIdleLoadTimes load times.
func (p *Planner) spareExpired(in Input, r replicaView) bool {
	since, ok := p.lastBusy[r.key]
	if !ok {
		p.lastBusy[r.key] = in.Now
		return false
	}
	maxIdle := spareIdleLoadTimes * p.loads.Estimate(membership.TierStore, r.placement.MemoryMiB, 0.5)
	return in.Now-since > maxIdle
}

func (p *Planner) unloadIdleAdapter(in Input, r replicaView) {
	t := Target{r.key.Model, r.key.Adapter}
	if r.placement.Phase != state.PhaseReady || p.hasDemand(t) || p.view.servers[r.server].unattributed {
		return
	}
	version, configured := p.index.configuredVersion(r.key)
	if !configured || version != r.placement.Version || p.keepSaving(in, r) <= 0 {
		p.unload(in, r)
	}
}

// keepSaving returns the expected saving of keeping an idle replica loaded. It
// assumes a reload from local disk.
func (p *Planner) keepSaving(in Input, r replicaView) float64 {
	return p.retention.KeepSaving(p.describeIdleReplica(in, r, nil))
}

// describeIdleReplica describes an idle replica to the retention policy. With nil
// tiers, a reload is assumed to come from local disk, where the last load stored
// the checkpoint.
func (p *Planner) describeIdleReplica(in Input, r replicaView, tiers map[string]membership.Tier) IdleTarget {
	t := Target{r.key.Model, r.key.Adapter}
	tier := membership.TierDisk
	if best, ok := tiers[t.Model]; ok {
		tier = best
	} else if tiers != nil {
		tier = membership.TierStore
	}
	return p.describeIdleTarget(in, t, r.server, loadTier(r.key, tier), r.placement.MemoryMiB)
}

func (p *Planner) describeIdleTarget(in Input, t Target, server int, tier membership.Tier, memoryMiB int64) IdleTarget {
	weights := memoryMiB
	if req, _, ok := p.describeTarget(t); ok {
		weights = req.weightsMiB
	}
	load := p.loads.Estimate(tier, weights, 0.9)
	accelerators := p.view.servers[server].acceleratorsFor(memoryMiB)
	return IdleTarget{
		Target: t, Now: in.Now, IdleFor: p.arrivals.idleFor(in.Now, t),
		ColdCost: coldWeight(in) * load.Seconds(),
		IdleCost: idleWeight(in) * accelerators / time.Hour.Seconds(),
		LeadTime: time.Duration(leadLoadTimes*float64(load)) + leadMargin,
	}
}

// coldWeight and idleWeight return the deployment's weights. A deployment that
// sets neither gives a second of waiting the same weight as an idle accelerator
// hour.
func coldWeight(in Input) float64 {
	d := in.State.Config.Deployment
	if d.ColdStartWeight <= 0 {
		return 1
	}
	return d.ColdStartWeight
}

func idleWeight(in Input) float64 {
	d := in.State.Config.Deployment
	if d.IdleHourWeight <= 0 && d.ColdStartWeight <= 0 {
		return 1
	}
	return d.IdleHourWeight
}

// bestTiers returns, for each cached model, the fastest tier in which any server
// that accepts loads holds it.
func (p *Planner) bestTiers() map[string]membership.Tier {
	out := map[string]membership.Tier{}
	for i := range p.view.servers {
		if !p.view.servers[i].acceptsLoads {
			continue
		}
		for _, c := range p.view.servers[i].status.Cached {
			if _, ok := out[c.Model]; !ok || c.Tier == membership.TierMemory {
				out[c.Model] = c.Tier
			}
		}
	}
	return out
}

// prewarm loads models that have no replica and are likely to be used within the
// time that a load takes, in the order of the expected saving.
func (p *Planner) prewarm(in Input) {
	type prewarmLoad struct {
		req    loadRequest
		saving float64
	}
	var list []prewarmLoad
	tiers := p.bestTiers()
	for i := range p.index.config.Models {
		m := &p.index.config.Models[i]
		if len(p.view.replicasByModel[m.Name]) > 0 || m.MaxReplicas == 0 {
			continue
		}
		server := slices.IndexFunc(p.view.servers, func(s serverView) bool {
			return s.acceptsLoads && s.registered.Service == m.Service
		})
		if server < 0 {
			continue
		}
		tier, ok := tiers[m.Name]
		if !ok {
			tier = membership.TierStore
		}
		req := modelLoadRequest(m)
		saving := p.retention.PrewarmSaving(p.describeIdleTarget(in, req.target, server, tier, req.memoryMiB))
		if saving <= 0 || math.IsNaN(saving) {
			continue
		}
		req.replicas, req.maxEvictionLoss = 1, saving
		list = append(list, prewarmLoad{req, saving})
	}
	slices.SortStableFunc(list, func(a, b prewarmLoad) int { return cmp.Compare(b.saving, a.saving) })
	for _, item := range list {
		p.startLoad(in, item.req)
	}
}
