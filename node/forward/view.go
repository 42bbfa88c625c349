package forward

import (
	"slices"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// Holdings is what the leader says that the backend servers hold. It is safe
// for concurrent use.
type Holdings struct {
	mu      sync.Mutex
	servers map[string]residency.ServerHoldings
	changed chan struct{}
}

// NewHoldings returns empty holdings.
func NewHoldings() *Holdings {
	return &Holdings{servers: map[string]residency.ServerHoldings{}, changed: make(chan struct{})}
}

// Merge takes what the leader says. Whole replaces what was known.
func (h *Holdings) Merge(whole bool, list []residency.ServerHoldings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !whole && len(list) == 0 {
		return
	}
	if whole {
		clear(h.servers)
	}
	for _, s := range list {
		h.servers[s.Server] = s
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (h *Holdings) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *Holdings) of(server string, incarnation uint64) ([]residency.Holding, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.servers[server]
	if !ok || s.Incarnation != incarnation {
		return nil, false
	}
	return s.Holdings, true
}

// Refresh rebuilds what requests are decided by.
func (g *Gate) Refresh() {
	old := g.view.Load()
	next := &view{index: old.index}
	g.opts.Replica.View(func(s *state.State) {
		next.suspects = s.Suspects
		if s.Published == nil || next.index != nil && next.index.Table().Version == s.Published.Table.Version {
			return
		}
		table := s.Published.Table
		next.index = route.NewIndex(&table)
		g.opts.Decisions.Belief(decision.EventTable, decision.Fields{decision.FieldVersion: table.Version})
	})
	next.suspects = quarantined(next.suspects)
	g.view.Store(next)
	if next.index != nil {
		g.rebuild(next.index.Table())
	}
}

// quarantined copies the records that refuse a request.
func quarantined(all map[string]state.SuspectRecord) map[string]state.SuspectRecord {
	out := map[string]state.SuspectRecord{}
	for fp, rec := range all {
		if rec.Quarantined {
			out[fp] = rec
		}
	}
	return out
}

// servers returns the servers whose processes are not known to have ended.
func (g *Gate) servers() []membership.Presence {
	current := membership.Newest(g.opts.Servers())
	g.opts.Replica.View(func(s *state.State) {
		current = slices.DeleteFunc(current, func(p membership.Presence) bool {
			return s.HasEnded(p.Name, p.Incarnation, p.Sequence)
		})
	})
	return current
}

// rebuild gives the router the servers and what they hold.
func (g *Gate) rebuild(table *route.Table) {
	current := g.servers()
	var servers []routing.Server
	var replicas []routing.Replica
	outlooks := newOutlooks()
	for _, s := range current {
		svc, ok := table.Service(s.Service)
		if !ok {
			continue
		}
		servers = append(servers, routing.Server{
			Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Incarnation: s.Incarnation, Closed: s.Leaving,
		})
		if svc.Engine == nil {
			replicas = append(replicas, routing.Replica{Server: s.Name, Key: routing.Key{Service: s.Service}})
			continue
		}
		holdings := g.held(s)
		replicas = append(replicas, replicasOf(s, holdings)...)
		outlooks.add(s, svc.Engine, holdings)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.Rebuild(servers, replicas)
	clear(g.sequences)
	for _, s := range current {
		g.sequences[s.Name] = s.Sequence
		g.router.Seen(s.Name, s.Incarnation, s.Sequence)
	}
	g.outlooks = outlooks
	g.wake()
}

// held lists what a server holds: what the leader says, else what the server
// announced.
func (g *Gate) held(s membership.Presence) []residency.Holding {
	if holdings, ok := g.opts.Holdings.of(s.Name, s.Incarnation); ok {
		return holdings
	}
	var out []residency.Holding
	for _, m := range s.Models {
		out = append(out, residency.Holding{Target: residency.Target{Model: m.Model, Adapter: m.Adapter}, Phase: residency.Ready})
	}
	return out
}

// replicasOf lists the targets that a server is ready for.
func replicasOf(s membership.Presence, holdings []residency.Holding) []routing.Replica {
	var out []routing.Replica
	for _, h := range holdings {
		if h.Phase == residency.Ready {
			key := routing.Key{Service: s.Service, Model: h.Model, Adapter: h.Adapter}
			out = append(out, routing.Replica{Server: s.Name, Key: key})
		}
	}
	return out
}
