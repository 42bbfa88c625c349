package consensus

import "slices"

// sendAppend sends the entries or commit index that the member is missing. A
// heartbeat is sent even if it is missing nothing.
func (n *Node) sendAppend(id uint64, pr *progress, heartbeat bool) {
	if pr.next <= n.log.offset {
		n.sendSnapshot(id, pr, heartbeat)
		return
	}
	limit := min(pr.match+maxInFlight, n.log.last())
	var entries []Entry
	if !pr.probing || !pr.probeSent {
		entries = n.log.slice(pr.next, limit, maxAppendBytes)
	}
	if len(entries) == 0 && !heartbeat && (pr.commitSent >= n.log.commit || pr.probing) {
		return
	}
	prev := pr.next - 1
	prevTerm, _ := n.log.term(prev)
	n.send(Message{
		Kind: MessageAppend, To: id, LogIndex: prev, LogTerm: prevTerm, Entries: entries,
		Commit: n.log.commit, SentAt: n.now,
	})
	pr.commitSent = n.log.commit
	pr.probeSent = pr.probing
	if !pr.probing {
		pr.next += uint64(len(entries))
	}
}

// snapshotRetryTimeouts is the number of election timeouts before a snapshot is
// sent again. With a shorter time, a large snapshot would be sent several times
// over a slow link.
const snapshotRetryTimeouts = 10

// sendSnapshot sends the newest snapshot and repeats it after
// snapshotRetryTimeouts without a response. In between, empty appends maintain
// the lease.
func (n *Node) sendSnapshot(id uint64, pr *progress, heartbeat bool) {
	if n.now-pr.snapshotSent >= snapshotRetryTimeouts*n.opts.ElectionTimeout {
		pr.snapshotSent = n.now
		s := n.log.snapshot
		n.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &s, SentAt: n.now})
		return
	}
	if heartbeat {
		n.send(Message{Kind: MessageAppend, To: id, SentAt: n.now})
	}
}

// followLeader records contact with the leader of the current term.
func (n *Node) followLeader(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.noVoteUntil = max(n.noVoteUntil, n.now+n.opts.ElectionTimeout)
	n.resetDeadline()
}

func (n *Node) handleAppend(m Message) error {
	n.followLeader(m)
	if m.LogIndex < n.log.commit {
		n.acknowledge(m, n.log.commit)
		return nil
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		n.send(Message{
			Kind: MessageAppendResponse, To: m.From, Reject: true, LogIndex: m.LogIndex,
			Hint: n.log.conflictHint(m.LogIndex, m.LogTerm), SentAt: m.SentAt,
		})
		return nil
	}
	if err := n.log.merge(m.Entries); err != nil {
		return err
	}
	match := m.LogIndex + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, match))
	n.acknowledge(m, match)
	return nil
}

func (n *Node) acknowledge(m Message, match uint64) {
	n.send(Message{Kind: MessageAppendResponse, To: m.From, LogIndex: match, SentAt: m.SentAt})
}

func (n *Node) handleSnapshot(m Message) error {
	n.followLeader(m)
	s := m.Snapshot
	if s == nil || len(s.Membership.Voters) == 0 {
		return &LogError{Reason: "snapshot message without a membership"}
	}
	switch {
	case s.Index <= n.log.commit:
		n.acknowledge(m, n.log.commit)
	case n.log.matches(s.Index, s.Term):
		n.log.commitTo(s.Index)
		n.acknowledge(m, s.Index)
	default:
		n.log.restoreSnapshot(*s)
		n.acknowledge(m, s.Index)
	}
	return nil
}

func (n *Node) handleAppendResponse(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.lastResponse = n.now
	if m.SentAt <= n.now {
		pr.ackedSend = max(pr.ackedSend, m.SentAt)
	}
	if m.Reject {
		n.rewind(pr, m)
		return
	}
	if m.LogIndex > n.log.last() {
		return
	}
	pr.probing, pr.probeSent = false, false
	if m.LogIndex > pr.match {
		pr.match = m.LogIndex
		pr.snapshotSent = never
		n.advanceCommit()
	}
	pr.next = max(pr.next, pr.match+1)
}

// rewind moves next back to where the logs may match. Rejections of older
// messages are ignored.
func (n *Node) rewind(pr *progress, m Message) {
	if m.LogIndex <= pr.match || m.LogIndex >= pr.next || pr.probing && m.LogIndex != pr.next-1 {
		return
	}
	pr.next = max(pr.match+1, min(m.LogIndex, m.Hint+1))
	pr.probing, pr.probeSent = true, false
}

// advanceCommit commits the entries that a quorum of voters holds durably. Only
// entries of the current term are committed by counting the voters that hold them.
func (n *Node) advanceCommit() {
	m := n.log.latestMembership().membership
	matches := make([]uint64, 0, len(m.Voters))
	for _, v := range m.Voters {
		switch pr := n.progress[v.ID]; {
		case v.ID == n.opts.ID:
			matches = append(matches, n.log.stable)
		case pr != nil:
			matches = append(matches, pr.match)
		}
	}
	if len(matches) < m.Quorum() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-m.Quorum()]
	if index > n.log.commit && n.log.matches(index, n.term) {
		n.log.commitTo(index)
	}
}
