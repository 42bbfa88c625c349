// Package engine is a small model engine for tests and the dev command. It
// speaks the same HTTP as a real engine: announcements, orders and streamed
// completions.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

// Options describe one engine.
type Options struct {
	Name       string
	Service    string
	DataCentre string
	Listen     string
	// Hosts are entry host addresses to announce to.
	Hosts         []string
	MemoryMiB     int64
	ChecksFencing bool
	LoadTime      time.Duration
	TokenTime     time.Duration
}

// announceInterval is the time between announcements without a change.
const announceInterval = time.Second

// Engine is a running stand-in.
type Engine struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	changed  chan struct{}

	mu       sync.Mutex
	sequence uint64
	fence    uint64
	reports  map[[2]string]membership.Report
	running  int
}

// Start listens and begins to announce.
func Start(ctx context.Context, opts Options) (*Engine, error) {
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", opts.Name, err)
	}
	e := &Engine{opts: opts, listener: l, changed: make(chan struct{}, 1), reports: map[[2]string]membership.Report{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("POST /v1/chat/completions", e.completion)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	go e.announce(ctx)
	return e, nil
}

// Address is where the engine listens.
func (e *Engine) Address() string { return e.listener.Addr().String() }

// Close stops the engine at once.
func (e *Engine) Close() error { return e.server.Close() }

func (e *Engine) announce(ctx context.Context) {
	incarnation := uint64(time.Now().UnixNano())
	for i := 0; ; i++ {
		e.announceOnce(ctx, incarnation, e.opts.Hosts[i%len(e.opts.Hosts)])
		select {
		case <-ctx.Done():
			return
		case <-e.changed:
		case <-time.After(announceInterval):
		}
	}
}

func (e *Engine) announceOnce(ctx context.Context, incarnation uint64, host string) {
	data, err := json.Marshal(e.announcement(incarnation))
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/backend/announce", bytes.NewReader(data))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (e *Engine) announcement(incarnation uint64) membership.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	s := membership.Server{
		Name: e.opts.Name, Service: e.opts.Service, Kind: config.KindEngine, DataCentre: e.opts.DataCentre,
		Address: e.Address(), Incarnation: incarnation, Sequence: e.sequence, Accelerators: 1,
		MemoryMiB: e.opts.MemoryMiB, Engine: "stand-in", ChecksFencing: e.opts.ChecksFencing,
		Load: membership.Load{Running: e.running},
	}
	for _, r := range e.reports {
		s.Models = append(s.Models, r)
	}
	return s
}

func (e *Engine) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := e.accept(o)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *Engine) accept(o backend.Order) backend.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fence < e.fence {
		return backend.OrderAnswer{Reason: "old fencing number", Sequence: e.sequence}
	}
	e.fence = max(e.fence, o.Fence)
	key := [2]string{o.Model, o.Adapter}
	phase, end := membership.ReportUnloading, membership.ReportAbsent
	if o.Kind == backend.LoadModel || o.Kind == backend.LoadAdapter {
		phase, end = membership.ReportLoading, membership.ReportReady
	}
	e.reports[key] = membership.Report{Model: o.Model, Adapter: o.Adapter, Version: o.Version, Phase: phase, Order: o.Fence}
	time.AfterFunc(e.opts.LoadTime, func() { e.finish(key, o.Fence, end) })
	return backend.OrderAnswer{Accepted: true, Sequence: e.sequence}
}

func (e *Engine) finish(key [2]string, fence uint64, phase membership.ReportPhase) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.reports[key]; r.Order == fence {
		r.Phase = phase
		e.reports[key] = r
		e.notify()
	}
}

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (e *Engine) completion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n := max(q.MaxTokens, 1)
	if !q.Stream {
		time.Sleep(time.Duration(n) * e.opts.TokenTime)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`,
			q.Model, strings.Repeat("token ", n))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range n {
		time.Sleep(e.opts.TokenTime)
		_, _ = fmt.Fprintf(w, "data: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token%d \"}}]}\n\n", q.Model, i)
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
