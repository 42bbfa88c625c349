package control

import (
	"context"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// LocalLog applies commands immediately to one replica and stores nothing. It is
// for tests in a single process.
type LocalLog struct {
	mu      sync.Mutex
	index   uint64
	replica *replica.Replica
}

// NewLocalLog returns a log that applies commands to r.
func NewLocalLog(r *replica.Replica) *LocalLog { return &LocalLog{replica: r} }

// Propose applies c at the next index and returns its result.
func (l *LocalLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.replica.Apply(l.index, c), nil
}
