package orders

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

const engineMemoryMiB = 100

// engineProcess is the oracle's view of one backend server process.
type engineProcess struct {
	name        string
	incarnation uint64
	checks      bool
	down        bool
	sequence    uint64
	newest      uint64
	models      map[state.PlaceKey]membership.Report
	announced   []membership.Server
}

// controlHost is one control host's process with its own stale copies.
type controlHost struct {
	sender   state.Sender
	executor *Executor
	applied  int
	view     *state.State
	heard    map[string]int
	now      time.Duration
}

type flight struct {
	host    *controlHost
	process uint64
	order   Order
	// ended: the sender saw the connection end and counts on bounded execution.
	ended    bool
	deadline uint64
}

type world struct {
	log      []state.Command
	pending  []state.Command
	flights  []*flight
	engines  []*engineProcess
	hosts    []*controlHost
	restarts uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{}
	w.log = append(w.log, state.Command{Configure: &state.Configure{ChangeID: "first", Next: testConfiguration()}})
	for i := range 3 {
		e := &engineProcess{name: fmt.Sprintf("e%d", i), incarnation: 1, checks: i == 0, models: map[state.PlaceKey]membership.Report{}}
		w.engines = append(w.engines, e)
		e.announce()
	}
	for i := range 3 {
		h := &controlHost{sender: state.Sender{Host: fmt.Sprintf("h%d", i)}, heard: map[string]int{}}
		w.startHost(h)
		w.hosts = append(w.hosts, h)
	}
	_ = t
	return w
}

func (w *world) startHost(h *controlHost) {
	w.restarts++
	h.sender.Incarnation = w.restarts
	h.executor = New(h.sender)
	h.applied, h.view = 0, state.New()
	h.heard = map[string]int{}
}

// replay applies the first n log entries.
func (w *world) replay(n int) *state.State {
	s := state.New()
	for i, c := range w.log[:n] {
		s.Apply(uint64(i+1), c)
	}
	return s
}

func (e *engineProcess) announce() {
	e.sequence++
	s := membership.Server{
		Name: e.name, Service: "s", Incarnation: e.incarnation, Sequence: e.sequence,
		MemoryMiB: engineMemoryMiB, ChecksFencing: e.checks, NewestOrder: e.newest,
	}
	for _, r := range e.models {
		s.Models = append(s.Models, r)
	}
	e.announced = append(e.announced, s)
}

// accept executes an order as a real engine does: it trusts the sender.
func (e *engineProcess) accept(o Order) {
	if e.checks && o.Fence < e.newest {
		return
	}
	e.newest = max(e.newest, o.Fence)
	key := state.PlaceKey{Model: o.Key.Model, Adapter: o.Key.Adapter}
	r := membership.Report{Model: key.Model, Adapter: key.Adapter, Version: o.Version, Order: o.Fence, Phase: membership.ReportUnloading}
	old, had := e.models[key]
	held := had && old.Phase != membership.ReportAbsent
	switch {
	case o.Load && had && old.Phase == membership.ReportReady:
		r.Phase = membership.ReportReady
	case o.Load:
		r.Phase = membership.ReportLoading
	case !held:
		r.Phase = membership.ReportAbsent
	}
	e.models[key] = r
}

func (w *world) host(t *rapid.T) *controlHost {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
}

func (w *world) engine(t *rapid.T) *engineProcess {
	return w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
}

func (w *world) input(h *controlHost, leading bool) Input {
	in := Input{Now: h.now, State: h.view, Leading: leading}
	for _, e := range w.engines {
		if n := h.heard[e.name]; n > 0 {
			in.Servers = append(in.Servers, membership.Presence{Server: e.announced[n-1], Heard: h.now})
		}
	}
	for _, o := range w.hosts {
		in.Hosts = append(in.Hosts, membership.Host{Name: o.sender.Host, Incarnation: o.sender.Incarnation})
	}
	return in
}

// step runs one host's executor. Every host believes that it leads, so the
// lease gives no protection here.
func (w *world) step(t *rapid.T) { w.stepHost(w.host(t), rapid.Bool().Draw(t, "leading")) }

func (w *world) stepHost(h *controlHost, leading bool) {
	h.now += 700 * time.Millisecond
	out := h.executor.Step(w.input(h, leading))
	w.pending = append(w.pending, out.Commands...)
	for _, o := range out.Orders {
		w.flights = append(w.flights, &flight{host: h, order: o, process: w.engineOf(o).incarnation})
	}
}

// request proposes a load or unload that may be wrong in every respect.
func (w *world) request(t *rapid.T) {
	h, e := w.host(t), w.engine(t)
	model := fmt.Sprintf("m%d", rapid.IntRange(0, 2).Draw(t, "model"))
	adapter := ""
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		adapter = "a" + model
	}
	if rapid.Bool().Draw(t, "load") {
		w.pending = append(w.pending, state.Command{Load: &state.Load{Server: e.name, Incarnation: e.incarnation, Model: model, Adapter: adapter, Sender: h.sender}})
		return
	}
	w.pending = append(w.pending, state.Command{Unload: &state.Unload{Server: e.name, Incarnation: e.incarnation, Model: model, Adapter: adapter, Sender: h.sender}})
}

// commit appends one pending proposal, in any order, or drops it.
func (w *world) commit(t *rapid.T) {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(t, "proposal")
	c := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	if rapid.IntRange(0, 9).Draw(t, "fate") > 0 {
		w.log = append(w.log, c)
	}
}

func (w *world) catchUp(t *rapid.T) {
	h := w.host(t)
	w.applyTo(h, rapid.IntRange(h.applied, len(w.log)).Draw(t, "applied"))
}

func (w *world) applyTo(h *controlHost, n int) {
	for ; h.applied < n; h.applied++ {
		h.view.Apply(uint64(h.applied+1), w.log[h.applied])
	}
}

func (w *world) engineOf(o Order) *engineProcess {
	for _, e := range w.engines {
		if e.name == o.Key.Server {
			return e
		}
	}
	return nil
}

func (w *world) takeFlight(i int) *flight {
	f := w.flights[i]
	w.flights = append(w.flights[:i], w.flights[i+1:]...)
	return f
}

// deliver hands an order to whatever process now listens at the address.
func (w *world) deliver(t *rapid.T) {
	if len(w.flights) > 0 {
		w.deliverFlight(w.takeFlight(rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight")), rapid.Bool().Draw(t, "answered"))
	}
}

func (w *world) deliverFlight(f *flight, answered bool) {
	e := w.engineOf(f.order)
	if e.down || f.ended && e.incarnation != f.process {
		f.end(NotSent, e)
		return
	}
	if f.order.Probe {
		if answered && !f.ended {
			f.host.executor.Probed(f.order, e.incarnation, e.sequence, f.host.view)
		}
		return
	}
	e.accept(f.order)
	if answered {
		f.end(Answered, e)
	} else {
		f.end(MaybeSent, e)
	}
}

// end tells the sender, unless its process has ended or already gave up.
func (f *flight) end(d Delivery, e *engineProcess) {
	if !f.ended {
		f.host.executor.Ended(f.order, d, e.incarnation, e.sequence)
	}
}

// loseAnswer ends a connection whose order is still in the engine's buffers.
func (w *world) loseAnswer(t *rapid.T) {
	if len(w.flights) == 0 {
		return
	}
	f := w.flights[rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight")]
	e := w.engineOf(f.order)
	if f.ended || e.down || e.incarnation != f.process {
		return
	}
	f.end(MaybeSent, e)
	f.ended, f.deadline = true, e.sequence+executedWithin
}

func (w *world) finish(t *rapid.T) {
	e := w.engine(t)
	w.finishOn(e, rapid.IntRange(0, 5).Draw(t, "failure") == 0)
}

// finishOn ends the loads and unloads on one engine, without effect if fail is
// set.
func (w *world) finishOn(e *engineProcess, fail bool) {
	for key, r := range e.models {
		switch {
		case r.Phase == membership.ReportUnloading && !fail, r.Phase == membership.ReportLoading && fail:
			r.Phase = membership.ReportAbsent
		case r.Phase == membership.ReportLoading, r.Phase == membership.ReportUnloading:
			r.Phase = membership.ReportReady
		}
		e.models[key] = r
	}
}

// announce makes a report; buffered orders are executed within the bound.
func (w *world) announce(t *rapid.T) { w.announceOf(w.engine(t)) }

func (w *world) announceOf(e *engineProcess) {
	if e.down {
		return
	}
	for i := 0; i < len(w.flights); {
		f := w.flights[i]
		if w.engineOf(f.order) == e && f.ended && e.sequence+1 >= f.deadline {
			w.deliverFlight(w.takeFlight(i), false)
			continue
		}
		i++
	}
	e.announce()
}

func (w *world) hear(t *rapid.T) {
	h, e := w.host(t), w.engine(t)
	h.heard[e.name] = rapid.IntRange(h.heard[e.name], len(e.announced)).Draw(t, "heard")
}

// crash ends an engine process and, at a later call, starts the next one. A
// refused connection may be reported in between.
func (w *world) crash(t *rapid.T) {
	e := w.engine(t)
	if rapid.IntRange(0, 2).Draw(t, "chance") > 0 {
		return
	}
	if !e.down {
		e.down = true
		e.models = map[state.PlaceKey]membership.Report{}
		w.pending = append(w.pending, state.Command{Lose: &state.Lose{Server: e.name, Incarnation: e.incarnation}})
		return
	}
	e.down = false
	e.incarnation++
	e.sequence, e.newest = 0, 0
	e.announce()
}

// restartHost ends a control process: its transmissions have ended, though
// what it already wrote may still be executed by the same engine process.
func (w *world) restartHost(t *rapid.T) {
	h := w.host(t)
	if rapid.IntRange(0, 3).Draw(t, "chance") > 0 {
		return
	}
	kept := w.flights[:0]
	for _, f := range w.flights {
		e := w.engineOf(f.order)
		if f.host == h && !f.ended {
			if e.down || e.incarnation != f.process {
				continue
			}
			f.ended, f.deadline = true, e.sequence+executedWithin
		}
		kept = append(kept, f)
	}
	w.flights = kept
	w.startHost(h)
}

// checkLimits is the oracle: it looks only at what the engines hold.
func (w *world) checkLimits(t *rapid.T) {
	c := testConfiguration()
	replicas := map[string]int{}
	for _, e := range w.engines {
		var used int64
		for key, r := range e.models {
			if r.Phase == membership.ReportAbsent {
				continue
			}
			m, _ := c.Model(key.Model)
			if key.Adapter == "" {
				replicas[key.Model]++
				used += m.MemoryMiB + m.KVMiB
				continue
			}
			a, _ := c.Adapter(key.Adapter)
			used += a.MemoryMiB
		}
		if used > engineMemoryMiB {
			t.Fatalf("engine %s holds %d of %d MiB: %v", e.name, used, engineMemoryMiB, e.models)
		}
	}
	for _, m := range c.Models {
		if replicas[m.Name] > m.MaxReplicas {
			t.Fatalf("model %s has %d of %d replicas", m.Name, replicas[m.Name], m.MaxReplicas)
		}
	}
}

// round lets one host make progress with prompt links, so that histories reach
// deep states between the faults. Orders already in flight may stay delayed.
func (w *world) round(t *rapid.T) {
	h := w.host(t)
	old := len(w.flights)
	for range rapid.IntRange(1, 3).Draw(t, "rounds") {
		w.roundOf(h)
	}
	if rapid.Bool().Draw(t, "delay") {
		return
	}
	for len(w.flights) > old {
		w.deliverFlight(w.takeFlight(old), rapid.Bool().Draw(t, "answered"))
	}
}

func (w *world) roundOf(h *controlHost) {
	w.applyTo(h, len(w.log))
	for _, e := range w.engines {
		w.finishOn(e, false)
		w.announceOf(e)
		h.heard[e.name] = len(e.announced)
	}
	w.stepHost(h, true)
	w.log = append(w.log, w.pending...)
	w.pending = nil
}

// settleAll lets one leader work with prompt links until nothing is pending.
func (w *world) settleAll() {
	leader := w.hosts[0]
	for range 60 {
		for _, e := range w.engines {
			if e.down {
				e.down, e.sequence, e.newest = false, 0, 0
				e.incarnation++
			}
			w.finishOn(e, false)
			w.announceOf(e)
		}
		for _, h := range w.hosts {
			w.applyTo(h, len(w.log))
			for _, e := range w.engines {
				h.heard[e.name] = len(e.announced)
			}
			w.stepHost(h, h == leader)
		}
		w.log = append(w.log, w.pending...)
		w.pending = nil
		for len(w.flights) > 0 {
			w.deliverFlight(w.takeFlight(0), true)
		}
	}
}
