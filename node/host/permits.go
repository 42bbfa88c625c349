package host

import (
	"context"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/permits"
)

// permitMember is this host's member of the replicated log, as far as granting permits
// needs it.
type permitMember interface {
	CheckLease() bool
	Status() control.Status
}

// newPermitServer returns the server that grants permits while this host leads.
func newPermitServer(g permitMember, m *members, now func() time.Duration, decisions *decision.Log) *permits.Server {
	return permits.NewServer(permits.ServerOptions{
		Term:      func() (uint64, bool) { return g.Status().Term, g.CheckLease() },
		Leader:    func() string { return g.Status().Leader },
		Reachable: func() float64 { return reachableShare(m.hosts()) }, Now: now, Decisions: decisions,
	})
}

// reachableShare returns the share of the hosts with callers that are heard from. A host
// that is not heard from may not reach the leader either, and then uses its own share of
// each limit.
func reachableShare(hosts []membership.HostStatus) float64 {
	all, silent := 0, 0
	for _, h := range hosts {
		if h.CallerAddress == "" {
			continue
		}
		all++
		if h.Silent {
			silent++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(all-silent) / float64(all)
}

// permitHandler returns the handler of a permit server, or nil without the control role.
func permitHandler(s *permits.Server) peer.PermitHandler {
	if s == nil {
		return nil
	}
	return s.Handle
}

// askPermits returns the function that asks the leader for permits.
func askPermits(p *peer.Proposer, local peer.PermitHandler, incarnation uint64) permits.Ask {
	return func(ctx context.Context, r ratelimit.Request, timeout time.Duration) (ratelimit.Reply, error) {
		r.Incarnation = incarnation
		return p.Permits(ctx, r, timeout, local)
	}
}

// recordNotice logs a change of what a backend server says of itself, and passes on that it
// leaves.
func (h *Host) recordNotice(c notice.Change, source string) {
	if c.Kind == notice.KindLeaving {
		go h.members.recordLeaving(c.Process)
	}
	h.logger.WithFields(decision.NoticeFields(c)).WithField(decision.FieldSource, source).Info(decision.EventNotice)
}
