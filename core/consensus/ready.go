package consensus

// Ready lists the effects that the driver must carry out, in this order:
// EarlyMessages may be sent at once; Snapshot, HardState and Entries are made
// durable in one step; then Messages are sent, Snapshot is restored and Committed
// is applied. After that the driver calls Advance, before any other method.
type Ready struct {
	// EarlyMessages are the appends, heartbeats and snapshots of a leader whose
	// term is durable. They need not wait for its entries, because the leader
	// counts its own entries towards a commit only once they are durable.
	EarlyMessages []Message
	// Snapshot replaces the complete stored log and the state machine.
	Snapshot *Snapshot
	// HardState is set when term or vote changed, or when the commit index changed
	// and there is something else to write.
	HardState *HardState
	// Entries replace all stored entries from the index of the first one on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
}

// NeedsWrite reports whether there is anything to write.
func (r *Ready) NeedsWrite() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.NeedsWrite() && len(r.EarlyMessages) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// maxApplyEntries limits the entries that one Ready returns for applying, so
// that a long catch-up does not delay heartbeats.
const maxApplyEntries = 1024

// Ready returns the effects that are due.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.eachOtherMember(func(id uint64, pr *progress) { n.sendAppend(id, pr, false) })
	}
	var r Ready
	// The only voter of a group becomes leader before its new term is durable. Its
	// messages then wait for the write.
	canSendEarly := n.savedHardState.Term == n.term
	for _, m := range n.messages {
		if canSendEarly && (m.Kind == MessageAppend || m.Kind == MessageSnapshot) {
			r.EarlyMessages = append(r.EarlyMessages, m)
			continue
		}
		r.Messages = append(r.Messages, m)
	}
	n.messages = nil
	r.Snapshot = n.log.pendingSnapshot
	r.Entries = n.log.slice(n.log.stable+1, n.log.last(), int(^uint(0)>>1))
	hs := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	changed := hs.Term != n.savedHardState.Term || hs.Vote != n.savedHardState.Vote
	if changed || r.NeedsWrite() && hs != n.savedHardState {
		r.HardState = &hs
	}
	to := min(n.log.commit, n.log.applied+maxApplyEntries)
	r.Committed = n.log.slice(n.log.applied+1, to, maxAppendBytes)
	return r
}

// Advance records that the effects of r were carried out.
func (n *Node) Advance(r Ready) {
	n.log.pendingSnapshot = nil
	if r.HardState != nil {
		n.savedHardState = *r.HardState
	}
	if len(r.Entries) > 0 {
		n.log.stable = r.Entries[len(r.Entries)-1].Index
	}
	if len(r.Committed) > 0 {
		n.log.applied = r.Committed[len(r.Committed)-1].Index
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// MembershipAt returns the membership in effect at an applied index, for a
// snapshot at that index.
func (n *Node) MembershipAt(index uint64) Membership { return n.log.membershipAt(index).clone() }

// TermAt returns the term of an entry that is still in the log.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.log.term(index) }

// Compact replaces the log up to s.Index by s, which must be durable. For members that
// are only a little behind it keeps the last trailing entries up to s.Index, or fewer that
// hold at most trailingBytes. It returns the index at and below which entries were dropped.
func (n *Node) Compact(s Snapshot, trailing uint64, trailingBytes int) uint64 {
	keepFrom := s.Index - min(s.Index, trailing)
	n.log.compact(s, max(keepFrom, n.log.startWithin(s.Index, trailingBytes)))
	return n.log.offset
}
