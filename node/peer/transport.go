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
	// maxQueuedBatches is the capacity of the queue for one member. The consensus
	// protocol sends dropped messages again.
	maxQueuedBatches = 256
	// stallTimeout is the longest wait for the confirmation of a batch before the
	// connection is replaced.
	stallTimeout = 2 * time.Second
	// retryDelay is the pause between attempts to connect to another host.
	retryDelay = 100 * time.Millisecond
)

var errStalled = errors.New("no batch was confirmed before the stall timeout")

type consensusStream = grpc.BidiStreamingClient[peerpb.ConsensusBatch, peerpb.ConsensusReply]

// Transport sends consensus messages of the replicated log to other members. It
// implements control.Transport. It keeps the order of the messages to one member.
type Transport struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// queues holds the queue of unsent batches by peer address.
	queues map[string]chan *peerpb.ConsensusBatch
}

// NewTransport returns a transport that uses the connections of client. It runs
// until Close.
func NewTransport(client *Client) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{client: client, ctx: ctx, cancel: cancel, queues: map[string]chan *peerpb.ConsensusBatch{}}
}

// Close stops sending, drops the queued messages and waits for the goroutines.
func (t *Transport) Close() {
	t.cancel()
	t.wg.Wait()
}

// Send queues messages to a member. It drops them if the queue is full.
func (t *Transport) Send(to consensus.Member, msgs []consensus.Message) {
	batch := &peerpb.ConsensusBatch{}
	for _, m := range msgs {
		batch.Messages = append(batch.Messages, consensusToProto(m))
	}
	select {
	case t.queueFor(to.PeerAddress) <- batch:
	default:
	}
}

// queueFor returns the queue for address. The first call for an address creates
// the queue and starts the goroutine that sends its batches.
func (t *Transport) queueFor(address string) chan *peerpb.ConsensusBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[address]
	if !ok {
		queue = make(chan *peerpb.ConsensusBatch, maxQueuedBatches)
		t.queues[address] = queue
		if t.ctx.Err() == nil {
			t.wg.Go(func() { t.sendQueue(address, queue) })
		}
	}
	return queue
}

// sendQueue sends the batches of a queue until Close, on a new stream after each
// failure.
func (t *Transport) sendQueue(address string, queue chan *peerpb.ConsensusBatch) {
	for t.ctx.Err() == nil {
		if err := t.sendOnStream(address, queue); err != nil {
			t.discardQueued(queue)
			select {
			case <-t.ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}
}

// discardQueued drops the batches that were queued while there was no connection:
// these old messages would only delay newer ones.
func (t *Transport) discardQueued(queue chan *peerpb.ConsensusBatch) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// sendOnStream opens a stream when a batch is queued, and sends batches until the
// connection fails or stalls. It returns nil after Close.
func (t *Transport) sendOnStream(address string, queue chan *peerpb.ConsensusBatch) error {
	var first *peerpb.ConsensusBatch
	select {
	case <-t.ctx.Done():
		return nil
	case first = <-queue:
	}
	stub, err := t.client.connectedStub(t.ctx, OpConsensus, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	stream, err := stub.Consensus(ctx)
	if err != nil {
		return newCallError(OpConsensus, address, err)
	}
	confirmed := make(chan error, maxQueuedBatches)
	go receiveConfirmations(stream, confirmed)
	if err := t.sendBatches(ctx, stream, first, queue, confirmed); err != nil {
		if errors.Is(err, errStalled) {
			t.client.dropConnection(address)
		}
		return newCallError(OpConsensus, address, err)
	}
	return nil
}

// receiveConfirmations sends nil to confirmed for each confirmed batch, and the
// error when the stream fails.
func receiveConfirmations(stream consensusStream, confirmed chan<- error) {
	for {
		_, err := stream.Recv()
		select {
		case confirmed <- err:
		case <-stream.Context().Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// sendBatches sends first and then the batches of queue while confirmations
// arrive. A separate goroutine sends, because flow control blocks sending on a
// stalled connection.
func (t *Transport) sendBatches(ctx context.Context, stream consensusStream, first *peerpb.ConsensusBatch, queue <-chan *peerpb.ConsensusBatch, confirmed <-chan error) error {
	sent := make(chan error, maxQueuedBatches)
	go func() {
		for batch := first; ; {
			err := stream.Send(batch)
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
			case batch = <-queue:
			}
		}
	}()
	// unconfirmed is one more than the number of sent batches that are not yet
	// confirmed. A batch that flow control still blocks is not counted.
	unconfirmed := 1
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
			if unconfirmed == 1 {
				stall.Reset(stallTimeout)
			}
			unconfirmed++
		case err := <-confirmed:
			if err != nil {
				return err
			}
			unconfirmed--
			stall.Reset(stallTimeout)
		case <-stall.C:
			if unconfirmed > 1 {
				return errStalled
			}
		}
	}
}
