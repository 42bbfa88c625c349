package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// overload sends Poisson arrivals for 20 s to two hosts with one engine that serves 80
// requests per second. factor is the offered load relative to that capacity. It returns
// the number of requests that were answered within the deadline, refused at once, and
// refused or answered late.
func overload(t *testing.T, factor float64) (inTime, refused, late int) {
	const capacity, deadline = 80.0, 2 * time.Second
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 2, engines: 1, maxBatch: 8})
		defer cl.close()
		rng := rand.New(rand.NewPCG(1, 3))
		var group sync.WaitGroup
		var mu sync.Mutex
		for i, at := 0, time.Duration(0); at < 20*time.Second; i++ {
			at += time.Duration(rng.ExpFloat64() / (factor * capacity) * float64(time.Second))
			group.Go(func() {
				time.Sleep(at)
				r := cl.hosts[i%2].call(context.Background(), "/v1/chat/completions",
					map[string]string{"X-Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}, chatBody(fmt.Sprint("request-", i), false, 5))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.refusal == nil && r.took <= deadline:
					inTime++
				case r.refusal != nil && r.took < 10*time.Millisecond:
					refused++
				default:
					late++
				}
			})
		}
		group.Wait()
	})
	return inTime, refused, late
}

// Guards against congestion collapse under overload. The hosts know the capacity of the
// engine only from its service times and refusals.
func TestOverloadedEngineKeepsGoodput(t *testing.T) {
	peak := 0
	for _, factor := range []float64{0.9, 2} {
		inTime, refused, late := overload(t, factor)
		t.Logf("load %.1f: answered in time %d, refused at once %d, late %d", factor, inTime, refused, late)
		peak = max(peak, inTime)
		if float64(inTime) < 0.9*float64(peak) || float64(late) > 0.02*float64(inTime) {
			t.Errorf("load %.1f: answered in time %d, want at least 90%% of peak %d; late %d, want at most 2%%", factor, inTime, peak, late)
		}
	}
}
