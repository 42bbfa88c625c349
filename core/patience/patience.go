// Package patience decides whether a request that no backend server can take
// now waits or is refused at once. It performs no I/O and reads no clock.
//
// It answers the load in which models are loaded on demand: a request that a
// load will serve in time waits for it, and any other is told at once when to
// come back, so that its caller can use the time that is left.
package patience

import "time"

const (
	// serviceShare is the part of a request's time that it needs after the wait.
	serviceShare = 0.15
	// minService is the least such time.
	minService = 100 * time.Millisecond
	// blindShare is the part of its time that a request waits while nothing is
	// known of a load. Servers that could load may still be at work for others; a
	// caller that comes back would find the same.
	blindShare = 0.9
	// patienceMargin is the part of a caller's patience that is left for the
	// beginning of the answer.
	patienceMargin = 20
	// overdueWait is how long a request waits for a load that is overdue.
	overdueWait = 1500 * time.Millisecond
	// lateness is how far beyond its prediction a load may end.
	lateness = 400 * time.Millisecond
	// defaultReturn is when a caller is told to come back if nothing is known.
	defaultReturn = 500 * time.Millisecond
)

// Request is a request that waits.
type Request struct {
	Arrived, Deadline time.Duration
	// Patience is how long the caller waits for the answer to begin. Zero means
	// until the deadline.
	Patience time.Duration
}

// latest is when the request must be sent at the latest.
func (r Request) latest() time.Duration {
	total := r.Deadline - r.Arrived
	latest := r.Deadline - max(minService, time.Duration(serviceShare*float64(total)))
	if r.Patience > 0 {
		latest = min(latest, r.Arrived+r.Patience-minService-r.Patience/patienceMargin)
	}
	return latest
}

// Outlook is what is known of the time at which a server can take the request.
type Outlook struct {
	Known bool
	// ReadyAt is the predicted time, if known.
	ReadyAt time.Duration
	// Soonest is the time that a load takes which begins now, on the server that
	// is fastest with it.
	Soonest time.Duration
}

// Decision says what to do with a request.
type Decision struct {
	// Wait is set if the request keeps waiting until Until, when it is decided
	// anew.
	Wait  bool
	Until time.Duration
	// ReturnAfter is when a refused caller should come back.
	ReturnAfter time.Duration
}

// Decide decides for a request at now.
func Decide(now time.Duration, r Request, o Outlook) Decision {
	latest := r.latest()
	if o.Known {
		expected := max(o.ReadyAt, now)
		if expected <= latest && now < o.ReadyAt+lateness {
			return Decision{Wait: true, Until: min(latest, o.ReadyAt+lateness)}
		}
		if expected > latest {
			return Decision{ReturnAfter: max(defaultReturn, expected-now)}
		}
	}
	blind := r.Arrived + time.Duration(blindShare*float64(latest-r.Arrived))
	// From lastStart on, a load ends too late even if it begins at once.
	lastStart := latest - o.Soonest
	if !o.Known && now >= lastStart {
		return Decision{ReturnAfter: max(defaultReturn, o.Soonest+lateness)}
	}
	if o.Known {
		// The load is overdue; its next report is due soon.
		blind = max(blind, o.ReadyAt+lateness+overdueWait)
	} else {
		blind = min(blind, lastStart)
	}
	if until := min(blind, latest); now < until {
		return Decision{Wait: true, Until: until}
	}
	return Decision{ReturnAfter: defaultReturn}
}
