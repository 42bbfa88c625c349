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
	"github.com/pollenwheel/pollenwheel/standin/engine"
	"github.com/pollenwheel/pollenwheel/standin/plain"
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

// pauseLoadTimeout is the time that the requests of pauseLoad have.
const pauseLoadTimeout = 2 * time.Second

// pauseLoad sends 10 requests a second for 12 s to two hosts, while the only server refuses all between
// second 3 and 8 and names a pause of 3 s. The requests come at random times, so that hardly two events
// fall together, whose order would be left to the scheduler. It returns the most requests of a host
// that reached the server between half a second after a refusal and the end of the pause, those that
// reached it after second 10, and how long refused requests were held.
func pauseLoad(t *testing.T, path string, disabled disabledMechanisms, seed uint64) (inPause, after int, refusals []time.Duration) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 31))
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		var mu sync.Mutex
		arrivals := map[string][]time.Duration{}
		paused := func() bool { return time.Since(start) >= 3*time.Second && time.Since(start) < 8*time.Second }
		says := func(_ int, r *http.Request) map[string]string {
			id := r.Header.Get(backend.HeaderAttemptID)
			if id == "" {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			host := strings.Join(strings.Split(id, "-")[:2], "-")
			arrivals[host] = append(arrivals[host], time.Since(start))
			if !paused() {
				return nil
			}
			return map[string]string{backend.HeaderPause: "3"}
		}
		refuse := func(string) bool { return paused() }
		cl := newCluster(clusterOptions{
			hosts: 2, engines: 1, plainServers: 1, disabled: disabled, engineSays: says, plainSays: says, seed: 2 * seed,
			engineFaults: engine.Faults{Refuse: refuse}, plainFaults: plain.Faults{Refuse: refuse},
		})
		defer cl.close()
		var group sync.WaitGroup
		for i := range 120 {
			time.Sleep(time.Until(start.Add(time.Duration(i)*100*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond))))))
			header := map[string]string{"X-Deadline-Ms": fmt.Sprint(pauseLoadTimeout.Milliseconds())}
			group.Go(func() {
				r := cl.hosts[i%2].call(context.Background(), path, header, chatBody(fmt.Sprint("request-", i), false, 3))
				mu.Lock()
				defer mu.Unlock()
				if r.refusal != nil {
					refusals = append(refusals, r.took)
				}
			})
		}
		group.Wait()
		for _, list := range arrivals {
			for _, refused := range list {
				n := 0
				for _, at := range list {
					if at >= 10*time.Second && refused == list[0] {
						after++
					}
					if refused >= 3*time.Second && refused < 8*time.Second && at >= refused+500*time.Millisecond && at < refused+3*time.Second {
						n++
					}
				}
				inPause = max(inPause, n)
			}
		}
	})
	return inPause, after, refusals
}

// TestEntryHostsKeepThePauseOfAServer guards against requests to a server that has turned a host away
// and named a pause, and against requests that are held although they can no longer be served, on the
// product's own interface.
func TestEntryHostsKeepThePauseOfAServer(t *testing.T) {
	for _, c := range []struct {
		path string
		// serviceTime is the least time that the server takes for a request.
		serviceTime time.Duration
	}{{"/v1/chat/completions", 60 * time.Millisecond}, {"/v1/services/" + orderService, 30 * time.Millisecond}} {
		for seed := range uint64(8) {
			inPause, after, refusals := pauseLoad(t, c.path, disabledMechanisms{}, seed)
			if inPause > 2 {
				t.Errorf("%s, seed %d: a host sent %d requests in a pause, want at most 2", c.path, seed, inPause)
			}
			if after < 10 {
				t.Errorf("%s, seed %d: %d requests reached the server after its pauses, want 20", c.path, seed, after)
			}
			slices.Sort(refusals)
			if n := len(refusals); n == 0 || refusals[n/2] > pauseLoadTimeout/4 {
				t.Errorf("%s, seed %d: refused requests were held for %v, want most refused within a quarter of their time", c.path, seed, refusals)
			} else if longest := refusals[n-1]; longest > pauseLoadTimeout-c.serviceTime {
				t.Errorf("%s, seed %d: a refused request was held for %s, longer than it could still have been served", c.path, seed, longest)
			}
			if inPause, _, _ := pauseLoad(t, c.path, disabledMechanisms{notices: true}, seed); inPause <= 2 {
				t.Errorf("%s, seed %d: hosts that ignore the pause send %d requests in it, want more than 2", c.path, seed, inPause)
			}
		}
	}
}

// TestEntryHostsStopSendingToAServerThatSaysThatItLeaves guards against a host that goes on sending to a
// server that leaves, although its announcements say nothing yet.
func TestEntryHostsStopSendingToAServerThatSaysThatItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		told := 0
		says := func(server int, r *http.Request) map[string]string {
			if server > 0 || r.Header.Get(backend.HeaderAttemptID) == "" {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			told++
			return map[string]string{backend.HeaderLeaving: "1"}
		}
		cl := newCluster(clusterOptions{hosts: 1, engines: 2, engineSays: says})
		defer cl.close()
		for i := range 30 {
			r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", nil, chatBody(fmt.Sprint("request-", i), i%2 == 0, 3))
			if _, complete := r.text(i%2 == 0); !complete {
				t.Errorf("request %d got the answer %q", i, r.body)
			}
		}
		if told != 1 {
			t.Errorf("%d requests reached the server that leaves, want the one by which the host was told", told)
		}
	})
}
