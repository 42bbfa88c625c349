package orders

import (
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// observe returns the commands that bring the replicated state in line with
// what backend servers announce: registrations, settled intents, and models
// that no placement accounts for.
func observe(in Input, byServer map[string][]placed) []state.Command {
	var out []state.Command
	for _, srv := range in.Servers {
		known, ok := in.State.Servers[srv.Name]
		switch {
		case !ok || known.Incarnation < srv.Incarnation, known.Incarnation == srv.Incarnation && known.Lost && !srv.Silent:
			out = append(out, registration(srv.Server))
		case known.Incarnation == srv.Incarnation && !known.Lost:
			out = append(out, settlements(known, srv.Server, byServer[srv.Name])...)
			out = append(out, adoptions(in.State, srv.Server)...)
		}
	}
	return append(out, losses(in)...)
}

func registration(srv membership.Server) state.Command {
	return state.Command{Register: &state.Register{
		Server: srv.Name, Incarnation: srv.Incarnation, Service: srv.Service, Kind: srv.Kind,
		DataCentre: srv.DataCentre, Address: srv.Address, MemoryMiB: srv.MemoryMiB, ChecksFencing: srv.ChecksFencing,
	}}
}

// losses presumes servers lost that were silent for the time that operators
// set. A server that was never heard since this process started is counted
// from the start.
func losses(in Input) []state.Command {
	after := in.State.Config.Deployment.PresumedLostAfter()
	if after == 0 {
		return nil
	}
	var out []state.Command
	for _, srv := range in.Servers {
		known, ok := in.State.Servers[srv.Name]
		if ok && !known.Lost && known.Incarnation == srv.Incarnation && in.Now-srv.Heard > after {
			out = append(out, state.Command{Lose: &state.Lose{Server: srv.Name, Incarnation: srv.Incarnation}})
		}
	}
	return out
}

// settlements closes the intents that the server's report covers.
func settlements(known state.Server, srv membership.Server, placements []placed) []state.Command {
	var out []state.Command
	for _, p := range placements {
		if p.Incarnation != srv.Incarnation {
			continue
		}
		key := p.key
		if loaded, ok := settled(known, srv, key, p.Placement); ok {
			out = append(out, state.Command{Settle: &state.Settle{
				Server: srv.Name, Incarnation: srv.Incarnation, Model: key.Model, Adapter: key.Adapter,
				Fence: p.Fence, Loaded: loaded, Sequence: srv.Sequence,
			}})
		}
	}
	return out
}

// settled reports whether the announcement settles the placement's newest
// intent, and how.
func settled(known state.Server, srv membership.Server, key state.PlaceKey, p state.Placement) (loaded, ok bool) {
	r, listed := srv.Report(key.Model, key.Adapter)
	covers := listed && r.Order >= p.Fence
	// A server that checks fencing numbers refuses an order older than its
	// newest, so an unlisted older intent can no longer be executed.
	refused := known.ChecksFencing && srv.NewestOrder > p.Fence && (!listed || r.Order < p.Fence)
	absent := !listed || r.Phase == membership.ReportAbsent
	switch p.Phase {
	case state.PhaseLoading:
		return covers && r.Phase == membership.ReportReady, covers && (absent || r.Phase == membership.ReportReady) || refused
	case state.PhaseReady:
		return false, covers && absent
	case state.PhaseUnloading:
		// Ready under the number of the unload means that it had no effect.
		failed := covers && r.Phase == membership.ReportReady
		return failed || refused && !absent, covers && absent || failed || refused
	case state.PhaseHeld:
		return false, absent && len(p.Copies) == 0 && srv.Sequence > p.MinSequence
	case state.PhaseSurplus:
		return false, absent
	}
	return false, false
}

// adoptions accounts for models that the server holds without a placement, or
// that a late copy of an order loaded into a held slot.
func adoptions(s *state.State, srv membership.Server) []state.Command {
	var out []state.Command
	for _, r := range srv.Models {
		if r.Phase == membership.ReportAbsent {
			continue
		}
		p, ok := s.Placements[state.PlaceKey{Server: srv.Name, Model: r.Model, Adapter: r.Adapter}]
		if ok && p.Phase != state.PhaseHeld {
			continue
		}
		out = append(out, state.Command{Adopt: &state.Adopt{
			Server: srv.Name, Incarnation: srv.Incarnation, Model: r.Model, Adapter: r.Adapter, Version: r.Version,
		}})
	}
	return out
}
