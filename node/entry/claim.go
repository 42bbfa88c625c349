package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

const (
	// proposeTimeout limits the duration of one proposal.
	proposeTimeout = 2 * time.Second
	// commitRetryPeriod is how long a proposal is repeated in the background. The
	// outcome of a claim that still has none when it expires is unknown.
	commitRetryPeriod = 10 * time.Minute
	commitRetryPause  = 200 * time.Millisecond
	// claimMargin extends a claim beyond the deadline of its request, to cover the
	// difference between the wall clocks of the hosts. An outcome that is committed
	// after the claim expires still counts.
	claimMargin = time.Minute
)

// propose proposes a command once. After an error it is unknown whether the command
// is or will be committed.
func (e *Entry) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c.UnixMS = time.Now().UnixMilli()
	return e.opts.Log.Propose(ctx, c)
}

// commit proposes a command in the background until it is applied or
// commitRetryPeriod ends. The command may be applied more than once, so it must be
// idempotent.
func (e *Entry) commit(c state.Command) { e.commitAndNotify(c, func() {}) }

// commitAndNotify is commit with a callback: onEnd is called once the command is applied
// or the retries have ended.
func (e *Entry) commitAndNotify(c state.Command, onEnd func()) {
	e.addActive()
	go func() {
		defer e.removeActive()
		defer onEnd()
		for stop := time.Now().Add(commitRetryPeriod); time.Now().Before(stop); {
			if _, err := e.propose(context.Background(), c); err == nil {
				return
			}
			time.Sleep(commitRetryPause)
		}
	}()
}

// claim commits the claim of a request that may run only once. It returns the
// recorded outcome of an earlier request with the same idempotency key, if there is
// one, or a refusal.
func (e *Entry) claim(ctx context.Context, req *request) (*state.Outcome, *Refusal) {
	res, err := e.propose(ctx, state.Command{Claim: &state.Claim{
		Key: req.idempotencyKey, Caller: req.caller.Name, CreatedMS: req.createdMS, Fingerprint: req.fingerprint,
		Holder: e.opts.Self, Nonce: req.nonce, ExpiresMS: time.Now().Add(req.timeout + claimMargin).UnixMilli(),
	}})
	if err != nil {
		// The claim may be committed despite the error. Nothing was sent to a
		// backend server, so the outcome is recorded as not run.
		e.commit(state.Command{Outcome: e.claimOutcome(req, state.Outcome{NotRun: true})})
		return nil, unavailable("no_quorum", "the claim on the call could not be recorded")
	}
	if err := res.Err(); err != nil {
		return nil, claimRefusal(err)
	}
	return res.Outcome, nil
}

// claimRefusal converts a rejected claim to a refusal. If the idempotency key was used
// before, the request may have run, so its execution is unknown. Only if the key was
// used for a different request is it certain that this one did not run.
func claimRefusal(err error) *Refusal {
	var rej *state.Rejection
	if !errors.As(err, &rej) {
		return unavailable("no_quorum", err.Error())
	}
	r := refuse(http.StatusConflict, string(rej.Code), rej.Reason)
	switch rej.Code {
	case state.CodeClaimHeld:
		r.Execution = ExecutionUnknown
	case state.CodeOutcomeUnknown:
		r.Execution, r.RetryAfterMS = ExecutionUnknown, 0
	case state.CodeKeyExpired:
		r.Status, r.Execution, r.RetryAfterMS = http.StatusGone, ExecutionUnknown, 0
	case state.CodeInvalid:
		r.Status, r.RetryAfterMS = http.StatusBadRequest, 0
	default:
		r.RetryAfterMS = 0
	}
	return r
}

// claimOutcome completes an outcome with the fields that identify the request's claim.
func (e *Entry) claimOutcome(req *request, o state.Outcome) *state.Outcome {
	o.Key, o.Caller, o.Holder, o.Nonce = req.idempotencyKey, req.caller.Name, e.opts.Self, req.nonce
	return &o
}

// recordOutcome commits the outcome of a claimed request.
func (e *Entry) recordOutcome(req *request, ans *answer, refusal *Refusal) {
	o, ok := ans.recordableOutcome()
	switch {
	case ok:
	case refusal != nil && !req.mayHaveRun:
		o = state.Outcome{NotRun: true}
	default:
		o = state.Outcome{Unknown: true}
	}
	// While the log is unavailable, the outcomes that wait for it must not take the memory.
	held := e.opts.Memory.HoldRequest()
	if held.Grow(len(o.Body)) != nil {
		o = state.Outcome{Unknown: true}
	}
	e.commitAndNotify(state.Command{Outcome: e.claimOutcome(req, o)}, held.Release)
}
