package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/replica"
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

// TestRefreshesAreBounded guards against a host that spends its processor on rebuilding its router:
// the leader tells of many changes a second while servers load and unload adapters.
func TestRefreshesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		begin := time.Now()
		replicated := state.New()
		publish := state.NewPublish(nil, route.Table{Version: 1}, []byte("{}"))
		replicated.Apply(1, state.Command{Publish: &publish})
		holdings, refreshes := NewHoldings(), 0
		f := New(Options{
			Replica: replica.New(replicated), Holdings: holdings, HostCount: func() int { return 1 }, Decisions: decision.New(nil),
			Now: func() time.Duration { return time.Since(begin) },
			Servers: func() []membership.ServerStatus {
				refreshes++
				time.Sleep(2 * time.Millisecond)
				return nil
			},
			ServersChanged: func() <-chan struct{} { return nil },
		})
		ended := make(chan error)
		go func() { ended <- f.Run(ctx) }()
		for time.Since(begin) < time.Second {
			holdings.Merge(false, []residency.ServerHoldings{{Server: "s"}})
			time.Sleep(time.Millisecond)
		}
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if most := 1000 / 20; refreshes > most+1 {
			t.Errorf("%d refreshes of 2 ms each in a second, want %d at most, a tenth of the time", refreshes, most)
		}
	})
}
