package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/node/backend"
)

// limitLoad sends 40 requests a second for 16 s to four hosts, while the first of two servers
// names a limit of 2 a second between second 3 and 14. It returns the requests that reached
// that server in the worst window of 4 s from second 4 on, the answers by status, and how long
// refused requests were held.
func limitLoad(t *testing.T, path string, disabled disabledMechanisms, servers int) (worst int, statuses map[int]int, refusals []time.Duration) {
	t.Helper()
	statuses = map[int]int{}
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		var mu sync.Mutex
		var arrivals []time.Duration
		says := func(server int, r *http.Request) map[string]string {
			at := time.Since(start)
			if server > 0 || r.Header.Get(backend.HeaderAttemptID) == "" {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, at)
			if at < 3*time.Second || at >= 14*time.Second {
				return nil
			}
			return map[string]string{backend.HeaderRequestLimit: "2"}
		}
		cl := newCluster(clusterOptions{hosts: 4, engines: servers, plainServers: servers, disabled: disabled, engineSays: says, plainSays: says})
		defer cl.close()
		rng := rand.New(rand.NewPCG(1, 4))
		var group sync.WaitGroup
		for i := range 640 {
			time.Sleep(25 * time.Millisecond)
			host := cl.hosts[rng.IntN(len(cl.hosts))]
			group.Go(func() {
				body, header := chatBody(fmt.Sprint("request-", i), i%2 == 0, 3), map[string]string{"X-Deadline-Ms": "2000"}
				r := host.call(context.Background(), path, header, body)
				mu.Lock()
				defer mu.Unlock()
				statuses[r.status]++
				if r.refusal != nil {
					refusals = append(refusals, r.took)
				}
			})
		}
		group.Wait()
		for first, begin := range arrivals {
			n := 0
			for _, at := range arrivals[first:] {
				if begin >= 4*time.Second && at < begin+4*time.Second && at < 14*time.Second {
					n++
				}
			}
			worst = max(worst, n)
		}
	})
	return worst, statuses, refusals
}

// TestServersGetNoMoreThanTheLimitTheyNameFromEntryHosts guards against hosts that each keep
// their own rate to a server that names one limit for all, on the product's own interface.
func TestServersGetNoMoreThanTheLimitTheyNameFromEntryHosts(t *testing.T) {
	const allowed = 1.5*2*4 + 5
	for _, path := range []string{"/v1/chat/completions", "/v1/services/" + orderService} {
		t.Run(strings.Trim(strings.ReplaceAll(path, "/", "-"), "-"), func(t *testing.T) {
			worst, statuses, _ := limitLoad(t, path, disabledMechanisms{}, 2)
			if worst > allowed || worst == 0 {
				t.Errorf("the server got %d requests in 4 s, want 1 to %.0f", worst, allowed)
			}
			if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
				t.Errorf("answers by status %v, want only 200, since another server takes the rest", statuses)
			}
			if worst, _, _ := limitLoad(t, path, disabledMechanisms{notices: true}, 2); worst <= allowed {
				t.Errorf("hosts that ignore the limit send %d requests in 4 s, want more than %.0f", worst, allowed)
			}
		})
	}
}

// TestRequestsBeyondTheOnlyServersLimitAreRefusedEarly guards against requests that are held to
// their deadline for a permit that cannot come in time.
func TestRequestsBeyondTheOnlyServersLimitAreRefusedEarly(t *testing.T) {
	worst, statuses, refusals := limitLoad(t, "/v1/chat/completions", disabledMechanisms{}, 1)
	if worst > 1.5*2*4+5 {
		t.Errorf("the server got %d requests in 4 s", worst)
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status %v, want 200 and 503", statuses)
	}
	slices.Sort(refusals)
	if n := len(refusals); refusals[n*9/10] > 500*time.Millisecond || refusals[n-1] > 1900*time.Millisecond {
		t.Errorf("of %d refusals, nine tenths came within %s and the last after %s, want a quarter of the 2 s of the request, and less than all of it",
			n, refusals[n*9/10], refusals[n-1])
	}
}
