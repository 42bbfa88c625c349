package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// tightSlack is the time left after a load at which a request goes before more
// urgent classes, so that patient requests still finish.
const tightSlack = 10 * time.Second

// noDeadline stands for requests without a deadline.
const noDeadline = time.Duration(math.MaxInt64)

// want is a target that should have more replicas.
type want struct {
	target   Target
	service  string
	version  string
	waiting  int
	replicas int
	// readyReplicas are ready and heard from; loading likewise.
	readyReplicas int
	loading       int
	memoryMiB     int64
	weightsMiB    int64
	rank          Urgency
	slack         time.Duration
	// maxLoss bounds the cost of victims; waiting requests may take any idle one.
	maxLoss float64
}

// wanted returns the targets that need replicas, the most urgent first:
// waiting requests, then pinned counts and new versions.
func (p *Planner) wanted(in Input) []want {
	var list []want
	for _, act := range p.arrivals.touched {
		if act.merged.waiting == 0 {
			continue
		}
		if w, ok := p.demanded(in, act); ok {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, moreUrgent)
	for i := range p.index.config.Models {
		if w, ok := p.maintained(&p.index.config.Models[i]); ok {
			list = append(list, w)
		}
	}
	return list
}

func moreUrgent(a, b want) int {
	tight := func(w want) time.Duration { return max(w.slack, tightSlack) }
	density := func(w want) float64 { return float64(w.waiting) / float64(max(w.weightsMiB, 1)) }
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(tight(a), tight(b)),
		cmp.Compare(density(b), density(a)),
		cmp.Compare(a.target.Model, b.target.Model),
		cmp.Compare(a.target.Adapter, b.target.Adapter),
	)
}

// demanded returns the replicas that the waiting requests of a target need.
func (p *Planner) demanded(in Input, act *activity) (want, bool) {
	t, d := act.target, &act.merged
	w, limit, ok := p.describe(t)
	if !ok {
		return w, false
	}
	w.waiting, w.maxLoss = d.waiting, math.Inf(1)
	w.readyReplicas, w.loading = p.view.count(t)
	load := p.loads.Estimate(loadTier(state.PlaceKey{Adapter: t.Adapter}, membership.TierStore), w.weightsMiB, 0.5)
	w.rank, w.slack = rankOf(in.Now, d, load)
	enough := p.enough(in, act, w, load)
	w.replicas = max(0, min(enough-w.readyReplicas-w.loading, limit-len(p.view.replicas(t))))
	return w, true
}

// describe fills in what the configuration says about a target, and the limit
// on its replicas.
func (p *Planner) describe(t Target) (want, int, bool) {
	i, ok := p.index.models[t.Model]
	if !ok {
		return want{}, 0, false
	}
	m := &p.index.config.Models[i]
	if t.Adapter == "" {
		return modelWant(m), m.MaxReplicas, true
	}
	j, ok := p.index.adapters[t.Adapter]
	if !ok || p.index.config.Adapters[j].Model != t.Model {
		return want{}, 0, false
	}
	a := p.index.config.Adapters[j]
	bases, _ := p.view.count(Target{Model: t.Model})
	return want{target: t, service: m.Service, version: a.Version, memoryMiB: a.MemoryMiB, weightsMiB: a.MemoryMiB}, bases, true
}

func modelWant(m *config.Model) want {
	return want{
		target: Target{Model: m.Name}, service: m.Service, version: m.Version,
		memoryMiB: m.MemoryMiB + m.KVMiB, weightsMiB: m.MemoryMiB, slack: noDeadline, rank: urgencies,
	}
}

// rankOf returns the most urgent waiting class and the time its earliest
// deadline leaves after a load.
func rankOf(now time.Duration, d *tally, load time.Duration) (Urgency, time.Duration) {
	rank, slack := urgencies, noDeadline
	for u := Patient; u >= Interactive; u-- {
		c := d.classes[u]
		if c.Waiting == 0 {
			continue
		}
		left := noDeadline
		if c.Earliest != 0 {
			left = c.Earliest - now - load
		}
		slack = min(slack, left)
		rank = u
	}
	if slack < tightSlack {
		rank = Interactive
	}
	return rank, slack
}

// enough returns how many replicas the demand needs: another one pays if the
// present ones need longer to drain the queue than it takes to load.
func (p *Planner) enough(in Input, act *activity, w want, load time.Duration) int {
	d := &act.merged
	have := max(1, w.readyReplicas+w.loading)
	rate := act.history.drainSec
	if rate <= 0 {
		return have
	}
	horizon := load
	if w.target.Adapter == "" && d.earliest != 0 {
		horizon = min(horizon, max(d.earliest-in.Now, time.Second))
	}
	horizon = max(horizon, drainWindow)
	need := float64(d.waiting) / (rate * horizon.Seconds())
	return max(have, int(min(math.Ceil(need), float64(have+d.waiting))))
}

// maintained returns the replicas that a model needs without waiting requests:
// its pinned count, and a first replica of a new version while the old one
// still serves.
func (p *Planner) maintained(m *config.Model) (want, bool) {
	list := p.view.models[m.Name]
	current, old := 0, 0
	for _, r := range list {
		if !p.view.servers[r.server].usable || r.placement.Phase != state.PhaseReady && r.placement.Phase != state.PhaseLoading {
			continue
		}
		if r.placement.Version == m.Version {
			current++
		} else {
			old++
		}
	}
	need := m.PinnedReplicas
	if old > 0 && p.active(Target{Model: m.Name}) {
		need = max(need, 1)
	}
	w := modelWant(m)
	w.maxLoss = math.Inf(1)
	w.replicas = min(need-current, m.MaxReplicas-len(list))
	return w, w.replicas > 0
}

// active reports whether requests wait or run.
func (p *Planner) active(t Target) bool {
	d := p.arrivals.targets[t].demand(p.arrivals.plan)
	return d.waiting > 0 || d.running > 0
}
