package forward

import (
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/routing"
)

// TestLoadingAdapterGetsNoRequests guards against requests that are sent to a server
// while it still loads the adapter whose load it has accepted: it refuses them.
func TestLoadingAdapterGetsNoRequests(t *testing.T) {
	s := membership.ServerStatus{Server: membership.Server{Name: "s", Service: "llm"}}
	adapter := residency.Target{Model: "m", Adapter: "a"}
	holdings := []residency.Holding{
		{Target: residency.Target{Model: "m"}, Phase: residency.Ready},
		{Target: adapter, Phase: residency.Ready, ReadyAt: 2 * time.Second},
	}
	key := routing.Key{Service: "llm", Model: "m", Adapter: "a"}
	for _, c := range []struct {
		name          string
		now           time.Duration
		ready         bool
		nextReadiness time.Duration
	}{
		{"while it is loaded", 2*time.Second - 1, false, 2 * time.Second},
		{"once it is loaded", 2 * time.Second, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ready := false
			for _, r := range readyReplicas(c.now, s, holdings) {
				ready = ready || r.Key == key
			}
			if ready != c.ready {
				t.Errorf("the adapter counts as ready: %v, want %v", ready, c.ready)
			}
			if next := earliestReady(c.now, 0, holdings); next != c.nextReadiness {
				t.Errorf("the next holding becomes ready at %v, want %v", next, c.nextReadiness)
			}
		})
	}
}
