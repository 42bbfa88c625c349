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

// Limits of the weight store and of adapter loads, where the configuration
// sets none.
const (
	defaultStoreRate          = 3.0
	defaultStoreConcurrency   = 4
	defaultAdapterConcurrency = 32
)

// silentFlight is how long after its usual end a load on a silent server still
// counts against the concurrency. Without a bound, four silent servers would
// stop every load from the store.
const silentFlight = 2 * time.Minute

// Back-off after a failed load of a target on a server.
const (
	firstBackoff = 5 * time.Second
	maxBackoff   = 5 * time.Minute
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
	starts []time.Duration
	next   int
	window time.Duration
}

// configure sets the rate. A new window counts as fully used at now, because a
// former leader may just have used the whole allowance.
func (w *rateWindow) configure(now time.Duration, rate float64) {
	n := max(1, int(math.Ceil(rate)))
	w.window = time.Duration(float64(n) / rate * float64(time.Second))
	if len(w.starts) == n {
		return
	}
	w.starts, w.next = make([]time.Duration, n), 0
	for i := range w.starts {
		w.starts[i] = now
	}
}

func (w *rateWindow) allows(now time.Duration) bool { return now-w.starts[w.next] >= w.window }

func (w *rateWindow) start(now time.Duration) {
	w.starts[w.next] = now
	w.next = (w.next + 1) % len(w.starts)
}

// flight is a load that has not been settled.
type flight struct {
	tier       membership.Tier
	since      time.Duration
	memoryMiB  int64
	weightsMiB int64
	// own loads were decided by this planner, so their start and tier are known.
	own   bool
	fence uint64
	// ended is set once no intent accounts for the load. It may still use the
	// store: its server was lost, or its unload was ordered meanwhile.
	ended bool
}

// failure is a load that ended without its target loaded.
type failure struct {
	count int
	until time.Duration
}

// observeFlights follows loads from their intent to their end and learns how
// long they took.
func (p *Planner) observeFlights(in Input) {
	for _, r := range p.view.loading {
		f, ok := p.flights[r.key]
		if !ok || f.ended || f.fence != 0 && f.fence != r.placement.Fence {
			f = flight{tier: loadTier(r.key, membership.TierStore), since: in.Now,
				memoryMiB: r.placement.MemoryMiB, weightsMiB: r.placement.MemoryMiB}
		}
		f.fence = r.placement.Fence
		p.flights[r.key] = f
	}
	p.loads.clearOverdue()
	// In a fixed order, because the newest load times decide whether a tier is
	// slow.
	for _, key := range slices.SortedFunc(maps.Keys(p.flights), compareKeys) {
		p.follow(in, key, p.flights[key])
	}
}

// follow updates one flight from the state of its placement.
func (p *Planner) follow(in Input, key state.PlaceKey, f flight) {
	pl, ok := in.State.Placements[key]
	elapsed := in.Now - f.since
	switch {
	case f.ended:
		if elapsed < p.loads.Estimate(f.tier, f.weightsMiB, 0.95) {
			return
		}
	case ok && pl.Phase == state.PhaseLoading:
		if f.own && p.heard(key.Server) {
			p.loads.overdue(f.tier, f.weightsMiB, elapsed)
		}
		return
	case ok && pl.Phase == state.PhaseReady && f.own:
		p.loads.Observe(f.tier, f.weightsMiB, elapsed)
		delete(p.failures, key)
	case ok && pl.Phase == state.PhaseUnloading || !p.heard(key.Server):
		f.ended = true
		p.flights[key] = f
		return
	case f.fence != 0 && (!ok || pl.Phase == state.PhaseHeld):
		p.failed(in.Now, key)
	}
	delete(p.flights, key)
}

func (p *Planner) heard(server string) bool {
	i, ok := p.view.byName[server]
	return ok && p.view.servers[i].usable
}

func (p *Planner) failed(now time.Duration, key state.PlaceKey) {
	f := p.failures[key]
	f.until = now + min(firstBackoff<<min(f.count, 10), maxBackoff)
	f.count++
	p.failures[key] = f
}

// loadTier returns the tier whose samples describe a load.
func loadTier(key state.PlaceKey, tier membership.Tier) membership.Tier {
	if key.Adapter != "" {
		return adapterTier
	}
	return tier
}

// inFlight counts the loads of one tier that may still run.
func (p *Planner) inFlight(now time.Duration, tier membership.Tier) int {
	n := 0
	for key, f := range p.flights {
		if f.tier != tier {
			continue
		}
		limit := p.loads.Estimate(tier, f.weightsMiB, 0.95) + silentFlight
		if p.heard(key.Server) || now-f.since < limit {
			n++
		}
	}
	return n
}

// storeConcurrency is the number of loads that the store may serve at once. A
// store that is n times slower gets n times fewer, so that the most urgent
// loads finish first instead of all finishing late.
func (p *Planner) storeConcurrency(d config.Deployment) int {
	n := d.StoreConcurrency
	if n <= 0 {
		n = defaultStoreConcurrency
	}
	return max(1, int(math.Round(float64(n)/p.loads.Slowdown(membership.TierStore))))
}

// admit reports whether a load may start within the shared limits.
func (p *Planner) admit(in Input, t Target, tier membership.Tier) bool {
	d := in.State.Config.Deployment
	if t.Adapter != "" {
		limit := d.AdapterConcurrency
		if limit <= 0 {
			limit = defaultAdapterConcurrency
		}
		return p.inFlight(in.Now, adapterTier) < limit
	}
	if tier != membership.TierStore {
		return true
	}
	return p.store.allows(in.Now) && p.inFlight(in.Now, tier) < p.storeConcurrency(d)
}
