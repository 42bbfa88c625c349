package consensus

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 60}) }

// fault is one step of a schedule. A and B are the indexes of the hosts that it
// affects. The simulation then runs for For.
type fault struct {
	Kind string
	A, B int
	For  time.Duration
}

var faultKinds = []string{
	"none", "none", "propose", "propose", "burst", "lossy", "blockLink", "blockBothWays", "isolate", "isolateLeader", "heal",
	"freeze", "unfreeze", "kill", "startIfStopped", "killAndStart", "emptyDisk", "clockRate", "transfer", "addLearner", "promote", "remove",
}

func scheduleGenerator(hosts int) *rapid.Generator[[]fault] {
	step := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, hosts-1).Draw(t, "a"),
			B:    rapid.IntRange(0, hosts-1).Draw(t, "b"),
			For:  time.Duration(rapid.IntRange(1, 60).Draw(t, "for")) * simStep,
		}
	})
	return rapid.SliceOfN(step, 20, 80)
}

// inject starts one fault and runs the simulation for f.For.
func (s *sim) inject(f fault) {
	a := s.members[f.A]
	switch f.Kind {
	case "propose":
		s.propose(3)
	case "burst":
		s.propose(300)
	case "lossy":
		s.lossy = !s.lossy
	case "blockLink":
		s.blocked[[2]int{f.A, f.B}] = true
	case "blockBothWays":
		s.blocked[[2]int{f.A, f.B}], s.blocked[[2]int{f.B, f.A}] = true, true
	case "isolate":
		s.isolate(a)
	case "isolateLeader":
		for _, m := range s.runningLeaders() {
			s.isolate(m)
		}
	case "heal":
		s.heal()
	case "freeze":
		a.frozen = a.node != nil
	case "unfreeze":
		s.unfreeze(a)
	case "kill":
		s.kill(a)
	case "killAndStart":
		s.kill(a)
		s.start(a)
	case "emptyDisk":
		s.emptyDisk(a)
	case "startIfStopped":
		if a.node == nil {
			s.start(a)
		}
	case "clockRate":
		a.clockRate = simMinRate + (simMaxRate-simMinRate)*s.rand.Float64()
	default:
		s.requestChange(f)
		for _, m := range s.runningLeaders() {
			s.processReady(m)
		}
	}
	s.run(f.For)
}

func (s *sim) isolate(m *simMember) {
	for h := range s.members {
		s.blocked[[2]int{s.hostIndex(m.ID), h}], s.blocked[[2]int{h, s.hostIndex(m.ID)}] = true, true
	}
}

// requestChange requests a transfer or membership change, which the leader may
// refuse.
func (s *sim) requestChange(f fault) {
	for _, m := range s.runningLeaders() {
		switch f.Kind {
		case "transfer":
			_ = m.node.Transfer(m.now())
		case "addLearner":
			_, _, _ = m.node.AddLearner(s.members[f.A].Member)
		case "promote":
			_, _, _ = m.node.Promote(s.members[f.A].ID)
		case "remove":
			// Without the second condition an operator could remove an intact voter
			// within an election timeout of the loss of others, which the leader
			// cannot detect yet. No quorum of intact disks would remain.
			next := m.node.Status().Membership.clone()
			next.Voters = without(next.Voters, s.members[f.A].ID)
			if len(next.Voters) >= 3 && s.countIntact(next) >= next.Quorum() {
				_, _, _ = m.node.Remove(s.members[f.A].ID)
			}
		}
	}
}

func (s *sim) startAll() {
	for _, m := range s.members {
		s.start(m)
	}
	s.run(5 * s.electionTimeout)
}

func (s *sim) runSchedule(schedule []fault) error {
	step := -1
	err := catchViolation(func() {
		s.startAll()
		for i, f := range schedule {
			step = i
			s.inject(f)
		}
		s.requireRecovery()
	})
	if err != nil {
		return fmt.Errorf("step %d of %d: %w", step, len(schedule), err)
	}
	return nil
}

// TestFaults checks all guarantees of the package under random faults: one leader
// per term, committed entries never lost or changed, equal applied states, one
// valid lease, one vote per term and member id, and a group that repairs itself
// and commits again once the faults end.
func TestFaults(t *testing.T) {
	for _, size := range []struct{ hosts, voters, targetVoters int }{{3, 3, 0}, {5, 3, 0}, {7, 5, 0}, {5, 3, 5}, {6, 3, 5}} {
		t.Run(fmt.Sprintf("%d of %d hosts vote, target %d", size.voters, size.hosts, size.targetVoters), func(t *testing.T) {
			var terms, entries, snapshotsReceived, changesCommitted int
			rapid.Check(t, func(t *rapid.T) {
				schedule := scheduleGenerator(size.hosts).Draw(t, "schedule")
				s := newSim(rapid.Int64().Draw(t, "seed"), size.hosts, size.voters)
				s.targetVoters = size.targetVoters
				if err := s.runSchedule(schedule); err != nil {
					t.Fatal(err)
				}
				terms, entries = terms+len(s.leaders), entries+len(s.committed)
				snapshotsReceived, changesCommitted = snapshotsReceived+s.snapshotsReceived, changesCommitted+s.changesCommitted
			})
			t.Logf("%d terms, %d committed entries, %d snapshots received, %d membership changes", terms, entries, snapshotsReceived, changesCommitted)
		})
	}
}

// requireRecovery ends all faults and requires that the group elects a leader,
// finishes its repairs and commits, and that every member applies the last
// committed entry.
func (s *sim) requireRecovery() {
	s.heal()
	for range 40 {
		s.run(5 * simElectionTimeout)
		if s.recovered() {
			break
		}
	}
	previous := s.lastCommitted
	s.propose(1)
	s.run(5 * simElectionTimeout)
	if s.lastCommitted == previous || !s.recovered() {
		s.failf("group does not recover: last committed entry %d, membership %v, %s", s.lastCommitted, s.membership, s.describe())
	}
}

func (s *sim) describe() string {
	out := ""
	for h, m := range s.members {
		if m.node == nil {
			continue
		}
		st := m.node.Status()
		out += fmt.Sprintf("[h%d %x role %d term %d commit %d last %d leader %x members %v]", h, m.ID, st.Role, st.Term, st.Commit, st.LastIndex, st.Leader, st.Membership)
	}
	return out
}

func (s *sim) recovered() bool {
	for _, v := range s.membership.All() {
		h := s.hostIndex(v.ID)
		if h < 0 || s.members[h].applied != s.lastCommitted {
			return false
		}
	}
	return s.membership.Repair == nil && len(s.runningLeaders()) == 1
}
