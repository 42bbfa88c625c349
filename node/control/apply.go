package control

import (
	"errors"
	"maps"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/storage"
)

// apply restores a received snapshot and applies committed entries.
func (g *Group) apply(r consensus.Ready) error {
	if r.Snapshot != nil {
		if err := g.restore(*r.Snapshot); err != nil {
			return err
		}
	}
	batch := make([]UpdateEntry, 0, len(r.Committed))
	for _, e := range r.Committed {
		command, err := commandOf(e)
		if err != nil {
			return err
		}
		result := g.opts.Replica.Apply(e.Index, command)
		g.applied = e.Index
		g.settle(e, result)
		batch = append(batch, UpdateEntry{Index: e.Index, Command: command.ForFollowers()})
	}
	g.recent.add(batch)
	return nil
}

// commandOf returns the command of an entry. Membership entries are applied as
// no-ops, so that the state's index is the log's.
func commandOf(e consensus.Entry) (state.Command, error) {
	if e.Kind != consensus.EntryCommand {
		return state.Command{}, nil
	}
	return state.DecodeCommand(e.Data)
}

func (g *Group) restore(s consensus.Snapshot) error {
	restored, err := state.Restore(s.Data)
	if err != nil {
		return err
	}
	g.opts.Replica.Reset(restored)
	g.applied, g.snapshotAt = s.Index, s.Index
	g.recent.reset(s.Index)
	g.failWaiting("a snapshot replaced the log")
	return nil
}

// startSnapshot encodes the state in another goroutine once enough entries
// were applied, since encoding a large state takes longer than a heartbeat.
func (g *Group) startSnapshot() {
	if g.snapshotting || g.applied < g.snapshotAt+g.opts.SnapshotEntries {
		return
	}
	term, ok := g.node.TermAt(g.applied)
	if !ok {
		return
	}
	g.snapshotting = true
	s := consensus.Snapshot{Index: g.applied, Term: term, Membership: g.node.MembershipAt(g.applied)}
	var copied *state.State
	g.opts.Replica.View(func(st *state.State) {
		copied = st.ForFollowers()
		copied.Claims = maps.Clone(st.Claims)
	})
	go func() {
		var err error
		if s.Data, err = copied.Snapshot(); err != nil {
			g.logger.WithError(err).Error("cannot encode a snapshot")
		}
		g.snapshots <- s
	}()
}

func (g *Group) saveSnapshot(s consensus.Snapshot) error {
	g.snapshotting = false
	if len(s.Data) == 0 || s.Index <= g.snapshotAt {
		return nil
	}
	g.snapshotAt = s.Index
	dropped := g.node.Compact(s, g.opts.SnapshotEntries/2)
	err := g.store.Compact(s, dropped)
	var write *storage.WriteError
	if errors.As(err, &write) && write.Full {
		// The older snapshot and its entries are still on disk.
		g.logger.WithError(err).Error("no space for a snapshot")
		return nil
	}
	return err
}
