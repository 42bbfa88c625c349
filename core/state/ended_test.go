package state

import (
	"fmt"
	"testing"
)

// TestNextAnnouncementClearsEnded guards against a server that stays marked as ended
// although it announces itself again, and against a late command about an older
// process that replaces the record of a newer one.
func TestNextAnnouncementClearsEnded(t *testing.T) {
	s := New()
	s.Apply(1, Command{Suspect: &Suspect{Server: "a", Incarnation: 7, Sequence: 3}})
	s.Apply(2, Command{Suspect: &Suspect{Server: "a", Incarnation: 6, Sequence: 9}})
	for _, c := range []struct {
		name                  string
		incarnation, sequence uint64
		want                  bool
	}{
		{"last announcement before the end", 7, 3, true},
		{"later announcement", 7, 4, false},
		{"another process", 8, 1, false},
	} {
		if got := s.HasEnded("a", c.incarnation, c.sequence); got != c.want {
			t.Errorf("%s: ended %v, want %v", c.name, got, c.want)
		}
	}
}

// TestEndedServersAreBounded guards against a state that grows without limit because
// it keeps every ended server process.
func TestEndedServersAreBounded(t *testing.T) {
	s := New()
	for i := range uint64(maxEndedServers + 10) {
		s.Apply(i+1, Command{Suspect: &Suspect{Server: fmt.Sprint(i), Incarnation: i + 1, Sequence: 1}})
	}
	if len(s.Ended) > maxEndedServers || !s.HasEnded(fmt.Sprint(maxEndedServers+9), maxEndedServers+10, 1) {
		t.Errorf("%d ended servers are kept, want at most maxEndedServers, including the newest", len(s.Ended))
	}
}
