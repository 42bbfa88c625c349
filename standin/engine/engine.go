// Package engine is a small model engine for tests and the dev command. It
// speaks the same HTTP as a real engine: announcements, orders, and streamed
// completions with continuous batching, resume and cancel.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/standin/store"
)

// Options describe one engine.
type Options struct {
	Name       string
	Service    string
	DataCentre string
	Listen     string
	// Listener replaces Listen if set.
	Listener net.Listener
	// Advertised replaces the listening address in announcements if set.
	Advertised string
	// Incarnation defaults to the start time in nanoseconds.
	Incarnation uint64
	// Hosts are entry host addresses to announce to. With none, the engine does
	// not announce.
	Hosts         []string
	MemoryMiB     int64
	ChecksFencing bool
	// ChecksIncarnation refuses orders that name another process.
	ChecksIncarnation bool
	// Loaded models and adapters are ready from the start.
	Loaded   []membership.ModelReport
	LoadTime time.Duration
	// Store, if set, serves loads in addition to LoadTime.
	Store *store.Store
	// TokenTime is the time of one batch step, in which each running request
	// gets one token.
	TokenTime time.Duration
	// MaxBatch and MaxQueue bound the running and the waiting requests; zero
	// means 64 and 256.
	MaxBatch, MaxQueue int
	// LoadLag delays load reports.
	LoadLag time.Duration
	// ResumeGrace is how long a request runs on without a reader; zero means 5 s.
	ResumeGrace time.Duration
	// CrashOn ends the process when a prompt that contains it is run.
	CrashOn string
	Journal *Journal
	// Holdings, if set, records what the engine holds.
	Holdings *Holdings
	Faults   Faults
}

// Faults are injected where the function is set and says so.
type Faults struct {
	// CutAfter returns the number of events after which an answer is cut, or a
	// negative number.
	CutAfter func(attempt string) int
	// LoseAnswer cuts the connection after the execution, before the answer.
	LoseAnswer func(attempt string) bool
	// Misdeliver returns an earlier attempt whose answer is sent instead.
	Misdeliver func(attempt string) string
	// Vary makes the answer to the same prompt differ between attempts, as
	// sampling does.
	Vary bool
	// Refuse reports that a request is not admitted.
	Refuse func(attempt string) bool
	// FailOrder reports that an accepted load or unload has no effect.
	FailOrder func(o backend.Order) bool
}

// Defaults of the options.
const (
	announceInterval   = time.Second
	defaultBatch       = 64
	defaultQueue       = 256
	defaultResumeGrace = 5 * time.Second
)

// Engine is a running stand-in.
type Engine struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	changed  chan struct{}
	wake     chan struct{}
	stopped  chan struct{}
	loop     sync.WaitGroup

	mu       sync.Mutex
	sequence uint64
	fence    uint64
	reports  map[[2]string]membership.ModelReport
	jobs     map[string]*job
	queue    []*job
	active   []*job
	loads    []loadSample
	leaving  bool
	down     bool
	cache    cacheLog
	// direct numbers the requests that came without an attempt id.
	direct int
}

type loadSample struct {
	at   time.Time
	load membership.Load
}

// Start listens and begins to serve and announce. Cancelling ctx ends the
// announcements.
func Start(ctx context.Context, opts Options) (*Engine, error) {
	l := opts.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", opts.Listen); err != nil {
			return nil, fmt.Errorf("engine %s: %w", opts.Name, err)
		}
	}
	e := &Engine{
		opts: withDefaults(opts), listener: l, changed: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		stopped: make(chan struct{}), reports: map[[2]string]membership.ModelReport{}, jobs: map[string]*job{},
	}
	for _, r := range opts.Loaded {
		r.Phase = membership.ReportReady
		e.report(r)
	}
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.loop.Add(1)
	go e.batch()
	if len(opts.Hosts) > 0 {
		go e.announce(ctx)
	}
	return e, nil
}

func withDefaults(o Options) Options {
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultBatch
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = defaultQueue
	}
	if o.ResumeGrace == 0 {
		o.ResumeGrace = defaultResumeGrace
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixNano())
	}
	if o.Journal == nil {
		o.Journal = &Journal{}
	}
	return o
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("POST /v1/chat/completions", e.completion)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("GET /v1/incarnation", e.current)
	incarnation := strconv.FormatUint(e.opts.Incarnation, 10)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderIncarnation, incarnation)
		mux.ServeHTTP(w, r)
	})
}

// Address is where the engine listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// announced is the address that entry hosts connect to.
func (e *Engine) announced() string {
	if e.opts.Advertised != "" {
		return e.opts.Advertised
	}
	return e.Address()
}

// Journal is the record of what the engine executed.
func (e *Engine) Journal() *Journal { return e.opts.Journal }

// Close ends the process at once and cuts everything in progress.
func (e *Engine) Close() error {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return nil
	}
	e.down = true
	e.opts.Holdings.drop(e.process())
	for _, j := range append(e.active, e.queue...) {
		e.opts.Journal.end(j.entry, EndCrashed)
	}
	e.mu.Unlock()
	// The listener closes before the connections, so a probe that follows a cut
	// connection is refused.
	err := e.server.Close()
	close(e.stopped)
	e.loop.Wait()
	return err
}

// Down reports whether the process has ended.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Leave announces that the engine leaves, refuses new work, waits for the
// running requests and ends.
func (e *Engine) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	// An idle engine ends at once, so the announcement cannot be left to the loop.
	e.announceOnce(ctx, 0)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		e.mu.Lock()
		idle := len(e.active)+len(e.queue) == 0
		e.mu.Unlock()
		if idle {
			// Shutdown lets answers that are complete reach their readers.
			if err := e.server.Shutdown(ctx); err != nil {
				return err
			}
			return e.Close()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (e *Engine) announce(ctx context.Context) {
	for i := 0; ; i++ {
		e.announceOnce(ctx, i)
		if report, ok := e.cacheReport(); ok {
			for _, h := range e.opts.Hosts {
				e.post(ctx, h, "/v1/backend/cache", report)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-e.stopped:
			return
		case <-e.changed:
		case <-time.After(announceInterval):
		}
	}
}

// announceOnce sends one announcement to the hosts in turn until one takes it.
func (e *Engine) announceOnce(ctx context.Context, first int) {
	for i := range e.opts.Hosts {
		if e.post(ctx, e.opts.Hosts[(first+i)%len(e.opts.Hosts)], "/v1/backend/announce", e.Announcement()) || ctx.Err() != nil {
			return
		}
	}
}

// postTimeout keeps a host that is stopped from delaying the announcements to
// the others.
const postTimeout = time.Second

// post sends a message and reports whether it was answered.
func (e *Engine) post(ctx context.Context, host, path string, message any) bool {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	data, err := json.Marshal(message)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(data))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Announcement returns the next announcement.
func (e *Engine) Announcement() membership.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	s := membership.Server{
		Name: e.opts.Name, Service: e.opts.Service, Kind: config.KindEngine, DataCentre: e.opts.DataCentre,
		Address: e.announced(), Incarnation: e.opts.Incarnation, Sequence: e.sequence, Accelerators: 1,
		MemoryMiB: e.opts.MemoryMiB, Engine: "stand-in", ChecksFencing: e.opts.ChecksFencing,
		Leaving: e.leaving, NewestOrder: e.fence, Load: e.laggingLoad(),
	}
	for _, r := range e.reports {
		s.Models = append(s.Models, r)
	}
	return s
}

// laggingLoad returns the load as it was LoadLag ago. The caller holds the lock.
func (e *Engine) laggingLoad() membership.Load {
	now := time.Now()
	e.loads = append(e.loads, loadSample{now, membership.Load{Running: len(e.active), Queued: len(e.queue)}})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.opts.LoadLag {
		e.loads = e.loads[1:]
	}
	return e.loads[0].load
}

func (e *Engine) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}
