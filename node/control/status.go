package control

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Status returns the current status of the group as this host knows it.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.status
	s.LeaseValid = g.CheckLease()
	// A proposal is answered before Run publishes the next status, so the applied
	// index comes from the replica.
	g.opts.Replica.View(func(st *state.State) { s.AppliedIndex = st.Index })
	return s
}

// publishStatus makes the node's lease and status visible to other goroutines.
func (g *Group) publishStatus() {
	g.leaseUntil.Store(int64(g.node.LeaseUntil()))
	n := g.node.Status()
	s := Status{Term: n.Term, LastIndex: n.LastIndex, MemberID: g.self.ID, Leading: n.Role == consensus.Leader, Tolerated: n.Tolerated}
	for _, m := range n.Offers {
		s.Offers = append(s.Offers, m.Host)
	}
	for _, m := range n.Membership.All() {
		if known, ok := g.directory.Lookup(m.ID, n.Membership); ok {
			m = known
		}
		s.Members = append(s.Members, MemberStatus{Member: m, Voter: n.Membership.IsVoter(m.ID)})
	}
	if m, ok := g.directory.Lookup(n.Leader, n.Membership); ok {
		s.Leader = m.Host
	}
	for _, id := range n.Responsive {
		if m, ok := g.directory.Lookup(id, n.Membership); ok {
			s.ResponsiveHosts = append(s.ResponsiveHosts, m.Host)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.StorageErr = g.status.StorageErr
	if s.StorageErr != nil {
		// While the disk is full, this member handles no messages, so it does not learn of
		// another leader.
		s.Leader = ""
	}
	if s.Leader != g.status.Leader || s.Term != g.status.Term {
		g.logger.WithFields(logrus.Fields{"leader": s.Leader, "term": s.Term}).Info("leadership changed")
		close(g.leaderChanged)
		g.leaderChanged = make(chan struct{})
	}
	if !slices.EqualFunc(s.Members, g.status.Members, sameMember) {
		voters, learners := s.hosts()
		g.logger.WithFields(logrus.Fields{"voters": voters, "learners": learners}).Info("membership changed")
	}
	if s.Leading && !slices.Equal(s.Offers, g.status.Offers) {
		g.logger.WithField("offers", s.Offers).Info("hosts that offer to become members changed")
	}
	g.status = s
}

// sameMember reports whether a and b are the same member with the same right to
// vote.
func sameMember(a, b MemberStatus) bool { return a.ID == b.ID && a.Voter == b.Voter }

// hosts returns the host names of the voters and learners.
func (s Status) hosts() (voters, learners []string) {
	for _, m := range s.Members {
		if m.Voter {
			voters = append(voters, m.Host)
		} else {
			learners = append(learners, m.Host)
		}
	}
	return voters, learners
}
