package placement

import (
	"math"
	"time"
)

// IdleTarget describes an idle target that may be loaded or unloaded.
type IdleTarget struct {
	Target  Target
	Now     time.Duration
	IdleFor time.Duration
	// ColdCost is the cost of one request that waits for a load. IdleCost is the cost
	// of keeping the target loaded without use for one second. Both use the
	// deployment's weights.
	ColdCost float64
	IdleCost float64
	// LeadTime is how long before its use the load of the target must start.
	LeadTime time.Duration
}

// RetentionPolicy decides how long idle targets stay loaded and which targets are
// loaded ahead of use. Both methods return the expected saving in cost. A target is
// kept or loaded if the saving is above zero. Targets with the lowest KeepSaving are
// evicted first.
type RetentionPolicy interface {
	KeepSaving(IdleTarget) float64
	PrewarmSaving(IdleTarget) float64
}

// KeepAlive is a retention policy that unloads a target after a fixed idle time. It
// serves as a baseline: with zero, targets are unloaded at once; with a very long
// time, only the least recently used ones are, and only when memory is short.
type KeepAlive time.Duration

// KeepSaving returns the time left until the target is unloaded, in seconds.
func (k KeepAlive) KeepSaving(i IdleTarget) float64 { return (time.Duration(k) - i.IdleFor).Seconds() }

// PrewarmSaving returns zero, so that no target is loaded ahead of use.
func (KeepAlive) PrewarmSaving(IdleTarget) float64 { return 0 }

// Parameters of the histories.
const (
	// gapBinCount bins cover idle gaps from 1 s to 17 days, with binsPerOctave bins
	// for each doubling of the gap. Longer gaps count in the last bin.
	gapBinCount   = 41
	binsPerOctave = 2
	// priorGapWeight is the weight of the log-uniform prior, in gaps. The prior takes
	// the place of a model's own gaps while few have been observed.
	priorGapWeight = 2.0
	// dailyGapDecay is the factor by which the weights of the gaps are multiplied at
	// the end of each day. Decay by the number of gaps instead would let the many
	// short gaps of a busy hour outweigh the few long ones that decide about
	// unloading.
	dailyGapDecay = 0.85

	slotLength  = 5 * time.Minute
	slotsPerDay = int(24 * time.Hour / slotLength)
	// dayTypeCount is the number of day types: working days and weekends, in UTC.
	dayTypeCount = 2
	// minDays is how many days of a type must have been observed before a model is
	// loaded ahead of a time of day at which it is usually used.
	minDays = 2
	// minDayWeight is the minimum weight of a new day in the start probabilities, so
	// that about the last five days determine them.
	minDayWeight = 0.2
	// newSampleWeight is the weight of a new burst or completion rate in its
	// exponential moving average.
	newSampleWeight = 0.3
	// minStartGap is the idle time after which an arrival starts a period of use.
	// Only these starts count for the start probabilities. Arrivals within a period
	// are correlated: if they counted, a period that does not take place would keep
	// the model loaded for its usual length.
	minStartGap = slotLength
	// expectedProbability is the probability of a start, summed over a slot and its
	// neighbours, at or above which a start is expected. Single starts on the last
	// days are random, and loading ahead of them doubled the number of loads.
	expectedProbability = 0.5
)

// history holds what is learned about the requests for one target, or for all
// adapters of one model.
type history struct {
	// gaps holds the weighted number of idle gaps per bin.
	gaps [gapBinCount]float64
	// startProbability holds the probability that a period of use starts in a slot.
	startProbability [dayTypeCount][slotsPerDay]float32
	// slotsSeen is the number of slots observed per day type. startSeen is set if a
	// period of use has started in the current slot.
	slotsSeen [dayTypeCount]int
	startSeen bool
	// unexpectedBurst and expectedBurst are the usual numbers of requests that wait
	// for a cold start, at unexpected and at expected starts.
	unexpectedBurst float64
	expectedBurst   float64
	// completionRate is the number of requests that one replica completes per
	// second. Zero means unknown.
	completionRate float64
}

func newHistory() *history { return &history{unexpectedBurst: 1, expectedBurst: 1} }

func gapBin(gap time.Duration) int {
	if gap <= time.Second {
		return 0
	}
	return min(gapBinCount-1, int(binsPerOctave*math.Log2(gap.Seconds())))
}

// gapBinStarts holds the lower bound of each bin in seconds, and as the last element
// the upper bound of the last bin.
var gapBinStarts = func() (b [gapBinCount + 1]float64) {
	for i := range b {
		b[i] = math.Exp2(float64(i) / binsPerOctave)
	}
	b[0] = 0
	return b
}()

// addGap records an idle gap that ended in slot. A gap that ended at an expected
// start is recorded as infinitely long, because the model is loaded ahead of that
// start and does not have to stay loaded until then.
func (h *history) addGap(gap time.Duration, slot int64) {
	if gap >= minStartGap {
		h.startSeen = true
		if h.expectsStart(slot) {
			gap = math.MaxInt64
		}
	}
	h.gaps[gapBin(gap)]++
}

func (h *history) addBurst(n float64, expected bool) {
	if expected || h.daysSeen(0)+h.daysSeen(1) == 0 {
		h.expectedBurst += newSampleWeight * (n - h.expectedBurst)
	} else {
		h.unexpectedBurst += newSampleWeight * (n - h.unexpectedBurst)
	}
}

// expectsStart reports whether a period of use usually starts around a slot. One
// observed day of the type is sufficient. With a longer minimum, the gaps and bursts
// of the first days would be recorded as unexpected and keep the model loaded for
// weeks.
func (h *history) expectsStart(slot int64) bool {
	dayType := dayTypeOf(slot)
	if h.daysSeen(dayType) == 0 {
		return false
	}
	var sum float32
	for s := slot + int64(slotsPerDay) - 1; s <= slot+int64(slotsPerDay)+1; s++ {
		sum += h.startProbability[dayType][s%int64(slotsPerDay)]
	}
	return sum >= expectedProbability
}

func (h *history) addCompletionRate(perSecond float64) {
	if h.completionRate == 0 {
		h.completionRate = perSecond
		return
	}
	h.completionRate += newSampleWeight * (perSecond - h.completionRate)
}

// dayTypeOf returns 1 for Saturdays and Sundays, and otherwise 0. Day 0 of the Unix
// clock was a Thursday.
func dayTypeOf(slot int64) int {
	if d := (slot/int64(slotsPerDay) + 4) % 7; d == 0 || d == 6 {
		return 1
	}
	return 0
}

func (h *history) daysSeen(dayType int) int {
	return (h.slotsSeen[dayType] + slotsPerDay/2) / slotsPerDay
}

func (h *history) closeSlot(slot int64) {
	dayType := dayTypeOf(slot)
	weight := max(minDayWeight, 1/float64(h.slotsSeen[dayType]/slotsPerDay+1))
	p := &h.startProbability[dayType][slot%int64(slotsPerDay)]
	var observed float64
	if h.startSeen {
		observed = 1
	}
	*p += float32(weight * (observed - float64(*p)))
	h.slotsSeen[dayType]++
	h.startSeen = false
	if (slot+1)%int64(slotsPerDay) != 0 {
		return
	}
	for i := range h.gaps {
		h.gaps[i] *= dailyGapDecay
	}
}

// KeepSaving returns the largest saving over all times until which the target could
// be kept. It uses the histogram of idle gaps and, for models that have been observed
// for minDays, the time of day.
func (a *arrivalTracker) KeepSaving(i IdleTarget) float64 {
	h := a.historyOf(i.Target)
	best := h.savingByGaps(i)
	if i.Target.Adapter != "" || h.daysSeen(dayTypeOf(a.currentSlot)) < minDays {
		return best
	}
	return max(best, h.savingByTimeOfDay(a.unixMS, i))
}

// savingByGaps returns the largest saving of keeping the target until the end of a
// bin. The recorded gaps and the prior give the distribution of the next use.
func (h *history) savingByGaps(i IdleTarget) float64 {
	idle := i.IdleFor.Seconds()
	first := gapBin(i.IdleFor)
	prior := priorGapWeight / gapBinCount
	total := 0.0
	for b := first; b < gapBinCount; b++ {
		total += h.gaps[b] + prior
	}
	// Only the part of the first bin that has not passed yet counts.
	remainingShare := (gapBinStarts[first+1] - idle) / (gapBinStarts[first+1] - gapBinStarts[first])
	passed := (h.gaps[first] + prior) * (1 - min(1, max(0, remainingShare)))
	total -= passed
	best, arrived, loadedUntilUse := math.Inf(-1), 0.0, 0.0
	for b := first; b < gapBinCount; b++ {
		weight := h.gaps[b] + prior
		from := gapBinStarts[b]
		if b == first {
			weight -= passed
			from = max(from, idle)
		}
		arrived += weight / total
		loadedUntilUse += weight / total * ((from+gapBinStarts[b+1])/2 - idle)
		loadedSeconds := loadedUntilUse + (1-arrived)*(gapBinStarts[b+1]-idle)
		best = max(best, arrived*i.ColdCost*h.unexpectedBurst-loadedSeconds*i.IdleCost)
	}
	return best
}

// PrewarmSaving returns the saving of loading the target now for the slots that begin
// within the lead time.
func (a *arrivalTracker) PrewarmSaving(i IdleTarget) float64 {
	h := a.historyOf(i.Target)
	if h.daysSeen(dayTypeOf(a.currentSlot)) < minDays {
		return math.Inf(-1)
	}
	return h.savingByTimeOfDay(a.unixMS, i)
}

// savingByTimeOfDay weighs the starts that are expected in the slots that begin
// within the lead time against the time loaded without use. Later slots do not
// count, since the model can still be loaded ahead of them.
func (h *history) savingByTimeOfDay(unixMS int64, i IdleTarget) float64 {
	slotMS := slotLength.Milliseconds()
	best, noStart, loadedSeconds := math.Inf(-1), 1.0, 0.0
	for s := unixMS / slotMS; s*slotMS <= unixMS+i.LeadTime.Milliseconds(); s++ {
		dayType := dayTypeOf(s)
		if h.slotsSeen[dayType] == 0 {
			break
		}
		slotSeconds := float64(min((s+1)*slotMS-unixMS, slotMS)) / 1000
		startProbability := 0.0
		if h.expectsStart(s) {
			startProbability = float64(h.startProbability[dayType][s%int64(slotsPerDay)])
		}
		startProbability = 1 - math.Pow(1-min(startProbability, 0.99), slotSeconds/slotLength.Seconds())
		loadedSeconds += noStart * slotSeconds * (1 - startProbability/2)
		noStart *= 1 - startProbability
		best = max(best, (1-noStart)*i.ColdCost*h.expectedBurst-loadedSeconds*i.IdleCost)
	}
	return best
}
