package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// Limits on the entries kept for followers. A follower that needs older entries
// receives a snapshot.
const (
	maxRecentEntries = 8192
	maxRecentBytes   = 32 << 20
	// maxUpdateEntries bounds the entries in one update.
	maxUpdateEntries = 256
	// leaderlessFollowTimeouts is the number of election timeouts without a known
	// leader after which a host is no longer followed. Elections usually take one or
	// two. A host that is cut off or no member of the group applies no new entries, so
	// its followers would serve an old configuration.
	leaderlessFollowTimeouts = 3
)

// recentLog keeps the most recently applied commands in memory.
type recentLog struct {
	mu sync.Mutex
	// base is the log index of the last entry before entries[0].
	base    uint64
	entries []FollowEntry
	// sizes holds the estimated bytes of each entry; bytes is their sum.
	sizes []int
	bytes int
	// changed is closed at the next change.
	changed chan struct{}
}

func newRecentLog() *recentLog { return &recentLog{changed: make(chan struct{})} }

// add appends a batch and drops the oldest entries above the limits.
func (l *recentLog) add(batch []FollowEntry) {
	if len(batch) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range batch {
		l.entries = append(l.entries, e)
		l.sizes = append(l.sizes, commandSize(e.Command))
		l.bytes += l.sizes[len(l.sizes)-1]
	}
	for len(l.entries) > maxRecentEntries || l.bytes > maxRecentBytes && len(l.entries) > 1 {
		l.base = l.entries[0].Index
		l.bytes -= l.sizes[0]
		l.entries[0] = FollowEntry{}
		l.entries, l.sizes = l.entries[1:], l.sizes[1:]
	}
	l.notify()
}

// commandSize estimates the memory of a command in bytes. Only configurations are
// large.
func commandSize(c state.Command) int {
	const baseBytes = 512
	if c.Configure == nil {
		return baseBytes
	}
	data, err := json.Marshal(c.Configure)
	if err != nil {
		return baseBytes
	}
	return baseBytes + len(data)
}

// reset drops all entries. The next entry has the log index base+1.
func (l *recentLog) reset(base uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.entries, l.sizes, l.bytes = base, nil, nil, 0
	l.notify()
}

// notify wakes the waiting followers. The caller holds the lock.
func (l *recentLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// entriesAfter returns up to maxUpdateEntries entries above index from. available
// is false if some of them have already been dropped.
func (l *recentLog) entriesAfter(from uint64) (batch []FollowEntry, available bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.base {
		return nil, false, l.changed
	}
	skip := min(from-l.base, uint64(len(l.entries)))
	rest := l.entries[skip:]
	return append([]FollowEntry(nil), rest[:min(len(rest), maxUpdateEntries)]...), true, l.changed
}

// Follow sends every committed entry above index from until ctx ends or send
// fails. If some of these entries are no longer kept, it sends a snapshot first.
// It returns nil when ctx or the group ends, and a *NotLeaderError if this host knows
// no leader for leaderlessFollowTimeouts election timeouts.
func (g *Group) Follow(ctx context.Context, from uint64, send func(FollowUpdate) error) error {
	for ctx.Err() == nil {
		batch, available, changed := g.recent.entriesAfter(from)
		switch {
		case !available:
			index, data, err := g.followerSnapshot()
			if err != nil {
				return err
			}
			if err := send(FollowUpdate{Snapshot: data}); err != nil {
				return err
			}
			from = index
		case len(batch) > 0:
			if err := send(FollowUpdate{Entries: batch}); err != nil {
				return err
			}
			from = batch[len(batch)-1].Index
		default:
			ended, err := g.waitForEntries(ctx, changed)
			if ended || err != nil {
				return err
			}
		}
	}
	return nil
}

// waitForEntries waits until changed is closed or the leader changes. It reports
// whether ctx or the group has ended, and returns a *NotLeaderError if this host knew
// no leader for too long.
func (g *Group) waitForEntries(ctx context.Context, changed <-chan struct{}) (ended bool, err error) {
	known, leaderChanged := g.knownLeader()
	var leaderless <-chan time.Time
	if !known {
		timer := time.NewTimer(leaderlessFollowTimeouts * g.opts.ElectionTimeout)
		defer timer.Stop()
		leaderless = timer.C
	}
	select {
	case <-ctx.Done():
		return true, nil
	case <-g.done:
		return true, nil
	case <-leaderless:
		return false, &NotLeaderError{}
	case <-leaderChanged:
	case <-changed:
	}
	return false, nil
}

// knownLeader reports whether this host knows the leader, and returns a channel that
// is closed at the next change of the leader or the term.
func (g *Group) knownLeader() (known bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status.Leader != "", g.leaderChanged
}

// followerSnapshot encodes the current state for a follower, with its log index.
func (g *Group) followerSnapshot() (index uint64, data []byte, err error) {
	var stateCopy *state.State
	g.opts.Replica.View(func(s *state.State) { stateCopy = s.ForFollowers() })
	data, err = stateCopy.Snapshot()
	return stateCopy.Index, data, err
}
