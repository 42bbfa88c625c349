package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Weights of the choice of a server, in seconds of load time.
const (
	// memoryWait is the usual time until unloaded memory is free.
	memoryWait = 3.0
	// perRequest is added for each request that the server runs or has queued.
	perRequest = 0.02
	// sameDataCentre keeps the replicas of a model in different data centres.
	sameDataCentre = 2.0
	// perFreeGiB prefers the server with the least memory left, which keeps
	// large free areas for large models.
	perFreeGiB = 0.001
)

// candidate is a server for one load.
type candidate struct {
	server  int
	tier    membership.Tier
	cost    float64
	victims []replicaView
	// mustWait is set while memory has still to be freed.
	mustWait bool
}

// choose returns the server with the lowest expected cost for a load. An
// adapter can only go to a server that has its model ready.
func (p *Planner) choose(in Input, w want) (candidate, bool) {
	best := candidate{cost: math.Inf(1)}
	held := p.dataCentres(w.target)
	wait := p.storeWait(in)
	consider := func(i int) {
		srv := &p.view.servers[i]
		if !srv.open || srv.registered.Service != w.service || !p.mayHold(in, w, i) {
			return
		}
		c := p.price(w, i, wait)
		if slices.Contains(held, srv.registered.DataCentre) && w.target.Adapter == "" {
			c.cost += sameDataCentre
		}
		if c.cost < best.cost && p.makeRoom(in, w, &c) && c.cost < best.cost {
			best = c
		}
	}
	if w.target.Adapter != "" {
		for _, r := range p.view.models[w.target.Model] {
			consider(r.server)
		}
	} else {
		for i := range p.view.servers {
			consider(i)
		}
	}
	return best, !math.IsInf(best.cost, 1)
}

// price returns the cost of a load on a server without that of memory.
func (p *Planner) price(w want, server int, storeWait float64) candidate {
	srv := &p.view.servers[server]
	tier := loadTier(state.PlaceKey{Adapter: w.target.Adapter}, cachedTier(srv.presence, w))
	c := candidate{server: server, tier: tier, cost: p.loads.Estimate(tier, w.weightsMiB, 0.5).Seconds()}
	if tier == membership.TierStore {
		c.cost += storeWait
	}
	c.cost += perRequest * float64(srv.presence.Load.Running+srv.presence.Load.Queued)
	c.cost += perFreeGiB * float64(srv.freeMiB()) / mibPerGiB
	return c
}

// mayHold reports whether a server can take a replica of the target at all.
func (p *Planner) mayHold(in Input, w want, server int) bool {
	srv := &p.view.servers[server]
	if _, placed := p.view.on(w.target, server); placed {
		return false
	}
	if len(p.failures) > 0 {
		key := state.PlaceKey{Server: srv.name, Model: w.target.Model, Adapter: w.target.Adapter}
		if in.Now < p.failures[key].until {
			return false
		}
	}
	if w.target.Adapter != "" {
		base, ok := p.view.on(Target{Model: w.target.Model}, server)
		return ok && base.placement.Phase == state.PhaseReady
	}
	return true
}

func (p *Planner) dataCentres(t Target) []string {
	var out []string
	for _, r := range p.view.replicas(t) {
		out = append(out, p.view.servers[r.server].registered.DataCentre)
	}
	return out
}

// cachedTier returns where a server has the checkpoint of a model.
func cachedTier(pr *membership.Presence, w want) membership.Tier {
	best := membership.TierStore
	for _, c := range pr.Cached {
		if c.Model != w.target.Model || c.Version != w.version {
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

// storeWait estimates how long a load from the store waits for its turn.
func (p *Planner) storeWait(in Input) float64 {
	limit := p.storeConcurrency(in.State.Config.Deployment)
	ahead := p.inFlight(in.Now, membership.TierStore) + p.queued - limit + 1
	if ahead <= 0 {
		return 0
	}
	return float64(ahead) / float64(limit) * p.usualStoreLoad().Seconds()
}

// usualStoreLoad is the estimate for a store load of the mean size in flight.
func (p *Planner) usualStoreLoad() time.Duration {
	var sum, n int64
	for _, f := range p.flights {
		if f.tier == membership.TierStore {
			sum += f.weightsMiB
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return p.loads.Estimate(membership.TierStore, sum/n, 0.5)
}

// makeRoom adds the cost of freeing memory to a candidate. It reports false if
// the server cannot hold the target even then.
func (p *Planner) makeRoom(in Input, w want, c *candidate) bool {
	srv := &p.view.servers[c.server]
	short := w.memoryMiB - srv.freeMiB()
	if short <= 0 {
		return true
	}
	c.mustWait = true
	c.cost += memoryWait
	short -= srv.freeingMiB
	if short <= 0 {
		return true
	}
	victims, loss, ok := p.victims(in, w, c.server, short)
	if !ok || loss > w.maxLoss {
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
	loss      float64
	adapter   bool
	// baseIdle is set for adapters of models without requests.
	baseIdle bool
}

// victims returns the cheapest idle targets whose unload frees short MiB:
// adapters of idle models first, then other idle adapters, then models.
func (p *Planner) victims(in Input, w want, server int, short int64) ([]replicaView, float64, bool) {
	list := p.evictable(in, w, server)
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(compareBool(b.adapter, a.adapter), compareBool(b.baseIdle, a.baseIdle),
			cmp.Compare(a.loss, b.loss), compareKeys(a.key, b.key))
	})
	var chosen []victim
	for _, v := range list {
		if short <= 0 {
			break
		}
		chosen = append(chosen, v)
		short -= v.memoryMiB
	}
	if short > 0 {
		return nil, 0, false
	}
	return trim(chosen, -short)
}

// trim drops the victims that the larger ones chosen after them made needless.
func trim(chosen []victim, spare int64) ([]replicaView, float64, bool) {
	var out []replicaView
	loss := 0.0
	for _, v := range chosen {
		if v.memoryMiB <= spare {
			spare -= v.memoryMiB
			continue
		}
		out = append(out, v.replicaView)
		loss += v.loss
	}
	return out, loss, true
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// evictable returns the idle targets on a server. The memory of a model does
// not include its adapters, which are listed by themselves.
func (p *Planner) evictable(in Input, w want, server int) []victim {
	srv := &p.view.servers[server]
	var out []victim
	if srv.unattributed {
		return nil
	}
	for _, r := range srv.adapters {
		t := Target{r.key.Model, r.key.Adapter}
		if r.placement.Phase != state.PhaseReady || t == w.target || p.active(t) {
			continue
		}
		out = append(out, victim{
			replicaView: r, memoryMiB: r.placement.MemoryMiB, adapter: true,
			loss: p.keepValue(in, r), baseIdle: !p.active(Target{Model: t.Model}),
		})
	}
	for _, r := range srv.models {
		t := Target{Model: r.key.Model}
		if r.placement.Phase != state.PhaseReady || t.Model == w.target.Model || p.active(t) || !p.abovePinned(t) {
			continue
		}
		out = append(out, victim{replicaView: r, memoryMiB: r.placement.MemoryMiB, loss: p.keepValue(in, r)})
	}
	return out
}

// abovePinned reports whether a model has more ready replicas on servers that
// are heard from than its pinned count.
func (p *Planner) abovePinned(t Target) bool {
	i, ok := p.index.models[t.Model]
	if !ok {
		return true
	}
	m := &p.index.config.Models[i]
	n := 0
	for _, r := range p.view.models[t.Model] {
		if p.view.servers[r.server].usable && r.placement.Phase == state.PhaseReady && r.placement.Version == m.Version {
			n++
		}
	}
	return n > m.PinnedReplicas
}
