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
	// demandInterval is how often a host checks what it has to report.
	demandInterval = 100 * time.Millisecond
	// demandRefresh is how often an unchanged report is repeated.
	demandRefresh = time.Second
	// demandExpiry is when the leader forgets a host that stopped reporting.
	demandExpiry = 3 * time.Second
)

// board holds the reports that this host received as the leader, and the
// predictions that it received from the leader.
type board struct {
	now func() time.Duration

	mu          sync.Mutex
	reports     map[string]peer.DemandReport
	predictions map[placement.Target]time.Duration
}

func newBoard(now func() time.Duration) *board {
	return &board{now: now, reports: map[string]peer.DemandReport{}, predictions: map[placement.Target]time.Duration{}}
}

// put stores the report of another host. A report of an older process of the
// host is ignored.
func (b *board) put(r peer.DemandReport) {
	r = r.At(b.now())
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Incarnation >= b.reports[r.Host].Incarnation {
		b.reports[r.Host] = r
	}
}

// all returns the demand of the other hosts that still report.
func (b *board) all() []placement.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []placement.Demand
	for host, r := range b.reports {
		if b.now()-r.Now > demandExpiry {
			delete(b.reports, host)
			continue
		}
		out = append(out, r.Demand...)
	}
	return out
}

// predicted replaces the predictions of the leader.
func (b *board) predicted(list []peer.Prediction) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.predictions)
	for _, p := range list {
		b.predictions[placement.Target{Model: p.Model, Adapter: p.Adapter}] = now + p.ReadyIn
	}
}

func (b *board) predict(model, adapter string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.predictions[placement.Target{Model: model, Adapter: adapter}]
	return at, ok
}

// reporter sends this host's demand to the leader: at once when the number of
// waiting requests changes, and once a second while there is any demand.
type reporter struct {
	host        string
	incarnation uint64
	now         func() time.Duration
	demand      func() []placement.Demand
	forward     *peer.Forwarder
	board       *board
	// wake asks for a report at once. It may be nil.
	wake <-chan struct{}
	// refresh is how often an unchanged report is repeated.
	refresh time.Duration

	waiting map[placement.Target]int
	sentAt  time.Duration
}

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
		r.report(ctx)
	}
}

func (r *reporter) report(ctx context.Context) {
	demand := r.demand()
	waiting := map[placement.Target]int{}
	for _, d := range demand {
		if d.Waiting > 0 {
			waiting[placement.Target{Model: d.Model, Adapter: d.Adapter}] = d.Waiting
		}
	}
	repeat := len(demand) > 0 && r.now()-r.sentAt >= r.refresh
	if !repeat && maps.Equal(waiting, r.waiting) {
		return
	}
	report := peer.DemandReport{Host: r.host, Incarnation: r.incarnation, Now: r.now(), Demand: demand}
	predictions, err := r.forward.Demand(ctx, report)
	if err != nil {
		return
	}
	r.waiting, r.sentAt = waiting, report.Now
	r.board.predicted(predictions)
}
