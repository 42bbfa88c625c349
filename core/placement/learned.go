package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// maxImportedModels bounds an import, so that a corrupt snapshot cannot use up
// the memory.
const maxImportedModels = 10_000

// Learned holds what a planner has learned, in the form stored in snapshots. If it
// is lost, the planner learns again.
type Learned struct {
	Loads  []LearnedTier   `json:"loads,omitempty"`
	Models []LearnedTarget `json:"models,omitempty"`
}

// LearnedTier holds the most recent load times of a tier, oldest first, in seconds
// per GiB, or seconds per load for adapters.
type LearnedTier struct {
	Tier    membership.Tier `json:"tier"`
	Seconds []float64       `json:"seconds"`
}

// LearnedTarget is the history of a model or, if Adapters is set, the common
// history of all its adapters.
type LearnedTarget struct {
	Model    string `json:"model"`
	Adapters bool   `json:"adapters,omitempty"`
	// LastUnixMS is the Unix time in ms at which the target was last in use. Zero
	// means unknown.
	LastUnixMS int64 `json:"last_unix_ms,omitempty"`
	// Gaps holds the weighted number of idle gaps per bin.
	Gaps []float64 `json:"gaps,omitempty"`
	// StartProbabilities holds, per day type, the probability that a period of use
	// starts in each slot of the day, in units of 1/255. SlotsSeen is the number of
	// slots observed per day type.
	StartProbabilities [dayTypeCount][]byte `json:"profiles"`
	SlotsSeen          [dayTypeCount]int    `json:"slots"`
	// UnexpectedBurst and ExpectedBurst are the usual numbers of requests that wait
	// for a cold start, at unexpected and at expected starts of a period of use.
	// CompletionRate is the number of requests that one replica completes per second;
	// zero means unknown.
	UnexpectedBurst float64 `json:"surprise"`
	ExpectedBurst   float64 `json:"expected"`
	CompletionRate  float64 `json:"drain,omitempty"`
}

// Export returns what the planner has learned. now and unixMS are the current
// times on the clocks of Input.Now and Input.UnixMS.
func (p *Planner) Export(now time.Duration, unixMS int64) Learned {
	var out Learned
	for _, tier := range slices.Sorted(maps.Keys(p.loads.tiers)) {
		out.Loads = append(out.Loads, LearnedTier{Tier: tier, Seconds: slices.Clone(p.loads.tiers[tier].samples)})
	}
	for t, h := range p.arrivals.histories {
		l := h.exportLearned()
		l.Model, l.Adapters = t.Model, t.Adapter != ""
		l.LastUnixMS = p.arrivals.lastUse(t, now, unixMS)
		out.Models = append(out.Models, l)
	}
	slices.SortFunc(out.Models, func(a, b LearnedTarget) int {
		return compareTargets(learnedKey(a), learnedKey(b))
	})
	return out
}

// lastUse returns the Unix time in ms of the last use of a target, or zero if it
// is unknown.
func (a *arrivalTracker) lastUse(t Target, now time.Duration, unixMS int64) int64 {
	if act, ok := a.targets[t]; ok && act.lastActive >= 0 {
		return unixMS - (now - act.lastActive).Milliseconds()
	}
	return a.importedLastUse[t]
}

func learnedKey(l LearnedTarget) Target {
	if l.Adapters {
		return historyKey(Target{Model: l.Model, Adapter: "*"})
	}
	return Target{Model: l.Model}
}

func (h *history) exportLearned() LearnedTarget {
	l := LearnedTarget{
		Gaps: slices.Clone(h.gaps[:]), SlotsSeen: h.slotsSeen, UnexpectedBurst: h.unexpectedBurst, ExpectedBurst: h.expectedBurst, CompletionRate: h.completionRate,
	}
	for dayType := range h.startProbability {
		if h.slotsSeen[dayType] == 0 {
			continue
		}
		l.StartProbabilities[dayType] = make([]byte, slotsPerDay)
		for i, v := range h.startProbability[dayType] {
			l.StartProbabilities[dayType][i] = byte(math.Round(float64(v) * 255))
		}
	}
	return l
}

// Import replaces what the planner has learned with l. Invalid values are skipped,
// since a wrong estimate is worse than a missing one.
func (p *Planner) Import(l Learned) {
	p.loads = NewLoadTimes()
	for _, tier := range l.Loads {
		p.loads.importTier(tier)
	}
	p.arrivals.histories = map[Target]*history{}
	p.arrivals.targets = map[Target]*activity{}
	p.arrivals.byPosition = nil
	p.arrivals.importedLastUse = map[Target]int64{}
	for _, m := range l.Models[:min(len(l.Models), maxImportedModels)] {
		t := learnedKey(m)
		p.arrivals.histories[t] = importHistory(m)
		if m.LastUnixMS > 0 {
			p.arrivals.importedLastUse[t] = m.LastUnixMS
		}
	}
}

func (l *LoadTimes) importTier(tier LearnedTier) {
	t, ok := l.tiers[tier.Tier]
	if !ok {
		return
	}
	var valid []float64
	for _, s := range tier.Seconds {
		if s > 0 && !math.IsInf(s, 0) {
			valid = append(valid, s)
		}
	}
	if len(valid) == 0 {
		return
	}
	t.samples = slices.Clone(valid[max(0, len(valid)-maxLoadSamples):])
	t.sorted = slices.Sorted(slices.Values(t.samples))
}

func importHistory(l LearnedTarget) *history {
	h := newHistory()
	for i, n := range l.Gaps {
		if i < gapBinCount && n > 0 && !math.IsInf(n, 0) {
			h.gaps[i] = n
		}
	}
	for dayType, probabilities := range l.StartProbabilities {
		if len(probabilities) != slotsPerDay || l.SlotsSeen[dayType] <= 0 {
			continue
		}
		h.slotsSeen[dayType] = l.SlotsSeen[dayType]
		for i, v := range probabilities {
			h.startProbability[dayType][i] = float32(v) / 255
		}
	}
	h.unexpectedBurst = atLeastOne(l.UnexpectedBurst)
	h.expectedBurst = atLeastOne(l.ExpectedBurst)
	if l.CompletionRate > 0 && !math.IsInf(l.CompletionRate, 0) {
		h.completionRate = l.CompletionRate
	}
	return h
}

// atLeastOne returns v if it is finite and at least 1, and otherwise 1.
func atLeastOne(v float64) float64 {
	if v >= 1 && !math.IsInf(v, 0) {
		return v
	}
	return 1
}
