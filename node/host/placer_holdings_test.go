package host

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// newHoldingsTerm returns a term in which nothing is held.
func newHoldingsTerm() *leaderTerm {
	return &leaderTerm{holdings: map[string]revisedHoldings{}, changed: make(chan struct{}), ended: make(chan struct{})}
}

// TestHoldingsStreamsAreBounded guards against a leader whose work grows as hosts times changes of
// holdings, and against a host that misses the last change or that of a new term.
func TestHoldingsStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 100
		begin := time.Now()
		p := &placer{host: &RoutedHost{now: func() time.Duration { return time.Since(begin) }}}
		p.setTerm(newHoldingsTerm())
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		updates, complete := 0, 0
		var received [hosts]map[string]int
		var streams sync.WaitGroup
		for i := range hosts {
			received[i] = map[string]int{}
			streams.Go(func() {
				_ = p.streamHoldings(ctx, func(u peer.HoldingsUpdate) error {
					mu.Lock()
					defer mu.Unlock()
					updates++
					if u.Complete {
						complete++
					}
					for _, s := range u.Servers {
						received[i][s.Server] = len(s.Holdings)
					}
					return nil
				})
			})
		}
		synctest.Wait()
		var list []residency.ServerHoldings
		for i := range 20 {
			list = append(list, residency.ServerHoldings{Server: fmt.Sprint("s", i)})
		}
		publish := func(term *leaderTerm, changes int) {
			for i := range changes {
				s := &list[i%len(list)]
				s.Holdings = append(s.Holdings, residency.Holding{Target: residency.Target{Model: "m", Adapter: fmt.Sprint(i)}})
				p.mu.Lock()
				term.publishHoldings(list)
				p.mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		}
		publish(p.term, 1000)
		mu.Lock()
		if updates > maxHoldingsUpdates+2*hosts {
			t.Errorf("%d updates to %d hosts in a second, want about %d at most", updates, hosts, maxHoldingsUpdates)
		}
		mu.Unlock()
		old, next := p.term, newHoldingsTerm()
		p.setTerm(next)
		close(old.ended)
		publish(next, 5)
		time.Sleep(time.Second)
		stop()
		streams.Wait()
		if complete != 2*hosts {
			t.Errorf("%d complete updates, want one for each host and term, %d", complete, 2*hosts)
		}
		for i, got := range received {
			for _, s := range list {
				if got[s.Server] != len(s.Holdings) {
					t.Fatalf("host %d knows %d holdings of %s, want %d", i, got[s.Server], s.Server, len(s.Holdings))
				}
			}
		}
	})
}
