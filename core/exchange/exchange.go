// Package exchange is the life of one request of a caller: it is sent to
// backend servers, answered, repeated or resumed where that is allowed, and
// ended. It knows no protocol, performs no I/O and reads no clock.
//
// Invariants: an answer that was begun ends as complete or is broken off; a
// request that is not idempotent is sent again only after proof
// that it did not run; an ending that promises "not run" is chosen only with
// that proof for every attempt.
package exchange

import "time"

// Outcome is how one attempt on a backend server ended.
type Outcome int

// Outcomes of an attempt.
const (
	// NotSent: no byte of the request reached a backend server.
	NotSent Outcome = iota
	// Misdirected: another server answered at the address. It did not run the
	// request.
	Misdirected
	// Refused: the server states that it did not run the request.
	Refused
	// Lost: there is no usable answer, and the request may have run. Nothing was
	// passed on.
	Lost
	// Failed: the server ran the request and answers with a failure of its own.
	Failed
	// Cut: a stream ended early after some of its events were passed on.
	Cut
	// Complete: the whole answer was passed on.
	Complete
)

func (o Outcome) String() string {
	return [...]string{"not_sent", "misdirected", "refused", "lost", "failed", "cut", "complete"}[o]
}

// Action is what happens next to the request.
type Action int

// Actions.
const (
	// Send: send the request to another backend server. A stream of which
	// events were passed on is resumed after the last of them.
	Send Action = iota
	// Deliver: pass on the answer of the last attempt.
	Deliver
	// RejectNotRun: refuse with the promise that the request has not run.
	RejectNotRun
	// FailUnknown: fail without a promise.
	FailUnknown
	// Abort: break off the answer that was begun, so that it cannot look
	// complete.
	Abort
	// Done: the answer is complete.
	Done
)

func (a Action) String() string {
	return [...]string{"send", "deliver", "reject_not_run", "fail_unknown", "abort", "done"}[a]
}

// maxUnsent bounds the sends that reached no server: each finds one dead
// address, and more than a few mean that the network is at fault.
const maxUnsent = 4

// Policy is what the route allows.
type Policy struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// RetryFailures allows another attempt after a server's own failure.
	RetryFailures bool
	// MaxAttempts is the number of servers that the request may reach.
	MaxAttempts int
	// Deadline is when the caller or the route gives up.
	Deadline time.Duration
}

// Exchange is one request. Retry asks the shared retry budget for one more
// arrival at a server.
type Exchange struct {
	policy Policy
	retry  func() bool

	reached int
	unsent  int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// begun is set once events were passed on. No other ending than the rest of
	// the stream may follow them.
	begun bool
}

// New returns an exchange that was not sent yet.
func New(p Policy, retry func() bool) *Exchange {
	return &Exchange{policy: p, retry: retry}
}

// Reached returns the number of servers that the request reached.
func (x *Exchange) Reached() int { return x.reached }

// MayHaveRun reports whether an attempt may have run.
func (x *Exchange) MayHaveRun() bool { return x.mayHaveRun }

// After returns what follows the end of an attempt at now.
func (x *Exchange) After(now time.Duration, o Outcome) Action {
	switch o {
	case NotSent, Misdirected:
		// No server of the service was reached, so neither the attempts of the
		// route nor a request that is not idempotent forbid another send.
		x.unsent++
		if x.unsent <= maxUnsent && now < x.policy.Deadline && (o == NotSent || x.retry()) {
			return Send
		}
		return x.giveUp()
	case Refused:
		x.reached++
		if x.again(now) {
			return Send
		}
		return x.giveUp()
	case Lost:
		x.reached++
		x.mayHaveRun = true
		if x.policy.Idempotent && x.again(now) {
			return Send
		}
		return x.giveUp()
	case Failed:
		x.reached++
		x.mayHaveRun = true
		if x.policy.Idempotent && x.policy.RetryFailures && x.again(now) {
			return Send
		}
		if x.begun {
			return Abort
		}
		return Deliver
	case Cut:
		x.reached++
		x.mayHaveRun, x.begun = true, true
		if x.policy.Idempotent && x.again(now) {
			return Send
		}
		return Abort
	}
	return Done
}

// Expired returns how a request ends that waits for a server at its deadline.
func (x *Exchange) Expired() Action { return x.giveUp() }

func (x *Exchange) giveUp() Action {
	switch {
	case x.begun:
		return Abort
	case x.mayHaveRun:
		return FailUnknown
	}
	return RejectNotRun
}

// again reports whether one more server may be reached.
func (x *Exchange) again(now time.Duration) bool {
	return x.reached < x.policy.MaxAttempts && now < x.policy.Deadline && x.retry()
}
