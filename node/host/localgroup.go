package host

import (
	"context"
	"sync"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
)

// localGroup is a group of one voter without durability. It stands in until
// control.Group runs.
type localGroup struct {
	options control.Options

	mu      sync.Mutex
	entries []control.UpdateEntry
	changed chan struct{}
}

func init() {
	openGroup = func(o control.Options) (group, error) {
		return &localGroup{options: o, changed: make(chan struct{})}, nil
	}
}

func (g *localGroup) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (g *localGroup) Propose(_ context.Context, c state.Command) (state.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	index := uint64(len(g.entries) + 1)
	g.entries = append(g.entries, control.UpdateEntry{Index: index, Command: c.ForFollowers()})
	close(g.changed)
	g.changed = make(chan struct{})
	return g.options.Replica.Apply(index, c), nil
}

func (g *localGroup) Step(consensus.Message) {}

func (g *localGroup) Status() control.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return control.Status{
		Leader: g.options.Host, Term: 1, Applied: uint64(len(g.entries)), LeaseValid: true,
		Members: []control.MemberStatus{{Member: consensus.Member{ID: 1, Host: g.options.Host, PeerAddress: g.options.PeerAddress}, Voter: true}},
	}
}

func (g *localGroup) CheckLease() bool { return true }

func (g *localGroup) TransferLeader(context.Context) error { return nil }

func (g *localGroup) Follow(ctx context.Context, from uint64, send func(control.Update) error) error {
	for {
		g.mu.Lock()
		batch, changed := g.entries[min(from, uint64(len(g.entries))):], g.changed
		g.mu.Unlock()
		if len(batch) > 0 {
			if err := send(control.Update{Entries: batch}); err != nil {
				return err
			}
			from += uint64(len(batch))
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
