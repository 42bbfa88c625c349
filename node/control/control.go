// Package control drives the replicated log and, on its leader, the planner
// and the orders to backend servers.
package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// planInterval is how often the leader plans.
const planInterval = 20 * time.Millisecond

// Log commits commands.
type Log interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Sources gives the leader its inputs.
type Sources struct {
	Servers func() []membership.Presence
	Demand  func() []placement.Demand
	Now     func() time.Duration
	// CheckLease reports whether this host holds the lease now. Nil counts as
	// always, for a log of one process.
	CheckLease func() bool
}

// Leader plans and executes orders while this host leads.
type Leader struct {
	log     Log
	replica *replica.Replica
	client  *backend.Client
	sources Sources
	sender  state.Sender
	logger  *logrus.Entry

	// planning guards the planner.
	planning sync.Mutex
	planner  *placement.Planner

	mu   sync.Mutex
	sent map[state.PlaceKey]uint64
}

// NewLeader returns a leader that identifies itself as sender.
func NewLeader(log Log, r *replica.Replica, client *backend.Client, src Sources, sender state.Sender, logger *logrus.Entry) *Leader {
	return &Leader{
		log: log, replica: r, client: client, sources: src, sender: sender,
		planner: placement.New(), logger: logger, sent: map[state.PlaceKey]uint64{},
	}
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
	servers := l.sources.Servers()
	var snapshot *state.State
	l.replica.View(func(s *state.State) { snapshot = s.ForFollowers() })
	for _, c := range Observe(snapshot, servers) {
		l.propose(ctx, c)
	}
	l.replica.View(func(s *state.State) { snapshot = s.ForFollowers() })
	in := placement.Input{
		Now: l.sources.Now(), State: snapshot, Servers: servers,
		Demand: l.sources.Demand(), Sender: l.sender, UnixMS: time.Now().UnixMilli(),
	}
	for _, d := range l.plan(in) {
		l.propose(ctx, state.Command{Load: d.Load, Unload: d.Unload})
	}
	l.replica.View(func(s *state.State) { snapshot = s.ForFollowers() })
	l.order(ctx, snapshot)
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
	return l.planner.Ready(t)
}

func (l *Leader) propose(ctx context.Context, c state.Command) {
	c.UnixMS = time.Now().UnixMilli()
	res, err := l.log.Propose(ctx, c)
	if err == nil {
		err = res.Err()
	}
	if err != nil {
		l.logger.WithError(err).Debug("proposal not applied")
	}
}

// order sends the orders of open intents that were not sent yet.
func (l *Leader) order(ctx context.Context, s *state.State) {
	for key, p := range s.Placements {
		if p.Phase != state.PhaseLoading && p.Phase != state.PhaseUnloading || !l.markSent(key, p.Fence) {
			continue
		}
		o := backend.Order{
			Kind: orderKind(key, p.Phase), Model: key.Model, Adapter: key.Adapter, Version: p.Version,
			Fence: p.Fence, Incarnation: p.Incarnation,
		}
		go l.send(ctx, key, s.Servers[key.Server].Address, p, o)
	}
}

func (l *Leader) unmarkSent(key state.PlaceKey, fence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent[key] == fence {
		delete(l.sent, key)
	}
}

func (l *Leader) markSent(key state.PlaceKey, fence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent[key] == fence {
		return false
	}
	l.sent[key] = fence
	return true
}

// send executes an intent. The intent of another sender is sent only after the
// own attempt is committed, and no order leaves without the lease. An order
// that was not sent is tried again by a later plan.
func (l *Leader) send(ctx context.Context, key state.PlaceKey, address string, p state.Placement, o backend.Order) {
	if p.Phase == state.PhaseLoading && !slices.Contains(p.LoadSenders, l.sender) && !l.attempt(ctx, key, p.Fence) {
		l.unmarkSent(key, p.Fence)
		return
	}
	if l.sources.CheckLease != nil && !l.sources.CheckLease() {
		l.unmarkSent(key, p.Fence)
		return
	}
	a, err := l.client.Order(ctx, address, o)
	if err != nil {
		l.logger.WithError(err).WithField("server", key.Server).Info("order got no answer")
		var sendErr *backend.SendError
		if errors.As(err, &sendErr) && sendErr.Delivery == backend.NotSent {
			l.unmarkSent(key, p.Fence)
		}
		return
	}
	l.propose(ctx, state.Command{Resolve: &state.Resolve{
		Server: key.Server, Model: key.Model, Adapter: key.Adapter, Fence: o.Fence,
		Sender: l.sender, Sequence: a.Sequence,
	}})
}

// attempt commits this host as a sender of an open intent.
func (l *Leader) attempt(ctx context.Context, key state.PlaceKey, fence uint64) bool {
	res, err := l.log.Propose(ctx, state.Command{UnixMS: time.Now().UnixMilli(), Attempt: &state.Attempt{
		Server: key.Server, Model: key.Model, Adapter: key.Adapter, Fence: fence, Sender: l.sender,
	}})
	return err == nil && res.Rejection == nil
}

func orderKind(key state.PlaceKey, phase state.Phase) backend.OrderKind {
	switch {
	case key.Adapter != "" && phase == state.PhaseLoading:
		return backend.LoadAdapter
	case key.Adapter != "":
		return backend.UnloadAdapter
	case phase == state.PhaseLoading:
		return backend.LoadModel
	}
	return backend.UnloadModel
}
