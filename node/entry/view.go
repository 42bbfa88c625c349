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

// view is an immutable copy of the part of the replicated state that requests read. A new
// view is built when the replica changes.
type view struct {
	index uint64
	*configView
	suspects map[string]state.SuspectRecord
	// servers and replicas are the inputs of the router's index.
	servers  []routing.Server
	replicas []routing.Replica
}

// configView is the immutable part of a view that depends on the configuration alone. Views of
// one version share it: with 63,000 adapters it takes tens of milliseconds to build, and the
// log has many entries that change no configuration.
type configView struct {
	version        uint64
	callers        map[string]config.Caller // by the hexadecimal SHA-256 of the caller's key
	keysByName     map[string]routing.Key
	services       map[string]string          // service by model
	queueLimits    map[string]int             // queue limit by model
	defaultClasses map[string]admission.Class // default class by model
	plainServices  map[string]bool
}

// identify returns the caller whose key is in an Authorization header. If no callers are
// configured, every request is accepted.
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

func newConfigView(c config.Configuration) *configView {
	v := &configView{
		version: c.Version, callers: map[string]config.Caller{}, keysByName: map[string]routing.Key{}, services: map[string]string{},
		queueLimits: map[string]int{}, defaultClasses: map[string]admission.Class{}, plainServices: map[string]bool{},
	}
	for _, caller := range c.Callers {
		v.callers[strings.ToLower(caller.KeySHA256)] = caller
	}
	for _, svc := range c.Services {
		v.plainServices[svc.Name] = svc.Kind == config.KindPlain
	}
	for _, m := range c.Models {
		v.services[m.Name] = m.Service
		v.keysByName[m.Name] = routing.Key{Service: m.Service, Model: m.Name}
		v.queueLimits[m.Name] = m.QueueLimit
		// ParseClass returns the standard class for an empty urgency.
		v.defaultClasses[m.Name], _ = admission.ParseClass(string(m.Urgency))
	}
	for _, a := range c.Adapters {
		if service, ok := v.services[a.Model]; ok {
			v.keysByName[a.Name] = routing.Key{Service: service, Model: a.Model, Adapter: a.Name}
		}
	}
	return v
}

// newView returns a view of s. It shares what is the same in old, which may be nil.
func newView(old *view, s *state.State, now time.Duration, unixMS int64) *view {
	v := &view{index: s.Index, suspects: maps.Clone(s.Suspects)}
	if old != nil && old.version == s.Config.Version {
		v.configView = old.configView
	} else {
		v.configView = newConfigView(s.Config)
	}
	v.addServers(s, now, unixMS)
	for k, p := range s.Placements {
		if service, ok := v.services[k.Model]; ok && p.Phase == state.PhaseReady {
			v.replicas = append(v.replicas, routing.Replica{
				Server: k.Server, Key: routing.Key{Service: service, Model: k.Model, Adapter: k.Adapter},
			})
		}
	}
	return v
}

// addServers adds the servers that are not lost, and the replicas of the plain services.
// Servers with a surplus placement are out of rotation, and a server with a trial is
// reserved until the trial expires.
func (v *view) addServers(s *state.State, now time.Duration, unixMS int64) {
	trials := map[string]time.Duration{}
	for _, rec := range s.Suspects {
		if rec.Trial == nil {
			continue
		}
		remaining := time.Duration(rec.Trial.ExpiresMS-unixMS) * time.Millisecond
		if rec.Trial.ExpiresMS == 0 {
			remaining = maxTimeout
		}
		trials[rec.Trial.Server] = max(trials[rec.Trial.Server], now+remaining)
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
			OutOfRotation: surplus[name], TrialUntil: trials[name],
		})
		if v.plainServices[srv.Service] {
			v.replicas = append(v.replicas, routing.Replica{Server: name, Key: routing.Key{Service: srv.Service}})
		}
	}
}

// Refresh reads the latest state of the replica at once. Run does so shortly after each
// change.
func (e *Entry) Refresh() { e.refresh() }

// refresh updates the view, the router and the queues from the replica and the status of
// the servers.
func (e *Entry) refresh() {
	now, unixMS := e.opts.Now(), time.Now().UnixMilli()
	old, next := e.view.Load(), (*view)(nil)
	e.opts.Replica.View(func(s *state.State) {
		if old == nil || s.Index != old.index {
			next = newView(old, s, now, unixMS)
		}
	})
	statuses := e.opts.Servers()
	e.mu.Lock()
	defer e.mu.Unlock()
	if next == nil {
		next = e.view.Load()
	} else if current := e.view.Load(); current != nil && current.index > next.index {
		next = current
	}
	if next != old || e.serverStateChanged(statuses) {
		servers := withOutOfRotation(next.servers, statuses)
		e.router.Rebuild(servers, next.replicas)
		e.view.Store(next)
	}
	for _, status := range statuses {
		e.router.RecordLoad(status.Name, status.Incarnation, status.Sequence, status.Load.Running+status.Load.Queued)
	}
	for _, queue := range e.queues {
		e.dispatch(queue)
	}
	e.removeUnused(now)
}

// withOutOfRotation returns a copy of servers in which those that are leaving, are silent
// or announce another incarnation than the committed one are out of rotation.
func withOutOfRotation(servers []routing.Server, statuses []membership.ServerStatus) []routing.Server {
	out := append([]routing.Server(nil), servers...)
	indexByName := make(map[string]int, len(out))
	for i, s := range out {
		indexByName[s.Name] = i
	}
	for _, status := range statuses {
		if i, ok := indexByName[status.Name]; ok {
			out[i].OutOfRotation = out[i].OutOfRotation || status.Leaving || status.Silent || status.Incarnation != out[i].Incarnation
		}
	}
	return out
}

// serverStateChanged reports whether a server began to leave, became silent, returned or
// restarted since the last call. The caller holds e.mu.
func (e *Entry) serverStateChanged(statuses []membership.ServerStatus) bool {
	changed := len(statuses) != len(e.serverStates)
	for _, status := range statuses {
		current := serverState{status.Incarnation, status.Leaving, status.Silent}
		if e.serverStates[status.Name] != current {
			e.serverStates[status.Name] = current
			changed = true
		}
	}
	return changed
}

// serverState is the part of a server's status that decides whether it is out of
// rotation.
type serverState struct {
	incarnation     uint64
	leaving, silent bool
}
