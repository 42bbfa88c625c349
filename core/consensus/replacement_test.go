package consensus

import "testing"

// TestReplacementVotes guards against a host that takes the place of a lost one and never votes,
// whatever happens to its seeds, to itself and to the leader while it waits.
func TestReplacementVotes(t *testing.T) {
	for _, c := range []struct {
		name string
		// join starts the replacement, whose seeds are others that do not lead, and brings
		// trouble. lost is the host that it replaces.
		join func(s *sim, lost, leader *simMember, others []*simMember)
	}{
		{"nothing else happens", func(s *sim, _, _ *simMember, others []*simMember) {
			s.replacement(others)
		}},
		{"the leader changes", func(s *sim, _, leader *simMember, others []*simMember) {
			s.replacement(others)
			s.run(simElectionTimeout)
			s.must(leader.node.Transfer(leader.now()))
			s.processReady(leader)
		}},
		{"the leader is killed and comes back", func(s *sim, _, leader *simMember, others []*simMember) {
			s.replacement(others)
			s.run(2 * simStep)
			s.kill(leader)
			s.run(5 * simElectionTimeout)
			s.start(leader)
		}},
		{"it restarts while it waits", func(s *sim, _, _ *simMember, others []*simMember) {
			m := s.replacement(others)
			for range 3 {
				s.run(3 * simStep)
				s.kill(m)
				s.start(m)
			}
		}},
		{"two of its seeds are gone", func(s *sim, lost, _ *simMember, others []*simMember) {
			s.replacement([]*simMember{lost, others[0], lost})
		}},
		{"its only seed that runs is new and no member yet", func(s *sim, lost, leader *simMember, others []*simMember) {
			fresh := s.addMember()
			s.isolate(fresh)
			s.blocked[[2]int{s.hostIndex(fresh.ID), s.hostIndex(others[0].ID)}] = false
			s.blocked[[2]int{s.hostIndex(others[0].ID), s.hostIndex(fresh.ID)}] = false
			fresh.seeds = []Member{others[0].Member}
			s.start(fresh)
			m := s.replacement([]*simMember{fresh, lost})
			s.blocked[[2]int{s.hostIndex(fresh.ID), s.hostIndex(m.ID)}] = false
			s.run(20 * simElectionTimeout)
			fresh.removed = true
			s.kill(fresh)
			s.lostIDs[fresh.ID] = true
		}},
		{"all its seeds are gone until it is told others", func(s *sim, lost, _ *simMember, others []*simMember) {
			m := s.replacement([]*simMember{lost})
			s.run(20 * simElectionTimeout)
			m.directory.SetSeeds([]Member{{Host: others[0].Host, PeerAddress: others[0].PeerAddress}})
		}},
		{"its offers do not reach the leader for long", func(s *sim, _, leader *simMember, others []*simMember) {
			m := s.replacement(others)
			from, to := s.hostIndex(m.ID), s.hostIndex(leader.ID)
			s.blocked[[2]int{from, to}], s.blocked[[2]int{to, from}] = true, true
			s.run(3 * offerLifetimeTimeouts * simElectionTimeout)
			if s.membership.IsVoter(m.ID) {
				s.failf("a host that the leader cannot reach votes")
			}
			s.propose(1)
			clear(s.blocked)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range int64(10) {
				s := newSim(seed, 5, 3)
				s.targetVoters = 5
				if err := catchViolation(func() { replaceOne(s, c.join) }); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// replaceOne replaces one of five hosts and requires that the replacement votes in time.
func replaceOne(s *sim, join func(s *sim, lost, leader *simMember, others []*simMember)) {
	s.startAll()
	s.run(40 * simElectionTimeout)
	leader, others := s.leaderAndOthers()
	lost := others[0]
	s.kill(lost)
	lost.removed = true
	s.lostIDs[lost.ID] = true
	join(s, lost, leader, others[1:])
	s.run(simCatchUp)
	s.requireLiveVoters()
}

// TestDirectoryIsBounded guards against a host that remembers, and calls, every control host that
// ever was, and against one that forgets those it still hears from.
func TestDirectoryIsBounded(t *testing.T) {
	s := newSim(1, 1, 1)
	d := NewDirectory(s.members[0].Member, nil)
	for i := range 10 * maxContacts {
		m := s.addMember().Member
		d.Receive(1, 0, Hello{Member: Member{ID: 7, Host: "steady", PeerAddress: "steady"}}, Membership{})
		d.Receive(0, 0, Hello{Member: m, Members: []Member{m, {ID: uint64(1000 + i), Host: m.Host + "-old", PeerAddress: "gone"}}}, Membership{})
	}
	if n := len(d.Targets(Membership{})); n > 2*maxContacts {
		t.Errorf("%d hosts are called", n)
	}
	if _, ok := d.Contact("steady"); !ok {
		t.Error("a host that is heard from is forgotten")
	}
}

// TestDirectoryPrefersWhatAHostTellsOfItself guards against messages to the old address of a member
// that others still tell of.
func TestDirectoryPrefersWhatAHostTellsOfItself(t *testing.T) {
	self := Member{ID: 1, Host: "self", PeerAddress: "self"}
	moved, old := Member{ID: 2, Host: "moved", PeerAddress: "new"}, Member{ID: 2, Host: "moved", PeerAddress: "old"}
	d := NewDirectory(self, nil)
	d.Receive(0, 0, Hello{Member: moved}, Membership{})
	d.Receive(1, 0, Hello{Member: Member{ID: 3, Host: "other", PeerAddress: "other"}, Members: []Member{old}}, Membership{})
	m := Membership{Voters: []Member{self, old}}
	if got, ok := d.Lookup(2, m); !ok || got.PeerAddress != "new" {
		t.Errorf("address %q of a member that has moved", got.PeerAddress)
	}
	if got, ok := d.Lookup(4, m); ok {
		t.Errorf("unknown member found as %v", got)
	}
	for _, to := range d.Targets(m) {
		if to.Host == "moved" && to.PeerAddress != "new" {
			t.Errorf("hello messages go to %q", to.PeerAddress)
		}
	}
}
