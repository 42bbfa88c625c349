// Package placement decides which model and adapter is loaded on which backend
// server, and when it is unloaded. A plan depends only on the input and on what
// was learned from earlier inputs.
package placement

import (
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Target names a model, or one of its adapters when Adapter is set.
type Target struct {
	Model   string
	Adapter string
}

// Urgency orders requests. The most urgent class is the lowest value.
type Urgency int

// Urgency classes, as in the X-Urgency header.
const (
	Interactive Urgency = iota
	Standard
	Patient
	urgencies
)

// ClassDemand is the part of a demand that belongs to one urgency class.
type ClassDemand struct {
	Waiting int
	// Earliest is the first deadline among the waiting requests.
	Earliest time.Duration
}

// Demand is what one entry host reports for one model or adapter. Several
// hosts may report the same target.
type Demand struct {
	Model   string
	Adapter string
	// Waiting counts queued requests; Running counts those being served.
	Waiting int
	Running int
	// Earliest is the first deadline among the waiting requests.
	Earliest time.Duration
	// LastArrival is when the newest request arrived. Zero means unknown.
	LastArrival time.Duration
	// Arrivals counts all requests for the target since the host started.
	Arrivals uint64
	// Classes splits Waiting by urgency. When it is empty, all waiting requests
	// count as standard.
	Classes [urgencies]ClassDemand
	// RunningOn counts running requests per backend server. Without it, every
	// replica of a target with running requests counts as busy.
	RunningOn map[string]int
}

// Input is everything that a plan depends on.
type Input struct {
	Now time.Duration
	// UnixMS is the wall clock, used for the time of day. Zero selects the
	// clock of State.
	UnixMS  int64
	State   *state.State
	Servers []membership.Presence
	Demand  []Demand
	Sender  state.Sender
}

// Decision is one intent to propose. Exactly one field is set.
type Decision struct {
	Load   *state.Load
	Unload *state.Unload
}

// idleInterval is how often idle replicas and pre-warming are evaluated. Both
// act on minutes, so evaluating them in every plan would only cost time.
const idleInterval = time.Second

// Planner holds what is learned between plans. It is not safe for concurrent
// use.
type Planner struct {
	retention Retention
	loads     *LoadTimes
	arrivals  *arrivals
	store     rateWindow
	flights   map[state.PlaceKey]flight
	failures  map[state.PlaceKey]failure
	outdated  map[state.PlaceKey]time.Duration
	lastBusy  map[state.PlaceKey]time.Duration
	ready     map[Target]Prediction
	index     configIndex
	view      view
	nextIdle  time.Duration
	queued    int
	idlePass  int
	out       []Decision
}

// New returns a planner that learns when to keep idle models.
func New() *Planner { return NewWithRetention(nil) }

// NewWithRetention returns a planner that keeps idle models as r decides. A
// nil r selects the learned policy.
func NewWithRetention(r Retention) *Planner {
	p := &Planner{
		loads:    NewLoadTimes(),
		arrivals: newArrivals(),
		flights:  map[state.PlaceKey]flight{},
		failures: map[state.PlaceKey]failure{},
		outdated: map[state.PlaceKey]time.Duration{},
		lastBusy: map[state.PlaceKey]time.Duration{},
		ready:    map[Target]Prediction{},
	}
	p.retention = r
	if r == nil {
		p.retention = p.arrivals
	}
	return p
}

// Plan returns the intents to propose now. Unloads that must precede a load
// are returned first, and the load follows in a later plan, once the state
// shows the memory as free.
func (p *Planner) Plan(in Input) []Decision {
	if in.UnixMS == 0 {
		in.UnixMS = in.State.ClockMS
	}
	p.out = nil
	p.queued = 0
	clear(p.ready)
	p.index.refresh(&in.State.Config)
	p.view.build(in)
	p.arrivals.observe(in, &p.view)
	p.arrivals.attribute(&p.view)
	p.observeFlights(in)
	p.store.configure(in.Now, storeRate(in.State.Config.Deployment))

	p.unloadSurplus(in)
	for _, w := range p.wanted(in) {
		p.serve(in, w)
	}
	if in.Now >= p.nextIdle {
		p.nextIdle = in.Now + idleInterval
		p.unloadIdle(in)
		p.prewarm(in)
	}
	return p.out
}

// serve starts the replicas that one want needs, or predicts when it can.
func (p *Planner) serve(in Input, w want) {
	var c candidate
	found, started := false, true
	for range w.replicas {
		c, found, started = p.load(in, w)
		if !started {
			break
		}
	}
	if w.waiting > 0 && w.readyReplicas == 0 {
		p.ready[w.target] = p.predict(in, w, c, found)
	}
	if found && !started && !c.mustWait {
		p.queued++
	}
}

// load starts one load for w, unless its memory or a limit makes it wait. It
// returns the chosen server, whether there is one, and whether the load
// started.
func (p *Planner) load(in Input, w want) (c candidate, found, started bool) {
	c, found = p.choose(in, w)
	if !found {
		return c, false, false
	}
	srv := &p.view.servers[c.server]
	p.evict(in, c)
	if c.mustWait || !p.admit(in, w.target, c.tier) {
		srv.claimed += w.memoryMiB
		return c, true, false
	}
	l := state.Load{
		Server: srv.name, Incarnation: srv.registered.Incarnation,
		Model: w.target.Model, Adapter: w.target.Adapter, Sender: in.Sender,
	}
	p.out = append(p.out, Decision{Load: &l})
	p.started(in, w, c)
	return c, true, true
}

// started records a load that this plan decided.
func (p *Planner) started(in Input, w want, c candidate) {
	key := state.PlaceKey{Server: p.view.servers[c.server].name, Model: w.target.Model, Adapter: w.target.Adapter}
	p.flights[key] = flight{tier: c.tier, since: in.Now, memoryMiB: w.memoryMiB, weightsMiB: w.weightsMiB, own: true}
	if w.target.Adapter == "" {
		p.lastBusy[key] = in.Now
	}
	if c.tier == membership.TierStore {
		p.store.start(in.Now)
	}
	p.view.addLoading(key, c.server, w)
}

// unload proposes to unload r. A model's adapters on the server go first,
// because the state refuses to unload a model that still has adapters.
func (p *Planner) unload(in Input, r replicaView) {
	if r.key.Adapter != "" {
		p.unloadOne(in, r)
		return
	}
	blocked := false
	for _, a := range p.view.servers[r.server].adapters {
		if a.key.Model != r.key.Model {
			continue
		}
		blocked = true
		if a.placement.Phase == state.PhaseReady {
			p.unloadOne(in, a)
		}
	}
	if !blocked {
		p.unloadOne(in, r)
	}
}

func (p *Planner) unloadOne(in Input, r replicaView) {
	srv := &p.view.servers[r.server]
	if !srv.usable || !p.view.markUnloading(r) {
		return
	}
	p.out = append(p.out, Decision{Unload: &state.Unload{
		Server: r.key.Server, Incarnation: srv.registered.Incarnation,
		Model: r.key.Model, Adapter: r.key.Adapter, Sender: in.Sender,
	}})
}

// evict unloads the victims of a candidate.
func (p *Planner) evict(in Input, c candidate) {
	for _, v := range c.victims {
		p.unload(in, v)
	}
}

// sortReplicas orders replicas by server, so that a plan does not
// depend on map order.
func sortReplicas(list []replicaView) {
	slices.SortFunc(list, func(a, b replicaView) int {
		if a.server != b.server {
			return a.server - b.server
		}
		return compareKeys(a.key, b.key)
	})
}
