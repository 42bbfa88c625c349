package consensus

import (
	"fmt"
	"testing"
	"time"
)

// leaderAndOthers returns the leader elected after the start and the other
// members.
func (s *sim) leaderAndOthers() (*simMember, []*simMember) {
	leaders := s.runningLeaders()
	if len(leaders) != 1 {
		s.failf("got %d leaders after the start, want 1", len(leaders))
	}
	var others []*simMember
	for _, m := range s.members {
		if m != leaders[0] && !m.removed {
			others = append(others, m)
		}
	}
	return leaders[0], others
}

// scenarioRestartInLease blocks the link from the leader to one follower,
// restarts the other follower within the lease and then isolates the leader.
func scenarioRestartInLease(s *sim) {
	leader, others := s.leaderAndOthers()
	s.blocked[[2]int{s.hostIndex(leader.ID), s.hostIndex(others[0].ID)}] = true
	s.run(3 * simElectionTimeout)
	if s.runningLeaders()[0] != leader {
		return // too much clock drift with this seed: the leader lost leadership
	}
	s.kill(others[1])
	s.isolate(leader)
	s.start(others[1])
	s.run(3 * simElectionTimeout)
}

// scenarioClockDrift isolates a leader whose clock runs slow while those of the
// other members run fast.
func scenarioClockDrift(s *sim) {
	leader, others := s.leaderAndOthers()
	leader.clockRate, others[0].clockRate, others[1].clockRate = simMinRate, simMaxRate, simMaxRate
	s.run(2 * s.electionTimeout)
	s.isolate(leader)
	s.run(3 * s.electionTimeout)
}

// scenarioPowerLoss kills every process at once, ten times, shortly after a
// proposal. Committed entries must survive.
func scenarioPowerLoss(s *sim) {
	for round := range 10 {
		s.propose(1)
		s.run(time.Duration(round) * simStep)
		for _, m := range s.members {
			s.kill(m)
		}
		s.startAll()
	}
	s.requireRecovery()
}

// scenarioTransfer transfers leadership while no message from its successor
// reaches the old leader.
func scenarioTransfer(s *sim) {
	leader, others := s.leaderAndOthers()
	h := s.hostIndex(leader.ID)
	for _, m := range others {
		s.blocked[[2]int{s.hostIndex(m.ID), h}] = true
	}
	s.must(leader.node.Transfer(leader.now()))
	s.processReady(leader)
	s.run(2 * simElectionTimeout)
}

// scenarioReturn isolates a follower for ten election timeouts. The leader must
// keep its term when the follower returns.
func scenarioReturn(s *sim) {
	leader, others := s.leaderAndOthers()
	term := leader.node.term
	s.isolate(others[0])
	s.run(10 * simElectionTimeout)
	s.heal()
	s.run(5 * simElectionTimeout)
	if leader.node.role != Leader || leader.node.term != term {
		s.failf("the return of an isolated member ended the leader's term")
	}
}

// scenarioIsolatedLeader requires that a leader without a quorum steps down.
func scenarioIsolatedLeader(s *sim) {
	leader, _ := s.leaderAndOthers()
	s.isolate(leader)
	s.run(3 * simElectionTimeout)
	if leader.node.role == Leader {
		s.failf("a leader without a quorum has not stepped down")
	}
}

// scenarioLostDuringRepair isolates the replacement of a lost voter as soon as
// it has joined. The two remaining voters of three must still commit.
func scenarioLostDuringRepair(s *sim) {
	leader, others := s.leaderAndOthers()
	s.emptyDisk(others[0])
	s.start(others[0])
	joined := func() bool { _, ok := leader.node.Status().Membership.Member(others[0].ID); return ok }
	for range 100 {
		s.run(simStep)
		if joined() {
			break
		}
	}
	s.isolate(others[0])
	previous := s.lastCommitted
	s.run(simElectionTimeout)
	s.propose(1)
	s.run(2 * simElectionTimeout)
	if s.lastCommitted == previous {
		s.failf("two healthy voters of three cannot commit")
	}
}

// scenarioLostAfterRepair empties the disk of a second voter right after a
// repair has ended.
func scenarioLostAfterRepair(s *sim) {
	_, others := s.leaderAndOthers()
	s.propose(300)
	s.kill(others[0])
	for range 400 {
		s.run(simStep)
		if !s.membership.IsVoter(others[0].ID) {
			break
		}
	}
	if s.membership.IsVoter(others[0].ID) {
		s.failf("the lost voter was not replaced")
	}
	s.lostIDs[others[0].ID] = true
	s.emptyDisk(others[1])
	previous := s.lastCommitted
	s.run(5 * simElectionTimeout)
	s.propose(1)
	s.run(5 * simElectionTimeout)
	if s.lastCommitted == previous {
		s.failf("nothing was committed after the loss of a second voter")
	}
}

// scenarioTwoLostDisks lets a group that three of five hosts founded grow, and then
// empties the disks of two of the founders at the same moment.
func scenarioTwoLostDisks(s *sim) {
	_, others := s.leaderAndOthers()
	s.run(40 * simElectionTimeout)
	s.propose(50)
	s.run(5 * simElectionTimeout)
	for _, m := range others[:2] {
		s.kill(m)
		m.disk, m.emptied = simDisk{}, true
		s.lostIDs[m.ID] = true
		m.ID = s.newID()
	}
	for _, m := range others[:2] {
		s.start(m)
	}
	s.requireRecovery()
}

// simCatchUp is how long after its start a host that replaces another one is a voter.
const simCatchUp = 20 * simElectionTimeout

// scenarioReplacedHosts replaces control hosts of five, one or two at a time, by empty ones at other
// addresses. Their seeds are hosts that do not lead, as far as there are as many. Then it kills all
// hosts and empties the disks of two.
func scenarioReplacedHosts(s *sim) {
	s.run(40 * simElectionTimeout)
	for _, count := range []int{1, 2, 1} {
		leader, others := s.leaderAndOthers()
		for _, m := range others[:count] {
			s.kill(m)
			m.removed = true
			s.lostIDs[m.ID] = true
		}
		seeds := append(others[count:], leader)[:simSeeds]
		for range count {
			s.replacement(seeds)
		}
		s.run(simCatchUp)
		s.requireLiveVoters()
		s.propose(5)
		s.run(simElectionTimeout)
	}
	s.loseTwoDisks()
	s.requireRecovery()
}

// replacement starts a host with an empty disk and the given seeds.
func (s *sim) replacement(seeds []*simMember) *simMember {
	m := s.addMember()
	m.seeds = nil
	for _, seed := range seeds {
		m.seeds = append(m.seeds, Member{Host: seed.Host, PeerAddress: seed.PeerAddress})
	}
	s.start(m)
	return m
}

// requireLiveVoters requires that all running hosts vote, and no others.
func (s *sim) requireLiveVoters() {
	voters := 0
	for _, m := range s.members {
		if m.removed {
			continue
		}
		voters++
		if !s.membership.IsVoter(m.ID) {
			s.failf("%s is no voter", m.Host)
		}
	}
	if len(s.membership.Voters) != voters {
		s.failf("%d voters, of which %d run", len(s.membership.Voters), voters)
	}
}

// loseTwoDisks kills all hosts and empties the disks of two.
func (s *sim) loseTwoDisks() {
	emptied := 0
	for _, m := range s.members {
		s.kill(m)
		if m.removed || emptied == 2 {
			continue
		}
		emptied++
		m.disk, m.emptied = simDisk{}, true
		s.lostIDs[m.ID] = true
		m.ID = s.newID()
	}
}

// randomSchedule injects the faults that the seed selects.
func randomSchedule(hosts int) func(*sim, int) {
	return func(s *sim, seed int) {
		for _, f := range scheduleGenerator(hosts).Example(seed) {
			s.inject(f)
		}
		s.requireRecovery()
	}
}

func ignoreSeed(f func(*sim)) func(*sim, int) {
	return func(s *sim, _ int) { f(s) }
}

// TestMechanisms requires that no seed fails with a mechanism and that at least
// one fails without it. If no oracle detected that a mechanism is missing, the
// mechanism would be untested.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name    string
		hosts   int
		run     func(*sim, int)
		disable func(*sim)
		seeds   int
		// targetVoters is the number of voters up to which the group grows.
		targetVoters int
	}{
		{"lease wait after start", 3, ignoreSeed(scenarioRestartInLease), func(s *sim) { s.disabled.startWait = true }, 100, 0},
		{"drift margin of the lease", 3, ignoreSeed(scenarioClockDrift), func(s *sim) { s.disabled.driftMargin = true }, 100, 0},
		{"pre-vote", 3, ignoreSeed(scenarioReturn), func(s *sim) { s.disabled.preVote = true }, 20, 0},
		{"quorum check", 3, ignoreSeed(scenarioIsolatedLeader), func(s *sim) { s.disabled.quorumCheck = true }, 20, 0},
		{"lease released before a transfer", 3, ignoreSeed(scenarioTransfer), func(s *sim) { s.disabled.leaseRelease = true }, 20, 0},
		{"learner before vote", 3, ignoreSeed(scenarioLostDuringRepair), func(s *sim) { s.disabled.learnerPhase = true }, 20, 0},
		{"repair", 4, ignoreSeed(scenarioLostAfterRepair), func(s *sim) { s.noOffers = true }, 20, 0},
		{"growth to all control hosts", 5, ignoreSeed(scenarioTwoLostDisks), func(s *sim) { s.targetVoters = 0 }, 20, 5},
		{"members learned from any host", 5, ignoreSeed(scenarioReplacedHosts), func(s *sim) { s.ignoreTold = true }, 20, 5},
		{"sync before send", 3, ignoreSeed(scenarioPowerLoss), func(s *sim) { s.sendBeforeSync = true }, 20, 0},
		{"new member id for an empty data folder", 5, randomSchedule(5), func(s *sim) { s.reuseID = true }, 200, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := map[string]int{}
			failed := 0
			for seed := range c.seeds {
				for _, disabled := range []bool{false, true} {
					s := newSim(int64(seed), c.hosts, 3)
					s.targetVoters = c.targetVoters
					if disabled {
						c.disable(s)
					}
					// A long timeout makes message delays small against the drift.
					if c.name == "drift margin of the lease" {
						s.electionTimeout = 10 * simElectionTimeout
					}
					err := catchViolation(func() {
						s.startAll()
						c.run(s, seed)
					})
					if err != nil && !disabled {
						t.Fatalf("seed %d: %v", seed, err)
					}
					if err != nil {
						failed++
						violations[violationKind(err)]++
					}
				}
			}
			if failed == 0 {
				t.Fatalf("none of %d seeds fails without the mechanism", c.seeds)
			}
			t.Logf("without it %d of %d seeds fail: %v", failed, c.seeds, violations)
		})
	}
}

// violationKind removes the digits of an error, so that errors which differ only
// in numbers are counted together.
func violationKind(err error) string {
	var kind []rune
	for _, r := range err.Error() {
		if r >= '0' && r <= '9' {
			continue
		}
		kind = append(kind, r)
	}
	return fmt.Sprintf("%.40s", string(kind))
}

// TestRemovedLearnerOffersItself guards against a learner that is removed while
// it is partitioned, keeps its old leader and therefore never offers itself as a
// spare again (found by TestFaults with seed 817283).
func TestRemovedLearnerOffersItself(t *testing.T) {
	s := newSim(1, 4, 3)
	learner := s.members[3]
	err := catchViolation(func() {
		s.startAll()
		leader, others := s.leaderAndOthers()
		_, _, err := leader.node.AddLearner(learner.Member)
		s.must(err)
		s.run(5 * simElectionTimeout)
		s.isolate(learner)
		s.run(5 * simElectionTimeout)
		_, _, err = leader.node.Remove(learner.ID)
		s.must(err)
		s.run(5 * simElectionTimeout)
		clear(s.blocked)
		s.kill(others[0])
		s.run(25 * simElectionTimeout)
	})
	if err != nil || !s.membership.IsVoter(learner.ID) {
		t.Errorf("the removed learner did not replace the lost voter: error %v, membership %v", err, s.membership)
	}
}
