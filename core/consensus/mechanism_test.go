package consensus

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// leaderAndOthers returns the settled leader and the other hosts.
func (s *sim) leaderAndOthers() (*simMember, []*simMember, error) {
	lead := s.leading()
	if len(lead) != 1 {
		return nil, nil, fmt.Errorf("%d leaders after the start", len(lead))
	}
	var others []*simMember
	for _, m := range s.members {
		if m != lead[0] {
			others = append(others, m)
		}
	}
	return lead[0], others, nil
}

// scenarioRestartInLease cuts one follower off from the leader, restarts the
// other within the lease and cuts the leader off.
func scenarioRestartInLease(s *sim) error {
	lead, others, err := s.leaderAndOthers()
	if err != nil {
		return err
	}
	s.cut[[2]int{s.host(lead.ID), s.host(others[0].ID)}] = true
	if err := s.run(3 * simElection); err != nil {
		return err
	}
	if s.leading()[0] != lead {
		return nil // too much skew for this seed
	}
	s.kill(others[1])
	s.isolate(lead)
	return errors.Join(s.start(others[1]), s.run(3*simElection))
}

// scenarioSkew cuts off a leader whose clock is slow while the others' are fast.
func scenarioSkew(s *sim) error {
	lead, others, err := s.leaderAndOthers()
	if err != nil {
		return err
	}
	lead.rate, others[0].rate, others[1].rate = simMinRate, simMaxRate, simMaxRate
	if err := s.run(2 * s.election); err != nil {
		return err
	}
	s.isolate(lead)
	return s.run(3 * s.election)
}

// scenarioPowerLoss ends every process at once, ten times, shortly after a
// proposal. Whatever was committed must still be there.
func scenarioPowerLoss(s *sim) error {
	for round := range 10 {
		if err := errors.Join(s.propose(1), s.run(time.Duration(round)*simStep)); err != nil {
			return err
		}
		for _, m := range s.members {
			s.kill(m)
		}
		if err := s.startAll(); err != nil {
			return err
		}
	}
	return s.settle()
}

// scenarioReturn cuts off a follower for ten election timeouts. Its return must
// not depose the leader.
func scenarioReturn(s *sim) error {
	lead, others, err := s.leaderAndOthers()
	if err != nil {
		return err
	}
	term := lead.node.term
	s.isolate(others[0])
	if err := s.run(10 * simElection); err != nil {
		return err
	}
	if err := errors.Join(s.heal(), s.run(5*simElection)); err != nil {
		return err
	}
	if lead.node.role != Leader || lead.node.term != term {
		return errors.New("a returning member deposed the leader")
	}
	return nil
}

// scenarioSilentPartition requires that a leader without a quorum stops leading.
func scenarioSilentPartition(s *sim) error {
	lead, _, err := s.leaderAndOthers()
	if err != nil {
		return err
	}
	s.isolate(lead)
	if err := s.run(3 * simElection); err != nil {
		return err
	}
	if lead.node.role == Leader {
		return errors.New("a leader without a quorum still leads")
	}
	return nil
}

// scenarioLostDuringRepair loses the replacement of a lost voter as soon as it
// has joined. The two remaining voters of three must still commit.
func scenarioLostDuringRepair(s *sim) error {
	lead, others, err := s.leaderAndOthers()
	if err != nil {
		return err
	}
	s.empty(others[0])
	if err := s.start(others[0]); err != nil {
		return err
	}
	joined := func() bool { _, ok := lead.node.Status().Membership.Member(others[0].ID); return ok }
	for range 100 {
		if err := s.run(simStep); err != nil || joined() {
			break
		}
	}
	s.isolate(others[0])
	before := s.top
	if err := errors.Join(s.run(simElection), s.propose(1), s.run(2*simElection)); err != nil {
		return err
	}
	if s.top == before {
		return errors.New("two healthy voters of three cannot commit")
	}
	return nil
}

// scenarioLostAfterRepair loses a second voter right after a repair has ended.
func scenarioLostAfterRepair(s *sim) error {
	_, others, err := s.leaderAndOthers()
	if err != nil {
		return err
	}
	if err := s.propose(300); err != nil {
		return err
	}
	s.kill(others[0])
	for range 400 {
		if err := s.run(simStep); err != nil {
			return err
		}
		if !s.voters.IsVoter(others[0].ID) {
			break
		}
	}
	if s.voters.IsVoter(others[0].ID) {
		return errors.New("the lost voter was not replaced")
	}
	s.gone[others[0].ID] = true
	s.empty(others[1])
	before := s.top
	if err := errors.Join(s.run(5*simElection), s.propose(1), s.run(5*simElection)); err != nil {
		return err
	}
	if s.top == before {
		return errors.New("no progress after the second loss")
	}
	return nil
}

// random plays a drawn schedule.
func random(hosts int) func(*sim, int) error {
	return func(s *sim, seed int) error {
		for _, f := range faults(hosts).Example(seed) {
			if err := s.inject(f); err != nil {
				return err
			}
		}
		return s.settle()
	}
}

func scenario(f func(*sim) error) func(*sim, int) error {
	return func(s *sim, _ int) error { return f(s) }
}

// TestMechanisms guards each mechanism by its oracle: no seed fails with it, and
// some seeds fail without it. A mechanism whose loss no oracle notices would be
// untested.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		play  func(*sim, int) error
		off   func(*sim)
		seeds int
	}{
		{"lease wait after start", 3, scenario(scenarioRestartInLease), func(s *sim) { s.off.startWait = true }, 100},
		{"drift margin of the lease", 3, scenario(scenarioSkew), func(s *sim) { s.off.drift = true }, 100},
		{"pre-vote", 3, scenario(scenarioReturn), func(s *sim) { s.off.preVote = true }, 20},
		{"quorum check", 3, scenario(scenarioSilentPartition), func(s *sim) { s.off.quorumCheck = true }, 20},
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
					err := s.startAll()
					if err == nil {
						err = c.play(s, seed)
					}
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
	if err := s.startAll(); err != nil {
		t.Fatal(err)
	}
	lead, others, err := s.leaderAndOthers()
	if err != nil {
		t.Fatal(err)
	}
	learner := s.members[3]
	steps := []func() error{
		func() error { _, _, err := lead.node.AddLearner(learner.Member); return err },
		func() error { s.isolate(learner); return nil },
		func() error { _, _, err := lead.node.Remove(learner.ID); return err },
		func() error { clear(s.cut); s.kill(others[0]); return nil },
	}
	for _, step := range steps {
		if err := errors.Join(step(), s.run(5*simElection)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.run(20 * simElection); err != nil || !s.voters.IsVoter(learner.ID) {
		t.Errorf("the learner did not replace the lost voter: %v, %v", err, s.voters)
	}
}
