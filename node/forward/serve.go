package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/pollenwheel/pollenwheel/core/account"
	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

const (
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
	// accounts is set if the route table has accounts, and account is the name of that of the
	// request, if it has one.
	accounts bool
	account  string
	// quota is that of the account, if it has one.
	quota *account.Quota
	// refused is set once the request has been refused, so that it has not run, and tried once an
	// attempt has begun.
	refused, tried bool
	key            routing.Key
	// fingerprint is a hash of the request's content. A repeated request has the
	// same fingerprint.
	fingerprint string
	// parts are what the request shares with others and can crash servers.
	parts []string
	// body is the complete body, once bodyRead is set.
	body     []byte
	bodyRead bool
	// heldBody counts the body until the request ends.
	heldBody *memory.Holding

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
	// origin is what a resumable stream must go on at, once its first event has been passed
	// on or the caller has resumed it.
	origin *origin.Origin
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
	c.heldBody = f.opts.Memory.HoldBody(w, r)
	defer c.heldBody.Release()
	defer c.logPanic()
	if !c.admit() {
		return
	}
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(r.Context(), c.deadline-c.arrivedAt)
	defer cancel()
	if !c.findOrigin() || !c.chooseTarget() {
		return
	}
	if !f.admitRequest(c.key.Service) {
		c.refuse(http.StatusServiceUnavailable, unavailableRetryAfter, "host has too many requests of the service in progress")
		return
	}
	defer f.endRequest(c.key.Service)
	if c.takeQuota() {
		defer c.refundQuota()
		c.run()
	}
}

// admit reads the request and selects its route. It returns false if it has refused the
// request.
func (c *call) admit() bool {
	f := c.forwarder
	var err error
	c.request, err = f.opts.Protocol.ParseRequest(c.inbound.Header)
	v := f.view.Load()
	if v.index == nil || !f.opts.Ready() || f.admissionStopped.Load() {
		return c.refuse(http.StatusServiceUnavailable, unavailableRetryAfter, "host is not ready or no longer accepts requests")
	}
	var ok bool
	if c.route, ok = v.index.Match(c.inbound.Host, c.inbound.URL.EscapedPath()); !ok {
		return c.refuse(http.StatusNotFound, 0, "no route for this host and path")
	}
	if err != nil {
		return c.refuse(http.StatusBadRequest, 0, err.Error())
	}
	if !c.identifyAccount(v.index.Accounts()) {
		return false
	}
	c.deadline = c.arrivedAt + c.route.Timeout
	if d := c.request.Timeout; d > 0 {
		c.deadline = min(c.deadline, c.arrivedAt+d)
	}
	if !c.readBody(v.index.Table().Limits) {
		return false
	}
	c.fingerprint = c.computeFingerprint()
	c.lastEventID = c.request.ResumeAfter
	return true
}

const outlastsDepartureReason = "host is leaving and could cut off the request, which may not be repeated"

// outlastsDeparture reports whether this host, which admits no more requests, could cut off the
// request, which may not be repeated, at the end of its departure.
func (c *call) outlastsDeparture() bool {
	end := time.Duration(c.forwarder.departureEnd.Load())
	return end > 0 && c.forwarder.admissionStopped.Load() && c.route.Kind == route.Unsafe && c.deadline > end
}

// chooseTarget selects the service, that of the origin for a stream that the caller resumes,
// and checks whether it may run the request. It returns false if it has refused the request.
func (c *call) chooseTarget() bool {
	f := c.forwarder
	v := f.view.Load()
	service := ""
	if c.origin != nil {
		service = c.origin.Service
	} else {
		service = c.route.ChooseService(f.randomFraction())
	}
	c.key = routing.Key{Service: service, Model: c.request.Model, Adapter: c.request.Adapter}
	svc, _ := v.index.Table().Service(c.key.Service)
	if svc.Engine == nil {
		c.key.Model, c.key.Adapter = "", ""
	} else if _, ok := svc.Engine.Model(c.key.Model); !ok {
		return c.refuse(http.StatusNotFound, 0, "service has no such model")
	}
	c.parts = partsOf(c.key, c.request.PromptParts)
	if s := v.suspects.of(c.fingerprint, c.parts); s.refused {
		return c.refuse(http.StatusServiceUnavailable, s.retryAfter, s.reason)
	}
	c.exchange = exchange.New(exchange.Policy{
		Idempotent: c.route.Idempotent(), Resumable: c.bindsStream(), RetryFailures: c.route.Kind == route.Safe,
		MaxAttempts: c.route.Attempts(), Deadline: c.deadline,
	}, func() bool { return f.allowRetry(c.key.Service) })
	return true
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
		if c.conclude(attempt, c.tryServer(attempt)) {
			return
		}
	}
}

// conclude executes what follows an attempt. It returns false if another attempt follows.
func (c *call) conclude(attempt routing.Attempt, out attemptResult) (ended bool) {
	defer out.held.Release()
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
		return true
	}
	// A server that named a pause may be used again after it.
	c.avoidServer, c.mustAvoid = attempt.Server, out.outcome == exchange.Refused && c.forwarder.wanted(attempt)
	return false
}

// tryServer makes one attempt on a server and records it in the demand and the
// router. If the connection failed, it reports or checks for a crashed process.
func (c *call) tryServer(attempt routing.Attempt) attemptResult {
	f := c.forwarder
	target := residency.Target{Model: c.key.Model, Adapter: c.key.Adapter}
	f.recordAttemptStart(target, attempt.Server)
	c.attemptBegun, c.tried = false, true
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
