package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
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

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// runner is a simulated engine.
type runner struct {
	membership.Presence
	gone   bool
	loaded map[placement.Target]bool
	load   map[placement.Target]int // running requests
	// fetches are the counters of the loads in flight, which end with the process.
	fetches []*int
}

// queue is the demand for one target.
type queue struct {
	waiting  []*request
	running  int
	perHost  [8]int
	arrivals [8]uint64
	last     time.Duration
	on       map[string]int
}

// replay drives the state and the planner through generated days.
type replay struct {
	w        workload
	rng      *rand.Rand
	now      time.Duration
	measured time.Duration // start of the measured day
	events   events
	order    int
	index    uint64
	st       *state.State
	planner  *placement.Planner
	runners  []*runner
	byName   map[string]*runner
	queues   map[placement.Target]*queue
	targets  []placement.Target
	running  map[*request]*runner
	storeIn  int
	adapters int
	starts   []time.Duration
	busyFrom map[state.PlaceKey]time.Duration
	result   result
}

func newReplay(w workload, seed int64, p *placement.Planner, days int, faults bool) *replay {
	r := &replay{
		w: w, rng: rand.New(rand.NewSource(seed)), st: state.New(), planner: p, byName: map[string]*runner{},
		queues: map[placement.Target]*queue{}, running: map[*request]*runner{}, busyFrom: map[state.PlaceKey]time.Duration{},
		measured: time.Duration(days-1) * day,
	}
	_ = r.apply(state.Command{Configure: &state.Configure{ChangeID: "first", Next: w.config}})
	for i := range 12 {
		r.addRunner(i)
	}
	if faults {
		r.faults()
	}
	return r
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
	_ = r.apply(state.Command{Register: &state.Register{
		Server: x.Name, Incarnation: x.Incarnation, Service: x.Service, Kind: x.Kind,
		DataCentre: x.DataCentre, MemoryMiB: x.MemoryMiB, ChecksFencing: x.ChecksFencing,
	}})
}

func (r *replay) apply(c state.Command) error {
	r.index++
	c.UnixMS = monday + r.now.Milliseconds()
	return r.st.Apply(r.index, c).Err()
}

func (r *replay) after(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, event{r.now + d, r.order, run})
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

func (r *replay) queue(t placement.Target) *queue {
	q, ok := r.queues[t]
	if !ok {
		q = &queue{on: map[string]int{}, last: -1}
		r.queues[t] = q
		r.targets = append(r.targets, t)
	}
	return q
}

// arrive handles a new request.
func (r *replay) arrive(q *request) {
	u := r.queue(q.target)
	u.arrivals[q.host]++
	u.last = r.now
	b := r.queue(placement.Target{Model: q.target.Model})
	if b != u {
		b.arrivals[q.host]++
		b.last = r.now
	}
	if r.inDay() {
		r.result.requests++
	}
	q.cold = !r.anyReady(q.target)
	if q.cold && r.late(q) {
		return
	}
	if m, _ := r.w.config.Model(q.target.Model); u.perHost[q.host] >= m.QueueLimit {
		r.refuse(q, "queue_full")
		return
	}
	r.enqueue(q)
}

// late refuses a request whose deadline is before the predicted ready time.
func (r *replay) late(q *request) bool {
	p, ok := r.planner.Ready(q.target)
	switch {
	case ok && p.Impossible:
		r.refuse(q, "no_server")
	case ok && p.Usual > q.deadline:
		r.refuse(q, "predicted_late")
	default:
		return false
	}
	return true
}

// refuse counts a refusal. In the cold start times, a refused request counts
// with all the time it allowed, so that refusing does not shorten the tail.
func (r *replay) refuse(q *request, reason string) {
	if !r.inDay() {
		return
	}
	r.result.refuse(reason)
	r.result.waits = append(r.result.waits, (q.deadline - q.at).Seconds())
}

func (r *replay) inDay() bool { return r.now >= r.measured }

func (r *replay) enqueue(q *request) {
	u := r.queue(q.target)
	u.waiting = append(u.waiting, q)
	u.perHost[q.host]++
	if t := (placement.Target{Model: q.target.Model}); t != q.target {
		r.queue(t).perHost[q.host]++
	}
	r.dispatch(q.target)
	if len(u.waiting) > 0 {
		r.plan()
	}
}

func (r *replay) unqueue(u *queue, i int) *request {
	q := u.waiting[i]
	u.waiting = slices.Delete(u.waiting, i, i+1)
	u.perHost[q.host]--
	if t := (placement.Target{Model: q.target.Model}); t != q.target {
		r.queue(t).perHost[q.host]--
	}
	return q
}

// serves reports whether a runner may get a request for the target.
func (r *replay) serves(x *runner, t placement.Target) bool {
	if x.gone || x.Leaving || x.Silent || !x.loaded[t] || !x.loaded[placement.Target{Model: t.Model}] {
		return false
	}
	ready := r.st.Placements[state.PlaceKey{Server: x.Name, Model: t.Model, Adapter: t.Adapter}].Phase == state.PhaseReady
	return ready && r.st.Placements[state.PlaceKey{Server: x.Name, Model: t.Model}].Phase == state.PhaseReady
}

func (r *replay) anyReady(t placement.Target) bool {
	return slices.ContainsFunc(r.runners, func(x *runner) bool { return r.serves(x, t) })
}

// dispatch sends waiting requests to free replicas, the most urgent first.
func (r *replay) dispatch(t placement.Target) {
	u := r.queue(t)
	for len(u.waiting) > 0 {
		var best *runner
		m := placement.Target{Model: t.Model}
		for _, x := range r.runners {
			if r.serves(x, t) && x.load[m] < slotsPerRep && (best == nil || x.load[m] < best.load[m]) {
				best = x
			}
		}
		if best == nil {
			return
		}
		next := 0
		for i, q := range u.waiting {
			if q.urgency < u.waiting[next].urgency {
				next = i
			}
		}
		r.start(r.unqueue(u, next), best)
	}
}

func (r *replay) start(q *request, x *runner) {
	if r.now > q.deadline {
		r.refuse(q, "deadline")
		return
	}
	if r.inDay() {
		wait := 0.0
		// Shorter waits are those for an adapter on a ready model.
		if w := (r.now - q.at).Seconds(); q.cold && w >= 0.1 {
			wait = w
			r.result.cold = append(r.result.cold, wait)
		}
		r.result.waits = append(r.result.waits, wait)
	}
	r.running[q] = x
	r.count(q, x, 1)
	if q.crashes {
		r.after(time.Second, func() {
			if r.running[q] == x && !x.gone {
				r.end(x)
			}
		})
		return
	}
	incarnation := x.Incarnation
	r.after(q.service, func() {
		if r.running[q] != x || x.Incarnation != incarnation || x.gone {
			return
		}
		delete(r.running, q)
		r.count(q, x, -1)
		if r.now > q.deadline && r.inDay() {
			r.result.late++
		}
		for _, t := range r.targets {
			if t.Model == q.target.Model {
				r.dispatch(t)
			}
		}
	})
}

// count adds n running requests of q's target on a runner.
func (r *replay) count(q *request, x *runner, n int) {
	m := placement.Target{Model: q.target.Model}
	key := state.PlaceKey{Server: x.Name, Model: m.Model}
	r.idleEnds(key)
	for _, t := range slices.Compact([]placement.Target{q.target, m}) {
		u := r.queue(t)
		u.running += n
		u.on[x.Name] += n
		x.load[t] += n
	}
	x.Load.Running += n
	r.idleStarts(key, x)
}

// idleEnds and idleStarts add up accelerator time without requests.
func (r *replay) idleEnds(k state.PlaceKey) {
	from, ok := r.busyFrom[k]
	if !ok {
		return
	}
	delete(r.busyFrom, k)
	if from = max(from, r.measured); r.now > from {
		share := 2 * float64(r.st.Placements[k].MemoryMiB) / serverMiB
		h := share * (r.now - from).Hours()
		r.result.idleHours += h
		if m, _ := r.st.Config.Model(k.Model); m.PinnedReplicas > 0 {
			r.result.pinnedHours += h
		}
	}
}

func (r *replay) idleStarts(k state.PlaceKey, x *runner) {
	if k.Adapter == "" && x.load[placement.Target{Model: k.Model}] == 0 && r.st.Placements[k].Phase == state.PhaseReady {
		r.busyFrom[k] = r.now
	}
}

// plan runs the planner and executes its decisions.
func (r *replay) plan() {
	in := placement.Input{Now: r.now, UnixMS: monday + r.now.Milliseconds(), State: r.st, Sender: state.Sender{Host: "control-1", Incarnation: 1}}
	for _, x := range r.runners {
		if !x.gone {
			in.Servers = append(in.Servers, x.Presence)
		}
	}
	in.Demand = r.demand()
	for _, d := range r.planner.Plan(in) {
		if d.Load != nil {
			r.executeLoad(*d.Load)
		} else {
			r.executeUnload(*d.Unload)
		}
	}
}

func (r *replay) demand() []placement.Demand {
	var out []placement.Demand
	for _, t := range r.targets {
		u := r.queues[t]
		if u.running == 0 && len(u.waiting) == 0 && u.perHost == [8]int{} && r.now-u.last > 10*time.Second {
			continue
		}
		for h := range 8 {
			d := placement.Demand{Model: t.Model, Adapter: t.Adapter, Waiting: u.perHost[h], Arrivals: u.arrivals[h], LastArrival: u.last}
			if h == 0 {
				d.Running, d.RunningOn = u.running, u.on
			}
			for _, q := range u.waiting {
				if q.host == h {
					c := &d.Classes[q.urgency]
					c.Waiting++
					if c.Earliest == 0 || q.deadline < c.Earliest {
						c.Earliest = q.deadline
					}
					if d.Earliest == 0 || q.deadline < d.Earliest {
						d.Earliest = q.deadline
					}
				}
			}
			out = append(out, d)
		}
	}
	return out
}

func (r *replay) executeLoad(l state.Load) {
	x := r.byName[l.Server]
	r.check(x)
	if err := r.apply(state.Command{Load: &l}); err != nil {
		r.result.broken = append(r.result.broken, err.Error())
		return
	}
	fence := r.index
	_ = r.apply(state.Command{Resolve: &state.Resolve{Server: l.Server, Model: l.Model, Adapter: l.Adapter, Index: fence, Sender: l.Sender, Sequence: 1}})
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
		reported := p.Phase == state.PhaseLoading && loaded || p.Phase == state.PhaseUnloading && !loaded
		if k.Server != x.Name || !reported {
			continue
		}
		_ = r.apply(state.Command{Settle: &state.Settle{Server: x.Name, Incarnation: x.Incarnation, Model: k.Model, Adapter: k.Adapter, Fence: p.Fence, Loaded: loaded, Sequence: x.Sequence}})
		r.idleStarts(k, x)
	}
	r.plan()
	for _, t := range r.targets {
		r.dispatch(t)
	}
}

// expire refuses the requests that waited past their deadline.
func (r *replay) expire() (waiting bool) {
	for _, t := range r.targets {
		u := r.queues[t]
		for i := len(u.waiting) - 1; i >= 0; i-- {
			if r.now > u.waiting[i].deadline {
				r.refuse(r.unqueue(u, i), "deadline")
			}
		}
		waiting = waiting || len(u.waiting) > 0
	}
	return waiting
}

// run replays the requests and returns the figures of the last day.
func (r *replay) run(requests []request, days int) result {
	heap.Init(&r.events)
	var tick func()
	tick = func() {
		r.plan()
		if r.expire() {
			r.after(250*time.Millisecond, tick)
		} else {
			r.after(5*time.Second, tick)
		}
	}
	r.after(0, tick)
	end := time.Duration(days) * day
	for i := 0; ; {
		if i < len(requests) && (len(r.events) == 0 || requests[i].at <= r.events[0].at) {
			r.now = requests[i].at
			r.arrive(&requests[i])
			i++
			continue
		}
		e := heap.Pop(&r.events).(event)
		if e.at >= end {
			break
		}
		r.now = e.at
		e.run()
	}
	r.now = end
	for k := range r.busyFrom {
		r.idleEnds(k)
	}
	return r.result
}
