package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

const (
	// queuedBatches bounds what waits for one member. The replicated log repeats
	// what is dropped.
	queuedBatches = 256
	// stallTimeout is how long a batch may stay unconfirmed before the connection
	// is replaced.
	stallTimeout = 2 * time.Second
	// retryDelay separates attempts to reach a member.
	retryDelay = 100 * time.Millisecond
)

var errStalled = errors.New("no batch was confirmed in time")

type consensusStream = grpc.BidiStreamingClient[peerpb.ConsensusBatch, peerpb.ConsensusReply]

// Transport sends messages of the replicated log. It implements
// control.Transport. Messages to one member keep their order.
type Transport struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	queues map[string]chan *peerpb.ConsensusBatch
}

// NewTransport returns a transport over c. Close ends it.
func NewTransport(c *Client) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{client: c, ctx: ctx, cancel: cancel, queues: map[string]chan *peerpb.ConsensusBatch{}}
}

// Close drops what was not sent.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Send queues messages to a member, and drops them if too many wait.
func (t *Transport) Send(to consensus.Member, msgs []consensus.Message) {
	b := &peerpb.ConsensusBatch{}
	for _, m := range msgs {
		b.Messages = append(b.Messages, consensusToProto(m))
	}
	select {
	case t.queue(to.PeerAddress) <- b:
	default:
	}
}

func (t *Transport) queue(address string) chan *peerpb.ConsensusBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[address]
	if !ok {
		q = make(chan *peerpb.ConsensusBatch, queuedBatches)
		t.queues[address] = q
		if t.ctx.Err() == nil {
			t.wg.Go(func() { t.run(address, q) })
		}
	}
	return q
}

func (t *Transport) run(address string, q chan *peerpb.ConsensusBatch) {
	for t.ctx.Err() == nil {
		if err := t.stream(address, q); err != nil {
			t.drain(q)
			select {
			case <-t.ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}
}

// drain drops what waited for a connection: old messages would only delay the
// newer ones.
func (t *Transport) drain(q chan *peerpb.ConsensusBatch) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// stream sends batches until the connection fails or stalls.
func (t *Transport) stream(address string, q chan *peerpb.ConsensusBatch) error {
	var first *peerpb.ConsensusBatch
	select {
	case <-t.ctx.Done():
		return nil
	case first = <-q:
	}
	stub, err := t.client.stub(t.ctx, OpConsensus, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	s, err := stub.Consensus(ctx)
	if err != nil {
		return callError(OpConsensus, address, err)
	}
	confirmed := make(chan error, queuedBatches)
	go receive(s, confirmed)
	if err := t.pump(ctx, s, first, q, confirmed); err != nil {
		if errors.Is(err, errStalled) {
			t.client.reset(address)
		}
		return callError(OpConsensus, address, err)
	}
	return nil
}

func receive(s consensusStream, confirmed chan<- error) {
	for {
		_, err := s.Recv()
		select {
		case confirmed <- err:
		case <-s.Context().Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// pump sends batches while confirmations arrive. Sending happens in its own
// goroutine, because flow control blocks it on a stalled connection.
func (t *Transport) pump(ctx context.Context, s consensusStream, first *peerpb.ConsensusBatch, q <-chan *peerpb.ConsensusBatch, confirmed <-chan error) error {
	sent := make(chan error, queuedBatches)
	go func() {
		for b := first; ; {
			err := s.Send(b)
			select {
			case sent <- err:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case b = <-q:
			}
		}
	}()
	open := 1
	stall := time.NewTimer(stallTimeout)
	defer stall.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-sent:
			if err != nil {
				return err
			}
			if open == 1 {
				stall.Reset(stallTimeout)
			}
			open++
		case err := <-confirmed:
			if err != nil {
				return err
			}
			open--
			stall.Reset(stallTimeout)
		case <-stall.C:
			if open > 1 {
				return errStalled
			}
		}
	}
}
