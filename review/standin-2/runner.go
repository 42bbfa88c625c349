package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a model runner as the platform describes it. One value stands for one
// place in the deployment; a crash ends its process, and restart begins the next one.
type runner struct {
	fleet   *fleet
	rec     *record
	service string
	zone    string
	ip      string
	port    int
	plain   bool
	// copies are the models whose weights are on the runner's disk.
	copies []string

	// onRequest decides what becomes of a request. It may be nil.
	onRequest func(p *process, r *http.Request) verdict
	// onAdapterLoad is called when an adapter is to be loaded beside those that take a slot. It
	// returns whether the runner crashes of that.
	onAdapterLoad func(p *process, name string, held map[string]*adapter) bool
	// pace is the time between two events of a stream; zero means 20 ms.
	pace time.Duration
	// onRun is called when a request begins to run.
	onRun func(p *process, r *http.Request)

	mu      sync.Mutex
	current *process
	serial  int
}

// adapter is one adapter that a process loads, holds or unloads.
type adapter struct {
	ready, unloading bool
	runs             int
}

// verdict is what a runner does with a request.
type verdict int

const (
	serve verdict = iota
	// crashBefore ends the process before the first byte of the answer, crashAfterFirst right after
	// the first event.
	crashBefore
	crashAfterFirst
	// refuse turns the request away, refusePause with a Retry-After header.
	refuse
	refusePause
	// loseAnswer runs the request and closes the connection without an answer.
	loseAnswer
	// breakOff ends the connection in the middle of an answer that is a series of events.
	// wholeEvents answers with all of them.
	breakOff
	wholeEvents
)

// process is one process of a runner.
type process struct {
	r     *runner
	id    string
	born  int64
	ln    net.Listener
	srv   *http.Server
	ended chan struct{}
	once  sync.Once
	// quiet is closed when the process announces itself no more.
	quiet     chan struct{}
	quietOnce sync.Once
	pause     string

	mu     sync.Mutex
	models []string
	// adapters are those of the models, by MODEL/NAME. All of them take a slot.
	adapters map[string]*adapter
	busy     bool
	orders   uint64
	fence    uint64
	seq      uint64
	leaving  bool
	running  int
}

func (r *runner) start(models ...string) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(r.ip, strconv.Itoa(r.port)))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	r.port = ln.Addr().(*net.TCPAddr).Port
	p := &process{
		r: r, id: fmt.Sprintf("i-%s%d%03d", strings.ReplaceAll(r.ip, ".", ""), r.port, r.serial), born: time.Now().UnixMilli(), ln: ln,
		ended: make(chan struct{}), quiet: make(chan struct{}), models: slices.Clone(models),
		adapters: map[string]*adapter{},
	}
	p.srv = &http.Server{Handler: http.HandlerFunc(p.serve)}
	r.current = p
	go func() { _ = p.srv.Serve(ln) }()
	go p.announceAlways()
	return nil
}

// crash ends the process: nothing listens any more, and all connections close.
func (p *process) crash() {
	p.once.Do(func() {
		close(p.ended)
		_ = p.srv.Close()
	})
}

// crashAndReturn ends the process; the next one begins after the pause, and holds no models.
func (p *process) crashAndReturn(pause time.Duration) {
	first := false
	p.once.Do(func() {
		first = true
		close(p.ended)
		_ = p.srv.Close()
	})
	if !first {
		return
	}
	p.r.rec.add("runner-crashed", "runner", p.id)
	go func() {
		time.Sleep(pause)
		for range 20 {
			if p.r.start() == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// stopAnnouncing ends the heartbeats of a process that leaves.
func (p *process) stopAnnouncing() {
	p.quietOnce.Do(func() { close(p.quiet) })
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
}

func (p *process) address() string { return net.JoinHostPort(p.r.ip, strconv.Itoa(p.r.port)) }

func (p *process) describe() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	state := "ready"
	if p.leaving {
		state = "draining"
	}
	out := map[string]any{
		"Service": p.r.service, "Address": p.address(), "Zone": p.r.zone, "Version": "v1", "Slots": 96, "State": state,
		"ColdLeftMs": 0, "Seq": p.seq, "born": p.born,
	}
	if !p.r.plain {
		out["Stage"], out["Models"] = "both", p.held()
		out["Residency"] = map[string]any{"InMemory": []string{}, "OnDisk": p.r.copies}
	}
	return out
}

func (p *process) held() []map[string]any {
	out := []map[string]any{}
	for _, m := range p.models {
		adapters := []string{}
		for name, a := range p.adapters {
			if of, short, _ := strings.Cut(name, "/"); of == m && a.ready {
				adapters = append(adapters, short)
			}
		}
		slices.Sort(adapters)
		out = append(out, map[string]any{"Name": m, "Version": 1, "Adapters": adapters})
	}
	return out
}

// announce sends one heartbeat: to a control host, and to others until one acknowledges it.
func (p *process) announce() bool {
	body := toJSON(p.describe())
	for _, i := range rand.Perm(len(p.r.fleet.controls)) {
		n := p.r.fleet.controls[i]
		if p.callControl(http.MethodPut, n, body) {
			return true
		}
	}
	return false
}

func (p *process) callControl(method string, n *node, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/v1/instances/%s", n.ip, p.r.fleet.portControl, p.id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.r.fleet.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	return err == nil && resp.StatusCode/100 == 2
}

func (p *process) announceAlways() {
	for {
		p.announce()
		select {
		case <-p.ended:
			return
		case <-p.quiet:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (p *process) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusOK)
	case "/v1/report":
		p.mu.Lock()
		out := map[string]any{
			"Stage": "both", "Models": p.held(), "Busy": p.busy, "Seq": p.orders, "QueueDepth": 0, "ActiveRequests": p.running,
			"KvUsed": 0, "KvTotal": 156674, "Handles": 0, "born": p.born, "Incoming": p.incoming(),
		}
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(toJSON(out))
	case "/v1/order":
		p.order(w, r)
	default:
		p.request(w, r)
	}
}

// incoming lists the adapters that are being loaded. p.mu must be held.
func (p *process) incoming() []string {
	out := []string{}
	for name, a := range p.adapters {
		if !a.ready && !a.unloading {
			out = append(out, name+"@1")
		}
	}
	slices.Sort(out)
	return out
}

// orderAdapter carries out an order for an adapter and returns the status. An adapter that no
// request uses is unloaded at once; else the unload waits for its runs. p.mu must be held.
func (p *process) orderAdapter(operation, model, name string) int {
	if !slices.Contains(p.models, model) {
		return http.StatusBadRequest
	}
	key := model + "/" + name
	a := p.adapters[key]
	switch {
	case operation == "load" && a != nil && !a.unloading, operation != "load" && (a == nil || a.unloading):
		return http.StatusOK
	case operation == "load":
		if a != nil {
			return http.StatusConflict
		}
		if p.r.onAdapterLoad != nil && p.r.onAdapterLoad(p, key, p.adapters) {
			go p.crashAndReturn(3 * time.Second)
		}
		a = &adapter{}
		p.adapters[key] = a
		p.orders++
		time.AfterFunc(6*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			a.ready = true
		})
		return http.StatusAccepted
	case a.runs > 0 || !a.ready:
		p.orders++
		a.unloading = true
		return http.StatusAccepted
	}
	p.orders++
	delete(p.adapters, key)
	return http.StatusOK
}

// beginRun takes a place for a request, and returns the status with which it is refused, or 0.
func (p *process) beginRun(model, name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.r.plain {
		return 0
	}
	if !slices.Contains(p.models, model) {
		return http.StatusMisdirectedRequest
	}
	if name == "" {
		return 0
	}
	a := p.adapters[model+"/"+name]
	switch {
	case a == nil:
		return http.StatusMisdirectedRequest
	case a.unloading || !a.ready:
		return http.StatusServiceUnavailable
	}
	a.runs++
	return 0
}

// endRun ends the run of a request with an adapter.
func (p *process) endRun(model, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.adapters[model+"/"+name]; a != nil {
		if a.runs--; a.runs == 0 && a.unloading {
			delete(p.adapters, model+"/"+name)
		}
	}
}

// order carries out an order. All weights are on the runner's disk, so that a load takes 0.35 s.
func (p *process) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *uint64
		Fence                             uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	status := http.StatusAccepted
	switch holds := slices.Contains(p.models, o.Model); {
	case o.Fence < p.fence:
		status = http.StatusPreconditionFailed
	case p.busy || o.Precondition != nil && *o.Precondition != p.orders:
		status = http.StatusConflict
	case o.Adapter != "":
		status = p.orderAdapter(o.Operation, o.Model, o.Adapter)
	case holds == (o.Operation == "load"):
		status = http.StatusOK
	}
	p.fence = max(p.fence, o.Fence)
	p.r.rec.add("order", "runner", p.id, "operation", o.Operation, "model", o.Model, "adapter", o.Adapter, "holder", o.Holder, "fence", o.Fence, "status", status)
	if status == http.StatusAccepted && o.Adapter == "" {
		p.orders++
		p.busy = true
		go p.carryOut(o.Operation, o.Model)
	}
	w.WriteHeader(status)
}

func (p *process) carryOut(operation, model string) {
	time.Sleep(350 * time.Millisecond)
	p.mu.Lock()
	p.busy = false
	p.models = slices.DeleteFunc(p.models, func(m string) bool { return m == model })
	if operation == "load" {
		p.models = append(p.models, model)
	}
	p.mu.Unlock()
	select {
	case <-p.ended:
	default:
		p.announce()
	}
}

const eventsOfAStream = 5

// request runs one request of a client.
func (p *process) request(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	if p.isLeaving() {
		h.Set("Server-Leaving", "1")
	}
	model, name, _ := strings.Cut(r.Header.Get("Model"), "/")
	if status := p.beginRun(model, name); status != 0 {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer p.endRun(model, name)
	v := serve
	if p.r.onRequest != nil {
		v = p.r.onRequest(p, r)
	}
	switch v {
	case refuse, refusePause:
		if v == refusePause {
			h.Set("Retry-After", p.pause)
		}
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.r.onRun != nil {
		p.r.onRun(p, r)
	}
	p.rec("ran", r)
	if v == crashBefore {
		time.Sleep(20 * time.Millisecond)
		p.crashAndReturn(3 * time.Second)
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	p.running++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	if v == loseAnswer {
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	h.Set("Response-Stamp", "3e1b.07.5a2.600.0."+id)
	if v == breakOff || v == wholeEvents {
		p.answerEvents(w, v)
		return
	}
	if p.r.plain {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "done "+id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	pace := p.r.pace
	if pace == 0 {
		pace = 20 * time.Millisecond
	}
	for i := 1; i <= eventsOfAStream; i++ {
		time.Sleep(pace)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i); err != nil || flush.Flush() != nil {
			return
		}
		if v == crashAfterFirst {
			time.Sleep(20 * time.Millisecond)
			p.crashAndReturn(3 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
}

// answerEvents answers a safe request with a document of events without ids.
func (p *process) answerEvents(w http.ResponseWriter, v verdict) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= eventsOfAStream; i++ {
		_, _ = fmt.Fprintf(w, "data: %s-%d\n\n", p.id, i)
		_ = http.NewResponseController(w).Flush()
		if v == breakOff && i == 3 {
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *process) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

func (p *process) rec(what string, r *http.Request) {
	p.r.rec.add(what, "id", r.Header.Get("Request-Id"), "runner", p.id, "path", r.RequestURI, "prompt", shorten(r.Header.Get("Prompt-Prefix")))
}

func shorten(s string) string {
	if len(s) > 60 {
		return s[:60] + fmt.Sprintf("...(%d_parts)", 1+strings.Count(s, ","))
	}
	return s
}
