package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

// exchange makes one HTTP exchange of an attempt. If resume is set, it requests the rest
// of a stream of which receivedEvents events were read.
func (e *Entry) exchange(ctx context.Context, req *request, ans *answer, attempt *serverAttempt, resume bool) ending {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	held := e.opts.Memory.HoldAnswer(attempt.server, cancel)
	defer func() {
		if ans.whole != held {
			held.Release()
		}
	}()
	ctx, stopCounting := memory.WithHead(ctx, held)
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
	stopCounting()
	attempt.lastProgress.Store(int64(e.opts.Now()))
	if err == nil {
		e.recordNotice(attempt, sentAt, resp)
		if !resume {
			e.recordAnswerStart(attempt, resp.StatusCode)
		}
		defer func() { _ = resp.Body.Close() }()
		end := e.relay(req, ans, attempt, resp, held, resume)
		if end == endInterrupted && held.Err() != nil {
			end = endOversized
		}
		if end == endComplete {
			attempt.recordBegin()
			// The connection can be reused only if the answer is read to its end.
			stop := time.AfterFunc(answerEndTimeout, func() { cancel(nil) })
			defer stop.Stop()
			discardRest(resp.Body)
		}
		return end
	}
	if held.Err() != nil {
		return endOversized
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
	// The goroutine does not keep the request, whose body no longer counts as held.
	onEngine := req.key.Model != ""
	go func() {
		defer e.removeActive()
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		if onEngine {
			_ = e.opts.Client.Cancel(ctx, attempt.routed.Address, attempt.id)
		}
		if e.probe(ctx, attempt) == backend.ProbeEnded {
			e.recordCrash(attempt)
		}
	}()
}
