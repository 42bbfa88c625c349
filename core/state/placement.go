package state

import "slices"

// register records a server incarnation. An older incarnation is rejected; a newer
// one ends every placement of the older process.
func (s *State) register(r Register) Result {
	cur, known := s.Servers[r.Server]
	if known && r.Incarnation < cur.Incarnation {
		return reject(CodeStale, "server %s is at incarnation %d", r.Server, cur.Incarnation)
	}
	if known && r.Incarnation > cur.Incarnation {
		s.endIncarnation(r.Server, r.Incarnation)
	}
	s.Servers[r.Server] = Server{Register: r}
	return Result{}
}

// markLost records that an incarnation has ended or is presumed lost, and ends its
// placements.
func (s *State) markLost(m MarkLost) Result {
	cur, ok := s.Servers[m.Server]
	if !ok || cur.Incarnation != m.Incarnation {
		return reject(CodeStale, "server %s is not at incarnation %d", m.Server, m.Incarnation)
	}
	cur.Lost = true
	s.Servers[m.Server] = cur
	s.endIncarnation(m.Server, m.Incarnation)
	return Result{}
}

// endIncarnation removes the placements of a server process that has ended. If a
// copy of a load order may still be in flight, the placement stays held: the copy
// could reach the next process, which has no fencing number yet to reject it.
func (s *State) endIncarnation(server string, next uint64) {
	for k, p := range s.Placements {
		if k.Server != server {
			continue
		}
		if len(p.Copies) == 0 {
			delete(s.Placements, k)
			continue
		}
		p.Phase = PhaseHeld
		p.Incarnation = next
		p.MinSequence = 0
		s.Placements[k] = p
	}
}

// load opens a load intent. It enforces the replica limit and the memory limit of
// the server. Apart from adopt, no other method creates a placement.
func (s *State) load(l Load) Result {
	srv, rej := s.currentServer(l.Server, l.Incarnation)
	if rej != nil {
		return Result{Rejection: rej}
	}
	key := PlacementKey{l.Server, l.Model, l.Adapter}
	if p, ok := s.Placements[key]; ok && p.Phase != PhaseHeld {
		return reject(CodeBusy, "%s is already %s on server %s", l.Model, p.Phase, l.Server)
	}
	p, rej := s.newPlacement(srv, l)
	if rej != nil {
		return Result{Rejection: rej}
	}
	held := s.Placements[key]
	if s.reservedMiB(l.Server)-held.MemoryMiB+p.MemoryMiB > srv.MemoryMiB {
		return reject(CodeNoMemory, "%d MiB do not fit into the free memory of server %s", p.MemoryMiB, l.Server)
	}
	p.Phase, p.Fence = PhaseLoading, s.Index
	p.MinSequence = held.MinSequence
	p.Copies = append(slices.Clone(held.Copies), Copy{HostProcess: l.Sender, Index: s.Index})
	s.Placements[key] = p
	return Result{}
}

// newPlacement checks a load against the configuration and the replica limit, and
// returns its placement without the fields of the intent.
func (s *State) newPlacement(srv Server, l Load) (Placement, *Rejection) {
	m, ok := s.Config.Model(l.Model)
	if !ok || m.Service != srv.Service {
		return Placement{}, reject(CodeInvalid, "model %s is not a model of service %s", l.Model, srv.Service).Rejection
	}
	if l.Adapter == "" {
		if n := s.replicasExceptOn(l.Model, l.Server); n >= m.MaxReplicas {
			return Placement{}, reject(CodeReplicaLimit, "model %s already has %d of %d replicas", l.Model, n, m.MaxReplicas).Rejection
		}
		return Placement{Incarnation: l.Incarnation, Version: m.Version, MemoryMiB: m.MemoryMiB + m.KVMiB}, nil
	}
	a, ok := s.Config.Adapter(l.Adapter)
	if !ok || a.Model != l.Model {
		return Placement{}, reject(CodeInvalid, "adapter %s does not belong to model %s", l.Adapter, l.Model).Rejection
	}
	if base := s.Placements[PlacementKey{l.Server, l.Model, ""}]; base.Phase != PhaseReady {
		return Placement{}, reject(CodeNotPlaced, "model %s is not ready on server %s", l.Model, l.Server).Rejection
	}
	return Placement{Incarnation: l.Incarnation, Version: a.Version, MemoryMiB: a.MemoryMiB}, nil
}

// unload opens an unload intent. A model's adapters must be unloaded first.
func (s *State) unload(u Unload) Result {
	if _, rej := s.currentServer(u.Server, u.Incarnation); rej != nil {
		return Result{Rejection: rej}
	}
	key := PlacementKey{u.Server, u.Model, u.Adapter}
	p, ok := s.Placements[key]
	if !ok {
		return reject(CodeNotPlaced, "%s is not placed on server %s", u.Model, u.Server)
	}
	if p.Phase == PhaseUnloading {
		return reject(CodeBusy, "%s is already %s on server %s", u.Model, p.Phase, u.Server)
	}
	if u.Adapter == "" && s.hasAdapters(u.Server, u.Model) {
		return reject(CodeBusy, "adapters of model %s are still placed on server %s", u.Model, u.Server)
	}
	p.Phase, p.Fence = PhaseUnloading, s.Index
	s.Placements[key] = p
	return Result{}
}

func (s *State) hasAdapters(server, model string) bool {
	for k := range s.Placements {
		if k.Server == server && k.Model == model && k.Adapter != "" {
			return true
		}
	}
	return false
}

// closeIntent closes the newest intent of a placement. A command with another
// incarnation or fencing number is rejected.
func (s *State) closeIntent(c CloseIntent) Result {
	key := PlacementKey{c.Server, c.Model, c.Adapter}
	p, ok := s.Placements[key]
	if !ok || p.Incarnation != c.Incarnation || p.Fence != c.Fence {
		return reject(CodeStale, "no intent with fencing number %d for %s on server %s", c.Fence, c.Model, c.Server)
	}
	switch {
	case p.Phase == PhaseLoading && c.Loaded:
		p.Phase = PhaseReady
		s.Placements[key] = p
	case p.Phase == PhaseHeld && !c.Loaded && len(p.Copies) == 0 && c.Sequence > p.MinSequence:
		delete(s.Placements, key)
	case p.Phase == PhaseUnloading && c.Loaded:
		// The server rejected the unload order, so another unload order needs a
		// newer fencing number.
		p.Phase = PhaseSurplus
		s.Placements[key] = p
	case !c.Loaded && p.Phase != PhaseHeld:
		s.releaseOrHold(key, p, c.Sequence)
	default:
		return reject(CodeStale, "%s is %s on server %s", c.Model, p.Phase, c.Server)
	}
	return Result{}
}

// releaseOrHold removes a placement, or keeps it as held while a copy of a load
// order may still be executed. Fencing numbers do not allow an earlier removal: a
// restarted server process has none and would execute a late copy.
func (s *State) releaseOrHold(key PlacementKey, p Placement, sequence uint64) {
	if len(p.Copies) == 0 && sequence > p.MinSequence {
		delete(s.Placements, key)
		return
	}
	p.Phase = PhaseHeld
	s.Placements[key] = p
}

// permitCopy records one more permitted copy of the order of an open load intent.
func (s *State) permitCopy(c PermitCopy) Result {
	key := PlacementKey{c.Server, c.Model, c.Adapter}
	p, ok := s.Placements[key]
	if !ok || p.Fence != c.Fence || p.Phase != PhaseLoading {
		return reject(CodeStale, "no open load intent with fencing number %d for %s on server %s", c.Fence, c.Model, c.Server)
	}
	p.Copies = append(slices.Clone(p.Copies), Copy{HostProcess: c.Sender, Index: s.Index})
	s.Placements[key] = p
	return Result{}
}

// resolveCopies removes copies that can no longer be executed after the announcement with
// the sequence number in r: the copy with the given index, or all that a host process
// and its predecessors could have sent to the server.
func (s *State) resolveCopies(r ResolveCopies) Result {
	if r.Index != 0 {
		s.removeCopies(PlacementKey{r.Server, r.Model, r.Adapter}, r, func(c Copy) bool { return c.Index == r.Index })
		return Result{}
	}
	for k := range s.Placements {
		if k.Server == r.Server {
			s.removeCopies(k, r, func(c Copy) bool {
				return c.Host == r.Sender.Host && c.Incarnation <= r.Sender.Incarnation
			})
		}
	}
	return Result{}
}

// removeCopies removes the matching copies from a placement. If it belongs to the
// incarnation in r, its MinSequence is raised to the sequence number in r.
func (s *State) removeCopies(key PlacementKey, r ResolveCopies, match func(Copy) bool) {
	p, ok := s.Placements[key]
	if !ok || !slices.ContainsFunc(p.Copies, match) {
		return
	}
	p.Copies = slices.DeleteFunc(slices.Clone(p.Copies), match)
	if r.Incarnation == p.Incarnation {
		p.MinSequence = max(p.MinSequence, r.Sequence)
	}
	s.Placements[key] = p
}

// adopt creates a placement for a model or adapter that a server has loaded without
// one. The limits cannot be enforced on what is already loaded, so its phase is
// surplus.
func (s *State) adopt(a Adopt) Result {
	if _, rej := s.currentServer(a.Server, a.Incarnation); rej != nil {
		return Result{Rejection: rej}
	}
	key := PlacementKey{a.Server, a.Model, a.Adapter}
	if p, ok := s.Placements[key]; ok && p.Phase != PhaseHeld {
		return reject(CodeBusy, "%s is already %s on server %s", a.Model, p.Phase, a.Server)
	}
	p := s.Placements[key]
	p.Incarnation, p.Version, p.Phase, p.Fence = a.Incarnation, a.Version, PhaseSurplus, s.Index
	p.MemoryMiB = max(p.MemoryMiB, s.configuredMiB(a))
	s.Placements[key] = p
	return Result{}
}

// configuredMiB returns the configured memory of a model or adapter, or zero if it
// is not configured.
func (s *State) configuredMiB(a Adopt) int64 {
	if a.Adapter != "" {
		adapter, _ := s.Config.Adapter(a.Adapter)
		return adapter.MemoryMiB
	}
	m, _ := s.Config.Model(a.Model)
	return m.MemoryMiB + m.KVMiB
}

// currentServer returns the registered server, or a rejection if it is unknown, lost or
// has another incarnation.
func (s *State) currentServer(name string, incarnation uint64) (Server, *Rejection) {
	srv, ok := s.Servers[name]
	if !ok || srv.Lost {
		return srv, reject(CodeUnknownServer, "server %s is not registered", name).Rejection
	}
	if srv.Incarnation != incarnation {
		return srv, reject(CodeStale, "server %s is at incarnation %d", name, srv.Incarnation).Rejection
	}
	return srv, nil
}

// replicasExceptOn returns the number of replica slots that a model occupies on all
// servers except one.
func (s *State) replicasExceptOn(model, exceptServer string) int {
	n := 0
	for k := range s.Placements {
		if k.Model == model && k.Adapter == "" && k.Server != exceptServer {
			n++
		}
	}
	return n
}

// reservedMiB returns the memory of all placements on a server, in any phase.
func (s *State) reservedMiB(server string) int64 {
	var sum int64
	for k, p := range s.Placements {
		if k.Server == server {
			sum += p.MemoryMiB
		}
	}
	return sum
}
