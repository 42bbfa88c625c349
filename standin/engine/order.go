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

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := e.acceptOrder(o)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// phaseAfterFailure maps the phase during a load or unload to the phase after it, if
// the load or unload has no effect.
var phaseAfterFailure = map[membership.ReportPhase]membership.ReportPhase{
	membership.ReportLoading: membership.ReportAbsent, membership.ReportUnloading: membership.ReportReady,
}

// acceptOrder checks the fencing number and the incarnation of an order as the options
// say. It begins to execute an accepted order in another goroutine, or reports the
// final phase at once if there is nothing to do.
func (e *Engine) acceptOrder(o backend.Order) backend.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fence < e.fence {
		return backend.OrderAnswer{Reason: "old fencing number", AnnouncementPoint: e.announcedPoint()}
	}
	if e.opts.ChecksIncarnation && o.Incarnation != e.opts.Incarnation {
		return backend.OrderAnswer{Reason: "the order names another incarnation", AnnouncementPoint: e.announcedPoint()}
	}
	e.fence = max(e.fence, o.Fence)
	key := [2]string{o.Model, o.Adapter}
	if old := e.reports[key]; o.Kind != backend.UnloadModel && o.Kind != backend.UnloadAdapter &&
		old.Phase == membership.ReportReady && old.Version == o.Version {
		old.Order = o.Fence
		e.setReport(old)
		e.triggerAnnouncement()
		return backend.OrderAnswer{Accepted: true, AnnouncementPoint: e.announcedPoint()}
	}
	phase, finalPhase := membership.ReportUnloading, membership.ReportAbsent
	if o.Kind == backend.LoadModel || o.Kind == backend.LoadAdapter {
		phase, finalPhase = membership.ReportLoading, membership.ReportReady
	}
	r := membership.ModelReport{Model: o.Model, Adapter: o.Adapter, Version: o.Version, Phase: phase, Order: o.Fence}
	if old := e.reports[key].Phase; phase == membership.ReportUnloading && (old == "" || old == membership.ReportAbsent) {
		r.Phase = membership.ReportAbsent
		e.setReport(r)
		e.triggerAnnouncement()
		return backend.OrderAnswer{Accepted: true, AnnouncementPoint: e.announcedPoint()}
	}
	e.setReport(r)
	if f := e.opts.Faults.FailOrder; f != nil && f(o) {
		finalPhase = phaseAfterFailure[phase]
	}
	go e.executeOrder(o, key, finalPhase)
	return backend.OrderAnswer{Accepted: true, AnnouncementPoint: e.announcedPoint()}
}

// announcedPoint returns the incarnation and the sequence number of the latest
// announcement. The caller holds e.mu.
func (e *Engine) announcedPoint() backend.AnnouncementPoint {
	return backend.AnnouncementPoint{Incarnation: e.opts.Incarnation, Sequence: e.sequence}
}

// handleIncarnation answers GET /v1/incarnation.
func (e *Engine) handleIncarnation(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	p := e.announcedPoint()
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p)
}

// executeOrder waits for the duration of an order and then reports its final phase,
// unless a later order has replaced it. Models and adapters are loaded from the weight
// store if there is one.
func (e *Engine) executeOrder(o backend.Order, key [2]string, finalPhase membership.ReportPhase) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if e.opts.Store != nil && finalPhase == membership.ReportReady {
		load := e.opts.Store.LoadModel
		if o.Kind == backend.LoadAdapter {
			load = e.opts.Store.LoadAdapter
		}
		if err := load(ctx); err != nil {
			finalPhase = membership.ReportAbsent
		}
	}
	timer := time.NewTimer(e.opts.LoadTime)
	defer timer.Stop()
	select {
	case <-e.stopped:
		return
	case <-timer.C:
	}
	if finalPhase == membership.ReportAbsent && !e.awaitIdle(key) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.reports[key]; r.Order == o.Fence {
		r.Phase = finalPhase
		e.setReport(r)
		e.triggerAnnouncement()
	}
}

// idleCheckInterval is the time between two checks whether requests still use a model
// or adapter that is to be unloaded.
const idleCheckInterval = 5 * time.Millisecond

// awaitIdle waits until no request uses a model or adapter and reports whether the
// process still runs.
func (e *Engine) awaitIdle(key [2]string) bool {
	name := cmp.Or(key[1], key[0])
	usesTarget := func(j *job) bool { return j.request.Model == name }
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		e.mu.Lock()
		used := slices.ContainsFunc(e.active, usesTarget) || slices.ContainsFunc(e.queue, usesTarget)
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

// setReport replaces the report of one model or adapter. It does nothing after the
// process has ended, because an ended process holds no model. The caller holds e.mu.
func (e *Engine) setReport(r membership.ModelReport) {
	if e.ended {
		return
	}
	e.reports[[2]string{r.Model, r.Adapter}] = r
	e.opts.Holdings.setPhase(e.process(), Target{r.Model, r.Adapter}, r.Phase)
}

func (e *Engine) process() ProcessID {
	return ProcessID{e.opts.Name, e.opts.Incarnation}
}
