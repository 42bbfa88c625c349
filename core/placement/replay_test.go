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
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// targetQueue holds the waiting requests and the demand for one target.
type targetQueue struct {
	waiting        []*request
	running        int
	waitingPerHost [8]int
	arrivals       [8]uint64
	lastArrival    time.Duration
	runningOn      map[string]int
}

// replay simulates generated days of requests with the state and the planner.
type replay struct {
	workload        workload
	rng             *rand.Rand
	now             time.Duration
	measuredFrom    time.Duration // start of the measured day
	events          eventHeap
	eventSequence   int
	logIndex        uint64
	state           *state.State
	planner         *placement.Planner
	engines         []*engine
	engineByName    map[string]*engine
	queues          map[placement.Target]*targetQueue
	targets         []placement.Target
	running         map[*request]*engine
	storeLoads      int
	adapterLoads    int
	storeLoadStarts []time.Duration
	idleSince       map[state.PlacementKey]time.Duration
	result          result
}

func newReplay(w workload, seed int64, p *placement.Planner, days int, withFaults bool) *replay {
	r := &replay{
		workload: w, rng: rand.New(rand.NewSource(seed)), state: state.New(), planner: p, engineByName: map[string]*engine{},
		queues: map[placement.Target]*targetQueue{}, running: map[*request]*engine{}, idleSince: map[state.PlacementKey]time.Duration{},
		measuredFrom: time.Duration(days-1) * day,
	}
	r.mustApply(state.Command{Configure: &state.Configure{ChangeID: "first", Next: w.config}})
	for i := range 12 {
		r.addEngine(i)
	}
	if withFaults {
		r.scheduleFaults()
	}
	return r
}

func (r *replay) apply(c state.Command) error {
	r.logIndex++
	c.UnixMS = monday + r.now.Milliseconds()
	return r.state.Apply(r.logIndex, c).Err()
}

// mustApply applies a command and records a violation if the state rejects it.
func (r *replay) mustApply(c state.Command) {
	if err := r.apply(c); err != nil {
		r.result.violations = append(r.result.violations, err.Error())
	}
}

func (r *replay) schedule(d time.Duration, run func()) {
	r.eventSequence++
	heap.Push(&r.events, event{r.now + d, r.eventSequence, run})
}

func (r *replay) queueFor(t placement.Target) *targetQueue {
	queue, ok := r.queues[t]
	if !ok {
		queue = &targetQueue{runningOn: map[string]int{}, lastArrival: -1}
		r.queues[t] = queue
		r.targets = append(r.targets, t)
	}
	return queue
}

// arrive processes the arrival of a request.
func (r *replay) arrive(req *request) {
	queue := r.queueFor(req.target)
	queue.arrivals[req.host]++
	queue.lastArrival = r.now
	modelQueue := r.queueFor(placement.Target{Model: req.target.Model})
	if modelQueue != queue {
		modelQueue.arrivals[req.host]++
		modelQueue.lastArrival = r.now
	}
	if r.isMeasured() {
		r.result.requests++
	}
	req.coldStart = !r.anyReady(req.target)
	if req.coldStart && r.refuseIfLate(req) {
		return
	}
	if m, _ := r.workload.config.Model(req.target.Model); queue.waitingPerHost[req.host] >= m.QueueLimit {
		r.refuse(req, "queue_full")
		return
	}
	r.enqueue(req)
}

// refuseIfLate refuses a request if its deadline is before the predicted ready time
// or no server can load its target. It returns true if it refused the request.
func (r *replay) refuseIfLate(req *request) bool {
	p, ok := r.planner.PredictionFor(req.target)
	switch {
	case ok && p.Impossible:
		r.refuse(req, "no_server")
	case ok && p.Median > req.deadline:
		r.refuse(req, "predicted_late")
	default:
		return false
	}
	return true
}

// refuse counts a refusal. The refused request counts as having waited until its
// deadline, so that refusals do not shorten the tail of the waits.
func (r *replay) refuse(req *request, reason string) {
	if !r.isMeasured() {
		return
	}
	r.result.countRefusal(reason)
	r.result.allWaits = append(r.result.allWaits, (req.deadline - req.at).Seconds())
}

func (r *replay) isMeasured() bool { return r.now >= r.measuredFrom }

func (r *replay) enqueue(req *request) {
	queue := r.queueFor(req.target)
	queue.waiting = append(queue.waiting, req)
	queue.waitingPerHost[req.host]++
	if t := (placement.Target{Model: req.target.Model}); t != req.target {
		r.queueFor(t).waitingPerHost[req.host]++
	}
	r.dispatch(req.target)
	if len(queue.waiting) > 0 {
		r.plan()
	}
}

func (r *replay) dequeue(queue *targetQueue, i int) *request {
	req := queue.waiting[i]
	queue.waiting = slices.Delete(queue.waiting, i, i+1)
	queue.waitingPerHost[req.host]--
	if t := (placement.Target{Model: req.target.Model}); t != req.target {
		r.queueFor(t).waitingPerHost[req.host]--
	}
	return req
}

// canServe reports whether an engine may be sent a request for the target.
func (r *replay) canServe(eng *engine, t placement.Target) bool {
	if eng.stopped || eng.Leaving || eng.Silent || !eng.loaded[t] || !eng.loaded[placement.Target{Model: t.Model}] {
		return false
	}
	ready := r.state.Placements[state.PlacementKey{Server: eng.Name, Model: t.Model, Adapter: t.Adapter}].Phase == state.PhaseReady
	return ready && r.state.Placements[state.PlacementKey{Server: eng.Name, Model: t.Model}].Phase == state.PhaseReady
}

func (r *replay) anyReady(t placement.Target) bool {
	return slices.ContainsFunc(r.engines, func(eng *engine) bool { return r.canServe(eng, t) })
}

// dispatch sends waiting requests to replicas that can run another request, the
// most urgent first.
func (r *replay) dispatch(t placement.Target) {
	queue := r.queueFor(t)
	for len(queue.waiting) > 0 {
		var best *engine
		m := placement.Target{Model: t.Model}
		for _, eng := range r.engines {
			if r.canServe(eng, t) && eng.running[m] < maxRunningPerReplica && (best == nil || eng.running[m] < best.running[m]) {
				best = eng
			}
		}
		if best == nil {
			return
		}
		next := 0
		for i, req := range queue.waiting {
			if req.urgency < queue.waiting[next].urgency {
				next = i
			}
		}
		r.startRequest(r.dequeue(queue, next), best)
	}
}

func (r *replay) startRequest(req *request, eng *engine) {
	if r.now > req.deadline {
		r.refuse(req, "deadline")
		return
	}
	if r.isMeasured() {
		wait := 0.0
		// Waits below 0.1 s are for an adapter whose model is ready. They do not count
		// as cold starts.
		if w := (r.now - req.at).Seconds(); req.coldStart && w >= 0.1 {
			wait = w
			r.result.coldWaits = append(r.result.coldWaits, wait)
		}
		r.result.allWaits = append(r.result.allWaits, wait)
	}
	r.running[req] = eng
	r.addRunning(req, eng, 1)
	if req.crashesServer {
		r.schedule(time.Second, func() {
			if r.running[req] == eng && !eng.stopped {
				r.stopEngine(eng)
			}
		})
		return
	}
	incarnation := eng.Incarnation
	r.schedule(req.serviceTime, func() {
		if r.running[req] != eng || eng.Incarnation != incarnation || eng.stopped {
			return
		}
		delete(r.running, req)
		r.addRunning(req, eng, -1)
		if r.now > req.deadline && r.isMeasured() {
			r.result.finishedLate++
		}
		for _, t := range r.targets {
			if t.Model == req.target.Model {
				r.dispatch(t)
			}
		}
	})
}

// addRunning adds n to the number of running requests for the target of req on an
// engine.
func (r *replay) addRunning(req *request, eng *engine, n int) {
	m := placement.Target{Model: req.target.Model}
	key := state.PlacementKey{Server: eng.Name, Model: m.Model}
	r.endIdle(key)
	for _, t := range slices.Compact([]placement.Target{req.target, m}) {
		queue := r.queueFor(t)
		queue.running += n
		queue.runningOn[eng.Name] += n
		eng.running[t] += n
	}
	eng.Load.Running += n
	r.startIdle(key, eng)
}

// endIdle adds the time since startIdle to the accelerator hours without requests.
func (r *replay) endIdle(k state.PlacementKey) {
	from, ok := r.idleSince[k]
	if !ok {
		return
	}
	delete(r.idleSince, k)
	if from = max(from, r.measuredFrom); r.now > from {
		accelerators := 2 * float64(r.state.Placements[k].MemoryMiB) / engineMiB
		h := accelerators * (r.now - from).Hours()
		r.result.idleHours += h
		if m, _ := r.state.Config.Model(k.Model); m.PinnedReplicas > 0 {
			r.result.pinnedHours += h
		}
	}
}

// startIdle records the start of an idle period if the model of k is ready and has
// no running requests.
func (r *replay) startIdle(k state.PlacementKey, eng *engine) {
	if k.Adapter == "" && eng.running[placement.Target{Model: k.Model}] == 0 && r.state.Placements[k].Phase == state.PhaseReady {
		r.idleSince[k] = r.now
	}
}

// plan runs the planner and executes its decisions.
func (r *replay) plan() {
	in := placement.Input{Now: r.now, UnixMS: monday + r.now.Milliseconds(), State: r.state, Sender: state.HostProcess{Host: "control-1", Incarnation: 1}}
	for _, eng := range r.engines {
		if !eng.stopped {
			in.Servers = append(in.Servers, eng.ServerStatus)
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
		queue := r.queues[t]
		if queue.running == 0 && len(queue.waiting) == 0 && queue.waitingPerHost == [8]int{} && r.now-queue.lastArrival > 10*time.Second {
			continue
		}
		for h := range 8 {
			d := placement.Demand{Model: t.Model, Adapter: t.Adapter, Waiting: queue.waitingPerHost[h], Arrivals: queue.arrivals[h], LastArrival: queue.lastArrival}
			if h == 0 {
				d.Running, d.RunningOn = queue.running, queue.runningOn
			}
			for _, req := range queue.waiting {
				if req.host == h {
					c := &d.Classes[req.urgency]
					c.Waiting++
					if c.EarliestDeadline == 0 || req.deadline < c.EarliestDeadline {
						c.EarliestDeadline = req.deadline
					}
					if d.EarliestDeadline == 0 || req.deadline < d.EarliestDeadline {
						d.EarliestDeadline = req.deadline
					}
				}
			}
			out = append(out, d)
		}
	}
	return out
}

// expireRequests refuses the waiting requests whose deadline has passed. It returns
// whether requests are still waiting.
func (r *replay) expireRequests() (waiting bool) {
	for _, t := range r.targets {
		queue := r.queues[t]
		for i := len(queue.waiting) - 1; i >= 0; i-- {
			if r.now > queue.waiting[i].deadline {
				r.refuse(r.dequeue(queue, i), "deadline")
			}
		}
		waiting = waiting || len(queue.waiting) > 0
	}
	return waiting
}

// run replays the requests and returns the results of the last day.
func (r *replay) run(requests []request, days int) result {
	heap.Init(&r.events)
	var tick func()
	tick = func() {
		r.plan()
		if r.expireRequests() {
			r.schedule(250*time.Millisecond, tick)
		} else {
			r.schedule(5*time.Second, tick)
		}
	}
	r.schedule(0, tick)
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
	for k := range r.idleSince {
		r.endIdle(k)
	}
	return r.result
}
