package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/admission"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/routing"
)

// queueRetention is how long an unused queue is kept, with its measured service times,
// limiter and retry budget.
const queueRetention = 10 * time.Minute

// modelQueue is the admission queue of one model, adapter or plain service.
type modelQueue struct {
	key       routing.Key
	admission *admission.Queue
	limiter   *admission.Limiter
	budget    *admission.RetryBudget
	waiters   map[uint64]*waiter
	// unserved holds the deadlines of the admitted requests that have no server.
	unserved    map[*request]time.Duration
	serverSlots int
	lastArrival time.Duration
}

// waiter receives the result of one waiting request: nil if it is admitted, otherwise
// the refusal.
type waiter struct{ result chan *Refusal }

// queueFor returns the queue for a key and creates it if needed. The caller holds e.mu.
func (e *Entry) queueFor(key routing.Key) *modelQueue {
	key = e.queueKey(key)
	if queue, ok := e.queues[key]; ok {
		return queue
	}
	limit := e.view.Load().queueLimits[key.Model]
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	queue := &modelQueue{
		key: key, limiter: admission.NewLimiter(), budget: admission.NewRetryBudget(e.opts.RetriesPerFirstAttempt),
		waiters:   map[uint64]*waiter{},
		unserved:  map[*request]time.Duration{},
		admission: admission.NewQueue(admission.Options{Limit: limit, PatientLimit: patientQueueLimit}, e.rng),
	}
	e.queues[key] = queue
	return queue
}

// queueKey returns the key of the queue for requests with the given key.
func (e *Entry) queueKey(key routing.Key) routing.Key {
	if e.opts.disabled.modelQueues {
		return routing.Key{}
	}
	return key
}

// admit blocks until the request has a slot, is refused or its context ends.
func (e *Entry) admit(ctx context.Context, req *request) *Refusal {
	e.mu.Lock()
	now := e.opts.Now()
	queue := e.queueFor(req.key)
	queue.lastArrival = now
	e.arrivals[req.key]++
	queue.budget.RecordFirstAttempt()
	e.setCapacity(queue)
	req.coldStart = queue.serverSlots == 0
	queued := admission.Request{
		ID: req.nonce, Team: req.caller.Team, Weight: req.caller.Weight, Class: req.class, Arrived: now, Deadline: now + req.timeout,
	}
	if refused := queue.admission.Offer(now, queued); refused != nil {
		e.mu.Unlock()
		return queueRefusal(*refused)
	}
	waiting := &waiter{result: make(chan *Refusal, 1)}
	queue.waiters[queued.ID] = waiting
	e.dispatch(queue)
	e.mu.Unlock()
	defer func() { req.queueTime = e.opts.Now() - now }()
	select {
	case refusal := <-waiting.result:
		return refusal
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(queue.waiters, queued.ID)
	if !queue.admission.Cancel(queued.ID) {
		select {
		case refusal := <-waiting.result:
			if refusal == nil {
				queue.admission.ReleaseSlot(0)
				e.dispatch(queue)
			}
		default:
		}
	}
	return contextRefusal(ctx, "no backend server was ready before the deadline")
}

// contextRefusal returns the refusal of a request whose context has ended: cancelled by
// the caller, or past its deadline for the given reason.
func contextRefusal(ctx context.Context, reason string) *Refusal {
	r := deadlinePassed(reason)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		r.Code, r.Reason, r.callerLeft = "cancelled", "the caller cancelled the request", true
	}
	return r
}

// release frees the slot of a request. serviceTime is zero if the request must not count
// in the measured service times.
func (e *Entry) release(req *request, serviceTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	queue := e.queues[e.queueKey(req.key)]
	queue.admission.ReleaseSlot(serviceTime)
	e.dispatch(queue)
}

// setCapacity sets the number of slots of a queue from the number of available servers.
// The caller holds e.mu.
func (e *Entry) setCapacity(queue *modelQueue) {
	queue.serverSlots = e.router.AvailableServers(queue.key) * e.opts.MaxAttemptsPerServer
	if e.opts.disabled.modelQueues {
		queue.serverSlots = len(e.view.Load().servers) * e.opts.MaxAttemptsPerServer
	}
	var readyAt time.Duration
	known := false
	if queue.serverSlots == 0 && e.opts.PredictReadyAt != nil {
		readyAt, known = e.opts.PredictReadyAt(queue.key.Model, queue.key.Adapter)
	}
	slots := queue.limiter.Slots(queue.serverSlots)
	if slots > 0 {
		// Attempts on unavailable servers hold slots, which are added so that
		// the other servers can be used fully.
		slots += e.router.AttemptsOnUnavailable(queue.key)
	}
	queue.admission.SetCapacity(slots, readyAt, known)
}

// dispatch refuses the waiting requests that can no longer be served in time and gives
// free slots to others. The caller holds e.mu.
func (e *Entry) dispatch(queue *modelQueue) {
	now := e.opts.Now()
	e.setCapacity(queue)
	for _, expired := range queue.admission.Expire(now) {
		queue.notify(expired.ID, queueRefusal(expired.Refusal))
	}
	for {
		r, ok := queue.admission.Next(now)
		if !ok {
			return
		}
		queue.notify(r.ID, nil)
	}
}

// notify passes the result of a waiting request on: nil if it is admitted, otherwise the
// refusal.
func (queue *modelQueue) notify(id uint64, refusal *Refusal) {
	if waiting, ok := queue.waiters[id]; ok {
		delete(queue.waiters, id)
		waiting.result <- refusal
	}
}

// takeRetry takes one retry from the budget of the request's queue. It returns false if
// the budget is used up.
func (e *Entry) takeRetry(req *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queues[e.queueKey(req.key)].budget.TakeRetry() || e.opts.disabled.retryBudget
}

// recordNotAdmitted notifies the limiter that a server had no capacity for a request.
func (e *Entry) recordNotAdmitted(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queues[e.queueKey(req.key)].limiter.RecordRefused(e.opts.Now())
}

// removeUnused removes queues that have been unused for queueRetention and probes that
// ended more than stallAfter ago. The caller holds e.mu.
func (e *Entry) removeUnused(now time.Duration) {
	for key, queue := range e.queues {
		if queue.admission.Waiting()+queue.admission.Running() == 0 && now-queue.lastArrival > queueRetention {
			delete(e.queues, key)
		}
	}
	for p, probe := range e.probes {
		if probe.endedAt > 0 && now-probe.endedAt > stallAfter {
			delete(e.probes, p)
		}
	}
}

// Demand returns the waiting and running requests of this host per model and adapter. A
// request for an adapter also counts for its model, because the model is loaded first.
func (e *Entry) Demand() []placement.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	sums := map[routing.Key]*placement.Demand{}
	for key, queue := range e.queues {
		if key.Model == "" {
			continue
		}
		e.addDemand(sums, key, queue)
		if key.Adapter != "" {
			e.addDemand(sums, routing.Key{Service: key.Service, Model: key.Model}, queue)
		}
	}
	e.addRunning(sums)
	out := make([]placement.Demand, 0, len(sums))
	for _, d := range sums {
		out = append(out, *d)
	}
	return out
}

// urgencyByClass maps the admission classes to the urgencies of the placement planner.
var urgencyByClass = map[admission.Class]placement.Urgency{
	admission.Interactive: placement.Interactive,
	admission.Standard:    placement.Standard,
	admission.Patient:     placement.Patient,
}

// addRunning counts the running attempts per backend server, so that the planner does
// not unload a replica that is in use. The caller holds e.mu.
func (e *Entry) addRunning(sums map[routing.Key]*placement.Demand) {
	for p, attempts := range e.inFlight {
		for attempt := range attempts {
			base := attempt.key
			base.Adapter = ""
			for _, key := range slices.Compact([]routing.Key{attempt.key, base}) {
				d := sums[key]
				if d == nil {
					continue
				}
				if d.RunningOn == nil {
					d.RunningOn = map[string]int{}
				}
				d.RunningOn[p.server]++
			}
		}
	}
}

// addDemand adds the requests of a queue to the demand for a key. The caller holds e.mu.
func (e *Entry) addDemand(sums map[routing.Key]*placement.Demand, key routing.Key, queue *modelQueue) {
	d, ok := sums[key]
	if !ok {
		d = &placement.Demand{Model: key.Model, Adapter: key.Adapter}
		sums[key] = d
	}
	d.Waiting += queue.admission.Waiting() + len(queue.unserved)
	d.Running += queue.admission.Running() - len(queue.unserved)
	for req, deadline := range queue.unserved {
		if d.EarliestDeadline == 0 || deadline < d.EarliestDeadline {
			d.EarliestDeadline = deadline
		}
		c := &d.Classes[urgencyByClass[req.class]]
		if c.Waiting == 0 || deadline < c.EarliestDeadline {
			c.EarliestDeadline = deadline
		}
		c.Waiting++
	}
	d.Arrivals += e.arrivals[queue.key]
	d.LastArrival = max(d.LastArrival, queue.lastArrival)
	for class, urgency := range urgencyByClass {
		n, earliest := queue.admission.WaitingInClass(class)
		c := &d.Classes[urgency]
		if n > 0 && (c.Waiting == 0 || earliest < c.EarliestDeadline) {
			c.EarliestDeadline = earliest
		}
		c.Waiting += n
	}
	if earliest, ok := queue.admission.EarliestDeadline(); ok && (d.EarliestDeadline == 0 || earliest < d.EarliestDeadline) {
		d.EarliestDeadline = earliest
	}
}
