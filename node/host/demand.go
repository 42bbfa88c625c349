package host

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

const (
	// demandInterval is how often a host checks whether it has demand to report.
	demandInterval = 100 * time.Millisecond
	// demandRefreshInterval is how often an unchanged demand report is repeated.
	demandRefreshInterval = time.Second
	// demandExpiry is the age at which the leader discards the last demand report of a
	// host that stopped reporting.
	demandExpiry = 3 * time.Second
)

// demandStore holds the demand reports that this host receives while it leads,
// and the predictions that it receives from the leader.
type demandStore struct {
	now func() time.Duration

	mu          sync.Mutex
	reports     map[string]peer.DemandReport
	predictions map[placement.Target]time.Duration
}

func newDemandStore(now func() time.Duration) *demandStore {
	return &demandStore{now: now, reports: map[string]peer.DemandReport{}, predictions: map[placement.Target]time.Duration{}}
}

// storeReport stores the demand report of another host. It ignores a report of an older
// process of that host.
func (s *demandStore) storeReport(r peer.DemandReport) {
	r = r.RebaseTo(s.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Incarnation >= s.reports[r.Host].Incarnation {
		s.reports[r.Host] = r
	}
}

// unexpiredDemand returns the demand of the other hosts and discards expired
// reports.
func (s *demandStore) unexpiredDemand() []placement.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []placement.Demand
	for host, r := range s.reports {
		if s.now()-r.Now > demandExpiry {
			delete(s.reports, host)
			continue
		}
		out = append(out, r.Demand...)
	}
	return out
}

// replacePredictions replaces all predictions with those of the leader's newest
// answer.
func (s *demandStore) replacePredictions(list []peer.Prediction) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.predictions)
	for _, p := range list {
		s.predictions[placement.Target{Model: p.Model, Adapter: p.Adapter}] = now + p.ReadyIn
	}
}

// predictReady returns when a model or adapter will be ready, if the leader
// predicted it.
func (s *demandStore) predictReady(model, adapter string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.predictions[placement.Target{Model: model, Adapter: adapter}]
	return at, ok
}

// reporter sends this host's demand to the leader when the number of waiting
// requests has changed, and every refreshInterval while there is any demand.
type reporter struct {
	host         string
	incarnation  uint64
	now          func() time.Duration
	demand       func() []placement.Demand
	leaderClient *peer.Proposer
	demandStore  *demandStore
	// wake triggers a check at once, without waiting for demandInterval. It may be
	// nil.
	wake <-chan struct{}
	// refreshInterval is how often an unchanged report is repeated, and idleInterval how
	// often one without demand is, if it is not zero.
	refreshInterval, idleInterval time.Duration
	// onReply receives each reply of the leader, and when its report was sent. It may be nil.
	onReply func(sentAt time.Duration, reply peer.DemandReply)

	waiting map[placement.Target]int
	sentAt  time.Duration
}

// run sends due demand reports until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	tick := time.NewTicker(demandInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-r.wake:
		}
		r.sendReport(ctx)
	}
}

// sendReport sends a demand report if one is due. After an error the next call tries
// again.
func (r *reporter) sendReport(ctx context.Context) {
	demand := r.demand()
	waiting := map[placement.Target]int{}
	for _, d := range demand {
		if d.Waiting > 0 {
			waiting[placement.Target{Model: d.Model, Adapter: d.Adapter}] = d.Waiting
		}
	}
	interval := r.refreshInterval
	if len(demand) == 0 {
		interval = r.idleInterval
	}
	repeat := interval > 0 && r.now()-r.sentAt >= interval
	if !repeat && maps.Equal(waiting, r.waiting) {
		return
	}
	report := peer.DemandReport{Host: r.host, Incarnation: r.incarnation, Now: r.now(), Demand: demand}
	reply, err := r.leaderClient.Demand(ctx, report)
	if err != nil {
		return
	}
	if r.onReply != nil {
		r.onReply(report.Now, reply)
	}
	r.waiting, r.sentAt = waiting, report.Now
	r.demandStore.replacePredictions(reply.Predictions)
}
