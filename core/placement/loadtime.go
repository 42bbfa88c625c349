package placement

import (
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// maxLoadSamples is the number of samples kept per tier. 64 samples give a usable
// 95 percent quantile and are replaced within a day at the usual number of loads.
const maxLoadSamples = 64

// recentLoadCount is how many recent loads decide whether a tier is slow. Their
// median is compared, so two slow loads of three are enough.
const recentLoadCount = 3

// slowRatio is the ratio of recent to usual load time above which a tier counts
// as slow. The ratios of normal loads stay below it.
const slowRatio = 1.6

const mibPerGiB = 1024.0

// adapterTier is the key for the samples of adapter loads.
const adapterTier membership.Tier = "adapter"

// initialSeconds holds the load times assumed until there are samples, in seconds
// per GiB, or seconds per load for adapters. Each counts as initialSampleCount
// samples.
var initialSeconds = map[membership.Tier]float64{
	membership.TierMemory: 0.1, membership.TierDisk: 0.5, membership.TierStore: 1, adapterTier: 0.006,
}

const initialSampleCount = 3

// LoadTimes learns how long loads take, per tier, in seconds per GiB, or seconds
// per load for adapters.
type LoadTimes struct {
	tiers map[membership.Tier]*tierTimes
}

type tierTimes struct {
	samples  []float64 // oldest first
	sorted   []float64
	slowdown float64 // at least 1
	// overdueRatios holds the ratio of elapsed to usual time of pending loads that
	// already take longer than usual. Each ratio is a lower bound.
	overdueRatios []float64
}

// NewLoadTimes returns a LoadTimes that holds only the initial estimates.
func NewLoadTimes() *LoadTimes {
	l := &LoadTimes{tiers: map[membership.Tier]*tierTimes{}}
	for tier, v := range initialSeconds {
		t := &tierTimes{samples: slices.Repeat([]float64{v}, initialSampleCount), slowdown: 1}
		t.sorted = slices.Clone(t.samples)
		l.tiers[tier] = t
	}
	return l
}

// tierFor returns the load times of a tier. An unknown tier is treated as the store.
func (l *LoadTimes) tierFor(name membership.Tier) *tierTimes {
	if t, ok := l.tiers[name]; ok {
		return t
	}
	return l.tiers[membership.TierStore]
}

// loadUnits returns the factor that the load time of a tier is proportional to:
// the size in GiB, at least 0.1, or 1 for an adapter.
func loadUnits(tier membership.Tier, weightsMiB int64) float64 {
	if tier == adapterTier {
		return 1
	}
	return max(float64(weightsMiB)/mibPerGiB, 0.1)
}

// Observe records the duration of a completed load.
func (l *LoadTimes) Observe(tier membership.Tier, weightsMiB int64, took time.Duration) {
	t := l.tierFor(tier)
	t.samples = append(t.samples, took.Seconds()/loadUnits(tier, weightsMiB))
	if len(t.samples) > maxLoadSamples {
		t.samples = t.samples[len(t.samples)-maxLoadSamples:]
	}
	t.sorted = append(t.sorted[:0], t.samples...)
	slices.Sort(t.sorted)
	t.updateSlowdown()
}

// recordOverdue records a pending load that has taken elapsed so far, if that is
// longer than usual.
func (l *LoadTimes) recordOverdue(tier membership.Tier, weightsMiB int64, elapsed time.Duration) {
	t := l.tierFor(tier)
	if ratio := elapsed.Seconds() / loadUnits(tier, weightsMiB) / t.quantile(0.5); ratio > slowRatio {
		t.overdueRatios = append(t.overdueRatios, ratio)
		t.updateSlowdown()
	}
}

func (l *LoadTimes) clearOverdue() {
	for _, t := range l.tiers {
		if len(t.overdueRatios) > 0 {
			t.overdueRatios = t.overdueRatios[:0]
			t.updateSlowdown()
		}
	}
}

func (t *tierTimes) quantile(q float64) float64 {
	return t.sorted[int(q*float64(len(t.sorted)-1)+0.5)]
}

// Slowdown returns the ratio of recent to usual load time of a tier, at least 1.
func (l *LoadTimes) Slowdown(tier membership.Tier) float64 { return l.tierFor(tier).slowdown }

func (t *tierTimes) updateSlowdown() {
	t.slowdown = 1
	if len(t.samples) < initialSampleCount+recentLoadCount {
		return
	}
	usual := t.quantile(0.5)
	recent := make([]float64, 0, 2*recentLoadCount)
	for _, s := range t.samples[len(t.samples)-recentLoadCount:] {
		recent = append(recent, s/usual)
	}
	recent = append(recent, t.overdueRatios...)
	recent = recent[len(recent)-recentLoadCount:]
	slices.Sort(recent)
	if ratio := recent[recentLoadCount/2]; ratio > slowRatio {
		t.slowdown = ratio
	}
}

// Estimate returns the load time at quantile q, between 0 and 1, multiplied by the
// tier's current slowdown.
func (l *LoadTimes) Estimate(tier membership.Tier, weightsMiB int64, q float64) time.Duration {
	s := l.tierFor(tier).quantile(q) * l.Slowdown(tier) * loadUnits(tier, weightsMiB)
	return time.Duration(s * float64(time.Second))
}
