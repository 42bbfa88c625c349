package peer

import (
	"context"
	"time"

	"github.com/pollenwheel/pollenwheel/node/control"
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
