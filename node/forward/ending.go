package forward

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// finish executes the last action of an exchange.
func (c *call) finish(action exchange.Action, attempt routing.Attempt, out attemptResult) {
	switch action {
	case exchange.Done:
		if out.answer != nil {
			c.deliverAnswer(out)
		}
		c.logAnswer(attempt)
	case exchange.Deliver:
		c.deliverAnswer(out)
		c.logEvent(decision.EventFailed, decision.Fields{decision.FieldServer: attempt.Server, decision.FieldStatus: out.answer.StatusCode})
	case exchange.RejectNotRun:
		c.refuse(http.StatusServiceUnavailable, unavailableRetryAfter, out.reason)
	case exchange.Abort:
		c.abort(out.reason)
	default:
		c.fail(out.reason)
	}
}

// logAnswer logs a complete answer, and whether it missed the route's objective or
// maximum pause.
func (c *call) logAnswer(attempt routing.Attempt) {
	now := c.forwarder.opts.Now()
	if c.firstOutputAt == 0 {
		c.firstOutputAt = now
	}
	event := decision.EventAnswered
	late := c.route.Objective > 0 && c.firstOutputAt-c.arrivedAt > c.route.Objective
	if late || c.route.MaxPause > 0 && c.longestPause > c.route.MaxPause {
		event = decision.EventLate
	}
	c.logEvent(event, decision.Fields{
		decision.FieldServer: attempt.Server, decision.FieldEvents: c.eventCount, decision.FieldWaitMS: c.waitTime.Milliseconds(),
		decision.FieldFirstMS: (c.firstOutputAt - c.arrivedAt).Milliseconds(), decision.FieldPauseMS: c.longestPause.Milliseconds(),
	})
}

// deliverAnswer passes on a complete, buffered answer.
func (c *call) deliverAnswer(out attemptResult) {
	size, parts := out.held.Size(), out.held.Parts()
	if err := out.held.BeginDelivery(c.stopWriting); err != nil {
		c.abort(err.Error())
	}
	c.copyHeaders(out.answer.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(size))
	c.w.WriteHeader(out.answer.StatusCode)
	for _, part := range parts {
		if _, err := c.w.Write(part); err != nil {
			c.logEvent(decision.EventCallerLeft, decision.Fields{decision.FieldReason: "caller left during the answer"})
			return
		}
	}
}

// stopWriting ends the delivery of an answer because its caller does not read it and others need
// the memory.
func (c *call) stopWriting(error) {
	// Without deadlines, the caller's own time-out ends the delivery.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Unix(1, 0))
}

func (c *call) copyHeaders(from http.Header) {
	h := c.w.Header()
	for name, values := range endToEndHeaders(from) {
		h[name] = values
	}
}

// refuse answers with a status that guarantees that the request has not run, or
// that it is not served at all. A positive retryAfter is sent as Retry-After. It
// always returns false, as the result of the function that refuses.
func (c *call) refuse(status int, retryAfter time.Duration, reason string) bool {
	if retryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	event := decision.EventRefused
	fields := decision.Fields{decision.FieldStatus: status, decision.FieldReason: reason, decision.FieldRetryAfterMS: retryAfter.Milliseconds()}
	switch status {
	case http.StatusUnauthorized:
		event = decision.EventUnauthorized
	case http.StatusTooManyRequests:
		event = decision.EventOverQuota
		fields[decision.FieldAmount], fields[decision.FieldQuota] = c.quota.Amount(c.request.Tokens), c.quota.PerSecond
	}
	c.refused = true
	c.skipBody()
	c.logEvent(event, fields)
	c.writeStatus(status)
	return false
}

// fail answers a request that may have run, with status 504 after the deadline and
// 502 before it.
func (c *call) fail(reason string) {
	status := http.StatusBadGateway
	if c.forwarder.opts.Now() >= c.deadline {
		status = http.StatusGatewayTimeout
	}
	c.logEvent(decision.EventFailed, decision.Fields{decision.FieldStatus: status, decision.FieldReason: reason})
	c.writeStatus(status)
}

// writeStatus answers with a status and no body.
func (c *call) writeStatus(status int) {
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// abort breaks the connection in the middle of an answer, so that the answer cannot
// look complete. It does not return.
func (c *call) abort(reason string) {
	c.logEvent(decision.EventAborted, decision.Fields{decision.FieldReason: reason, decision.FieldEvents: c.eventCount})
	panic(http.ErrAbortHandler)
}

// logEvent writes an event of the request to the decision log.
func (c *call) logEvent(event string, fields decision.Fields) {
	fields[decision.FieldRoute], fields[decision.FieldService] = c.route.Name, c.key.Service
	fields[decision.FieldModel], fields[decision.FieldAdapter] = c.key.Model, c.key.Adapter
	if c.account != "" {
		fields[decision.FieldAccount] = c.account
	}
	fields[decision.FieldTookMS] = (c.forwarder.opts.Now() - c.arrivedAt).Milliseconds()
	c.forwarder.opts.Decisions.RecordRequest(c.request.ID, event, fields)
}

// logPanic logs an unexpected panic of the handling of a request and passes it on, so
// that the server closes the connection. The process and its other requests continue.
func (c *call) logPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		c.logEvent(decision.EventAborted, decision.Fields{decision.FieldReason: fmt.Sprintf("unexpected error: %v at %s", cause, panicOrigin())})
	}
	panic(http.ErrAbortHandler)
}

// maxPanicOrigin is the maximum number of bytes of a stack trace in a log line.
const maxPanicOrigin = 2 << 10

// panicOrigin returns the beginning of the stack trace of the current goroutine.
func panicOrigin() string {
	stack := debug.Stack()
	return string(stack[:min(len(stack), maxPanicOrigin)])
}
