package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// Holdings stores the holdings of the backend servers as reported by the leader.
// It is safe for concurrent use.
type Holdings struct {
	mu      sync.Mutex
	servers map[string]residency.ServerHoldings
	changed chan struct{}
}

// NewHoldings returns empty holdings.
func NewHoldings() *Holdings {
	return &Holdings{servers: map[string]residency.ServerHoldings{}, changed: make(chan struct{})}
}

// Merge applies an update from the leader. A complete update replaces all previous
// holdings; any other replaces those of the listed servers.
func (h *Holdings) Merge(complete bool, list []residency.ServerHoldings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !complete && len(list) == 0 {
		return
	}
	if complete {
		clear(h.servers)
	}
	for _, s := range list {
		h.servers[s.Server] = s
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the holdings next change.
func (h *Holdings) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ofProcess returns the holdings of a server process, and false if the leader has
// not reported any for this incarnation.
func (h *Holdings) ofProcess(server string, incarnation uint64) ([]residency.Holding, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.servers[server]
	if !ok || s.Incarnation != incarnation {
		return nil, false
	}
	return s.Holdings, true
}

// Refresh updates the admission view and the router from the replica, the servers
// and their holdings.
func (f *Forwarder) Refresh() {
	f.refreshMu.Lock()
	defer f.refreshMu.Unlock()
	old := f.view.Load()
	next := &admissionView{index: old.index}
	f.opts.Replica.View(func(s *state.State) {
		next.suspects, next.appliedIndex = copySuspects(old.suspects, s), s.Index
		next.versions = s.SoftwareVersions
		if s.Published == nil || next.index != nil && next.index.Table().Version == s.Published.Table.Version {
			return
		}
		table := s.Published.Table
		next.index = route.NewIndex(&table)
		if f.opts.Quotas != nil {
			f.opts.Quotas.SetLimits(table.Accounts.Limits(f.opts.QuotaTolerance))
		}
		f.opts.Decisions.RecordStateChange(decision.EventTable, decision.Fields{decision.FieldVersion: table.Version, decision.FieldIndex: s.Index})
	})
	f.view.Store(next)
	if next.suspects != old.suspects {
		f.refuteAll(next.suspects)
	}
	if next.index != nil {
		f.rebuildRouter(next.index.Table())
	}
}

// liveServers returns the servers whose processes are not known to have ended.
func (f *Forwarder) liveServers(table *route.Table) []membership.ServerStatus {
	current := membership.WithoutSuperseded(f.opts.Servers(), func(service string) bool {
		_, ok := table.Service(service)
		return ok
	})
	f.opts.Replica.View(func(s *state.State) {
		current = slices.DeleteFunc(current, func(status membership.ServerStatus) bool {
			return s.HasEnded(status.Name, status.Incarnation, status.Sequence)
		})
	})
	return current
}

// serverView is what the router and the forecasters are built from.
type serverView struct {
	servers    []routing.Server
	replicas   []routing.Replica
	forecaster *forecaster
	// byVersion are forecasters that know the servers of one origin only.
	byVersion map[origin.Origin]*forecaster
	// nextReady is the next time at which a holding becomes ready without a further
	// report, or zero.
	nextReady time.Duration
}

// newServerView returns the view of the servers whose services are in the route table.
func (f *Forwarder) newServerView(table *route.Table, current []membership.ServerStatus) *serverView {
	v := &serverView{forecaster: newForecaster(), byVersion: map[origin.Origin]*forecaster{}}
	now := f.opts.Now()
	for _, s := range current {
		svc, ok := table.Service(s.Service)
		if !ok {
			continue
		}
		v.servers = append(v.servers, routing.Server{
			Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Incarnation: s.Incarnation, OutOfRotation: s.Leaving,
			SoftwareVersion: s.SoftwareVersion,
		})
		of := origin.Origin{Service: s.Service, Version: s.SoftwareVersion}
		if v.byVersion[of] == nil {
			v.byVersion[of] = newForecaster()
		}
		if svc.Engine == nil {
			v.byVersion[of].addPlainServer(s)
			v.replicas = append(v.replicas, routing.Replica{Server: s.Name, Key: routing.Key{Service: s.Service}})
			continue
		}
		holdings := f.holdingsOf(s)
		v.replicas = append(v.replicas, readyReplicas(now, s, holdings)...)
		v.forecaster.addServer(now, s, svc.Engine, holdings)
		v.byVersion[of].addServer(now, s, svc.Engine, holdings)
		v.nextReady = earliestReady(now, v.nextReady, holdings)
	}
	return v
}

// rebuildRouter updates the router and the forecasters from the servers and their
// holdings, and wakes the waiting requests.
func (f *Forwarder) rebuildRouter(table *route.Table) {
	current := f.liveServers(table)
	v := f.newServerView(table, current)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Rebuild(v.servers, v.replicas)
	clear(f.sequences)
	for _, s := range current {
		f.sequences[s.Name] = s.Sequence
		f.router.RecordAnnouncement(s.Name, s.Incarnation, s.Sequence)
	}
	f.forecaster, f.versionForecasters, f.nextReady = v.forecaster, v.byVersion, v.nextReady
	f.wakeWaiting()
}

// holdingsOf returns the holdings of a server as reported by the leader, or as
// announced by the server if the leader has not reported any.
func (f *Forwarder) holdingsOf(s membership.ServerStatus) []residency.Holding {
	if holdings, ok := f.opts.Holdings.ofProcess(s.Name, s.Incarnation); ok {
		return holdings
	}
	var out []residency.Holding
	for _, m := range s.Models {
		out = append(out, residency.Holding{Target: residency.Target{Model: m.Model, Adapter: m.Adapter}, Phase: residency.Ready})
	}
	return out
}

// isReady reports whether requests may be sent to a holding. The load of an adapter
// counts as ready from its acceptance on, but takes until ReadyAt.
func isReady(now time.Duration, h residency.Holding) bool {
	return h.Phase == residency.Ready && h.ReadyAt <= now
}

// readyReplicas returns a replica for each target that a server is ready for.
func readyReplicas(now time.Duration, s membership.ServerStatus, holdings []residency.Holding) []routing.Replica {
	var out []routing.Replica
	for _, h := range holdings {
		if isReady(now, h) {
			key := routing.Key{Service: s.Service, Model: h.Model, Adapter: h.Adapter}
			out = append(out, routing.Replica{Server: s.Name, Key: key})
		}
	}
	return out
}

// earliestReady returns the earlier of a time, where zero means none, and the next time
// at which one of the holdings becomes ready without a further report.
func earliestReady(now, earliest time.Duration, holdings []residency.Holding) time.Duration {
	for _, h := range holdings {
		if h.Phase == residency.Ready && h.ReadyAt > now && (earliest == 0 || h.ReadyAt < earliest) {
			earliest = h.ReadyAt
		}
	}
	return earliest
}

// untilNextReady returns the time until the next holding becomes ready without a
// further report, and false if there is none.
func (f *Forwarder) untilNextReady() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextReady == 0 {
		return 0, false
	}
	return max(0, f.nextReady-f.opts.Now()), true
}
