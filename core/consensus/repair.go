package consensus

import (
	"maps"
	"slices"
	"time"
)

// offer is a host that can become a member.
type offer struct {
	member Member
	seen   time.Duration
}

// offerLifetimes is how many election timeouts an offer counts without being
// repeated.
const offerLifetimes = 10

// Offer records that a host outside the group, or one with a new identity, is
// ready to join. It is repeated while the host is ready.
func (n *Node) Offer(now time.Duration, m Member) {
	n.now = max(n.now, now)
	n.offers[m.ID] = offer{m, n.now}
}

// repair replaces a voter that has been unreachable for RepairAfter: a spare
// is added as a learner, promoted when it has caught up, and then the lost
// voter is removed. The repair is part of the membership, so a new leader
// continues it, and no other repair starts before it ends.
func (n *Node) repair() {
	if n.opts.RepairAfter <= 0 || n.transferTo != 0 || !n.changeAllowed() {
		return
	}
	m := n.log.membership().membership.clone()
	if r := m.Repair; r != nil && r.Lost == n.opts.ID && m.IsVoter(r.Spare) {
		// The replaced voter came back and was elected. The next leader removes it.
		_ = n.Transfer(n.now)
		return
	}
	next, ok := n.startRepair(m)
	if m.Repair != nil {
		next, ok = n.continueRepair(m)
	}
	if ok && (n.reachable(next) || n.opts.off.learner) {
		// The change was encoded from a valid membership.
		_, _, _ = n.commitChange(next)
	}
}

func (n *Node) startRepair(m Membership) (Membership, bool) {
	n.expireOffers()
	for _, l := range m.Learners {
		if n.identityLost(l) {
			m.Learners = without(m.Learners, l.ID)
			return m, true
		}
	}
	for _, v := range m.Voters {
		pr := n.progress[v.ID]
		if pr == nil {
			continue
		}
		spare, ok := n.spareFor(m, v, n.now-pr.contact)
		if !ok {
			continue
		}
		m.Repair = &Repair{Lost: v.ID, Spare: spare.ID}
		if m.IsLearner(spare.ID) {
			return m, true
		}
		return withLearner(m, spare, n.opts.off.learner), true
	}
	return m, false
}

func (n *Node) expireOffers() {
	for id, o := range n.offers {
		if n.now-o.seen > offerLifetimes*n.opts.ElectionTimeout {
			delete(n.offers, id)
		}
	}
}

// identityLost reports whether a silent member's host offers itself under
// another identity, which proves that the member's disk was lost.
func (n *Node) identityLost(m Member) bool {
	pr := n.progress[m.ID]
	if pr == nil || n.now-pr.contact < n.opts.ElectionTimeout {
		return false
	}
	for id, o := range n.offers {
		if o.member.Host == m.Host && id != m.ID {
			return true
		}
	}
	return false
}

// spareFor picks the host that replaces a silent voter. A spare on the voter's
// own host under a new identity proves that the voter's disk was lost, so it
// is taken after one election timeout of silence.
func (n *Node) spareFor(m Membership, lost Member, silent time.Duration) (Member, bool) {
	var best Member
	for _, spare := range n.spares(m) {
		if spare.Host == lost.Host {
			return spare, silent >= n.opts.ElectionTimeout
		}
		taken := slices.ContainsFunc(m.Voters, func(v Member) bool { return v.Host == spare.Host })
		if !taken && best.ID == 0 {
			best = spare
		}
	}
	return best, best.ID != 0 && silent >= n.opts.RepairAfter
}

// spares lists the learners that answer, then the offered hosts by id.
func (n *Node) spares(m Membership) []Member {
	var out []Member
	for _, l := range m.Learners {
		if pr := n.progress[l.ID]; pr != nil && n.answers(pr) {
			out = append(out, l)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.offers)) {
		if _, member := m.Member(id); !member {
			out = append(out, n.offers[id].member)
		}
	}
	return out
}

func (n *Node) continueRepair(m Membership) (Membership, bool) {
	r := *m.Repair
	switch {
	case m.IsVoter(r.Spare):
		m.Voters, m.Repair = without(m.Voters, r.Lost), nil
		return m, true
	case !m.IsLearner(r.Spare) || n.returned(r.Lost) || n.silent(r.Spare):
		m.Learners, m.Repair = without(m.Learners, r.Spare), nil
		return m, true
	}
	return promote(m, r.Spare), n.caughtUp(r.Spare)
}

// returned reports whether a lost voter answers again.
func (n *Node) returned(id uint64) bool {
	pr := n.progress[id]
	return id == n.opts.ID || pr != nil && n.answers(pr)
}

func (n *Node) silent(id uint64) bool {
	pr := n.progress[id]
	return pr == nil || n.now-pr.contact >= n.opts.RepairAfter
}
