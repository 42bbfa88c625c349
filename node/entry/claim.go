package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

const (
	// proposeTimeout bounds one proposal.
	proposeTimeout = 2 * time.Second
	// commitRetryPeriod is how long a proposal is repeated in the background. After
	// that a claim without an outcome is settled by the control hosts.
	commitRetryPeriod = 10 * time.Minute
	commitRetryPause  = 200 * time.Millisecond
	// claimMargin covers the difference of the hosts' wall clocks beyond the
	// deadline of a claimed call. An outcome that comes later still counts.
	claimMargin = time.Minute
)

// propose makes one proposal. Its error means that the command may or may not
// be committed.
func (e *Entry) propose(ctx context.Context, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c.UnixMS = time.Now().UnixMilli()
	return e.opts.Log.Propose(ctx, c)
}

// commit proposes a command in the background until it is applied. All
// commands that it is used for may be applied more than once.
func (e *Entry) commit(c state.Command) { e.commitAndNotify(c, func() {}) }

// commitAndNotify calls then once the command is applied or given up.
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

// claim commits the claim on a call that may run only once. It returns the
// recorded outcome of an earlier call with the same key, or a refusal.
func (e *Entry) claim(ctx context.Context, req *request) (*state.Outcome, *Refusal) {
	res, err := e.propose(ctx, state.Command{Claim: &state.Claim{
		Key: req.idempotencyKey, Caller: req.caller.Name, CreatedMS: req.createdMS, Fingerprint: req.fingerprint,
		Holder: e.opts.Self, Nonce: req.nonce, ExpiresMS: time.Now().Add(req.timeout + claimMargin).UnixMilli(),
	}})
	if err != nil {
		// The claim may be committed all the same; nothing was sent for it.
		e.commit(state.Command{Outcome: e.claimOutcome(req, state.Outcome{NotRun: true})})
		return nil, unavailable("no_quorum", "the claim on the call could not be recorded")
	}
	if err := res.Err(); err != nil {
		return nil, claimRefusal(err)
	}
	return res.Outcome, nil
}

// claimRefusal translates a rejected claim. A key that was used before may
// have run; only a claim for another request proves that this one did not.
func claimRefusal(err error) *Refusal {
	var rej *state.Rejection
	if !errors.As(err, &rej) {
		return unavailable("no_quorum", err.Error())
	}
	r := refuse(http.StatusConflict, string(rej.Code), rej.Reason)
	switch rej.Code {
	case state.CodeClaimHeld:
		r.Execution = Unknown
	case state.CodeOutcomeUnknown:
		r.Execution, r.RetryAfterMS = Unknown, 0
	case state.CodeKeyExpired:
		r.Status, r.Execution, r.RetryAfterMS = http.StatusGone, Unknown, 0
	case state.CodeInvalid:
		r.Status, r.RetryAfterMS = http.StatusBadRequest, 0
	default:
		r.RetryAfterMS = 0
	}
	return r
}

func (e *Entry) claimOutcome(req *request, o state.Outcome) *state.Outcome {
	o.Key, o.Caller, o.Holder, o.Nonce = req.idempotencyKey, req.caller.Name, e.opts.Self, req.nonce
	return &o
}

// recordOutcome records how a claimed call ended.
func (e *Entry) recordOutcome(req *request, ans *answer, refusal *Refusal) {
	o, ok := ans.recordableOutcome()
	switch {
	case ok:
	case refusal != nil && !req.mayHaveRun:
		o = state.Outcome{NotRun: true}
	default:
		o = state.Outcome{Unknown: true}
	}
	e.commit(state.Command{Outcome: e.claimOutcome(req, o)})
}
