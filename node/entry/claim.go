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
	// commitFor is how long a proposal is repeated in the background. After
	// that a claim without an outcome is settled by the control hosts.
	commitFor   = 10 * time.Minute
	commitPause = 200 * time.Millisecond
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
func (e *Entry) commit(c state.Command) { e.commitThen(c, func() {}) }

// commitThen calls then once the command is applied or given up.
func (e *Entry) commitThen(c state.Command, then func()) {
	e.hold()
	go func() {
		defer e.end()
		defer then()
		for stop := time.Now().Add(commitFor); time.Now().Before(stop); {
			if _, err := e.propose(context.Background(), c); err == nil {
				return
			}
			time.Sleep(commitPause)
		}
	}()
}

// claim commits the claim on a call that may run only once. It returns the
// recorded outcome of an earlier call with the same key, or a refusal.
func (e *Entry) claim(ctx context.Context, q *call) (*state.Outcome, *Refusal) {
	res, err := e.propose(ctx, state.Command{Claim: &state.Claim{
		Key: q.claimKey, Caller: q.caller.Name, CreatedMS: q.createdMS, Fingerprint: q.fingerprint,
		Holder: e.opts.Self, Nonce: q.nonce,
	}})
	if err != nil {
		// The claim may be committed all the same; nothing was sent for it.
		e.commit(state.Command{Outcome: e.outcome(q, state.Outcome{NotRun: true})})
		return nil, unavailable("no_quorum", "the claim on the call could not be recorded")
	}
	if err := res.Err(); err != nil {
		return nil, claimRefused(err)
	}
	return res.Outcome, nil
}

// claimRefused translates a rejected claim. A key that was used before may
// have run; only a claim for another request proves that this one did not.
func claimRefused(err error) *Refusal {
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

func (e *Entry) outcome(q *call, o state.Outcome) *state.Outcome {
	o.Key, o.Caller, o.Holder, o.Nonce = q.claimKey, q.caller.Name, e.opts.Self, q.nonce
	return &o
}

// settle records how a claimed call ended.
func (e *Entry) settle(q *call, w *answer, refusal *Refusal) {
	o, ok := w.outcome()
	switch {
	case ok:
	case refusal != nil && !q.ran:
		o = state.Outcome{NotRun: true}
	default:
		o = state.Outcome{Unknown: true}
	}
	e.commit(state.Command{Outcome: e.outcome(q, o)})
}
