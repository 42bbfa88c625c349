package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// maxLearnedModels bounds an import, so that a damaged snapshot cannot fill
// the memory.
const maxLearnedModels = 10_000

// Learned is what a planner has learned, in a form for snapshots. Losing it
// only costs the time to learn again.
type Learned struct {
	Loads  []LearnedTier   `json:"loads,omitempty"`
	Models []LearnedTarget `json:"models,omitempty"`
}

// LearnedTier holds the newest load times of a tier, in seconds per GiB, or
// seconds per load for adapters.
type LearnedTier struct {
	Tier    membership.Tier `json:"tier"`
	Seconds []float64       `json:"seconds"`
}

// LearnedTarget is the history of a model, or with Adapters that of all its
// adapters together.
type LearnedTarget struct {
	Model    string `json:"model"`
	Adapters bool   `json:"adapters,omitempty"`
	// LastUnixMS is when the target was last in use; zero means unknown.
	LastUnixMS int64 `json:"last_unix_ms,omitempty"`
	// Gaps counts idle gaps per bin.
	Gaps []float64 `json:"gaps,omitempty"`
	// Profiles holds, per day type, the probability of a start in each slot of
	// the day in units of 1/255. Slots counts the slots seen.
	Profiles [dayTypes][]byte `json:"profiles"`
	Slots    [dayTypes]int    `json:"slots"`
	// Surprise and Expected are requests per cold start; Drain is the
	// completions per second of one replica.
	Surprise float64 `json:"surprise"`
	Expected float64 `json:"expected"`
	Drain    float64 `json:"drain,omitempty"`
}

// Export returns what the planner has learned. now and unixMS are the clocks of
// Input.
func (p *Planner) Export(now time.Duration, unixMS int64) Learned {
	var out Learned
	for _, tier := range slices.Sorted(maps.Keys(p.loads.tiers)) {
		out.Loads = append(out.Loads, LearnedTier{Tier: tier, Seconds: slices.Clone(p.loads.tiers[tier].samples)})
	}
	for t, h := range p.arrivals.histories {
		l := h.export()
		l.Model, l.Adapters = t.Model, t.Adapter != ""
		l.LastUnixMS = p.arrivals.lastUse(t, now, unixMS)
		out.Models = append(out.Models, l)
	}
	slices.SortFunc(out.Models, func(a, b LearnedTarget) int {
		return compareTargets(learnedKey(a), learnedKey(b))
	})
	return out
}

// lastUse returns the wall clock time of the last use of a target.
func (a *arrivals) lastUse(t Target, now time.Duration, unixMS int64) int64 {
	if act, ok := a.targets[t]; ok && act.lastActive >= 0 {
		return unixMS - (now - act.lastActive).Milliseconds()
	}
	return a.restored[t]
}

func learnedKey(l LearnedTarget) Target {
	if l.Adapters {
		return historyKey(Target{Model: l.Model, Adapter: "*"})
	}
	return Target{Model: l.Model}
}

func (h *history) export() LearnedTarget {
	l := LearnedTarget{
		Gaps: slices.Clone(h.gaps[:]), Slots: h.slots, Surprise: h.surprise, Expected: h.expected, Drain: h.drainSec,
	}
	for kind := range h.profile {
		if h.slots[kind] == 0 {
			continue
		}
		l.Profiles[kind] = make([]byte, slotsPerDay)
		for i, v := range h.profile[kind] {
			l.Profiles[kind][i] = byte(math.Round(float64(v) * 255))
		}
	}
	return l
}

// Import replaces what the planner has learned. Values that cannot be right
// are left out, since a wrong estimate is worse than a missing one.
func (p *Planner) Import(l Learned) {
	p.loads = NewLoadTimes()
	for _, tier := range l.Loads {
		p.loads.restore(tier)
	}
	p.arrivals.histories = map[Target]*history{}
	p.arrivals.targets = map[Target]*activity{}
	p.arrivals.reported = nil
	p.arrivals.restored = map[Target]int64{}
	for _, m := range l.Models[:min(len(l.Models), maxLearnedModels)] {
		t := learnedKey(m)
		p.arrivals.histories[t] = restoreHistory(m)
		if m.LastUnixMS > 0 {
			p.arrivals.restored[t] = m.LastUnixMS
		}
	}
}

func (l *LoadTimes) restore(tier LearnedTier) {
	t, ok := l.tiers[tier.Tier]
	if !ok {
		return
	}
	var good []float64
	for _, s := range tier.Seconds {
		if s > 0 && !math.IsInf(s, 0) {
			good = append(good, s)
		}
	}
	if len(good) == 0 {
		return
	}
	t.samples = slices.Clone(good[max(0, len(good)-loadSamples):])
	t.sorted = slices.Sorted(slices.Values(t.samples))
}

func restoreHistory(l LearnedTarget) *history {
	h := newHistory()
	for i, n := range l.Gaps {
		if i < gapBins && n > 0 && !math.IsInf(n, 0) {
			h.gaps[i] = n
		}
	}
	for kind, p := range l.Profiles {
		if len(p) != slotsPerDay || l.Slots[kind] <= 0 {
			continue
		}
		h.slots[kind] = l.Slots[kind]
		for i, v := range p {
			h.profile[kind][i] = float32(v) / 255
		}
	}
	h.surprise = atLeastOne(l.Surprise)
	h.expected = atLeastOne(l.Expected)
	if l.Drain > 0 && !math.IsInf(l.Drain, 0) {
		h.drainSec = l.Drain
	}
	return h
}

// atLeastOne returns v if it is a finite number of requests of one or more.
func atLeastOne(v float64) float64 {
	if v >= 1 && !math.IsInf(v, 0) {
		return v
	}
	return 1
}
