package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Traffic counts the calls between hosts and their bytes: messages sent, and
// messages and headers received. gRPC does not report the size of sent headers.
// It implements stats.Handler.
type Traffic struct{ sent, received, calls atomic.Int64 }

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Calls returns the number of calls started or served.
func (t *Traffic) Calls() int64 { return t.calls.Load() }

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (t *Traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch v := s.(type) {
	case *stats.Begin:
		t.calls.Add(1)
	case *stats.OutPayload:
		t.sent.Add(int64(v.WireLength))
	case *stats.InPayload:
		t.received.Add(int64(v.WireLength))
	case *stats.InHeader:
		t.received.Add(int64(v.WireLength))
	}
}

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}
