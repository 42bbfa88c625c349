package control

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// TestNewLeaderRestoresLearnedStatistics guards against losing the learned
// load times and arrivals at every change of the leader.
func TestNewLeaderRestoresLearnedStatistics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := replica.New(state.New())
		log := NewLocalLog(r)
		configuration := config.Configuration{
			Services: []config.Service{{Name: "s", Kind: config.KindEngine}},
			Models:   []config.Model{{Name: "m", Service: "s", MemoryMiB: 1024, MaxReplicas: 1}},
		}
		if _, err := log.Propose(t.Context(), state.Command{Configure: &state.Configure{ChangeID: "c", Next: configuration}}); err != nil {
			t.Fatal(err)
		}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		start := time.Now()
		arrivals := uint64(0)
		newLeader := func() *Leader {
			return NewLeader(log, r, LeaderSources{
				Servers: func() []membership.ServerStatus { return nil },
				Demand: func() []placement.Demand {
					return []placement.Demand{{Model: "m", Arrivals: arrivals, LastArrival: time.Since(start), Waiting: 1}}
				},
				Now:            func() time.Duration { return time.Since(start) },
				ServersChanged: func() <-chan struct{} { return nil },
			}, state.HostProcess{Host: "h", Incarnation: 1}, logrus.NewEntry(logger))
		}
		first := newLeader()
		for range 30 {
			arrivals++
			time.Sleep(time.Minute)
			first.step(t.Context())
		}
		if len(r.Snapshot().Learned) == 0 {
			t.Fatal("the leader recorded no learned statistics")
		}
		got := newLeader().planner.Export(time.Since(start), time.Now().UnixMilli())
		if len(got.Models) != 1 || got.Models[0].Model != "m" || got.Models[0].LastUnixMS == 0 {
			t.Fatalf("the next leader restored %+v, want the statistics of model m", got)
		}
	})
}
