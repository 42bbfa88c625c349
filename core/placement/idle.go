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

// Rules for unloading.
const (
	// drainBound is how long a busy replica of an old version may delay its
	// unload. The engine finishes running requests before it reports the end.
	drainBound = time.Minute
	// spareLoads is how many load times a replica beyond the first stays idle.
	spareLoads = 3
	// adapterPasses spreads the evaluation of idle adapters over ten passes. An
	// adapter is kept for minutes, and one pass over all takes milliseconds.
	adapterPasses = 10
	// leadLoads and leadMargin give the time that a load is started ahead of an
	// expected use.
	leadLoads  = 1.5
	leadMargin = 30 * time.Second
)

// unloadSurplus unloads replicas beyond the limit, old versions and targets
// without configuration. What a server holds without a placement is adopted
// and unloaded by package orders.
func (p *Planner) unloadSurplus(in Input) {
	for name, list := range p.view.models {
		if len(list) > 0 {
			p.unloadExcess(in, name, list)
		}
	}
	slices.SortStableFunc(p.out, func(a, b Decision) int {
		return compareKeys(unloadKey(a), unloadKey(b))
	})
}

func unloadKey(d Decision) state.PlaceKey {
	return state.PlaceKey{Server: d.Unload.Server, Model: d.Unload.Model, Adapter: d.Unload.Adapter}
}

func (p *Planner) unloadExcess(in Input, name string, list []replicaView) {
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
		p.unloadMany(in, name, list, excess)
	}
	if ok {
		p.unloadOld(in, &p.index.config.Models[i], list)
	}
}

// unloadMany unloads n replicas: old versions first, then those that still
// load, then the least busy.
func (p *Planner) unloadMany(in Input, name string, list []replicaView, n int) {
	order := slices.Clone(list)
	current, _ := p.index.wantedVersion(state.PlaceKey{Model: name})
	act := p.arrivals.targets[Target{Model: name}]
	class := func(r replicaView) int {
		switch {
		case r.placement.Version != current:
			return 0
		case r.placement.Phase == state.PhaseLoading:
			return 1
		case !act.runsOn(p.arrivals.plan, r.key.Server):
			return 2
		}
		return 3
	}
	slices.SortStableFunc(order, func(a, b replicaView) int { return cmp.Compare(class(a), class(b)) })
	for _, r := range order {
		ordered := r.placement.Phase == state.PhaseReady || r.placement.Phase == state.PhaseLoading
		if n > 0 && ordered && p.view.servers[r.server].usable {
			p.unload(in, r)
			n--
		}
	}
}

// unloadOld unloads replicas of former versions. While the limit leaves room
// and the model is in use or pinned, the new version is loaded first.
func (p *Planner) unloadOld(in Input, m *config.Model, list []replicaView) {
	t := Target{Model: m.Name}
	current := 0
	for _, r := range list {
		if r.placement.Version == m.Version && r.placement.Phase == state.PhaseReady && p.view.servers[r.server].usable {
			current++
		}
	}
	for _, r := range list {
		if r.placement.Version == m.Version || r.placement.Phase != state.PhaseReady {
			if len(p.outdated) > 0 {
				delete(p.outdated, r.key)
			}
			continue
		}
		replaced := current >= max(1, m.PinnedReplicas)
		needed := p.active(t) || m.PinnedReplicas > current
		if !replaced && needed && len(list) < m.MaxReplicas {
			continue
		}
		p.drain(in, t, r)
	}
}

// drain unloads a replica once it is idle, or after the bound.
func (p *Planner) drain(in Input, t Target, r replicaView) {
	if _, ok := p.outdated[r.key]; !ok {
		p.outdated[r.key] = in.Now
	}
	if !p.busy(p.arrivals.targets[t], r) || in.Now-p.outdated[r.key] >= drainBound {
		p.unload(in, r)
	}
}

// unloadIdle unloads the targets that cost more to keep than to load again.
func (p *Planner) unloadIdle(in Input) {
	tiers := p.bestTiers()
	for i := range p.index.config.Models {
		p.unloadIdleModel(in, &p.index.config.Models[i], tiers)
	}
	for i := p.idlePass % adapterPasses; i < len(p.view.servers); i += adapterPasses {
		for _, r := range p.view.servers[i].adapters {
			p.unloadIdleAdapter(in, r)
		}
	}
	p.idlePass++
	p.prune(in)
}

// prune forgets what belongs to placements that no longer exist, and failures
// that are long past.
func (p *Planner) prune(in Input) {
	gone := func(k state.PlaceKey, _ time.Duration) bool {
		_, placed := in.State.Placements[k]
		_, loading := p.flights[k]
		return !placed && !loading
	}
	maps.DeleteFunc(p.lastBusy, gone)
	maps.DeleteFunc(p.outdated, gone)
	maps.DeleteFunc(p.failures, func(_ state.PlaceKey, f failure) bool { return in.Now > f.until+maxBackoff })
}

func (p *Planner) unloadIdleModel(in Input, m *config.Model, tiers map[string]membership.Tier) {
	t := Target{Model: m.Name}
	act := p.arrivals.targets[t]
	d := act.demand(p.arrivals.plan)
	left := 0
	for _, r := range p.view.models[m.Name] {
		if p.view.servers[r.server].usable && r.placement.Phase == state.PhaseReady {
			left++
		}
	}
	list := p.view.models[m.Name]
	for i := len(list) - 1; i >= 0; i-- {
		r := list[i]
		if r.placement.Phase != state.PhaseReady || !p.view.servers[r.server].usable || left <= m.PinnedReplicas {
			continue
		}
		if d.waiting > 0 || p.busy(act, r) {
			p.busySince(in, r.key)
			continue
		}
		if left > 1 && p.spareExpired(in, r) || left == 1 && p.retention.Keep(p.idle(in, r, tiers)) <= 0 {
			p.unload(in, r)
			left--
		}
	}
}

// busy reports whether a replica may be running requests.
func (p *Planner) busy(act *activity, r replicaView) bool {
	return p.view.servers[r.server].unattributed || act.runsOn(p.arrivals.plan, r.key.Server)
}

// busySince marks a replica as in use.
func (p *Planner) busySince(in Input, key state.PlaceKey) {
	f := p.lastBusy[key]
	f = max(f, in.Now)
	p.lastBusy[key] = f
}

// spareExpired reports whether a replica beyond the first has been idle for
// longer than a few load times.
func (p *Planner) spareExpired(in Input, r replicaView) bool {
	since, ok := p.lastBusy[r.key]
	if !ok {
		p.lastBusy[r.key] = in.Now
		return false
	}
	keep := spareLoads * p.loads.Estimate(membership.TierStore, r.placement.MemoryMiB, 0.5)
	return in.Now-since > keep
}

func (p *Planner) unloadIdleAdapter(in Input, r replicaView) {
	t := Target{r.key.Model, r.key.Adapter}
	if r.placement.Phase != state.PhaseReady || p.active(t) || p.view.servers[r.server].unattributed {
		return
	}
	version, configured := p.index.wantedVersion(r.key)
	if !configured || version != r.placement.Version || p.keepValue(in, r) <= 0 {
		p.unload(in, r)
	}
}

// keepValue is the expected saving of keeping an idle replica loaded.
func (p *Planner) keepValue(in Input, r replicaView) float64 {
	return p.retention.Keep(p.idle(in, r, nil))
}

// idle describes an idle replica to the retention policy. Without tiers, a
// reload is assumed to come from local disk, where the last load left it.
func (p *Planner) idle(in Input, r replicaView, tiers map[string]membership.Tier) Idle {
	t := Target{r.key.Model, r.key.Adapter}
	tier := membership.TierDisk
	if best, ok := tiers[t.Model]; ok {
		tier = best
	} else if tiers != nil {
		tier = membership.TierStore
	}
	return p.describeIdle(in, t, r.server, loadTier(r.key, tier), r.placement.MemoryMiB)
}

func (p *Planner) describeIdle(in Input, t Target, server int, tier membership.Tier, memoryMiB int64) Idle {
	weights := memoryMiB
	if w, _, ok := p.describe(t); ok {
		weights = w.weightsMiB
	}
	load := p.loads.Estimate(tier, weights, 0.9)
	share := p.view.servers[server].accelerators(memoryMiB)
	return Idle{
		Target: t, Now: in.Now, IdleFor: p.arrivals.idleFor(in.Now, t),
		ColdCost: coldWeight(in) * load.Seconds(),
		IdleCost: idleWeight(in) * share / time.Hour.Seconds(),
		Lead:     time.Duration(leadLoads*float64(load)) + leadMargin,
	}
}

// coldWeight and idleWeight return the deployment's weights. A deployment that
// sets neither weighs a second of waiting like an idle accelerator hour.
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

// bestTiers returns the fastest tier of each cached model on open servers.
func (p *Planner) bestTiers() map[string]membership.Tier {
	out := map[string]membership.Tier{}
	for i := range p.view.servers {
		if !p.view.servers[i].open {
			continue
		}
		for _, c := range p.view.servers[i].presence.Cached {
			if _, ok := out[c.Model]; !ok || c.Tier == membership.TierMemory {
				out[c.Model] = c.Tier
			}
		}
	}
	return out
}

// prewarm loads models that are likely to be used within the time that a load
// takes, the largest saving first.
func (p *Planner) prewarm(in Input) {
	type plan struct {
		w     want
		value float64
	}
	var list []plan
	tiers := p.bestTiers()
	for i := range p.index.config.Models {
		m := &p.index.config.Models[i]
		if len(p.view.models[m.Name]) > 0 || m.MaxReplicas == 0 {
			continue
		}
		server := slices.IndexFunc(p.view.servers, func(s serverView) bool {
			return s.open && s.registered.Service == m.Service
		})
		if server < 0 {
			continue
		}
		tier, ok := tiers[m.Name]
		if !ok {
			tier = membership.TierStore
		}
		w := modelWant(m)
		v := p.retention.Prewarm(p.describeIdle(in, w.target, server, tier, w.memoryMiB))
		if v <= 0 || math.IsNaN(v) {
			continue
		}
		w.replicas, w.maxLoss = 1, v
		list = append(list, plan{w, v})
	}
	slices.SortStableFunc(list, func(a, b plan) int { return cmp.Compare(b.value, a.value) })
	for _, x := range list {
		p.load(in, x.w)
	}
}
