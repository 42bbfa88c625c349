package placement_test

import (
	"container/heap"
	"math/rand"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
)

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
	r.must(state.Command{Configure: &state.Configure{ChangeID: "first", Next: w.config}})
	for i := range 12 {
		r.addRunner(i)
	}
	if faults {
		r.faults()
	}
	return r
}

func (r *replay) apply(c state.Command) error {
	r.index++
	c.UnixMS = monday + r.now.Milliseconds()
	return r.st.Apply(r.index, c).Err()
}

// must applies a command that the state may not reject.
func (r *replay) must(c state.Command) {
	if err := r.apply(c); err != nil {
		r.result.broken = append(r.result.broken, err.Error())
	}
}

func (r *replay) after(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, event{r.now + d, r.order, run})
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
