package consensus

import "time"

// AddLearner appends a change that adds m without a vote.
func (n *Node) AddLearner(m Member) (index, term uint64, err error) {
	next, err := n.beginChange(m.ID)
	if err != nil {
		return 0, 0, err
	}
	if _, ok := next.Member(m.ID); ok || m.ID == 0 {
		return 0, 0, &MembershipError{m.ID, "it is already a member or has no id"}
	}
	return n.commitChange(withLearner(next, m, n.opts.off.learner))
}

func withLearner(m Membership, x Member, vote bool) Membership {
	if vote {
		m.Voters = append(m.Voters, x)
		return m
	}
	m.Learners = append(m.Learners, x)
	return m
}

// Promote appends a change that gives a caught-up learner a vote.
func (n *Node) Promote(id uint64) (index, term uint64, err error) {
	next, err := n.beginChange(id)
	if err != nil {
		return 0, 0, err
	}
	if !next.IsLearner(id) {
		return 0, 0, &MembershipError{id, "it is not a learner"}
	}
	if !n.caughtUp(id) {
		return 0, 0, &MembershipError{id, "it has not caught up"}
	}
	promoted := promote(next, id)
	if !n.reachable(promoted) {
		return 0, 0, &MembershipError{id, "the new quorum is not reachable"}
	}
	return n.commitChange(promoted)
}

func promote(m Membership, id uint64) Membership {
	x, _ := m.Member(id)
	m.Learners = without(m.Learners, id)
	m.Voters = append(m.Voters, x)
	return m
}

// Remove appends a change that removes a voter or learner. The leader cannot
// remove itself; it transfers leadership first.
func (n *Node) Remove(id uint64) (index, term uint64, err error) {
	next, err := n.beginChange(id)
	if err != nil {
		return 0, 0, err
	}
	if _, ok := next.Member(id); !ok {
		return 0, 0, &MembershipError{id, "it is not a member"}
	}
	if id == n.opts.ID {
		return 0, 0, &MembershipError{id, "the leader cannot remove itself"}
	}
	next.Voters, next.Learners = without(next.Voters, id), without(next.Learners, id)
	if r := next.Repair; r != nil && (r.Lost == id || r.Spare == id) {
		next.Repair = nil
	}
	if !n.reachable(next) {
		return 0, 0, &MembershipError{id, "the new quorum is not reachable"}
	}
	return n.commitChange(next)
}

// beginChange allows one change at a time, and only after the leader has
// committed an entry of its own term: otherwise two leaders could each append a
// change to a different base, and their quorums might not intersect.
func (n *Node) beginChange(id uint64) (Membership, error) {
	if n.role != Leader || n.transferTo != 0 {
		return Membership{}, &NotLeaderError{Leader: n.otherLeader()}
	}
	if !n.changeAllowed() {
		return Membership{}, &MembershipError{id, "another change or the start of the term is not committed yet"}
	}
	return n.log.membership().membership.clone(), nil
}

func (n *Node) changeAllowed() bool {
	return n.log.membership().index <= n.log.commit && n.log.matches(n.log.commit, n.term)
}

func (n *Node) commitChange(next Membership) (index, term uint64, err error) {
	index, err = n.appendOwn(EntryMembership, encodeMembership(next))
	n.syncProgress()
	return index, n.term, err
}

// caughtUp reports whether the member holds every committed entry and answers.
func (n *Node) caughtUp(id uint64) bool {
	pr := n.progress[id]
	return pr != nil && pr.match >= n.log.commit && n.answers(pr)
}

func (n *Node) answers(pr *progress) bool {
	return pr.ackedSend != never && n.now-pr.contact < n.opts.ElectionTimeout
}

// reachable reports whether a quorum of m's voters answers.
func (n *Node) reachable(m Membership) bool {
	count := 0
	for _, v := range m.Voters {
		pr := n.progress[v.ID]
		if v.ID == n.opts.ID || pr != nil && n.answers(pr) {
			count++
		}
	}
	return len(m.Voters) > 0 && count >= m.Quorum()
}

// Transfer asks the most caught-up voter to take over. The lease is given up
// first, because the other member campaigns within it. If the transfer fails,
// the leader steps down when the quorum check or the deadline ends its term.
func (n *Node) Transfer(now time.Duration) error {
	n.now = max(n.now, now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.transferTo != 0 {
		return nil
	}
	var target uint64
	for _, v := range n.log.membership().membership.Voters {
		pr := n.progress[v.ID]
		if v.ID == n.opts.ID || pr == nil || !n.answers(pr) || pr.match < n.log.last() {
			continue
		}
		target = max(target, v.ID)
	}
	if target == 0 {
		return &MembershipError{n.opts.ID, "no other voter holds the whole log"}
	}
	n.transferTo = target
	n.deadline = n.now + n.opts.ElectionTimeout
	n.send(Message{Kind: MessageTimeoutNow, To: target})
	return nil
}
