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

// keepAliveInterval is how often a Follow stream is checked for inactivity. An
// empty update is sent if there was none for half of the interval, so that two
// updates are at most 1.5 intervals apart.
const keepAliveInterval = time.Second

// LogMember is this host's member of the replicated log.
type LogMember interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	Step(m consensus.Message)
	Status() control.Status
	Follow(ctx context.Context, from uint64, send func(control.FollowUpdate) error) error
}

// Handlers serve the calls of other hosts. They are called concurrently.
type Handlers struct {
	// Host is this host's name.
	Host string
	// LogMember is nil on hosts without the control role.
	LogMember LogMember
	Gossip    func(membership.Message)
	// Demand receives the demand report of a host and returns predictions for the
	// models and adapters that its requests wait for. The error is
	// *control.NotLeaderError if this host does not lead.
	Demand func(DemandReport) ([]Prediction, error)
	// Holdings sends updates of the models and adapters that the backend servers
	// hold, until ctx ends or this host no longer leads. It is nil on hosts that
	// send no load and unload orders to servers.
	Holdings func(ctx context.Context, send func(HoldingsUpdate) error) error
	// Permits grants permits while this host leads. It is nil on hosts that cannot lead.
	Permits PermitHandler
	// Origins serves reports of the origins of streams while this host leads. It is nil on
	// hosts that cannot lead.
	Origins OriginHandler
	// Quotas grants credit from the quotas of accounts while this host leads. It is nil on hosts that
	// cannot lead.
	Quotas QuotaHandler
	Drain  func()
	Burn   func() burn.Snapshot
	// Traffic counts the served calls and their bytes. It may be nil.
	Traffic *Traffic
}

// Server serves the peer protocol over gRPC.
type Server struct {
	peerpb.UnimplementedPeerServer
	handlers Handlers
	grpc     *grpc.Server
}

// NewServer returns a server that is not started.
func NewServer(handlers Handlers) *Server {
	if handlers.Traffic == nil {
		handlers.Traffic = &Traffic{}
	}
	s := &Server{handlers: handlers, grpc: grpc.NewServer(grpc.StatsHandler(handlers.Traffic),
		grpc.UnaryInterceptor(recoverUnary), grpc.StreamInterceptor(recoverStream),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(connectTimeout),
	)}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts connections on l until Stop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes the listener and all connections, and cancels the running calls.
func (s *Server) Stop() { s.grpc.Stop() }

// Gossip implements peerpb.PeerServer.
func (s *Server) Gossip(_ context.Context, m *peerpb.GossipMessage) (*peerpb.GossipReply, error) {
	s.handlers.Gossip(gossipFromProto(m))
	return &peerpb.GossipReply{}, nil
}

// Consensus implements peerpb.PeerServer.
func (s *Server) Consensus(stream grpc.BidiStreamingServer[peerpb.ConsensusBatch, peerpb.ConsensusReply]) error {
	if s.handlers.LogMember == nil {
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
			s.handlers.LogMember.Step(consensusFromProto(m))
		}
		if err := stream.Send(&peerpb.ConsensusReply{}); err != nil {
			return err
		}
	}
}

// Propose implements peerpb.PeerServer.
func (s *Server) Propose(ctx context.Context, r *peerpb.ProposeRequest) (*peerpb.ProposeReply, error) {
	if s.handlers.LogMember == nil {
		return nil, statusError(errNoControl)
	}
	cmd, err := state.DecodeCommand(r.Command)
	if err != nil {
		return nil, statusError(&MessageError{Part: "command", Err: err})
	}
	res, err := s.handlers.LogMember.Propose(ctx, cmd)
	return resultToProto(res, err), nil
}

// Follow implements peerpb.PeerServer. While there are no entries to send, it
// sends an empty update every keepAliveInterval.
func (s *Server) Follow(r *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error {
	if s.handlers.LogMember == nil {
		return statusError(errNoControl)
	}
	var mu sync.Mutex
	lastSent := time.Now()
	send := func(u *peerpb.FollowUpdate) error {
		mu.Lock()
		defer mu.Unlock()
		lastSent = time.Now()
		return stream.Send(u)
	}
	ctx, cancel := context.WithCancel(stream.Context())
	var keepAlive sync.WaitGroup
	keepAlive.Go(func() {
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			mu.Lock()
			// The clock of time.Since stops while the machine is suspended. This delays
			// the update by at most one interval, which the receiver's followTimeout
			// allows for.
			idle := time.Since(lastSent) >= keepAliveInterval/2
			mu.Unlock()
			if idle && send(&peerpb.FollowUpdate{}) != nil {
				return
			}
		}
	})
	err := s.handlers.LogMember.Follow(ctx, r.From, func(u control.FollowUpdate) error {
		return send(updateToProto(u))
	})
	// The stream must not be used after the handler returns.
	cancel()
	keepAlive.Wait()
	return statusError(err)
}

// Demand implements peerpb.PeerServer.
func (s *Server) Demand(_ context.Context, r *peerpb.DemandRequest) (*peerpb.DemandReply, error) {
	predictions, err := s.handlers.Demand(demandFromProto(r))
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) {
		return &peerpb.DemandReply{NotLeader: true, Leader: notLeader.Leader}, nil
	}
	out := &peerpb.DemandReply{Predictions: predictionsToProto(predictions)}
	if s.handlers.LogMember != nil {
		// Only a lease that is valid after the index was read shows that no other leader had
		// committed more.
		applied := s.handlers.LogMember.Status().AppliedIndex
		if s.handlers.LogMember.Status().LeaseValid {
			out.Applied = applied
		}
	}
	return out, statusError(err)
}

// Holdings implements peerpb.PeerServer.
func (s *Server) Holdings(_ *peerpb.HoldingsRequest, stream grpc.ServerStreamingServer[peerpb.HoldingsUpdate]) error {
	if s.handlers.Holdings == nil {
		return statusError(errNoControl)
	}
	return statusError(s.handlers.Holdings(stream.Context(), func(u HoldingsUpdate) error {
		return stream.Send(holdingsToProto(u))
	}))
}

// Status implements peerpb.PeerServer.
func (s *Server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	if s.handlers.LogMember == nil {
		return nil, statusError(errNoControl)
	}
	return statusToProto(s.handlers.Host, s.handlers.LogMember.Status()), nil
}

// Drain implements peerpb.PeerServer.
func (s *Server) Drain(context.Context, *peerpb.DrainRequest) (*peerpb.DrainReply, error) {
	s.handlers.Drain()
	return &peerpb.DrainReply{}, nil
}

// Burn implements peerpb.PeerServer.
func (s *Server) Burn(context.Context, *peerpb.BurnRequest) (*peerpb.BurnReply, error) {
	data, err := json.Marshal(s.handlers.Burn())
	return &peerpb.BurnReply{Snapshot: data}, statusError(err)
}
