package peer

import (
	"context"
	"time"

	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// askLeader sends a request to the host that is believed to lead, waits for the reply for at
// most timeout, and records what the reply shows about the leader. If this host leads, local
// serves the request. It may be nil.
func askLeader[Request, Reply any](
	ctx context.Context, p *Proposer, r Request, timeout time.Duration,
	local func(context.Context, Request) (Reply, error), remote func(context.Context, string, Request, time.Duration) (Reply, error),
) (Reply, error) {
	host, address := p.chooseHost()
	var reply Reply
	var err error
	switch {
	case host == p.self && local != nil:
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err = local(ctx, r)
	case address == "":
		err = &control.NotLeaderError{}
	default:
		reply, err = remote(ctx, address, r, timeout)
	}
	p.updateLeader(host, err)
	return reply, err
}

// leaderReply is the reply to a call that only the leader serves. Another host names the leader
// in it, if it knows one.
type leaderReply interface {
	GetNotLeader() bool
	GetLeader() string
}

// callLeader makes a call that only the leader serves to the host at address, and waits for the
// reply for at most timeout. If that host does not lead, the error is *control.NotLeaderError.
func callLeader[Reply leaderReply](
	ctx context.Context, c *Client, timeout time.Duration, op Op, address string, invoke func(context.Context, peerpb.PeerClient) (Reply, error),
) (Reply, error) {
	var reply Reply
	err := c.callWithin(ctx, timeout, op, address, func(ctx context.Context, stub peerpb.PeerClient) error {
		var err error
		reply, err = invoke(ctx, stub)
		return err
	})
	if err == nil && reply.GetNotLeader() {
		err = &control.NotLeaderError{Leader: reply.GetLeader()}
	}
	return reply, err
}
