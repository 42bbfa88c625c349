// Package waitpolicy decides whether a request that no backend server can accept
// now waits or is refused at once. It performs no I/O and reads no clock.
//
// Models are loaded on demand. A request waits if a load of its model can end in
// time. Any other request is refused at once with a delay after which to retry,
// so that its caller can use the time that is left.
package waitpolicy

import "time"

const (
	// serviceShare is the part of a request's time that must be left for
	// serving it after the wait.
	serviceShare = 0.15
	// minServiceTime is the minimum of the time that serviceShare reserves.
	minServiceTime = 100 * time.Millisecond
	// unknownLoadShare is the part of the time until latestSend that a request
	// waits while no load of its model is known. Servers that could load the
	// model may still be busy with others; a caller that retries earlier would
	// find the same situation.
	unknownLoadShare = 0.9
	// firstByteDivisor determines the time that is reserved for the answer to
	// begin, in addition to minServiceTime: 1/firstByteDivisor of the caller's
	// wait limit.
	firstByteDivisor = 20
	// overdueWait is how long a request waits for a load that is overdue.
	overdueWait = 1500 * time.Millisecond
	// loadTolerance is how long after its predicted end a load may end before
	// it is overdue.
	loadTolerance = 400 * time.Millisecond
	// defaultRetryAfter is the minimum delay after which a refused caller should
	// retry. It applies if no better time is known.
	defaultRetryAfter = 500 * time.Millisecond
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

// OrAt returns the forecast for a request that a loaded server is also expected to take from
// the given time on, when its pause ends or a permit for it arrives.
func (f Forecast) OrAt(at time.Duration) Forecast {
	if f.Known && f.ReadyAt < at {
		return f
	}
	return Forecast{Known: true, ReadyAt: at}
}

// Decision is what to do with a request.
type Decision struct {
	// Wait is set if the request keeps waiting until Until, when Decide must
	// be called again.
	Wait  bool
	Until time.Duration
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
}

// Decide returns what to do with a request at now.
func Decide(now time.Duration, r Request, forecast Forecast) Decision {
	latestSend := r.latestSend()
	if forecast.Known {
		expected := max(forecast.ReadyAt, now)
		if expected <= latestSend && now < forecast.ReadyAt+loadTolerance {
			return Decision{Wait: true, Until: min(latestSend, forecast.ReadyAt+loadTolerance)}
		}
		if expected > latestSend {
			return Decision{RetryAfter: max(defaultRetryAfter, expected-now)}
		}
	}
	waitUntil := r.Arrived + time.Duration(unknownLoadShare*float64(latestSend-r.Arrived))
	// From lastStart on, a load ends too late even if it begins at once.
	lastStart := latestSend - forecast.FastestLoad
	if !forecast.Known && now >= lastStart {
		return Decision{RetryAfter: max(defaultRetryAfter, forecast.FastestLoad+loadTolerance)}
	}
	if forecast.Known {
		// The load is overdue, and a new report about it is due soon.
		waitUntil = max(waitUntil, forecast.ReadyAt+loadTolerance+overdueWait)
	} else {
		waitUntil = min(waitUntil, lastStart)
	}
	if until := min(waitUntil, latestSend); now < until {
		return Decision{Wait: true, Until: until}
	}
	return Decision{RetryAfter: defaultRetryAfter}
}
