package state

import "slices"

// register records a server incarnation. An older incarnation is refused, and
// a newer one ends every placement of the older process.
func (s *State) register(r Register) Result {
	cur, known := s.Servers[r.Server]
	if known && r.Incarnation < cur.Incarnation {
		return reject(CodeStale, "server %s is at incarnation %d", r.Server, cur.Incarnation)
	}
	if known && r.Incarnation == cur.Incarnation && cur.Lost {
		return s.reinstate(r)
	}
	if known && r.Incarnation > cur.Incarnation {
		s.endIncarnation(r.Server, r.Incarnation)
	}
	s.Servers[r.Server] = Server{Register: r}
	return Result{}
}

// reinstate records that a server presumed lost still runs. Its placements
// were given up, so what it still holds is surplus and must be unloaded before
// it gets work.
func (s *State) reinstate(r Register) Result {
	s.Servers[r.Server] = Server{Register: r, Returned: true}
	return Result{}
}

func (s *State) lose(l Lose) Result {
	cur, ok := s.Servers[l.Server]
	if !ok || cur.Incarnation != l.Incarnation {
		return reject(CodeStale, "server %s is not at incarnation %d", l.Server, l.Incarnation)
	}
	cur.Lost = true
	s.Servers[l.Server] = cur
	s.endIncarnation(l.Server, l.Incarnation)
	return Result{}
}

// endIncarnation drops the placements of a server process that has ended. On a
// server that ignores fencing numbers, a load order that may still be in
// flight could reach the next process, so its slot stays held.
func (s *State) endIncarnation(server string, next uint64) {
	checks := s.Servers[server].ChecksFencing
	for k, p := range s.Placements {
		if k.Server != server {
			continue
		}
		if checks || len(p.LoadSenders) == 0 {
			delete(s.Placements, k)
			continue
		}
		p.Phase = PhaseHeld
		p.Incarnation = next
		s.Placements[k] = p
	}
}

// load opens a load intent. It enforces the replica limit and the memory of
// the server; no other code path creates a placement.
func (s *State) load(l Load) Result {
	srv, rej := s.liveServer(l.Server, l.Incarnation)
	if rej != nil {
		return Result{Rejection: rej}
	}
	key := PlaceKey{l.Server, l.Model, l.Adapter}
	if p, ok := s.Placements[key]; ok && p.Phase != PhaseHeld {
		return reject(CodeBusy, "%s is already %s on %s", l.Model, p.Phase, l.Server)
	}
	p, rej := s.describe(srv, l)
	if rej != nil {
		return Result{Rejection: rej}
	}
	held := s.Placements[key]
	if s.reservedMiB(l.Server)-held.MemoryMiB+p.MemoryMiB > srv.MemoryMiB {
		return reject(CodeNoMemory, "%d MiB do not fit on %s", p.MemoryMiB, l.Server)
	}
	p.Phase, p.Fence = PhaseLoading, s.Index
	p.LoadSenders = addSender(held.LoadSenders, l.Sender)
	s.Placements[key] = p
	return Result{}
}

// describe checks a load against the configuration and returns the placement.
func (s *State) describe(srv Server, l Load) (Placement, *Rejection) {
	m, ok := s.Config.Model(l.Model)
	if !ok || m.Service != srv.Service {
		return Placement{}, reject(CodeInvalid, "model %s is not served by %s", l.Model, srv.Service).Rejection
	}
	if l.Adapter == "" {
		if n := s.otherReplicas(l.Model, l.Server); n >= m.MaxReplicas {
			return Placement{}, reject(CodeReplicaLimit, "model %s has %d of %d replicas", l.Model, n, m.MaxReplicas).Rejection
		}
		return Placement{Incarnation: l.Incarnation, Version: m.Version, MemoryMiB: m.MemoryMiB + m.KVMiB}, nil
	}
	a, ok := s.Config.Adapter(l.Adapter)
	if !ok || a.Model != l.Model {
		return Placement{}, reject(CodeInvalid, "adapter %s does not belong to model %s", l.Adapter, l.Model).Rejection
	}
	if base := s.Placements[PlaceKey{l.Server, l.Model, ""}]; base.Phase != PhaseReady {
		return Placement{}, reject(CodeNotPlaced, "model %s is not ready on %s", l.Model, l.Server).Rejection
	}
	return Placement{Incarnation: l.Incarnation, Version: a.Version, MemoryMiB: a.MemoryMiB}, nil
}

// unload opens an unload intent. A model's adapters must be unloaded first.
func (s *State) unload(u Unload) Result {
	srv, rej := s.liveServer(u.Server, u.Incarnation)
	if rej != nil {
		return Result{Rejection: rej}
	}
	key := PlaceKey{u.Server, u.Model, u.Adapter}
	p, ok := s.Placements[key]
	if !ok && srv.Returned {
		p, ok = s.surplus(u), true
	}
	if !ok {
		return reject(CodeNotPlaced, "%s is not placed on %s", u.Model, u.Server)
	}
	if p.Phase == PhaseUnloading {
		return reject(CodeBusy, "%s is already %s on %s", u.Model, p.Phase, u.Server)
	}
	if u.Adapter == "" && s.hasAdapters(u.Server, u.Model) {
		return reject(CodeBusy, "adapters of %s are still placed on %s", u.Model, u.Server)
	}
	p.Phase, p.Fence = PhaseUnloading, s.Index
	s.Placements[key] = p
	return Result{}
}

// surplus describes what a returned server holds without a placement, so that
// it can be unloaded and counts against the limits until then.
func (s *State) surplus(u Unload) Placement {
	p := Placement{Incarnation: u.Incarnation}
	if a, ok := s.Config.Adapter(u.Adapter); u.Adapter != "" && ok {
		p.Version, p.MemoryMiB = a.Version, a.MemoryMiB
	} else if m, ok := s.Config.Model(u.Model); u.Adapter == "" && ok {
		p.Version, p.MemoryMiB = m.Version, m.MemoryMiB+m.KVMiB
	}
	return p
}

func (s *State) hasAdapters(server, model string) bool {
	for k := range s.Placements {
		if k.Server == server && k.Model == model && k.Adapter != "" {
			return true
		}
	}
	return false
}

// settle closes an intent. A report that does not name the newest intent's
// fencing number changes nothing.
func (s *State) settle(t Settle) Result {
	key := PlaceKey{t.Server, t.Model, t.Adapter}
	p, ok := s.Placements[key]
	if !ok || p.Incarnation != t.Incarnation || p.Fence != t.Fence {
		return reject(CodeStale, "no intent %d for %s on %s", t.Fence, t.Model, t.Server)
	}
	switch {
	case p.Phase == PhaseLoading && t.Loaded:
		p.Phase = PhaseReady
		s.Placements[key] = p
	case p.Phase == PhaseHeld && !t.Loaded && len(p.LoadSenders) == 0 && t.Sequence > p.MinSequence:
		delete(s.Placements, key)
	case p.Phase == PhaseLoading || p.Phase == PhaseUnloading && !t.Loaded:
		s.release(key, p)
	default:
		return reject(CodeStale, "%s is %s on %s", t.Model, p.Phase, t.Server)
	}
	return Result{}
}

// release frees a slot, or holds it while a load order may still be in flight
// to a server that ignores fencing numbers.
func (s *State) release(key PlaceKey, p Placement) {
	if s.Servers[key.Server].ChecksFencing || len(p.LoadSenders) == 0 {
		delete(s.Placements, key)
		return
	}
	p.Phase = PhaseHeld
	s.Placements[key] = p
}

func (s *State) attempt(a Attempt) Result {
	key := PlaceKey{a.Server, a.Model, a.Adapter}
	p, ok := s.Placements[key]
	if !ok || p.Fence != a.Fence {
		return reject(CodeStale, "no intent %d for %s on %s", a.Fence, a.Model, a.Server)
	}
	if p.Phase == PhaseLoading {
		p.LoadSenders = addSender(p.LoadSenders, a.Sender)
		s.Placements[key] = p
	}
	return Result{}
}

// resolve removes a sender once none of its copies can be in flight.
func (s *State) resolve(r Resolve) Result {
	if r.Server != "" {
		key := PlaceKey{r.Server, r.Model, r.Adapter}
		p, ok := s.Placements[key]
		if !ok || p.Fence != r.Fence && p.Phase == PhaseLoading {
			return reject(CodeStale, "no intent %d for %s on %s", r.Fence, r.Model, r.Server)
		}
		s.dropSender(key, p, r.Sender, r.Sequence)
		return Result{}
	}
	for k, p := range s.Placements {
		s.dropSender(k, p, r.Sender, r.Sequence)
	}
	return Result{}
}

func (s *State) dropSender(key PlaceKey, p Placement, sender Sender, sequence uint64) {
	if !slices.Contains(p.LoadSenders, sender) {
		return
	}
	p.LoadSenders = slices.DeleteFunc(slices.Clone(p.LoadSenders), func(x Sender) bool { return x == sender })
	p.MinSequence = max(p.MinSequence, sequence)
	s.Placements[key] = p
}

func addSender(list []Sender, x Sender) []Sender {
	if slices.Contains(list, x) {
		return list
	}
	return append(slices.Clone(list), x)
}

func (s *State) liveServer(id string, incarnation uint64) (Server, *Rejection) {
	srv, ok := s.Servers[id]
	if !ok || srv.Lost {
		return srv, reject(CodeUnknownServer, "server %s is not registered", id).Rejection
	}
	if srv.Incarnation != incarnation {
		return srv, reject(CodeStale, "server %s is at incarnation %d", id, srv.Incarnation).Rejection
	}
	return srv, nil
}

// otherReplicas counts the slots of a model on all servers but one.
func (s *State) otherReplicas(model, except string) int {
	n := 0
	for k := range s.Placements {
		if k.Model == model && k.Adapter == "" && k.Server != except {
			n++
		}
	}
	return n
}

// reservedMiB is the memory reserved on a server, in every phase.
func (s *State) reservedMiB(server string) int64 {
	var sum int64
	for k, p := range s.Placements {
		if k.Server == server {
			sum += p.MemoryMiB
		}
	}
	return sum
}
