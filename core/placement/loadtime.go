package placement

import (
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// loadSamples bounds the samples kept per tier. 64 give a usable 95 percent
// quantile and are replaced within a day at today's load counts.
const loadSamples = 64

// recentLoads is how many loads decide whether a tier is slow: two slow ones
// of three move the median.
const recentLoads = 3

// slowFrom is the ratio of recent to usual load time at which a tier counts
// as slow. The spread of normal loads stays below it.
const slowFrom = 1.6

const mibPerGiB = 1024.0

// adapterTier keys the samples of adapter loads.
const adapterTier membership.Tier = "adapter"

// initialSeconds are the seconds per GiB assumed until samples exist, and for
// adapters the seconds per load. Each counts as initialWeight samples.
var initialSeconds = map[membership.Tier]float64{
	membership.TierMemory: 0.1, membership.TierDisk: 0.5, membership.TierStore: 1, adapterTier: 0.006,
}

const initialWeight = 3

// LoadTimes learns how long loads take, per tier, in seconds per GiB.
type LoadTimes struct {
	tiers map[membership.Tier]*tierTimes
}

type tierTimes struct {
	samples  []float64 // oldest first
	sorted   []float64
	slowdown float64
	// overdue holds the ratios of loads in flight that already took longer
	// than usual; they are lower bounds.
	overdue []float64
}

// NewLoadTimes returns estimates without samples.
func NewLoadTimes() *LoadTimes {
	l := &LoadTimes{tiers: map[membership.Tier]*tierTimes{}}
	for tier, v := range initialSeconds {
		t := &tierTimes{samples: slices.Repeat([]float64{v}, initialWeight), slowdown: 1}
		t.sorted = slices.Clone(t.samples)
		l.tiers[tier] = t
	}
	return l
}

// tier returns the samples of a tier; an unknown tier counts as the store.
func (l *LoadTimes) tier(name membership.Tier) *tierTimes {
	if t, ok := l.tiers[name]; ok {
		return t
	}
	return l.tiers[membership.TierStore]
}

// units is the size that load time is proportional to.
func units(tier membership.Tier, weightsMiB int64) float64 {
	if tier == adapterTier {
		return 1
	}
	return max(float64(weightsMiB)/mibPerGiB, 0.1)
}

// Observe adds a completed load.
func (l *LoadTimes) Observe(tier membership.Tier, weightsMiB int64, took time.Duration) {
	t := l.tier(tier)
	t.samples = append(t.samples, took.Seconds()/units(tier, weightsMiB))
	if len(t.samples) > loadSamples {
		t.samples = t.samples[len(t.samples)-loadSamples:]
	}
	t.sorted = append(t.sorted[:0], t.samples...)
	slices.Sort(t.sorted)
	t.updateSlowdown()
}

// overdue notes a load in flight that has taken at least elapsed.
func (l *LoadTimes) overdue(tier membership.Tier, weightsMiB int64, elapsed time.Duration) {
	t := l.tier(tier)
	if r := elapsed.Seconds() / units(tier, weightsMiB) / t.quantile(0.5); r > slowFrom {
		t.overdue = append(t.overdue, r)
		t.updateSlowdown()
	}
}

func (l *LoadTimes) clearOverdue() {
	for _, t := range l.tiers {
		if len(t.overdue) > 0 {
			t.overdue = t.overdue[:0]
			t.updateSlowdown()
		}
	}
}

func (t *tierTimes) quantile(q float64) float64 {
	return t.sorted[int(q*float64(len(t.sorted)-1)+0.5)]
}

// Slowdown returns how many times longer than usual recent loads of a tier
// take, at least 1.
func (l *LoadTimes) Slowdown(tier membership.Tier) float64 { return l.tier(tier).slowdown }

func (t *tierTimes) updateSlowdown() {
	t.slowdown = 1
	if len(t.samples) < initialWeight+recentLoads {
		return
	}
	base := t.quantile(0.5)
	recent := make([]float64, 0, 2*recentLoads)
	for _, s := range t.samples[len(t.samples)-recentLoads:] {
		recent = append(recent, s/base)
	}
	recent = append(recent, t.overdue...)
	recent = recent[len(recent)-recentLoads:]
	slices.Sort(recent)
	if r := recent[recentLoads/2]; r > slowFrom {
		t.slowdown = r
	}
}

// Estimate returns the load time at quantile q, between 0 and 1, at the
// tier's present speed.
func (l *LoadTimes) Estimate(tier membership.Tier, weightsMiB int64, q float64) time.Duration {
	s := l.tier(tier).quantile(q) * l.Slowdown(tier) * units(tier, weightsMiB)
	return time.Duration(s * float64(time.Second))
}
