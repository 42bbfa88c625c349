package entry

import (
	"context"
	"errors"
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

// awaitServer blocks until a server is available for an attempt. Meanwhile the request
// counts as waiting in the demand, because its model may have to be loaded again.
func (e *Entry) awaitServer(ctx context.Context, req *request, exclude string) (*serverAttempt, *Refusal) {
	if attempt := e.pickServer(req, exclude); attempt != nil {
		return attempt, nil
	}
	e.setUnserved(ctx, req, true)
	defer e.setUnserved(ctx, req, false)
	defer e.releaseWant(req)
	for {
		if e.suspicionOf(req).suspect && !e.opts.disabled.suspects {
			return e.beginTrial(ctx, req)
		}
		changed := e.opts.Replica.Changed()
		if attempt := e.pickServer(req, exclude); attempt != nil {
			return attempt, nil
		}
		if r := e.noticeRefusal(ctx, req); r != nil {
			return nil, r
		}
		if r := e.waitForChange(ctx, changed); r != nil {
			return nil, r
		}
	}
}

// setUnserved records whether an admitted request has no server.
func (e *Entry) setUnserved(ctx context.Context, req *request, unserved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	queue := e.queueFor(req.key)
	if !unserved {
		delete(queue.unserved, req)
		return
	}
	deadline := e.opts.Now() + req.timeout
	if at, ok := ctx.Deadline(); ok {
		deadline = e.opts.Now() + time.Until(at)
	}
	queue.unserved[req] = deadline
}

// waitForChange waits until the replica changes or serverPollInterval ends. It returns a
// refusal if ctx ends first.
func (e *Entry) waitForChange(ctx context.Context, changed <-chan struct{}) *Refusal {
	timer := time.NewTimer(serverPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return contextRefusal(ctx, "no backend server was usable before the deadline")
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// pickServer chooses an available server and registers the attempt. It returns nil if
// there is none or if the request is a suspect, which needs a trial. The excluded server
// is used only if there is no other.
func (e *Entry) pickServer(req *request, exclude string) *serverAttempt {
	if e.suspicionOf(req).suspect && !e.opts.disabled.suspects {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.permits.NotifyLocked()
	query := routing.Query{Key: req.key, Prefix: req.prefix, Exclude: exclude, Request: req.nonce, Priority: int(req.class)}
	a, ok := e.router.Pick(e.opts.Now(), query)
	if !ok && exclude != "" {
		query.Exclude = ""
		a, ok = e.router.Pick(e.opts.Now(), query)
	}
	if !ok {
		return nil
	}
	return e.registerAttempt(req, a)
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
// and ends its trial. If the request was cancelled, it also cancels it on the server.
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
	if end == endContextDone && attempt.maybeSent.Load() && !e.opts.disabled.cancelOnServer {
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

// exchange makes one HTTP exchange of an attempt. If resume is set, it requests the rest
// of a stream of which receivedEvents events were read.
func (e *Entry) exchange(ctx context.Context, req *request, ans *answer, attempt *serverAttempt, resume bool) ending {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := req.header.Clone()
	header.Set(backend.HeaderAttemptID, attempt.id)
	header.Set(backend.HeaderIncarnation, strconv.FormatUint(attempt.incarnation, 10))
	header.Set(backend.HeaderPriority, strconv.Itoa(int(req.class)))
	if resume {
		header.Set(backend.HeaderResumeOffset, strconv.Itoa(attempt.receivedEvents))
	}
	send := e.opts.Client.Do
	if !req.idempotent {
		send = e.opts.Client.DoOnce
	}
	sentAt := e.recordSent(attempt)
	resp, err := send(backend.WithSentCallback(ctx, func() { attempt.maybeSent.Store(true) }), attempt.routed.Address, req.method, req.path, header, req.body)
	attempt.lastProgress.Store(int64(e.opts.Now()))
	if err == nil {
		e.recordNotice(attempt, sentAt, resp)
		if !resume {
			e.recordAnswerStart(attempt, resp.StatusCode)
		}
		defer func() { _ = resp.Body.Close() }()
		end := e.relay(req, ans, attempt, resp, resume)
		if end == endComplete {
			attempt.recordBegin()
			// The connection can be reused only if the answer is read to its end.
			stop := time.AfterFunc(answerEndTimeout, cancel)
			defer stop.Stop()
			discardRest(resp.Body)
		}
		return end
	}
	var failure *backend.SendError
	if resume || !errors.As(err, &failure) {
		return endInterrupted
	}
	switch failure.Delivery {
	case backend.ConnectionRefused:
		e.suspectOthers(attempt)
		return endProcessEnded
	case backend.NotSent:
		return endNotRun
	}
	return endInterrupted
}

// recordAnswerStart notifies the router that the answer of an attempt has begun. It
// ignores servers that did not admit the request, because such an answer gives no
// information about their speed.
func (e *Entry) recordAnswerStart(attempt *serverAttempt, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case attempt.trial != nil || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
	case status >= http.StatusInternalServerError:
		e.router.RecordFailedAnswer(e.opts.Now(), attempt.routed)
	default:
		e.router.RecordAnswer(e.opts.Now(), attempt.routed)
	}
}

// answerEndTimeout limits the wait for the end of the response body after a complete
// answer.
const answerEndTimeout = 100 * time.Millisecond

// probePauses are the pauses before the successive probes of a server whose connection
// broke.
var probePauses = []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond}

// probe checks whether the attempt's server process still runs, with one probe for each
// of probePauses until one gives an answer.
func (e *Entry) probe(ctx context.Context, attempt *serverAttempt) backend.ProbeResult {
	for _, pause := range probePauses {
		select {
		case <-ctx.Done():
			return backend.ProbeUnknown
		case <-time.After(pause):
		}
		probeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		probeResult := e.opts.Client.Probe(probeCtx, attempt.routed.Address, attempt.incarnation)
		cancel()
		if probeResult != backend.ProbeUnknown {
			return probeResult
		}
	}
	return backend.ProbeUnknown
}

// cancelAttempt cancels an attempt on its server in the background, because the caller no
// longer waits for it. It then probes the server and records a crash if it has ended.
func (e *Entry) cancelAttempt(req *request, attempt *serverAttempt) {
	e.addActive()
	go func() {
		defer e.removeActive()
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		if req.key.Model != "" {
			_ = e.opts.Client.Cancel(ctx, attempt.routed.Address, attempt.id)
		}
		if e.probe(ctx, attempt) == backend.ProbeEnded {
			e.recordCrash(attempt)
		}
	}()
}
