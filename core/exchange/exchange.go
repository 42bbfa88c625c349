// Package exchange decides, after each attempt to serve a caller's request on a
// backend server, whether the request is sent again, resumed, answered, rejected
// or aborted. It is independent of the protocol, performs no I/O and reads no
// clock.
//
// Invariants: an answer that was begun either completes or is aborted; a
// request that is not idempotent is sent again only with proof that it did not
// run; an answer that was begun goes on at another server only if it can be resumed; a rejection that promises "not run" is chosen only with that proof for
// every attempt.
package exchange

import "time"

// Outcome is the result of one attempt on a backend server.
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
	// Lost: there is no usable answer, and the request may have run. Nothing
	// was forwarded to the caller.
	Lost
	// Failed: the server ran the request and answered with a failure of its
	// own.
	Failed
	// Cut: a stream ended early after some of its events were forwarded to the
	// caller.
	Cut
	// Complete: the complete answer was forwarded to the caller.
	Complete
)

func (o Outcome) String() string {
	return [...]string{"not_sent", "misdirected", "refused", "lost", "failed", "cut", "complete"}[o]
}

// Action is the next step for the request.
type Action int

// Actions after an attempt.
const (
	// Send: send the request to another backend server. If some events of a
	// stream were forwarded, it is resumed after the last of them.
	Send Action = iota
	// Deliver: forward the answer of the last attempt.
	Deliver
	// RejectNotRun: reject the request with the promise that it has not run.
	RejectNotRun
	// FailUnknown: fail without stating whether the request has run.
	FailUnknown
	// Abort: break off the answer that was begun, so that it cannot appear
	// complete.
	Abort
	// Done: the answer is complete.
	Done
)

func (a Action) String() string {
	return [...]string{"send", "deliver", "reject_not_run", "fail_unknown", "abort", "done"}[a]
}

// maxUnreachedAttempts is the number of attempts that may reach no server of the
// service and still be followed by another. Each finds one wrong or unreachable
// address, and more than a few mean that the network is at fault.
const maxUnreachedAttempts = 4

// Policy is what the route allows for a request.
type Policy struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable allows another server to go on with a stream of which events were forwarded.
	Resumable bool
	// RetryFailures allows another attempt after the outcome Failed.
	RetryFailures bool
	// MaxAttempts is the maximum number of servers that the request may reach.
	MaxAttempts int
	// Deadline is the earlier of the caller's deadline and the end of the route's
	// timeout.
	Deadline time.Duration
}

// Exchange is the state of one request.
type Exchange struct {
	policy    Policy
	takeRetry func() bool

	reachedServers    int
	unreachedAttempts int
	// mayHaveRun is set once an attempt ended without proof that the request did
	// not run.
	mayHaveRun bool
	// answerBegun is set once events were forwarded. After that, the answer
	// can only be completed or aborted.
	answerBegun bool
}

// New returns the exchange of a request that has not been sent yet. takeRetry
// takes one more arrival at a server from the shared retry budget and reports
// whether the budget allows it.
func New(p Policy, takeRetry func() bool) *Exchange {
	return &Exchange{policy: p, takeRetry: takeRetry}
}

// ReachedServers returns the number of servers that the request has reached.
func (x *Exchange) ReachedServers() int { return x.reachedServers }

// MayHaveRun reports whether the request may have run in one of its attempts.
func (x *Exchange) MayHaveRun() bool { return x.mayHaveRun }

// ActionAfter records an attempt that ended at now with outcome o, and returns the
// action that follows.
func (x *Exchange) ActionAfter(now time.Duration, o Outcome) Action {
	switch o {
	case NotSent, Misdirected:
		// No server of the service was reached, so another attempt is not limited
		// by MaxAttempts, and is allowed for a request that is not
		// idempotent.
		x.unreachedAttempts++
		if x.unreachedAttempts <= maxUnreachedAttempts && now < x.policy.Deadline && (o == NotSent || x.takeRetry()) {
			return Send
		}
		return x.finalAction()
	case Refused:
		x.reachedServers++
		if x.allowRetry(now) {
			return Send
		}
		return x.finalAction()
	case Lost:
		x.reachedServers++
		x.mayHaveRun = true
		if x.policy.Idempotent && x.allowRetry(now) {
			return Send
		}
		return x.finalAction()
	case Failed:
		x.reachedServers++
		x.mayHaveRun = true
		if x.policy.Idempotent && x.policy.RetryFailures && x.allowRetry(now) {
			return Send
		}
		if x.answerBegun {
			return Abort
		}
		return Deliver
	case Cut:
		x.reachedServers++
		x.mayHaveRun, x.answerBegun = true, true
		if x.policy.Resumable && x.allowRetry(now) {
			return Send
		}
		return Abort
	}
	return Done
}

// ActionAtDeadline returns the action for a request that still waits for a server
// at its deadline.
func (x *Exchange) ActionAtDeadline() Action { return x.finalAction() }

// finalAction returns the action that ends a request without another attempt.
func (x *Exchange) finalAction() Action {
	switch {
	case x.answerBegun:
		return Abort
	case x.mayHaveRun:
		return FailUnknown
	}
	return RejectNotRun
}

// allowRetry reports whether the request may reach one more server, and if so
// takes a retry from the budget.
func (x *Exchange) allowRetry(now time.Duration) bool {
	return x.reachedServers < x.policy.MaxAttempts && now < x.policy.Deadline && x.takeRetry()
}
