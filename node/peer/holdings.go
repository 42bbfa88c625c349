package peer

import (
	"context"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// holdingsTimeout is how long a stream of holdings may be quiet. The leader
// sends an update at least once a second.
const holdingsTimeout = 3 * time.Second

// HoldingsUpdate tells what backend servers hold. Times are relative to the
// sending of the update.
type HoldingsUpdate struct {
	// Whole updates replace what was known.
	Whole   bool
	Servers []residency.ServerHoldings
}

func holdingsToProto(u HoldingsUpdate) *peerpb.HoldingsUpdate {
	out := &peerpb.HoldingsUpdate{Whole: u.Whole}
	for _, s := range u.Servers {
		m := &peerpb.ServerHoldings{Server: s.Server, Incarnation: s.Incarnation}
		for _, h := range s.Holdings {
			m.Holdings = append(m.Holdings, &peerpb.Holding{
				Model: h.Model, Adapter: h.Adapter, Phase: uint32(h.Phase), ReadyInMs: h.ReadyAt.Milliseconds(),
			})
		}
		out.Servers = append(out.Servers, m)
	}
	return out
}

func holdingsFromProto(m *peerpb.HoldingsUpdate) HoldingsUpdate {
	out := HoldingsUpdate{Whole: m.Whole}
	for _, s := range m.Servers {
		x := residency.ServerHoldings{Server: s.Server, Incarnation: s.Incarnation}
		for _, h := range s.Holdings {
			x.Holdings = append(x.Holdings, residency.Holding{
				Target: residency.Target{Model: h.Model, Adapter: h.Adapter}, Phase: residency.Phase(h.Phase),
				ReadyAt: time.Duration(h.ReadyInMs) * time.Millisecond,
			})
		}
		out.Servers = append(out.Servers, x)
	}
	return out
}

// Holdings receives what the backend servers hold from the host at address, the
// leader, until ctx or the stream ends.
func (c *Client) Holdings(ctx context.Context, address string, receive func(HoldingsUpdate)) error {
	stub, err := c.stub(ctx, OpHoldings, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := stub.Holdings(ctx, &peerpb.HoldingsRequest{})
	if err != nil {
		return callError(OpHoldings, address, err)
	}
	quiet := time.AfterFunc(holdingsTimeout, func() { cancel(errQuiet) })
	defer quiet.Stop()
	for {
		m, err := stream.Recv()
		if err != nil {
			if errors.Is(context.Cause(ctx), errQuiet) {
				c.reset(address)
			}
			return callError(OpHoldings, address, err)
		}
		quiet.Reset(holdingsTimeout)
		receive(holdingsFromProto(m))
	}
}
