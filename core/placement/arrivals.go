package placement

import (
	"time"
)

// Thresholds and windows for the tracking of activity.
const (
	// minIdleGap is the shortest pause that counts as an idle gap. Shorter pauses
	// are the spacing of requests within one period of use.
	minIdleGap = time.Second
	// minBurstGap and burstWindow define the burst after an idle period of at
	// least minBurstGap: the arrivals in the first 20 s, which is about the
	// duration of one load from the store.
	minBurstGap = time.Minute
	burstWindow = 20 * time.Second
	// completionWindow is the period over which a completion rate is measured.
	completionWindow = 2 * time.Second
	// adapterActivityRetention is how long the activity of an unused adapter is
	// kept. Keeping an idle adapter loaded pays off for minutes only, and keeping a
	// day of activity would take tens of thousands of entries with 63,000 adapters.
	adapterActivityRetention = 2 * time.Hour
)

// activity holds the demand for one target and the state that is tracked between
// plans to learn from it.
type activity struct {
	planNumber uint64 // the plan that the demand below belongs to
	// ownDemand is the demand for the target itself. For a model, adapterDemand
	// sums the demand of its adapters, which hosts may or may not include in the
	// demand that they report for the model.
	ownDemand     demandTotals
	adapterDemand demandTotals
	// mergedDemand combines both and is the demand that decisions use.
	mergedDemand demandTotals
	target       Target
	// baseActivity is the activity of an adapter's model; nil for a model.
	baseActivity *activity
	// lastActive is when a request last waited, ran or arrived. A negative value
	// means unknown.
	lastActive time.Duration
	// burstStart, arrivalsBeforeBurst and burstActive track the burst after an idle
	// period until burstWindow has passed.
	burstStart          time.Duration
	arrivalsBeforeBurst uint64
	burstActive         bool
	// startExpected is set if the current period of use started at a time of day
	// at which one usually starts.
	startExpected bool
	completions   completionMeter
	history       *history
}

// demandTotals sums the demand that all hosts report for one target.
type demandTotals struct {
	waiting          int
	running          int
	earliestDeadline time.Duration
	lastArrival      time.Duration
	arrivals         uint64
	classes          [urgencyClassCount]ClassDemand
	runningOn        map[string]int
}

func (t *demandTotals) add(d *Demand) {
	t.waiting += d.Waiting
	t.running += d.Running
	t.arrivals += d.Arrivals
	t.lastArrival = max(t.lastArrival, d.LastArrival)
	t.earliestDeadline = earlierDeadline(t.earliestDeadline, d.EarliestDeadline)
	classified := false
	for i, c := range d.Classes {
		t.classes[i].Waiting += c.Waiting
		t.classes[i].EarliestDeadline = earlierDeadline(t.classes[i].EarliestDeadline, c.EarliestDeadline)
		classified = classified || c.Waiting > 0
	}
	if !classified {
		t.classes[Standard].Waiting += d.Waiting
		t.classes[Standard].EarliestDeadline = earlierDeadline(t.classes[Standard].EarliestDeadline, d.EarliestDeadline)
	}
	for name, n := range d.RunningOn {
		if t.runningOn == nil {
			t.runningOn = map[string]int{}
		}
		t.runningOn[name] += n
	}
}

// earlierDeadline returns the earlier of two deadlines, where zero means none.
func earlierDeadline(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// mergeDemand combines a model's own demand with the demand for its adapters. It
// takes the larger of the two, since the hosts may already have added them.
func (a *activity) mergeDemand() {
	a.mergedDemand = a.ownDemand
	if a.target.Adapter != "" {
		return
	}
	if a.adapterDemand.waiting > a.ownDemand.waiting {
		a.mergedDemand = a.adapterDemand
	}
	a.mergedDemand.arrivals = max(a.ownDemand.arrivals, a.adapterDemand.arrivals)
	a.mergedDemand.running = max(a.ownDemand.running, a.adapterDemand.running)
	a.mergedDemand.lastArrival = max(a.ownDemand.lastArrival, a.adapterDemand.lastArrival)
}

// noDemand is the demand for targets that no host reported.
var noDemand demandTotals

// currentDemand returns the merged demand, or noDemand if no host reported the
// target for the plan planNumber.
func (a *activity) currentDemand(planNumber uint64) *demandTotals {
	if a == nil || a.planNumber != planNumber {
		return &noDemand
	}
	return &a.mergedDemand
}

// mayRunOn reports whether a server may be running requests of the target. If
// the hosts do not report the servers of running requests, every server may.
func (a *activity) mayRunOn(planNumber uint64, server string) bool {
	if a == nil || a.planNumber != planNumber {
		return false
	}
	for _, t := range []*demandTotals{&a.ownDemand, &a.adapterDemand} {
		if t.running > 0 && t.runningOn == nil || t.runningOn[server] > 0 {
			return true
		}
	}
	return false
}

// arrivalTracker learns when requests arrive. It implements the learned retention
// policy.
type arrivalTracker struct {
	planNumber uint64 // counts the plans
	targets    map[Target]*activity
	histories  map[Target]*history
	// withDemand lists the activities that have demand in the current plan.
	withDemand []*activity
	// byPosition holds the activities in the order of the last Input.Demand.
	// Reports mostly keep their order, which saves a map look-up for each.
	byPosition  []*activity
	currentSlot int64
	unixMS      int64
	// importedLastUse holds imported times of the last use, as Unix time in ms,
	// until the first activity of the target.
	importedLastUse map[Target]int64
}

func newArrivalTracker() *arrivalTracker {
	return &arrivalTracker{targets: map[Target]*activity{}, histories: map[Target]*history{}, importedLastUse: map[Target]int64{}}
}

// historyKey returns the key of a target's history. All adapters of a model share
// one history: a single adapter is used too rarely to learn from, and an adapter
// load takes only milliseconds.
func historyKey(t Target) Target {
	if t.Adapter != "" {
		return Target{Model: t.Model, Adapter: "*"}
	}
	return t
}

func (a *arrivalTracker) historyOf(t Target) *history {
	key := historyKey(t)
	h, ok := a.histories[key]
	if !ok {
		h = newHistory()
		a.histories[key] = h
	}
	return h
}

// activityOf returns the activity of a target, reset for the current plan.
func (a *arrivalTracker) activityOf(t Target) *activity {
	act, ok := a.targets[t]
	if !ok {
		act = &activity{target: t, history: a.historyOf(t), lastActive: -1}
		a.targets[t] = act
	}
	a.resetForPlan(act)
	return act
}

// activityAt returns the activity of the target t, which is at position i of
// Input.Demand.
func (a *arrivalTracker) activityAt(i int, t Target) *activity {
	if i < len(a.byPosition) && a.byPosition[i].target == t {
		a.resetForPlan(a.byPosition[i])
		return a.byPosition[i]
	}
	act := a.activityOf(t)
	if i < len(a.byPosition) {
		a.byPosition[i] = act
	} else {
		a.byPosition = append(a.byPosition, act)
	}
	return act
}

// resetForPlan clears the demand of an activity at its first use in a plan.
func (a *arrivalTracker) resetForPlan(act *activity) {
	if act.planNumber != a.planNumber {
		act.planNumber = a.planNumber
		act.ownDemand, act.adapterDemand = demandTotals{}, demandTotals{}
		a.withDemand = append(a.withDemand, act)
	}
}

// observe merges the demand that the hosts report and updates the learned
// histories.
func (a *arrivalTracker) observe(in Input, v *clusterView) {
	a.planNumber++
	a.withDemand = a.withDemand[:0]
	a.unixMS = in.UnixMS
	for i := range in.Demand {
		a.addReport(i, &in.Demand[i])
	}
	a.byPosition = a.byPosition[:len(in.Demand)]
	a.closeEndedSlots(in)
	for _, act := range a.withDemand {
		act.mergeDemand()
		a.updateActivity(in, v, act)
	}
}

// addReport adds the report at position i of Input.Demand to the demand of its
// target and, for an adapter, of the adapter's model.
func (a *arrivalTracker) addReport(i int, d *Demand) {
	act := a.activityAt(i, Target{d.Model, d.Adapter})
	act.ownDemand.add(d)
	if d.Adapter == "" {
		return
	}
	if act.baseActivity == nil {
		act.baseActivity = a.activityOf(Target{Model: d.Model})
	}
	a.resetForPlan(act.baseActivity)
	act.baseActivity.adapterDemand.add(d)
}

func (a *arrivalTracker) updateActivity(in Input, v *clusterView, act *activity) {
	d := &act.mergedDemand
	if d.waiting == 0 && d.running == 0 && d.lastArrival <= act.lastActive {
		act.closeBurst(in.Now, d)
		return
	}
	start := in.Now
	if d.lastArrival > 0 && d.lastArrival > act.lastActive {
		start = d.lastArrival
	}
	a.recordGap(in, act, start, d)
	act.closeBurst(in.Now, d)
	act.lastActive = start
	if d.waiting > 0 || d.running > 0 {
		act.lastActive = in.Now
	}
	ready := 0
	if d.waiting > 0 {
		ready, _ = v.countReplicas(act.target)
	}
	act.completions.observe(in.Now, d, ready, act.history)
}

// markUnattributed marks the servers that report more running requests than the
// hosts report for the models on them.
func (a *arrivalTracker) markUnattributed(v *clusterView) {
	for i := range v.servers {
		srv := &v.servers[i]
		srv.unattributed = false
		if srv.status == nil || srv.status.Load.Running == 0 {
			continue
		}
		attributed := 0
		for _, r := range srv.modelReplicas {
			act := a.targets[Target{Model: r.key.Model}]
			if act != nil && act.planNumber == a.planNumber {
				attributed += max(act.ownDemand.runningOn[srv.name], act.adapterDemand.runningOn[srv.name])
			}
		}
		srv.unattributed = attributed < srv.status.Load.Running
	}
}

// recordGap records the idle period that a new arrival ended, and starts a burst
// if the period was long enough.
func (a *arrivalTracker) recordGap(in Input, act *activity, start time.Duration, d *demandTotals) {
	gap := start - act.lastActive
	if act.lastActive < 0 {
		last, known := a.importedLastUse[act.target]
		if !known {
			return
		}
		delete(a.importedLastUse, act.target)
		gap = time.Duration(in.UnixMS-last) * time.Millisecond
	}
	if gap < minIdleGap {
		return
	}
	act.history.addGap(gap, a.currentSlot)
	act.startExpected = act.history.expectsStart(a.currentSlot)
	if gap >= minBurstGap && d.arrivals > 0 {
		act.burstActive, act.burstStart = true, in.Now
		act.arrivalsBeforeBurst = d.arrivals - min(d.arrivals, uint64(max(1, d.waiting+d.running)))
	}
}

// closeBurst adds the size of a burst to the history once its window has ended.
func (act *activity) closeBurst(now time.Duration, d *demandTotals) {
	if !act.burstActive || now-act.burstStart < burstWindow {
		return
	}
	act.burstActive = false
	if d.arrivals > act.arrivalsBeforeBurst {
		act.history.addBurst(float64(d.arrivals-act.arrivalsBeforeBurst), act.startExpected)
	}
}

// idleFor returns how long a target has had no request. A target without any
// known use counts as idle since the first call for it.
func (a *arrivalTracker) idleFor(now time.Duration, t Target) time.Duration {
	act, ok := a.targets[t]
	if !ok {
		act = &activity{target: t, history: a.historyOf(t), lastActive: now}
		if last, known := a.importedLastUse[t]; known {
			act.lastActive = now - time.Duration(a.unixMS-last)*time.Millisecond
			delete(a.importedLastUse, t)
		}
		a.targets[t] = act
	}
	if act.lastActive < 0 {
		act.lastActive = now
	}
	return now - act.lastActive
}

// closeEndedSlots closes the current time-of-day slot if it has ended, and drops
// the activity of adapters that are no longer used.
func (a *arrivalTracker) closeEndedSlots(in Input) {
	slot := in.UnixMS / slotLength.Milliseconds()
	if slot == a.currentSlot {
		return
	}
	if a.currentSlot != 0 && slot == a.currentSlot+1 {
		for _, h := range a.histories {
			h.closeSlot(a.currentSlot)
		}
	}
	a.currentSlot = slot
	for t, act := range a.targets {
		if t.Adapter != "" && act.planNumber != a.planNumber && in.Now-act.lastActive > adapterActivityRetention {
			delete(a.targets, t)
		}
	}
}

// completionMeter measures how many requests a replica completes per second while
// other requests are waiting. A measurement is a series of windows.
type completionMeter struct {
	measuring       bool
	pastFirstWindow bool
	windowStart     time.Duration
	// startArrivals and startPending are the arrivals so far and the number of
	// waiting and running requests at the start of the window.
	startArrivals uint64
	startPending  int
}

func (m *completionMeter) observe(now time.Duration, d *demandTotals, ready int, h *history) {
	if d.waiting == 0 || ready == 0 {
		*m = completionMeter{}
		return
	}
	if m.measuring && now-m.windowStart < completionWindow {
		return
	}
	if m.measuring && m.pastFirstWindow && d.arrivals >= m.startArrivals {
		completed := float64(d.arrivals-m.startArrivals) + float64(m.startPending-d.waiting-d.running)
		h.addCompletionRate(max(0, completed) / (now - m.windowStart).Seconds() / float64(ready))
	}
	// The first window of a measurement has no completions yet and is left out.
	*m = completionMeter{measuring: true, pastFirstWindow: m.measuring, windowStart: now, startArrivals: d.arrivals, startPending: d.waiting + d.running}
}
