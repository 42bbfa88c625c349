package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

const (
	// maxRecentEntries and maxRecentBytes bound the entries kept for followers. A
	// follower that is further behind gets a snapshot.
	maxRecentEntries = 8192
	maxRecentBytes   = 8 << 20
	// maxUpdateEntries and maxUpdateBytes bound the entries in one update, so that it
	// arrives over a link of 10 Mbit/s well within the time after which a follower
	// believes that the connection has stalled.
	maxUpdateEntries = 256
	maxUpdateBytes   = 256 << 10
	// leaderlessFollowTimeouts is the number of election timeouts without a known
	// leader after which a host is no longer followed. Elections usually take one or
	// two. A host that is cut off or no member of the group applies no new entries, so
	// its followers would serve an old configuration.
	leaderlessFollowTimeouts = 3
	// stallCheckInterval is how often a followed host checks whether it is stalled, and
	// maxStall the longest time without progress for which it is still followed: a disk
	// that syncs slowly but steadily is no reason to move its followers.
	stallCheckInterval = 100 * time.Millisecond
	maxStall           = 300 * time.Millisecond
)

// recentLog keeps the newest applied entries, as followers receive them. The followers of
// a host share the encoding of each entry.
type recentLog struct {
	mu sync.Mutex
	// base is the log index of the last entry before entries[0].
	base    uint64
	entries []FollowEntry
	// maxReplay is the work of applying entries, in bytes decoded, above which a snapshot takes
	// less.
	maxReplay int
	// bytes is the size of the encoded entries.
	bytes int
	// changed is closed at the next change.
	changed chan struct{}
}

func newRecentLog(maxReplay int) *recentLog {
	return &recentLog{maxReplay: maxReplay, changed: make(chan struct{})}
}

// add appends applied entries, whose indexes continue the log, and drops the
// oldest entries above the limits.
func (l *recentLog) add(batch []FollowEntry) {
	if len(batch) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range batch {
		l.entries = append(l.entries, e)
		l.bytes += e.size()
	}
	for len(l.entries) > maxRecentEntries || l.bytes > maxRecentBytes && len(l.entries) > 1 {
		l.base = l.entries[0].Index
		l.bytes -= l.entries[0].size()
		l.entries[0] = FollowEntry{}
		l.entries = l.entries[1:]
	}
	l.notify()
}

// size returns the approximate size of the entry in memory and in a message.
func (e FollowEntry) size() int {
	const overheadBytes = 64
	return overheadBytes + len(e.Command)
}

// reset drops all entries after a snapshot at index base was restored.
func (l *recentLog) reset(base uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.entries, l.bytes = base, nil, 0
	l.notify()
}

func (l *recentLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// entriesAfter returns the next entries after index from, within the limits of one
// update. available is false if they are no longer kept, or if all entries after from
// are larger than maxBytes or take more than maxReplay to apply. changed is closed at the next change.
func (l *recentLog) entriesAfter(from uint64, maxBytes int) (batch []FollowEntry, available bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.base {
		return nil, false, l.changed
	}
	rest := l.entries[min(from-l.base, uint64(len(l.entries))):]
	total, replay, count := 0, 0, 0
	for i, e := range rest {
		total += e.size()
		replay += e.replay
		if i < maxUpdateEntries && (i == 0 || total <= maxUpdateBytes) {
			count = i + 1
		}
	}
	if total > maxBytes || replay > l.maxReplay {
		return nil, false, l.changed
	}
	return append([]FollowEntry(nil), rest[:count]...), true, l.changed
}

// Follow sends the committed entries above index from, after a snapshot if they are no
// longer kept or are larger than one. It returns when ctx or Run ends, with the error if
// send fails, with a *StalledError if this host makes no progress, and with a
// *NotLeaderError if this host has known no leader for leaderlessFollowTimeouts.
func (g *Group) Follow(ctx context.Context, from uint64, send func(FollowUpdate) error) error {
	for ctx.Err() == nil {
		if err := g.checkProgress(); err != nil {
			return err
		}
		batch, available, changed := g.recent.entriesAfter(from, g.followerSnapshots.maxEntryBytes())
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

// waitForEntries waits for new entries or a change of the leader. ended is true if ctx
// or Run has ended.
func (g *Group) waitForEntries(ctx context.Context, changed <-chan struct{}) (ended bool, err error) {
	known, leaderChanged := g.knownLeader()
	var leaderless <-chan time.Time
	if !known {
		timer := time.NewTimer(leaderlessFollowTimeouts * g.opts.ElectionTimeout)
		defer timer.Stop()
		leaderless = timer.C
	}
	stallCheck := time.NewTicker(stallCheckInterval)
	defer stallCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return true, nil
		case <-g.done:
			return true, nil
		case <-leaderless:
			return false, &NotLeaderError{}
		case <-leaderChanged:
			return false, nil
		case <-changed:
			return false, nil
		case <-stallCheck.C:
			if err := g.checkProgress(); err != nil {
				return false, err
			}
		}
	}
}

// checkProgress returns a *StalledError if the loop of Run has stood still for maxStall, for
// example because it waits for a disk, or if the data folder cannot be written.
func (g *Group) checkProgress() error {
	g.mu.Lock()
	storageErr := g.status.StorageErr
	g.mu.Unlock()
	stalled := g.now() - time.Duration(g.progressAt.Load())
	if g.opts.followStalled || storageErr == nil && stalled <= maxStall {
		return nil
	}
	return &StalledError{For: stalled, Err: storageErr}
}

// knownLeader reports whether a leader is known. changed is closed at the next
// change of the leader or the term.
func (g *Group) knownLeader() (known bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status.Leader != "", g.leaderChanged
}

// followerSnapshots keeps the newest snapshot that was encoded for a follower, so that
// hosts that start together cost one encoding.
type followerSnapshots struct {
	mu    sync.Mutex
	index uint64
	data  []byte
	// size is that of data. It is read without mu, which is held while a snapshot is encoded.
	size atomic.Int64
}

// maxEntryBytes returns the size of entries above which a snapshot is sent in their place.
func (s *followerSnapshots) maxEntryBytes() int {
	return max(maxUpdateBytes, 2*int(s.size.Load()))
}

// followerSnapshot returns a snapshot for followers and its index. The last one is used
// again while the entries after it are kept and are smaller.
func (g *Group) followerSnapshot() (index uint64, data []byte, err error) {
	s := &g.followerSnapshots
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.data) > 0 {
		if _, available, _ := g.recent.entriesAfter(s.index, len(s.data)); available {
			return s.index, s.data, nil
		}
	}
	var stateCopy *state.State
	g.opts.Replica.View(func(st *state.State) { stateCopy = st.ForFollowers() })
	if s.data, err = stateCopy.Snapshot(); err != nil {
		return 0, nil, err
	}
	s.index = stateCopy.Index
	s.size.Store(int64(len(s.data)))
	return s.index, s.data, nil
}
