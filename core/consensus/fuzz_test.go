package consensus

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed. POLLENWHEEL_FUZZ_CHECKS raises the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	checks := os.Getenv("POLLENWHEEL_FUZZ_CHECKS")
	if checks == "" {
		checks = "60"
	}
	set := func(name, value string) {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	set("rapid.checks", checks)
	set("rapid.seed", "1")
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

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
func (s *sim) inject(f fault) error {
	a := s.members[f.A]
	var err error
	switch f.Kind {
	case "propose":
		err = s.propose(3)
	case "burst":
		err = s.propose(300)
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
		err = s.heal()
	case "freeze":
		a.frozen = a.node != nil
	case "thaw":
		err = s.thaw(a)
	case "kill":
		s.kill(a)
	case "bounce":
		s.kill(a)
		err = s.start(a)
	case "empty":
		s.empty(a)
	case "restart":
		if a.node == nil {
			err = s.start(a)
		}
	case "rate":
		a.rate = simMinRate + (simMaxRate-simMinRate)*s.rand.Float64()
	default:
		s.change(f)
		for _, m := range s.leading() {
			err = s.drain(m)
		}
	}
	if err != nil {
		return err
	}
	return s.run(f.For)
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
			if len(m.node.Status().Membership.Voters) > 3 {
				_, _, _ = m.node.Remove(s.members[f.A].ID)
			}
		}
	}
}

func (s *sim) startAll() error {
	for _, m := range s.members {
		if err := s.start(m); err != nil {
			return err
		}
	}
	return s.run(5 * s.election)
}

func (s *sim) play(schedule []fault) error {
	if err := s.startAll(); err != nil {
		return err
	}
	for i, f := range schedule {
		if err := s.inject(f); err != nil {
			return fmt.Errorf("step %d (%s %d %d): %w", i, f.Kind, f.A, f.B, err)
		}
	}
	return s.settle()
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
