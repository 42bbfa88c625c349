package consensus

import (
	"slices"
	"time"
)

func (n *Node) resetDeadline() {
	spread := time.Duration(n.opts.Rand.Int63n(int64(n.opts.ElectionTimeout)))
	n.deadline = n.now + n.opts.ElectionTimeout + spread
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leader = Follower, leader
	n.votes, n.progress, n.transferTo = nil, nil, 0
	n.resetDeadline()
}

// mayCampaign allows voters only. A member whose removal is not committed yet
// is never told about it by the leader, so the newest membership decides.
func (n *Node) mayCampaign() bool { return n.isVoter() && n.now >= n.noVoteUntil }

// campaign starts a pre-vote, or a vote when pre is false.
func (n *Node) campaign(pre, transfer bool) {
	n.leader = 0
	n.votes = map[uint64]bool{}
	n.resetDeadline()
	kind, term := MessagePreVote, n.term+1
	n.role = PreCandidate
	if !pre {
		n.role, n.term, n.vote = Candidate, n.term+1, n.opts.ID
		kind = MessageVote
	}
	for _, m := range n.log.membership().membership.Voters {
		if m.ID != n.opts.ID {
			n.send(Message{
				Kind: kind, To: m.ID, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer,
			})
		}
	}
	n.countVote(n.opts.ID, true)
}

// countVote records an answer and moves on once a quorum agreed.
func (n *Node) countVote(from uint64, granted bool) {
	n.votes[from] = granted
	m := n.log.membership().membership
	yes := 0
	for id, ok := range n.votes {
		if ok && m.IsVoter(id) {
			yes++
		}
	}
	if yes < m.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(false, false)
		return
	}
	n.becomeLeader()
}

// withholdsVote is true within an election timeout of leader contact or of the
// own start, and on a leader.
func (n *Node) withholdsVote() bool { return n.role == Leader || n.now < n.noVoteUntil }

func (n *Node) upToDate(m Message) bool {
	last := n.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.LogIndex >= n.log.last()
}

func (n *Node) handlePreVote(m Message) {
	if m.Term > n.term && !n.withholdsVote() && n.upToDate(m) {
		n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
}

func (n *Node) handlePreVoteResponse(m Message) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role == PreCandidate && m.Term == n.term+1 {
		n.countVote(m.From, true)
	}
}

// handleVote ignores candidates while a leader may hold a lease, except in a
// transfer, before which the leader gave up its lease.
func (n *Node) handleVote(m Message) {
	if n.withholdsVote() && !m.Transfer || m.Term < n.term {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	free := n.vote == m.From || n.vote == 0 && n.leader == 0
	if n.role == Candidate || n.role == Leader || !free || !n.upToDate(m) {
		n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: true})
		return
	}
	n.role, n.vote = Follower, m.From
	n.resetDeadline()
	n.send(Message{Kind: MessageVoteResponse, To: m.From})
}

func (n *Node) handleVoteResponse(m Message) {
	if n.role == Candidate && m.Term == n.term {
		n.countVote(m.From, !m.Reject)
	}
}

// becomeLeader starts a term with a no-op, whose commit also commits the
// entries of earlier terms.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.opts.ID, nil
	n.ledSince, n.lastHeartbeat = n.now, n.now
	n.progress = map[uint64]*progress{}
	n.syncProgress()
	// A command entry without data always decodes.
	_, _ = n.appendOwn(EntryCommand, nil)
}

// syncProgress keeps one progress record for each other member.
func (n *Node) syncProgress() {
	m := n.log.membership().membership
	for id := range n.progress {
		if _, ok := m.Member(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, x := range m.All() {
		if x.ID == n.opts.ID || n.progress[x.ID] != nil {
			continue
		}
		n.progress[x.ID] = &progress{
			next: n.log.last() + 1, probing: true, ackedSend: never, contact: n.now, snapshotSent: never,
		}
	}
}

// eachMember calls f for every other member in membership order, so that equal
// inputs give equal messages.
func (n *Node) eachMember(f func(id uint64, pr *progress)) {
	for _, m := range n.log.membership().membership.All() {
		if pr := n.progress[m.ID]; pr != nil {
			f(m.ID, pr)
		}
	}
}

// quorumAck is the latest send time that a quorum of voters confirmed.
func (n *Node) quorumAck(now time.Duration) time.Duration {
	return n.quorumTime(now, func(pr *progress) time.Duration { return pr.ackedSend })
}

// quorumContact is quorumAck, but not before the start of the leader's term.
func (n *Node) quorumContact() time.Duration {
	return max(n.ledSince, n.quorumAck(n.now))
}

func (n *Node) quorumTime(self time.Duration, of func(*progress) time.Duration) time.Duration {
	m := n.log.membership().membership
	times := make([]time.Duration, 0, len(m.Voters))
	for _, v := range m.Voters {
		switch pr := n.progress[v.ID]; {
		case v.ID == n.opts.ID:
			times = append(times, self)
		case pr != nil:
			times = append(times, of(pr))
		}
	}
	if len(times) < m.Quorum() {
		return never
	}
	slices.Sort(times)
	return times[len(times)-m.Quorum()]
}
