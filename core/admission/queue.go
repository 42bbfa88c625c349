// Package admission decides which requests wait, in which order they are
// served, and which are refused. It performs no I/O and reads no clock.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Class is the urgency of a request.
type Class uint8

// Urgency classes, most urgent first. Patient requests may wait for hours.
const (
	Interactive Class = iota
	Standard
	Patient
)

// ParseClass returns the class that a header value names. For any other value it
// returns Standard and false.
func ParseClass(s string) (Class, bool) {
	switch s {
	case "interactive":
		return Interactive, true
	case "standard":
		return Standard, true
	case "patient":
		return Patient, true
	}
	return Standard, false
}

// Code is the reason why a request was refused.
type Code string

// Refusal codes.
const (
	// CodeQueueFull: the queue has reached its limit for the request's class.
	CodeQueueFull Code = "queue_full"
	// CodeDeadline: the request cannot be answered before its deadline.
	CodeDeadline Code = "deadline"
	// CodeTeamShare: the queue is contended and the team is above its share.
	CodeTeamShare Code = "team_share"
)

// Refusal is the answer to a request that is not served.
type Refusal struct {
	Code Code
	// RetryAfter is how long the caller should wait before a retry. It is jittered, so
	// that refused callers do not retry at the same time.
	RetryAfter time.Duration
}

// Request is a request for a slot. Arrived and Deadline are on the same clock as
// the now parameters of Queue.
type Request struct {
	ID       uint64
	Team     string
	Weight   int
	Class    Class
	Arrived  time.Duration
	Deadline time.Duration
}

// Options configure a queue.
type Options struct {
	// Limit is the maximum number of waiting interactive and standard requests,
	// PatientLimit that of waiting patient requests.
	Limit        int
	PatientLimit int
}

// Queue holds the requests for one model or adapter on one host. It is not
// safe for concurrent use.
type Queue struct {
	opts    Options
	rng     *rand.Rand
	waiting []Request // ordered by deadline
	patient int       // number of waiting requests of class Patient
	running int
	slots   int
	// readyAt is the predicted time of the first slot while there is none. It is
	// valid only if readyKnown is true.
	readyAt     time.Duration
	readyKnown  bool
	serviceTime estimate
	teams       teams
}

// NewQueue returns an empty queue without slots.
func NewQueue(opts Options, rng *rand.Rand) *Queue {
	return &Queue{opts: opts, rng: rng, serviceTime: newEstimate(), teams: teams{}}
}

// SetCapacity sets the number of requests that may run at once. If slots is zero
// and readyKnown is true, readyAt is the predicted time of the first slot.
func (q *Queue) SetCapacity(slots int, readyAt time.Duration, readyKnown bool) {
	q.slots, q.readyAt, q.readyKnown = slots, readyAt, readyKnown
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// EarliestDeadline returns the earliest deadline of the waiting requests, and false
// if no request is waiting.
func (q *Queue) EarliestDeadline() (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	return q.waiting[0].Deadline, true
}

// WaitingInClass returns the number of waiting requests of one class and their
// earliest deadline, or zeros if there are none.
func (q *Queue) WaitingInClass(c Class) (n int, earliest time.Duration) {
	for _, r := range q.waiting {
		if r.Class != c {
			continue
		}
		if n == 0 {
			earliest = r.Deadline
		}
		n++
	}
	return n, earliest
}

// Offer adds r to the queue and returns nil, or returns a refusal. A request is
// accepted only if it and every request accepted earlier can still meet its
// deadline.
func (q *Queue) Offer(now time.Duration, r Request) *Refusal {
	q.teams.recordOffer(now, r)
	switch {
	case r.Class == Patient && q.patient >= q.opts.PatientLimit,
		r.Class != Patient && len(q.waiting)-q.patient >= q.opts.Limit:
		return q.refuse(CodeQueueFull, q.timeToServe(len(q.waiting)))
	case !q.feasible(now, r):
		return q.refuse(CodeDeadline, q.nextSlotAt(now)-now+q.timeToServe(len(q.waiting)))
	case q.contended(now, r) && q.teams.aboveShare(now, r):
		return q.refuse(CodeTeamShare, q.timeToServe(len(q.waiting)))
	}
	q.teams.recordAccepted(now, r)
	q.insert(r)
	return nil
}

func (q *Queue) insert(r Request) {
	i, _ := slices.BinarySearchFunc(q.waiting, r.Deadline, func(a Request, d time.Duration) int {
		if a.Deadline <= d {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, i, r)
	if r.Class == Patient {
		q.patient++
	}
}

func (q *Queue) remove(i int) Request {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if r.Class == Patient {
		q.patient--
	}
	return r
}

// nextSlotAt returns the time at which the next slot is expected to be free. Without
// slots, that is the predicted time of the first one.
func (q *Queue) nextSlotAt(now time.Duration) time.Duration {
	if q.slots == 0 {
		return max(now, q.readyAt)
	}
	if q.running < q.slots {
		return now
	}
	return now + q.serviceTime.mean/time.Duration(2*q.slots)
}

// timeToServe returns the time that n requests keep all slots busy.
func (q *Queue) timeToServe(n int) time.Duration {
	return q.serviceTime.mean * time.Duration(n) / time.Duration(max(q.slots, 1))
}

// waitFactor is the factor, per class, by which the predicted wait of a new
// request is multiplied. It covers the error of the estimates (without it, 14% of
// accepted requests missed their deadline at twice the capacity) and reserves
// capacity for more urgent requests that arrive later.
var waitFactor = [...]float64{Interactive: 1.2, Standard: 1.3, Patient: 1.5}

// acceptedWaitFactor is the corresponding factor for requests that were accepted
// earlier and would be served after the new one.
const acceptedWaitFactor = 1.15

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// feasible reports whether r and all requests that would be served after it can meet
// their deadlines. It checks the demand bound at each of these deadlines: all requests
// due by a deadline must be servable before it. Without slots and without a predicted
// ready time, only a deadline that has already passed is infeasible.
func (q *Queue) feasible(now time.Duration, r Request) bool {
	if q.slots == 0 && !q.readyKnown {
		return r.Deadline > now
	}
	start, tail := q.nextSlotAt(now), q.serviceTime.tail()
	ahead := 0
	for _, w := range q.waiting {
		if w.Deadline <= r.Deadline {
			ahead++
		}
	}
	if start+scale(q.timeToServe(ahead), waitFactor[r.Class])+tail > r.Deadline {
		return false
	}
	for i := ahead; i < len(q.waiting); i++ {
		if start+scale(q.timeToServe(i+1), acceptedWaitFactor)+tail > q.waiting[i].Deadline {
			return false
		}
	}
	return true
}

// contended reports whether accepting r leaves little capacity for other teams: half
// of the limit is used, or the expected wait is at least half of the time until r's
// deadline. It returns false while a slot is free and no request waits.
func (q *Queue) contended(now time.Duration, r Request) bool {
	if q.slots > 0 && q.running < q.slots && len(q.waiting) == 0 {
		return false
	}
	wait := q.timeToServe(len(q.waiting)) + q.serviceTime.tail()
	return len(q.waiting)-q.patient >= q.opts.Limit/2 || 2*wait >= r.Deadline-now
}

// Next grants a slot to a waiting request and returns it, or returns false if none
// waits or no slot is free. If a deadline would otherwise be missed, the request with
// the earliest deadline is next. Otherwise it is one of the most urgent class; within
// a class, teams are served in proportion to their weight.
func (q *Queue) Next(now time.Duration) (Request, bool) {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return Request{}, false
	}
	best := 0
	if !q.headDue(now) {
		for i := 1; i < len(q.waiting); i++ {
			if q.servedBefore(q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
	}
	r := q.remove(best)
	q.running++
	q.teams.recordService(r, q.serviceTime.mean)
	return r, true
}

// headDue reports whether a waiting request would miss its deadline if one other than
// that with the earliest deadline were served first. It computes the latest start of
// the waiting requests, served in the order of their deadlines.
func (q *Queue) headDue(now time.Duration) bool {
	step, tail := q.timeToServe(1), q.serviceTime.tail()
	latestStart := q.waiting[len(q.waiting)-1].Deadline
	for i := len(q.waiting) - 1; i >= 0; i-- {
		latestStart = min(latestStart-step, q.waiting[i].Deadline-tail)
	}
	return now+step >= latestStart
}

// servedBefore reports whether a is served before b: by class, then by the weighted
// work of the team, then by arrival.
func (q *Queue) servedBefore(a, b Request) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	workA, workB := q.teams.weightedWork(a.Team), q.teams.weightedWork(b.Team)
	if workA != workB {
		return workA < workB
	}
	return a.Arrived < b.Arrived
}

// ReleaseSlot releases the slot of a request. took is how long the request held the slot;
// zero leaves the estimate of the service time unchanged.
func (q *Queue) ReleaseSlot(took time.Duration) {
	q.running--
	if took > 0 {
		q.serviceTime.add(took)
	}
}

// Cancel removes a waiting request. It returns false if no such request was
// waiting.
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// Expired is a request that was removed from the queue because it can no longer
// meet its deadline.
type Expired struct {
	Request
	Refusal Refusal
}

// Expire removes and returns the waiting requests that can no longer meet their
// deadline with the present capacity and predicted ready time.
func (q *Queue) Expire(now time.Duration) []Expired {
	var out []Expired
	start := now
	if q.slots == 0 && q.readyKnown {
		start = max(now, q.readyAt)
	}
	ahead := 0
	for i := 0; i < len(q.waiting); {
		r := q.waiting[i]
		finish := start + q.timeToServe(ahead) + q.serviceTime.mean
		if q.slots == 0 && !q.readyKnown {
			finish = now
		}
		if finish < r.Deadline {
			ahead++
			i++
			continue
		}
		q.remove(i)
		out = append(out, Expired{r, *q.refuse(CodeDeadline, finish-now)})
	}
	return out
}

// minRetryAfter is the minimum of RetryAfter before jitter. It keeps refused
// callers from retrying immediately.
const minRetryAfter = 200 * time.Millisecond

func (q *Queue) refuse(code Code, after time.Duration) *Refusal {
	return &Refusal{Code: code, RetryAfter: Jitter(q.rng, max(after, minRetryAfter))}
}

// Jitter returns a random duration between 0.5 d and 1.5 d.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}
