package consensus

import (
	"slices"
	"time"
)

func (n *Node) resetDeadline() {
	jitter := time.Duration(n.opts.Rand.Int63n(int64(n.opts.ElectionTimeout)))
	n.deadline = n.now + n.opts.ElectionTimeout + jitter
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	n.role, n.leader = Follower, leader
	n.votes, n.progress, n.transferTo = nil, nil, 0
	n.resetDeadline()
}

// mayCampaign reports whether this member may start an election: it is a voter in
// the latest membership that it holds, committed or not, and its last leader
// contact and its own start are at least an election timeout ago. The latest
// membership counts, because the leader sends no more appends to a member whose
// removal it has appended: the member never learns that the removal is committed.
func (n *Node) mayCampaign() bool { return n.isVoter() && n.now >= n.noVoteUntil }

// campaign starts a pre-vote, or a vote when preVote is false. transfer marks a
// vote that the leader requested.
func (n *Node) campaign(preVote, transfer bool) {
	n.leader = 0
	n.votes = map[uint64]bool{}
	n.resetDeadline()
	kind, term := MessagePreVote, n.term+1
	n.role = PreCandidate
	if !preVote {
		n.role, n.term, n.vote = Candidate, n.term+1, n.opts.ID
		kind = MessageVote
	}
	for _, m := range n.log.latestMembership().membership.Voters {
		if m.ID != n.opts.ID {
			n.send(Message{
				Kind: kind, To: m.ID, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer,
			})
		}
	}
	n.countVote(n.opts.ID, true)
}

// countVote records a response. Once a quorum has granted its votes, a
// pre-candidate starts the vote and a candidate becomes leader.
func (n *Node) countVote(from uint64, granted bool) {
	n.votes[from] = granted
	m := n.log.latestMembership().membership
	grants := 0
	for id, ok := range n.votes {
		if ok && m.IsVoter(id) {
			grants++
		}
	}
	if grants < m.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(false, false)
		return
	}
	n.becomeLeader()
}

// withholdsVote reports whether this member must not vote for another: it is
// the leader, or its last leader contact or its own start is less than an
// election timeout ago.
func (n *Node) withholdsVote() bool { return n.role == Leader || n.now < n.noVoteUntil }

// candidateUpToDate reports whether the candidate's log, as described by its
// message m, is at least as new as this member's log.
func (n *Node) candidateUpToDate(m Message) bool {
	last := n.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.LogIndex >= n.log.last()
}

func (n *Node) handlePreVote(m Message) {
	if m.Term > n.term && !n.withholdsVote() && n.candidateUpToDate(m) {
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
// transfer, before which the leader released its lease.
func (n *Node) handleVote(m Message) {
	if n.withholdsVote() && !m.Transfer || m.Term < n.term {
		return
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	canGrant := n.vote == m.From || n.vote == 0 && n.leader == 0
	if n.role == Candidate || n.role == Leader || !canGrant || !n.candidateUpToDate(m) {
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
	n.leaderSince, n.lastHeartbeat = n.now, n.now
	n.progress = map[uint64]*progress{}
	n.syncProgress()
	// This cannot fail: appendEntry decodes only membership entries.
	_, _ = n.appendEntry(EntryCommand, nil)
}

// syncProgress adds and removes progress records so that there is one for each
// other member.
func (n *Node) syncProgress() {
	m := n.log.latestMembership().membership
	for id := range n.progress {
		if _, ok := m.Member(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, member := range m.All() {
		if member.ID == n.opts.ID || n.progress[member.ID] != nil {
			continue
		}
		n.progress[member.ID] = &progress{
			next: n.log.last() + 1, probing: true, ackedSend: never, lastResponse: n.now, snapshotSent: never,
		}
	}
}

// eachOtherMember calls f for every other member in membership order, so that
// equal inputs give equal messages in the same order.
func (n *Node) eachOtherMember(f func(id uint64, pr *progress)) {
	for _, m := range n.log.latestMembership().membership.All() {
		if pr := n.progress[m.ID]; pr != nil {
			f(m.ID, pr)
		}
	}
}

// quorumAckedSend returns the latest send time that a quorum of voters has
// acknowledged. The leader's own acknowledgement counts as of now.
func (n *Node) quorumAckedSend(now time.Duration) time.Duration {
	return n.quorumTime(now, func(pr *progress) time.Duration { return pr.ackedSend })
}

// lastQuorumAck returns quorumAckedSend, or the time at which this member became
// leader if that is later.
func (n *Node) lastQuorumAck() time.Duration {
	return max(n.leaderSince, n.quorumAckedSend(n.now))
}

// quorumTime returns the latest time that a quorum of voters has reached: self
// for this member and timeOf for the others. It returns never without a quorum.
func (n *Node) quorumTime(self time.Duration, timeOf func(*progress) time.Duration) time.Duration {
	m := n.log.latestMembership().membership
	times := make([]time.Duration, 0, len(m.Voters))
	for _, v := range m.Voters {
		switch pr := n.progress[v.ID]; {
		case v.ID == n.opts.ID:
			times = append(times, self)
		case pr != nil:
			times = append(times, timeOf(pr))
		}
	}
	if len(times) < m.Quorum() {
		return never
	}
	slices.Sort(times)
	return times[len(times)-m.Quorum()]
}
