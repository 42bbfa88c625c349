// Package replica holds a process's copy of the replicated state and tells
// waiters when it changes.
package replica

import (
	"context"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// Replica is safe for concurrent use.
type Replica struct {
	mu      sync.RWMutex
	state   *state.State
	changed chan struct{}

	// visible counts the changes that a snapshot shows.
	visible uint64

	snapshotMu sync.Mutex
	snapshot   *state.State
	taken      uint64
}

// New returns a replica of s, which the replica then owns.
func New(s *state.State) *Replica {
	return &Replica{state: s, changed: make(chan struct{})}
}

// Apply executes a committed command and wakes waiters.
func (r *Replica) Apply(index uint64, c state.Command) state.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.state.Apply(index, c)
	if c.Claim == nil && c.Outcome == nil {
		r.visible++
	}
	r.notify()
	return res
}

// Reset replaces the state, if s is newer.
func (r *Replica) Reset(s *state.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Index < r.state.Index {
		return
	}
	r.state = s
	r.visible++
	r.notify()
}

func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// View calls f with the state. f must not keep or modify it.
func (r *Replica) View(f func(*state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Snapshot returns a copy of the state without claims, which must not be
// modified. Callers get the same copy until something besides claims changes,
// so its index may be behind that of the state.
func (r *Replica) Snapshot() *state.State {
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	r.View(func(s *state.State) {
		if r.snapshot == nil || r.taken != r.visible {
			r.snapshot, r.taken = s.ForFollowers(), r.visible
		}
	})
	return r.snapshot
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// WaitIndex blocks until the state has applied index.
func (r *Replica) WaitIndex(ctx context.Context, index uint64) error {
	for {
		changed := r.Changed()
		var have uint64
		r.View(func(s *state.State) { have = s.Index })
		if have >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
