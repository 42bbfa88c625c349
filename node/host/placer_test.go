package host

import (
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// TestNewLeaderMaySendOrders guards against two leaders that send orders within
// one lease, and against a new leader that waits for a previous leader that has
// failed.
func TestNewLeaderMaySendOrders(t *testing.T) {
	const lease = 3 * time.Second
	self := state.HostProcess{Host: "core-1", Incarnation: 2}
	other := state.HostProcess{Host: "core-2", Incarnation: 1}
	for _, c := range []struct {
		name           string
		since          time.Duration
		previousLeader state.HostProcess
		stillRuns      bool
		want           bool
	}{
		{"no previous leader", 0, state.HostProcess{}, false, true},
		{"the same process led before", 0, self, true, true},
		{"an earlier process of this host led before", 0, state.HostProcess{Host: "core-1", Incarnation: 1}, true, false},
		{"the previous leader runs", previousLeaderTimeout, other, true, false},
		{"the previous leader runs, just before its lease ends", lease - 1, other, true, false},
		{"the previous leader runs, its lease has ended", lease, other, true, true},
		{"the previous leader does not answer, before the timeout", previousLeaderTimeout - 1, other, false, false},
		{"the previous leader does not answer until the timeout", previousLeaderTimeout, other, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := mayOrder(c.since, lease, c.previousLeader, self, func() bool { return c.stillRuns }); got != c.want {
				t.Errorf("may order: %v, want %v", got, c.want)
			}
		})
	}
}
