package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetOfHosts plays many hosts that each send few streams to servers with few
// slots, and returns the share of streams that found no free slot.
func fleetOfHosts(shared bool) float64 {
	const (
		hosts, servers, slots = 48, 12, 12
		stream                = 1400 * time.Millisecond
		gap                   = 15 * time.Millisecond // 67 streams a second, 65% of the slots
		round                 = 200 * time.Millisecond
		lag                   = 300 * time.Millisecond
		count                 = 6000
	)
	rng := rand.New(rand.NewPCG(3, 4))
	list, replicas := fleet(servers, "waco")
	for i := range list {
		list[i].Slots = slots
	}
	var routers []*Router
	for i := range hosts {
		r := New(Options{DataCentre: "waco", Spill: 12, IgnorePace: true}, rand.New(rand.NewPCG(uint64(i), 5)))
		r.Rebuild(list, replicas)
		routers = append(routers, r)
	}
	type running struct {
		router  *Router
		attempt Attempt
		ends    time.Duration
	}
	var all []running
	load := map[string]int{}
	var history []map[string]int
	crowded := 0
	for i := range count {
		now := time.Duration(i) * gap
		for len(all) > 0 && all[0].ends <= now {
			load[all[0].attempt.Server]--
			all[0].router.Done(now, all[0].attempt, Success)
			all = all[1:]
		}
		if now/round > (now-gap)/round {
			history = append(history, copyOf(load))
			if n := len(history) - 1 - int(lag/round); shared && n >= 0 {
				for _, r := range routers {
					r.Loads(history[n])
				}
			}
		}
		r := routers[rng.IntN(hosts)]
		a, ok := r.Pick(now, Query{Key: guide})
		if !ok {
			panic(fmt.Sprint("no server at ", now))
		}
		load[a.Server]++
		if load[a.Server] > slots {
			crowded++
		}
		all = append(all, running{r, a, now + stream})
	}
	return float64(crowded) / count
}

func copyOf(m map[string]int) map[string]int {
	out := map[string]int{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Guards against streams that wait for a slot while other servers have free
// ones: each of many hosts knows too little of the load from its own attempts.
func TestSharedLoadsFindFreeSlots(t *testing.T) {
	alone, shared := fleetOfHosts(false), fleetOfHosts(true)
	t.Logf("no free slot: %.1f%% by own attempts, %.1f%% by shared loads", 100*alone, 100*shared)
	if shared > 0.01 || shared > alone/4 {
		t.Errorf("%.1f%% of the streams found no free slot by shared loads, %.1f%% by own attempts; want below 1%% and a quarter", 100*shared, 100*alone)
	}
}

// Guards against the loads of streaming servers that clear the counts of others.
func TestLoadsLeaveServersWithoutSlotsAlone(t *testing.T) {
	r := newRouter(2, "waco")
	for range 10 {
		pick(t, r, Query{Key: guide})
	}
	for range 3 {
		r.Loads(map[string]int{})
	}
	for name, s := range r.servers {
		if s.load() != 5 {
			t.Errorf("%s has %d own attempts, want 5", name, s.load())
		}
	}
}
