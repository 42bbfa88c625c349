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

// queueIdle is how long an unused queue keeps what it learned.
const queueIdle = 10 * time.Minute

// queue is the admission queue of one model, adapter or plain service.
type queue struct {
	key       routing.Key
	admission *admission.Queue
	limiter   *admission.Limiter
	budget    *admission.RetryBudget
	waiters   map[uint64]*waiter
	// unserved holds the deadlines of granted requests without a server.
	unserved    map[*call]time.Duration
	nominal     int
	lastArrival time.Duration
}

// waiter receives nil for a grant, or a refusal.
type waiter struct{ done chan *Refusal }

// queue returns the queue for a key. The caller holds the lock.
func (e *Entry) queue(key routing.Key) *queue {
	key = e.queueKey(key)
	if qu, ok := e.queues[key]; ok {
		return qu
	}
	limit := e.view.Load().limits[key.Model]
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	qu := &queue{
		key: key, limiter: admission.NewLimiter(), budget: admission.NewRetryBudget(e.opts.RetryShare),
		waiters:   map[uint64]*waiter{},
		unserved:  map[*call]time.Duration{},
		admission: admission.NewQueue(admission.Options{Limit: limit, PatientLimit: patientQueueLimit}, e.rng),
	}
	e.queues[key] = qu
	return qu
}

// queueKey maps the need of a request to the queue that serves it.
func (e *Entry) queueKey(key routing.Key) routing.Key {
	if e.opts.off.queues {
		return routing.Key{}
	}
	return key
}

// admit blocks until the request has a slot.
func (e *Entry) admit(ctx context.Context, q *call) *Refusal {
	e.mu.Lock()
	now := e.opts.Now()
	qu := e.queue(q.key)
	qu.lastArrival = now
	e.arrivals[q.key]++
	qu.budget.RecordFirstAttempt()
	e.setCapacity(qu)
	q.cold = qu.nominal == 0
	r := admission.Request{
		ID: q.nonce, Team: q.caller.Team, Weight: q.caller.Weight, Class: q.class, Arrived: now, Deadline: now + q.timeout,
	}
	if refused := qu.admission.Offer(now, r); refused != nil {
		e.mu.Unlock()
		return queueRefusal(*refused)
	}
	w := &waiter{done: make(chan *Refusal, 1)}
	qu.waiters[r.ID] = w
	e.dispatch(qu)
	e.mu.Unlock()
	defer func() { q.waited = e.opts.Now() - now }()
	select {
	case refusal := <-w.done:
		return refusal
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(qu.waiters, r.ID)
	if !qu.admission.Cancel(r.ID) {
		select {
		case refusal := <-w.done:
			if refusal == nil {
				qu.admission.Done(0)
				e.dispatch(qu)
			}
		default:
		}
	}
	return ended(ctx, "no backend server was ready before the deadline")
}

// ended returns the refusal for a request whose context has ended.
func ended(ctx context.Context, reason string) *Refusal {
	r := deadlinePassed(reason)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		r.Code, r.Reason, r.gone = "cancelled", "the caller cancelled the request", true
	}
	return r
}

// release frees the slot of a request. took is zero if it says nothing about
// the service time.
func (e *Entry) release(q *call, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	qu := e.queues[e.queueKey(q.key)]
	qu.admission.Done(took)
	e.dispatch(qu)
}

// setCapacity brings the queue's slots in line with the ready servers.
func (e *Entry) setCapacity(qu *queue) {
	qu.nominal = e.router.AvailableServers(qu.key) * e.opts.PerServer
	if e.opts.off.queues {
		qu.nominal = len(e.view.Load().servers) * e.opts.PerServer
	}
	var ready time.Duration
	known := false
	if qu.nominal == 0 && e.opts.Predict != nil {
		ready, known = e.opts.Predict(qu.key.Model, qu.key.Adapter)
	}
	slots := qu.limiter.Slots(qu.nominal)
	if slots > 0 {
		// Attempts on lost servers use up no slot of the others.
		slots += e.router.AttemptsOnUnavailable(qu.key)
	}
	qu.admission.SetCapacity(slots, ready, known)
}

// dispatch refuses the requests that are late and grants free slots. The
// caller holds the lock.
func (e *Entry) dispatch(qu *queue) {
	now := e.opts.Now()
	e.setCapacity(qu)
	for _, x := range qu.admission.Expire(now) {
		qu.notify(x.ID, queueRefusal(x.Refusal))
	}
	for {
		r, ok := qu.admission.Next(now)
		if !ok {
			return
		}
		qu.notify(r.ID, nil)
	}
}

func (qu *queue) notify(id uint64, refusal *Refusal) {
	if w, ok := qu.waiters[id]; ok {
		delete(qu.waiters, id)
		w.done <- refusal
	}
}

// retry takes one retry from the budget of the request's model.
func (e *Entry) retry(q *call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queues[e.queueKey(q.key)].budget.TakeRetry() || e.opts.off.retryBudget
}

// notAdmitted tells the limiter that a server had no room for a request.
func (e *Entry) notAdmitted(q *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queues[e.queueKey(q.key)].limiter.Refused(e.opts.Now())
}

// prune drops queues and probes that have not been used for a while. The caller holds the
// lock.
func (e *Entry) prune(now time.Duration) {
	for key, qu := range e.queues {
		if qu.admission.Waiting()+qu.admission.Running() == 0 && now-qu.lastArrival > queueIdle {
			delete(e.queues, key)
		}
	}
	for p, v := range e.vitals {
		if v.at > 0 && now-v.at > stallAfter {
			delete(e.vitals, p)
		}
	}
}

// Demand returns the requests that wait or run here, per model and adapter. A
// request for an adapter counts for its model as well, which is loaded first.
func (e *Entry) Demand() []placement.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	sums := map[routing.Key]*placement.Demand{}
	for key, qu := range e.queues {
		if key.Model == "" {
			continue
		}
		e.addDemand(sums, key, qu)
		if key.Adapter != "" {
			e.addDemand(sums, routing.Key{Service: key.Service, Model: key.Model}, qu)
		}
	}
	e.addRunning(sums)
	out := make([]placement.Demand, 0, len(sums))
	for _, d := range sums {
		out = append(out, *d)
	}
	return out
}

// urgencies are the planner's names of the admission classes.
var urgencies = map[admission.Class]placement.Urgency{
	admission.Interactive: placement.Interactive,
	admission.Standard:    placement.Standard,
	admission.Patient:     placement.Patient,
}

// addRunning counts the requests in progress by backend server, so that a
// replica is not unloaded under them.
func (e *Entry) addRunning(sums map[routing.Key]*placement.Demand) {
	for p, flights := range e.flights {
		for f := range flights {
			base := f.key
			base.Adapter = ""
			for _, key := range slices.Compact([]routing.Key{f.key, base}) {
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

func (e *Entry) addDemand(sums map[routing.Key]*placement.Demand, key routing.Key, qu *queue) {
	d, ok := sums[key]
	if !ok {
		d = &placement.Demand{Model: key.Model, Adapter: key.Adapter}
		sums[key] = d
	}
	d.Waiting += qu.admission.Waiting() + len(qu.unserved)
	d.Running += qu.admission.Running() - len(qu.unserved)
	for q, deadline := range qu.unserved {
		if d.EarliestDeadline == 0 || deadline < d.EarliestDeadline {
			d.EarliestDeadline = deadline
		}
		c := &d.Classes[urgencies[q.class]]
		if c.Waiting == 0 || deadline < c.EarliestDeadline {
			c.EarliestDeadline = deadline
		}
		c.Waiting++
	}
	d.Arrivals += e.arrivals[qu.key]
	d.LastArrival = max(d.LastArrival, qu.lastArrival)
	for class, urgency := range urgencies {
		n, first := qu.admission.WaitingInClass(class)
		c := &d.Classes[urgency]
		if n > 0 && (c.Waiting == 0 || first < c.EarliestDeadline) {
			c.EarliestDeadline = first
		}
		c.Waiting += n
	}
	if first, ok := qu.admission.EarliestDeadline(); ok && (d.EarliestDeadline == 0 || first < d.EarliestDeadline) {
		d.EarliestDeadline = first
	}
}
