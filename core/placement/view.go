package placement

import (
	"cmp"
	"slices"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// configIndex finds models and adapters by name. Configuration lookups are
// linear, which is too slow for 63,000 adapters in every plan.
type configIndex struct {
	version  uint64
	built    bool
	config   *config.Configuration
	models   map[string]int
	adapters map[string]int
}

func (x *configIndex) refresh(c *config.Configuration) {
	same := x.built && x.version == c.Version && len(x.models) == len(c.Models) && len(x.adapters) == len(c.Adapters)
	x.config = c
	if same {
		return
	}
	x.built, x.version = true, c.Version
	x.models = make(map[string]int, len(c.Models))
	x.adapters = make(map[string]int, len(c.Adapters))
	for i, m := range c.Models {
		x.models[m.Name] = i
	}
	for i, a := range c.Adapters {
		x.adapters[a.Name] = i
	}
}

// wantedVersion returns the configured version of a target, and false when the
// target is no longer configured.
func (x *configIndex) wantedVersion(k state.PlaceKey) (string, bool) {
	if k.Adapter == "" {
		i, ok := x.models[k.Model]
		if !ok {
			return "", false
		}
		return x.config.Models[i].Version, true
	}
	i, ok := x.adapters[k.Adapter]
	if !ok || x.config.Adapters[i].Model != k.Model {
		return "", false
	}
	return x.config.Adapters[i].Version, true
}

// slot holds the fields of a placement that plans need.
type slot struct {
	Version   string
	MemoryMiB int64
	Phase     state.Phase
	Fence     uint64
}

// replicaView is a placement with the position of its server.
type replicaView struct {
	key       state.PlaceKey
	placement slot
	server    int
}

// serverView is one backend server as this plan sees it.
type serverView struct {
	name       string
	presence   *membership.Presence
	registered state.Server
	known      bool
	// usable servers are registered, heard from, and not leaving or lost.
	// Nothing is ordered on other servers.
	usable bool
	// open servers also accept loads: they hold nothing unaccounted for.
	open bool
	// surplus servers hold what package orders is about to unload.
	surplus bool
	// reservedMiB covers every phase; freeingMiB is the part being unloaded.
	reservedMiB int64
	freeingMiB  int64
	// unattributed is set while the server reports more running requests than
	// the hosts' demand accounts for. Any of its models may be running them.
	unattributed bool
	// claimed is memory promised to more urgent wants of this plan.
	claimed  int64
	models   []replicaView
	adapters []replicaView
}

func (s *serverView) freeMiB() int64 {
	return s.registered.MemoryMiB - s.reservedMiB - s.claimed
}

// accelerators returns how many accelerators a reservation occupies.
func (s *serverView) accelerators(mib int64) float64 {
	if s.presence == nil || s.registered.MemoryMiB == 0 {
		return 0
	}
	return float64(max(1, s.presence.Accelerators)) * float64(mib) / float64(s.registered.MemoryMiB)
}

// view indexes the state and the servers for one plan. Its slices and maps are
// reused between plans.
type view struct {
	servers []serverView
	byName  map[string]int
	models  map[string][]replicaView
	loading []replicaView
	// announced is how many of servers are in Input.Servers; the others are
	// known from placements alone.
	announced int
	// index is the state's index at the last build. changed is set once
	// decisions have altered the view.
	index   uint64
	changed bool
}

func (v *view) build(in Input) {
	if v.byName == nil {
		v.byName = map[string]int{}
		v.models = map[string][]replicaView{}
		v.changed = true
	}
	same := v.refresh(in)
	if v.changed || v.index != in.State.Index || !same {
		v.rebuild(in, same)
	}
	for i := range v.servers {
		srv := &v.servers[i]
		srv.claimed = 0
		pr := srv.presence
		srv.usable = pr != nil && srv.known && !srv.registered.Lost && !pr.Silent && !pr.Leaving &&
			pr.Incarnation == srv.registered.Incarnation
		srv.open = srv.usable && !srv.surplus && !v.unaccounted(i)
	}
}

// refresh takes over new announcements of the same servers. The placements are
// unchanged as long as the state's index is.
func (v *view) refresh(in Input) bool {
	if len(in.Servers) != v.announced {
		return false
	}
	for i := range in.Servers {
		if v.servers[i].name != in.Servers[i].Name {
			return false
		}
		v.servers[i].presence = &in.Servers[i]
	}
	return true
}

// rebuild reads the state. With sameServers, the positions of the servers are
// still right.
func (v *view) rebuild(in Input, sameServers bool) {
	sameServers = sameServers && len(v.servers) == len(in.Servers)
	v.index, v.changed, v.announced = in.State.Index, false, len(in.Servers)
	v.reset(sameServers)
	for i := range in.Servers {
		v.addServer(in, &in.Servers[i], in.Servers[i].Name, sameServers)
	}
	for k, pl := range in.State.Placements {
		v.addPlacement(in, k, pl)
	}
	for _, list := range v.models {
		sortReplicas(list)
	}
	sortReplicas(v.loading)
}

func (v *view) reset(sameServers bool) {
	if !sameServers {
		clear(v.byName)
	}
	for name, list := range v.models {
		v.models[name] = list[:0]
	}
	v.loading = v.loading[:0]
	v.servers = v.servers[:0]
}

func (v *view) addServer(in Input, pr *membership.Presence, name string, indexed bool) int {
	i := len(v.servers)
	if i < cap(v.servers) {
		v.servers = v.servers[:i+1]
	} else {
		v.servers = append(v.servers, serverView{})
	}
	old := v.servers[i]
	reg, known := in.State.Servers[name]
	v.servers[i] = serverView{
		name: name, presence: pr, registered: reg, known: known,
		models: old.models[:0], adapters: old.adapters[:0],
	}
	if !indexed {
		v.byName[name] = i
	}
	return i
}

func (v *view) addPlacement(in Input, k state.PlaceKey, pl state.Placement) {
	i, ok := v.byName[k.Server]
	if !ok {
		i = v.addServer(in, nil, k.Server, false)
	}
	srv := &v.servers[i]
	r := replicaView{key: k, server: i, placement: slot{pl.Version, pl.MemoryMiB, pl.Phase, pl.Fence}}
	srv.reservedMiB += pl.MemoryMiB
	if pl.Phase == state.PhaseUnloading {
		srv.freeingMiB += pl.MemoryMiB
	}
	srv.surplus = srv.surplus || pl.Phase == state.PhaseSurplus
	if pl.Phase == state.PhaseLoading {
		v.loading = append(v.loading, r)
	}
	if k.Adapter == "" {
		srv.models = append(srv.models, r)
		v.models[k.Model] = append(v.models[k.Model], r)
		return
	}
	srv.adapters = append(srv.adapters, r)
}

// replicas returns the placements of a target in every phase. Adapters are
// looked up on the servers of their model, since an index of all adapters
// would cost an allocation each in every plan.
func (v *view) replicas(t Target) []replicaView {
	if t.Adapter == "" {
		return v.models[t.Model]
	}
	var out []replicaView
	for _, m := range v.models[t.Model] {
		if r, ok := v.on(t, m.server); ok {
			out = append(out, r)
		}
	}
	return out
}

// count returns the ready and the loading replicas on servers that are heard
// from.
func (v *view) count(t Target) (ready, loading int) {
	for _, r := range v.replicas(t) {
		if !v.servers[r.server].usable {
			continue
		}
		switch r.placement.Phase {
		case state.PhaseReady:
			ready++
		case state.PhaseLoading:
			loading++
		}
	}
	return ready, loading
}

// on returns the replica of a target on one server.
func (v *view) on(t Target, server int) (replicaView, bool) {
	list := v.servers[server].models
	if t.Adapter != "" {
		list = v.servers[server].adapters
	}
	for _, r := range list {
		if r.key.Model == t.Model && r.key.Adapter == t.Adapter {
			return r, true
		}
	}
	return replicaView{}, false
}

// addLoading makes a decided load visible to the rest of the plan.
func (v *view) addLoading(key state.PlaceKey, server int, w want) {
	srv := &v.servers[server]
	r := replicaView{key: key, server: server, placement: slot{
		Phase: state.PhaseLoading, MemoryMiB: w.memoryMiB, Version: w.version,
	}}
	v.changed = true
	srv.reservedMiB += w.memoryMiB
	v.loading = append(v.loading, r)
	if key.Adapter == "" {
		srv.models = append(srv.models, r)
		v.models[key.Model] = append(v.models[key.Model], r)
		return
	}
	srv.adapters = append(srv.adapters, r)
}

// markUnloading makes a decided unload visible to the rest of the plan. It
// reports false if the placement is already being unloaded.
func (v *view) markUnloading(r replicaView) bool {
	srv := &v.servers[r.server]
	same := func(x replicaView) bool { return x.key == r.key }
	v.changed = true
	list, all := srv.models, v.models[r.key.Model]
	if r.key.Adapter != "" {
		list, all = srv.adapters, nil
	}
	i := slices.IndexFunc(list, same)
	if i < 0 {
		return true // reported by the server but not placed
	}
	if list[i].placement.Phase == state.PhaseUnloading {
		return false
	}
	list[i].placement.Phase = state.PhaseUnloading
	if j := slices.IndexFunc(all, same); j >= 0 {
		all[j].placement.Phase = state.PhaseUnloading
	}
	srv.freeingMiB += r.placement.MemoryMiB
	return true
}

// unaccounted reports whether a server holds something that no placement, or
// only a held one, accounts for.
func (v *view) unaccounted(server int) bool {
	srv := &v.servers[server]
	if srv.presence == nil {
		return false
	}
	for i := range srv.presence.Models {
		r := &srv.presence.Models[i]
		pl, placed := v.on(Target{r.Model, r.Adapter}, server)
		if r.Phase != membership.ReportAbsent && (!placed || pl.placement.Phase == state.PhaseHeld) {
			return true
		}
	}
	return false
}

func compareKeys(a, b state.PlaceKey) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

func compareTargets(a, b Target) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
