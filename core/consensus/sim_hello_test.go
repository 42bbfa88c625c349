package consensus

import "slices"

// sendHellos introduces a host that is no member or knows no leader to the hosts of its directory,
// as the driver does.
func (s *sim) sendHellos(m *simMember) {
	st := m.node.Status()
	_, member := st.Membership.Member(m.ID)
	due := m.helloAt == 0 || m.now()-m.helloAt >= 2*s.electionTimeout
	if s.noOffers || !due || member && st.Leader != 0 && st.Role != Leader {
		return
	}
	m.helloAt = m.now()
	for _, to := range m.directory.Targets(st.Membership) {
		s.sendHello(m, to, 0, st.Role == Leader)
	}
}

func (s *sim) sendHello(m *simMember, to Member, answered uint64, reply bool) {
	membership := m.node.Status().Membership
	hello := m.directory.Hello(len(membership.Voters) > 0, reply, membership)
	s.transmitTo(s.hostByName(to.Host), Message{Kind: MessageHello, From: m.ID, To: answered, Hello: hello})
}

// receiveHello does what the driver does with a hello message.
func (s *sim) receiveHello(m *simMember, msg Message) {
	h, st := msg.Hello, m.node.Status()
	if h.Member.ID == m.ID {
		return
	}
	_, member := st.Membership.Member(m.ID)
	if m.directory.Receive(m.now(), msg.To, *h, st.Membership) && !member {
		m.helloAt = 0
	}
	if !h.Reply {
		s.sendHello(m, h.Member, h.Member.ID, true)
	}
	if _, known := st.Membership.Member(h.Member.ID); !known && len(st.Membership.Voters) > 0 {
		m.node.OfferSpare(m.now(), h.Member)
	}
}

func (s *sim) hostByName(name string) int {
	return slices.IndexFunc(s.members, func(m *simMember) bool { return m.Host == name })
}
