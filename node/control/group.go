package control

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/storage"
)

// Defaults of Options.
const (
	// defaultElectionTimeout is many times longer than a synced write and than the
	// round trip of 3 ms between data centres, so that neither causes an election.
	defaultElectionTimeout = 500 * time.Millisecond
	defaultRepairAfter     = 30 * time.Second
	// defaultSnapshotEntries and defaultSnapshotBytes bound what a restart has to apply
	// again.
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 4 << 20
	// copiesPerDecode is how many bytes of a table or a configuration are copied in the time in
	// which one byte of an entry is decoded.
	copiesPerDecode = 16
	// configurationItemBytes is the size of most items of a configuration: 63,000 adapters take
	// 4.8 MB.
	configurationItemBytes = 76
)

const (
	// driftMarginDivisor divides the election timeout. The result is the drift
	// margin, by which the lease is shorter than the election timeout. A fifth
	// allows clock rates to differ by a factor of 1.25.
	driftMarginDivisor = 5
	// heartbeatsPerElection is the number of heartbeats in one election timeout.
	heartbeatsPerElection = 5
	// inboxCapacity bounds the messages that wait for Run. Further messages are
	// dropped, which the protocol tolerates.
	inboxCapacity = 4096
	// maxWaiters bounds the proposals whose outcome is not known yet.
	maxWaiters = 4096
	// maxInputBatch bounds the inputs handled before their effects are written.
	// Batching lets one synced write serve many proposals.
	maxInputBatch = 512
	// fullDiskRetryInterval is the interval between attempts to write to a full disk.
	fullDiskRetryInterval = time.Second
)

// Group runs this host's member of the replicated log and applies committed
// entries to the replica.
type Group struct {
	opts   Options
	logger *logrus.Entry
	store  *storage.Storage
	recent *recentLog
	// followerSnapshots has a lock of its own.
	followerSnapshots followerSnapshots

	inbox       chan consensus.Message
	submissions chan submission
	snapshots   chan consensus.Snapshot
	// done is closed when Run ends.
	done chan struct{}

	// leaseUntil is the end of the lease on the group's clock, in nanoseconds.
	leaseUntil atomic.Int64
	// progressAt is when the loop of Run last began anew, on the group's clock, in nanoseconds.
	progressAt atomic.Int64
	// transfersInProgress is the number of leadership transfers in progress.
	transfersInProgress atomic.Int32

	// newSeeds are the seeds of the last SetSeeds, until Run takes them over.
	newSeeds atomic.Pointer[[]consensus.Member]

	mu     sync.Mutex
	status Status
	// leaderChanged is closed at the next change of the leader or the term.
	leaderChanged chan struct{}

	// Only the goroutine of Run uses the fields below.

	node      *consensus.Node
	self      consensus.Member
	directory *consensus.Directory
	// joined is set once this host belongs to a group.
	joined bool
	// helloAt is when hello messages were last sent, or zero if they are due.
	helloAt time.Duration
	// waitingSince is since when this host waits to become a member, and waitLoggedAt when that
	// was last logged. Both are zero for a member.
	waitingSince, waitLoggedAt time.Duration
	// lowSince is since when this leader's group bears fewer losses than asked for, and
	// toleranceLoggedAt when that was last logged. Both are zero if it does not.
	lowSince, toleranceLoggedAt time.Duration
	// foundAfter is when founding a group may be tried again after the disk was full.
	foundAfter         time.Duration
	waiters            map[uint64]waiter // by log index
	lastLedAt          time.Duration     // when this host last led
	applied            uint64            // index of the last applied entry
	snapshotIndex      uint64            // index of the last stored snapshot
	bytesSinceSnapshot int               // size of the entries applied since the last snapshot began
	snapshotting       bool
}

// OpenGroup opens the data folder and recovers the member's state. The caller must
// call Run, which drives the member and closes the folder at its end.
func OpenGroup(o Options) (*Group, error) {
	o = withDefaults(o)
	store, content, err := storage.Open(storage.Options{Folder: o.Folder, Host: o.Host, MaxBytes: o.maxBytes, WriteFault: o.writeFault})
	if err != nil {
		return nil, err
	}
	self := consensus.Member{ID: content.ID, Host: o.Host, PeerAddress: o.PeerAddress}
	g := &Group{
		opts: o, logger: o.Logger.WithField("member", content.ID), store: store,
		inbox:         make(chan consensus.Message, inboxCapacity),
		submissions:   make(chan submission),
		snapshots:     make(chan consensus.Snapshot, 1),
		done:          make(chan struct{}),
		leaderChanged: make(chan struct{}),
		self:          self,
		directory:     consensus.NewDirectory(self, o.Bootstrap),
		joined:        content.Joined,
		waiters:       map[uint64]waiter{},
		recent:        newRecentLog(o.SnapshotBytes),
	}
	if err := g.recover(content.Initial); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	g.progressAt.Store(int64(g.now()))
	g.publishStatus()
	return g, nil
}

func withDefaults(o Options) Options {
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = defaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = o.ElectionTimeout / heartbeatsPerElection
	}
	if o.RepairAfter == 0 {
		o.RepairAfter = defaultRepairAfter
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.Now == nil {
		// Every process passes a clock that also counts the time in which the machine
		// is suspended. Tests in virtual time need this clock, since they would never
		// end with a real one.
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.Logger == nil {
		o.Logger = logrus.WithField("host", o.Host)
	}
	for _, m := range o.Bootstrap {
		if m.Host == o.Host && o.PeerAddress == "" {
			o.PeerAddress = m.PeerAddress
		}
	}
	return o
}

// recover creates the consensus node from stored content. Entries known to be
// committed are applied with the first Ready.
func (g *Group) recover(initial consensus.StoredState) error {
	if len(initial.Snapshot.Data) > 0 {
		s, err := state.Restore(initial.Snapshot.Data)
		if err != nil {
			return err
		}
		g.opts.Replica.ReplaceState(s)
	}
	id := g.self.ID
	node, err := consensus.New(consensus.Options{
		ID: id, ElectionTimeout: g.opts.ElectionTimeout, HeartbeatInterval: g.opts.HeartbeatInterval,
		DriftMargin: g.opts.ElectionTimeout / driftMarginDivisor, RepairAfter: g.opts.RepairAfter,
		TargetVoters: g.opts.TargetVoters,
		Rand:         rand.New(rand.NewSource(int64(id))),
	}, initial, g.now())
	if err != nil {
		return err
	}
	g.node = node
	g.applied, g.snapshotIndex = initial.Snapshot.Index, initial.Snapshot.Index
	g.recent.reset(g.applied)
	return nil
}

// now returns the time of the group's monotonic clock.
func (g *Group) now() time.Duration { return g.opts.Now() }

// Run drives the member until ctx ends or the data folder fails, and then closes
// the folder.
func (g *Group) Run(ctx context.Context) error {
	defer g.close()
	tick := time.NewTicker(g.opts.HeartbeatInterval / 4)
	defer tick.Stop()
	for {
		g.progressAt.Store(int64(g.now()))
		// Above the limit, submit blocks, so that a burst of proposals does not fill the
		// memory.
		submissions := g.submissions
		if len(g.waiters) >= maxWaiters {
			submissions = nil
		}
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			err = g.tick()
		case m := <-g.inbox:
			g.receiveMessage(m)
		case s := <-submissions:
			g.handleSubmission(s)
		case s := <-g.snapshots:
			err = g.saveSnapshot(s)
		}
		if err == nil {
			g.handleQueuedInputs()
			err = g.processReady(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			g.setStorageError(err)
			return err
		}
	}
}

// close ends the lease, fails all waiters and closes the data folder.
func (g *Group) close() {
	g.leaseUntil.Store(0)
	close(g.done)
	g.failWaiters("the process is shutting down")
	if err := g.store.Close(); err != nil {
		g.logger.WithError(err).Error("cannot close the data folder")
	}
}

// handleQueuedInputs handles the other queued messages and submissions, so that one
// write serves them all.
func (g *Group) handleQueuedInputs() {
	for range maxInputBatch {
		select {
		case m := <-g.inbox:
			g.receiveMessage(m)
		case s := <-g.submissions:
			g.handleSubmission(s)
		default:
			return
		}
	}
}

// tick advances the node's clock, sends due hello messages, and founds a group if
// all conditions for it hold. Without leadership for two election timeouts it
// fails all waiters.
func (g *Group) tick() error {
	g.node.Tick(g.now())
	n := g.node.Status()
	g.takeSeeds()
	g.sendHellos(n)
	g.logWait(n)
	g.logTolerance(n)
	if n.Role == consensus.Leader {
		g.lastLedAt = g.now()
	} else if len(g.waiters) > 0 && g.now()-g.lastLedAt > 2*g.opts.ElectionTimeout {
		g.failWaiters("leadership was lost")
	}
	return g.foundGroup()
}

func (g *Group) receiveMessage(m consensus.Message) {
	if m.Kind == consensus.MessageHello {
		g.receiveHello(m)
		return
	}
	if m.To != g.self.ID {
		return
	}
	if err := g.node.Step(g.now(), m); err != nil {
		g.logger.WithError(err).WithField("from", m.From).Error("consensus message rejected")
	}
}

// processReady carries out the node's outputs until there are none: it sends the
// early messages, writes, sends the other messages and applies committed entries,
// in this order.
func (g *Group) processReady(ctx context.Context) error {
	for {
		// A lease that the node has released must end in leaseUntil before the messages
		// that let another member campaign are sent.
		g.publishStatus()
		r := g.node.Ready()
		if r.Empty() {
			return nil
		}
		g.sendMessages(r.EarlyMessages)
		if g.opts.sendBeforeSync {
			g.sendMessages(r.Messages)
			r.Messages = nil
		}
		if r.NeedsWrite() {
			g.joined = true
			if err := g.saveReady(ctx, r); err != nil {
				return err
			}
		}
		g.sendMessages(r.Messages)
		if err := g.apply(r); err != nil {
			return err
		}
		g.node.Advance(r)
		g.startSnapshot()
	}
}

// saveReady makes r durable. On a full disk the member steps down, refuses
// proposals and repeats the write until there is space.
func (g *Group) saveReady(ctx context.Context, r consensus.Ready) error {
	err := g.store.Save(r)
	for isOutOfSpace(err) {
		g.node.StepDown(g.now())
		g.setStorageError(err)
		g.failWaiters("the data folder is full")
		if !g.refuseInputs(ctx, fullDiskRetryInterval, err) {
			return ctx.Err()
		}
		err = g.store.Save(r)
	}
	g.setStorageError(err)
	return err
}

// isOutOfSpace reports whether a write failed because the disk is full.
func isOutOfSpace(err error) bool {
	var writeErr *storage.WriteError
	return errors.As(err, &writeErr) && writeErr.OutOfSpace
}

// refuseInputs answers submissions with a StorageError and drops messages for
// duration d. It returns false if ctx ends first.
func (g *Group) refuseInputs(ctx context.Context, d time.Duration, cause error) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-g.inbox:
		case s := <-g.submissions:
			s.reply <- answer{err: &StorageError{cause}}
		}
	}
}

// setStorageError records the state of the data folder and logs its changes.
func (g *Group) setStorageError(err error) {
	g.mu.Lock()
	old := g.status.StorageErr
	g.status.StorageErr = err
	g.mu.Unlock()
	if (old == nil) == (err == nil) {
		return
	}
	if err != nil {
		g.logger.WithError(err).Error("cannot write to the data folder")
		g.publishStatus()
		return
	}
	g.logger.Info("writing to the data folder succeeds again")
}

// sendMessages sends all messages to a member in one call. It drops messages to a
// member whose address is not known.
func (g *Group) sendMessages(msgs []consensus.Message) {
	byMember := map[uint64][]consensus.Message{}
	var order []uint64
	for _, m := range msgs {
		if byMember[m.To] == nil {
			order = append(order, m.To)
		}
		byMember[m.To] = append(byMember[m.To], m)
	}
	membership := g.node.Status().Membership
	for _, id := range order {
		if to, ok := g.directory.Lookup(id, membership); ok {
			g.opts.Transport.Send(to, byMember[id])
		}
	}
}

// Step queues a message from another member for Run. It does not block, and drops
// the message if the queue is full.
func (g *Group) Step(m consensus.Message) {
	select {
	case g.inbox <- m:
	default:
	}
}

// CheckLease reports whether this host leads and holds a lease that is valid now.
func (g *Group) CheckLease() bool { return int64(g.now()) < g.leaseUntil.Load() }
