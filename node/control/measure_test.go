package control

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// requireMeasuring skips a measurement unless POLLENWHEEL_MEASURE is set.
// Measurements use real time and synced files, and check no durations.
func requireMeasuring(t *testing.T) {
	if os.Getenv("POLLENWHEEL_MEASURE") == "" {
		t.Skip("set POLLENWHEEL_MEASURE to run this measurement")
	}
}

func quantiles(d []time.Duration) string {
	slices.Sort(d)
	at := func(q float64) time.Duration { return d[int(q*float64(len(d)-1))].Round(10 * time.Microsecond) }
	return fmt.Sprintf("p50 %v, p95 %v, p99 %v, max %v (n=%d)", at(0.5), at(0.95), at(0.99), at(1), len(d))
}

// TestMeasureCommit measures the time from a proposal to its result.
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
		var durations []time.Duration
		var wg sync.WaitGroup
		start := time.Now()
		for caller := range c.callers {
			wg.Go(func() {
				for i := range 1000 / min(c.callers, 4) {
					begin := time.Now()
					n.propose(configure(fmt.Sprint(caller, ".", i), 0))
					mu.Lock()
					durations = append(durations, time.Since(begin))
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		rate := float64(len(durations)) / time.Since(start).Seconds()
		t.Logf("%d members, one-way %v, %d callers: %s, %.0f/s", c.members, c.delay, c.callers, quantiles(durations), rate)
		n.stopAll()
	}
}

// TestMeasureLeaderLoss measures the time from the loss of the leader to a valid
// lease on another host. For a partition it also measures how long the old leader
// still held its lease.
func TestMeasureLeaderLoss(t *testing.T) {
	requireMeasuring(t)
	for _, partitioned := range []bool{false, true} {
		n := newTestNet(t, 3, 3, Options{RepairAfter: -1})
		n.startAll()
		var leaderless, oldLease []time.Duration
		for i := range 20 {
			leader := n.awaitLeader()
			n.propose(configure(fmt.Sprint("c", i), uint64(i)))
			time.Sleep(time.Second)
			start := time.Now()
			if partitioned {
				n.disconnect(leader.name)
				for leader.group().CheckLease() {
					time.Sleep(time.Millisecond)
				}
				oldLease = append(oldLease, time.Since(start))
			} else {
				n.stopHost(leader)
			}
			n.awaitLeader()
			leaderless = append(leaderless, time.Since(start))
			if partitioned {
				n.disconnect("")
			} else {
				n.start(leader)
			}
			time.Sleep(2 * time.Second)
		}
		t.Logf("leader partitioned %v: valid lease on another host after %s", partitioned, quantiles(leaderless))
		if partitioned {
			t.Logf("lease of the partitioned leader ended after: %s", quantiles(oldLease))
		}
		n.stopAll()
	}
}

// TestMeasureStart measures the restart of one of three members after 10,000
// changes, from the newest snapshot and from the log alone.
func TestMeasureStart(t *testing.T) {
	requireMeasuring(t)
	for _, snapshotEntries := range []uint64{0, 1 << 20} {
		n := newTestNet(t, 3, 3, Options{SnapshotEntries: snapshotEntries})
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
		h := n.others(n.awaitLeader())[0]
		targetIndex := n.awaitLeader().group().Status().AppliedIndex
		info, err := os.Stat(h.folder + "/consensus.db")
		if err != nil {
			t.Fatal(err)
		}
		var opened, caughtUp []time.Duration
		for range 10 {
			n.stopHost(h)
			start := time.Now()
			n.start(h)
			opened = append(opened, time.Since(start))
			for h.group().Status().AppliedIndex < targetIndex {
				time.Sleep(time.Millisecond)
			}
			caughtUp = append(caughtUp, time.Since(start))
		}
		t.Logf("snapshot every %d entries (0 is the default), %d entries, file of %d KiB: opened after %s; all applied after %s",
			snapshotEntries, targetIndex, info.Size()/1024, quantiles(opened), quantiles(caughtUp))
		n.stopAll()
	}
}
