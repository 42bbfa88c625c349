package control

import (
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Observe returns the commands that bring the replicated state in line with
// what backend servers announce: registrations and settled intents.
func Observe(s *state.State, servers []membership.Presence) []state.Command {
	var out []state.Command
	for _, srv := range servers {
		known, ok := s.Servers[srv.Name]
		if !ok || known.Incarnation < srv.Incarnation {
			out = append(out, registration(srv.Server))
			continue
		}
		if known.Incarnation == srv.Incarnation {
			out = append(out, settlements(s, srv.Server)...)
		}
	}
	return out
}

func registration(srv membership.Server) state.Command {
	return state.Command{Register: &state.Register{
		Server: srv.Name, Incarnation: srv.Incarnation, Service: srv.Service, Kind: srv.Kind,
		DataCentre: srv.DataCentre, Address: srv.Address, MemoryMiB: srv.MemoryMiB, ChecksFencing: srv.ChecksFencing,
	}}
}

// settlements closes the intents that the server's report already covers.
func settlements(s *state.State, srv membership.Server) []state.Command {
	var out []state.Command
	for _, r := range srv.Models {
		key := state.PlaceKey{Server: srv.Name, Model: r.Model, Adapter: r.Adapter}
		p, ok := s.Placements[key]
		if !ok || p.Incarnation != srv.Incarnation || r.Order < p.Fence {
			continue
		}
		loaded := r.Phase == membership.ReportReady
		if p.Phase == state.PhaseLoading && (loaded || r.Phase == membership.ReportAbsent) ||
			p.Phase == state.PhaseUnloading && r.Phase == membership.ReportAbsent {
			out = append(out, state.Command{Settle: &state.Settle{
				Server: srv.Name, Incarnation: srv.Incarnation, Model: r.Model, Adapter: r.Adapter,
				Fence: p.Fence, Loaded: loaded, Sequence: srv.Sequence,
			}})
		}
	}
	return out
}
