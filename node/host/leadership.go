package host

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// leaseCheckInterval is how often a control host checks whether it holds the lease.
const leaseCheckInterval = 20 * time.Millisecond

// leadership runs the placement planner while this host holds the lease.
type leadership struct {
	host *Host

	mu     sync.Mutex
	leader *control.Leader
}

// run creates a new leader each time this host gains the lease, so that no plan is
// carried over from an earlier term.
func (l *leadership) run(ctx context.Context) error {
	for {
		if !bootclock.Sleep(ctx, leaseCheckInterval) {
			return nil
		}
		if l.host.group.CheckLease() {
			l.runTerm(ctx)
		}
	}
}

// runTerm runs a leader until the lease is lost.
func (l *leadership) runTerm(ctx context.Context) {
	h := l.host
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leader := control.NewLeader(h.leaderClient, h.replica, control.LeaderSources{
		Servers: h.members.Servers, Demand: l.allDemand, Now: h.now, ServersChanged: h.members.serversChanged,
	}, h.sender, h.logger)
	l.setLeader(leader)
	defer l.setLeader(nil)
	h.logger.Info("this host became the leader")
	go func() {
		for h.group.CheckLease() {
			if !bootclock.Sleep(ctx, leaseCheckInterval) {
				return
			}
		}
		cancel()
	}()
	if err := leader.Run(ctx); err != nil {
		h.logger.WithError(err).Warn("planning as the leader ended with an error")
	}
	h.logger.Info("this host is no longer the leader")
}

// setLeader stores the running leader, or nil.
func (l *leadership) setLeader(leader *control.Leader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
}

// currentLeader returns the running leader, or nil.
func (l *leadership) currentLeader() *control.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// allDemand returns the demand of all hosts, including this one.
func (l *leadership) allDemand() []placement.Demand {
	return append(l.host.demandStore.unexpiredDemand(), l.host.entry.Demand()...)
}

// acceptDemandReport stores the demand report of another host and returns predictions
// for the targets that its requests wait for. It returns *control.NotLeaderError
// if this host does not lead.
func (l *leadership) acceptDemandReport(r peer.DemandReport) ([]peer.Prediction, error) {
	if l.currentLeader() == nil {
		e := &control.NotLeaderError{}
		if l.host.group != nil {
			e.Leader = l.host.group.Status().Leader
		}
		return nil, e
	}
	l.host.demandStore.storeReport(r)
	var out []peer.Prediction
	for _, d := range r.Demand {
		if at, ok := l.predictReady(d.Model, d.Adapter); ok && d.Waiting > 0 {
			out = append(out, peer.Prediction{Model: d.Model, Adapter: d.Adapter, ReadyIn: at - l.host.now()})
		}
	}
	return out, nil
}

// predictReady returns when a target will be ready, if this host leads and its
// newest plan has a prediction.
func (l *leadership) predictReady(model, adapter string) (time.Duration, bool) {
	leader := l.currentLeader()
	if leader == nil {
		return 0, false
	}
	p, ok := leader.Predict(placement.Target{Model: model, Adapter: adapter})
	return p.Median, ok && !p.Impossible
}
