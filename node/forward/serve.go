package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/patience"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// maxBodies bounds the memory of all request bodies in progress.
	maxBodies = 64 << 20
	// defaultBody bounds a body if the table does not.
	defaultBody = 4 << 20
	// comeBack is when a caller is told to return to a host that cannot serve.
	comeBack = 300 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	gate    *Gate
	w       http.ResponseWriter
	in      *http.Request
	ctx     context.Context
	request Request
	route   route.Route
	key     routing.Key
	// fingerprint is that of the request's content, which a repeated request
	// shares.
	fingerprint string
	body        []byte

	arrived, deadline time.Duration
	exchange          *exchange.Exchange
	// avoid is the server that the request has just failed on; strict forbids
	// it even if there is no other.
	avoid  string
	strict bool
	// begun is set once the answer's headers were passed on, and lastID is the
	// last event's id.
	begun  bool
	lastID string
	events int
	// firstAt and eventAt are when the first and the last event were passed on;
	// pause is the longest time between two events, and waited the time without a
	// server.
	firstAt, eventAt, pause, waited time.Duration
}

// ServeHTTP serves one request: it is admitted, waits for a backend server that
// can run it, is sent, and is answered, repeated or ended as core/exchange
// decides.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	g.inFlight.Add(1)
	defer g.running.Done()
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{gate: g, w: w, in: r, arrived: g.opts.Now()}
	if !c.admit() {
		return
	}
	defer g.bodies.Add(-int64(len(c.body)))
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithTimeout(r.Context(), c.deadline-c.arrived)
	defer cancel()
	c.run()
}

// admit reads the request and refuses what cannot be served here.
func (c *call) admit() bool {
	g := c.gate
	var err error
	c.request, err = g.opts.Protocol.Request(c.in.Header)
	v := g.view.Load()
	if v.index == nil || !g.opts.Ready() || g.closed.Load() {
		return c.refuse(http.StatusServiceUnavailable, comeBack, "this host does not serve")
	}
	var ok bool
	if c.route, ok = v.index.Match(c.in.Host, c.in.URL.Path); !ok {
		return c.refuse(http.StatusNotFound, 0, "no route")
	}
	if err != nil {
		return c.refuse(http.StatusBadRequest, 0, err.Error())
	}
	if !c.readBody(v.index.Table().Limits) {
		return false
	}
	c.fingerprint = c.digest()
	if _, ok := v.suspects[c.fingerprint]; ok {
		return c.refuse(http.StatusServiceUnavailable, 0, "the request crashes backend servers")
	}
	c.deadline = c.arrived + c.route.Timeout
	if d := c.request.Deadline; d > 0 {
		c.deadline = min(c.deadline, c.arrived+d)
	}
	c.lastID = c.request.ResumeAfter
	c.key = routing.Key{Service: c.route.Choose(g.draw()), Model: c.request.Model, Adapter: c.request.Adapter}
	svc, _ := v.index.Table().Service(c.key.Service)
	if svc.Engine == nil {
		c.key.Model, c.key.Adapter = "", ""
	} else if _, ok := svc.Engine.Model(c.key.Model); !ok {
		return c.refuse(http.StatusNotFound, 0, "no such model")
	}
	c.exchange = exchange.New(exchange.Policy{
		Idempotent: c.route.Idempotent(), RetryFailures: c.route.Kind == route.Safe,
		MaxAttempts: c.route.Attempts(), Deadline: c.deadline,
	}, func() bool { return g.retry(c.key.Service) })
	return true
}

// readBody reads the caller's body within the limits.
func (c *call) readBody(l route.Limits) bool {
	limit := l.BodyBytes
	if limit == 0 {
		limit = defaultBody
	}
	if c.in.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		return c.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too large")
	}
	if c.gate.bodies.Load() > maxBodies {
		c.w.Header().Set("Connection", "close")
		return c.refuse(http.StatusServiceUnavailable, comeBack, "too many bodies are in memory")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.in.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return c.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too large")
	}
	if err != nil {
		c.log(decision.EventLeft, decision.Fields{decision.FieldReason: "the body broke off: " + reason(err)})
		panic(http.ErrAbortHandler)
	}
	c.body = body
	c.gate.bodies.Add(int64(len(body)))
	return true
}

func (c *call) digest() string {
	h := sha256.New()
	for _, part := range []string{c.in.Method, c.in.Host, c.in.RequestURI, c.request.Model, c.request.Adapter} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// run sends the request until it has ended.
func (c *call) run() {
	c.gate.arrived(c)
	for {
		a, ok := c.acquire()
		if !ok {
			return
		}
		out := c.attempt(a)
		now := c.gate.opts.Now()
		if c.in.Context().Err() != nil && out.outcome != exchange.Complete {
			c.log(decision.EventLeft, decision.Fields{decision.FieldServer: a.Server, decision.FieldReason: out.reason})
			panic(http.ErrAbortHandler)
		}
		action := c.exchange.After(now, out.outcome)
		if out.outcome != exchange.Complete {
			c.log(decision.EventAttempt, decision.Fields{
				decision.FieldServer: a.Server, decision.FieldOutcome: out.outcome.String(), decision.FieldReason: out.reason,
				decision.FieldAction: action.String(), decision.FieldEvents: c.events,
				decision.FieldLeftMS: (c.deadline - now).Milliseconds(),
			})
		}
		if action != exchange.Send {
			c.end(action, a, out)
			return
		}
		c.avoid, c.strict = a.Server, out.outcome == exchange.Refused
	}
}

// attempt sends the request to one server and keeps the books.
func (c *call) attempt(a routing.Attempt) result {
	g := c.gate
	target := residency.Target{Model: c.key.Model, Adapter: c.key.Adapter}
	g.begin(target, a.Server)
	out := c.send(c.ctx, a)
	g.ended(target, a, out, c.ctx.Err() != nil)
	switch {
	case out.refused:
		go g.processEnded(a)
	case out.broken && out.outcome != exchange.NotSent:
		go g.checkCrash(a, c.fingerprint)
	}
	return out
}

// acquire waits for a server. It ends the request if there is none in time.
func (c *call) acquire() (routing.Attempt, bool) {
	g := c.gate
	target := residency.Target{Model: c.key.Model, Adapter: c.key.Adapter}
	waiting := false
	defer func() {
		if waiting {
			g.endWait(target, c)
		}
	}()
	for {
		a, changed, outlook, ok := g.pick(c)
		if ok {
			return a, true
		}
		if changed == nil {
			c.expire(comeBack, "no other backend server holds the target")
			return a, false
		}
		now := g.opts.Now()
		d := patience.Decide(now, c.waits(), outlook)
		if !d.Wait {
			g.refused(target, d.ReturnAfter)
			c.expire(d.ReturnAfter, "no backend server holds the target in time")
			return a, false
		}
		if !waiting {
			waiting = true
			g.beginWait(target, c)
		}
		began := now
		timer := time.NewTimer(d.Until - now)
		select {
		case <-changed:
		case <-timer.C:
		case <-c.ctx.Done():
		}
		timer.Stop()
		c.waited += g.opts.Now() - began
		if c.in.Context().Err() != nil {
			c.log(decision.EventLeft, decision.Fields{decision.FieldReason: "while waiting"})
			panic(http.ErrAbortHandler)
		}
	}
}

// waits describes the request to core/patience. A stream that was begun has its
// patience from the last event.
func (c *call) waits() patience.Request {
	out := patience.Request{Arrived: c.arrived, Deadline: c.deadline, Patience: c.route.Patience}
	if c.begun {
		out.Arrived = c.eventAt
	}
	return out
}

// expire ends a request for which no server was found.
func (c *call) expire(after time.Duration, why string) {
	switch c.exchange.Expired() {
	case exchange.RejectNotRun:
		c.refuse(http.StatusServiceUnavailable, after, why)
	case exchange.Abort:
		c.abort(why)
	default:
		c.fail(why)
	}
}

// end carries out the last action of an exchange.
func (c *call) end(action exchange.Action, a routing.Attempt, out result) {
	switch action {
	case exchange.Done:
		if out.answer != nil {
			c.deliver(out)
		}
		c.logAnswer(a)
	case exchange.Deliver:
		c.deliver(out)
		c.log(decision.EventFailed, decision.Fields{decision.FieldServer: a.Server, decision.FieldStatus: out.answer.StatusCode})
	case exchange.RejectNotRun:
		c.refuse(http.StatusServiceUnavailable, comeBack, out.reason)
	case exchange.Abort:
		c.abort(out.reason)
	default:
		c.fail(out.reason)
	}
}

// logAnswer logs a complete answer, and whether it was late by the route's
// objective.
func (c *call) logAnswer(a routing.Attempt) {
	now := c.gate.opts.Now()
	if c.firstAt == 0 {
		c.firstAt = now
	}
	event := decision.EventAnswered
	late := c.route.Objective > 0 && c.firstAt-c.arrived > c.route.Objective
	if late || c.route.MaxPause > 0 && c.pause > c.route.MaxPause {
		event = decision.EventLate
	}
	c.log(event, decision.Fields{
		decision.FieldServer: a.Server, decision.FieldEvents: c.events, decision.FieldWaitMS: c.waited.Milliseconds(),
		decision.FieldFirstMS: (c.firstAt - c.arrived).Milliseconds(), decision.FieldPauseMS: c.pause.Milliseconds(),
	})
}

// deliver passes on a whole answer.
func (c *call) deliver(out result) {
	c.copyHeaders(out.answer.Header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(out.body)))
	c.w.WriteHeader(out.answer.StatusCode)
	if _, err := c.w.Write(out.body); err != nil {
		c.log(decision.EventLeft, decision.Fields{decision.FieldReason: "while answering"})
	}
}

func (c *call) copyHeaders(from http.Header) {
	h := c.w.Header()
	for name, values := range endToEnd(from) {
		h[name] = values
	}
}

// refuse answers with the promise that the request has not run, or that the
// system does not serve it at all. It returns false.
func (c *call) refuse(status int, after time.Duration, why string) bool {
	if after > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	c.log(decision.EventRefused, decision.Fields{
		decision.FieldStatus: status, decision.FieldReason: why, decision.FieldReturnMS: after.Milliseconds(),
	})
	c.answer(status)
	return false
}

// fail ends a request that may have run.
func (c *call) fail(why string) {
	status := http.StatusBadGateway
	if c.gate.opts.Now() >= c.deadline {
		status = http.StatusGatewayTimeout
	}
	c.log(decision.EventFailed, decision.Fields{decision.FieldStatus: status, decision.FieldReason: why})
	c.answer(status)
}

func (c *call) answer(status int) {
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// abort breaks off an answer that was begun. It does not return.
func (c *call) abort(why string) {
	c.log(decision.EventAborted, decision.Fields{decision.FieldReason: why, decision.FieldEvents: c.events})
	panic(http.ErrAbortHandler)
}

func (c *call) log(event string, f decision.Fields) {
	f[decision.FieldRoute], f[decision.FieldService] = c.route.Name, c.key.Service
	f[decision.FieldModel], f[decision.FieldAdapter] = c.key.Model, c.key.Adapter
	f[decision.FieldTookMS] = (c.gate.opts.Now() - c.arrived).Milliseconds()
	c.gate.opts.Decisions.Request(c.request.ID, event, f)
}
