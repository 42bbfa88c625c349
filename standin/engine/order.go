package engine

import (
	"context"
	"encoding/json"
	"net/http"
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
	go e.execute(o, key, end)
	return backend.OrderAnswer{Accepted: true, Sequence: e.sequence}
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
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.reports[key]; r.Order == o.Fence {
		r.Phase = end
		e.reports[key] = r
		e.notify()
	}
}
