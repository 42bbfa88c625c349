package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

func (p process) noticeProcess() notice.Process {
	return notice.Process{Server: p.server, Incarnation: p.incarnation}
}

// recordSent counts an exchange that is sent now, and returns the time.
func (e *Entry) recordSent(attempt *serverAttempt) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.opts.Now()
	e.notices.RecordSent(now, attempt.noticeProcess())
	return now
}

// recordNotice records what the answer to an exchange that was sent at sentAt says of the
// server. An answer to another attempt or of another process says nothing of it.
func (e *Entry) recordNotice(attempt *serverAttempt, sentAt time.Duration, resp *http.Response) {
	id, incarnation := resp.Header.Get(backend.HeaderAttemptID), resp.Header.Get(backend.HeaderIncarnation)
	if id != "" && id != attempt.id || incarnation != "" && incarnation != strconv.FormatUint(attempt.incarnation, 10) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := e.notices.Record(e.opts.Now(), sentAt, attempt.noticeProcess(), backend.NoticeOf(resp))
	e.reportNotices(changes, attempt.id)
	e.permits.NotifyLocked()
}

// permitsApplied handles a reply of the leader. The caller holds e.mu. Requests that wait for a
// permit look for it every serverPollInterval.
func (e *Entry) permitsApplied(changes []notice.Change, _ bool) { e.reportNotices(changes, "leader") }

func (e *Entry) reportNotices(changes []notice.Change, source string) {
	if e.opts.OnNotice == nil {
		return
	}
	for _, c := range changes {
		e.opts.OnNotice(c, source)
	}
}

// takePermit waits until another exchange may be sent to the server of an attempt: until
// its pause ends, and a permit arrives if it has a limit. A stream is also resumed on a
// server that leaves, which keeps what runs to its end. It returns false if ctx ends first, or if the
// pause leaves too little of the time of the request.
func (e *Entry) takePermit(ctx context.Context, req *request, attempt *serverAttempt) bool {
	for {
		if e.tryTakePermit(req, attempt) {
			return true
		}
		if e.pausedTooLong(ctx, attempt) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(serverPollInterval):
		}
	}
}

// pauseShare is the part of the time left of a request that it spends at most waiting for the end
// of a pause. The rest is for its answer; a server that renews the pause turns it away early
// enough to come back elsewhere.
const pauseShare = 0.5

// outlasts reports whether a pause takes too much of the time that is left until the deadline of
// ctx.
func outlasts(ctx context.Context, pause time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && float64(pause) > pauseShare*float64(time.Until(deadline))
}

// pausedTooLong reports whether the server of an attempt wants no requests for too much of the
// time that is left.
func (e *Entry) pausedTooLong(ctx context.Context, attempt *serverAttempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return outlasts(ctx, e.notices.UntilWanted(e.opts.Now(), attempt.noticeProcess()))
}

func (e *Entry) tryTakePermit(req *request, attempt *serverAttempt) bool {
	if e.opts.disabled.notices {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now, p, limits := e.opts.Now(), attempt.noticeProcess(), e.notices.Limits
	waiter := ratelimit.Waiter{Request: req.nonce, Priority: int(req.class)}
	if e.notices.Paused(now, p) {
		return false
	}
	if !limits.MaySend(now, p, waiter) {
		limits.Want(now, p, waiter, true)
		e.permits.NotifyLocked()
		return false
	}
	e.notices.Take(now, p, req.nonce)
	return true
}

// Notices returns what servers say of themselves, as this host knows it.
func (e *Entry) Notices() []notice.Statement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notices.Statements(e.opts.Now())
}

// RestrictedRefusals returns the number of requests that were refused because of what
// servers say of themselves.
func (e *Entry) RestrictedRefusals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notices.Refusals()
}

// releaseWant records that a request no longer waits for a permit.
func (e *Entry) releaseWant(req *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notices.Limits.Release(req.nonce)
}

// noticeRefusal returns the refusal of a request whose servers take none in time, because of
// their limits or pauses, and nil if they may. It is asked again whenever the request looks for a
// server.
func (e *Entry) noticeRefusal(ctx context.Context, req *request) *Refusal {
	e.mu.Lock()
	restriction, restricted := e.router.Restriction(e.opts.Now(), routing.Query{Key: req.key, Request: req.nonce, Priority: int(req.class)})
	e.mu.Unlock()
	deadline, ok := ctx.Deadline()
	if !restricted || !ok {
		return nil
	}
	late := restriction.Delay >= time.Until(deadline) || restriction.Paused && outlasts(ctx, restriction.Delay)
	if !late {
		return nil
	}
	r := unavailable("servers_restrict", fmt.Sprintf("the servers of %s take no more requests now: %s", req.name(), restriction))
	r.RetryAfterMS = restriction.Delay.Milliseconds()
	e.mu.Lock()
	e.notices.RecordRefusal(e.opts.Now(), restriction.Process)
	e.mu.Unlock()
	return r
}

// name returns the model or service that a request names.
func (req *request) name() string {
	if req.key.Model != "" {
		return req.key.Model
	}
	return req.key.Service
}
