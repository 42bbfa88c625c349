package host

import (
	"math/rand"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// TestAccountsAreCurrent guards against a host that is cut off and serves by keys that were
// withdrawn, and against one that is in touch and refuses.
func TestAccountsAreCurrent(t *testing.T) {
	const limit = 5 * time.Second
	now := 10 * time.Second
	h := &RoutedHost{replica: replica.New(state.New()), now: func() time.Duration { return now }}
	h.follower = peer.NewFollower(nil, nil, h.replica, nil, rand.New(rand.NewSource(1)), "front", nil)
	h.opts.MaxAccountsAge = limit
	h.replica.Apply(7, state.Command{})
	for _, c := range []struct {
		name string
		// applied is the index that the leader's reply names.
		sentAt  time.Duration
		applied uint64
		at      time.Duration
		want    bool
	}{
		{"never in touch", 10 * time.Second, 0, 10 * time.Second, false},
		{"as far as the leader", 10 * time.Second, 7, 15 * time.Second, true},
		{"too long ago", 10 * time.Second, 7, 15*time.Second + 1, false},
		{"further than the leader was", 16 * time.Second, 6, 17 * time.Second, true},
		{"behind the leader", 20 * time.Second, 8, 22 * time.Second, false},
		{"a leader that is not sure", 30 * time.Second, 0, 30 * time.Second, false},
	} {
		now = c.at
		h.recordLeaderReply(c.sentAt, peer.DemandReply{Applied: c.applied})
		if got := h.accountsCurrent(); got != c.want {
			t.Errorf("%s: current %v, want %v", c.name, got, c.want)
		}
	}
	if h.opts.MaxAccountsAge = 0; !h.accountsCurrent() {
		t.Error("a host without a limit refuses")
	}
}
