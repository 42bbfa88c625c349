package placement

import (
	"math"
	"time"
)

// Idle describes a target whose loading or unloading is considered.
type Idle struct {
	Target  Target
	Now     time.Duration
	IdleFor time.Duration
	// ColdCost is the cost of one request that waits for a load, and IdleCost
	// that of one second loaded without use, both in the deployment's weights.
	ColdCost float64
	IdleCost float64
	// Lead is how long before its use a model must start to load.
	Lead time.Duration
}

// Retention decides how long idle targets stay loaded. The result of both
// methods is the expected cost that is saved; above zero means to keep or to
// load. Victims are chosen by the lowest result of Keep.
type Retention interface {
	Keep(Idle) float64
	Prewarm(Idle) float64
}

// KeepAlive unloads a target after a fixed idle time. It is a baseline: zero
// unloads at once, and a very long one unloads only the least recently used
// when memory is short.
type KeepAlive time.Duration

// Keep saves the remaining time in seconds.
func (k KeepAlive) Keep(i Idle) float64 { return (time.Duration(k) - i.IdleFor).Seconds() }

// Prewarm never loads ahead.
func (KeepAlive) Prewarm(Idle) float64 { return 0 }

// Shape of the histories.
const (
	// gapBins cover idle gaps from 1 s to 11 days, two per doubling.
	gapBins       = 41
	binsPerOctave = 2
	// priorGaps is the weight of the log-uniform prior. It stands for the first
	// gaps, before a model's own are known.
	priorGaps = 2.0
	// dailyWeight is what the gaps of a day count for a day later. Ageing by the
	// number of gaps instead would let the many short gaps of a busy hour
	// outweigh the few long ones that decide about unloading.
	dailyWeight = 0.85

	slotLength  = 5 * time.Minute
	slotsPerDay = int(24 * time.Hour / slotLength)
	// dayTypes separate working days from weekends, by UTC.
	dayTypes = 2
	// minDays is how many days of a type must have been seen before a model is
	// loaded ahead of its time of day.
	minDays = 2
	// oldestShare is the least weight of a new day. Five days or so decide.
	oldestShare = 0.2
	// burstShare is the weight of a new burst or completion rate.
	burstShare = 0.3
	// onsetGap is the idle time after which an arrival starts a period of use.
	// The profile counts only these starts: arrivals within a period are
	// correlated, so a period that does not start would keep the model loaded
	// for its whole usual length.
	onsetGap = slotLength
	// expectedFrom is the probability of a start, over a slot and its
	// neighbours, from which it counts as expected. Single starts of the last
	// days are chance, and loading ahead of them doubled the loads.
	expectedFrom = 0.5
)

// history is what is learned about one target's arrivals.
type history struct {
	gaps [gapBins]float64
	// profile holds the probability that a period of use starts in a slot.
	profile [dayTypes][slotsPerDay]float32
	slots   [dayTypes]int
	onset   bool
	// surprise and expected are the usual numbers of requests that a cold start
	// keeps waiting, at other times and at an expected start.
	surprise float64
	expected float64
	drainSec float64
}

func newHistory() *history { return &history{surprise: 1, expected: 1} }

func binOf(gap time.Duration) int {
	if gap <= time.Second {
		return 0
	}
	return min(gapBins-1, int(binsPerOctave*math.Log2(gap.Seconds())))
}

// binStarts holds the lower bound of each bin in seconds, and of one beyond.
var binStarts = func() (b [gapBins + 1]float64) {
	for i := range b {
		b[i] = math.Exp2(float64(i) / binsPerOctave)
	}
	b[0] = 0
	return b
}()

// addGap records an idle gap. A gap that ended at an expected start counts as
// endless, because a model does not have to stay loaded for it: it is loaded
// ahead.
func (h *history) addGap(gap time.Duration, slot int64) {
	if gap >= onsetGap {
		h.onset = true
		if h.expects(slot) {
			gap = math.MaxInt64
		}
	}
	h.gaps[binOf(gap)]++
}

func (h *history) addBurst(n float64, expected bool) {
	if expected || h.days(0)+h.days(1) == 0 {
		h.expected += burstShare * (n - h.expected)
	} else {
		h.surprise += burstShare * (n - h.surprise)
	}
}

// expects reports whether a period of use usually starts around a slot. One
// day is enough to tell: otherwise the gaps and bursts of the first days would
// be taken for surprises and keep the model loaded for weeks.
func (h *history) expects(slot int64) bool {
	kind := dayType(slot)
	if h.days(kind) == 0 {
		return false
	}
	var sum float32
	for s := slot + int64(slotsPerDay) - 1; s <= slot+int64(slotsPerDay)+1; s++ {
		sum += h.profile[kind][s%int64(slotsPerDay)]
	}
	return sum >= expectedFrom
}

func (h *history) addDrain(perSecond float64) {
	if h.drainSec == 0 {
		h.drainSec = perSecond
		return
	}
	h.drainSec += burstShare * (perSecond - h.drainSec)
}

// dayType returns 1 for Saturdays and Sundays. Day 0 of the Unix clock was a
// Thursday.
func dayType(slot int64) int {
	if d := (slot/int64(slotsPerDay) + 4) % 7; d == 0 || d == 6 {
		return 1
	}
	return 0
}

func (h *history) days(kind int) int { return (h.slots[kind] + slotsPerDay/2) / slotsPerDay }

func (h *history) closeSlot(slot int64) {
	kind := dayType(slot)
	share := max(oldestShare, 1/float64(h.slots[kind]/slotsPerDay+1))
	p := &h.profile[kind][slot%int64(slotsPerDay)]
	var seen float64
	if h.onset {
		seen = 1
	}
	*p += float32(share * (seen - float64(*p)))
	h.slots[kind]++
	h.onset = false
	if (slot+1)%int64(slotsPerDay) != 0 {
		return
	}
	for i := range h.gaps {
		h.gaps[i] *= dailyWeight
	}
}

// Keep returns the largest saving over all times until which the target could
// be kept, by the histogram of idle gaps or by the time of day.
func (a *arrivals) Keep(i Idle) float64 {
	h := a.history(i.Target)
	best := h.keepByGaps(i)
	if i.Target.Adapter != "" || h.days(dayType(a.slot)) < minDays {
		return best
	}
	return max(best, h.saving(a.unixMS, i))
}

func (h *history) keepByGaps(i Idle) float64 {
	idle := i.IdleFor.Seconds()
	first := binOf(i.IdleFor)
	prior := priorGaps / gapBins
	rest := 0.0
	for b := first; b < gapBins; b++ {
		rest += h.gaps[b] + prior
	}
	// Only the part of the first bin that lies ahead still counts.
	ahead := (binStarts[first+1] - idle) / (binStarts[first+1] - binStarts[first])
	gone := (h.gaps[first] + prior) * (1 - min(1, max(0, ahead)))
	rest -= gone
	best, come, spent := math.Inf(-1), 0.0, 0.0
	for b := first; b < gapBins; b++ {
		mass := h.gaps[b] + prior
		from := binStarts[b]
		if b == first {
			mass -= gone
			from = max(from, idle)
		}
		come += mass / rest
		spent += mass / rest * ((from+binStarts[b+1])/2 - idle)
		held := spent + (1-come)*(binStarts[b+1]-idle)
		best = max(best, come*i.ColdCost*h.surprise-held*i.IdleCost)
	}
	return best
}

// Prewarm returns the saving of loading now for the slots that begin within
// the lead.
func (a *arrivals) Prewarm(i Idle) float64 {
	h := a.history(i.Target)
	if h.days(dayType(a.slot)) < minDays {
		return math.Inf(-1)
	}
	return h.saving(a.unixMS, i)
}

// saving weighs the starts expected in the slots that begin within the lead
// against the time loaded without use. Later slots do not count: the model can
// still be loaded ahead of them.
func (h *history) saving(unixMS int64, i Idle) float64 {
	slotMS := slotLength.Milliseconds()
	best, none, held := math.Inf(-1), 1.0, 0.0
	for s := unixMS / slotMS; s*slotMS <= unixMS+i.Lead.Milliseconds(); s++ {
		kind := dayType(s)
		if h.slots[kind] == 0 {
			break
		}
		left := float64(min((s+1)*slotMS-unixMS, slotMS)) / 1000
		p := 0.0
		if h.expects(s) {
			p = float64(h.profile[kind][s%int64(slotsPerDay)])
		}
		p = 1 - math.Pow(1-min(p, 0.99), left/slotLength.Seconds())
		held += none * left * (1 - p/2)
		none *= 1 - p
		best = max(best, (1-none)*i.ColdCost*h.expected-held*i.IdleCost)
	}
	return best
}
