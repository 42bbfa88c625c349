package orders

import (
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// reconcile returns the commands that align the replicated state with what
// backend servers announce: registrations, closed intents, and models that no
// placement accounts for.
func reconcile(in Input, byServer map[string][]keyedPlacement) []state.Command {
	var out []state.Command
	for _, srv := range in.Servers {
		known, ok := in.State.Servers[srv.Name]
		switch {
		case !ok || known.Incarnation < srv.Incarnation, known.Incarnation == srv.Incarnation && known.Lost && !srv.Silent:
			out = append(out, registerCommand(srv.Server))
		case known.Incarnation == srv.Incarnation && !known.Lost:
			out = append(out, closeCommands(known, srv.Server, byServer[srv.Name])...)
			out = append(out, adoptCommands(in.State, srv.Server)...)
		}
	}
	return append(out, markLostCommands(in)...)
}

func registerCommand(srv membership.Server) state.Command {
	return state.Command{Register: &state.Register{
		Server: srv.Name, Incarnation: srv.Incarnation, Service: srv.Service, Kind: srv.Kind,
		DataCentre: srv.DataCentre, Address: srv.Address, MemoryMiB: srv.MemoryMiB, ChecksFencing: srv.ChecksFencing,
	}}
}

// markLostCommands marks servers as lost that were silent for longer than the
// time that operators configured. For a server that this process has never
// received an announcement from, the time counts from the start of the process.
func markLostCommands(in Input) []state.Command {
	after := in.State.Config.Deployment.PresumedLostAfter()
	if after == 0 {
		return nil
	}
	var out []state.Command
	for _, srv := range in.Servers {
		known, ok := in.State.Servers[srv.Name]
		if ok && !known.Lost && known.Incarnation == srv.Incarnation && in.Now-srv.LastSeen > after {
			out = append(out, state.Command{MarkLost: &state.MarkLost{Server: srv.Name, Incarnation: srv.Incarnation}})
		}
	}
	return out
}

// closeCommands closes the intents that the server's announcement covers.
func closeCommands(known state.Server, srv membership.Server, placements []keyedPlacement) []state.Command {
	var out []state.Command
	for _, p := range placements {
		if p.Incarnation != srv.Incarnation {
			continue
		}
		key := p.key
		if loaded, ok := intentOutcome(known, srv, key, p.Placement); ok {
			out = append(out, state.Command{CloseIntent: &state.CloseIntent{
				Server: srv.Name, Incarnation: srv.Incarnation, Model: key.Model, Adapter: key.Adapter,
				Fence: p.Fence, Loaded: loaded, Sequence: srv.Sequence,
			}})
		}
	}
	return out
}

// intentOutcome reports whether the announcement closes the placement's newest
// intent, and whether the model or adapter is loaded then.
func intentOutcome(known state.Server, srv membership.Server, key state.PlacementKey, p state.Placement) (loaded, ok bool) {
	report, listed := srv.ModelReport(key.Model, key.Adapter)
	covers := listed && report.Order >= p.Fence
	// A server that checks fencing numbers rejects an order older than its
	// newest, so an older intent that is not listed can no longer be executed.
	rejected := known.ChecksFencing && srv.NewestOrder > p.Fence && (!listed || report.Order < p.Fence)
	absent := !listed || report.Phase == membership.ReportAbsent
	switch p.Phase {
	case state.PhaseLoading:
		return covers && report.Phase == membership.ReportReady, covers && (absent || report.Phase == membership.ReportReady) || rejected
	case state.PhaseReady:
		return false, covers && absent
	case state.PhaseUnloading:
		// If the report is ready with the fencing number of the unload, the
		// unload had no effect.
		failed := covers && report.Phase == membership.ReportReady
		return failed || rejected && !absent, covers && absent || failed || rejected
	case state.PhaseHeld:
		return false, absent && len(p.Copies) == 0 && srv.Sequence > p.MinSequence
	case state.PhaseSurplus:
		return false, absent
	}
	return false, false
}

// adoptCommands adopts models that the server holds without a placement, or
// that a late copy of an order loaded under a held placement.
func adoptCommands(s *state.State, srv membership.Server) []state.Command {
	var out []state.Command
	for _, report := range srv.Models {
		if report.Phase == membership.ReportAbsent {
			continue
		}
		p, ok := s.Placements[state.PlacementKey{Server: srv.Name, Model: report.Model, Adapter: report.Adapter}]
		if ok && p.Phase != state.PhaseHeld {
			continue
		}
		out = append(out, state.Command{Adopt: &state.Adopt{
			Server: srv.Name, Incarnation: srv.Incarnation, Model: report.Model, Adapter: report.Adapter, Version: report.Version,
		}})
	}
	return out
}
