package peer

import (
	"context"
	"errors"
	"time"

	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// holdingsTimeout is the longest wait for an update on a Holdings stream. The
// leader sends an update at least once a second.
const holdingsTimeout = 3 * time.Second

// HoldingsUpdate reports which models and adapters backend servers hold. Times
// are relative to the time at which the update is sent.
type HoldingsUpdate struct {
	// Complete means that Servers lists all servers and that the update replaces all
	// earlier ones. Otherwise Servers lists the servers whose holdings have changed.
	Complete bool
	Servers  []residency.ServerHoldings
}

func holdingsToProto(u HoldingsUpdate) *peerpb.HoldingsUpdate {
	out := &peerpb.HoldingsUpdate{Whole: u.Complete}
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
	out := HoldingsUpdate{Complete: m.Whole}
	for _, s := range m.Servers {
		server := residency.ServerHoldings{Server: s.Server, Incarnation: s.Incarnation}
		for _, h := range s.Holdings {
			server.Holdings = append(server.Holdings, residency.Holding{
				Target: residency.Target{Model: h.Model, Adapter: h.Adapter}, Phase: residency.Phase(h.Phase),
				ReadyAt: time.Duration(h.ReadyInMs) * time.Millisecond,
			})
		}
		out.Servers = append(out.Servers, server)
	}
	return out
}

// Holdings calls receive with each update of the holdings of the backend servers
// that the leader at address sends, until ctx or the stream ends or no update
// arrives within holdingsTimeout.
func (c *Client) Holdings(ctx context.Context, address string, receive func(HoldingsUpdate)) error {
	stub, err := c.connectedStub(ctx, OpHoldings, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := stub.Holdings(ctx, &peerpb.HoldingsRequest{})
	if err != nil {
		return newCallError(OpHoldings, address, err)
	}
	timer := time.AfterFunc(holdingsTimeout, func() { cancel(errUpdateTimeout) })
	defer timer.Stop()
	for {
		message, err := stream.Recv()
		if err != nil {
			if errors.Is(context.Cause(ctx), errUpdateTimeout) {
				c.dropConnection(address)
			}
			return newCallError(OpHoldings, address, err)
		}
		timer.Reset(holdingsTimeout)
		receive(holdingsFromProto(message))
	}
}
