package peer

import (
	"context"
	"errors"
	"math/rand"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

const (
	// followTimeout is how long a Follow stream may be quiet before another
	// control host is followed; updates come at least once a second.
	followTimeout = 3 * time.Second
	// lagCheckInterval is how often a follower compares its index with the
	// control hosts', to leave one that is cut off from the others.
	lagCheckInterval = 2 * time.Second
	// quorumInterval separates attempts to ask a majority.
	quorumInterval = 100 * time.Millisecond
)

var (
	errQuiet  = errors.New("no update arrived in time")
	errBehind = errors.New("the followed host is behind another")
)

// Follower keeps a replica up to date from the control hosts.
type Follower struct {
	client    *Client
	directory Directory
	replica   *replica.Replica
	logger    *logrus.Entry
	rand      *rand.Rand
	failovers atomic.Int64
	// self and local are this host's name and its member of the log, if any.
	self  string
	local Group
}

// NewFollower returns a follower that feeds r. A control host, whose own member
// feeds r, passes it as local and uses only WaitCurrent.
func NewFollower(c *Client, d Directory, r *replica.Replica, logger *logrus.Entry, rng *rand.Rand, self string, local Group) *Follower {
	return &Follower{client: c, directory: d, replica: r, logger: logger, rand: rng, self: self, local: local}
}

// Failovers counts the streams that ended.
func (f *Follower) Failovers() int64 { return f.failovers.Load() }

// Run follows one control host after the other until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	last := ""
	for ctx.Err() == nil {
		address := f.choose(last)
		if address != "" {
			err := f.follow(ctx, address)
			last = address
			if ctx.Err() == nil {
				f.failovers.Add(1)
				f.logger.WithError(err).WithField("peer", address).Info("following another control host")
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

// choose returns a random control host other than the last one, if there is one.
func (f *Follower) choose(last string) string {
	var all []string
	for _, a := range f.directory.ControlHosts() {
		all = append(all, a)
	}
	slices.Sort(all)
	others := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == last })
	if len(others) > 0 {
		all = others
	}
	if len(all) == 0 {
		return ""
	}
	return all[f.rand.Intn(len(all))]
}

func (f *Follower) index() uint64 {
	var index uint64
	f.replica.View(func(s *state.State) { index = s.Index })
	return index
}

// follow applies the updates of one control host until its stream ends, is
// quiet for too long, or falls behind the other control hosts.
func (f *Follower) follow(ctx context.Context, address string) error {
	stub, err := f.client.stub(ctx, OpFollow, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := stub.Follow(ctx, &peerpb.FollowRequest{From: f.index()})
	if err != nil {
		return callError(OpFollow, address, err)
	}
	quiet := time.AfterFunc(followTimeout, func() { cancel(errQuiet) })
	defer quiet.Stop()
	go f.watchLag(ctx, cancel)
	for {
		m, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			if errors.Is(err, errQuiet) {
				f.client.reset(address)
			}
			return callError(OpFollow, address, err)
		}
		quiet.Reset(followTimeout)
		u, err := updateFromProto(m)
		if err != nil {
			return err
		}
		if err := f.apply(u); err != nil {
			return err
		}
	}
}

// watchLag ends a stream when a control host has applied an entry that has not
// arrived here one interval later.
func (f *Follower) watchLag(ctx context.Context, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(lagCheckInterval)
	defer tick.Stop()
	var highest uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if f.index() < highest {
			cancel(errBehind)
			return
		}
		if a := f.choose(""); a != "" {
			if s, err := f.client.Status(ctx, a); err == nil {
				highest = max(highest, s.Applied)
			}
		}
	}
}

func (f *Follower) apply(u control.Update) error {
	if len(u.Snapshot) > 0 {
		s, err := state.Restore(u.Snapshot)
		if err != nil {
			return &MessageError{Part: "snapshot", Err: err}
		}
		f.replica.Reset(s)
	}
	for _, e := range u.Entries {
		f.replica.Apply(e.Index, e.Command)
	}
	return nil
}

// WaitCurrent blocks until the replica has reached the highest index in the
// logs of a majority of the voters, so that a starting host never serves with
// an older configuration than one that was already reflected in an answer. The
// applied index would not do: the voters that answer may hold an entry that
// only the leader knows to be committed. The majority is asked again while the
// index is not reached, since an entry that was never committed may vanish.
func (f *Follower) WaitCurrent(ctx context.Context) error {
	for ctx.Err() == nil {
		index, ok := f.majorityIndex(ctx)
		if ok && f.index() >= index {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(quorumInterval):
		}
	}
	return ctx.Err()
}

// majorityIndex asks the control hosts. The voters are those that the host with
// the highest applied index knows.
func (f *Follower) majorityIndex(ctx context.Context) (uint64, bool) {
	addresses := f.directory.ControlHosts()
	type answer struct {
		host   string
		status control.Status
		err    error
	}
	answers := make(chan answer, len(addresses))
	for host, a := range addresses {
		go func() {
			s, err := f.client.Status(ctx, a)
			answers <- answer{host, s, err}
		}()
	}
	heard := map[string]bool{}
	var highest control.Status
	var last uint64
	if f.local != nil {
		highest = f.local.Status()
		last = highest.Last
		heard[f.self] = true
	}
	for range addresses {
		a := <-answers
		if a.err != nil {
			continue
		}
		heard[a.host] = true
		last = max(last, a.status.Last)
		if a.status.Applied >= highest.Applied {
			highest = a.status
		}
	}
	voters, known := 0, 0
	for _, m := range highest.Members {
		if m.Voter {
			voters++
			if heard[m.Host] {
				known++
			}
		}
	}
	return last, known > voters/2
}
