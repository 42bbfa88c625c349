package placement_test

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// adapterTier is the tier that loadTime returns for adapter loads.
const adapterTier membership.Tier = "adapter"

// Weights of the two deployments: the cost of a second of cold start wait, and
// of an idle accelerator hour.
const (
	brazosColdWeight, brazosIdleWeight = 1.0, 40.0
	thiesColdWeight, thiesIdleWeight   = 0.2, 100.0
)

// result holds the results of one or more measured days.
type result struct {
	requests, finishedLate int
	coldWaits, allWaits    []float64
	// pinnedHours is the part of idleHours on models with a pinned count, which no
	// policy can reduce.
	idleHours, pinnedHours float64
	loadCounts             [2]int // models, adapters
	refusals               map[string]int
	violations             []string
}

func (r *result) countRefusal(reason string) {
	if r.refusals == nil {
		r.refusals = map[string]int{}
	}
	r.refusals[reason]++
}

func (r *result) add(o result) {
	r.requests += o.requests
	r.finishedLate += o.finishedLate
	r.coldWaits = append(r.coldWaits, o.coldWaits...)
	r.allWaits = append(r.allWaits, o.allWaits...)
	r.idleHours += o.idleHours
	r.pinnedHours += o.pinnedHours
	for i := range r.loadCounts {
		r.loadCounts[i] += o.loadCounts[i]
	}
	for k, n := range o.refusals {
		for range n {
			r.countRefusal(k)
		}
	}
	r.violations = append(r.violations, o.violations...)
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[int(math.Ceil(q*float64(len(s))))-1]
}

// tableRow formats the results of a policy: quantiles of the waits of all requests
// and of cold starts alone, and the other figures as means per seed. Refusals and
// late requests are sums over all seeds.
func (r *result) tableRow(name string, seeds int) string {
	reasons := ""
	for _, k := range slices.Sorted(maps.Keys(r.refusals)) {
		reasons += fmt.Sprintf(" %s %d", k, r.refusals[k])
	}
	n := float64(seeds)
	return fmt.Sprintf("| %s | %.0f | %.2f%% | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f |%s | %d |", name,
		float64(r.requests)/n, 100*float64(len(r.coldWaits))/float64(max(1, len(r.allWaits))), quantile(r.allWaits, 0.99),
		quantile(r.coldWaits, 0.5), quantile(r.coldWaits, 0.95), quantile(r.coldWaits, 0.99), quantile(r.allWaits, 1),
		r.idleHours/n, r.pinnedHours/n, float64(r.loadCounts[0])/n, float64(r.loadCounts[1])/n, reasons, r.finishedLate)
}

// checkReachable records a violation if a decision is for a server that must not get
// any.
func (r *replay) checkReachable(eng *engine) {
	if eng.Silent || eng.Leaving || eng.stopped || r.state.Servers[eng.Name].Lost {
		r.result.violations = append(r.result.violations, "load or unload ordered on "+eng.Name+" although it is silent, leaving or lost")
	}
}

// checkUnload records a violation if an unload leaves fewer ready replicas than the
// pinned count.
func (r *replay) checkUnload(k state.PlacementKey) {
	m, _ := r.state.Config.Model(k.Model)
	ready := 0
	for other, p := range r.state.Placements {
		if other.Model == k.Model && other.Adapter == "" && p.Phase == state.PhaseReady {
			ready++
		}
	}
	if k.Adapter == "" && r.state.Placements[k].Phase == state.PhaseReady && ready <= m.PinnedReplicas {
		r.result.violations = append(r.result.violations, "unload of "+k.Model+" below its pinned count")
	}
}

// checkLimits records a violation if a load exceeds a limit shared by all servers.
func (r *replay) checkLimits(t placement.Target, tier membership.Tier) {
	n := len(r.storeLoadStarts)
	switch {
	case t.Adapter != "" && r.adapterLoads > 32:
		r.result.violations = append(r.result.violations, "more than 32 adapter loads at once")
	case tier == membership.TierStore && r.storeLoads > 4:
		r.result.violations = append(r.result.violations, "more than 4 loads from the store at once")
	case tier == membership.TierStore && n > 3 && r.storeLoadStarts[n-1]-r.storeLoadStarts[n-4] < time.Second:
		r.result.violations = append(r.result.violations, "more than 3 loads from the store in a second")
	}
}

// oracleRetention knows the times of all arrivals. It keeps a model until its next
// use if that is cheaper than a load, and otherwise loads it just ahead of that use.
// Its results are a lower bound on the waits that arrivals alone cause. It does not
// know the faults.
type oracleRetention map[placement.Target][]time.Duration

func newOracleRetention(requests []request) oracleRetention {
	oracle := oracleRetention{}
	for _, req := range requests {
		oracle[req.target] = append(oracle[req.target], req.at)
		if req.target.Adapter != "" {
			m := placement.Target{Model: req.target.Model}
			oracle[m] = append(oracle[m], req.at)
		}
	}
	return oracle
}

func (oracle oracleRetention) untilNext(i placement.IdleTarget) time.Duration {
	list := oracle[i.Target]
	n, _ := slices.BinarySearch(list, i.Now)
	if n == len(list) {
		return math.MaxInt64
	}
	return list[n] - i.Now
}

// arrivalsDuringLoad counts the requests that would wait for a load that starts at
// the next arrival.
func (oracle oracleRetention) arrivalsDuringLoad(i placement.IdleTarget, next time.Duration) float64 {
	if next == math.MaxInt64 {
		return 0
	}
	n, _ := slices.BinarySearch(oracle[i.Target], i.Now+next)
	m, _ := slices.BinarySearch(oracle[i.Target], i.Now+next+i.LeadTime)
	return float64(m - n)
}

func (oracle oracleRetention) KeepSaving(i placement.IdleTarget) float64 {
	next := oracle.untilNext(i)
	if next <= i.LeadTime {
		return math.MaxFloat32
	}
	return i.ColdCost*oracle.arrivalsDuringLoad(i, next) - i.IdleCost*next.Seconds()
}

func (oracle oracleRetention) PrewarmSaving(i placement.IdleTarget) float64 {
	if oracle.untilNext(i) <= i.LeadTime {
		return math.MaxFloat32
	}
	return 0
}

// retentionPolicy is one row of the table.
type retentionPolicy struct {
	name string
	// days is the number of days that are replayed, of generatedDays. Only the last
	// one is measured; the days before it fill the caches and the learned histories.
	days      int
	retention func([]request) placement.RetentionPolicy
}

func fixedKeepAlive(k time.Duration) func([]request) placement.RetentionPolicy {
	return func([]request) placement.RetentionPolicy { return placement.KeepAlive(k) }
}

var policies = []retentionPolicy{
	{"learned", 5, func([]request) placement.RetentionPolicy { return nil }},
	{"keep-alive 5 min", 2, fixedKeepAlive(5 * time.Minute)},
	{"keep-alive 30 min", 2, fixedKeepAlive(30 * time.Minute)},
	{"least recently used", 2, fixedKeepAlive(10000 * time.Hour)},
	{"unload at once", 2, fixedKeepAlive(0)},
	{"oracle", 2, func(requests []request) placement.RetentionPolicy { return newOracleRetention(requests) }},
}

const generatedDays = 5

func runPolicy(deployment string, seed int64, p retentionPolicy) result {
	w := newWorkload(deployment, seed)
	requests := w.requests(generatedDays)
	first := slices.IndexFunc(requests, func(req request) bool { return req.at >= time.Duration(generatedDays-p.days)*day })
	requests = requests[first:]
	r := newReplay(w, seed, placement.NewWithRetention(p.retention(requests)), generatedDays, true)
	return r.run(requests, generatedDays)
}

// replaySeeds returns the seeds of a run: the range first-last of the environment
// variable POLLENWHEEL_REPLAY_SEEDS, and by default only seed 1.
func replaySeeds(t *testing.T) []int64 {
	from, to, ok := strings.Cut(os.Getenv("POLLENWHEEL_REPLAY_SEEDS"), "-")
	if !ok {
		return []int64{1}
	}
	a, errA := strconv.ParseInt(from, 10, 64)
	b, errB := strconv.ParseInt(to, 10, 64)
	if errA != nil || errB != nil {
		t.Fatalf("POLLENWHEEL_REPLAY_SEEDS: want first-last, got %s-%s", from, to)
	}
	var out []int64
	for ; a <= b; a++ {
		out = append(out, a)
	}
	return out
}

// TestReplay guards against plans that the state rejects, that exceed a limit, or
// that order loads or unloads on servers that are silent, leaving or lost. It logs a
// table that compares the policies.
func TestReplay(t *testing.T) {
	seeds := replaySeeds(t)
	list := policies
	if len(seeds) == 1 {
		list = []retentionPolicy{{"learned", 3, policies[0].retention}}
	}
	for _, deployment := range []string{"brazos-valley", "thies"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			runPolicies(t, deployment, seeds, list)
		})
	}
}

func runPolicies(t *testing.T, deployment string, seeds []int64, list []retentionPolicy) {
	results := make([]result, len(list))
	var group sync.WaitGroup
	for i, p := range list {
		group.Add(1)
		go func() {
			defer group.Done()
			for _, seed := range seeds {
				results[i].add(runPolicy(deployment, seed, p))
			}
		}()
	}
	group.Wait()
	out := "\n| policy | requests | cold | p99 all | cold p50 | p95 | p99 | max | idle h | pinned h | loads | adapters | refusals | late |\n"
	for i, p := range list {
		out += results[i].tableRow(p.name, len(seeds)) + "\n"
		for _, violation := range slices.Compact(results[i].violations) {
			t.Errorf("%s: %s", p.name, violation)
		}
	}
	t.Log(out)
}
