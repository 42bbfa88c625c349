package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// Limits of the entries that are kept for followers. One that is further
// behind gets a snapshot.
const (
	maxRecentEntries = 8192
	maxRecentBytes   = 32 << 20
	// maxUpdateEntries bounds one update.
	maxUpdateEntries = 256
)

// recentLog keeps the newest applied commands.
type recentLog struct {
	mu sync.Mutex
	// base is the index before the first entry.
	base    uint64
	entries []UpdateEntry
	sizes   []int
	bytes   int
	changed chan struct{}
}

func newRecentLog() *recentLog { return &recentLog{changed: make(chan struct{})} }

func (l *recentLog) add(batch []UpdateEntry) {
	if len(batch) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range batch {
		l.entries = append(l.entries, e)
		l.sizes = append(l.sizes, sizeOf(e.Command))
		l.bytes += l.sizes[len(l.sizes)-1]
	}
	for len(l.entries) > maxRecentEntries || l.bytes > maxRecentBytes && len(l.entries) > 1 {
		l.base = l.entries[0].Index
		l.bytes -= l.sizes[0]
		l.entries[0] = UpdateEntry{}
		l.entries, l.sizes = l.entries[1:], l.sizes[1:]
	}
	l.notify()
}

// sizeOf estimates the memory that a command holds. Only configurations are large.
func sizeOf(c state.Command) int {
	const small = 512
	if c.Configure == nil {
		return small
	}
	data, err := json.Marshal(c.Configure)
	if err != nil {
		return small
	}
	return small + len(data)
}

func (l *recentLog) reset(base uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.entries, l.sizes, l.bytes = base, nil, nil, 0
	l.notify()
}

func (l *recentLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns entries above from. kept is false if some of them are gone.
func (l *recentLog) after(from uint64) (batch []UpdateEntry, kept bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.base {
		return nil, false, l.changed
	}
	skip := min(from-l.base, uint64(len(l.entries)))
	rest := l.entries[skip:]
	return append([]UpdateEntry(nil), rest[:min(len(rest), maxUpdateEntries)]...), true, l.changed
}

// Follow sends every committed entry above index from, preceded by a snapshot
// if the entries are no longer kept, until ctx ends or send fails. It returns
// nil when ctx or the group ends.
func (g *Group) Follow(ctx context.Context, from uint64, send func(Update) error) error {
	for ctx.Err() == nil {
		batch, kept, changed := g.recent.after(from)
		switch {
		case !kept:
			index, data, err := g.followerSnapshot()
			if err != nil {
				return err
			}
			if err := send(Update{Snapshot: data}); err != nil {
				return err
			}
			from = index
		case len(batch) > 0:
			if err := send(Update{Entries: batch}); err != nil {
				return err
			}
			from = batch[len(batch)-1].Index
		default:
			select {
			case <-ctx.Done():
				return nil
			case <-g.done:
				return nil
			case <-changed:
			}
		}
	}
	return nil
}

func (g *Group) followerSnapshot() (index uint64, data []byte, err error) {
	var copied *state.State
	g.opts.Replica.View(func(s *state.State) { copied = s.ForFollowers() })
	data, err = copied.Snapshot()
	return copied.Index, data, err
}
