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

// ParseClass maps a header value to a class.
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

// Code says why a request was refused.
type Code string

// Refusal codes.
const (
	// CodeQueueFull: the bounded queue has no room.
	CodeQueueFull Code = "queue_full"
	// CodeDeadline: the request cannot be answered before its deadline.
	CodeDeadline Code = "deadline"
	// CodeTeamShare: the queue is contended and the team is above its share.
	CodeTeamShare Code = "team_share"
)

// Refusal is a negative answer that is given at once.
type Refusal struct {
	Code Code
	// RetryAfter is jittered, so that refused callers do not return together.
	RetryAfter time.Duration
}

// Request is one request that asks for a slot.
type Request struct {
	ID       uint64
	Team     string
	Weight   int
	Class    Class
	Arrived  time.Duration
	Deadline time.Duration
}

// Options bound one queue.
type Options struct {
	// Limit bounds waiting interactive and standard requests; PatientLimit
	// bounds waiting patient requests.
	Limit        int
	PatientLimit int
}

// Queue holds the requests for one model or adapter on one host. It is not
// safe for concurrent use.
type Queue struct {
	opts    Options
	rng     *rand.Rand
	waiting []Request // ordered by deadline
	patient int       // how many of waiting are Patient
	running int
	slots   int
	// ready is when the first slot is expected while there is none; known is
	// false if nothing has been predicted.
	ready time.Duration
	known bool
	cost  estimate
	teams teams
}

// NewQueue returns an empty queue without slots.
func NewQueue(opts Options, rng *rand.Rand) *Queue {
	return &Queue{opts: opts, rng: rng, cost: newEstimate(), teams: teams{}}
}

// SetCapacity sets the number of requests that may run at once. With no slots,
// ready is the predicted time of the first one if known is true.
func (q *Queue) SetCapacity(slots int, ready time.Duration, known bool) {
	q.slots, q.ready, q.known = slots, ready, known
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of granted requests that are not done.
func (q *Queue) Running() int { return q.running }

// Earliest returns the first deadline among the waiting requests.
func (q *Queue) Earliest() (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	return q.waiting[0].Deadline, true
}

// WaitingOf returns the number of waiting requests of one class and their
// first deadline.
func (q *Queue) WaitingOf(c Class) (n int, earliest time.Duration) {
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

// Offer accepts r into the queue or refuses it at once. A request is accepted
// only if it and every request accepted earlier can still meet its deadline.
func (q *Queue) Offer(now time.Duration, r Request) *Refusal {
	q.teams.offered(now, r)
	switch {
	case r.Class == Patient && q.patient >= q.opts.PatientLimit,
		r.Class != Patient && len(q.waiting)-q.patient >= q.opts.Limit:
		return q.refuse(CodeQueueFull, q.drain(len(q.waiting)))
	case !q.feasible(now, r):
		return q.refuse(CodeDeadline, q.start(now)-now+q.drain(len(q.waiting)))
	case q.contended(now, r) && q.teams.aboveShare(now, r):
		return q.refuse(CodeTeamShare, q.drain(len(q.waiting)))
	}
	q.teams.admitted(now, r)
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

// start returns when the next slot is expected to be free.
func (q *Queue) start(now time.Duration) time.Duration {
	if q.slots == 0 {
		return max(now, q.ready)
	}
	if q.running < q.slots {
		return now
	}
	return now + q.cost.mean/time.Duration(2*q.slots)
}

// drain returns the time that n requests occupy all slots for.
func (q *Queue) drain(n int) time.Duration {
	return q.cost.mean * time.Duration(n) / time.Duration(max(q.slots, 1))
}

// headroom is the factor on the predicted wait for each class when it is
// accepted. It covers the error of the estimates (without it, 14% of accepted
// requests missed their deadline at twice the capacity) and leaves room for
// more urgent requests that arrive later.
var headroom = [...]float64{Interactive: 1.2, Standard: 1.3, Patient: 1.5}

// displaced is the same factor for requests that were accepted earlier.
const displaced = 1.15

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// feasible checks the demand bound at every deadline that r affects: the work
// due by that deadline must fit before it.
func (q *Queue) feasible(now time.Duration, r Request) bool {
	if q.slots == 0 && !q.known {
		return r.Deadline > now
	}
	start, tail := q.start(now), q.cost.tail()
	ahead := 0
	for _, w := range q.waiting {
		if w.Deadline <= r.Deadline {
			ahead++
		}
	}
	if start+scale(q.drain(ahead), headroom[r.Class])+tail > r.Deadline {
		return false
	}
	for i := ahead; i < len(q.waiting); i++ {
		if start+scale(q.drain(i+1), displaced)+tail > q.waiting[i].Deadline {
			return false
		}
	}
	return true
}

// contended reports whether accepting r leaves little room for other teams.
func (q *Queue) contended(now time.Duration, r Request) bool {
	if q.slots > 0 && q.running < q.slots && len(q.waiting) == 0 {
		return false
	}
	wait := q.drain(len(q.waiting)) + q.cost.tail()
	return len(q.waiting)-q.patient >= q.opts.Limit/2 || 2*wait >= r.Deadline-now
}

// Next grants a slot to the next request: the one whose deadline leaves no
// more time to wait, else the most urgent, with teams served by weight.
func (q *Queue) Next(now time.Duration) (Request, bool) {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return Request{}, false
	}
	best := 0
	if !q.headDue(now) {
		for i := 1; i < len(q.waiting); i++ {
			if q.before(q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
	}
	r := q.remove(best)
	q.running++
	q.teams.served(r, q.cost.mean)
	return r, true
}

// headDue reports whether the earliest deadline would be missed if another
// request were served first.
func (q *Queue) headDue(now time.Duration) bool {
	step, tail := q.drain(1), q.cost.tail()
	latest := q.waiting[len(q.waiting)-1].Deadline
	for i := len(q.waiting) - 1; i >= 0; i-- {
		latest = min(latest-step, q.waiting[i].Deadline-tail)
	}
	return now+step >= latest
}

func (q *Queue) before(a, b Request) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	va, vb := q.teams.work(a.Team), q.teams.work(b.Team)
	if va != vb {
		return va < vb
	}
	return a.Arrived < b.Arrived
}

// Done frees a slot. took is the time that the request held it; zero leaves
// the estimate unchanged.
func (q *Queue) Done(took time.Duration) {
	q.running--
	if took > 0 {
		q.cost.add(took)
	}
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// Expired is a waiting request that can no longer meet its deadline.
type Expired struct {
	Request
	Refusal Refusal
}

// Expire removes the waiting requests that can no longer meet their deadline
// with the present capacity and prediction.
func (q *Queue) Expire(now time.Duration) []Expired {
	var out []Expired
	start := now
	if q.slots == 0 && q.known {
		start = max(now, q.ready)
	}
	ahead := 0
	for i := 0; i < len(q.waiting); {
		r := q.waiting[i]
		finish := start + q.drain(ahead) + q.cost.mean
		if q.slots == 0 && !q.known {
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

// minRetryAfter keeps refused callers from returning at once.
const minRetryAfter = 200 * time.Millisecond

func (q *Queue) refuse(code Code, after time.Duration) *Refusal {
	return &Refusal{Code: code, RetryAfter: Jitter(q.rng, max(after, minRetryAfter))}
}

// Jitter returns a duration between one half and three halves of d.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(d)+1))
}
