// Package entry is the HTTP interface to callers. It takes a request from its
// admission to its whole answer or typed refusal.
package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/admission"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// Log commits commands.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Options configure an entry. The fields up to Self are required.
type Options struct {
	Replica *replica.Replica
	Client  *backend.Client
	Log     Log
	// Servers returns the backend servers with their load reports.
	Servers func() []membership.ServerStatus
	// Now is the clock of Servers and Predict.
	Now  func() time.Duration
	Self state.Sender

	DataCentre string
	// Ready reports whether the configuration of this host is current. Until
	// then an unknown name may be a new one. Unset means always.
	Ready func() bool
	// Predict returns when a model or adapter that is not ready will be.
	Predict func(model, adapter string) (time.Duration, bool)
	// Observe is told the end of every request.
	Observe func(Observation)
	// PerServer is how many requests of this host may run on one server.
	PerServer int
	// RetryShare is the retry budget of a model per first attempt.
	RetryShare float64
	// TrialSettle covers the push of a trial to the other hosts and the lag of
	// load reports: an idle report counts for a trial only after it.
	TrialSettle time.Duration
	// Seed of the randomness for sampling and jitter.
	Seed uint64

	// off switches mechanisms off, to show that the tests see it.
	off mechanisms
}

// mechanisms are switched off only by tests.
type mechanisms struct {
	claims, suspects, attemptCheck, resume, terminal, honest, deadlines, cancel, sameAnswer bool
	// queues: all models share one queue.
	queues, perServer, breakers, stalls, pace, retryBudget bool
}

// Observation is the end of one request.
type Observation struct {
	Service, Model, Adapter string
	// Code is the refusal's, or empty for a whole answer.
	Code string
	// Waited is the time in the queue, FirstByte until the first byte of the
	// answer and Total until its end.
	Waited, FirstByte, Total time.Duration
	// Cold requests found no ready server on arrival.
	Cold bool
}

// Defaults of the options.
const (
	defaultPerServer   = 32
	defaultRetryShare  = 0.1
	defaultTrialSettle = time.Second
	defaultQueueLimit  = 200
	patientQueueLimit  = 1000
	// spillLoad is the load from which servers of other data centres are used:
	// one full batch of a small engine.
	spillLoad = 32
)

// Entry serves callers.
type Entry struct {
	opts Options
	view atomic.Pointer[view]

	mu     sync.Mutex
	rng    *rand.Rand
	router *routing.Router
	queues map[routing.Key]*queue
	// arrivals outlive the queues, since the leader counts on them to grow.
	arrivals map[routing.Key]uint64
	flights  map[process]map[*flight]struct{}
	crashes  map[process]*crash
	// withheld counts uncommitted crashes by fingerprint.
	withheld map[string]int
	vitals   map[process]*vital
	stopped  chan struct{}
	nextID   uint64
	// presence is what the router was last told of each server.
	presence map[string]presenceMark

	// active counts the requests in progress and the outcomes not yet committed.
	active   int
	draining bool
	idle     chan struct{}
}

// New returns an entry. Its Run must be running for requests to be served.
func New(opts Options) *Entry {
	if opts.PerServer == 0 {
		opts.PerServer = defaultPerServer
	}
	if opts.RetryShare == 0 {
		opts.RetryShare = defaultRetryShare
	}
	if opts.TrialSettle == 0 {
		opts.TrialSettle = defaultTrialSettle
	}
	seed := opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	rng := rand.New(rand.NewPCG(seed, opts.Self.Incarnation))
	e := &Entry{
		opts: opts, rng: rng, queues: map[routing.Key]*queue{}, arrivals: map[routing.Key]uint64{},
		flights: map[process]map[*flight]struct{}{}, crashes: map[process]*crash{}, withheld: map[string]int{},
		router: routing.New(opts.routing(), rng), vitals: map[process]*vital{}, stopped: make(chan struct{}),
		idle: make(chan struct{}), presence: map[string]presenceMark{},
	}
	e.refresh()
	return e
}

func (o Options) routing() routing.Options {
	r := routing.Options{DataCentre: o.DataCentre, RemoteLoadThreshold: spillLoad, MaxAttemptsPerServer: o.PerServer, DisableDemotion: o.off.pace}
	if o.off.perServer {
		r.MaxAttemptsPerServer = 0
	}
	if o.off.breakers {
		r.BreakerFailures = math.MaxInt
	}
	return r
}

// Routes registers the caller routes.
func (e *Entry) Routes(g *echo.Echo) {
	g.POST("/v1/chat/completions", e.completions)
	g.Any("/v1/services/:service", e.services)
	g.Any("/v1/services/:service/*", e.services)
	g.POST("/v1/backend/cache", backend.CacheHandler(e.cacheEvents))
}

func (e *Entry) cacheEvents(r backend.CacheReport) {
	events := make([]routing.CacheEvent, len(r.Events))
	for i, ev := range r.Events {
		events[i] = routing.CacheEvent{Prefix: ev.Prefix, Evicted: ev.Evicted}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.ApplyCacheEvents(r.Server, r.Incarnation, r.First, events)
}

const (
	// pollInterval is how often load reports and waiting requests are checked.
	// Deadlines do not depend on it.
	pollInterval = 100 * time.Millisecond
	// refreshGap bounds the share of time spent on rebuilding the index while
	// the replica changes quickly.
	refreshGap = 2 * time.Millisecond
)

// Run keeps the view of the replica up to date and grants waiting requests
// until ctx ends. It is called once.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.stopped)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		changed := e.opts.Replica.Changed()
		e.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-changed:
			time.Sleep(refreshGap)
		}
	}
}

// Drain refuses new requests and waits until every request in progress has
// ended and every outcome is committed. It stops nothing; Run must go on until it
// returns.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		if e.active == 0 {
			close(e.idle)
		}
	}
	e.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.idle:
		return nil
	}
}

// begin counts a request in progress, unless the host drains.
func (e *Entry) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.active++
	return true
}

// hold counts background work of a request that is in progress.
func (e *Entry) hold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active++
}

func (e *Entry) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.draining && e.active == 0 {
		close(e.idle)
	}
}

func (e *Entry) completions(c echo.Context) error { return e.serve(c, e.parseCompletion) }

func (e *Entry) services(c echo.Context) error { return e.serve(c, e.parseService) }

// serve takes one request to its end.
func (e *Entry) serve(c echo.Context, parse func(echo.Context, *view) (*call, *Refusal)) error {
	if !e.begin() {
		return e.respond(c, unavailable("draining", "the host is leaving; use another address"))
	}
	defer e.end()
	start := e.opts.Now()
	q, refusal := parse(c, e.view.Load())
	if refusal != nil {
		return e.respond(c, refusal)
	}
	if e.opts.off.deadlines {
		q.timeout = maxTimeout
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), q.timeout)
	defer cancel()
	w := &answer{c: c, now: e.opts.Now, join: e.opts.off.sameAnswer, keep: !q.idempotent || q.stream}
	refusal = e.handle(ctx, q, w)
	e.observe(q, w, refusal, start)
	if refusal == nil {
		return nil
	}
	if !w.started {
		return e.respond(c, refusal)
	}
	return w.fail(e.jitter(refusal))
}

// handle returns nil if the caller got a whole answer.
func (e *Entry) handle(ctx context.Context, q *call, w *answer) *Refusal {
	if r := e.refuseSuspect(q); r != nil && !e.opts.off.suspects {
		return r
	}
	if q.idempotent || e.opts.off.claims {
		return e.run(ctx, q, w)
	}
	recorded, refusal := e.claim(ctx, q)
	if refusal != nil {
		return refusal
	}
	if recorded != nil {
		return w.replay(recorded)
	}
	refusal = e.run(ctx, q, w)
	e.settle(q, w, refusal)
	return refusal
}

func (e *Entry) observe(q *call, w *answer, refusal *Refusal, start time.Duration) {
	if e.opts.Observe == nil {
		return
	}
	o := Observation{
		Service: q.key.Service, Model: q.key.Model, Adapter: q.key.Adapter,
		Waited: q.waited, Cold: q.cold, Total: e.opts.Now() - start,
	}
	if w.first > 0 {
		o.FirstByte = w.first - start
	}
	if refusal != nil {
		o.Code = refusal.Code
	}
	e.opts.Observe(o)
}

// respond sends a refusal as the whole response.
func (e *Entry) respond(c echo.Context, r *Refusal) error {
	r = e.jitter(r)
	if r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(r.RetryAfterMS))
	}
	return r.write(c)
}

func (e *Entry) jitter(r *Refusal) *Refusal {
	if r.jittered || r.RetryAfterMS <= 0 {
		return r
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.jittered = true
	r.RetryAfterMS = admission.Jitter(e.rng, time.Duration(r.RetryAfterMS)*time.Millisecond).Milliseconds()
	return r
}
