// Package engine is a small model engine for tests and for the dev and load
// commands. It uses the same HTTP interface as a real engine: announcements, orders,
// and streamed completions with continuous batching, resume and cancel.
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

// Options configure one engine.
type Options struct {
	Name       string
	Service    string
	DataCentre string
	Listen     string
	// Listener replaces Listen if set.
	Listener net.Listener
	// AdvertisedAddress replaces the listening address in announcements if set.
	AdvertisedAddress string
	// Incarnation defaults to the start time in nanoseconds.
	Incarnation uint64
	// Hosts are the addresses of the entry hosts to announce to. Without any, the
	// engine does not announce.
	Hosts     []string
	MemoryMiB int64
	// ChecksFencing refuses orders whose fencing number is lower than that of an
	// accepted order.
	ChecksFencing bool
	// ChecksIncarnation refuses orders that name another incarnation.
	ChecksIncarnation bool
	// ReadyAtStart are the models and adapters that are ready from the start.
	ReadyAtStart []membership.ModelReport
	// LoadTime is the duration of a load or unload.
	LoadTime time.Duration
	// Store, if set, serves loads in addition to LoadTime.
	Store *store.Store
	// TokenTime is the duration of one batch step, which produces one token for each
	// running request.
	TokenTime time.Duration
	// MaxBatch and MaxQueue limit the running and the waiting requests; zero means
	// 64 and 256.
	MaxBatch, MaxQueue int
	// LoadReportDelay is the delay after which announcements report a load.
	LoadReportDelay time.Duration
	// ResumeGrace is the time for which a request continues without a reader, and
	// for which an ended request can be resumed; zero means 5 s.
	ResumeGrace time.Duration
	// CrashOnPrompt, if set, ends the process when a request runs whose prompt contains
	// this text.
	CrashOnPrompt string
	// Journal records the executions; nil means a new journal.
	Journal *Journal
	// Holdings, if set, records the models and adapters that the engine holds.
	Holdings *Holdings
	Faults   Faults
	// Says returns the headers in which the server speaks of itself in its answer to a
	// request. It may be nil.
	Says func(r *http.Request) map[string]string
}

// Faults selects the faults to inject. A fault occurs if its function is set and
// returns true, unless stated otherwise.
type Faults struct {
	// CutAfter returns the number of events after which the connection of an answer
	// is closed, or a negative number for none.
	CutAfter func(attempt string) int
	// LoseAnswer closes the connection after the execution and before the answer.
	LoseAnswer func(attempt string) bool
	// Misdeliver returns the id of an earlier attempt whose answer is sent instead.
	Misdeliver func(attempt string) string
	// VaryAnswers makes the answer to the same prompt differ between attempts, as
	// sampling does.
	VaryAnswers bool
	// Refuse answers that the engine does not admit the request.
	Refuse func(attempt string) bool
	// FailOrder makes an accepted load or unload end without effect.
	FailOrder func(o backend.Order) bool
}

// announceInterval is the time between two announcements. The other constants are
// defaults of Options.
const (
	announceInterval   = time.Second
	defaultMaxBatch    = 64
	defaultMaxQueue    = 256
	defaultResumeGrace = 5 * time.Second
)

// Engine is a running stand-in engine. It simulates one process of an engine: Close ends
// the process, and a call of Start begins the next one.
type Engine struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	// announceNow triggers an announcement before the interval ends, and wake
	// continues a batch loop that waits for requests.
	announceNow chan struct{}
	wake        chan struct{}
	stopped     chan struct{}
	batchLoop   sync.WaitGroup

	mu sync.Mutex
	// sequence is the sequence number of the latest announcement.
	sequence uint64
	// fence is the highest fencing number of an accepted order.
	fence uint64
	// reports holds the reports by the names of model and adapter.
	reports map[[2]string]membership.ModelReport
	// jobs holds the jobs by attempt id.
	jobs map[string]*job
	// queue holds the jobs that wait, and active those in the batch.
	queue  []*job
	active []*job
	// loadSamples are the samples that delayedLoad still needs, oldest first.
	loadSamples []loadSample
	leaving     bool
	ended       bool
	cache       prefixCache
	// directRequests counts the requests without an attempt id.
	directRequests int
}

// loadSample is the load at one time.
type loadSample struct {
	at   time.Time
	load membership.Load
}

// Start begins to listen, serve and announce. Cancelling ctx ends the
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
		opts: withDefaults(opts), listener: l, announceNow: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		stopped: make(chan struct{}), reports: map[[2]string]membership.ModelReport{}, jobs: map[string]*job{},
	}
	for _, r := range opts.ReadyAtStart {
		r.Phase = membership.ReportReady
		e.setReport(r)
	}
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.batchLoop.Add(1)
	go e.runBatches()
	if len(opts.Hosts) > 0 {
		go e.runAnnouncements(ctx)
	}
	return e, nil
}

func withDefaults(o Options) Options {
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = defaultMaxQueue
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
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	mux.HandleFunc("GET /v1/incarnation", e.handleIncarnation)
	incarnation := strconv.FormatUint(e.opts.Incarnation, 10)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderIncarnation, incarnation)
		if e.opts.Says != nil {
			for name, value := range e.opts.Says(r) {
				w.Header().Set(name, value)
			}
		}
		mux.ServeHTTP(w, r)
	})
}

// Address returns the address on which the engine listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// announcedAddress returns the address that entry hosts connect to.
func (e *Engine) announcedAddress() string {
	if e.opts.AdvertisedAddress != "" {
		return e.opts.AdvertisedAddress
	}
	return e.Address()
}

// Journal returns the record of the executed requests.
func (e *Engine) Journal() *Journal { return e.opts.Journal }

// Close ends the process at once and interrupts all requests in progress, like a
// crash.
func (e *Engine) Close() error {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return nil
	}
	e.ended = true
	e.opts.Holdings.removeProcess(e.process())
	for _, j := range append(e.active, e.queue...) {
		e.opts.Journal.end(j.execution, EndCrashed)
	}
	e.mu.Unlock()
	// The listener closes before the connections, so a probe that follows a broken
	// connection is refused.
	err := e.server.Close()
	close(e.stopped)
	e.batchLoop.Wait()
	return err
}

// HasEnded reports whether the process has ended.
func (e *Engine) HasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Leave announces that the engine leaves, refuses new requests, waits for the admitted
// requests and ends. It returns the error of ctx if ctx ends first.
func (e *Engine) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	// This announcement is not left to the announcement loop: an idle engine ends at
	// once, possibly before the loop runs again.
	e.announceOnce(ctx, 0)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		e.mu.Lock()
		idle := len(e.active)+len(e.queue) == 0
		e.mu.Unlock()
		if idle {
			// Shutdown waits until readers have received the complete answers.
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

func (e *Engine) runAnnouncements(ctx context.Context) {
	for i := 0; ; i++ {
		e.announceOnce(ctx, i)
		if report, ok := e.takeCacheReport(); ok {
			for _, h := range e.opts.Hosts {
				e.post(ctx, h, "/v1/backend/cache", report)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-e.stopped:
			return
		case <-e.announceNow:
		case <-time.After(announceInterval):
		}
	}
}

// announceOnce sends one announcement to the hosts in turn, beginning with host
// number first, until one accepts it.
func (e *Engine) announceOnce(ctx context.Context, first int) {
	for i := range e.opts.Hosts {
		if e.post(ctx, e.opts.Hosts[(first+i)%len(e.opts.Hosts)], "/v1/backend/announce", e.NextAnnouncement()) || ctx.Err() != nil {
			return
		}
	}
}

// postTimeout limits one post, so that a stopped host delays the announcements to the
// other hosts by no more than this.
const postTimeout = time.Second

// post sends a message as JSON and reports whether the host answered with status 200.
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

// NextAnnouncement returns the next announcement and increments its sequence number.
func (e *Engine) NextAnnouncement() membership.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	s := membership.Server{
		Name: e.opts.Name, Service: e.opts.Service, Kind: config.KindEngine, DataCentre: e.opts.DataCentre,
		Address: e.announcedAddress(), Incarnation: e.opts.Incarnation, Sequence: e.sequence, Accelerators: 1,
		MemoryMiB: e.opts.MemoryMiB, Engine: "stand-in", ChecksFencing: e.opts.ChecksFencing,
		Leaving: e.leaving, NewestOrder: e.fence, Load: e.delayedLoad(),
	}
	for _, r := range e.reports {
		s.Models = append(s.Models, r)
	}
	return s
}

// delayedLoad returns the load as it was LoadReportDelay ago. The caller holds e.mu.
func (e *Engine) delayedLoad() membership.Load {
	now := time.Now()
	e.loadSamples = append(e.loadSamples, loadSample{now, membership.Load{Running: len(e.active), Queued: len(e.queue)}})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.opts.LoadReportDelay {
		e.loadSamples = e.loadSamples[1:]
	}
	return e.loadSamples[0].load
}

// triggerAnnouncement makes the announcement loop send an announcement at once.
func (e *Engine) triggerAnnouncement() {
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
}
