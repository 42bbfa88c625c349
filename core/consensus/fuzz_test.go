package consensus

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 60}) }

// fault is one step of a schedule. A and B choose hosts.
type fault struct {
	Kind string
	A, B int
	For  time.Duration
}

var faultKinds = []string{
	"none", "none", "propose", "propose", "burst", "lossy", "cut", "cutBoth", "isolate", "isolateLeader", "heal",
	"freeze", "thaw", "kill", "restart", "bounce", "empty", "rate", "transfer", "addLearner", "promote", "remove",
}

func faults(hosts int) *rapid.Generator[[]fault] {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			A:    rapid.IntRange(0, hosts-1).Draw(t, "a"),
			B:    rapid.IntRange(0, hosts-1).Draw(t, "b"),
			For:  time.Duration(rapid.IntRange(1, 60).Draw(t, "for")) * simStep,
		}
	})
	return rapid.SliceOfN(one, 20, 80)
}

// inject starts one fault and lets the group run.
func (s *sim) inject(f fault) {
	a := s.members[f.A]
	switch f.Kind {
	case "propose":
		s.propose(3)
	case "burst":
		s.propose(300)
	case "lossy":
		s.lossy = !s.lossy
	case "cut":
		s.cut[[2]int{f.A, f.B}] = true
	case "cutBoth":
		s.cut[[2]int{f.A, f.B}], s.cut[[2]int{f.B, f.A}] = true, true
	case "isolate":
		s.isolate(a)
	case "isolateLeader":
		for _, m := range s.leading() {
			s.isolate(m)
		}
	case "heal":
		s.heal()
	case "freeze":
		a.frozen = a.node != nil
	case "thaw":
		s.thaw(a)
	case "kill":
		s.kill(a)
	case "bounce":
		s.kill(a)
		s.start(a)
	case "empty":
		s.empty(a)
	case "restart":
		if a.node == nil {
			s.start(a)
		}
	case "rate":
		a.rate = simMinRate + (simMaxRate-simMinRate)*s.rand.Float64()
	default:
		s.change(f)
		for _, m := range s.leading() {
			s.drain(m)
		}
	}
	s.run(f.For)
}

func (s *sim) isolate(m *simMember) {
	for h := range s.members {
		s.cut[[2]int{s.host(m.ID), h}], s.cut[[2]int{h, s.host(m.ID)}] = true, true
	}
}

// change asks the leader for a membership change, which it may refuse.
func (s *sim) change(f fault) {
	for _, m := range s.leading() {
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
			// cannot know yet; no quorum with a disk would be left.
			next := m.node.Status().Membership.clone()
			next.Voters = without(next.Voters, s.members[f.A].ID)
			if len(next.Voters) >= 3 && s.intact(next) >= next.Quorum() {
				_, _, _ = m.node.Remove(s.members[f.A].ID)
			}
		}
	}
}

func (s *sim) startAll() {
	for _, m := range s.members {
		s.start(m)
	}
	s.run(5 * s.election)
}

func (s *sim) play(schedule []fault) error {
	step := -1
	err := observe(func() {
		s.startAll()
		for i, f := range schedule {
			step = i
			s.inject(f)
		}
		s.settle()
	})
	if err != nil {
		return fmt.Errorf("step %d of %d: %w", step, len(schedule), err)
	}
	return nil
}

// TestFaults guards every promise of the package at once: one leader per term,
// committed entries never lost or changed, equal applied states, one valid
// lease, one vote per term and identity, and a group that repairs itself and
// commits again once the faults end.
func TestFaults(t *testing.T) {
	for _, size := range []struct{ hosts, voters int }{{3, 3}, {5, 3}, {7, 5}} {
		t.Run(fmt.Sprintf("%d of %d hosts vote", size.voters, size.hosts), func(t *testing.T) {
			var terms, entries, restored, changes int
			rapid.Check(t, func(t *rapid.T) {
				schedule := faults(size.hosts).Draw(t, "schedule")
				s := newSim(rapid.Int64().Draw(t, "seed"), size.hosts, size.voters, mechanismsOff{})
				if err := s.play(schedule); err != nil {
					t.Fatal(err)
				}
				terms, entries = terms+len(s.leaders), entries+len(s.committed)
				restored, changes = restored+s.restored, changes+s.changes
			})
			t.Logf("%d terms, %d committed entries, %d snapshots received, %d membership changes", terms, entries, restored, changes)
		})
	}
}

// settle heals and requires that the group elects a leader, finishes its
// repairs, commits and agrees.
func (s *sim) settle() {
	s.heal()
	for range 40 {
		s.run(5 * simElection)
		if s.settled() {
			break
		}
	}
	before := s.top
	s.propose(1)
	s.run(5 * simElection)
	if s.top == before || !s.settled() {
		s.failf("group does not settle: committed %d, voters %v, %s", s.top, s.voters, s.describe())
	}
}

func (s *sim) describe() string {
	out := ""
	for h, m := range s.members {
		st := m.node.Status()
		out += fmt.Sprintf("[h%d %x role %d term %d commit %d last %d leader %x members %v]", h, m.ID, st.Role, st.Term, st.Commit, st.Last, st.Leader, st.Membership)
	}
	return out
}

func (s *sim) settled() bool {
	for _, v := range s.voters.All() {
		h := s.host(v.ID)
		if h < 0 || s.members[h].applied != s.top {
			return false
		}
	}
	return s.voters.Repair == nil && len(s.leading()) == 1
}
