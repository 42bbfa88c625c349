package control

import (
	"context"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// LocalLog commits at once to one replica, without durability. It serves
// single-process tests.
type LocalLog struct {
	mu      sync.Mutex
	index   uint64
	replica *replica.Replica
}

// NewLocalLog returns a log that applies to r.
func NewLocalLog(r *replica.Replica) *LocalLog { return &LocalLog{replica: r} }

// Propose applies c.
func (l *LocalLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.replica.Apply(l.index, c), nil
}
