package peer

import (
	"context"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// PermitHandler serves a request for permits. The times of the request and of the reply
// are ages, counted back from zero. The error is *control.NotLeaderError if this host does
// not lead.
type PermitHandler func(ctx context.Context, r ratelimit.Request) (ratelimit.Reply, error)

func sightingsToProto(list []ratelimit.Sighting) []*peerpb.LimitSighting {
	var out []*peerpb.LimitSighting
	for _, s := range list {
		out = append(out, &peerpb.LimitSighting{
			Server: s.Server, Incarnation: s.Incarnation, Named: s.Named, PerSecond: s.PerSecond,
			SentAgoUs: -s.SentAt.Microseconds(), ReceivedAgoUs: -s.ReceivedAt.Microseconds(),
		})
	}
	return out
}

func sightingsFromProto(list []*peerpb.LimitSighting) []ratelimit.Sighting {
	var out []ratelimit.Sighting
	for _, s := range list {
		out = append(out, ratelimit.Sighting{
			Process: ratelimit.Process{Server: s.Server, Incarnation: s.Incarnation}, Named: s.Named, PerSecond: s.PerSecond,
			SentAt: -time.Duration(s.SentAgoUs) * time.Microsecond, ReceivedAt: -time.Duration(s.ReceivedAgoUs) * time.Microsecond,
		})
	}
	return out
}

func permitsRequestToProto(r ratelimit.Request) *peerpb.PermitsRequest {
	out := &peerpb.PermitsRequest{
		Host: r.Host, Incarnation: r.Incarnation, KnownVersion: r.KnownVersion, Sightings: sightingsToProto(r.Sightings),
	}
	for _, w := range r.Wants {
		out.Wants = append(out.Wants, &peerpb.PermitWant{
			Server: w.Server, Incarnation: w.Incarnation, Sole: int64(w.Sole), Optional: int64(w.Optional), Returned: int64(w.Returned),
		})
	}
	return out
}

func permitsRequestFromProto(m *peerpb.PermitsRequest) ratelimit.Request {
	out := ratelimit.Request{
		Host: m.Host, Incarnation: m.Incarnation, KnownVersion: m.KnownVersion, Sightings: sightingsFromProto(m.Sightings),
	}
	for _, w := range m.Wants {
		out.Wants = append(out.Wants, ratelimit.Want{
			Process: ratelimit.Process{Server: w.Server, Incarnation: w.Incarnation}, Sole: int(w.Sole), Optional: int(w.Optional), Returned: int(w.Returned),
		})
	}
	return out
}

func permitsReplyToProto(r ratelimit.Reply) *peerpb.PermitsReply {
	out := &peerpb.PermitsReply{Version: r.Version, Limits: sightingsToProto(r.Limits)}
	for _, g := range r.Grants {
		out.Grants = append(out.Grants, &peerpb.PermitGrant{
			Server: g.Server, Incarnation: g.Incarnation, Permits: int64(g.Permits), IntervalMs: g.Interval.Milliseconds(),
		})
	}
	return out
}

func permitsReplyFromProto(m *peerpb.PermitsReply) ratelimit.Reply {
	out := ratelimit.Reply{Version: m.GetVersion(), Limits: sightingsFromProto(m.GetLimits())}
	for _, g := range m.GetGrants() {
		out.Grants = append(out.Grants, ratelimit.Grant{
			Process: ratelimit.Process{Server: g.Server, Incarnation: g.Incarnation}, Permits: int(g.Permits),
			Interval: time.Duration(g.IntervalMs) * time.Millisecond,
		})
	}
	return out
}

// Permits implements peerpb.PeerServer.
func (s *Server) Permits(ctx context.Context, m *peerpb.PermitsRequest) (*peerpb.PermitsReply, error) {
	if s.handlers.Permits == nil {
		return nil, statusError(errNoControl)
	}
	reply, err := s.handlers.Permits(ctx, permitsRequestFromProto(m))
	var notLeader *control.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &peerpb.PermitsReply{NotLeader: true, Leader: notLeader.Leader}, nil
	case err != nil:
		return nil, statusError(err)
	}
	return permitsReplyToProto(reply), nil
}

// permits asks the leader at address for permits, for at most timeout.
func (c *Client) permits(ctx context.Context, address string, r ratelimit.Request, timeout time.Duration) (ratelimit.Reply, error) {
	reply, err := callLeader(ctx, c, timeout, OpPermits, address, func(ctx context.Context, stub peerpb.PeerClient) (*peerpb.PermitsReply, error) {
		return stub.Permits(ctx, permitsRequestToProto(r))
	})
	return permitsReplyFromProto(reply), err
}

// Permits asks the leader for permits, for at most timeout. If this host leads, local
// serves the request. It may be nil.
func (p *Proposer) Permits(ctx context.Context, r ratelimit.Request, timeout time.Duration, local PermitHandler) (ratelimit.Reply, error) {
	r.Host = p.self
	return askLeader(ctx, p, r, timeout, local, p.client.permits)
}
