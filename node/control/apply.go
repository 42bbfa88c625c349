package control

import (
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// apply restores a received snapshot and applies committed entries.
func (g *Group) apply(r consensus.Ready) error {
	if r.Snapshot != nil {
		if err := g.restoreSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	batch := make([]FollowEntry, 0, len(r.Committed))
	for _, e := range r.Committed {
		command, err := commandOf(e)
		if err != nil {
			return err
		}
		result := g.opts.Replica.Apply(e.Index, command)
		g.applied = e.Index
		replay := g.replayBytes(e, command)
		g.bytesSinceSnapshot += replay
		g.answerWaiter(e, result)
		followed, err := followEntry(e, command)
		if err != nil {
			return err
		}
		followed.replay = replay
		batch = append(batch, followed)
	}
	g.recent.add(batch)
	return nil
}

// replayBytes returns what an entry contributes to the work of a restart: its size, and for a
// publication or a configuration the share of the whole that is copied for it.
func (g *Group) replayBytes(e consensus.Entry, c state.Command) int {
	out := len(e.Data)
	if c.Publish == nil && c.Configure == nil {
		return out
	}
	g.opts.Replica.View(func(s *state.State) {
		switch {
		case c.Configure != nil:
			out += configurationBytes(s.Config) / copiesPerDecode
		case s.Published != nil:
			out += len(s.Published.Source) / copiesPerDecode
		}
	})
	return out
}

// configurationBytes returns the approximate size of the encoding of c.
func configurationBytes(c config.Configuration) int {
	return configurationItemBytes * (len(c.Services) + len(c.Models) + len(c.Adapters) + len(c.Callers) + len(c.Objectives))
}

// followEntry returns the entry as followers receive it. It encodes the command again only
// if something is left out of it.
func followEntry(e consensus.Entry, c state.Command) (FollowEntry, error) {
	if e.Kind != consensus.EntryCommand {
		return FollowEntry{Index: e.Index}, nil
	}
	if c.SameForFollowers() {
		return FollowEntry{Index: e.Index, Command: e.Data}, nil
	}
	data, err := state.EncodeCommand(c.ForFollowers())
	return FollowEntry{Index: e.Index, Command: data}, err
}

// commandOf decodes the command of an entry. A membership entry yields an empty
// command, so that the index of the state equals the index of the log.
func commandOf(e consensus.Entry) (state.Command, error) {
	if e.Kind != consensus.EntryCommand {
		return state.Command{}, nil
	}
	return state.DecodeCommand(e.Data)
}

// restoreSnapshot replaces the replica's state by that of a received snapshot.
func (g *Group) restoreSnapshot(s consensus.Snapshot) error {
	restored, err := state.Restore(s.Data)
	if err != nil {
		return err
	}
	g.opts.Replica.ReplaceState(restored)
	g.bytesSinceSnapshot = 0
	g.applied, g.snapshotIndex = s.Index, s.Index
	g.recent.reset(s.Index)
	g.failWaiters("a snapshot replaced the log")
	return nil
}

// startSnapshot encodes the state once SnapshotEntries entries, or entries of SnapshotBytes,
// have been applied since the last snapshot. It does so in another goroutine, since encoding a
// large state takes longer than a heartbeat interval.
func (g *Group) startSnapshot() {
	due := g.applied >= g.snapshotIndex+g.opts.SnapshotEntries || g.bytesSinceSnapshot >= g.opts.SnapshotBytes
	if g.snapshotting || !due || g.applied <= g.snapshotIndex {
		return
	}
	term, ok := g.node.TermAt(g.applied)
	if !ok {
		return
	}
	g.snapshotting = true
	g.bytesSinceSnapshot = 0
	s := consensus.Snapshot{Index: g.applied, Term: term, Membership: g.node.MembershipAt(g.applied)}
	var stateCopy *state.State
	g.opts.Replica.View(func(st *state.State) { stateCopy = st.ForMembers() })
	go func() {
		var err error
		if s.Data, err = stateCopy.Snapshot(); err != nil {
			g.logger.WithError(err).Error("cannot encode a snapshot of the replicated state")
		}
		g.snapshots <- s
	}()
}

// saveSnapshot stores an encoded snapshot and removes the entries that it covers
// from the log, except for the newest of them, up to half of what is applied between
// snapshots. It skips a snapshot without data, whose encoding failed, and one that is not
// newer than the stored snapshot.
func (g *Group) saveSnapshot(s consensus.Snapshot) error {
	g.snapshotting = false
	if len(s.Data) == 0 || s.Index <= g.snapshotIndex {
		return nil
	}
	g.snapshotIndex = s.Index
	dropped := g.node.Compact(s, g.opts.SnapshotEntries/2, g.opts.SnapshotBytes/2)
	err := g.store.Compact(s, dropped)
	if isOutOfSpace(err) {
		// The previous snapshot and the entries after it are still on disk.
		g.logger.WithError(err).Error("snapshot not stored: the disk of the data folder is full")
		return nil
	}
	return err
}
