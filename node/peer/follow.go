package peer

import (
	"context"
	"errors"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/staleness"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

const (
	// followTimeout is the longest wait for an update on a Follow stream before
	// another control host is followed; it is twice the longest time between two
	// updates, which is 1.5 s (see keepAliveInterval).
	followTimeout = 3 * time.Second
	// quorumRetryDelay is the pause between two queries of the last log index of a
	// majority.
	quorumRetryDelay = 100 * time.Millisecond
)

var errUpdateTimeout = errors.New("no update arrived before the stream timeout")

// Follower keeps a replica up to date with the log entries that it receives from
// a control host.
type Follower struct {
	client       *Client
	directory    Directory
	replica      *replica.Replica
	logger       *logrus.Entry
	rand         *rand.Rand
	endedStreams atomic.Int64
	// applying is true while an update is applied.
	applying atomic.Bool
	now      func() time.Duration
	// self is this host's name.
	self string
	// localMember is this host's member of the replicated log; nil without the
	// control role.
	localMember LogMember

	mu      sync.Mutex
	monitor *staleness.Monitor
	// leaderAddress is the peer address of the host that last told what is committed.
	leaderAddress string
}

// NewFollower returns a follower that applies updates to r. A control host
// passes its own member of the replicated log as localMember; that member updates
// r, so the host calls only WaitCaughtUp and not Run.
func NewFollower(c *Client, d Directory, r *replica.Replica, logger *logrus.Entry, rng *rand.Rand, self string, localMember LogMember) *Follower {
	return &Follower{
		client: c, directory: d, replica: r, logger: logger, rand: rng, self: self, localMember: localMember,
		now: bootclock.New(), monitor: staleness.New(),
	}
}

// EndedStreams returns the number of Follow streams that failed or could not be
// opened.
func (f *Follower) EndedStreams() int64 { return f.endedStreams.Load() }

// Run follows a control host until ctx ends, and another one whenever the stream
// fails.
func (f *Follower) Run(ctx context.Context) error {
	polling, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	go f.pollStatus(polling)
	lastAddress := ""
	for ctx.Err() == nil {
		address := f.nextControlHost(lastAddress)
		if address != "" {
			f.recordSwitch(address)
			err := f.follow(ctx, address)
			lastAddress = address
			if ctx.Err() == nil {
				f.endedStreams.Add(1)
				f.logger.WithError(err).WithField("peer", address).Info("follow stream failed; choosing a control host to follow")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

// pickControlHost returns the address of a random control host, if possible not
// the one at the address except. It returns "" if no control host is known.
func (f *Follower) pickControlHost(except string) string {
	var all []string
	for _, address := range f.directory.ControlHosts() {
		all = append(all, address)
	}
	slices.Sort(all)
	others := slices.DeleteFunc(slices.Clone(all), func(address string) bool { return address == except })
	if len(others) > 0 {
		all = others
	}
	if len(all) == 0 {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return all[f.rand.Intn(len(all))]
}

// appliedIndex returns the index of the last entry that the replica has applied.
func (f *Follower) appliedIndex() uint64 {
	var index uint64
	f.replica.View(func(s *state.State) { index = s.Index })
	return index
}

// follow applies the updates of the control host at address. It returns an error
// when the stream ends, no update arrives within followTimeout, or that host
// falls behind another control host.
func (f *Follower) follow(running context.Context, address string) error {
	stub, err := f.client.connectedStub(running, OpFollow, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(running)
	defer cancel(nil)
	stream, err := stub.Follow(ctx, &peerpb.FollowRequest{From: f.appliedIndex()})
	if err != nil {
		return newCallError(OpFollow, address, err)
	}
	timer := time.AfterFunc(followTimeout, func() { cancel(errUpdateTimeout) })
	defer timer.Stop()
	go f.watchLag(ctx, cancel, f.client.received(address), timer)
	for {
		message, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			switch {
			case errors.Is(err, errUpdateTimeout):
				f.client.dropConnection(address)
			case errors.Is(err, errHostBehind):
				go f.probeConnection(running, address)
			}
			return newCallError(OpFollow, address, err)
		}
		timer.Reset(followTimeout)
		if err := f.apply(updateFromProto(message)); err != nil {
			return err
		}
	}
}

// probeConnection drops the connection to address if the host gives no answer over it. Other
// calls, whose outcome would become unknown, may be in progress on a connection that works.
func (f *Follower) probeConnection(ctx context.Context, address string) {
	_, _ = f.client.Status(ctx, address)
}

// apply applies an update.
func (f *Follower) apply(update control.FollowUpdate) error {
	f.applying.Store(true)
	defer f.applying.Store(false)
	if len(update.Snapshot) > 0 {
		s, err := state.Restore(update.Snapshot)
		if err != nil {
			return &MessageError{Part: "snapshot", Err: err}
		}
		f.replica.ReplaceState(s)
	}
	for _, e := range update.Entries {
		c, err := state.DecodeCommand(e.Command)
		if err != nil {
			return &MessageError{Part: "command", Err: err}
		}
		f.replica.Apply(e.Index, c)
	}
	return nil
}

// WaitCaughtUp blocks until the replica has applied the highest index that the
// logs of a majority of the voters contain. This ensures that a starting host
// never serves with an older configuration than one that an answer has already
// reflected. The applied index of the majority is not sufficient: the voters
// that answer may store an entry that only the leader knows to be committed. The
// majority is queried again until the index is reached, because an entry that
// was never committed may be removed from the logs. The error is that of ctx.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	for ctx.Err() == nil {
		index, ok := f.majorityLastIndex(ctx)
		if ok && f.appliedIndex() >= index {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(quorumRetryDelay):
		}
	}
	return ctx.Err()
}

// majorityLastIndex queries all control hosts and returns the highest last log
// index among them, and whether a majority of the voters has answered. The voters
// are taken from the status with the highest applied index.
func (f *Follower) majorityLastIndex(ctx context.Context) (uint64, bool) {
	addresses := f.directory.ControlHosts()
	type answer struct {
		host   string
		status control.Status
		err    error
	}
	answers := make(chan answer, len(addresses))
	for host, address := range addresses {
		go func() {
			status, err := f.client.Status(ctx, address)
			answers <- answer{host, status, err}
		}()
	}
	answered := map[string]bool{}
	var newest control.Status
	var lastIndex uint64
	if f.localMember != nil {
		newest = f.localMember.Status()
		lastIndex = newest.LastIndex
		answered[f.self] = true
	}
	for range addresses {
		a := <-answers
		if a.err != nil {
			continue
		}
		answered[a.host] = true
		lastIndex = max(lastIndex, a.status.LastIndex)
		if a.status.AppliedIndex >= newest.AppliedIndex {
			newest = a.status
		}
	}
	voters, answeredVoters := 0, 0
	for _, m := range newest.Members {
		if m.Voter {
			voters++
			if answered[m.Host] {
				answeredVoters++
			}
		}
	}
	return lastIndex, answeredVoters > voters/2
}
