package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var guide = Key{Service: "lace-assist", Model: "pattern-guide"}

func fleet(n int, dataCentres ...string) ([]Server, []Replica) {
	servers, replicas := make([]Server, n), make([]Replica, n)
	for i := range n {
		name := fmt.Sprintf("runner-%d", i)
		servers[i] = Server{Name: name, Address: "127.0.0.1:1", DataCentre: dataCentres[i%len(dataCentres)], Incarnation: 1}
		replicas[i] = Replica{Server: name, Key: guide}
	}
	return servers, replicas
}

func newRouter(n int, dataCentres ...string) *Router {
	r := New(Options{DataCentre: "waco", Spill: 10}, rand.New(rand.NewPCG(1, 2)))
	servers, replicas := fleet(n, dataCentres...)
	r.Rebuild(servers, replicas)
	return r
}

func pick(t *testing.T, r *Router, q Query) Attempt {
	t.Helper()
	a, ok := r.Pick(0, q)
	if !ok {
		t.Fatal("no server")
	}
	return a
}

// Guards against the herd that follows a lagging report: with equal reports
// and no further ones, own attempts must spread the load.
func TestPickSpreadsByOwnAttempts(t *testing.T) {
	r := newRouter(12, "waco")
	counts := map[string]int{}
	for range 1200 {
		counts[pick(t, r, Query{Key: guide}).Server]++
	}
	for name, n := range counts {
		if n < 90 || n > 110 {
			t.Errorf("%s got %d of 1200", name, n)
		}
	}
}

// Guards against needless traffic between data centres, and against a local
// preference that overloads the own data centre.
func TestPickPrefersOwnDataCentre(t *testing.T) {
	r := newRouter(12, "waco", "temple", "bryan")
	for range 30 {
		if a := pick(t, r, Query{Key: guide}); a.candidate.server.DataCentre != "waco" {
			t.Fatalf("picked %s", a.candidate.server.DataCentre)
		}
	}
	for range 300 {
		pick(t, r, Query{Key: guide})
	}
	remote := 0
	for _, s := range r.servers {
		if s.DataCentre != "waco" {
			remote += s.load()
		}
	}
	if remote == 0 {
		t.Error("no attempt left the overloaded data centre")
	}
}

// Guards against a cached prefix that overloads one server, and against stale
// entries after a gap in the cache events.
func TestPrefixAffinity(t *testing.T) {
	r := newRouter(12, "waco")
	r.CacheEvents("runner-5", 1, 1, []CacheEvent{{Prefix: 77}})
	on5 := 0
	for range 120 {
		if pick(t, r, Query{Key: guide, Prefix: 77}).Server == "runner-5" {
			on5++
		}
	}
	if on5 < 12 || on5 > 24 {
		t.Errorf("%d of 120 attempts on the server with the prefix; want more than an even share, within the load bound", on5)
	}
	r.CacheEvents("runner-5", 1, 3, []CacheEvent{{Prefix: 78}})
	if c := r.cached(0, Query{Key: guide, Prefix: 77}); c != nil {
		t.Error("the prefix survived a gap in the events")
	}
	if c := r.cached(0, Query{Key: guide, Prefix: 78}); c == nil {
		t.Error("the event after the gap was lost")
	}
	r.CacheEvents("runner-5", 1, 4, []CacheEvent{{Prefix: 78, Evicted: true}})
	if c := r.cached(0, Query{Key: guide, Prefix: 78}); c != nil {
		t.Error("the prefix survived its eviction")
	}
}

// Guards against attempts on a failing, leaving or trial server, and against a
// breaker that never closes or lets several probes through.
func TestUnusableServers(t *testing.T) {
	r := newRouter(2, "waco")
	for range breakerFailures {
		a, _ := r.Pick(0, Query{Key: guide, Exclude: "runner-1"})
		r.Done(0, a, Failure)
	}
	if _, ok := r.Pick(0, Query{Key: guide, Exclude: "runner-1"}); ok {
		t.Error("open breaker let an attempt through")
	}
	probe, ok := r.Pick(time.Second, Query{Key: guide, Exclude: "runner-1"})
	if !ok {
		t.Fatal("no probe after the pause")
	}
	if _, ok := r.Pick(time.Second, Query{Key: guide, Exclude: "runner-1"}); ok {
		t.Error("second probe")
	}
	r.Done(time.Second, probe, Success)
	servers, replicas := fleet(2, "waco")
	servers[0].Closed, servers[1].TrialUntil = true, time.Minute
	r.Rebuild(servers, replicas)
	if _, ok := r.Pick(time.Second, Query{Key: guide}); ok {
		t.Error("picked a leaving server or one with a trial")
	}
	if a, ok := r.Pick(2*time.Minute, Query{Key: guide}); !ok || a.Server != "runner-1" {
		t.Error("the expired trial still blocks its server")
	}
}

// Guards against attempts for an adapter on a server that has only its model.
func TestAdapterWhereLoaded(t *testing.T) {
	r := newRouter(12, "waco")
	servers, replicas := fleet(12, "waco")
	lace := Key{Service: "lace-assist", Model: "pattern-guide", Adapter: "torchon"}
	r.Rebuild(servers, append(replicas, Replica{"runner-3", lace}))
	for range 20 {
		if a := pick(t, r, Query{Key: lace}); a.Server != "runner-3" {
			t.Fatalf("picked %s", a.Server)
		}
	}
}

// Guards against allocation on the path of every request.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, n := range []int{12, 1400} {
		r := newRouter(n, "waco", "temple", "bryan")
		r.CacheEvents("runner-0", 1, 1, []CacheEvent{{Prefix: 77}})
		if got := testing.AllocsPerRun(1000, func() {
			a, _ := r.Pick(0, Query{Key: guide, Prefix: 77})
			r.Done(0, a, Success)
		}); got != 0 {
			t.Errorf("%d servers: %.1f allocations", n, got)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 1400} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			r := newRouter(n, "waco", "temple", "bryan")
			for i := range min(n, 60) {
				r.CacheEvents(fmt.Sprintf("runner-%d", i), 1, 1, []CacheEvent{{Prefix: uint64(i + 1)}})
			}
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				a, _ := r.Pick(0, Query{Key: guide, Prefix: i%60 + 1})
				r.Done(0, a, Success)
			}
		})
	}
}

// BenchmarkPickNone covers a fleet in which no server is usable.
func BenchmarkPickNone(b *testing.B) {
	r := newRouter(1400, "waco", "temple", "bryan")
	for _, s := range r.servers {
		s.ended = true
	}
	for b.Loop() {
		r.Pick(0, Query{Key: guide})
	}
}

// BenchmarkRebuild covers 1,400 servers with 6 replicas each.
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
