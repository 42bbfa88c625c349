package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

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

// without is the state that a load or unload without effect leaves.
var without = map[membership.ReportPhase]membership.ReportPhase{
	membership.ReportLoading: membership.ReportAbsent, membership.ReportUnloading: membership.ReportReady,
}

func (e *Engine) accept(o backend.Order) backend.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fence < e.fence {
		return backend.OrderAnswer{Reason: "old fencing number", Point: e.point()}
	}
	if e.opts.ChecksIncarnation && o.Incarnation != e.opts.Incarnation {
		return backend.OrderAnswer{Reason: "another process is meant", Point: e.point()}
	}
	e.fence = max(e.fence, o.Fence)
	key := [2]string{o.Model, o.Adapter}
	if old := e.reports[key]; o.Kind != backend.UnloadModel && o.Kind != backend.UnloadAdapter &&
		old.Phase == membership.ReportReady && old.Version == o.Version {
		old.Order = o.Fence
		e.report(old)
		e.notify()
		return backend.OrderAnswer{Accepted: true, Point: e.point()}
	}
	phase, end := membership.ReportUnloading, membership.ReportAbsent
	if o.Kind == backend.LoadModel || o.Kind == backend.LoadAdapter {
		phase, end = membership.ReportLoading, membership.ReportReady
	}
	r := membership.ModelReport{Model: o.Model, Adapter: o.Adapter, Version: o.Version, Phase: phase, Order: o.Fence}
	if old := e.reports[key].Phase; phase == membership.ReportUnloading && (old == "" || old == membership.ReportAbsent) {
		r.Phase = membership.ReportAbsent
		e.report(r)
		e.notify()
		return backend.OrderAnswer{Accepted: true, Point: e.point()}
	}
	e.report(r)
	if f := e.opts.Faults.FailOrder; f != nil && f(o) {
		end = without[phase]
	}
	go e.execute(o, key, end)
	return backend.OrderAnswer{Accepted: true, Point: e.point()}
}

// point is how far the engine has announced itself. The caller holds e.mu.
func (e *Engine) point() backend.Point {
	return backend.Point{Incarnation: e.opts.Incarnation, Sequence: e.sequence}
}

// current answers GET /v1/incarnation.
func (e *Engine) current(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	p := e.point()
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p)
}

// execute takes the time of an order and then reports its end. Checkpoints
// come from the weight store if there is one.
func (e *Engine) execute(o backend.Order, key [2]string, end membership.ReportPhase) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if e.opts.Store != nil && end == membership.ReportReady {
		load := e.opts.Store.Model
		if o.Kind == backend.LoadAdapter {
			load = e.opts.Store.Adapter
		}
		if err := load(ctx); err != nil {
			end = membership.ReportAbsent
		}
	}
	timer := time.NewTimer(e.opts.LoadTime)
	defer timer.Stop()
	select {
	case <-e.stopped:
		return
	case <-timer.C:
	}
	if end == membership.ReportAbsent && !e.awaitIdle(key) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.reports[key]; r.Order == o.Fence {
		r.Phase = end
		e.report(r)
		e.notify()
	}
}

// idleInterval is how often an unload looks whether its requests have ended.
const idleInterval = 5 * time.Millisecond

// awaitIdle waits for the running requests of a model or adapter and reports
// whether the process still runs.
func (e *Engine) awaitIdle(key [2]string) bool {
	name := cmp.Or(key[1], key[0])
	uses := func(j *job) bool { return j.request.Model == name }
	tick := time.NewTicker(idleInterval)
	defer tick.Stop()
	for {
		e.mu.Lock()
		used := slices.ContainsFunc(e.active, uses) || slices.ContainsFunc(e.queue, uses)
		e.mu.Unlock()
		if !used {
			return true
		}
		select {
		case <-e.stopped:
			return false
		case <-tick.C:
		}
	}
}

// report replaces the state of one model or adapter. A process that has ended
// holds nothing. The caller holds e.mu.
func (e *Engine) report(r membership.ModelReport) {
	if e.down {
		return
	}
	e.reports[[2]string{r.Model, r.Adapter}] = r
	e.opts.Holdings.set(e.process(), Target{r.Model, r.Adapter}, r.Phase)
}

func (e *Engine) process() Process {
	return Process{e.opts.Name, e.opts.Incarnation}
}
