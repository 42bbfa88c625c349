package placement_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Properties of the simulated servers and the simulated store.
const (
	engineMiB            = 160 * 1024
	maxRunningPerReplica = 16
	maxDiskModels        = 4
	unloadTime           = 2 * time.Second
	// monday is the Unix time in ms of a Monday, 00:00 UTC.
	monday = int64(4 * 24 * 3600 * 1000)
)

var secondsPerGiB = map[membership.Tier]float64{membership.TierMemory: 0.08, membership.TierDisk: 0.35, membership.TierStore: 0.9}

// engine is a simulated backend server of the kind engine.
type engine struct {
	membership.ServerStatus
	stopped bool
	loaded  map[placement.Target]bool
	running map[placement.Target]int // number of running requests
	// pendingLoads points to one counter per load in progress. The counters are
	// decremented when the load or the process ends.
	pendingLoads []*int
}

func (r *replay) addEngine(i int) {
	eng := &engine{}
	eng.Name, eng.Service, eng.DataCentre = fmt.Sprintf("engine-%02d", i), r.workload.services[i/9], r.workload.dataCentres[i%3]
	eng.Kind, eng.Accelerators, eng.MemoryMiB, eng.ChecksFencing = config.KindEngine, 2, engineMiB, i%3 != 0
	r.engines = append(r.engines, eng)
	r.engineByName[eng.Name] = eng
	r.restartEngine(eng)
}

// restartEngine starts a new incarnation without checkpoints in memory.
func (r *replay) restartEngine(eng *engine) {
	eng.Incarnation++
	eng.stopped, eng.Leaving, eng.Silent, eng.Models = false, false, false, nil
	eng.loaded, eng.running = map[placement.Target]bool{}, map[placement.Target]int{}
	eng.Cached = slices.DeleteFunc(eng.Cached, func(c membership.Checkpoint) bool { return c.Tier == membership.TierMemory })
	r.registerEngine(eng)
}

func (r *replay) registerEngine(eng *engine) {
	r.mustApply(state.Command{Register: &state.Register{
		Server: eng.Name, Incarnation: eng.Incarnation, Service: eng.Service, Kind: eng.Kind,
		DataCentre: eng.DataCentre, MemoryMiB: eng.MemoryMiB, ChecksFencing: eng.ChecksFencing,
	}})
}

// scheduleFaults schedules the faults of the measured day: two servers are reclaimed,
// and one is silent and then lost.
func (r *replay) scheduleFaults() {
	for i := range 2 {
		eng := r.engines[2+3*i]
		at := r.measuredFrom + r.workload.reclaimAt + time.Duration(i)*time.Minute
		r.schedule(at, func() { eng.Leaving = true })
		r.schedule(at+time.Minute, func() { r.stopEngine(eng) })
		r.schedule(at+30*time.Minute, func() { eng.Cached = nil; r.restartEngine(eng) })
	}
	eng := r.engines[4]
	at := r.measuredFrom + r.workload.storeSlowAt + 30*time.Minute
	r.schedule(at, func() { eng.Silent = true })
	r.schedule(at+2*time.Minute, func() { r.markLost(eng) })
	r.schedule(at+5*time.Minute, func() { eng.Silent = false; r.registerEngine(eng); r.closeIntents(eng) })
}

// markLost records the server as lost. Its process may still be running.
func (r *replay) markLost(eng *engine) {
	for k := range r.idleSince {
		if k.Server == eng.Name {
			r.endIdle(k)
		}
	}
	_ = r.apply(state.Command{MarkLost: &state.MarkLost{Server: eng.Name, Incarnation: eng.Incarnation}})
}

// stopEngine stops the process. Its requests return to their queues.
func (r *replay) stopEngine(eng *engine) {
	eng.stopped = true
	for _, counter := range eng.pendingLoads {
		*counter--
	}
	eng.pendingLoads = nil
	r.markLost(eng)
	var interrupted []*request
	for req, servedBy := range r.running {
		if servedBy == eng {
			interrupted = append(interrupted, req)
		}
	}
	slices.SortFunc(interrupted, func(a, b *request) int { return int(a.at - b.at) })
	for _, req := range interrupted {
		delete(r.running, req)
		r.addRunning(req, eng, -1)
		if req.crashesServer {
			r.recordCrash(req, eng)
			continue
		}
		r.enqueue(req)
	}
	eng.loaded, eng.running = map[placement.Target]bool{}, map[placement.Target]int{}
}

// recordCrash records a request that crashed its server. The caller resends the
// request unless it is quarantined.
func (r *replay) recordCrash(req *request, eng *engine) {
	_ = r.apply(state.Command{Suspect: &state.Suspect{Server: eng.Name, Incarnation: eng.Incarnation, Fingerprints: []string{"crash"}}})
	r.schedule(45*time.Second, func() { r.restartEngine(eng) })
	if r.state.Suspects["crash"].Quarantined {
		r.result.countRefusal("quarantined")
		return
	}
	r.schedule(time.Second, func() { r.enqueue(req) })
}

func (r *replay) executeLoad(l state.Load) {
	eng := r.engineByName[l.Server]
	r.checkReachable(eng)
	if err := r.apply(state.Command{Load: &l}); err != nil {
		r.result.violations = append(r.result.violations, err.Error())
		return
	}
	fence := r.logIndex
	_ = r.apply(state.Command{ResolveCopies: &state.ResolveCopies{Server: l.Server, Model: l.Model, Adapter: l.Adapter, Index: fence, Sender: l.Sender, Sequence: 1}})
	t := placement.Target{Model: l.Model, Adapter: l.Adapter}
	took, tier := r.loadTime(eng, t)
	counter := new(int)
	switch {
	case t.Adapter != "":
		counter = &r.adapterLoads
	case tier == membership.TierStore:
		counter = &r.storeLoads
		r.storeLoadStarts = append(r.storeLoadStarts, r.now)
	}
	*counter++
	eng.pendingLoads = append(eng.pendingLoads, counter)
	r.checkLimits(t, tier)
	if r.isMeasured() {
		r.result.loadCounts[min(1, len(t.Adapter))]++
	}
	incarnation := eng.Incarnation
	r.schedule(took, func() {
		if eng.stopped || eng.Incarnation != incarnation {
			return
		}
		*counter--
		n := slices.Index(eng.pendingLoads, counter)
		eng.pendingLoads = slices.Delete(eng.pendingLoads, n, n+1)
		eng.loaded[t] = true
		r.cacheCheckpoint(eng, t, membership.TierDisk)
		r.closeIntents(eng)
	})
}

// loadTime returns how long a load takes and the tier that it reads from.
func (r *replay) loadTime(eng *engine, t placement.Target) (time.Duration, membership.Tier) {
	if t.Adapter != "" {
		return 6 * time.Millisecond, adapterTier
	}
	tier := membership.TierStore
	for _, c := range eng.Cached {
		if c.Model == t.Model && (tier == membership.TierStore || c.Tier == membership.TierMemory) {
			tier = c.Tier
		}
	}
	m, _ := r.workload.config.Model(t.Model)
	s := secondsPerGiB[tier] * float64(m.MemoryMiB) / 1024 * math.Exp(0.15*r.rng.NormFloat64())
	if tier == membership.TierStore {
		capacity := 4.0
		if since := r.now - r.measuredFrom - r.workload.storeSlowAt; since >= 0 && since < time.Hour {
			s, capacity = 4*s, 2
		}
		s *= max(1, float64(r.storeLoads+1)/capacity)
	}
	return time.Duration((1 + s) * float64(time.Second)), tier
}

// cacheCheckpoint records a checkpoint in a tier and removes the oldest ones beyond
// the limit of the tier.
func (r *replay) cacheCheckpoint(eng *engine, t placement.Target, tier membership.Tier) {
	if t.Adapter != "" {
		return
	}
	limit := map[membership.Tier]int{membership.TierDisk: maxDiskModels, membership.TierMemory: 1}[tier]
	eng.Cached = slices.DeleteFunc(eng.Cached, func(c membership.Checkpoint) bool { return c.Tier == tier && c.Model == t.Model })
	eng.Cached = append(eng.Cached, membership.Checkpoint{Model: t.Model, Version: "1", Tier: tier})
	n := 0
	for i := len(eng.Cached) - 1; i >= 0; i-- {
		if eng.Cached[i].Tier != tier {
			continue
		}
		if n++; n > limit {
			eng.Cached = slices.Delete(eng.Cached, i, i+1)
		}
	}
}

func (r *replay) executeUnload(u state.Unload) {
	eng := r.engineByName[u.Server]
	r.checkReachable(eng)
	t, key := placement.Target{Model: u.Model, Adapter: u.Adapter}, state.PlacementKey{Server: u.Server, Model: u.Model, Adapter: u.Adapter}
	r.checkUnload(key)
	r.endIdle(key)
	if err := r.apply(state.Command{Unload: &u}); err != nil {
		r.result.violations = append(r.result.violations, err.Error())
		return
	}
	incarnation := eng.Incarnation
	r.schedule(unloadTime, func() {
		if eng.stopped || eng.Incarnation != incarnation {
			return
		}
		delete(eng.loaded, t)
		r.cacheCheckpoint(eng, t, membership.TierMemory)
		r.closeIntents(eng)
	})
}

// closeIntents reports what an engine holds and closes the intents that it has
// carried out.
func (r *replay) closeIntents(eng *engine) {
	eng.Sequence++
	eng.Models = nil
	for t := range eng.loaded {
		eng.Models = append(eng.Models, membership.ModelReport{Model: t.Model, Adapter: t.Adapter, Version: "1", Phase: membership.ReportReady})
	}
	if eng.Silent {
		return
	}
	for k, p := range r.state.Placements {
		loaded := eng.loaded[placement.Target{Model: k.Model, Adapter: k.Adapter}]
		carriedOut := p.Phase == state.PhaseLoading && loaded || p.Phase == state.PhaseUnloading && !loaded
		if k.Server != eng.Name || !carriedOut {
			continue
		}
		r.mustApply(state.Command{CloseIntent: &state.CloseIntent{Server: eng.Name, Incarnation: eng.Incarnation, Model: k.Model, Adapter: k.Adapter, Fence: p.Fence, Loaded: loaded, Sequence: eng.Sequence}})
		r.startIdle(k, eng)
	}
	r.plan()
	for _, t := range r.targets {
		r.dispatch(t)
	}
}
