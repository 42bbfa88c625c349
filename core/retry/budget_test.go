package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestHostsTogetherStayWithinTheLimit guards against more retries in a sliding
// window than the limit allows, summed over all hosts and for any distribution
// of requests among them.
func TestHostsTogetherStayWithinTheLimit(t *testing.T) {
	limit := Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	const hosts = 8
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = NewBudget(limit)
		}
		var requests, retries []time.Duration
		for now := time.Duration(0); now < 40*time.Second; now += 20 * time.Millisecond {
			b := budgets[rng.IntN(hosts)]
			// Requests arrive at random, and the hosts attempt more retries than
			// the limit allows.
			if rng.IntN(100) < 60 {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rng.IntN(4) {
				if b.TakeRetry(now, hosts) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			count := func(list []time.Duration) (n int) {
				for _, at := range list {
					if at > end-limit.Window && at <= end {
						n++
					}
				}
				return n
			}
			if got, allowed := float64(count(retries)), limit.Ratio*float64(count(requests))+limit.Slack; got > allowed {
				t.Fatalf("seed %d: %v retries in the window that ends at %v, want at most %v", seed, got, end, allowed)
			}
		}
	}
}

// TestBudgetRecoversAfterTheWindow guards against a budget that allows no
// retries after it was once used up.
func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	b := NewBudget(Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 10})
	for b.TakeRetry(0, 1) {
	}
	if b.TakeRetry(5*time.Second, 1) {
		t.Error("a retry was allowed within the window after the slack was used up")
	}
	if !b.TakeRetry(20*time.Second, 1) {
		t.Error("no retry was allowed after the window, want the slack to be available again")
	}
}
