// Package peer carries the protocol between Pollenwheel processes over gRPC.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
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
	// connectTimeout bounds the wait for a connection.
	connectTimeout = 500 * time.Millisecond
	// callTimeout bounds one short call.
	callTimeout = time.Second
	// maxMessageBytes admits a snapshot of the state at the target size.
	maxMessageBytes = 256 << 20
	// bufferBytes keeps the memory of a connection low; the default of 32 KiB
	// for each direction would take 22 MiB with 340 hosts.
	bufferBytes = 4 << 10
	// idleTimeout closes connections to hosts that are not talked to.
	idleTimeout = 30 * time.Second
)

var errNotConnected = errors.New("no connection")

// Client calls other hosts. It keeps one connection to each address and is
// safe for concurrent use.
type Client struct {
	traffic *Traffic

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections. Traffic may be nil.
func NewClient(t *Traffic) *Client {
	if t == nil {
		t = &Traffic{}
	}
	return &Client{traffic: t, conns: map[string]*grpc.ClientConn{}}
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

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithStatsHandler(c.traffic), grpc.WithIdleTimeout(idleTimeout), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
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

// stub returns a stub on an established connection, so that a failure before
// that is known to have sent nothing.
func (c *Client) stub(ctx context.Context, op Op, address string) (peerpb.PeerClient, error) {
	conn, err := c.conn(address)
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

// reset drops the connection to address, so that the next call opens a new one.
// A connection over a stalled link may otherwise stay unusable for minutes
// after the link recovers.
func (c *Client) reset(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// call runs one short call, and drops the connection if it does not answer.
func (c *Client) call(ctx context.Context, op Op, address string, f func(context.Context, peerpb.PeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stub, err := c.stub(ctx, op, address)
	if err != nil {
		return err
	}
	if err := f(ctx, stub); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.reset(address)
		}
		return callError(op, address, err)
	}
	return nil
}

// Gossip delivers a membership message to m.To.
func (c *Client) Gossip(ctx context.Context, m membership.Message) error {
	return c.call(ctx, OpGossip, m.To, func(ctx context.Context, s peerpb.PeerClient) error {
		_, err := s.Gossip(ctx, gossipToProto(m))
		return err
	})
}

// Status returns a control host's view of the replicated log.
func (c *Client) Status(ctx context.Context, address string) (control.Status, error) {
	var out control.Status
	err := c.call(ctx, OpStatus, address, func(ctx context.Context, s peerpb.PeerClient) error {
		r, err := s.Status(ctx, &peerpb.StatusRequest{})
		if err == nil {
			out = statusFromProto(r)
		}
		return err
	})
	return out, err
}

// Drain tells a host to leave.
func (c *Client) Drain(ctx context.Context, address string) error {
	return c.call(ctx, OpDrain, address, func(ctx context.Context, s peerpb.PeerClient) error {
		_, err := s.Drain(ctx, &peerpb.DrainRequest{})
		return err
	})
}

// Burn returns a host's counts against the objectives.
func (c *Client) Burn(ctx context.Context, address string) (burn.Snapshot, error) {
	var out burn.Snapshot
	err := c.call(ctx, OpBurn, address, func(ctx context.Context, s peerpb.PeerClient) error {
		r, err := s.Burn(ctx, &peerpb.BurnRequest{})
		if err != nil {
			return err
		}
		return json.Unmarshal(r.Snapshot, &out)
	})
	return out, err
}

// Demand sends a report to the leader and returns its predictions. On a host
// that does not lead it returns *control.NotLeaderError.
func (c *Client) Demand(ctx context.Context, address string, r DemandReport) ([]Prediction, error) {
	var out []Prediction
	var notLeader error
	err := c.call(ctx, OpDemand, address, func(ctx context.Context, s peerpb.PeerClient) error {
		reply, err := s.Demand(ctx, demandToProto(r))
		if err != nil {
			return err
		}
		if reply.NotLeader {
			notLeader = &control.NotLeaderError{Leader: reply.Leader}
		}
		out = predictionsFromProto(reply.Predictions)
		return nil
	})
	if err == nil {
		err = notLeader
	}
	return out, err
}

// propose sends a command to one host. Its errors are *CallError,
// *control.NotLeaderError and *control.OutcomeUnknownError.
func (c *Client) propose(ctx context.Context, address string, cmd state.Command) (state.Result, error) {
	req, err := commandToProto(cmd)
	if err != nil {
		return state.Result{}, err
	}
	stub, err := c.stub(ctx, OpPropose, address)
	if err != nil {
		return state.Result{}, err
	}
	reply, err := stub.Propose(ctx, req)
	if err != nil {
		return state.Result{}, callError(OpPropose, address, err)
	}
	return resultFromProto(reply)
}
