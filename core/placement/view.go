package placement

import (
	"cmp"
	"slices"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// configIndex finds models and adapters by name. The lookups of the configuration
// itself are linear, which is too slow for 63,000 adapters in every plan.
type configIndex struct {
	version  uint64
	built    bool
	config   *config.Configuration
	models   map[string]int
	adapters map[string]int
}

// update rebuilds the index if the version or the size of the configuration has
// changed.
func (x *configIndex) update(c *config.Configuration) {
	unchanged := x.built && x.version == c.Version && len(x.models) == len(c.Models) && len(x.adapters) == len(c.Adapters)
	x.config = c
	if unchanged {
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

// configuredVersion returns the configured version of a target, and false if the
// target is no longer configured.
func (x *configIndex) configuredVersion(k state.PlacementKey) (string, bool) {
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

// placementInfo holds the fields of a placement that plans use.
type placementInfo struct {
	Version   string
	MemoryMiB int64
	Phase     state.Phase
	Fence     uint64
}

// replicaView is a placement with the index of its server in clusterView.servers.
type replicaView struct {
	key       state.PlacementKey
	placement placementInfo
	server    int
}

// serverView is the view of one backend server during a plan.
type serverView struct {
	name string
	// status is the server's element of Input.Servers, or nil if there is none.
	status *membership.ServerStatus
	// registered is the server's record in the state; isRegistered is false if
	// there is none.
	registered   state.Server
	isRegistered bool
	// usable is set if the server is registered with its current incarnation and is
	// neither silent nor leaving nor lost. Plans load and unload nothing on other
	// servers.
	usable bool
	// acceptsLoads is set if the server is usable, has no surplus targets and holds
	// nothing that the placements do not account for.
	acceptsLoads bool
	// hasSurplus is set if the server holds targets that package orders is about to
	// unload.
	hasSurplus bool
	// reservedMiB is the memory of all placements; freeingMiB is the part of it that
	// is being unloaded.
	reservedMiB int64
	freeingMiB  int64
	// unattributed is set if the server reports more running requests than the
	// demand of the hosts accounts for. Any of its models may be running them.
	unattributed bool
	// setAsideMiB is the memory set aside for more urgent load requests of this plan
	// that could not start yet.
	setAsideMiB     int64
	modelReplicas   []replicaView
	adapterReplicas []replicaView
}

func (s *serverView) freeMiB() int64 {
	return s.registered.MemoryMiB - s.reservedMiB - s.setAsideMiB
}

// acceleratorsFor returns how many accelerators a memory reservation occupies.
func (s *serverView) acceleratorsFor(mib int64) float64 {
	if s.status == nil || s.registered.MemoryMiB == 0 {
		return 0
	}
	return float64(max(1, s.status.Accelerators)) * float64(mib) / float64(s.registered.MemoryMiB)
}

// clusterView indexes the state and the servers for one plan. Its slices and maps
// are reused between plans.
type clusterView struct {
	servers           []serverView
	serverByName      map[string]int
	replicasByModel   map[string][]replicaView
	loadingPlacements []replicaView
	// withStatus is how many elements of servers come from Input.Servers. The
	// remaining ones are known only from placements.
	withStatus int
	// stateIndex is the index of the state at the last rebuild. changed is set once
	// decisions have modified the view since then.
	stateIndex uint64
	changed    bool
}

// update brings the view up to date. The placements are read again only if the index
// of the state, the list of servers or the view itself has changed.
func (v *clusterView) update(in Input) {
	if v.serverByName == nil {
		v.serverByName = map[string]int{}
		v.replicasByModel = map[string][]replicaView{}
		v.changed = true
	}
	sameServers := v.refreshStatuses(in)
	if v.changed || v.stateIndex != in.State.Index || !sameServers {
		v.rebuild(in, sameServers)
	}
	for i := range v.servers {
		srv := &v.servers[i]
		srv.setAsideMiB = 0
		status := srv.status
		srv.usable = status != nil && srv.isRegistered && !srv.registered.Lost && !status.Silent && !status.Leaving &&
			status.Incarnation == srv.registered.Incarnation
		srv.acceptsLoads = srv.usable && !srv.hasSurplus && !v.hasUnaccountedTargets(i)
	}
}

// refreshStatuses replaces the status of each server with that in Input.Servers. It
// returns false if the list of servers has changed.
func (v *clusterView) refreshStatuses(in Input) bool {
	if len(in.Servers) != v.withStatus {
		return false
	}
	for i := range in.Servers {
		if v.servers[i].name != in.Servers[i].Name {
			return false
		}
		v.servers[i].status = &in.Servers[i]
	}
	return true
}

// rebuild reads the servers and placements anew. If sameServers is set, the indexes
// of the servers are still valid.
func (v *clusterView) rebuild(in Input, sameServers bool) {
	sameServers = sameServers && len(v.servers) == len(in.Servers)
	v.stateIndex, v.changed, v.withStatus = in.State.Index, false, len(in.Servers)
	v.reset(sameServers)
	for i := range in.Servers {
		v.addServer(in, &in.Servers[i], in.Servers[i].Name, sameServers)
	}
	for k, pl := range in.State.Placements {
		v.addPlacement(in, k, pl)
	}
	for _, list := range v.replicasByModel {
		sortReplicas(list)
	}
	sortReplicas(v.loadingPlacements)
}

func (v *clusterView) reset(sameServers bool) {
	if !sameServers {
		clear(v.serverByName)
	}
	for name, list := range v.replicasByModel {
		v.replicasByModel[name] = list[:0]
	}
	v.loadingPlacements = v.loadingPlacements[:0]
	v.servers = v.servers[:0]
}

func (v *clusterView) addServer(in Input, status *membership.ServerStatus, name string, indexed bool) int {
	i := len(v.servers)
	if i < cap(v.servers) {
		v.servers = v.servers[:i+1]
	} else {
		v.servers = append(v.servers, serverView{})
	}
	previous := v.servers[i]
	reg, known := in.State.Servers[name]
	v.servers[i] = serverView{
		name: name, status: status, registered: reg, isRegistered: known,
		modelReplicas: previous.modelReplicas[:0], adapterReplicas: previous.adapterReplicas[:0],
	}
	if !indexed {
		v.serverByName[name] = i
	}
	return i
}

func (v *clusterView) addPlacement(in Input, k state.PlacementKey, pl state.Placement) {
	i, ok := v.serverByName[k.Server]
	if !ok {
		i = v.addServer(in, nil, k.Server, false)
	}
	srv := &v.servers[i]
	r := replicaView{key: k, server: i, placement: placementInfo{pl.Version, pl.MemoryMiB, pl.Phase, pl.Fence}}
	srv.reservedMiB += pl.MemoryMiB
	if pl.Phase == state.PhaseUnloading {
		srv.freeingMiB += pl.MemoryMiB
	}
	srv.hasSurplus = srv.hasSurplus || pl.Phase == state.PhaseSurplus
	if pl.Phase == state.PhaseLoading {
		v.loadingPlacements = append(v.loadingPlacements, r)
	}
	if k.Adapter == "" {
		srv.modelReplicas = append(srv.modelReplicas, r)
		v.replicasByModel[k.Model] = append(v.replicasByModel[k.Model], r)
		return
	}
	srv.adapterReplicas = append(srv.adapterReplicas, r)
}

// replicas returns the placements of a target in all phases. Adapters are looked up
// on the servers of their model, since an index of all adapters would cost one
// allocation per adapter in every plan.
func (v *clusterView) replicas(t Target) []replicaView {
	if t.Adapter == "" {
		return v.replicasByModel[t.Model]
	}
	var out []replicaView
	for _, m := range v.replicasByModel[t.Model] {
		if r, ok := v.replicaOn(t, m.server); ok {
			out = append(out, r)
		}
	}
	return out
}

// countReplicas returns the numbers of ready and of loading replicas on usable
// servers.
func (v *clusterView) countReplicas(t Target) (ready, loading int) {
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

// replicaOn returns the replica of a target on one server, and false if there is
// none.
func (v *clusterView) replicaOn(t Target, server int) (replicaView, bool) {
	list := v.servers[server].modelReplicas
	if t.Adapter != "" {
		list = v.servers[server].adapterReplicas
	}
	for _, r := range list {
		if r.key.Model == t.Model && r.key.Adapter == t.Adapter {
			return r, true
		}
	}
	return replicaView{}, false
}

// addLoading adds a load decided by this plan to the view.
func (v *clusterView) addLoading(key state.PlacementKey, server int, req loadRequest) {
	srv := &v.servers[server]
	r := replicaView{key: key, server: server, placement: placementInfo{
		Phase: state.PhaseLoading, MemoryMiB: req.memoryMiB, Version: req.version,
	}}
	v.changed = true
	srv.reservedMiB += req.memoryMiB
	v.loadingPlacements = append(v.loadingPlacements, r)
	if key.Adapter == "" {
		srv.modelReplicas = append(srv.modelReplicas, r)
		v.replicasByModel[key.Model] = append(v.replicasByModel[key.Model], r)
		return
	}
	srv.adapterReplicas = append(srv.adapterReplicas, r)
}

// markUnloading marks a replica whose unload this plan decided. It returns false if
// the replica is already being unloaded.
func (v *clusterView) markUnloading(r replicaView) bool {
	srv := &v.servers[r.server]
	sameKey := func(x replicaView) bool { return x.key == r.key }
	v.changed = true
	list, modelList := srv.modelReplicas, v.replicasByModel[r.key.Model]
	if r.key.Adapter != "" {
		list, modelList = srv.adapterReplicas, nil
	}
	i := slices.IndexFunc(list, sameKey)
	if i < 0 {
		return true // reported by the server but without a placement
	}
	if list[i].placement.Phase == state.PhaseUnloading {
		return false
	}
	list[i].placement.Phase = state.PhaseUnloading
	if j := slices.IndexFunc(modelList, sameKey); j >= 0 {
		modelList[j].placement.Phase = state.PhaseUnloading
	}
	srv.freeingMiB += r.placement.MemoryMiB
	return true
}

// hasUnaccountedTargets reports whether a server holds a target that has no
// placement, or only one in PhaseHeld.
func (v *clusterView) hasUnaccountedTargets(server int) bool {
	srv := &v.servers[server]
	if srv.status == nil {
		return false
	}
	for i := range srv.status.Models {
		r := &srv.status.Models[i]
		pl, placed := v.replicaOn(Target{r.Model, r.Adapter}, server)
		if r.Phase != membership.ReportAbsent && (!placed || pl.placement.Phase == state.PhaseHeld) {
			return true
		}
	}
	return false
}

func compareKeys(a, b state.PlacementKey) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

func compareTargets(a, b Target) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
