// Package placement decides which model and adapter is loaded on which backend
// server, and when it is unloaded. It is a pure function of its input.
package placement

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Demand is what entry hosts report for one model or adapter.
type Demand struct {
	Model   string
	Adapter string
	// Waiting counts queued requests; Running counts those being served.
	Waiting int
	Running int
	// Earliest is the first deadline among the waiting requests.
	Earliest time.Duration
	// LastArrival is when the newest request arrived.
	LastArrival time.Duration
}

// Input is everything that a plan depends on.
type Input struct {
	Now     time.Duration
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

// Planner holds what is learned between plans.
type Planner struct{}

// New returns a planner.
func New() *Planner { return &Planner{} }

// Plan returns the intents to propose now.
func (p *Planner) Plan(in Input) []Decision {
	var out []Decision
	for _, d := range in.Demand {
		if d.Waiting == 0 {
			continue
		}
		if l, ok := p.place(in, d); ok {
			out = append(out, Decision{Load: &l})
		}
	}
	return out
}

// place returns the load that a waiting model or adapter needs, if any.
func (p *Planner) place(in Input, d Demand) (state.Load, bool) {
	m, ok := in.State.Config.Model(d.Model)
	if !ok {
		return state.Load{}, false
	}
	for key, pl := range in.State.Placements {
		if key.Model != d.Model || key.Adapter != d.Adapter {
			continue
		}
		if pl.Phase == state.PhaseLoading || pl.Phase == state.PhaseReady {
			return state.Load{}, false
		}
	}
	for _, srv := range in.Servers {
		if srv.Silent || srv.Leaving || srv.Service != m.Service {
			continue
		}
		if d.Adapter != "" && in.State.Placements[state.PlaceKey{Server: srv.Name, Model: d.Model}].Phase != state.PhaseReady {
			continue
		}
		return state.Load{
			Server: srv.Name, Incarnation: srv.Incarnation,
			Model: d.Model, Adapter: d.Adapter, Sender: in.Sender,
		}, true
	}
	return state.Load{}, false
}
