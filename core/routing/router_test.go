package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var guideKey = Key{Service: "lace-assist", Model: "pattern-guide"}

// fleet returns n servers, spread over the data centres, with one replica each.
func fleet(n int, dataCentres ...string) ([]Server, []Replica) {
	servers, replicas := make([]Server, n), make([]Replica, n)
	for i := range n {
		name := fmt.Sprintf("server-%d", i)
		servers[i] = Server{Name: name, Address: "127.0.0.1:1", DataCentre: dataCentres[i%len(dataCentres)], Incarnation: 1}
		replicas[i] = Replica{Server: name, Key: guideKey}
	}
	return servers, replicas
}

func newRouter(n int, dataCentres ...string) *Router {
	r := New(Options{DataCentre: "waco", RemoteLoadThreshold: 10}, rand.New(rand.NewPCG(1, 2)))
	servers, replicas := fleet(n, dataCentres...)
	r.Rebuild(servers, replicas)
	return r
}

func pick(t *testing.T, r *Router, q Query) Attempt {
	t.Helper()
	a, ok := r.Pick(0, q)
	if !ok {
		t.Fatal("no server was picked")
	}
	return a
}

// TestPickSpreadsByOwnAttempts guards against a thundering herd on the server
// that a lagging report shows as least loaded: with equal reports and no newer
// ones, the router must spread its own attempts evenly.
func TestPickSpreadsByOwnAttempts(t *testing.T) {
	r := newRouter(12, "waco")
	counts := map[string]int{}
	for range 1200 {
		counts[pick(t, r, Query{Key: guideKey}).Server]++
	}
	for name, n := range counts {
		if n < 90 || n > 110 {
			t.Errorf("%s got %d of 1200 attempts, want 90 to 110", name, n)
		}
	}
}

// TestPickPrefersOwnDataCentre guards against needless traffic between data
// centres, and against a preference for local servers that overloads the local
// data centre.
func TestPickPrefersOwnDataCentre(t *testing.T) {
	r := newRouter(12, "waco", "temple", "bryan")
	for range 30 {
		if a := pick(t, r, Query{Key: guideKey}); a.candidate.server.DataCentre != "waco" {
			t.Fatalf("picked a server in %s, want waco", a.candidate.server.DataCentre)
		}
	}
	for range 300 {
		pick(t, r, Query{Key: guideKey})
	}
	remote := 0
	for _, s := range r.servers {
		if s.DataCentre != "waco" {
			remote += s.load()
		}
	}
	if remote == 0 {
		t.Error("no attempt was sent from the overloaded data centre to another one")
	}
}

// TestPrefixAffinity guards against overload of one server because it has a
// prefix cached, and against stale entries after a gap in the cache events.
func TestPrefixAffinity(t *testing.T) {
	r := newRouter(12, "waco")
	r.ApplyCacheEvents("server-5", 1, 1, []CacheEvent{{Prefix: 77}})
	onServer5 := 0
	for range 120 {
		if pick(t, r, Query{Key: guideKey, Prefix: 77}).Server == "server-5" {
			onServer5++
		}
	}
	if onServer5 < 12 || onServer5 > 24 {
		t.Errorf("%d of 120 attempts on the server with the prefix, want 12 to 24: more than an even share, within the affinity limit", onServer5)
	}
	r.ApplyCacheEvents("server-5", 1, 3, []CacheEvent{{Prefix: 78}})
	if c := r.cachedCandidate(0, Query{Key: guideKey, Prefix: 77}); c != nil {
		t.Error("the prefix entry is still valid after a gap in the events")
	}
	if c := r.cachedCandidate(0, Query{Key: guideKey, Prefix: 78}); c == nil {
		t.Error("the event after the gap was not applied")
	}
	r.ApplyCacheEvents("server-5", 1, 4, []CacheEvent{{Prefix: 78, Evicted: true}})
	if c := r.cachedCandidate(0, Query{Key: guideKey, Prefix: 78}); c != nil {
		t.Error("the prefix entry is still valid after its eviction")
	}
}

// TestUnusableServers guards against attempts on a server that fails, is out of
// rotation or runs a trial, and against a breaker that never closes or allows
// several probes at once.
func TestUnusableServers(t *testing.T) {
	r := newRouter(2, "waco")
	for range defaultBreakerFailures {
		a, _ := r.Pick(0, Query{Key: guideKey, Exclude: "server-1"})
		r.EndAttempt(0, a, Failure)
	}
	if _, ok := r.Pick(0, Query{Key: guideKey, Exclude: "server-1"}); ok {
		t.Error("open breaker allowed an attempt")
	}
	probe, ok := r.Pick(time.Second, Query{Key: guideKey, Exclude: "server-1"})
	if !ok {
		t.Fatal("breaker allowed no probe after the pause")
	}
	if _, ok := r.Pick(time.Second, Query{Key: guideKey, Exclude: "server-1"}); ok {
		t.Error("breaker allowed a second probe while one is in progress")
	}
	r.EndAttempt(time.Second, probe, Success)
	servers, replicas := fleet(2, "waco")
	servers[0].OutOfRotation, servers[1].TrialUntil = true, time.Minute
	r.Rebuild(servers, replicas)
	if _, ok := r.Pick(time.Second, Query{Key: guideKey}); ok {
		t.Error("picked a server that is out of rotation or has an open trial")
	}
	if a, ok := r.Pick(2*time.Minute, Query{Key: guideKey}); !ok || a.Server != "server-1" {
		t.Error("server-1 is not picked after its trial has expired")
	}
}

// TestAdapterPickedOnlyWhereLoaded guards against attempts for an adapter on a
// server that has only its model loaded.
func TestAdapterPickedOnlyWhereLoaded(t *testing.T) {
	r := newRouter(12, "waco")
	servers, replicas := fleet(12, "waco")
	adapterKey := Key{Service: "lace-assist", Model: "pattern-guide", Adapter: "torchon"}
	r.Rebuild(servers, append(replicas, Replica{"server-3", adapterKey}))
	for range 20 {
		if a := pick(t, r, Query{Key: adapterKey}); a.Server != "server-3" {
			t.Fatalf("picked %s, want server-3", a.Server)
		}
	}
}

// TestPickDoesNotAllocate guards against memory allocation when a server is picked
// and when an attempt ends, which happens for every request.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, n := range []int{12, 1400} {
		r := newRouter(n, "waco", "temple", "bryan")
		r.ApplyCacheEvents("server-0", 1, 1, []CacheEvent{{Prefix: 77}})
		if got := testing.AllocsPerRun(1000, func() {
			a, _ := r.Pick(0, Query{Key: guideKey, Prefix: 77})
			r.EndAttempt(0, a, Success)
		}); got != 0 {
			t.Errorf("%d servers: %.1f allocations per attempt, want 0", n, got)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 1400} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			r := newRouter(n, "waco", "temple", "bryan")
			for i := range min(n, 60) {
				r.ApplyCacheEvents(fmt.Sprintf("server-%d", i), 1, 1, []CacheEvent{{Prefix: uint64(i + 1)}})
			}
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				a, _ := r.Pick(0, Query{Key: guideKey, Prefix: i%60 + 1})
				r.EndAttempt(0, a, Success)
			}
		})
	}
}

// BenchmarkPickNoneUsable measures Pick while none of 1,400 servers is usable.
func BenchmarkPickNoneUsable(b *testing.B) {
	r := newRouter(1400, "waco", "temple", "bryan")
	for _, s := range r.servers {
		s.ended = true
	}
	for b.Loop() {
		r.Pick(0, Query{Key: guideKey})
	}
}

// BenchmarkRebuild measures Rebuild with 1,400 servers of 6 replicas each.
func BenchmarkRebuild(b *testing.B) {
	r := newRouter(1400, "waco", "temple", "bryan")
	servers, replicas := fleet(1400, "waco", "temple", "bryan")
	all := make([]Replica, 0, 6*len(replicas))
	for m := range 6 {
		for _, p := range replicas {
			p.Key.Model = fmt.Sprintf("model-%d", m)
			all = append(all, p)
		}
	}
	for b.Loop() {
		r.Rebuild(servers, all)
	}
}
