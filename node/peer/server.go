package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// followInterval is the longest time without an update on a Follow stream.
const followInterval = time.Second

// Group is this host's member of the replicated log.
type Group interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	Step(m consensus.Message)
	Status() control.Status
	Follow(ctx context.Context, from uint64, send func(control.Update) error) error
}

// Handlers receive the calls of other hosts. They are called concurrently.
type Handlers struct {
	// Host is this host's name.
	Host string
	// Group is nil on hosts without the control role.
	Group  Group
	Gossip func(membership.Message)
	// Demand takes the report of a host and returns the predictions for what it
	// waits for. Its error is *control.NotLeaderError if this host does not lead.
	Demand func(DemandReport) ([]Prediction, error)
	// Holdings sends what the backend servers hold until ctx ends or this host no
	// longer leads. It is nil where the servers are not ordered about.
	Holdings func(ctx context.Context, send func(HoldingsUpdate) error) error
	Drain    func()
	Burn     func() burn.Snapshot
	// Traffic may be nil.
	Traffic *Traffic
}

// Server serves the protocol.
type Server struct {
	peerpb.UnimplementedPeerServer
	handlers Handlers
	grpc     *grpc.Server
}

// NewServer returns a server that is not started.
func NewServer(h Handlers) *Server {
	if h.Traffic == nil {
		h.Traffic = &Traffic{}
	}
	s := &Server{handlers: h, grpc: grpc.NewServer(grpc.StatsHandler(h.Traffic),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(connectTimeout),
	)}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve serves l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends all calls.
func (s *Server) Stop() { s.grpc.Stop() }

// Gossip implements the protocol.
func (s *Server) Gossip(_ context.Context, m *peerpb.GossipMessage) (*peerpb.GossipReply, error) {
	s.handlers.Gossip(gossipFromProto(m))
	return &peerpb.GossipReply{}, nil
}

// Consensus implements the protocol.
func (s *Server) Consensus(stream grpc.BidiStreamingServer[peerpb.ConsensusBatch, peerpb.ConsensusReply]) error {
	if s.handlers.Group == nil {
		return statusError(errNoControl)
	}
	for {
		batch, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, m := range batch.Messages {
			s.handlers.Group.Step(consensusFromProto(m))
		}
		if err := stream.Send(&peerpb.ConsensusReply{}); err != nil {
			return err
		}
	}
}

// Propose implements the protocol.
func (s *Server) Propose(ctx context.Context, r *peerpb.ProposeRequest) (*peerpb.ProposeReply, error) {
	if s.handlers.Group == nil {
		return nil, statusError(errNoControl)
	}
	c, err := state.DecodeCommand(r.Command)
	if err != nil {
		return nil, statusError(&MessageError{Part: "command", Err: err})
	}
	res, err := s.handlers.Group.Propose(ctx, c)
	return resultToProto(res, err), nil
}

// Follow implements the protocol.
func (s *Server) Follow(r *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error {
	if s.handlers.Group == nil {
		return statusError(errNoControl)
	}
	var mu sync.Mutex
	last := time.Now()
	send := func(u *peerpb.FollowUpdate) error {
		mu.Lock()
		defer mu.Unlock()
		last = time.Now()
		return stream.Send(u)
	}
	ctx, cancel := context.WithCancel(stream.Context())
	var keep sync.WaitGroup
	keep.Go(func() {
		tick := time.NewTicker(followInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			mu.Lock()
			// A clock that stands still in a suspension at most delays this message by
			// one interval, which the receiver's limit covers.
			quiet := time.Since(last) >= followInterval/2
			mu.Unlock()
			if quiet && send(&peerpb.FollowUpdate{}) != nil {
				return
			}
		}
	})
	err := s.handlers.Group.Follow(ctx, r.From, func(u control.Update) error {
		m, err := updateToProto(u)
		if err != nil {
			return err
		}
		return send(m)
	})
	// The stream must not be used after the handler returns.
	cancel()
	keep.Wait()
	return statusError(err)
}

// Demand implements the protocol.
func (s *Server) Demand(_ context.Context, r *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	predictions, err := s.handlers.Demand(demandFromProto(r))
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		return &peerpb.DemandReply{NotLeader: true, Leader: notLeader.Leader}, nil
	}
	return &peerpb.DemandReply{Predictions: predictionsToProto(predictions)}, statusError(err)
}

// Holdings implements the protocol.
func (s *Server) Holdings(_ *peerpb.HoldingsRequest, stream grpc.ServerStreamingServer[peerpb.HoldingsUpdate]) error {
	if s.handlers.Holdings == nil {
		return statusError(errNoControl)
	}
	return statusError(s.handlers.Holdings(stream.Context(), func(u HoldingsUpdate) error {
		return stream.Send(holdingsToProto(u))
	}))
}

// Status implements the protocol.
func (s *Server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	if s.handlers.Group == nil {
		return nil, statusError(errNoControl)
	}
	return statusToProto(s.handlers.Host, s.handlers.Group.Status()), nil
}

// Drain implements the protocol.
func (s *Server) Drain(context.Context, *peerpb.DrainRequest) (*peerpb.DrainReply, error) {
	s.handlers.Drain()
	return &peerpb.DrainReply{}, nil
}

// Burn implements the protocol.
func (s *Server) Burn(context.Context, *peerpb.BurnRequest) (*peerpb.BurnReply, error) {
	data, err := json.Marshal(s.handlers.Burn())
	return &peerpb.BurnReply{Snapshot: data}, statusError(err)
}
