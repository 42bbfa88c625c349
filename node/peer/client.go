// Package peer implements the gRPC protocol between Pollenwheel processes.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

const (
	// connectTimeout is the longest wait for a connection.
	connectTimeout = 500 * time.Millisecond
	// callTimeout is the longest duration of one unary call, including the wait
	// for a connection.
	callTimeout = time.Second
	// maxMessageBytes is large enough for a snapshot of the replicated state at
	// the target deployment size.
	maxMessageBytes = 256 << 20
	// bufferBytes is the size of the read and of the write buffer of a
	// connection. gRPC's default of 32 KiB each would take 22 MiB with 340 hosts.
	bufferBytes = 4 << 10
	// idleTimeout is how long a connection without calls stays open.
	idleTimeout = 30 * time.Second
)

var errNotConnected = errors.New("no connection to the host at this address")

// Client makes calls to other hosts. It keeps one connection for each address
// and is safe for concurrent use.
type Client struct {
	traffic *Traffic

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// receivedFrom counts the received bytes by address.
	receivedFrom map[string]*atomic.Int64
}

// NewClient returns a client without connections. It counts its calls and bytes
// in traffic, which may be nil.
func NewClient(traffic *Traffic) *Client {
	if traffic == nil {
		traffic = &Traffic{}
	}
	return &Client{traffic: traffic, conns: map[string]*grpc.ClientConn{}, receivedFrom: map[string]*atomic.Int64{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// connection returns the connection for address and creates it if there is none.
func (c *Client) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithContextDialer(c.dial), grpc.WithStatsHandler(c.traffic), grpc.WithIdleTimeout(idleTimeout), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}))
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

// connectedStub waits for an established connection and returns a stub on it.
// Its errors are *CallError with NotSent: a call that fails before there is a
// connection has certainly sent nothing.
func (c *Client) connectedStub(ctx context.Context, op Op, address string) (peerpb.PeerClient, error) {
	conn, err := c.connection(address)
	if err != nil {
		return nil, &CallError{Op: op, Address: address, Delivery: NotSent, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		s := conn.GetState()
		switch s {
		case connectivity.Ready:
			return peerpb.NewPeerClient(conn), nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, &CallError{Op: op, Address: address, Delivery: NotSent, Err: errNotConnected}
		}
		if !conn.WaitForStateChange(ctx, s) {
			return nil, &CallError{Op: op, Address: address, Delivery: NotSent, Err: errNotConnected}
		}
	}
}

// dropConnection closes the connection to address, so that the next call opens
// a new one. Without this, a connection over a stalled link can stay unusable
// for minutes after the link recovers.
func (c *Client) dropConnection(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// callUnary runs one unary call. It drops the connection if there is no answer
// before the deadline, which is callTimeout from now or an earlier one of ctx.
func (c *Client) callUnary(ctx context.Context, op Op, address string, invoke func(context.Context, peerpb.PeerClient) error) error {
	return c.callWithin(ctx, callTimeout, op, address, invoke)
}

// callWithin runs one unary call like callUnary, for at most timeout.
func (c *Client) callWithin(
	ctx context.Context, timeout time.Duration, op Op, address string, invoke func(context.Context, peerpb.PeerClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stub, err := c.connectedStub(ctx, op, address)
	if err != nil {
		return err
	}
	if err := invoke(ctx, stub); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.dropConnection(address)
		}
		return newCallError(op, address, err)
	}
	return nil
}

// Gossip sends a membership message to the address m.To.
func (c *Client) Gossip(ctx context.Context, m membership.Message) error {
	return c.callUnary(ctx, OpGossip, m.To, func(ctx context.Context, stub peerpb.PeerClient) error {
		_, err := stub.Gossip(ctx, gossipToProto(m))
		return err
	})
}

// Status returns the state of the replicated log as known to the control host at
// address.
func (c *Client) Status(ctx context.Context, address string) (control.Status, error) {
	var out control.Status
	err := c.callUnary(ctx, OpStatus, address, func(ctx context.Context, stub peerpb.PeerClient) error {
		reply, err := stub.Status(ctx, &peerpb.StatusRequest{})
		if err == nil {
			out = statusFromProto(reply)
		}
		return err
	})
	return out, err
}

// Drain asks the host at address to drain and leave.
func (c *Client) Drain(ctx context.Context, address string) error {
	return c.callUnary(ctx, OpDrain, address, func(ctx context.Context, stub peerpb.PeerClient) error {
		_, err := stub.Drain(ctx, &peerpb.DrainRequest{})
		return err
	})
}

// Burn returns the request counts of the host at address, from which its burn
// rates against the objectives are computed.
func (c *Client) Burn(ctx context.Context, address string) (burn.Snapshot, error) {
	var out burn.Snapshot
	err := c.callUnary(ctx, OpBurn, address, func(ctx context.Context, stub peerpb.PeerClient) error {
		reply, err := stub.Burn(ctx, &peerpb.BurnRequest{})
		if err != nil {
			return err
		}
		return json.Unmarshal(reply.Snapshot, &out)
	})
	return out, err
}

// Demand sends a demand report to the leader at address. If that host does not lead, the error is *control.NotLeaderError.
func (c *Client) Demand(ctx context.Context, address string, r DemandReport) (DemandReply, error) {
	reply, err := callLeader(ctx, c, callTimeout, OpDemand, address, func(ctx context.Context, stub peerpb.PeerClient) (*peerpb.DemandReply, error) {
		return stub.Demand(ctx, demandToProto(r))
	})
	return DemandReply{predictionsFromProto(reply.GetPredictions()), reply.GetApplied(), address}, err
}

// propose sends a command to the host at address and returns its result. Its
// errors are *MessageError, *CallError, *control.NotLeaderError and
// *control.OutcomeUnknownError.
func (c *Client) propose(ctx context.Context, address string, cmd state.Command) (state.Result, error) {
	request, err := commandToProto(cmd)
	if err != nil {
		return state.Result{}, err
	}
	stub, err := c.connectedStub(ctx, OpPropose, address)
	if err != nil {
		return state.Result{}, err
	}
	reply, err := stub.Propose(ctx, request)
	if err != nil {
		return state.Result{}, newCallError(OpPropose, address, err)
	}
	return resultFromProto(reply)
}
