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
	Servers func() []membership.Presence
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

	// disabled switches mechanisms off, to show that the tests see it.
	disabled disabledMechanisms
}

// disabledMechanisms are switched off only by tests.
type disabledMechanisms struct {
	claims, suspects, attemptCheck, streamResume, terminalCheck, executionTracking, deadlines, cancelOnServer, answerComparison bool
	// modelQueues: all models share one queue.
	modelQueues, serverLimits, breakers, stallProbes, demotion, retryBudget bool
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
	// remoteLoadThreshold is the load from which servers of other data centres are used:
	// one full batch of a small engine.
	remoteLoadThreshold = 32
)

// Entry serves callers.
type Entry struct {
	opts Options
	view atomic.Pointer[view]

	mu     sync.Mutex
	rng    *rand.Rand
	router *routing.Router
	queues map[routing.Key]*modelQueue
	// arrivals outlive the queues, since the leader counts on them to grow.
	arrivals map[routing.Key]uint64
	inFlight map[process]map[*serverAttempt]struct{}
	crashes  map[process]*crash
	// uncommittedSuspects counts uncommitted crashes by fingerprint.
	uncommittedSuspects map[string]int
	probes              map[process]*serverProbe
	stopped             chan struct{}
	nextID              uint64
	// presences is what the router was last told of each server.
	presences map[string]presenceState

	// active counts the requests in progress and the outcomes not yet committed.
	active   int
	draining bool
	allDone  chan struct{}
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
		opts: opts, rng: rng, queues: map[routing.Key]*modelQueue{}, arrivals: map[routing.Key]uint64{},
		inFlight: map[process]map[*serverAttempt]struct{}{}, crashes: map[process]*crash{}, uncommittedSuspects: map[string]int{},
		router: routing.New(opts.routerOptions(), rng), probes: map[process]*serverProbe{}, stopped: make(chan struct{}),
		allDone: make(chan struct{}), presences: map[string]presenceState{},
	}
	e.refresh()
	return e
}

func (o Options) routerOptions() routing.Options {
	r := routing.Options{DataCentre: o.DataCentre, Spill: remoteLoadThreshold, PerServer: o.PerServer, IgnorePace: o.disabled.demotion}
	if o.disabled.serverLimits {
		r.PerServer = 0
	}
	if o.disabled.breakers {
		r.BreakerFailures = math.MaxInt
	}
	return r
}

// Routes registers the caller routes.
func (e *Entry) Routes(g *echo.Echo) {
	g.POST("/v1/chat/completions", e.serveCompletion)
	g.Any("/v1/services/:service", e.serveService)
	g.Any("/v1/services/:service/*", e.serveService)
	g.POST("/v1/backend/cache", backend.CacheHandler(e.cacheEvents))
}

func (e *Entry) cacheEvents(r backend.CacheReport) {
	events := make([]routing.CacheEvent, len(r.Events))
	for i, ev := range r.Events {
		events[i] = routing.CacheEvent{Prefix: ev.Prefix, Evicted: ev.Evicted}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.CacheEvents(r.Server, r.Incarnation, r.First, events)
}

const (
	// refreshInterval is how often load reports and waiting requests are checked.
	// Deadlines do not depend on it.
	refreshInterval = 100 * time.Millisecond
	// refreshPause bounds the share of time spent on rebuilding the index while
	// the replica changes quickly.
	refreshPause = 2 * time.Millisecond
)

// Run keeps the view of the replica up to date and grants waiting requests
// until ctx ends. It is called once.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.stopped)
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		changed := e.opts.Replica.Changed()
		e.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-changed:
			time.Sleep(refreshPause)
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
			close(e.allDone)
		}
	}
	e.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.allDone:
		return nil
	}
}

// tryStart counts a request in progress, unless the host drains.
func (e *Entry) tryStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.active++
	return true
}

// addActive counts background work of a request that is in progress.
func (e *Entry) addActive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active++
}

func (e *Entry) removeActive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.draining && e.active == 0 {
		close(e.allDone)
	}
}

func (e *Entry) serveCompletion(c echo.Context) error { return e.serve(c, e.parseCompletion) }

func (e *Entry) serveService(c echo.Context) error { return e.serve(c, e.parseService) }

// serve takes one request to its end.
func (e *Entry) serve(c echo.Context, parse func(echo.Context, *view) (*request, *Refusal)) error {
	if !e.tryStart() {
		return e.respondRefusal(c, unavailable("draining", "the host is leaving; use another address"))
	}
	defer e.removeActive()
	start := e.opts.Now()
	req, refusal := parse(c, e.view.Load())
	if refusal != nil {
		return e.respondRefusal(c, refusal)
	}
	if e.opts.disabled.deadlines {
		req.timeout = maxTimeout
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), req.timeout)
	defer cancel()
	ans := &answer{echoCtx: c, clock: e.opts.Now, skipComparison: e.opts.disabled.answerComparison, retain: !req.idempotent || req.stream}
	refusal = e.handle(ctx, req, ans)
	e.observe(req, ans, refusal, start)
	if refusal == nil {
		return nil
	}
	if !ans.started {
		return e.respondRefusal(c, refusal)
	}
	return ans.endWithError(e.jitterRetryAfter(refusal))
}

// handle returns nil if the caller got a whole answer.
func (e *Entry) handle(ctx context.Context, req *request, ans *answer) *Refusal {
	if r := e.refuseSuspect(req); r != nil && !e.opts.disabled.suspects {
		return r
	}
	if req.idempotent || e.opts.disabled.claims {
		return e.run(ctx, req, ans)
	}
	recorded, refusal := e.claim(ctx, req)
	if refusal != nil {
		return refusal
	}
	if recorded != nil {
		return ans.replay(recorded)
	}
	refusal = e.run(ctx, req, ans)
	e.recordOutcome(req, ans, refusal)
	return refusal
}

func (e *Entry) observe(req *request, ans *answer, refusal *Refusal, start time.Duration) {
	if e.opts.Observe == nil {
		return
	}
	o := Observation{
		Service: req.key.Service, Model: req.key.Model, Adapter: req.key.Adapter,
		Waited: req.waited, Cold: req.cold, Total: e.opts.Now() - start,
	}
	if ans.firstByteAt > 0 {
		o.FirstByte = ans.firstByteAt - start
	}
	if refusal != nil {
		o.Code = refusal.Code
	}
	e.opts.Observe(o)
}

// respondRefusal sends a refusal as the whole response.
func (e *Entry) respondRefusal(c echo.Context, r *Refusal) error {
	r = e.jitterRetryAfter(r)
	if r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(r.RetryAfterMS))
	}
	return r.write(c)
}

func (e *Entry) jitterRetryAfter(r *Refusal) *Refusal {
	if r.jittered || r.RetryAfterMS <= 0 {
		return r
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.jittered = true
	r.RetryAfterMS = admission.Jitter(e.rng, time.Duration(r.RetryAfterMS)*time.Millisecond).Milliseconds()
	return r
}
