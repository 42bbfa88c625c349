// Package control runs a member of the replicated log and, on the leader, the
// placement planner and the orders to backend servers.
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
	// idlePlanInterval is how often the leader plans otherwise.
	idlePlanInterval = 500 * time.Millisecond
	// learnInterval is how often the leader records the statistics it has learned.
	// They take days to collect and would be lost with the leader. Losing those of
	// the last few minutes matters little.
	learnInterval = 10 * time.Minute
)

// announcementTimeout is how long a new leader waits for the announcements of the
// registered backend servers.
const announcementTimeout = membership.SilentAfter + time.Second

// Log is a replicated log that commits commands.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// LeaderSources provides the inputs of the leader.
type LeaderSources struct {
	Servers func() []membership.ServerStatus
	Demand  func() []placement.Demand
	Now     func() time.Duration
	// ServersChanged returns a channel that is closed at the next change of servers.
	ServersChanged func() <-chan struct{}
}

// Leader plans placements while this host leads.
type Leader struct {
	log     Log
	replica *replica.Replica
	sources LeaderSources
	sender  state.HostProcess
	logger  *logrus.Entry

	// plannerMu guards the planner.
	plannerMu sync.Mutex
	planner   *placement.Planner

	// startedAt is when this host became the leader.
	startedAt        time.Duration
	serversAnnounced bool

	learnedRecordedAt       time.Duration
	plannedState            *state.State
	plannedAt               time.Duration
	serversChangedAfterPlan <-chan struct{}
}

// NewLeader returns a leader whose orders carry sender.
func NewLeader(log Log, r *replica.Replica, sources LeaderSources, sender state.HostProcess, logger *logrus.Entry) *Leader {
	l := &Leader{
		log: log, replica: r, sources: sources, sender: sender, logger: logger,
		planner: placement.New(), startedAt: sources.Now(), learnedRecordedAt: sources.Now(),
	}
	l.importLearned()
	return l
}

// importLearned imports the statistics that an earlier leader recorded.
func (l *Leader) importLearned() {
	data := l.replica.Snapshot().Learned
	if len(data) == 0 {
		return
	}
	var learned placement.Learned
	if err := json.Unmarshal(data, &learned); err != nil {
		l.logger.WithError(err).Warn("cannot decode the statistics recorded by an earlier leader")
		return
	}
	l.planner.Import(learned)
}

// recordLearned stores the planner's learned statistics in the replicated state,
// at most once in learnInterval.
func (l *Leader) recordLearned(ctx context.Context, in placement.Input) {
	if in.Now-l.learnedRecordedAt < learnInterval {
		return
	}
	l.learnedRecordedAt = in.Now
	l.plannerMu.Lock()
	learned := l.planner.Export(in.Now, in.UnixMS)
	l.plannerMu.Unlock()
	data, err := json.Marshal(learned)
	if err != nil {
		l.logger.WithError(err).Warn("cannot encode the learned statistics")
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

// step plans once, if a plan is due, and proposes the decisions.
func (l *Leader) step(ctx context.Context) {
	in := placement.Input{
		Now: l.sources.Now(), UnixMS: time.Now().UnixMilli(), State: l.replica.Snapshot(),
		Servers: l.sources.Servers(), Demand: l.sources.Demand(), Sender: l.sender,
	}
	if !l.allServersAnnounced(in) || !l.planDue(in) {
		return
	}
	l.recordLearned(ctx, in)
	for _, d := range l.plan(in) {
		propose(ctx, l.log, state.Command{Load: d.Load, Unload: d.Unload}, l.logger)
	}
}

// allServersAnnounced reports whether every registered backend server that is not lost
// is known by its announcements and is not silent, or announcementTimeout has passed
// since this host became the leader. Once true, it stays true. An earlier plan could
// load a model again that a server already holds.
func (l *Leader) allServersAnnounced(in placement.Input) bool {
	if l.serversAnnounced {
		return true
	}
	announcing := map[string]bool{}
	for _, srv := range in.Servers {
		announcing[srv.Name] = !srv.Silent
	}
	l.serversAnnounced = true
	for name, srv := range in.State.Servers {
		l.serversAnnounced = l.serversAnnounced && (srv.Lost || announcing[name])
	}
	l.serversAnnounced = l.serversAnnounced || in.Now-l.startedAt > announcementTimeout
	return l.serversAnnounced
}

// planDue reports whether a new plan may differ from the last one: requests are
// waiting, the state or a server has changed, or idlePlanInterval has passed, after
// which idle models are considered again.
func (l *Leader) planDue(in placement.Input) bool {
	changed := in.State != l.plannedState
	select {
	case <-l.serversChangedAfterPlan:
		changed = true
	default:
	}
	waiting := slices.ContainsFunc(in.Demand, func(d placement.Demand) bool { return d.Waiting > 0 })
	if !changed && !waiting && in.Now-l.plannedAt < idlePlanInterval {
		return false
	}
	l.plannedState, l.plannedAt, l.serversChangedAfterPlan = in.State, in.Now, l.sources.ServersChanged()
	return true
}

// plan runs the planner once.
func (l *Leader) plan(in placement.Input) []placement.Decision {
	l.plannerMu.Lock()
	defer l.plannerMu.Unlock()
	return l.planner.Plan(in)
}

// Predict returns the newest plan's prediction for a target that requests wait for.
func (l *Leader) Predict(t placement.Target) (placement.Prediction, bool) {
	l.plannerMu.Lock()
	defer l.plannerMu.Unlock()
	return l.planner.PredictionFor(t)
}
