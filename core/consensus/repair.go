package consensus

import (
	"maps"
	"slices"
	"time"
)

// spareOffer is a host that offered to become a member.
type spareOffer struct {
	member      Member
	lastOffered time.Duration
}

// offerLifetimeTimeouts is the number of election timeouts after which an offer
// expires unless it is repeated.
const offerLifetimeTimeouts = 10

// OfferSpare records that a host outside the group, or a host with a new member
// id, is ready to join. The driver repeats the call as long as the host is ready.
func (n *Node) OfferSpare(now time.Duration, m Member) {
	n.now = max(n.now, now)
	n.offers[m.ID] = spareOffer{m, n.now}
}

// repair replaces a voter that has been unreachable for RepairAfter: it adds a
// spare as a learner, promotes it when it has caught up, and then removes the
// lost voter. The repair is part of the membership, so a new leader continues it,
// and no other repair starts before it ends.
func (n *Node) repair() {
	if n.opts.RepairAfter <= 0 || n.transferTo != 0 || !n.changeAllowed() {
		return
	}
	m := n.log.latestMembership().membership.clone()
	if r := m.Repair; r != nil && r.Lost == n.opts.ID && m.IsVoter(r.Spare) {
		// The voter being replaced returned and was elected. The next leader removes it.
		_ = n.Transfer(n.now)
		return
	}
	next, ok := n.startRepair(m)
	switch {
	case m.Repair != nil:
		next, ok = n.continueRepair(m)
	case !ok:
		next, ok = n.grow(m)
	}
	if ok && (n.quorumResponsive(next) || n.opts.disabled.learnerPhase) {
		// This cannot fail: appendChange encodes the entry from a valid membership.
		_, _, _ = n.appendChange(next)
	}
}

// startRepair returns the membership that removes a learner whose disk was lost,
// or that starts the repair of a lost voter, and whether either is due.
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
		spare, ok := n.spareFor(m, v, n.now-pr.lastResponse)
		if !ok {
			continue
		}
		m.Repair = &Repair{Lost: v.ID, Spare: spare.ID}
		if m.IsLearner(spare.ID) {
			return m, true
		}
		return withAdded(m, spare, n.opts.disabled.learnerPhase), true
	}
	return m, false
}

// grow returns the membership after the next step towards TargetVoters, and whether
// a step is due. A group that is founded by a few hosts tolerates only the losses
// that these allow until the other control hosts vote as well. A spare joins as a
// learner and gets its vote once it has caught up, so that it never delays commits.
func (n *Node) grow(m Membership) (Membership, bool) {
	if len(m.Voters) >= n.opts.TargetVoters {
		return m, false
	}
	for _, l := range m.Learners {
		if n.unreachable(l.ID) {
			m.Learners = without(m.Learners, l.ID)
			return m, true
		}
		if !hasHost(m.Voters, l.Host) {
			return promote(m, l.ID), n.caughtUp(l.ID)
		}
	}
	for _, spare := range n.spares(m) {
		if !hasHost(m.All(), spare.Host) {
			return withAdded(m, spare, false), true
		}
	}
	return m, false
}

// hasHost reports whether a member in the list runs on the host.
func hasHost(members []Member, host string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Host == host })
}

func (n *Node) expireOffers() {
	for id, o := range n.offers {
		if n.now-o.lastOffered > offerLifetimeTimeouts*n.opts.ElectionTimeout {
			delete(n.offers, id)
		}
	}
}

// identityLost reports whether an unresponsive member's host offers itself under
// another member id, which proves that the member's disk was lost.
func (n *Node) identityLost(m Member) bool {
	pr := n.progress[m.ID]
	if pr == nil || n.now-pr.lastResponse < n.opts.ElectionTimeout {
		return false
	}
	for id, o := range n.offers {
		if o.member.Host == m.Host && id != m.ID {
			return true
		}
	}
	return false
}

// spareFor returns the spare for a voter that last responded unresponsiveFor ago,
// and whether it is to replace the voter now. A spare on the voter's own host
// under a new member id proves that the voter's disk was lost, so it replaces the
// voter after only one election timeout without a response.
func (n *Node) spareFor(m Membership, lost Member, unresponsiveFor time.Duration) (Member, bool) {
	var chosen Member
	for _, spare := range n.spares(m) {
		if spare.Host == lost.Host {
			return spare, unresponsiveFor >= n.opts.ElectionTimeout
		}
		if !hasHost(m.Voters, spare.Host) && chosen.ID == 0 {
			chosen = spare
		}
	}
	return chosen, chosen.ID != 0 && unresponsiveFor >= n.opts.RepairAfter
}

// spares returns the responsive learners, then the offered hosts by id.
func (n *Node) spares(m Membership) []Member {
	var out []Member
	for _, l := range m.Learners {
		if pr := n.progress[l.ID]; pr != nil && n.isResponsive(pr) {
			out = append(out, l)
		}
	}
	return append(out, n.openOffers(m)...)
}

// openOffers returns the offered hosts that are no members, by id.
func (n *Node) openOffers(m Membership) []Member {
	var out []Member
	for _, id := range slices.Sorted(maps.Keys(n.offers)) {
		if _, isMember := m.Member(id); !isMember {
			out = append(out, n.offers[id].member)
		}
	}
	return out
}

// continueRepair returns the membership after the next step of the current
// repair, and whether that step is due. It cancels the repair if the lost voter
// responds again or the spare is unreachable or removed.
func (n *Node) continueRepair(m Membership) (Membership, bool) {
	r := *m.Repair
	switch {
	case m.IsVoter(r.Spare):
		m.Voters, m.Repair = without(m.Voters, r.Lost), nil
		return m, true
	case !m.IsLearner(r.Spare) || n.respondsAgain(r.Lost) || n.unreachable(r.Spare):
		m.Learners, m.Repair = without(m.Learners, r.Spare), nil
		return m, true
	}
	return promote(m, r.Spare), n.caughtUp(r.Spare)
}

// respondsAgain reports whether a lost voter is responsive again.
func (n *Node) respondsAgain(id uint64) bool {
	pr := n.progress[id]
	return id == n.opts.ID || pr != nil && n.isResponsive(pr)
}

// unreachable reports whether a member has not responded for RepairAfter.
func (n *Node) unreachable(id uint64) bool {
	pr := n.progress[id]
	return pr == nil || n.now-pr.lastResponse >= n.opts.RepairAfter
}
