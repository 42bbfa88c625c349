package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

// process is one incarnation of a backend server.
type process struct {
	server      string
	incarnation uint64
}

// serverAttempt is one attempt to serve a request on a backend server.
type serverAttempt struct {
	process
	key         routing.Key
	id          string
	fingerprint string
	routed      routing.Attempt
	// maybeSent is set once the request may have reached the server.
	maybeSent atomic.Bool
	trial     *state.Trial
	// promptParts are the parts of the prompt that other requests may share. begun is
	// set once the server has begun to write the answer, and onBegin is called then.
	promptParts []string
	begun       atomic.Bool
	onBegin     func()
	// lastProgress is the time in nanoseconds at which the last part of the
	// answer arrived.
	lastProgress atomic.Int64
	// receivedEvents counts the stream events that were read from the server.
	receivedEvents int
}

// recordBegin records that the server has begun to write the answer.
func (a *serverAttempt) recordBegin() {
	if !a.begun.Swap(true) {
		a.onBegin()
	}
}

// ending is how an attempt ended.
type ending int

const (
	// endComplete: the caller got the complete answer.
	endComplete ending = iota
	// endNotRun: the request certainly did not run, because it was not sent or the
	// server answered that it did not run it.
	endNotRun
	// endProcessEnded: the server process had already ended or been replaced, and
	// did not run the request.
	endProcessEnded
	// endInterrupted: the answer ended early. The server process still runs, or its
	// state is unknown.
	endInterrupted
	// endCrashed: the server process has ended and the suspects are committed.
	endCrashed
	// endCrashUncommitted: the server process has ended, but the suspects are not
	// committed.
	endCrashUncommitted
	// endPartial: part of the answer was sent to the caller, and it cannot be
	// continued.
	endPartial
	// endOversized: the server sent more than one event may have or than the host can hold,
	// and the connection was closed. The attempt is not resumed.
	endOversized
	// endContextDone: the caller cancelled the request, its connection broke, or
	// the deadline passed.
	endContextDone
)

const (
	// serverPollInterval is the interval at which a request without an available server
	// tries again.
	serverPollInterval = 20 * time.Millisecond
	// maxResumes is the maximum number of times that one attempt is resumed.
	maxResumes = 5
)

// run admits a request and makes attempts until the caller has a complete answer or no
// further attempt is allowed.
func (e *Entry) run(ctx context.Context, req *request, ans *answer) *Refusal {
	if r := e.admit(ctx, req); r != nil {
		return r
	}
	start, serviceTime := e.opts.Now(), time.Duration(0)
	defer func() { e.release(req, serviceTime) }()
	exclude := ""
	for {
		attempt, refusal := e.awaitServer(ctx, req, exclude)
		if refusal != nil {
			return req.markUnknownIfRun(refusal)
		}
		end := e.runAttempt(ctx, req, ans, attempt)
		e.finishAttempt(req, ans, attempt, end)
		if end == endComplete {
			if attempt.trial == nil {
				serviceTime = e.opts.Now() - start
			}
			return nil
		}
		if refusal := e.retryRefusal(ctx, req, ans, end); refusal != nil {
			return req.markUnknownIfRun(refusal)
		}
		exclude = attempt.server
	}
}

// markUnknownIfRun sets the execution of a refusal to unknown if a backend server may have
// run the request.
func (req *request) markUnknownIfRun(r *Refusal) *Refusal {
	if req.mayHaveRun {
		r.Execution = ExecutionUnknown
	}
	return r
}

// retryRefusal returns nil if another attempt may follow one that ended with end,
// otherwise the refusal for the caller.
func (e *Entry) retryRefusal(ctx context.Context, req *request, ans *answer, end ending) *Refusal {
	notRun := end == endNotRun || end == endProcessEnded
	if !notRun && !e.opts.disabled.executionTracking {
		req.mayHaveRun = true
	}
	switch {
	case end == endContextDone || ctx.Err() != nil:
		return contextRefusal(ctx, "the answer was not complete before the deadline")
	case end == endCrashUncommitted:
		return unavailable("no_quorum", "the server process ended and the crash could not be recorded")
	case end == endPartial || ans.started && !ans.continuable():
		return unavailable("answer_cut", "the answer was cut and cannot be continued")
	case !req.idempotent && !notRun && !e.opts.disabled.claims:
		return unavailable("outcome_unknown", "the server failed and the call may not be repeated")
	case end != endProcessEnded && !e.takeRetry(req):
		return unavailable("retries_exhausted", "the retry budget of the model is used up")
	}
	return nil
}

// registerAttempt records an attempt as in flight. The caller holds e.mu.
func (e *Entry) registerAttempt(req *request, a routing.Attempt) *serverAttempt {
	req.attempts++
	attempt := &serverAttempt{
		process: process{a.Server, a.Incarnation}, key: req.key, routed: a, fingerprint: req.fingerprint,
		id: req.id + "-" + strconv.Itoa(req.attempts), promptParts: req.promptParts,
	}
	attempt.onBegin = func() { e.recordBegun(req.promptParts) }
	set := e.inFlight[attempt.process]
	if set == nil {
		set = map[*serverAttempt]struct{}{}
		e.inFlight[attempt.process] = set
	}
	set[attempt] = struct{}{}
	return attempt
}

// finishAttempt removes an attempt from those in flight, records its result for routing,
// and ends its trial. If the request was cancelled, or its answer is not read to the end, it
// also cancels it on the server.
func (e *Entry) finishAttempt(req *request, ans *answer, attempt *serverAttempt, end ending) {
	result := routing.Failure
	switch {
	case end == endComplete && ans.status < http.StatusInternalServerError:
		result = routing.Success
	case end == endComplete || end == endContextDone || end == endNotRun && attempt.maybeSent.Load():
		result = routing.Neutral
	}
	e.mu.Lock()
	delete(e.inFlight[attempt.process], attempt)
	if len(e.inFlight[attempt.process]) == 0 {
		delete(e.inFlight, attempt.process)
	}
	e.router.EndAttempt(e.opts.Now(), attempt.routed, result)
	if end == endProcessEnded || end == endCrashed || end == endCrashUncommitted {
		e.router.MarkEnded(attempt.routed)
	}
	if queue := e.queues[e.queueKey(req.key)]; end == endComplete {
		e.router.RecordCachedPrefix(attempt.routed, req.prefix)
		queue.limiter.RecordAdmitted(queue.serverSlots)
	}
	e.mu.Unlock()
	if attempt.trial != nil {
		e.recordTrialResult(attempt, end, result)
	}
	if (end == endContextDone || end == endOversized) && attempt.maybeSent.Load() && !e.opts.disabled.cancelOnServer {
		e.cancelAttempt(req, attempt)
	}
}

// runAttempt sends a request to one server and forwards the answer. An interrupted answer
// of an engine is resumed on the same server.
func (e *Entry) runAttempt(ctx context.Context, req *request, ans *answer, attempt *serverAttempt) ending {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	exchangeCtx, cancelExchange := context.WithCancelCause(attemptCtx)
	defer cancelExchange(nil)
	if !e.opts.disabled.stallProbes {
		defer e.watchProgress(attemptCtx, req, attempt, cancelExchange)()
	}
	end := e.exchange(exchangeCtx, req, ans, attempt, false)
	probeResult, probed := backend.ProbeUnknown, false
	for range maxResumes {
		if end != endInterrupted || req.key.Model == "" || e.opts.disabled.streamResume || exchangeCtx.Err() != nil {
			break
		}
		if probeResult, probed = e.probe(attemptCtx, attempt), true; probeResult != backend.ProbeRunning {
			break
		}
		if !e.takePermit(exchangeCtx, req, attempt) {
			break
		}
		end, probed = e.exchange(exchangeCtx, req, ans, attempt, true), false
	}
	if ctx.Err() != nil && end != endComplete {
		return endContextDone
	}
	if end != endInterrupted {
		return end
	}
	if exchangeCtx.Err() != nil {
		probeResult = e.sharedProbe(attemptCtx, attempt)
	} else if !probed {
		probeResult = e.probe(attemptCtx, attempt)
	}
	switch {
	case probeResult == backend.ProbeEnded:
		return e.awaitCrash(ctx, attempt)
	case probeResult == backend.ProbeUnknown && attemptCtx.Err() == nil:
		e.markStalled(attempt.process, attempt.routed.Address)
	}
	return end
}

// awaitCrash records a crash. It waits for the commit no longer than the caller's
// deadline; the commit goes on in the background.
func (e *Entry) awaitCrash(ctx context.Context, attempt *serverAttempt) ending {
	recorded := make(chan ending, 1)
	e.addActive()
	go func() {
		defer e.removeActive()
		recorded <- e.recordCrash(attempt)
	}()
	select {
	case end := <-recorded:
		return end
	case <-ctx.Done():
		return endContextDone
	}
}
