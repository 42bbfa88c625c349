package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/core/waitpolicy"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// maxInFlightBodyBytes is the total size of the bodies of the requests in flight
	// above which no further request is admitted.
	maxInFlightBodyBytes = 64 << 20
	// defaultMaxBodyBytes is the maximum size of a request body if the route table
	// sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// unavailableRetryAfter is the Retry-After value if this host cannot serve a
	// request and no forecast gives a better value.
	unavailableRetryAfter = 300 * time.Millisecond
)

// call is the handling of one request of a caller.
type call struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	inbound   *http.Request
	ctx       context.Context
	request   Request
	route     route.Route
	key       routing.Key
	// fingerprint is a hash of the request's content. A repeated request has the
	// same fingerprint.
	fingerprint string
	body        []byte
	// countedBytes is the number of bytes of the body that count toward
	// maxInFlightBodyBytes until the request ends.
	countedBytes int64

	arrivedAt, deadline time.Duration
	exchange            *exchange.Exchange
	// avoidServer is the server of the last attempt. Another server is preferred;
	// mustAvoid excludes avoidServer even if there is no other.
	avoidServer string
	mustAvoid   bool
	// headersSent is set once the headers of a stream have been passed on.
	// lastEventID is the ID of the last event that the caller has.
	headersSent bool
	lastEventID string
	eventCount  int
	// firstOutputAt is when the first event, or else the complete answer, was
	// passed on, and lastEventAt when the last event was. longestPause is the
	// longest time between two events, and waitTime the time spent waiting for a
	// server.
	firstOutputAt, lastEventAt, longestPause, waitTime time.Duration
	// attemptBegun is set once the server of the current attempt has begun to write the
	// answer.
	attemptBegun bool
	// trial is the open trial as which the current attempt runs, if any.
	trial *state.Trial
	// serial identifies the request within this process. restriction is what the request
	// waits for while restricted is set: the end of a server's pause, or a permit for a
	// server with a limit.
	serial      uint64
	restriction routing.Restriction
	restricted  bool
	// crashUnrecorded is set if the request may have crashed a server and that could
	// not be recorded. It is not sent again.
	crashUnrecorded bool
}

// ServeHTTP handles one request. It admits the request, waits for a backend server
// that can run it and forwards it. It then answers, repeats or ends the request
// as core/exchange decides.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.requestsStarted.Add(1)
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{forwarder: f, w: w, inbound: r, arrivedAt: f.opts.Now(), serial: f.requestSerial.Add(1)}
	defer func() { f.bodyBytes.Add(-c.countedBytes) }()
	defer c.logPanic()
	if !c.admit() {
		return
	}
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(r.Context(), c.deadline-c.arrivedAt)
	defer cancel()
	c.run()
}

// admit reads the request and selects its route and service. It returns false if it
// has refused the request.
func (c *call) admit() bool {
	f := c.forwarder
	var err error
	c.request, err = f.opts.Protocol.ParseRequest(c.inbound.Header)
	c.request.PromptParts = judgedParts(c.request.PromptParts)
	v := f.view.Load()
	if v.index == nil || !f.opts.Ready() || f.admissionStopped.Load() {
		return c.refuse(http.StatusServiceUnavailable, unavailableRetryAfter, "host is not ready or no longer accepts requests")
	}
	var ok bool
	if c.route, ok = v.index.Match(c.inbound.Host, c.inbound.URL.Path); !ok {
		return c.refuse(http.StatusNotFound, 0, "no route for this host and path")
	}
	if err != nil {
		return c.refuse(http.StatusBadRequest, 0, err.Error())
	}
	c.deadline = c.arrivedAt + c.route.Timeout
	if d := c.request.Timeout; d > 0 {
		c.deadline = min(c.deadline, c.arrivedAt+d)
	}
	if !c.readBody(v.index.Table().Limits) {
		return false
	}
	c.fingerprint = c.computeFingerprint()
	if s := v.suspects.of(c.fingerprint, c.request.PromptParts); s.refused {
		return c.refuse(http.StatusServiceUnavailable, s.retryAfter, s.reason)
	}
	c.lastEventID = c.request.ResumeAfter
	c.key = routing.Key{Service: c.route.ChooseService(f.randomFraction()), Model: c.request.Model, Adapter: c.request.Adapter}
	svc, _ := v.index.Table().Service(c.key.Service)
	if svc.Engine == nil {
		c.key.Model, c.key.Adapter = "", ""
	} else if _, ok := svc.Engine.Model(c.key.Model); !ok {
		return c.refuse(http.StatusNotFound, 0, "service has no such model")
	}
	c.exchange = exchange.New(exchange.Policy{
		Idempotent: c.route.Idempotent(), RetryFailures: c.route.Kind == route.Safe,
		MaxAttempts: c.route.Attempts(), Deadline: c.deadline,
	}, func() bool { return f.allowRetry(c.key.Service) })
	return true
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

// computeFingerprint returns a hash of the method, host, URI, model, adapter and
// body of the request.
func (c *call) computeFingerprint() string {
	h := sha256.New()
	for _, part := range []string{c.inbound.Method, c.inbound.Host, c.inbound.RequestURI, c.request.Model, c.request.Adapter} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// run makes attempts until the request has ended.
func (c *call) run() {
	c.forwarder.recordArrival(c)
	for {
		attempt, ok := c.acquireServer()
		if !ok {
			return
		}
		out := c.tryServer(attempt)
		now := c.forwarder.opts.Now()
		if c.inbound.Context().Err() != nil && out.outcome != exchange.Complete {
			c.logEvent(decision.EventCallerLeft, decision.Fields{decision.FieldServer: attempt.Server, decision.FieldReason: out.reason})
			panic(http.ErrAbortHandler)
		}
		action := c.exchange.ActionAfter(now, out.outcome)
		if action == exchange.Send && c.crashUnrecorded {
			action = c.exchange.ActionAtDeadline()
		}
		if out.outcome != exchange.Complete {
			c.logEvent(decision.EventAttempt, decision.Fields{
				decision.FieldServer: attempt.Server, decision.FieldOutcome: out.outcome.String(), decision.FieldReason: out.reason,
				decision.FieldAction: action.String(), decision.FieldEvents: c.eventCount,
				decision.FieldRemainingMS: (c.deadline - now).Milliseconds(),
			})
		}
		if action != exchange.Send {
			c.finish(action, attempt, out)
			return
		}
		// A server that named a pause may be used again after it.
		c.avoidServer, c.mustAvoid = attempt.Server, out.outcome == exchange.Refused && c.forwarder.wanted(attempt)
	}
}

// tryServer makes one attempt on a server and records it in the demand and the
// router. If the connection failed, it reports or checks for a crashed process.
func (c *call) tryServer(attempt routing.Attempt) attemptResult {
	f := c.forwarder
	target := residency.Target{Model: c.key.Model, Adapter: c.key.Adapter}
	f.recordAttemptStart(target, attempt.Server)
	c.attemptBegun = false
	out := c.send(c.ctx, attempt)
	f.recordAttemptEnd(target, attempt, out, c.ctx.Err() != nil)
	switch {
	case out.outcome == exchange.Complete || out.outcome == exchange.Failed:
		c.recordBegun()
	case out.connectionRefused:
		go f.reportProcessEnd(attempt, nil)
	case out.connectionBroken && out.outcome != exchange.NotSent:
		c.checkInterruption(attempt)
	}
	if t := c.trial; t != nil {
		c.trial = nil
		// The late record of a crash under trial must find the trial open.
		if !c.crashUnrecorded {
			go f.releaseTrial(*t)
		}
	}
	return out
}

// recordBegun records, once for each attempt, that the server has begun to write the
// answer.
func (c *call) recordBegun() {
	if !c.attemptBegun {
		c.attemptBegun = true
		c.forwarder.recordBegun(c)
	}
}

// acquireServer selects a server and waits for one if necessary. If no server is
// expected in time, it ends the request and returns false.
func (c *call) acquireServer() (routing.Attempt, bool) {
	f := c.forwarder
	target := residency.Target{Model: c.key.Model, Adapter: c.key.Adapter}
	waiting := false
	trialWait := time.Duration(0)
	defer func() {
		if waiting {
			f.endWait(target, c)
		}
		f.releaseWant(c)
	}()
	for {
		if f.hasStoppedWaiting() {
			c.endWithoutServer(unavailableRetryAfter, "host is leaving and waits for no further server")
			return routing.Attempt{}, false
		}
		suspected := f.suspicionOf(c)
		if suspected.refused {
			c.endWithoutServer(suspected.retryAfter, suspected.reason)
			return routing.Attempt{}, false
		}
		attempt, rebuilt, forecast, ok := f.pickServer(c, len(suspected.parts) > 0)
		if ok && len(suspected.parts) > 0 {
			if sent, ended := c.tryTrial(attempt, suspected.parts, &trialWait); sent || ended {
				return attempt, sent
			}
			continue
		}
		if ok {
			return attempt, true
		}
		if rebuilt == nil {
			c.endWithoutServer(unavailableRetryAfter, "no other backend server holds the target")
			return attempt, false
		}
		now := f.opts.Now()
		decided := waitpolicy.Decide(now, c.waitRequest(), forecast)
		if !decided.Wait {
			f.recordRefusal(target, decided.RetryAfter)
			c.endUnserved(decided.RetryAfter)
			return attempt, false
		}
		if !waiting {
			waiting = true
			f.beginWait(target, c)
		}
		waitStart := now
		if c.restricted {
			decided.Until = min(decided.Until, now+noticePollInterval)
		}
		timer := time.NewTimer(decided.Until - now)
		select {
		case <-rebuilt:
		case <-timer.C:
		case <-c.ctx.Done():
		case <-f.waitingStopped:
		}
		timer.Stop()
		c.waitTime += f.opts.Now() - waitStart
		if c.inbound.Context().Err() != nil {
			c.logEvent(decision.EventCallerLeft, decision.Fields{decision.FieldReason: "caller left while waiting for a server"})
			panic(http.ErrAbortHandler)
		}
	}
}

func (f *Forwarder) hasStoppedWaiting() bool {
	select {
	case <-f.waitingStopped:
		return true
	default:
		return false
	}
}

// noticePollInterval is how often a request looks again whether its servers want requests.
// It is shorter than the time after which its want of a permit is forgotten.
const noticePollInterval = 150 * time.Millisecond

// endUnserved ends a request that no server is expected to take in time.
func (c *call) endUnserved(retryAfter time.Duration) {
	if c.restricted {
		c.refuseRestricted(retryAfter)
		return
	}
	c.endWithoutServer(retryAfter, "no backend server holds the target in time")
}

// waitRequest returns the request's time limits for core/waitpolicy. For a stream
// whose headers were sent, the wait limit counts from the last event.
func (c *call) waitRequest() waitpolicy.Request {
	out := waitpolicy.Request{Arrived: c.arrivedAt, Deadline: c.deadline, WaitLimit: c.route.WaitLimit}
	if c.headersSent {
		out.Arrived = c.lastEventAt
	}
	return out
}

// endWithoutServer ends a request for which no server was found. retryAfter is
// the Retry-After value if the request is refused.
func (c *call) endWithoutServer(retryAfter time.Duration, reason string) {
	switch c.exchange.ActionAtDeadline() {
	case exchange.RejectNotRun:
		c.refuse(http.StatusServiceUnavailable, retryAfter, reason)
	case exchange.Abort:
		c.abort(reason)
	default:
		c.fail(reason)
	}
}

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
	c.copyHeaders(out.answer.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(out.body)))
	c.w.WriteHeader(out.answer.StatusCode)
	if _, err := c.w.Write(out.body); err != nil {
		c.logEvent(decision.EventCallerLeft, decision.Fields{decision.FieldReason: "caller left during the answer"})
	}
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
	c.logEvent(decision.EventRefused, decision.Fields{
		decision.FieldStatus: status, decision.FieldReason: reason, decision.FieldRetryAfterMS: retryAfter.Milliseconds(),
	})
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
	fields[decision.FieldTookMS] = (c.forwarder.opts.Now() - c.arrivedAt).Milliseconds()
	c.forwarder.opts.Decisions.RecordRequest(c.request.ID, event, fields)
}
