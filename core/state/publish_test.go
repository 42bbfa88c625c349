package state

import (
	"testing"

	"github.com/pollenwheel/pollenwheel/core/route"
)

// TestPublishKeepsTheHighestVersion guards against a route table that is replaced by
// an older version, or by other content with the same version.
func TestPublishKeepsTheHighestVersion(t *testing.T) {
	s := New()
	for i, c := range []struct {
		name    string
		version uint64
		source  string
		want    string
	}{
		{"first", 3, "a", "a"},
		{"older", 2, "b", "a"},
		{"same version, other content", 3, "c", "a"},
		{"newer", 9, "d", "d"},
		{"repeated", 9, "d", "d"},
	} {
		res := s.Apply(uint64(i+1), Command{Publish: &Publish{Table: route.Table{Version: c.version}, Source: []byte(c.source)}})
		if res.Err() != nil {
			t.Errorf("%s: rejected: %v", c.name, res.Err())
		}
		if got := string(s.Published.Source); got != c.want {
			t.Errorf("%s: source %q, want %q", c.name, got, c.want)
		}
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if restored.Published == nil || restored.Published.Table.Version != 9 {
		t.Error("the restored snapshot does not contain the published table of version 9")
	}
}

// TestRecordLeaderReturnsPreviousLeader guards against a new leader that does not
// know whose orders may still be in flight.
func TestRecordLeaderReturnsPreviousLeader(t *testing.T) {
	s := New()
	a, b := HostProcess{Host: "a", Incarnation: 1}, HostProcess{Host: "b", Incarnation: 2}
	if res := s.Apply(1, Command{RecordLeader: &RecordLeader{Sender: a}}); *res.PreviousLeader != (HostProcess{}) {
		t.Errorf("previous leader of the first: got %v, want none", *res.PreviousLeader)
	}
	if res := s.Apply(2, Command{RecordLeader: &RecordLeader{Sender: b}}); *res.PreviousLeader != a {
		t.Errorf("previous leader of the second: got %v, want host a", *res.PreviousLeader)
	}
}
