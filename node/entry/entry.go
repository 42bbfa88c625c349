// Package entry is the HTTP interface to callers. It admits each request, forwards
// it to backend servers, and returns a complete answer or a refusal with a code.
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
	"github.com/pollenwheel/pollenwheel/core/evidence"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/memory"
	"github.com/pollenwheel/pollenwheel/node/permits"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// Log proposes commands to the replicated log.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Options configures an Entry. The fields up to Self are required.
type Options struct {
	Replica *replica.Replica
	Client  *backend.Client
	Log     Log
	// Servers returns the known backend servers with their load reports.
	Servers func() []membership.ServerStatus
	// Now returns the time on the clock that Servers and PredictReadyAt use.
	Now  func() time.Duration
	Self state.HostProcess

	DataCentre string
	// Ready reports whether the configuration of this host is current. Until
	// then requests with unknown names or keys are refused as not_ready, because a
	// newer configuration may contain them. If nil, it is always current.
	Ready func() bool
	// PredictReadyAt returns the time at which a model or adapter is expected to be
	// ready, and whether that is known. It may be nil.
	PredictReadyAt func(model, adapter string) (time.Duration, bool)
	// AskPermits asks the leader for permits to send requests to servers that name a
	// limit. If it is nil, the host uses its own share of each limit. HostCount returns the
	// number of hosts that have one; if it is nil, this host is the only one.
	AskPermits permits.Ask
	HostCount  func() int
	// OnNotice is called for each change of what a server says of itself, with the request
	// whose answer says so or "leader". It may be nil.
	OnNotice func(c notice.Change, source string)
	// Memory accounts for the bodies of requests and answers. If it is nil, the Entry has its
	// own with the default limit.
	Memory *memory.Account
	// OnRequestEnd is called at the end of every request. It may be nil.
	OnRequestEnd func(Observation)
	// MaxAttemptsPerServer is the maximum number of attempts of this host that run on
	// one server at the same time.
	MaxAttemptsPerServer int
	// RetriesPerFirstAttempt is the number of retries that each first attempt adds to
	// the retry budget of its queue.
	RetriesPerFirstAttempt float64
	// TrialReportDelay is how long the load reports of a trial's server are ignored after
	// the trial is committed. It covers the time in which the trial reaches the other
	// hosts and the delay of load reports, so that a later report that shows the server
	// idle includes the work of all hosts.
	TrialReportDelay time.Duration
	// Seed is the seed for sampling and jitter; 0 means a random seed.
	Seed uint64

	// disabled turns mechanisms off, so that tests can show that their checks
	// detect the missing mechanism.
	disabled disabledMechanisms
}

// disabledMechanisms are the mechanisms that are turned off. Only tests set them.
type disabledMechanisms struct {
	claims, suspects, attemptCheck, streamResume, terminalCheck, executionTracking, deadlines, cancelOnServer, answerComparison bool
	// modelQueues makes all models share one queue.
	modelQueues, serverLimits, breakers, stallProbes, demotion, retryBudget bool
	// notices makes hosts ignore what servers say of themselves.
	notices bool
}

// Observation describes a request that has ended.
type Observation struct {
	Service, Model, Adapter string
	// Code is the code of the refusal, or empty after a complete answer.
	Code string
	// QueueTime is the time in the queue. TimeToFirstByte and TotalTime are the times
	// from the arrival to the first byte and to the end of the answer.
	QueueTime, TimeToFirstByte, TotalTime time.Duration
	// ColdStart is set if no server was ready when the request arrived.
	ColdStart bool
}

// Default option values and fixed limits.
const (
	defaultMaxAttemptsPerServer   = 32
	defaultRetriesPerFirstAttempt = 0.1
	defaultTrialReportDelay       = time.Second
	defaultQueueLimit             = 200
	patientQueueLimit             = 1000
	// remoteLoadThreshold is the load from which servers of other data centres are used.
	// It is one full batch of a small engine.
	remoteLoadThreshold = 32
)

// Entry serves the requests of callers.
type Entry struct {
	opts Options
	view atomic.Pointer[view]

	mu     sync.Mutex
	rng    *rand.Rand
	router *routing.Router
	queues map[routing.Key]*modelQueue
	// arrivals counts the requests per routing key. Unlike the queues, the counters
	// are never removed, because the leader expects them only to grow.
	arrivals map[routing.Key]uint64
	// notices holds what servers say of themselves, and permits asks the leader for permits
	// to send to those with a limit.
	notices  *notice.Table
	permits  *permits.Client
	inFlight map[process]map[*serverAttempt]struct{}
	crashes  map[process]*crash
	// uncommittedSuspects counts, by fingerprint, the crashes that are not
	// committed yet.
	uncommittedSuspects map[string]int
	// begun remembers the answers that have begun.
	begun   *evidence.Begun
	probes  map[process]*serverProbe
	stopped chan struct{}
	nextID  uint64
	// serverStates is the state of each server, by name, at the last call of
	// serverStateChanged.
	serverStates map[string]serverState

	// active counts the requests in progress and their background work, such as
	// outcomes that are not committed yet.
	active   int
	draining bool
	drained  chan struct{}
}

// New returns an Entry. Requests are served only while its Run method is running.
func New(opts Options) *Entry {
	if opts.MaxAttemptsPerServer == 0 {
		opts.MaxAttemptsPerServer = defaultMaxAttemptsPerServer
	}
	if opts.RetriesPerFirstAttempt == 0 {
		opts.RetriesPerFirstAttempt = defaultRetriesPerFirstAttempt
	}
	if opts.TrialReportDelay == 0 {
		opts.TrialReportDelay = defaultTrialReportDelay
	}
	if opts.Memory == nil {
		opts.Memory = memory.New(memory.DefaultLimit, nil)
	}
	seed := opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	rng := rand.New(rand.NewPCG(seed, opts.Self.Incarnation))
	if opts.HostCount == nil {
		opts.HostCount = func() int { return 1 }
	}
	notices := notice.NewTable(ratelimit.NewClient(opts.HostCount, rng), rng)
	e := &Entry{
		notices: notices,
		opts:    opts, rng: rng, queues: map[routing.Key]*modelQueue{}, arrivals: map[routing.Key]uint64{},
		inFlight: map[process]map[*serverAttempt]struct{}{}, crashes: map[process]*crash{}, uncommittedSuspects: map[string]int{},
		router: routing.New(opts.routerOptions(notices), rng), probes: map[process]*serverProbe{}, stopped: make(chan struct{}),
		drained: make(chan struct{}), serverStates: map[string]serverState{}, begun: evidence.NewBegun(),
	}
	e.permits = permits.NewClient(permits.ClientOptions{
		Lock: &e.mu, Table: notices, Ask: opts.AskPermits, Now: opts.Now, Applied: e.permitsApplied,
	})
	e.refresh()
	return e
}

func (o Options) routerOptions(notices *notice.Table) routing.Options {
	r := routing.Options{DataCentre: o.DataCentre, RemoteLoadThreshold: remoteLoadThreshold, MaxAttemptsPerServer: o.MaxAttemptsPerServer, DisableDemotion: o.disabled.demotion}
	if !o.disabled.notices {
		r.Notices = notices
	}
	if o.disabled.serverLimits {
		r.MaxAttemptsPerServer = 0
	}
	if o.disabled.breakers {
		r.BreakerFailures = math.MaxInt
	}
	return r
}

// RegisterRoutes registers the routes for callers and the cache reports of backend servers.
func (e *Entry) RegisterRoutes(g *echo.Echo) {
	g.POST("/v1/chat/completions", e.serveCompletion)
	g.Any("/v1/services/:service", e.serveService)
	g.Any("/v1/services/:service/*", e.serveService)
	g.POST("/v1/backend/cache", backend.CacheHandler(e.opts.Memory, e.applyCacheReport))
}

// applyCacheReport passes the cache report of a backend server to the router.
func (e *Entry) applyCacheReport(r backend.CacheReport) {
	events := make([]routing.CacheEvent, len(r.Events))
	for i, ev := range r.Events {
		events[i] = routing.CacheEvent{Prefix: ev.Prefix, Evicted: ev.Evicted}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.router.ApplyCacheEvents(r.Server, r.Incarnation, r.FirstEventNumber, events)
}

const (
	// refreshInterval is the interval between checks of load reports and waiting
	// requests. Deadlines do not depend on it.
	refreshInterval = 100 * time.Millisecond
	// refreshPause is the minimum pause between rebuilds of the router's index. It
	// limits the time spent on them while the replica changes quickly.
	refreshPause = 2 * time.Millisecond
)

// Run keeps the view of the replica up to date and admits waiting requests
// until ctx ends. It must be called once only.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.stopped)
	if e.opts.AskPermits != nil {
		go e.permits.Run(ctx)
	}
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
// ended and every outcome is committed or given up. It does not cancel requests.
// Run must keep running until Drain returns. The error is that of ctx.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		if e.active == 0 {
			close(e.drained)
		}
	}
	e.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.drained:
		return nil
	}
}

// tryStart counts a new request as active. It returns false while the host is draining.
func (e *Entry) tryStart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.active++
	return true
}

// addActive counts background work of a request as active.
func (e *Entry) addActive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active++
}

// removeActive removes a request or background work that tryStart or addActive counted.
func (e *Entry) removeActive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if e.draining && e.active == 0 {
		close(e.drained)
	}
}

func (e *Entry) serveCompletion(c echo.Context) error { return e.serve(c, e.parseCompletion) }

func (e *Entry) serveService(c echo.Context) error { return e.serve(c, e.parseService) }

// serve parses one request, handles it and sends the answer or the refusal.
func (e *Entry) serve(c echo.Context, parse func(echo.Context, *view) (*request, *Refusal)) error {
	if !e.tryStart() {
		return e.respondRefusal(c, unavailable("draining", "the host is leaving; use another address"))
	}
	defer e.removeActive()
	start := e.opts.Now()
	heldBody := e.opts.Memory.HoldBody(c.Response(), c.Request())
	defer heldBody.Release()
	req, refusal := parse(c, e.view.Load())
	if refusal != nil {
		return e.respondRefusal(c, refusal)
	}
	if e.opts.disabled.deadlines {
		req.timeout = maxTimeout
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), req.timeout)
	defer cancel()
	ans := &answer{echoCtx: c, clock: e.opts.Now, memory: e.opts.Memory, skipComparison: e.opts.disabled.answerComparison, retain: !req.idempotent || req.stream}
	defer ans.release()
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

// handle runs a request, or replays its recorded answer. It returns nil if the caller
// got a complete answer.
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

// observe passes the end of a request to OnRequestEnd.
func (e *Entry) observe(req *request, ans *answer, refusal *Refusal, start time.Duration) {
	if e.opts.OnRequestEnd == nil {
		return
	}
	o := Observation{
		Service: req.key.Service, Model: req.key.Model, Adapter: req.key.Adapter,
		QueueTime: req.queueTime, ColdStart: req.coldStart, TotalTime: e.opts.Now() - start,
	}
	if ans.firstByteAt > 0 {
		o.TimeToFirstByte = ans.firstByteAt - start
	}
	if refusal != nil {
		o.Code = refusal.Code
	}
	e.opts.OnRequestEnd(o)
}

// respondRefusal sends a refusal to a caller that has not been sent anything yet.
func (e *Entry) respondRefusal(c echo.Context, r *Refusal) error {
	r = e.jitterRetryAfter(r)
	if r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", retryAfterSeconds(r.RetryAfterMS))
	}
	return r.write(c)
}

// jitterRetryAfter randomises the time after which the caller should retry, unless that
// was already done.
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
