package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/core/admission"
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// view is the part of the replicated state that every request reads. It is
// built when the replica changes and is never modified.
type view struct {
	index    uint64
	callers  map[string]config.Caller // by the hex SHA-256 of the key
	names    map[string]routing.Key
	limits   map[string]int             // queue limit by model
	classes  map[string]admission.Class // default urgency by model
	plain    map[string]bool
	suspects map[string]state.SuspectRecord
	// routes are the inputs of the router's index.
	servers  []routing.Server
	replicas []routing.Replica
}

// identify returns the caller whose key a header carries. Without configured
// callers every caller is accepted.
func (v *view) identify(authorization string) (config.Caller, bool) {
	if len(v.callers) == 0 {
		return config.Caller{}, true
	}
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return config.Caller{}, false
	}
	sum := sha256.Sum256([]byte(key))
	c, ok := v.callers[hex.EncodeToString(sum[:])]
	return c, ok
}

func newView(s *state.State, now time.Duration, unixMS int64) *view {
	v := &view{
		index: s.Index, callers: map[string]config.Caller{}, names: map[string]routing.Key{},
		limits: map[string]int{}, classes: map[string]admission.Class{}, plain: map[string]bool{}, suspects: maps.Clone(s.Suspects),
	}
	for _, c := range s.Config.Callers {
		v.callers[strings.ToLower(c.KeySHA256)] = c
	}
	kinds := map[string]config.ServiceKind{}
	for _, svc := range s.Config.Services {
		kinds[svc.Name] = svc.Kind
		v.plain[svc.Name] = svc.Kind == config.KindPlain
	}
	models := map[string]config.Model{}
	for _, m := range s.Config.Models {
		models[m.Name] = m
		v.names[m.Name] = routing.Key{Service: m.Service, Model: m.Name}
		v.limits[m.Name] = m.QueueLimit
		// An empty urgency counts as standard.
		v.classes[m.Name], _ = admission.ParseClass(string(m.Urgency))
	}
	for _, a := range s.Config.Adapters {
		if m, ok := models[a.Model]; ok {
			v.names[a.Name] = routing.Key{Service: m.Service, Model: m.Name, Adapter: a.Name}
		}
	}
	v.addServers(s, now, unixMS)
	for k, p := range s.Placements {
		if m, ok := models[k.Model]; ok && p.Phase == state.PhaseReady {
			v.replicas = append(v.replicas, routing.Replica{
				Server: k.Server, Key: routing.Key{Service: m.Service, Model: k.Model, Adapter: k.Adapter},
			})
		}
	}
	return v
}

func (v *view) addServers(s *state.State, now time.Duration, unixMS int64) {
	trials := map[string]time.Duration{}
	for _, rec := range s.Suspects {
		if rec.Trial == nil {
			continue
		}
		left := time.Duration(rec.Trial.ExpiresMS-unixMS) * time.Millisecond
		if rec.Trial.ExpiresMS == 0 {
			left = maxTimeout
		}
		trials[rec.Trial.Server] = max(trials[rec.Trial.Server], now+left)
	}
	surplus := map[string]bool{}
	for k, p := range s.Placements {
		surplus[k.Server] = surplus[k.Server] || p.Phase == state.PhaseSurplus
	}
	for name, srv := range s.Servers {
		if srv.Lost {
			continue
		}
		v.servers = append(v.servers, routing.Server{
			Name: name, Address: srv.Address, DataCentre: srv.DataCentre, Incarnation: srv.Incarnation,
			Closed: surplus[name], TrialUntil: trials[name],
		})
		if v.plain[srv.Service] {
			v.replicas = append(v.replicas, routing.Replica{Server: name, Key: routing.Key{Service: srv.Service}})
		}
	}
}

// Refresh takes over the newest state of the replica at once. Run does so soon
// after each change.
func (e *Entry) Refresh() { e.refresh() }

// refresh brings the view, the router and the queues up to date.
func (e *Entry) refresh() {
	now, unixMS := e.opts.Now(), time.Now().UnixMilli()
	old, next := e.view.Load(), (*view)(nil)
	e.opts.Replica.View(func(s *state.State) {
		if old == nil || s.Index != old.index {
			next = newView(s, now, unixMS)
		}
	})
	presences := e.opts.Servers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if next == nil {
		next = e.view.Load()
	} else if current := e.view.Load(); current != nil && current.index > next.index {
		next = current
	}
	if next != old || e.presenceChanged(presences) {
		servers := closeServers(next.servers, presences)
		e.router.Rebuild(servers, next.replicas)
		e.view.Store(next)
	}
	for _, p := range presences {
		e.router.RecordLoad(p.Name, p.Incarnation, p.Sequence, p.Load.Running+p.Load.Queued)
	}
	for _, qu := range e.queues {
		e.dispatch(qu)
	}
	e.prune(now)
}

// closeServers closes the servers that leave, are silent or are not announced
// with the committed incarnation.
func closeServers(servers []routing.Server, presences []membership.ServerStatus) []routing.Server {
	out := append([]routing.Server(nil), servers...)
	at := make(map[string]int, len(out))
	for i, s := range out {
		at[s.Name] = i
	}
	for _, p := range presences {
		if i, ok := at[p.Name]; ok {
			out[i].Closed = out[i].Closed || p.Leaving || p.Silent || p.Incarnation != out[i].Incarnation
		}
	}
	return out
}

// presenceChanged reports whether a server left, fell silent, returned or
// restarted since the last call. The caller holds the lock.
func (e *Entry) presenceChanged(presences []membership.ServerStatus) bool {
	changed := len(presences) != len(e.presence)
	for _, p := range presences {
		mark := presenceMark{p.Incarnation, p.Leaving, p.Silent}
		if e.presence[p.Name] != mark {
			e.presence[p.Name] = mark
			changed = true
		}
	}
	return changed
}

// presenceMark is what closes a server.
type presenceMark struct {
	incarnation     uint64
	leaving, silent bool
}
