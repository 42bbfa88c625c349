package origins

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
)

// TestManyHostsShareTheLeader guards against first events that are held longer, or a leader that gets
// more messages, the more hosts there are.
func TestManyHostsShareTheLeader(t *testing.T) {
	const (
		linkDelay = 5 * time.Millisecond
		limit     = 40 * time.Millisecond
		length    = 10 * time.Second
	)
	for _, c := range []struct{ hosts, streamsPerSecond int }{{8, 65}, {95, 245}, {340, 2000}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); time.Sleep(time.Second) }()
				begun := time.Now()
				now := func() time.Duration { return time.Since(begun) }
				server := NewServer(ServerOptions{
					Term: func() (uint64, bool) { return 1, true }, Leader: func() string { return "" },
					Admitted: func() origin.Admitted { return nil }, Now: now,
				})
				var messages, unconfirmed atomic.Int64
				ask := func(ctx context.Context, r origin.Report, _ time.Duration) (origin.Reply, error) {
					messages.Add(1)
					time.Sleep(linkDelay)
					reply, err := server.Handle(ctx, r)
					time.Sleep(linkDelay)
					return reply, err
				}
				var clients []*Client
				for range c.hosts {
					client := NewClient(ClientOptions{Ask: ask, Now: now, HostCount: func() int { return c.hosts }})
					clients = append(clients, client)
					go client.Run(ctx)
				}
				rng := rand.New(rand.NewPCG(1, uint64(c.hosts)))
				var mu sync.Mutex
				var holds []time.Duration
				var group sync.WaitGroup
				streams := int(length.Seconds()) * c.streamsPerSecond
				for i := range streams {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(c.streamsPerSecond)))
					client := clients[rng.IntN(len(clients))]
					group.Go(func() {
						at := time.Now()
						if !client.BeginAndWait(ctx, origin.Record{Stream: origin.StreamID(i), Expires: time.Hour}, limit) {
							unconfirmed.Add(1)
						}
						mu.Lock()
						defer mu.Unlock()
						holds = append(holds, time.Since(at))
					})
				}
				group.Wait()
				slices.Sort(holds)
				perSecond := float64(messages.Load()) / time.Since(begun).Seconds()
				t.Logf("%d hosts, %d streams/s: %.0f messages/s, first events held %s (p50), %s (p99), %s (most), %d of %d not confirmed",
					c.hosts, c.streamsPerSecond, perSecond, holds[len(holds)/2], holds[len(holds)*99/100], holds[len(holds)-1], unconfirmed.Load(), streams)
				if perSecond > urgentReportsPerSecond+reportsPerSecond {
					t.Errorf("the leader got %.0f messages a second, want at most %d", perSecond, urgentReportsPerSecond+reportsPerSecond)
				}
				if longest := holds[len(holds)-1]; longest > limit {
					t.Errorf("a first event was held for %s, want at most %s", longest, limit)
				}
			})
		})
	}
}
