package control

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// requireMeasuring skips measurements in ordinary runs. They use real time and
// synced files, and assert nothing on time.
func requireMeasuring(t *testing.T) {
	if os.Getenv("POLLENWHEEL_MEASURE") == "" {
		t.Skip("set POLLENWHEEL_MEASURE to measure")
	}
}

func quantiles(d []time.Duration) string {
	slices.Sort(d)
	at := func(q float64) time.Duration { return d[int(q*float64(len(d)-1))].Round(10 * time.Microsecond) }
	return fmt.Sprintf("p50 %v, p95 %v, p99 %v, max %v (n=%d)", at(0.5), at(0.95), at(0.99), at(1), len(d))
}

// TestMeasureCommit measures the time from proposal to result.
func TestMeasureCommit(t *testing.T) {
	requireMeasuring(t)
	for _, c := range []struct {
		members int
		delay   time.Duration
		callers int
	}{{3, 0, 1}, {5, 0, 1}, {3, 1500 * time.Microsecond, 1}, {5, 1500 * time.Microsecond, 1}, {3, 0, 64}, {5, 0, 64}} {
		n := newTestNet(t, c.members, c.members, Options{})
		n.delay = c.delay
		n.startAll()
		n.propose(configure("first", 0))
		var mu sync.Mutex
		var took []time.Duration
		var wg sync.WaitGroup
		start := time.Now()
		for caller := range c.callers {
			wg.Go(func() {
				for i := range 1000 / min(c.callers, 4) {
					begin := time.Now()
					n.propose(configure(fmt.Sprint(caller, ".", i), 0))
					mu.Lock()
					took = append(took, time.Since(begin))
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		rate := float64(len(took)) / time.Since(start).Seconds()
		t.Logf("%d members, one-way %v, %d callers: %s, %.0f/s", c.members, c.delay, c.callers, quantiles(took), rate)
		n.stopAll()
	}
}

// TestMeasureLeaderLoss measures the time from the fault to a valid lease on
// another host, and after a partition also how long the old lease outlived it.
func TestMeasureLeaderLoss(t *testing.T) {
	requireMeasuring(t)
	for _, silent := range []bool{false, true} {
		n := newTestNet(t, 3, 3, Options{RepairAfter: -1})
		n.startAll()
		var without, old []time.Duration
		for i := range 20 {
			lead := n.leader()
			n.propose(configure(fmt.Sprint("c", i), uint64(i)))
			time.Sleep(time.Second)
			start := time.Now()
			if silent {
				n.silence(lead.name)
				for lead.group().CheckLease() {
					time.Sleep(time.Millisecond)
				}
				old = append(old, time.Since(start))
			} else {
				n.kill(lead)
			}
			n.leader()
			without = append(without, time.Since(start))
			if silent {
				n.silence("")
			} else {
				n.start(lead)
			}
			time.Sleep(2 * time.Second)
		}
		t.Logf("silent partition %v: %s", silent, quantiles(without))
		if silent {
			t.Logf("old lease ended after: %s", quantiles(old))
		}
		n.stopAll()
	}
}

// TestMeasureStart measures the restart of one of three members after 10,000
// changes, from the newest snapshot and from the log alone.
func TestMeasureStart(t *testing.T) {
	requireMeasuring(t)
	for _, every := range []uint64{0, 1 << 20} {
		n := newTestNet(t, 3, 3, Options{SnapshotEntries: every})
		n.startAll()
		var wg sync.WaitGroup
		for caller := range 50 {
			wg.Go(func() {
				for i := range 200 {
					n.propose(configure(fmt.Sprint(caller, ".", i), uint64(i)))
				}
			})
		}
		wg.Wait()
		h := n.others(n.leader())[0]
		target := n.leader().group().Status().Applied
		info, err := os.Stat(h.folder + "/consensus.db")
		if err != nil {
			t.Fatal(err)
		}
		var opened, caught []time.Duration
		for range 10 {
			n.kill(h)
			start := time.Now()
			n.start(h)
			opened = append(opened, time.Since(start))
			for h.group().Status().Applied < target {
				time.Sleep(time.Millisecond)
			}
			caught = append(caught, time.Since(start))
		}
		t.Logf("snapshot every %d (0 is the default), %d entries, file of %d KiB: opened %s; all applied %s",
			every, target, info.Size()/1024, quantiles(opened), quantiles(caught))
		n.stopAll()
	}
}
