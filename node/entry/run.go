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

// flight is one attempt on a server.
type flight struct {
	process
	key         routing.Key
	id          string
	fingerprint string
	attempt     routing.Attempt
	// sent is set once the request may have reached the server.
	sent  atomic.Bool
	trial *state.Trial
	// progress is when the last part of the answer arrived.
	progress atomic.Int64
	// received counts the events of the attempt that were read.
	received int
}

// ending is how an attempt ended.
type ending int

const (
	// endWhole: the caller got the whole answer.
	endWhole ending = iota
	// endNotRun: the server proves that it did not run the request.
	endNotRun
	// endGone: the process had ended before, and nothing was sent to it.
	endGone
	// endCut: the answer ended early and the server process still runs, or
	// nothing is known about it.
	endCut
	// endCrashed: the server process has ended and the suspects are committed.
	endCrashed
	// endUncommitted: as endCrashed, but the suspects are not committed.
	endUncommitted
	// endBroken: part of the answer was sent and it cannot be continued.
	endBroken
	// endCaller: the caller left or the deadline passed.
	endCaller
)

const (
	// choosePause is how often a request without a usable server looks again.
	choosePause = 20 * time.Millisecond
	// maxResumes bounds how often one attempt is resumed.
	maxResumes = 5
)

// run admits a request and makes attempts until it has a whole answer.
func (e *Entry) run(ctx context.Context, q *call, w *answer) *Refusal {
	if r := e.admit(ctx, q); r != nil {
		return r
	}
	start, took := e.opts.Now(), time.Duration(0)
	defer func() { e.release(q, took) }()
	exclude := ""
	for {
		f, refusal := e.choose(ctx, q, exclude)
		if refusal != nil {
			return q.seal(refusal)
		}
		end := e.attempt(ctx, q, w, f)
		e.conclude(q, w, f, end)
		if end == endWhole {
			if f.trial == nil {
				took = e.opts.Now() - start
			}
			return nil
		}
		if refusal := e.retryable(ctx, q, w, end); refusal != nil {
			return q.seal(refusal)
		}
		exclude = f.server
	}
}

// seal reports the execution of a refused request as unknown unless no attempt
// of it can have been run.
func (q *call) seal(r *Refusal) *Refusal {
	if q.ran {
		r.Execution = Unknown
	}
	return r
}

// retryable returns nil if another attempt may follow one that ended with end.
func (e *Entry) retryable(ctx context.Context, q *call, w *answer, end ending) *Refusal {
	notRun := end == endNotRun || end == endGone
	if !notRun && !e.opts.off.honest {
		q.ran = true
	}
	switch {
	case end == endCaller || ctx.Err() != nil:
		return ended(ctx, "the answer was not complete before the deadline")
	case end == endUncommitted:
		return unavailable("no_quorum", "the server process ended and the crash could not be recorded")
	case end == endBroken || w.started && !w.rerunnable():
		return unavailable("answer_cut", "the answer was cut and cannot be continued")
	case !q.idempotent && !notRun && !e.opts.off.claims:
		return unavailable("outcome_unknown", "the server failed and the call may not be repeated")
	case end != endGone && !e.retry(q):
		return unavailable("retries_exhausted", "the retry budget of the model is used up")
	}
	return nil
}

// choose blocks until a server may receive an attempt. Meanwhile the request
// counts as waiting in the demand: its model may have to be loaded again.
func (e *Entry) choose(ctx context.Context, q *call, exclude string) (*flight, *Refusal) {
	if f := e.pick(q, exclude); f != nil {
		return f, nil
	}
	e.setUnserved(ctx, q, true)
	defer e.setUnserved(ctx, q, false)
	for {
		if _, suspect := e.view.Load().suspects[q.fingerprint]; suspect && !e.opts.off.suspects {
			return e.beginTrial(ctx, q)
		}
		changed := e.opts.Replica.Changed()
		if f := e.pick(q, exclude); f != nil {
			return f, nil
		}
		if r := e.pause(ctx, changed); r != nil {
			return nil, r
		}
	}
}

// setUnserved records whether a granted request is without a server.
func (e *Entry) setUnserved(ctx context.Context, q *call, unserved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	qu := e.queue(q.key)
	if !unserved {
		delete(qu.unserved, q)
		return
	}
	deadline := e.opts.Now() + q.timeout
	if at, ok := ctx.Deadline(); ok {
		deadline = e.opts.Now() + time.Until(at)
	}
	qu.unserved[q] = deadline
}

func (e *Entry) pause(ctx context.Context, changed <-chan struct{}) *Refusal {
	timer := time.NewTimer(choosePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ended(ctx, "no backend server was usable before the deadline")
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// pick chooses a server and registers the attempt.
func (e *Entry) pick(q *call, exclude string) *flight {
	if _, suspect := e.view.Load().suspects[q.fingerprint]; suspect && !e.opts.off.suspects {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	query := routing.Query{Key: q.key, Prefix: q.prefix, Exclude: exclude}
	a, ok := e.router.Pick(e.opts.Now(), query)
	if !ok && exclude != "" {
		query.Exclude = ""
		a, ok = e.router.Pick(e.opts.Now(), query)
	}
	if !ok {
		return nil
	}
	return e.register(q, a)
}

// register records an attempt as in flight. The caller holds the lock.
func (e *Entry) register(q *call, a routing.Attempt) *flight {
	q.attempts++
	f := &flight{
		process: process{a.Server, a.Incarnation}, key: q.key, attempt: a, fingerprint: q.fingerprint,
		id: q.id + "-" + strconv.Itoa(q.attempts),
	}
	set := e.flights[f.process]
	if set == nil {
		set = map[*flight]struct{}{}
		e.flights[f.process] = set
	}
	set[f] = struct{}{}
	return f
}

// conclude ends the bookkeeping of an attempt.
func (e *Entry) conclude(q *call, w *answer, f *flight, end ending) {
	result := routing.Failure
	switch {
	case end == endWhole && w.status < http.StatusInternalServerError:
		result = routing.Success
	case end == endWhole || end == endCaller || end == endNotRun && f.sent.Load():
		result = routing.Neutral
	}
	e.mu.Lock()
	delete(e.flights[f.process], f)
	if len(e.flights[f.process]) == 0 {
		delete(e.flights, f.process)
	}
	e.router.Done(e.opts.Now(), f.attempt, result)
	if end == endGone || end == endCrashed || end == endUncommitted {
		e.router.MarkEnded(f.attempt)
	}
	if qu := e.queues[e.queueKey(q.key)]; end == endWhole {
		e.router.RecordCachedPrefix(f.attempt, q.prefix)
		qu.limiter.Admitted(qu.nominal)
	}
	e.mu.Unlock()
	if f.trial != nil {
		e.endTrial(f, end, result)
	}
	if end == endCaller && f.sent.Load() && !e.opts.off.cancel {
		e.abandon(q, f)
	}
}

// attempt sends a request to one server and passes on the answer. A cut answer
// of an engine is resumed on the same server.
func (e *Entry) attempt(ctx context.Context, q *call, w *answer, f *flight) ending {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	exchangeCtx, stall := context.WithCancelCause(attemptCtx)
	defer stall(nil)
	if !e.opts.off.stalls {
		defer e.watch(attemptCtx, q, f, stall)()
	}
	end := e.exchange(exchangeCtx, q, w, f, false)
	life, probed := backend.LifeUnknown, false
	for range maxResumes {
		if end != endCut || q.key.Model == "" || e.opts.off.resume || exchangeCtx.Err() != nil {
			break
		}
		if life, probed = e.probe(attemptCtx, f), true; life != backend.LifeRuns {
			break
		}
		end, probed = e.exchange(exchangeCtx, q, w, f, true), false
	}
	if ctx.Err() != nil && end != endWhole {
		return endCaller
	}
	if end != endCut {
		return end
	}
	if exchangeCtx.Err() != nil {
		life = e.vital(attemptCtx, f)
	} else if !probed {
		life = e.probe(attemptCtx, f)
	}
	switch {
	case life == backend.LifeEnded:
		return e.awaitCrash(ctx, f)
	case life == backend.LifeUnknown && attemptCtx.Err() == nil:
		e.stalled(f.process, f.attempt.Address)
	}
	return end
}

// awaitCrash records a crash, but keeps the caller no longer than its deadline.
func (e *Entry) awaitCrash(ctx context.Context, f *flight) ending {
	recorded := make(chan ending, 1)
	e.hold()
	go func() {
		defer e.end()
		recorded <- e.crashed(f)
	}()
	select {
	case end := <-recorded:
		return end
	case <-ctx.Done():
		return endCaller
	}
}

// exchange makes one HTTP exchange of an attempt.
func (e *Entry) exchange(ctx context.Context, q *call, w *answer, f *flight, resume bool) ending {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := q.header.Clone()
	header.Set(backend.HeaderAttempt, f.id)
	header.Set(backend.HeaderIncarnation, strconv.FormatUint(f.incarnation, 10))
	header.Set(backend.HeaderPriority, strconv.Itoa(int(q.class)))
	if resume {
		header.Set(backend.HeaderResume, strconv.Itoa(f.received))
	}
	send := e.opts.Client.Do
	if !q.idempotent {
		send = e.opts.Client.DoOnce
	}
	resp, err := send(backend.OnSent(ctx, func() { f.sent.Store(true) }), f.attempt.Address, q.method, q.path, header, q.body)
	f.progress.Store(int64(e.opts.Now()))
	if err == nil {
		if !resume {
			e.answered(f, resp.StatusCode)
		}
		defer func() { _ = resp.Body.Close() }()
		end := e.relay(q, w, f, resp, resume)
		if end == endWhole {
			// The connection is reused only after the end of the answer was read.
			stop := time.AfterFunc(answerEndTimeout, cancel)
			defer stop.Stop()
			discard(resp.Body)
		}
		return end
	}
	var failure *backend.SendError
	if resume || !errors.As(err, &failure) {
		return endCut
	}
	switch failure.Delivery {
	case backend.ProcessEnded:
		e.suspectOthers(f)
		return endGone
	case backend.NotSent:
		return endNotRun
	}
	return endCut
}

// answered tells the router that the answer of an attempt has begun. A server
// that did not admit the request says nothing about its pace.
func (e *Entry) answered(f *flight, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case f.trial != nil || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
	case status >= http.StatusInternalServerError:
		e.router.RecordFailedAnswer(e.opts.Now(), f.attempt)
	default:
		e.router.RecordAnswer(e.opts.Now(), f.attempt)
	}
}

// answerEndTimeout bounds the wait for the end of a connection's answer after
// its terminal mark.
const answerEndTimeout = 100 * time.Millisecond

// Pauses between probes of a server whose connection was cut.
var probePauses = []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond}

// probe finds out whether the attempt's server process still runs.
func (e *Entry) probe(ctx context.Context, f *flight) backend.Life {
	for _, pause := range probePauses {
		select {
		case <-ctx.Done():
			return backend.LifeUnknown
		case <-time.After(pause):
		}
		probeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		life := e.opts.Client.Probe(probeCtx, f.attempt.Address, f.incarnation)
		cancel()
		if life != backend.LifeUnknown {
			return life
		}
	}
	return backend.LifeUnknown
}

// abandon tells the server that nobody waits for an attempt, and checks that
// the server survived it.
func (e *Entry) abandon(q *call, f *flight) {
	e.hold()
	go func() {
		defer e.end()
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		if q.key.Model != "" {
			_ = e.opts.Client.Cancel(ctx, f.attempt.Address, f.id)
		}
		if e.probe(ctx, f) == backend.LifeEnded {
			e.crashed(f)
		}
	}()
}
