package control

import (
	"context"
	"errors"
	"math/rand"
	"slices"
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
	// defaultElectionTimeout is many times the round trip of 3 ms between data
	// centres and one synced write, so that neither causes an election.
	defaultElectionTimeout = 500 * time.Millisecond
	defaultRepairAfter     = 30 * time.Second
	// defaultSnapshotEntries bounds what a restart has to apply again.
	defaultSnapshotEntries = 4096
)

const (
	// driftShare is the part of the election timeout that is kept out of the
	// lease. A fifth allows clock rates to differ by a factor of 1.25.
	driftShare = 5
	// heartbeats is the number of heartbeats in one election timeout.
	heartbeats = 5
	// inboxMessages bounds the messages waiting for the driver. More are
	// dropped, which the protocol tolerates.
	inboxMessages = 4096
	// maxWaiting bounds the proposals that are not settled yet.
	maxWaiting = 4096
	// maxBatch bounds the inputs taken before their effects are written, so that
	// one synced write serves many proposals.
	maxBatch = 512
	// fullRetry is the time between attempts to write on a full disk.
	fullRetry = time.Second
)

// Group runs this host's member of the replicated log and applies committed
// entries to the replica.
type Group struct {
	opts   Options
	logger *logrus.Entry
	store  *storage.Storage
	recent *recentLog

	inbox     chan consensus.Message
	requests  chan request
	snapshots chan consensus.Snapshot
	done      chan struct{}

	// leaseUntil is the end of the lease on the group's clock, in nanoseconds.
	leaseUntil atomic.Int64

	mu      sync.Mutex
	status  Status
	changed chan struct{}

	// The fields below belong to Run.

	node         *consensus.Node
	directory    *directory
	waiting      map[uint64]waiter
	notLeading   time.Duration // since when this host does not lead
	transferring int
	applied      uint64
	snapshotAt   uint64
	snapshotting bool
}

// OpenGroup opens the data folder and recovers the member's state. Run must be
// called to serve it and to release the folder.
func OpenGroup(o Options) (*Group, error) {
	o = withDefaults(o)
	store, content, err := storage.Open(storage.Options{Folder: o.Folder, Host: o.Host, MaxBytes: o.maxBytes})
	if err != nil {
		return nil, err
	}
	self := consensus.Member{ID: content.ID, Host: o.Host, PeerAddress: o.PeerAddress}
	g := &Group{
		opts: o, logger: o.Logger.WithField("member", content.ID), store: store,
		inbox:     make(chan consensus.Message, inboxMessages),
		requests:  make(chan request),
		snapshots: make(chan consensus.Snapshot, 1),
		done:      make(chan struct{}),
		changed:   make(chan struct{}),
		directory: newDirectory(self, content.Joined, o.Bootstrap),
		waiting:   map[uint64]waiter{},
		recent:    newRecentLog(),
	}
	if err := g.recover(content.Initial); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	g.publish()
	return g, nil
}

func withDefaults(o Options) Options {
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = defaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = o.ElectionTimeout / heartbeats
	}
	if o.RepairAfter == 0 {
		o.RepairAfter = defaultRepairAfter
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.Now == nil {
		// Every process passes a clock that also counts suspensions of the machine.
		// Tests in virtual time need this one: with a real clock they never end.
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

// recover starts the node from stored content. Entries known to be committed
// are applied by the first Ready.
func (g *Group) recover(initial consensus.StoredState) error {
	if len(initial.Snapshot.Data) > 0 {
		s, err := state.Restore(initial.Snapshot.Data)
		if err != nil {
			return err
		}
		g.opts.Replica.Reset(s)
	}
	id := g.directory.self.ID
	node, err := consensus.New(consensus.Options{
		ID: id, ElectionTimeout: g.opts.ElectionTimeout, HeartbeatInterval: g.opts.HeartbeatInterval,
		DriftMargin: g.opts.ElectionTimeout / driftShare, RepairAfter: g.opts.RepairAfter,
		Rand: rand.New(rand.NewSource(int64(id))),
	}, initial, g.now())
	if err != nil {
		return err
	}
	g.node = node
	g.applied, g.snapshotAt = initial.Snapshot.Index, initial.Snapshot.Index
	g.recent.reset(g.applied)
	return nil
}

// now is the group's monotonic clock.
func (g *Group) now() time.Duration { return g.opts.Now() }

// Run drives the member until ctx ends or the data folder fails, and then
// releases the folder.
func (g *Group) Run(ctx context.Context) error {
	defer g.close()
	tick := time.NewTicker(g.opts.HeartbeatInterval / 4)
	defer tick.Stop()
	for {
		// A burst of proposals waits in the callers, not in memory.
		requests := g.requests
		if len(g.waiting) >= maxWaiting {
			requests = nil
		}
		var err error
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			err = g.tick()
		case m := <-g.inbox:
			g.receive(m)
		case r := <-requests:
			g.handle(r)
		case s := <-g.snapshots:
			err = g.saveSnapshot(s)
		}
		if err == nil {
			g.drainInputs()
			err = g.process(ctx)
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

func (g *Group) close() {
	g.leaseUntil.Store(0)
	close(g.done)
	g.failWaiting("the process is ending")
	if err := g.store.Close(); err != nil {
		g.logger.WithError(err).Error("cannot close the data folder")
	}
}

// drainInputs takes what else is waiting, so that it shares one write.
func (g *Group) drainInputs() {
	for range maxBatch {
		select {
		case m := <-g.inbox:
			g.receive(m)
		case r := <-g.requests:
			g.handle(r)
		default:
			return
		}
	}
}

func (g *Group) tick() error {
	g.node.Tick(g.now())
	g.introduce()
	if g.node.Status().Role == consensus.Leader {
		g.notLeading = g.now()
	} else if len(g.waiting) > 0 && g.now()-g.notLeading > 2*g.opts.ElectionTimeout {
		g.failWaiting("leadership was lost")
	}
	return g.found()
}

func (g *Group) receive(m consensus.Message) {
	if m.Kind == consensus.MessageHello {
		g.receiveHello(m)
		return
	}
	if m.To != g.directory.self.ID {
		return
	}
	if err := g.node.Step(g.now(), m); err != nil {
		g.logger.WithError(err).WithField("from", m.From).Error("message refused")
	}
}

// process carries out the node's effects in their order.
func (g *Group) process(ctx context.Context) error {
	for {
		// A lease that was given up must be withdrawn before the messages that
		// let another member campaign are sent.
		g.publish()
		r := g.node.Ready()
		if r.Empty() {
			return nil
		}
		g.transmit(r.EarlyMessages)
		if g.opts.sendFirst {
			g.transmit(r.Messages)
			r.Messages = nil
		}
		if r.NeedsWrite() {
			g.directory.joined = true
			if err := g.save(ctx, r); err != nil {
				return err
			}
		}
		g.transmit(r.Messages)
		if err := g.apply(r); err != nil {
			return err
		}
		g.node.Advance(r)
		g.startSnapshot()
	}
}

// save makes r durable. On a full disk the member stops leading, refuses
// proposals and repeats the write until there is space.
func (g *Group) save(ctx context.Context, r consensus.Ready) error {
	err := g.store.Save(r)
	var write *storage.WriteError
	for errors.As(err, &write) && write.Full {
		g.node.StepDown(g.now())
		g.setStorageError(err)
		g.failWaiting("the data folder is full")
		if !g.refuseFor(ctx, fullRetry, err) {
			return ctx.Err()
		}
		err = g.store.Save(r)
	}
	g.setStorageError(err)
	return err
}

// refuseFor answers requests with an error and drops messages for d.
func (g *Group) refuseFor(ctx context.Context, d time.Duration, cause error) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-g.inbox:
		case r := <-g.requests:
			r.reply <- answer{err: &StorageError{cause}}
		}
	}
}

func (g *Group) setStorageError(err error) {
	g.mu.Lock()
	old := g.status.StorageErr
	g.status.StorageErr = err
	g.mu.Unlock()
	if (old == nil) == (err == nil) {
		return
	}
	if err != nil {
		g.logger.WithError(err).Error("the data folder cannot be written")
		g.publish()
		return
	}
	g.logger.Info("the data folder can be written again")
}

func (g *Group) transmit(msgs []consensus.Message) {
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
		if to, ok := g.directory.lookup(id, membership); ok {
			g.opts.Transport.Send(to, byMember[id])
		}
	}
}

// Step hands over a message from another member. It does not block.
func (g *Group) Step(m consensus.Message) {
	select {
	case g.inbox <- m:
	default:
	}
}

// CheckLease reports whether this host leads and holds a valid lease now.
func (g *Group) CheckLease() bool { return int64(g.now()) < g.leaseUntil.Load() }

// Status returns the current view.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.status
	s.LeaseValid = g.CheckLease()
	// A proposal is answered before the driver publishes its next view.
	g.opts.Replica.View(func(st *state.State) { s.Applied = st.Index })
	return s
}

// publish makes the node's view visible to other goroutines.
func (g *Group) publish() {
	g.leaseUntil.Store(int64(g.node.LeaseUntil()))
	n := g.node.Status()
	s := Status{Term: n.Term, Last: n.Last, Self: g.directory.self.ID, Leading: n.Role == consensus.Leader}
	for _, m := range n.Membership.All() {
		if known, ok := g.directory.lookup(m.ID, n.Membership); ok {
			m = known
		}
		s.Members = append(s.Members, MemberStatus{Member: m, Voter: n.Membership.IsVoter(m.ID)})
	}
	if m, ok := g.directory.lookup(n.Leader, n.Membership); ok {
		s.Leader = m.Host
	}
	for _, id := range n.Responsive {
		if m, ok := g.directory.lookup(id, n.Membership); ok {
			s.Answering = append(s.Answering, m.Host)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.StorageErr = g.status.StorageErr
	if s.Leader != g.status.Leader || s.Term != g.status.Term {
		g.logger.WithFields(logrus.Fields{"leader": s.Leader, "term": s.Term}).Info("leadership changed")
		close(g.changed)
		g.changed = make(chan struct{})
	}
	if !slices.EqualFunc(s.Members, g.status.Members, sameVote) {
		voters, learners := s.hosts()
		g.logger.WithFields(logrus.Fields{"voters": voters, "learners": learners}).Info("membership changed")
	}
	g.status = s
}

func sameVote(a, b MemberStatus) bool { return a.ID == b.ID && a.Voter == b.Voter }

// hosts returns the names of the voters and learners.
func (s Status) hosts() (voters, learners []string) {
	for _, m := range s.Members {
		if m.Voter {
			voters = append(voters, m.Host)
		} else {
			learners = append(learners, m.Host)
		}
	}
	return voters, learners
}
