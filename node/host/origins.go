package host

import (
	"context"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/origins"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// recordVersionTimeout bounds the wait until a change of the admitted software versions is
// recorded. It is proposed again later.
const recordVersionTimeout = 2 * time.Second

// newOriginServer returns the server that holds the origins of streams while this host leads.
func (h *RoutedHost) newOriginServer() *origins.Server {
	return origins.NewServer(origins.ServerOptions{
		Term: h.placer.leadingTerm, Leader: func() string { return h.group.Status().Leader },
		Admitted: h.admittedVersions, Now: h.now,
	})
}

// admittedVersions returns the admitted software versions, as this host has applied them.
func (h *RoutedHost) admittedVersions() origin.Admitted {
	var out origin.Admitted
	h.replica.View(func(s *state.State) { out = s.SoftwareVersions })
	return out
}

// originHandler returns the handler of an origin server, or nil without the control role.
func originHandler(s *origins.Server) peer.OriginHandler {
	if s == nil {
		return nil
	}
	return s.Handle
}

// askOrigins returns the function that tells and asks the leader about origins.
func askOrigins(p *peer.Proposer, local peer.OriginHandler) origins.Ask {
	return func(ctx context.Context, r origin.Report, timeout time.Duration) (origin.Reply, error) {
		return p.Origins(ctx, r, timeout, local)
	}
}

// leadingTerm returns the term in which this host leads, and false if it does not. The host is
// recorded as the leader at the beginning of the term, so it has applied every entry that was
// committed before.
func (p *placer) leadingTerm() (uint64, bool) {
	p.mu.Lock()
	term := p.term
	p.mu.Unlock()
	if term == nil || p.host.group.Status().Term != term.fence || !p.host.group.CheckLease() {
		return 0, false
	}
	return term.fence, true
}

// admitVersions proposes the due changes of the admitted software versions.
func (p *placer) admitVersions(ctx context.Context, t *leaderTerm, servers []membership.ServerStatus) {
	var announced []origin.Origin
	for _, s := range servers {
		if !s.Silent && s.SoftwareVersion != "" {
			announced = append(announced, origin.Origin{Service: s.Service, Version: s.SoftwareVersion})
		}
	}
	for _, c := range t.registry.Step(p.host.now(), p.host.admittedVersions(), announced) {
		go p.setVersion(ctx, c)
	}
}

// setVersion commits a change of the admitted software versions.
func (p *placer) setVersion(ctx context.Context, c origin.Change) {
	ctx, cancel := context.WithTimeout(ctx, recordVersionTimeout)
	defer cancel()
	command := state.NewSetSoftwareVersion(c)
	outcome := "admitted"
	if c.Retire {
		outcome = "retired"
	}
	if _, err := p.host.group.Propose(ctx, state.Command{SetSoftwareVersion: &command}); err != nil {
		outcome = "not recorded: " + err.Error()
	}
	p.host.decisions.RecordStateChange(decision.EventVersion, decision.Fields{
		decision.FieldService: c.Service, decision.FieldSoftwareVersion: c.Version, decision.FieldOutcome: outcome,
	})
}

// confirmProcess asks the server of an attempt for a report, which only the process with the
// expected incarnation gives.
func (h *RoutedHost) confirmProcess(ctx context.Context, a routing.Attempt) error {
	_, err := h.opts.ServerClient.Report(ctx, residency.Inquiry{Server: a.Server, Address: a.Address, Incarnation: a.Incarnation})
	return err
}
