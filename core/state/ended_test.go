package state

import (
	"fmt"
	"testing"
)

// Guards against a server that stays out of use although it announces itself
// again, and against a report on an older process that hides a newer one.
func TestAnEndedServerReturnsWithItsNextAnnouncement(t *testing.T) {
	s := New()
	s.Apply(1, Command{Suspect: &Suspect{Server: "a", Incarnation: 7, Sequence: 3}})
	s.Apply(2, Command{Suspect: &Suspect{Server: "a", Incarnation: 6, Sequence: 9}})
	for _, c := range []struct {
		name                  string
		incarnation, sequence uint64
		want                  bool
	}{
		{"the announcement known then", 7, 3, true},
		{"a later announcement", 7, 4, false},
		{"another process", 8, 1, false},
	} {
		if got := s.HasEnded("a", c.incarnation, c.sequence); got != c.want {
			t.Errorf("%s: ended %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a state that grows with every server that ever ended.
func TestEndedServersAreForgotten(t *testing.T) {
	s := New()
	for i := range uint64(maxEnded + 10) {
		s.Apply(i+1, Command{Suspect: &Suspect{Server: fmt.Sprint(i), Incarnation: i + 1, Sequence: 1}})
	}
	if len(s.Ended) > maxEnded || !s.HasEnded(fmt.Sprint(maxEnded+9), maxEnded+10, 1) {
		t.Errorf("%d are kept", len(s.Ended))
	}
}
