// Package control drives the replicated log and, on its leader, the planner
// and the orders to backend servers.
package control

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

const (
	// planInterval is how often the leader plans while requests wait or after a
	// change.
	planInterval = 50 * time.Millisecond
	// idlePlanInterval is how often it plans otherwise.
	idlePlanInterval = 500 * time.Millisecond
	// learnInterval is how often the leader records what it has learned. What
	// is lost with a leader takes days to learn, but minutes matter little.
	learnInterval = 10 * time.Minute
)

// reportTimeout is how long a new leader waits for the reports of the
// registered backend servers.
const reportTimeout = membership.SilentAfter + time.Second

// Log commits commands.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Sources gives the leader its inputs.
type Sources struct {
	Servers func() []membership.ServerStatus
	Demand  func() []placement.Demand
	Now     func() time.Duration
	// Changed returns a channel that is closed at the next change of servers.
	Changed func() <-chan struct{}
}

// Leader plans while this host leads.
type Leader struct {
	log     Log
	replica *replica.Replica
	sources Sources
	sender  state.Sender
	logger  *logrus.Entry

	// planning guards the planner.
	planning sync.Mutex
	planner  *placement.Planner

	since   time.Duration
	settled bool

	recordedAt   time.Duration
	planned      *state.State
	plannedAt    time.Duration
	plannedAfter <-chan struct{}
}

// NewLeader returns a leader that identifies itself as sender.
func NewLeader(log Log, r *replica.Replica, src Sources, sender state.Sender, logger *logrus.Entry) *Leader {
	l := &Leader{
		log: log, replica: r, sources: src, sender: sender, logger: logger,
		planner: placement.New(), since: src.Now(), recordedAt: src.Now(),
	}
	l.restore()
	return l
}

// restore takes over what an earlier leader recorded.
func (l *Leader) restore() {
	data := l.replica.Snapshot().Learned
	if len(data) == 0 {
		return
	}
	var learned placement.Learned
	if err := json.Unmarshal(data, &learned); err != nil {
		l.logger.WithError(err).Warn("what an earlier leader learned cannot be read")
		return
	}
	l.planner.Import(learned)
}

// record keeps what the planner has learned in the replicated state.
func (l *Leader) record(ctx context.Context, in placement.Input) {
	if in.Now-l.recordedAt < learnInterval {
		return
	}
	l.recordedAt = in.Now
	l.planning.Lock()
	learned := l.planner.Export(in.Now, in.UnixMS)
	l.planning.Unlock()
	data, err := json.Marshal(learned)
	if err != nil {
		l.logger.WithError(err).Warn("what was learned cannot be recorded")
		return
	}
	propose(ctx, l.log, state.Command{StoreLearned: &state.StoreLearned{Data: data}}, l.logger)
}

// Run plans until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			l.step(ctx)
		}
	}
}

func (l *Leader) step(ctx context.Context) {
	in := placement.Input{
		Now: l.sources.Now(), UnixMS: time.Now().UnixMilli(), State: l.replica.Snapshot(),
		Servers: l.sources.Servers(), Demand: l.sources.Demand(), Sender: l.sender,
	}
	if !l.reported(in) || !l.due(in) {
		return
	}
	l.record(ctx, in)
	for _, d := range l.plan(in) {
		propose(ctx, l.log, state.Command{Load: d.Load, Unload: d.Unload}, l.logger)
	}
}

// reported tells whether every registered backend server was heard from since
// this host began to lead, or had the time for it. Before that, a plan could
// load again what a server already holds.
func (l *Leader) reported(in placement.Input) bool {
	if l.settled {
		return true
	}
	heard := map[string]bool{}
	for _, srv := range in.Servers {
		heard[srv.Name] = !srv.Silent
	}
	l.settled = true
	for name, srv := range in.State.Servers {
		l.settled = l.settled && (srv.Lost || heard[name])
	}
	l.settled = l.settled || in.Now-l.since > reportTimeout
	return l.settled
}

// due reports whether a plan could decide something new: requests wait, the
// state or a server has changed, or enough time has passed for idle models.
func (l *Leader) due(in placement.Input) bool {
	changed := in.State != l.planned
	select {
	case <-l.plannedAfter:
		changed = true
	default:
	}
	waiting := slices.ContainsFunc(in.Demand, func(d placement.Demand) bool { return d.Waiting > 0 })
	if !changed && !waiting && in.Now-l.plannedAt < idlePlanInterval {
		return false
	}
	l.planned, l.plannedAt, l.plannedAfter = in.State, in.Now, l.sources.Changed()
	return true
}

func (l *Leader) plan(in placement.Input) []placement.Decision {
	l.planning.Lock()
	defer l.planning.Unlock()
	return l.planner.Plan(in)
}

// Predict returns what the newest plan says about a target that is waited for.
func (l *Leader) Predict(t placement.Target) (placement.Prediction, bool) {
	l.planning.Lock()
	defer l.planning.Unlock()
	return l.planner.PredictionFor(t)
}
