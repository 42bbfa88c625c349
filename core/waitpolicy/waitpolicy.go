// Package waitpolicy decides whether a request that no backend server can accept
// now waits or is refused at once. It performs no I/O and reads no clock.
//
// It is made for services whose models are loaded on demand: a request that a
// load can serve in time waits for it. Any other request is refused at once
// with a time after which to return, so that its caller can use the time that
// is left.
package waitpolicy

import "time"

const (
	// serviceShare is the part of a request's time that must be left for
	// serving it after the wait.
	serviceShare = 0.15
	// minServiceTime is the least such time.
	minServiceTime = 100 * time.Millisecond
	// unknownLoadShare is the part of its available time that a request waits
	// while no load of its model is known. Servers that could load the model
	// may still be busy with others; a caller that returns earlier would find
	// the same situation.
	unknownLoadShare = 0.9
	// firstByteDivisor determines the time that is left for the answer to
	// begin: 1/firstByteDivisor of the caller's wait limit.
	firstByteDivisor = 20
	// overdueWait is how long a request waits for a load that is overdue.
	overdueWait = 1500 * time.Millisecond
	// loadTolerance is how long after its predicted end a load may end before
	// it is overdue.
	loadTolerance = 400 * time.Millisecond
	// defaultReturnAfter is the time after which a refused caller should
	// return if no better time is known.
	defaultReturnAfter = 500 * time.Millisecond
)

// Request is a waiting request.
type Request struct {
	Arrived, Deadline time.Duration
	// WaitLimit is how long the caller waits for the answer to begin. Zero
	// means until the deadline.
	WaitLimit time.Duration
}

// latestSend returns the latest time at which the request must be sent to a
// server.
func (r Request) latestSend() time.Duration {
	available := r.Deadline - r.Arrived
	latestSend := r.Deadline - max(minServiceTime, time.Duration(serviceShare*float64(available)))
	if r.WaitLimit > 0 {
		latestSend = min(latestSend, r.Arrived+r.WaitLimit-minServiceTime-r.WaitLimit/firstByteDivisor)
	}
	return latestSend
}

// Forecast is the forecast of when a server can accept the request.
type Forecast struct {
	Known bool
	// ReadyAt is the predicted time. It is valid if Known is set.
	ReadyAt time.Duration
	// FastestLoad is the duration of a load that begins now, on the server that
	// loads the model fastest.
	FastestLoad time.Duration
}

// Decision is what to do with a request.
type Decision struct {
	// Wait is set if the request keeps waiting until Until, when Decide must
	// be called again.
	Wait  bool
	Until time.Duration
	// ReturnAfter is the time after which a refused caller should return.
	ReturnAfter time.Duration
}

// Decide returns the decision for a request at now.
func Decide(now time.Duration, r Request, outlook Forecast) Decision {
	latestSend := r.latestSend()
	if outlook.Known {
		expected := max(outlook.ReadyAt, now)
		if expected <= latestSend && now < outlook.ReadyAt+loadTolerance {
			return Decision{Wait: true, Until: min(latestSend, outlook.ReadyAt+loadTolerance)}
		}
		if expected > latestSend {
			return Decision{ReturnAfter: max(defaultReturnAfter, expected-now)}
		}
	}
	waitUntil := r.Arrived + time.Duration(unknownLoadShare*float64(latestSend-r.Arrived))
	// From lastStart on, a load ends too late even if it begins at once.
	lastStart := latestSend - outlook.FastestLoad
	if !outlook.Known && now >= lastStart {
		return Decision{ReturnAfter: max(defaultReturnAfter, outlook.FastestLoad+loadTolerance)}
	}
	if outlook.Known {
		// The load is overdue, and a new report about it is due soon.
		waitUntil = max(waitUntil, outlook.ReadyAt+loadTolerance+overdueWait)
	} else {
		waitUntil = min(waitUntil, lastStart)
	}
	if until := min(waitUntil, latestSend); now < until {
		return Decision{Wait: true, Until: until}
	}
	return Decision{ReturnAfter: defaultReturnAfter}
}
