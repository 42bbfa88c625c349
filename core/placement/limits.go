package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Default limits for loads from the weight store and for adapter loads. They
// apply where the configuration sets none.
const (
	defaultStoreRate          = 3.0 // loads per second
	defaultStoreConcurrency   = 4
	defaultAdapterConcurrency = 32
)

// silentLoadGrace is how long after its expected end a load on a server that is
// not usable, usually because it is silent, still counts against the concurrency
// limit. Without a bound, four silent servers would block all loads from the store.
const silentLoadGrace = 2 * time.Minute

// Back-off after a failed load of a target on a server. It doubles with each
// failure.
const (
	initialBackoff = 5 * time.Second
	maxBackoff     = 5 * time.Minute
)

func storeRate(d config.Deployment) float64 {
	if d.StoreLoadsPerSecond > 0 {
		return d.StoreLoadsPerSecond
	}
	return defaultStoreRate
}

// rateWindow admits at most n starts in any window of n/rate seconds, where n
// is the rate rounded up.
type rateWindow struct {
	starts []time.Duration // ring buffer of the last n starts
	oldest int             // index of the oldest start
	window time.Duration
}

// configure sets the rate in starts per second. A new window counts as fully used
// at now, because a former leader may just have started as many loads as allowed.
func (w *rateWindow) configure(now time.Duration, rate float64) {
	n := max(1, int(math.Ceil(rate)))
	w.window = time.Duration(float64(n) / rate * float64(time.Second))
	if len(w.starts) == n {
		return
	}
	w.starts, w.oldest = make([]time.Duration, n), 0
	for i := range w.starts {
		w.starts[i] = now
	}
}

func (w *rateWindow) allows(now time.Duration) bool { return now-w.starts[w.oldest] >= w.window }

func (w *rateWindow) recordStart(now time.Duration) {
	w.starts[w.oldest] = now
	w.oldest = (w.oldest + 1) % len(w.starts)
}

// pendingLoad is a load whose end has not been observed.
type pendingLoad struct {
	tier       membership.Tier
	start      time.Duration
	memoryMiB  int64
	weightsMiB int64
	// startedHere is set for loads that this planner decided. Only for these are
	// the start time and the tier known.
	startedHere bool
	// fence is the fencing number of the placement; zero until the placement is seen.
	fence uint64
	// orphaned is set once no intent accounts for the load, because its server was
	// lost or its unload was ordered. The load may still use the store.
	orphaned bool
}

// failure records consecutive loads of a target on a server that ended without
// the target being loaded.
type failure struct {
	count   int
	retryAt time.Duration
}

// observePendingLoads tracks loads from their intent to their end and learns how
// long they take.
func (p *Planner) observePendingLoads(in Input) {
	for _, r := range p.view.loadingPlacements {
		pending, ok := p.pendingLoads[r.key]
		if !ok || pending.orphaned || pending.fence != 0 && pending.fence != r.placement.Fence {
			pending = pendingLoad{tier: loadTier(r.key, membership.TierStore), start: in.Now,
				memoryMiB: r.placement.MemoryMiB, weightsMiB: r.placement.MemoryMiB}
		}
		pending.fence = r.placement.Fence
		p.pendingLoads[r.key] = pending
	}
	p.loads.clearOverdue()
	// The order is fixed because the newest load times decide whether a tier is
	// slow.
	for _, key := range slices.SortedFunc(maps.Keys(p.pendingLoads), compareKeys) {
		p.updatePendingLoad(in, key, p.pendingLoads[key])
	}
}

// updatePendingLoad updates one pending load from the state of its placement.
func (p *Planner) updatePendingLoad(in Input, key state.PlacementKey, pending pendingLoad) {
	pl, ok := in.State.Placements[key]
	elapsed := in.Now - pending.start
	switch {
	case pending.orphaned:
		if elapsed < p.loads.Estimate(pending.tier, pending.weightsMiB, 0.95) {
			return
		}
	case ok && pl.Phase == state.PhaseLoading:
		if pending.startedHere && p.isUsable(key.Server) {
			p.loads.recordOverdue(pending.tier, pending.weightsMiB, elapsed)
		}
		return
	case ok && pl.Phase == state.PhaseReady && pending.startedHere:
		p.loads.Observe(pending.tier, pending.weightsMiB, elapsed)
		delete(p.failures, key)
	case ok && pl.Phase == state.PhaseUnloading || !p.isUsable(key.Server):
		pending.orphaned = true
		p.pendingLoads[key] = pending
		return
	case pending.fence != 0 && (!ok || pl.Phase == state.PhaseHeld):
		p.recordFailure(in.Now, key)
	}
	delete(p.pendingLoads, key)
}

// isUsable reports whether a server is usable in the current view.
func (p *Planner) isUsable(server string) bool {
	i, ok := p.view.serverByName[server]
	return ok && p.view.servers[i].usable
}

func (p *Planner) recordFailure(now time.Duration, key state.PlacementKey) {
	f := p.failures[key]
	f.retryAt = now + min(initialBackoff<<min(f.count, 10), maxBackoff)
	f.count++
	p.failures[key] = f
}

// loadTier returns the tier under which the duration of a load is recorded:
// adapterTier for adapters, otherwise tier.
func loadTier(key state.PlacementKey, tier membership.Tier) membership.Tier {
	if key.Adapter != "" {
		return adapterTier
	}
	return tier
}

// countPending counts the loads of one tier that may still be running.
func (p *Planner) countPending(now time.Duration, tier membership.Tier) int {
	n := 0
	for key, pending := range p.pendingLoads {
		if pending.tier != tier {
			continue
		}
		limit := p.loads.Estimate(tier, pending.weightsMiB, 0.95) + silentLoadGrace
		if p.isUsable(key.Server) || now-pending.start < limit {
			n++
		}
	}
	return n
}

// storeConcurrency returns how many loads may read from the store at once. If the
// store is n times slower than usual, n times fewer loads are allowed, so that
// the most urgent loads finish first instead of all finishing late.
func (p *Planner) storeConcurrency(d config.Deployment) int {
	n := d.StoreConcurrency
	if n <= 0 {
		n = defaultStoreConcurrency
	}
	return max(1, int(math.Round(float64(n)/p.loads.Slowdown(membership.TierStore))))
}

// withinLimits reports whether the limits shared by all servers allow a load to
// start now.
func (p *Planner) withinLimits(in Input, t Target, tier membership.Tier) bool {
	d := in.State.Config.Deployment
	if t.Adapter != "" {
		limit := d.AdapterConcurrency
		if limit <= 0 {
			limit = defaultAdapterConcurrency
		}
		return p.countPending(in.Now, adapterTier) < limit
	}
	if tier != membership.TierStore {
		return true
	}
	return p.storeLimiter.allows(in.Now) && p.countPending(in.Now, tier) < p.storeConcurrency(d)
}
