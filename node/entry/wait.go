package entry

import (
	"context"
	"time"

	"github.com/pollenwheel/pollenwheel/core/routing"
)

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
