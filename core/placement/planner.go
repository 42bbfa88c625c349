// Package placement decides which models and adapters are loaded on which backend
// servers, and when they are unloaded. A plan depends only on its input and on what
// was learned from earlier inputs.
package placement

import (
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Target identifies a model or, if Adapter is set, one of its adapters.
type Target struct {
	Model   string
	Adapter string
}

// Urgency is the urgency class of a request. Lower values are more urgent.
type Urgency int

// Urgency classes, as in the X-Urgency header.
const (
	Interactive Urgency = iota
	Standard
	Patient
	urgencyClassCount // number of classes
)

// ClassDemand is the part of a Demand that belongs to one urgency class.
type ClassDemand struct {
	Waiting int
	// EarliestDeadline is the earliest deadline of the waiting requests; zero means
	// none.
	EarliestDeadline time.Duration
}

// Demand is the demand that one entry host reports for one model or adapter. Several
// hosts may report the same target.
type Demand struct {
	Model   string
	Adapter string
	// Waiting is the number of queued requests, Running the number of requests being
	// served.
	Waiting int
	Running int
	// EarliestDeadline is the earliest deadline of the waiting requests; zero means
	// none.
	EarliestDeadline time.Duration
	// LastArrival is when the most recent request arrived. Zero means unknown.
	LastArrival time.Duration
	// Arrivals counts all requests for the target since the host started.
	Arrivals uint64
	// Classes splits Waiting by urgency. If it is empty, all waiting requests count
	// as Standard.
	Classes [urgencyClassCount]ClassDemand
	// RunningOn is the number of running requests per backend server. If it is nil,
	// every replica of a target with running requests counts as busy.
	RunningOn map[string]int
	// Bound is the part of Waiting that resumes streams, by the software version of servers
	// that began them. Only its servers can serve it. This package does not use it: the
	// streams that it places are resumed on the same server.
	Bound []origin.BoundDemand
}

// Input is everything that a plan depends on, apart from what was learned.
type Input struct {
	// Now is the current time. Deadlines and arrival times use the same clock.
	Now time.Duration
	// UnixMS is the wall clock, used for the time of day. If it is zero, the clock
	// of State is used.
	UnixMS  int64
	State   *state.State
	Servers []membership.ServerStatus
	Demand  []Demand
	Sender  state.HostProcess
}

// Decision is one intent to propose. Exactly one field is set.
type Decision struct {
	Load   *state.Load
	Unload *state.Unload
}

// idleCheckInterval is how often idle replicas and pre-warming are evaluated. Both
// work on a scale of minutes, so evaluating them in every plan would waste time.
const idleCheckInterval = time.Second

// Planner computes plans and holds what is learned between them. It is not safe for
// concurrent use.
type Planner struct {
	retention    RetentionPolicy
	loads        *LoadTimes
	arrivals     *arrivalTracker
	storeLimiter rateWindow
	pendingLoads map[state.PlacementKey]pendingLoad
	failures     map[state.PlacementKey]failure
	// outdatedSince is when unloading a replica of an old version was first
	// decided.
	outdatedSince map[state.PlacementKey]time.Duration
	// lastBusy is when a replica was last in use. A replica without a record counts as
	// in use at its first check.
	lastBusy      map[state.PlacementKey]time.Duration
	predictions   map[Target]Prediction
	index         configIndex
	view          clusterView
	nextIdleCheck time.Duration
	queuedLoads   int // load requests of this plan that wait for a limit
	idleChecks    int // number of idle checks so far
	decisions     []Decision
}

// New returns a Planner that learns when to keep idle models.
func New() *Planner { return NewWithRetention(nil) }

// NewWithRetention returns a Planner that uses r to decide which idle models stay
// loaded. If r is nil, it uses the learned policy.
func NewWithRetention(r RetentionPolicy) *Planner {
	p := &Planner{
		loads:         NewLoadTimes(),
		arrivals:      newArrivalTracker(),
		pendingLoads:  map[state.PlacementKey]pendingLoad{},
		failures:      map[state.PlacementKey]failure{},
		outdatedSince: map[state.PlacementKey]time.Duration{},
		lastBusy:      map[state.PlacementKey]time.Duration{},
		predictions:   map[Target]Prediction{},
	}
	p.retention = r
	if r == nil {
		p.retention = p.arrivals
	}
	return p
}

// Plan returns the intents to propose now. If a load needs memory to be freed, only
// the unloads are returned; the load follows in a later plan, once the state shows
// the memory as free.
func (p *Planner) Plan(in Input) []Decision {
	if in.UnixMS == 0 {
		in.UnixMS = in.State.ClockMS
	}
	p.decisions = nil
	p.queuedLoads = 0
	clear(p.predictions)
	p.index.update(&in.State.Config)
	p.view.update(in)
	p.arrivals.observe(in, &p.view)
	p.arrivals.markUnattributed(&p.view)
	p.observePendingLoads(in)
	p.storeLimiter.configure(in.Now, storeRate(in.State.Config.Deployment))

	p.unloadObsolete(in)
	for _, req := range p.loadRequests(in) {
		p.startReplicas(in, req)
	}
	if in.Now >= p.nextIdleCheck {
		p.nextIdleCheck = in.Now + idleCheckInterval
		p.unloadIdle(in)
		p.prewarm(in)
	}
	return p.decisions
}

// startReplicas starts as many of the requested replicas as possible. If requests
// wait and no replica is ready, it predicts when the first one will be.
func (p *Planner) startReplicas(in Input, req loadRequest) {
	var c candidate
	found, started := false, true
	for range req.replicas {
		c, found, started = p.startLoad(in, req)
		if !started {
			break
		}
	}
	if req.waiting > 0 && req.readyReplicas == 0 {
		p.predictions[req.target] = p.predict(in, req, c, found)
	}
	if found && !started && !c.waitsForMemory {
		p.queuedLoads++
	}
}

// startLoad starts one load for req, unless it has to wait for memory or for a
// limit. It returns the chosen server, whether there is one, and whether the load
// started.
func (p *Planner) startLoad(in Input, req loadRequest) (c candidate, found, started bool) {
	c, found = p.chooseServer(in, req)
	if !found {
		return c, false, false
	}
	srv := &p.view.servers[c.server]
	p.unloadVictims(in, c)
	if c.waitsForMemory || !p.withinLimits(in, req.target, c.tier) {
		srv.setAsideMiB += req.memoryMiB
		return c, true, false
	}
	l := state.Load{
		Server: srv.name, Incarnation: srv.registered.Incarnation,
		Model: req.target.Model, Adapter: req.target.Adapter, Sender: in.Sender,
	}
	p.decisions = append(p.decisions, Decision{Load: &l})
	p.recordLoad(in, req, c)
	return c, true, true
}

// recordLoad records a load that this plan decided.
func (p *Planner) recordLoad(in Input, req loadRequest, c candidate) {
	key := state.PlacementKey{Server: p.view.servers[c.server].name, Model: req.target.Model, Adapter: req.target.Adapter}
	p.pendingLoads[key] = pendingLoad{tier: c.tier, start: in.Now, memoryMiB: req.memoryMiB, weightsMiB: req.weightsMiB, startedHere: true}
	if req.target.Adapter == "" {
		p.lastBusy[key] = in.Now
	}
	if c.tier == membership.TierStore {
		p.storeLimiter.recordStart(in.Now)
	}
	p.view.addLoading(key, c.server, req)
}

// unload proposes to unload r. If the server still has adapters of a model, it
// proposes to unload these instead, because the state rejects the unload of a model
// that has adapters.
func (p *Planner) unload(in Input, r replicaView) {
	if r.key.Adapter != "" {
		p.proposeUnload(in, r)
		return
	}
	blocked := false
	for _, a := range p.view.servers[r.server].adapterReplicas {
		if a.key.Model != r.key.Model {
			continue
		}
		blocked = true
		if a.placement.Phase == state.PhaseReady {
			p.proposeUnload(in, a)
		}
	}
	if !blocked {
		p.proposeUnload(in, r)
	}
}

func (p *Planner) proposeUnload(in Input, r replicaView) {
	srv := &p.view.servers[r.server]
	if !srv.usable || !p.view.markUnloading(r) {
		return
	}
	p.decisions = append(p.decisions, Decision{Unload: &state.Unload{
		Server: r.key.Server, Incarnation: srv.registered.Incarnation,
		Model: r.key.Model, Adapter: r.key.Adapter, Sender: in.Sender,
	}})
}

// unloadVictims proposes to unload the victims of a candidate.
func (p *Planner) unloadVictims(in Input, c candidate) {
	for _, v := range c.victims {
		p.unload(in, v)
	}
}

// sortReplicas orders replicas by server and key, so that a plan does not depend on
// the order of map iteration.
func sortReplicas(list []replicaView) {
	slices.SortFunc(list, func(a, b replicaView) int {
		if a.server != b.server {
			return a.server - b.server
		}
		return compareKeys(a.key, b.key)
	})
}
