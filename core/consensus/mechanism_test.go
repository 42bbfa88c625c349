package consensus

import (
	"fmt"
	"testing"
	"time"
)

// leaderAndOthers returns the settled leader and the other hosts.
func (s *sim) leaderAndOthers() (*simMember, []*simMember) {
	lead := s.leading()
	if len(lead) != 1 {
		s.failf("%d leaders after the start", len(lead))
	}
	var others []*simMember
	for _, m := range s.members {
		if m != lead[0] {
			others = append(others, m)
		}
	}
	return lead[0], others
}

// scenarioRestartInLease cuts one follower off from the leader, restarts the
// other within the lease and cuts the leader off.
func scenarioRestartInLease(s *sim) {
	lead, others := s.leaderAndOthers()
	s.cut[[2]int{s.host(lead.ID), s.host(others[0].ID)}] = true
	s.run(3 * simElection)
	if s.leading()[0] != lead {
		return // too much skew for this seed
	}
	s.kill(others[1])
	s.isolate(lead)
	s.start(others[1])
	s.run(3 * simElection)
}

// scenarioSkew cuts off a leader whose clock is slow while the others' are fast.
func scenarioSkew(s *sim) {
	lead, others := s.leaderAndOthers()
	lead.rate, others[0].rate, others[1].rate = simMinRate, simMaxRate, simMaxRate
	s.run(2 * s.election)
	s.isolate(lead)
	s.run(3 * s.election)
}

// scenarioPowerLoss ends every process at once, ten times, shortly after a
// proposal. Whatever was committed must still be there.
func scenarioPowerLoss(s *sim) {
	for round := range 10 {
		s.propose(1)
		s.run(time.Duration(round) * simStep)
		for _, m := range s.members {
			s.kill(m)
		}
		s.startAll()
	}
	s.settle()
}

// scenarioTransfer transfers leadership while the old leader is cut off from
// its successor's messages.
func scenarioTransfer(s *sim) {
	lead, others := s.leaderAndOthers()
	h := s.host(lead.ID)
	for _, m := range others {
		s.cut[[2]int{s.host(m.ID), h}] = true
	}
	s.must(lead.node.Transfer(lead.now()))
	s.drain(lead)
	s.run(2 * simElection)
}

// scenarioReturn cuts off a follower for ten election timeouts. Its return must
// not depose the leader.
func scenarioReturn(s *sim) {
	lead, others := s.leaderAndOthers()
	term := lead.node.term
	s.isolate(others[0])
	s.run(10 * simElection)
	s.heal()
	s.run(5 * simElection)
	if lead.node.role != Leader || lead.node.term != term {
		s.failf("a returning member deposed the leader")
	}
}

// scenarioSilentPartition requires that a leader without a quorum stops leading.
func scenarioSilentPartition(s *sim) {
	lead, _ := s.leaderAndOthers()
	s.isolate(lead)
	s.run(3 * simElection)
	if lead.node.role == Leader {
		s.failf("a leader without a quorum still leads")
	}
}

// scenarioLostDuringRepair loses the replacement of a lost voter as soon as it
// has joined. The two remaining voters of three must still commit.
func scenarioLostDuringRepair(s *sim) {
	lead, others := s.leaderAndOthers()
	s.empty(others[0])
	s.start(others[0])
	joined := func() bool { _, ok := lead.node.Status().Membership.Member(others[0].ID); return ok }
	for range 100 {
		s.run(simStep)
		if joined() {
			break
		}
	}
	s.isolate(others[0])
	before := s.top
	s.run(simElection)
	s.propose(1)
	s.run(2 * simElection)
	if s.top == before {
		s.failf("two healthy voters of three cannot commit")
	}
}

// scenarioLostAfterRepair loses a second voter right after a repair has ended.
func scenarioLostAfterRepair(s *sim) {
	_, others := s.leaderAndOthers()
	s.propose(300)
	s.kill(others[0])
	for range 400 {
		s.run(simStep)
		if !s.voters.IsVoter(others[0].ID) {
			break
		}
	}
	if s.voters.IsVoter(others[0].ID) {
		s.failf("the lost voter was not replaced")
	}
	s.gone[others[0].ID] = true
	s.empty(others[1])
	before := s.top
	s.run(5 * simElection)
	s.propose(1)
	s.run(5 * simElection)
	if s.top == before {
		s.failf("no progress after the second loss")
	}
}

// random plays a drawn schedule.
func random(hosts int) func(*sim, int) {
	return func(s *sim, seed int) {
		for _, f := range faults(hosts).Example(seed) {
			s.inject(f)
		}
		s.settle()
	}
}

func scenario(f func(*sim)) func(*sim, int) {
	return func(s *sim, _ int) { f(s) }
}

// TestMechanisms guards each mechanism by its oracle: no seed fails with it, and
// some seeds fail without it. A mechanism whose loss no oracle notices would be
// untested.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		play  func(*sim, int)
		off   func(*sim)
		seeds int
	}{
		{"lease wait after start", 3, scenario(scenarioRestartInLease), func(s *sim) { s.off.startWait = true }, 100},
		{"drift margin of the lease", 3, scenario(scenarioSkew), func(s *sim) { s.off.drift = true }, 100},
		{"pre-vote", 3, scenario(scenarioReturn), func(s *sim) { s.off.preVote = true }, 20},
		{"quorum check", 3, scenario(scenarioSilentPartition), func(s *sim) { s.off.quorumCheck = true }, 20},
		{"lease given up before a transfer", 3, scenario(scenarioTransfer), func(s *sim) { s.off.release = true }, 20},
		{"learner before vote", 3, scenario(scenarioLostDuringRepair), func(s *sim) { s.off.learner = true }, 20},
		{"repair", 4, scenario(scenarioLostAfterRepair), func(s *sim) { s.noOffers = true }, 20},
		{"sync before send", 3, scenario(scenarioPowerLoss), func(s *sim) { s.sendFirst = true }, 20},
		{"new identity for an empty folder", 5, random(5), func(s *sim) { s.reuseID = true }, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen := map[string]int{}
			failed := 0
			for seed := range c.seeds {
				for _, off := range []bool{false, true} {
					s := newSim(int64(seed), c.hosts, 3, mechanismsOff{})
					if off {
						c.off(s)
					}
					// A long timeout makes message delays small against the skew.
					if c.name == "drift margin of the lease" {
						s.election = 10 * simElection
					}
					err := observe(func() {
						s.startAll()
						c.play(s, seed)
					})
					if err != nil && !off {
						t.Fatalf("seed %d: %v", seed, err)
					}
					if err != nil {
						failed++
						seen[violation(err)]++
					}
				}
			}
			if failed == 0 {
				t.Fatalf("none of %d seeds fails without the mechanism", c.seeds)
			}
			t.Logf("without it %d of %d seeds fail: %v", failed, c.seeds, seen)
		})
	}
}

// violation drops the numbers of an error, so that equal kinds are counted together.
func violation(err error) string {
	var kind []rune
	for _, r := range err.Error() {
		if r >= '0' && r <= '9' {
			continue
		}
		kind = append(kind, r)
	}
	return fmt.Sprintf("%.40s", string(kind))
}

// TestRemovedLearnerOffersItself guards against a learner that was removed while
// it was cut off, keeps believing in its leader and is therefore never a spare
// again (found by TestFaults with seed 817283).
func TestRemovedLearnerOffersItself(t *testing.T) {
	s := newSim(1, 4, 3, mechanismsOff{})
	learner := s.members[3]
	err := observe(func() {
		s.startAll()
		lead, others := s.leaderAndOthers()
		_, _, err := lead.node.AddLearner(learner.Member)
		s.must(err)
		s.run(5 * simElection)
		s.isolate(learner)
		s.run(5 * simElection)
		_, _, err = lead.node.Remove(learner.ID)
		s.must(err)
		s.run(5 * simElection)
		clear(s.cut)
		s.kill(others[0])
		s.run(25 * simElection)
	})
	if err != nil || !s.voters.IsVoter(learner.ID) {
		t.Errorf("the learner did not replace the lost voter: %v, %v", err, s.voters)
	}
}
