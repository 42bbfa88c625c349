package host

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// leaseInterval is how often a control host checks whether it leads.
const leaseInterval = 20 * time.Millisecond

// lead runs the planner and the orders while this host holds the lease.
type lead struct {
	host *Host

	mu     sync.Mutex
	leader *control.Leader
}

// run starts a new leader each time the lease is gained, so that no plan is
// carried over from an earlier term.
func (l *lead) run(ctx context.Context) error {
	for {
		if !sleep(ctx, leaseInterval) {
			return nil
		}
		if l.host.group.CheckLease() {
			l.term(ctx)
		}
	}
}

// term plans until the lease is lost.
func (l *lead) term(ctx context.Context) {
	h := l.host
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leader := control.NewLeader(h.forward, h.replica, control.Sources{
		Servers: h.members.Servers, Demand: l.allDemand, Now: h.now, Changed: h.members.serversChanged,
	}, h.sender, h.logger)
	l.set(leader)
	defer l.set(nil)
	h.logger.Info("leading")
	go func() {
		for h.group.CheckLease() {
			if !sleep(ctx, leaseInterval) {
				return
			}
		}
		cancel()
	}()
	if err := leader.Run(ctx); err != nil {
		h.logger.WithError(err).Warn("the leader's work ended")
	}
	h.logger.Info("no longer leading")
}

func (l *lead) set(leader *control.Leader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
}

func (l *lead) current() *control.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

func (l *lead) allDemand() []placement.Demand {
	return append(l.host.board.all(), l.host.entry.Demand()...)
}

// demand takes the report of another host.
func (l *lead) demand(r peer.DemandReport) ([]peer.Prediction, error) {
	if l.current() == nil {
		e := &control.NotLeaderError{}
		if l.host.group != nil {
			e.Leader = l.host.group.Status().Leader
		}
		return nil, e
	}
	l.host.board.put(r)
	var out []peer.Prediction
	for _, d := range r.Demand {
		if at, ok := l.predict(d.Model, d.Adapter); ok && d.Waiting > 0 {
			out = append(out, peer.Prediction{Model: d.Model, Adapter: d.Adapter, ReadyIn: at - l.host.now()})
		}
	}
	return out, nil
}

// predict returns when a target will be ready, if this host leads and its
// newest plan says so.
func (l *lead) predict(model, adapter string) (time.Duration, bool) {
	leader := l.current()
	if leader == nil {
		return 0, false
	}
	p, ok := leader.Predict(placement.Target{Model: model, Adapter: adapter})
	return p.Median, ok && !p.Impossible
}
