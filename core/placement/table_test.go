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

// adapterLoads marks adapter loads in the simulated load times.
const adapterLoads membership.Tier = "adapter"

// Weights of the two deployments: the cost of a second of cold start wait, and
// of an idle accelerator hour.
const (
	brazosColdWeight, brazosIdleWeight = 1.0, 40.0
	thiesColdWeight, thiesIdleWeight   = 0.2, 100.0
)

// result holds the figures of one measured day.
type result struct {
	requests, late int
	cold, waits    []float64
	// pinnedHours is the part of idleHours on models with a pinned count, which
	// no policy can save.
	idleHours, pinnedHours float64
	loads                  [2]int // models, adapters
	refusals               map[string]int
	broken                 []string
}

func (r *result) refuse(reason string) {
	if r.refusals == nil {
		r.refusals = map[string]int{}
	}
	r.refusals[reason]++
}

func (r *result) add(o result) {
	r.requests += o.requests
	r.late += o.late
	r.cold = append(r.cold, o.cold...)
	r.waits = append(r.waits, o.waits...)
	r.idleHours += o.idleHours
	r.pinnedHours += o.pinnedHours
	for i := range r.loads {
		r.loads[i] += o.loads[i]
	}
	for k, n := range o.refusals {
		for range n {
			r.refuse(k)
		}
	}
	r.broken = append(r.broken, o.broken...)
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[int(math.Ceil(q*float64(len(s))))-1]
}

// row formats the figures: waits of all requests, then of cold ones alone.
func (r *result) row(name string, seeds int) string {
	reasons := ""
	for _, k := range slices.Sorted(maps.Keys(r.refusals)) {
		reasons += fmt.Sprintf(" %s %d", k, r.refusals[k])
	}
	n := float64(seeds)
	return fmt.Sprintf("| %s | %.0f | %.2f%% | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.0f | %.0f |%s | %d |", name,
		float64(r.requests)/n, 100*float64(len(r.cold))/float64(max(1, len(r.waits))), quantile(r.waits, 0.99),
		quantile(r.cold, 0.5), quantile(r.cold, 0.95), quantile(r.cold, 0.99), quantile(r.waits, 1),
		r.idleHours/n, r.pinnedHours/n, float64(r.loads[0])/n, float64(r.loads[1])/n, reasons, r.late)
}

// check records decisions for servers that must not get any.
func (r *replay) check(x *runner) {
	if x.Silent || x.Leaving || x.gone || r.st.Servers[x.Name].Lost {
		r.result.broken = append(r.result.broken, "order to "+x.Name+" although it is silent, leaving or lost")
	}
}

// checkUnload records unloads below the pinned count.
func (r *replay) checkUnload(k state.PlaceKey) {
	m, _ := r.st.Config.Model(k.Model)
	ready := 0
	for other, p := range r.st.Placements {
		if other.Model == k.Model && other.Adapter == "" && p.Phase == state.PhaseReady {
			ready++
		}
	}
	if k.Adapter == "" && r.st.Placements[k].Phase == state.PhaseReady && ready <= m.PinnedReplicas {
		r.result.broken = append(r.result.broken, "unload of "+k.Model+" below its pinned count")
	}
}

// checkLimits records loads beyond the shared limits.
func (r *replay) checkLimits(t placement.Target, tier membership.Tier) {
	n := len(r.starts)
	switch {
	case t.Adapter != "" && r.adapters > 32:
		r.result.broken = append(r.result.broken, "more than 32 adapter loads")
	case tier == membership.TierStore && r.storeIn > 4:
		r.result.broken = append(r.result.broken, "more than 4 loads from the store")
	case tier == membership.TierStore && n > 3 && r.starts[n-1]-r.starts[n-4] < time.Second:
		r.result.broken = append(r.result.broken, "more than 3 loads from the store in a second")
	}
}

// clairvoyant knows all arrivals. It keeps a model until its next use if that
// is cheaper than a load, and otherwise loads it just ahead of that use. Its
// figures are a lower bound on the waits that arrivals alone explain; it does
// not know the faults.
type clairvoyant map[placement.Target][]time.Duration

func foresee(requests []request) clairvoyant {
	c := clairvoyant{}
	for _, q := range requests {
		c[q.target] = append(c[q.target], q.at)
		if q.target.Adapter != "" {
			m := placement.Target{Model: q.target.Model}
			c[m] = append(c[m], q.at)
		}
	}
	return c
}

func (c clairvoyant) next(i placement.Idle) time.Duration {
	list := c[i.Target]
	n, _ := slices.BinarySearch(list, i.Now)
	if n == len(list) {
		return math.MaxInt64
	}
	return list[n] - i.Now
}

// burst counts the requests that a load after the next arrival would keep waiting.
func (c clairvoyant) burst(i placement.Idle, next time.Duration) float64 {
	if next == math.MaxInt64 {
		return 0
	}
	n, _ := slices.BinarySearch(c[i.Target], i.Now+next)
	m, _ := slices.BinarySearch(c[i.Target], i.Now+next+i.Lead)
	return float64(m - n)
}

func (c clairvoyant) Keep(i placement.Idle) float64 {
	next := c.next(i)
	if next <= i.Lead {
		return math.MaxFloat32
	}
	return i.ColdCost*c.burst(i, next) - i.IdleCost*next.Seconds()
}

func (c clairvoyant) Prewarm(i placement.Idle) float64 {
	if c.next(i) <= i.Lead {
		return math.MaxFloat32
	}
	return 0
}

// policy is one row of the table.
type policy struct {
	name string
	// days counts the replayed days of the five that are generated. Only the
	// last one is measured; the others are for learning and for the caches.
	days      int
	retention func([]request) placement.Retention
}

func fixed(k time.Duration) func([]request) placement.Retention {
	return func([]request) placement.Retention { return placement.KeepAlive(k) }
}

var policies = []policy{
	{"learned", 5, func([]request) placement.Retention { return nil }},
	{"keep-alive 5 min", 2, fixed(5 * time.Minute)},
	{"keep-alive 30 min", 2, fixed(30 * time.Minute)},
	{"least recently used", 2, fixed(10000 * time.Hour)},
	{"unload at once", 2, fixed(0)},
	{"knows the day", 2, func(q []request) placement.Retention { return foresee(q) }},
}

const generatedDays = 5

func runPolicy(deployment string, seed int64, p policy) result {
	w := workloadOf(deployment, seed)
	requests := w.requests(generatedDays)
	first := slices.IndexFunc(requests, func(q request) bool { return q.at >= time.Duration(generatedDays-p.days)*day })
	requests = requests[first:]
	r := newReplay(w, seed, placement.NewWithRetention(p.retention(requests)), generatedDays, true)
	return r.run(requests, generatedDays)
}

// seedsOf returns the seeds of a table: a short run by default, and those
// named by POLLENWHEEL_REPLAY_SEEDS as first-last.
func seedsOf(t *testing.T) []int64 {
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

// TestReplay guards against plans that the state rejects, that break a limit,
// or that order on servers that are silent, leaving or lost. It prints the
// table of policies.
func TestReplay(t *testing.T) {
	seeds := seedsOf(t)
	list := policies
	if len(seeds) == 1 {
		list = []policy{{"learned", 3, policies[0].retention}}
	}
	for _, deployment := range []string{"brazos-valley", "thies"} {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			table(t, deployment, seeds, list)
		})
	}
}

func table(t *testing.T, deployment string, seeds []int64, list []policy) {
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
		out += results[i].row(p.name, len(seeds)) + "\n"
		for _, b := range slices.Compact(results[i].broken) {
			t.Errorf("%s: %s", p.name, b)
		}
	}
	t.Log(out)
}
