package state

import (
	"fmt"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/origin"
)

// TestSetSoftwareVersion guards against an admitted software version that is lost by a repetition, a
// snapshot or a follower's copy, and against a copy that changes with the state.
func TestSetSoftwareVersion(t *testing.T) {
	s := New()
	apply := func(service, version string, retire bool) {
		s.Apply(s.Index+1, Command{SetSoftwareVersion: &SetSoftwareVersion{Service: service, Version: version, Retire: retire}})
	}
	apply("a", "v2", false)
	apply("a", "v1", false)
	apply("a", "v1", false)
	apply("b", "v1", false)
	before := s.ForFollowers()
	apply("a", "v2", true)
	apply("b", "v1", true)
	apply("b", "v1", true)
	if want := fmt.Sprint(origin.Admitted{"a": {"v1", "v2"}, "b": {"v1"}}); fmt.Sprint(before.SoftwareVersions) != want {
		t.Errorf("the earlier copy holds %v, want %s", before.SoftwareVersions, want)
	}
	want := fmt.Sprint(origin.Admitted{"a": {"v1"}})
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string]origin.Admitted{"state": s.SoftwareVersions, "snapshot": restored.SoftwareVersions} {
		if fmt.Sprint(got) != want {
			t.Errorf("%s: %v, want %s", name, got, want)
		}
	}
}
