package peer

import (
	"context"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// OriginHandler serves a report of the origins of streams. The times of the report are
// relative to its arrival. The error is *control.NotLeaderError if this host does not lead.
type OriginHandler func(ctx context.Context, r origin.Report) (origin.Reply, error)

func originReportToProto(r origin.Report) *peerpb.OriginsRequest {
	out := &peerpb.OriginsRequest{Host: r.Host}
	groups := map[origin.Origin]*peerpb.StreamOrigins{}
	for _, record := range r.Records {
		g := groups[record.Origin]
		if g == nil {
			g = &peerpb.StreamOrigins{Service: record.Origin.Service, SoftwareVersion: record.Origin.Version}
			groups[record.Origin] = g
			out.Begun = append(out.Begun, g)
		}
		g.Streams = append(g.Streams, uint64(record.Stream))
		g.ExpireInMs = append(g.ExpireInMs, record.Expires.Milliseconds())
	}
	for _, q := range r.Questions {
		out.Questions = append(out.Questions, &peerpb.OriginQuestion{Stream: uint64(q.Stream), Services: q.Services})
	}
	return out
}

// originReportFromProto leaves out groups whose lists differ in length.
func originReportFromProto(m *peerpb.OriginsRequest) origin.Report {
	out := origin.Report{Host: m.Host}
	for _, g := range m.Begun {
		if len(g.Streams) != len(g.ExpireInMs) {
			continue
		}
		for i, stream := range g.Streams {
			out.Records = append(out.Records, origin.Record{
				Stream: origin.StreamID(stream), Origin: origin.Origin{Service: g.Service, Version: g.SoftwareVersion},
				Expires: time.Duration(g.ExpireInMs[i]) * time.Millisecond,
			})
		}
	}
	for _, q := range m.Questions {
		out.Questions = append(out.Questions, origin.Question{Stream: origin.StreamID(q.Stream), Services: q.Services})
	}
	return out
}

func originReplyToProto(r origin.Reply) *peerpb.OriginsReply {
	out := &peerpb.OriginsReply{Term: r.Term}
	for _, a := range r.Answers {
		out.Answers = append(out.Answers, &peerpb.OriginAnswer{
			Known: a.Known, Inferred: a.Inferred, Service: a.Origin.Service, SoftwareVersion: a.Origin.Version,
		})
	}
	return out
}

func originReplyFromProto(m *peerpb.OriginsReply) origin.Reply {
	out := origin.Reply{Term: m.GetTerm()}
	for _, a := range m.GetAnswers() {
		out.Answers = append(out.Answers, origin.Answer{
			Known: a.Known, Inferred: a.Inferred, Origin: origin.Origin{Service: a.Service, Version: a.SoftwareVersion},
		})
	}
	return out
}

// Origins implements peerpb.PeerServer.
func (s *Server) Origins(ctx context.Context, m *peerpb.OriginsRequest) (*peerpb.OriginsReply, error) {
	if s.handlers.Origins == nil {
		return nil, statusError(errNoControl)
	}
	reply, err := s.handlers.Origins(ctx, originReportFromProto(m))
	var notLeader *control.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &peerpb.OriginsReply{NotLeader: true, Leader: notLeader.Leader}, nil
	case err != nil:
		return nil, statusError(err)
	}
	return originReplyToProto(reply), nil
}

// origins sends a report to the leader at address and waits for the reply for at most
// timeout.
func (c *Client) origins(ctx context.Context, address string, r origin.Report, timeout time.Duration) (origin.Reply, error) {
	reply, err := callLeader(ctx, c, timeout, OpOrigins, address, func(ctx context.Context, stub peerpb.PeerClient) (*peerpb.OriginsReply, error) {
		return stub.Origins(ctx, originReportToProto(r))
	})
	return originReplyFromProto(reply), err
}

// Origins sends a report to the leader and waits for the reply for at most timeout. If this
// host leads, local serves the report. It may be nil.
func (p *Proposer) Origins(ctx context.Context, r origin.Report, timeout time.Duration, local OriginHandler) (origin.Reply, error) {
	r.Host = p.self
	return askLeader(ctx, p, r, timeout, local, p.client.origins)
}
