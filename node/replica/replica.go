// Package replica holds the copy of the replicated state in one process and
// notifies waiting goroutines of changes. It does not concern the replicas of
// models on backend servers.
package replica

import (
	"context"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// Replica is a copy of the replicated state. It is safe for concurrent use.
type Replica struct {
	mu    sync.RWMutex
	state *state.State
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	// visibleChanges counts the changes to the part of the state that snapshots
	// contain, which is all of it except claims.
	visibleChanges uint64

	snapshotMu sync.Mutex
	snapshot   *state.State
	// snapshotChanges is the value of visibleChanges when snapshot was copied.
	snapshotChanges uint64
}

// New returns a replica with the initial state s. The caller must not use s
// afterwards.
func New(s *state.State) *Replica {
	return &Replica{state: s, changed: make(chan struct{})}
}

// Apply applies the committed command at index, notifies waiting goroutines and
// returns the result of the command.
func (r *Replica) Apply(index uint64, c state.Command) state.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := r.state.Apply(index, c)
	if c.Claim == nil && c.Outcome == nil {
		r.visibleChanges++
	}
	r.notify()
	return res
}

// ReplaceState replaces the state with s, unless the index of s is lower than that
// of the current state. The caller must not use s afterwards.
func (r *Replica) ReplaceState(s *state.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Index < r.state.Index {
		return
	}
	r.state = s
	r.visibleChanges++
	r.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (r *Replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// View calls f with the state. f must not modify the state or keep a reference to
// it.
func (r *Replica) View(f func(*state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Snapshot returns a copy of the state without claims. All callers share the copy
// and must not modify it. It is replaced only after a change to something other
// than claims, so its index may be lower than that of the state.
func (r *Replica) Snapshot() *state.State {
	r.snapshotMu.Lock()
	defer r.snapshotMu.Unlock()
	r.View(func(s *state.State) {
		if r.snapshot == nil || r.snapshotChanges != r.visibleChanges {
			r.snapshot, r.snapshotChanges = s.ForFollowers(), r.visibleChanges
		}
	})
	return r.snapshot
}

// Changed returns a channel that is closed at the next change of the state.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// WaitIndex blocks until the command at index has been applied. It returns the
// error of ctx if ctx ends first.
func (r *Replica) WaitIndex(ctx context.Context, index uint64) error {
	for {
		changed := r.Changed()
		var applied uint64
		r.View(func(s *state.State) { applied = s.Index })
		if applied >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
