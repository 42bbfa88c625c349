package consensus

import "time"

// AddLearner appends a membership change that adds m as a learner. It returns
// the index and term of the entry, or a NotLeaderError or MembershipError.
func (n *Node) AddLearner(m Member) (index, term uint64, err error) {
	next, err := n.beginChange(m.ID)
	if err != nil {
		return 0, 0, err
	}
	if _, ok := next.Member(m.ID); ok || m.ID == 0 {
		return 0, 0, &MembershipError{m.ID, "it is already a member or its id is zero"}
	}
	return n.appendChange(withAdded(next, m, n.opts.disabled.learnerPhase))
}

// withAdded returns m with a new voter, or with a new learner if asVoter is false.
func withAdded(m Membership, added Member, asVoter bool) Membership {
	if asVoter {
		m.Voters = append(m.Voters, added)
		return m
	}
	m.Learners = append(m.Learners, added)
	return m
}

// Promote appends a membership change that makes a caught-up learner a voter. It
// returns the same values as AddLearner.
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
	if !n.quorumResponsive(promoted) {
		return 0, 0, &MembershipError{id, "no quorum of the new membership is responsive"}
	}
	return n.appendChange(promoted)
}

// promote returns m with the learner id as a voter.
func promote(m Membership, id uint64) Membership {
	promoted, _ := m.Member(id)
	m.Learners = without(m.Learners, id)
	m.Voters = append(m.Voters, promoted)
	return m
}

// Remove appends a membership change that removes a voter or learner. The leader
// cannot remove itself; it must transfer leadership first. Remove returns the same
// values as AddLearner.
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
	if !n.quorumResponsive(next) {
		return 0, 0, &MembershipError{id, "no quorum of the new membership is responsive"}
	}
	return n.appendChange(next)
}

// beginChange returns a copy of the latest membership to modify. It allows one
// change at a time, and only after the leader has committed an entry of its own
// term: otherwise two leaders could each append a change to a different
// membership, and their quorums might not intersect.
func (n *Node) beginChange(id uint64) (Membership, error) {
	if n.role != Leader || n.transferTo != 0 {
		return Membership{}, &NotLeaderError{Leader: n.otherLeader()}
	}
	if !n.changeAllowed() {
		return Membership{}, &MembershipError{id, "another change or the first entry of this term is not committed yet"}
	}
	return n.log.latestMembership().membership.clone(), nil
}

// changeAllowed reports whether the latest membership and an entry of this term
// are committed.
func (n *Node) changeAllowed() bool {
	return n.log.latestMembership().index <= n.log.commit && n.log.matches(n.log.commit, n.term)
}

func (n *Node) appendChange(next Membership) (index, term uint64, err error) {
	index, err = n.appendEntry(EntryMembership, encodeMembership(next))
	n.syncProgress()
	return index, n.term, err
}

// caughtUp reports whether the member holds every committed entry and is
// responsive.
func (n *Node) caughtUp(id uint64) bool {
	pr := n.progress[id]
	return pr != nil && pr.match >= n.log.commit && n.isResponsive(pr)
}

// isResponsive reports whether the member has acknowledged a message and its
// last response is less than an election timeout ago.
func (n *Node) isResponsive(pr *progress) bool {
	return pr.ackedSend != never && n.now-pr.lastResponse < n.opts.ElectionTimeout
}

// quorumResponsive reports whether a quorum of m's voters is responsive.
func (n *Node) quorumResponsive(m Membership) bool {
	return len(m.Voters) > 0 && n.responsiveVoters(m) >= m.Quorum()
}

// responsiveVoters returns the number of m's voters that are responsive. This member counts as
// responsive.
func (n *Node) responsiveVoters(m Membership) int {
	count := 0
	for _, v := range m.Voters {
		pr := n.progress[v.ID]
		if v.ID == n.opts.ID || pr != nil && n.isResponsive(pr) {
			count++
		}
	}
	return count
}

// Transfer requests that a voter with the complete log become leader. The lease
// is released first, because the other voter campaigns before the lease would
// expire. If the transfer fails, the leader steps down when the quorum check
// fails or the transfer deadline passes.
func (n *Node) Transfer(now time.Duration) error {
	n.now = max(n.now, now)
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.transferTo != 0 {
		return nil
	}
	var target uint64
	for _, v := range n.log.latestMembership().membership.Voters {
		pr := n.progress[v.ID]
		if v.ID == n.opts.ID || pr == nil || !n.isResponsive(pr) || pr.match < n.log.last() {
			continue
		}
		target = max(target, v.ID)
	}
	if target == 0 {
		return &MembershipError{n.opts.ID, "no other responsive voter holds the complete log"}
	}
	n.transferTo = target
	n.deadline = n.now + n.opts.ElectionTimeout
	n.send(Message{Kind: MessageTimeoutNow, To: target})
	return nil
}
