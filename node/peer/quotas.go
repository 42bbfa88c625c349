package peer

import (
	"context"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/quota"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// QuotaRequest is what a host wants from the quotas of accounts.
type QuotaRequest struct {
	Host  string
	Wants []quota.Want
}

// QuotaHandler serves the request of a host. The error is *control.NotLeaderError if this host does
// not lead.
type QuotaHandler func(ctx context.Context, r QuotaRequest) ([]quota.Credit, error)

func quotaRequestToProto(r QuotaRequest) *peerpb.QuotasRequest {
	out := &peerpb.QuotasRequest{Host: r.Host}
	for _, w := range r.Wants {
		out.Wants = append(out.Wants, &peerpb.QuotaWant{Account: w.Account, Waiting: w.Waiting, Next: w.Next, Spare: w.Spare, Returned: w.Returned})
	}
	return out
}

func quotaRequestFromProto(m *peerpb.QuotasRequest) QuotaRequest {
	out := QuotaRequest{Host: m.Host}
	for _, w := range m.Wants {
		out.Wants = append(out.Wants, quota.Want{Account: w.Account, Waiting: w.Waiting, Next: w.Next, Spare: w.Spare, Returned: w.Returned})
	}
	return out
}

func quotaReplyToProto(credits []quota.Credit) *peerpb.QuotasReply {
	out := &peerpb.QuotasReply{}
	for _, c := range credits {
		out.Credits = append(out.Credits, &peerpb.QuotaCredit{Account: c.Account, Granted: c.Granted, RetryInUs: c.RetryIn.Microseconds()})
	}
	return out
}

func quotaReplyFromProto(m *peerpb.QuotasReply) []quota.Credit {
	var out []quota.Credit
	for _, c := range m.GetCredits() {
		out = append(out, quota.Credit{Account: c.Account, Granted: c.Granted, RetryIn: time.Duration(c.RetryInUs) * time.Microsecond})
	}
	return out
}

// Quotas implements peerpb.PeerServer.
func (s *Server) Quotas(ctx context.Context, m *peerpb.QuotasRequest) (*peerpb.QuotasReply, error) {
	if s.handlers.Quotas == nil {
		return nil, statusError(errNoControl)
	}
	credits, err := s.handlers.Quotas(ctx, quotaRequestFromProto(m))
	var notLeader *control.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &peerpb.QuotasReply{NotLeader: true, Leader: notLeader.Leader}, nil
	case err != nil:
		return nil, statusError(err)
	}
	return quotaReplyToProto(credits), nil
}

// quotas asks the leader at address for credit, for at most timeout.
func (c *Client) quotas(ctx context.Context, address string, r QuotaRequest, timeout time.Duration) ([]quota.Credit, error) {
	reply, err := callLeader(ctx, c, timeout, OpQuotas, address, func(ctx context.Context, stub peerpb.PeerClient) (*peerpb.QuotasReply, error) {
		return stub.Quotas(ctx, quotaRequestToProto(r))
	})
	return quotaReplyFromProto(reply), err
}

// Quotas asks the leader for credit, for at most timeout. If this host leads, local serves the
// request. It may be nil.
func (p *Proposer) Quotas(ctx context.Context, wants []quota.Want, timeout time.Duration, local QuotaHandler) ([]quota.Credit, error) {
	return askLeader(ctx, p, QuotaRequest{Host: p.self, Wants: wants}, timeout, local, p.client.quotas)
}
