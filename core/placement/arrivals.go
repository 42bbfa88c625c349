package placement

import (
	"time"
)

// Activity rules.
const (
	// minGap is the shortest pause that counts as an idle gap. Shorter pauses
	// are the spacing of requests within one period of use.
	minGap = time.Second
	// burstGap and burstWindow define the burst that ends an idle period: the
	// arrivals in the first 20 s, which is about one load from the store.
	burstGap    = time.Minute
	burstWindow = 20 * time.Second
	// drainWindow is the period over which a completion rate is measured.
	drainWindow = 2 * time.Second
	// forgetAdapter bounds how long the activity of an unused adapter is kept. An
	// idle adapter pays off for minutes only, and a day of activity at the
	// target size would be kept for tens of thousands of adapters.
	forgetAdapter = 2 * time.Hour
)

// activity is what is known about the requests for one target.
type activity struct {
	plan uint64
	// own is the demand for the target itself. For a model, viaAdapters sums the
	// demand of its adapters, which hosts may or may not add to the model's own.
	own         tally
	viaAdapters tally
	// merged is the demand that decides about the target.
	merged tally
	target Target
	// base is the activity of an adapter's model.
	base *activity
	// lastActive is when a request last waited, ran or arrived.
	lastActive time.Duration
	// burstStart and burstCount follow the burst that ended an idle period.
	burstStart time.Duration
	burstBase  uint64
	burstOpen  bool
	// burstExpected is set if the period of use started when it usually does.
	burstExpected bool
	drain         drainMeter
	history       *history
}

// tally sums the reports of all hosts.
type tally struct {
	waiting   int
	running   int
	earliest  time.Duration
	last      time.Duration
	arrivals  uint64
	classes   [urgencies]ClassDemand
	runningOn map[string]int
}

func (t *tally) add(d *Demand) {
	t.waiting += d.Waiting
	t.running += d.Running
	t.arrivals += d.Arrivals
	t.last = max(t.last, d.LastArrival)
	t.earliest = earlier(t.earliest, d.Earliest)
	classified := false
	for i, c := range d.Classes {
		t.classes[i].Waiting += c.Waiting
		t.classes[i].Earliest = earlier(t.classes[i].Earliest, c.Earliest)
		classified = classified || c.Waiting > 0
	}
	if !classified {
		t.classes[Standard].Waiting += d.Waiting
		t.classes[Standard].Earliest = earlier(t.classes[Standard].Earliest, d.Earliest)
	}
	for name, n := range d.RunningOn {
		if t.runningOn == nil {
			t.runningOn = map[string]int{}
		}
		t.runningOn[name] += n
	}
}

// earlier returns the earlier of two deadlines, where zero means none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// merge combines the target's own demand with that of its adapters.
func (a *activity) merge() {
	a.merged = a.own
	if a.target.Adapter != "" {
		return
	}
	if a.viaAdapters.waiting > a.own.waiting {
		a.merged = a.viaAdapters
	}
	a.merged.arrivals = max(a.own.arrivals, a.viaAdapters.arrivals)
	a.merged.running = max(a.own.running, a.viaAdapters.running)
	a.merged.last = max(a.own.last, a.viaAdapters.last)
}

// noDemand stands for targets that no host reported.
var noDemand tally

// demand returns the demand in a plan.
func (a *activity) demand(plan uint64) *tally {
	if a == nil || a.plan != plan {
		return &noDemand
	}
	return &a.merged
}

// runsOn reports whether a server may be running requests of the target.
func (a *activity) runsOn(plan uint64, server string) bool {
	if a == nil || a.plan != plan {
		return false
	}
	for _, t := range []*tally{&a.own, &a.viaAdapters} {
		if t.running > 0 && t.runningOn == nil || t.runningOn[server] > 0 {
			return true
		}
	}
	return false
}

// arrivals learns when requests arrive. It is the learned retention policy.
type arrivals struct {
	plan      uint64
	targets   map[Target]*activity
	histories map[Target]*history
	touched   []*activity
	// reported holds the activities in the order of the last demand. Reports
	// mostly keep their order, which saves a look-up for each.
	reported []*activity
	slot     int64
	unixMS   int64
	restored map[Target]int64
}

func newArrivals() *arrivals {
	return &arrivals{targets: map[Target]*activity{}, histories: map[Target]*history{}, restored: map[Target]int64{}}
}

// historyKey names the history that a target shares. All adapters of a model
// share one: single adapters are too rare to learn from, and an adapter load
// takes milliseconds.
func historyKey(t Target) Target {
	if t.Adapter != "" {
		return Target{Model: t.Model, Adapter: "*"}
	}
	return t
}

func (a *arrivals) history(t Target) *history {
	key := historyKey(t)
	h, ok := a.histories[key]
	if !ok {
		h = newHistory()
		a.histories[key] = h
	}
	return h
}

// get returns the activity of a target, reset for the current plan.
func (a *arrivals) get(t Target) *activity {
	act, ok := a.targets[t]
	if !ok {
		act = &activity{target: t, history: a.history(t), lastActive: -1}
		a.targets[t] = act
	}
	a.touch(act)
	return act
}

// at returns the activity of the target reported at position i.
func (a *arrivals) at(i int, t Target) *activity {
	if i < len(a.reported) && a.reported[i].target == t {
		a.touch(a.reported[i])
		return a.reported[i]
	}
	act := a.get(t)
	if i < len(a.reported) {
		a.reported[i] = act
	} else {
		a.reported = append(a.reported, act)
	}
	return act
}

// touch resets the demand of an activity once per plan.
func (a *arrivals) touch(act *activity) {
	if act.plan != a.plan {
		act.plan = a.plan
		act.own, act.viaAdapters = tally{}, tally{}
		a.touched = append(a.touched, act)
	}
}

// observe merges the demand of all hosts and updates what is learned.
func (a *arrivals) observe(in Input, v *view) {
	a.plan++
	a.touched = a.touched[:0]
	a.unixMS = in.UnixMS
	for i := range in.Demand {
		a.add(i, &in.Demand[i])
	}
	a.reported = a.reported[:len(in.Demand)]
	a.roll(in)
	for _, act := range a.touched {
		act.merge()
		a.update(in, v, act)
	}
}

// add merges the report at position i of the demand.
func (a *arrivals) add(i int, d *Demand) {
	act := a.at(i, Target{d.Model, d.Adapter})
	act.own.add(d)
	if d.Adapter == "" {
		return
	}
	if act.base == nil {
		act.base = a.get(Target{Model: d.Model})
	}
	a.touch(act.base)
	act.base.viaAdapters.add(d)
}

func (a *arrivals) update(in Input, v *view, act *activity) {
	d := &act.merged
	if d.waiting == 0 && d.running == 0 && d.last <= act.lastActive {
		act.closeBurst(in.Now, d)
		return
	}
	start := in.Now
	if d.last > 0 && d.last > act.lastActive {
		start = d.last
	}
	a.noteGap(in, act, start, d)
	act.closeBurst(in.Now, d)
	act.lastActive = start
	if d.waiting > 0 || d.running > 0 {
		act.lastActive = in.Now
	}
	ready := 0
	if d.waiting > 0 {
		ready, _ = v.count(act.target)
	}
	act.drain.observe(in.Now, d, ready, act.history)
}

// attribute compares the running requests that servers report with those that
// hosts report for models.
func (a *arrivals) attribute(v *view) {
	for i := range v.servers {
		srv := &v.servers[i]
		srv.unattributed = false
		if srv.presence == nil || srv.presence.Load.Running == 0 {
			continue
		}
		known := 0
		for _, r := range srv.models {
			act := a.targets[Target{Model: r.key.Model}]
			if act != nil && act.plan == a.plan {
				known += max(act.own.runningOn[srv.name], act.viaAdapters.runningOn[srv.name])
			}
		}
		srv.unattributed = known < srv.presence.Load.Running
	}
}

// noteGap records the idle period that a new arrival ended.
func (a *arrivals) noteGap(in Input, act *activity, start time.Duration, d *tally) {
	gap := start - act.lastActive
	if act.lastActive < 0 {
		last, known := a.restored[act.target]
		if !known {
			return
		}
		delete(a.restored, act.target)
		gap = time.Duration(in.UnixMS-last) * time.Millisecond
	}
	if gap < minGap {
		return
	}
	act.history.addGap(gap, a.slot)
	act.burstExpected = act.history.expects(a.slot)
	if gap >= burstGap && d.arrivals > 0 {
		act.burstOpen, act.burstStart = true, in.Now
		act.burstBase = d.arrivals - min(d.arrivals, uint64(max(1, d.waiting+d.running)))
	}
}

// closeBurst adds the size of a burst to the history once its window ended.
func (act *activity) closeBurst(now time.Duration, d *tally) {
	if !act.burstOpen || now-act.burstStart < burstWindow {
		return
	}
	act.burstOpen = false
	if d.arrivals > act.burstBase {
		act.history.addBurst(float64(d.arrivals-act.burstBase), act.burstExpected)
	}
}

// idleFor returns how long a target has had no request. A target that was
// never used counts as idle since the planner first saw it.
func (a *arrivals) idleFor(now time.Duration, t Target) time.Duration {
	act, ok := a.targets[t]
	if !ok {
		act = &activity{target: t, history: a.history(t), lastActive: now}
		if last, known := a.restored[t]; known {
			act.lastActive = now - time.Duration(a.unixMS-last)*time.Millisecond
			delete(a.restored, t)
		}
		a.targets[t] = act
	}
	if act.lastActive < 0 {
		act.lastActive = now
	}
	return now - act.lastActive
}

// roll closes the time-of-day slots that have ended.
func (a *arrivals) roll(in Input) {
	slot := in.UnixMS / slotLength.Milliseconds()
	if slot == a.slot {
		return
	}
	if a.slot != 0 && slot == a.slot+1 {
		for _, h := range a.histories {
			h.closeSlot(a.slot)
		}
	}
	a.slot = slot
	for t, act := range a.targets {
		if t.Adapter != "" && act.plan != a.plan && in.Now-act.lastActive > forgetAdapter {
			delete(a.targets, t)
		}
	}
}

// drainMeter measures how many requests a replica completes per second while
// more are waiting.
type drainMeter struct {
	open     bool
	warm     bool
	since    time.Duration
	arrivals uint64
	inside   int
}

func (m *drainMeter) observe(now time.Duration, d *tally, ready int, h *history) {
	if d.waiting == 0 || ready == 0 {
		*m = drainMeter{}
		return
	}
	if m.open && now-m.since < drainWindow {
		return
	}
	if m.open && m.warm && d.arrivals >= m.arrivals {
		done := float64(d.arrivals-m.arrivals) + float64(m.inside-d.waiting-d.running)
		h.addDrain(max(0, done) / (now - m.since).Seconds() / float64(ready))
	}
	// The first window after a start has no completions yet and is left out.
	*m = drainMeter{open: true, warm: m.open, since: now, arrivals: d.arrivals, inside: d.waiting + d.running}
}
