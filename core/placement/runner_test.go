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
	serverMiB   = 160 * 1024
	slotsPerRep = 16
	diskModels  = 4
	unloadTime  = 2 * time.Second
	// monday is the Unix time of a Monday, 00:00 UTC.
	monday = int64(4 * 24 * 3600 * 1000)
)

var secondsPerGiB = map[membership.Tier]float64{membership.TierMemory: 0.08, membership.TierDisk: 0.35, membership.TierStore: 0.9}

// runner is a simulated engine.
type runner struct {
	membership.Presence
	gone   bool
	loaded map[placement.Target]bool
	load   map[placement.Target]int // running requests
	// fetches are the counters of the loads in flight, which end with the process.
	fetches []*int
}

func (r *replay) addRunner(i int) {
	x := &runner{}
	x.Name, x.Service, x.DataCentre = fmt.Sprintf("runner-%02d", i), r.w.services[i/9], r.w.centres[i%3]
	x.Kind, x.Accelerators, x.MemoryMiB, x.ChecksFencing = config.KindEngine, 2, serverMiB, i%3 != 0
	r.runners = append(r.runners, x)
	r.byName[x.Name] = x
	r.restart(x)
}

// restart starts a new incarnation without checkpoints in memory.
func (r *replay) restart(x *runner) {
	x.Incarnation++
	x.gone, x.Leaving, x.Silent, x.Models = false, false, false, nil
	x.loaded, x.load = map[placement.Target]bool{}, map[placement.Target]int{}
	x.Cached = slices.DeleteFunc(x.Cached, func(c membership.Checkpoint) bool { return c.Tier == membership.TierMemory })
	r.register(x)
}

func (r *replay) register(x *runner) {
	r.must(state.Command{Register: &state.Register{
		Server: x.Name, Incarnation: x.Incarnation, Service: x.Service, Kind: x.Kind,
		DataCentre: x.DataCentre, MemoryMiB: x.MemoryMiB, ChecksFencing: x.ChecksFencing,
	}})
}

// faults schedules reclaimed, silent and lost servers on the measured day.
func (r *replay) faults() {
	for i := range 2 {
		x := r.runners[2+3*i]
		at := r.measured + r.w.reclaims + time.Duration(i)*time.Minute
		r.after(at, func() { x.Leaving = true })
		r.after(at+time.Minute, func() { r.end(x) })
		r.after(at+30*time.Minute, func() { x.Cached = nil; r.restart(x) })
	}
	x := r.runners[4]
	at := r.measured + r.w.slowFrom + 30*time.Minute
	r.after(at, func() { x.Silent = true })
	r.after(at+2*time.Minute, func() { r.lose(x) })
	r.after(at+5*time.Minute, func() { x.Silent = false; r.register(x); r.settleAll(x) })
}

// lose records the server as lost while its process still runs.
func (r *replay) lose(x *runner) {
	for k := range r.busyFrom {
		if k.Server == x.Name {
			r.idleEnds(k)
		}
	}
	_ = r.apply(state.Command{Lose: &state.Lose{Server: x.Name, Incarnation: x.Incarnation}})
}

// end stops the process; its requests go back to their queues.
func (r *replay) end(x *runner) {
	x.gone = true
	for _, counter := range x.fetches {
		*counter--
	}
	x.fetches = nil
	r.lose(x)
	var again []*request
	for q, on := range r.running {
		if on == x {
			again = append(again, q)
		}
	}
	slices.SortFunc(again, func(a, b *request) int { return int(a.at - b.at) })
	for _, q := range again {
		delete(r.running, q)
		r.count(q, x, -1)
		if q.crashes {
			r.crash(q, x)
			continue
		}
		r.enqueue(q)
	}
	x.loaded, x.load = map[placement.Target]bool{}, map[placement.Target]int{}
}

// crash records a request that took its server down; its caller resends it.
func (r *replay) crash(q *request, x *runner) {
	_ = r.apply(state.Command{Suspect: &state.Suspect{Server: x.Name, Incarnation: x.Incarnation, Fingerprints: []string{"crash"}}})
	r.after(45*time.Second, func() { r.restart(x) })
	if r.st.Suspects["crash"].Quarantined {
		r.result.refuse("quarantined")
		return
	}
	r.after(time.Second, func() { r.enqueue(q) })
}

func (r *replay) executeLoad(l state.Load) {
	x := r.byName[l.Server]
	r.check(x)
	if err := r.apply(state.Command{Load: &l}); err != nil {
		r.result.broken = append(r.result.broken, err.Error())
		return
	}
	fence := r.index
	_ = r.apply(state.Command{Resolve: &state.Resolve{Server: l.Server, Model: l.Model, Adapter: l.Adapter, Fence: fence, Sender: l.Sender, Sequence: 1}})
	t := placement.Target{Model: l.Model, Adapter: l.Adapter}
	took, tier := r.loadTime(x, t)
	counter := new(int)
	switch {
	case t.Adapter != "":
		counter = &r.adapters
	case tier == membership.TierStore:
		counter = &r.storeIn
		r.starts = append(r.starts, r.now)
	}
	*counter++
	x.fetches = append(x.fetches, counter)
	r.checkLimits(t, tier)
	if r.inDay() {
		r.result.loads[min(1, len(t.Adapter))]++
	}
	incarnation := x.Incarnation
	r.after(took, func() {
		if x.gone || x.Incarnation != incarnation {
			return
		}
		*counter--
		n := slices.Index(x.fetches, counter)
		x.fetches = slices.Delete(x.fetches, n, n+1)
		x.loaded[t] = true
		r.cache(x, t, membership.TierDisk)
		r.settleAll(x)
	})
}

// loadTime returns how long a load takes and from which tier it comes.
func (r *replay) loadTime(x *runner, t placement.Target) (time.Duration, membership.Tier) {
	if t.Adapter != "" {
		return 6 * time.Millisecond, adapterLoads
	}
	tier := membership.TierStore
	for _, c := range x.Cached {
		if c.Model == t.Model && (tier == membership.TierStore || c.Tier == membership.TierMemory) {
			tier = c.Tier
		}
	}
	m, _ := r.w.config.Model(t.Model)
	s := secondsPerGiB[tier] * float64(m.MemoryMiB) / 1024 * math.Exp(0.15*r.rng.NormFloat64())
	if tier == membership.TierStore {
		capacity := 4.0
		if since := r.now - r.measured - r.w.slowFrom; since >= 0 && since < time.Hour {
			s, capacity = 4*s, 2
		}
		s *= max(1, float64(r.storeIn+1)/capacity)
	}
	return time.Duration((1 + s) * float64(time.Second)), tier
}

// cache records a checkpoint; the oldest on disk makes room.
func (r *replay) cache(x *runner, t placement.Target, tier membership.Tier) {
	if t.Adapter != "" {
		return
	}
	limit := map[membership.Tier]int{membership.TierDisk: diskModels, membership.TierMemory: 1}[tier]
	x.Cached = slices.DeleteFunc(x.Cached, func(c membership.Checkpoint) bool { return c.Tier == tier && c.Model == t.Model })
	x.Cached = append(x.Cached, membership.Checkpoint{Model: t.Model, Version: "1", Tier: tier})
	n := 0
	for i := len(x.Cached) - 1; i >= 0; i-- {
		if x.Cached[i].Tier != tier {
			continue
		}
		if n++; n > limit {
			x.Cached = slices.Delete(x.Cached, i, i+1)
		}
	}
}

func (r *replay) executeUnload(u state.Unload) {
	x := r.byName[u.Server]
	r.check(x)
	t, key := placement.Target{Model: u.Model, Adapter: u.Adapter}, state.PlaceKey{Server: u.Server, Model: u.Model, Adapter: u.Adapter}
	r.checkUnload(key)
	r.idleEnds(key)
	if err := r.apply(state.Command{Unload: &u}); err != nil {
		r.result.broken = append(r.result.broken, err.Error())
		return
	}
	incarnation := x.Incarnation
	r.after(unloadTime, func() {
		if x.gone || x.Incarnation != incarnation {
			return
		}
		delete(x.loaded, t)
		r.cache(x, t, membership.TierMemory)
		r.settleAll(x)
	})
}

// settleAll reports what a runner holds and settles its open intents.
func (r *replay) settleAll(x *runner) {
	x.Sequence++
	x.Models = nil
	for t := range x.loaded {
		x.Models = append(x.Models, membership.Report{Model: t.Model, Adapter: t.Adapter, Version: "1", Phase: membership.ReportReady})
	}
	if x.Silent {
		return
	}
	for k, p := range r.st.Placements {
		loaded := x.loaded[placement.Target{Model: k.Model, Adapter: k.Adapter}]
		done := p.Phase == state.PhaseLoading && loaded || p.Phase == state.PhaseUnloading && !loaded
		if k.Server != x.Name || !done {
			continue
		}
		r.must(state.Command{Settle: &state.Settle{Server: x.Name, Incarnation: x.Incarnation, Model: k.Model, Adapter: k.Adapter, Fence: p.Fence, Loaded: loaded, Sequence: x.Sequence}})
		r.idleStarts(k, x)
	}
	r.plan()
	for _, t := range r.targets {
		r.dispatch(t)
	}
}
