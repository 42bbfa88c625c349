package host

import (
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// Guards against two leaders that give orders within one lease, and against a
// new leader that waits for one that is gone.
func TestWhenANewLeaderMayGiveOrders(t *testing.T) {
	const lease = 3 * time.Second
	self := state.Sender{Host: "core-1", Incarnation: 2}
	other := state.Sender{Host: "core-2", Incarnation: 1}
	for _, c := range []struct {
		name   string
		since  time.Duration
		before state.Sender
		runs   bool
		want   bool
	}{
		{"the first leader of all", 0, state.Sender{}, false, true},
		{"the same process leads again", 0, self, true, true},
		{"an earlier process of this host led", 0, state.Sender{Host: "core-1", Incarnation: 1}, true, false},
		{"the other runs", releaseDelay, other, true, false},
		{"the other runs, right before its lease ends", lease - 1, other, true, false},
		{"the other runs, its lease is over", lease, other, true, true},
		{"the other does not answer, too early to tell", releaseDelay - 1, other, false, false},
		{"the other does not answer", releaseDelay, other, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := mayOrder(c.since, lease, c.before, self, func() bool { return c.runs }); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
