package host

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// revisedHoldings are the holdings of a server with the revision at which they last changed, so that
// the streams to many hosts need not compare them.
type revisedHoldings struct {
	residency.ServerHoldings
	revision uint64
}

// publishHoldings stores the holdings and wakes the streams if they have changed.
// The caller holds the lock.
func (t *leaderTerm) publishHoldings(list []residency.ServerHoldings) {
	next := make(map[string]revisedHoldings, len(list))
	changed := len(list) != len(t.holdings)
	for _, s := range list {
		r, known := t.holdings[s.Server]
		if !known || !reflect.DeepEqual(r.ServerHoldings, s) {
			r, changed = revisedHoldings{s, t.revision + 1}, true
		}
		next[s.Server] = r
	}
	if !changed {
		return
	}
	t.holdings, t.revision = next, t.revision+1
	close(t.changed)
	t.changed = make(chan struct{})
}

// streamHoldings sends the holdings of the servers while this host leads, and then
// returns *control.NotLeaderError. The first update is complete. Later ones contain
// only the servers whose holdings have changed.
func (p *placer) streamHoldings(ctx context.Context, send func(peer.HoldingsUpdate) error) error {
	p.holdingsStreams.Add(1)
	defer p.holdingsStreams.Add(-1)
	var streamed *leaderTerm
	sent := uint64(0)
	for {
		p.mu.Lock()
		t := p.term
		if t == nil {
			p.mu.Unlock()
			return &control.NotLeaderError{}
		}
		current, revision, changed := t.holdings, t.revision, t.changed
		p.mu.Unlock()
		// Revisions of two terms cannot be compared.
		complete := t != streamed
		u := peer.HoldingsUpdate{Complete: complete}
		now := p.host.now()
		for _, name := range slices.Sorted(maps.Keys(current)) {
			if s := current[name]; complete || s.revision > sent {
				u.Servers = append(u.Servers, relativeHoldings(s.ServerHoldings, now))
			}
		}
		if err := send(u); err != nil {
			return err
		}
		streamed, sent = t, revision
		if !bootclock.Sleep(ctx, p.holdingsPause()) {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.ended:
		case <-changed:
		case <-time.After(holdingsInterval):
		}
	}
}

// maxHoldingsUpdates bounds the updates of holdings a second that the leader sends to all hosts
// together, so that its work does not grow with their number while servers load adapters.
const maxHoldingsUpdates = 3000

// holdingsPause returns the shortest time between two updates to one host.
func (p *placer) holdingsPause() time.Duration {
	return time.Duration(p.holdingsStreams.Load()) * time.Second / maxHoldingsUpdates
}

// relativeHoldings converts the times in s to durations from now, since hosts do not
// share a clock.
func relativeHoldings(s residency.ServerHoldings, now time.Duration) residency.ServerHoldings {
	return shiftHoldings(s, -now)
}

// shiftHoldings returns a copy of s whose times are later by the given duration.
func shiftHoldings(s residency.ServerHoldings, by time.Duration) residency.ServerHoldings {
	s.Holdings = slices.Clone(s.Holdings)
	for i := range s.Holdings {
		s.Holdings[i].ReadyAt += by
	}
	return s
}
