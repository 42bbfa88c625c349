package host

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// publishHoldings stores the holdings and wakes the streams if they have changed.
// The caller holds the lock.
func (t *leaderTerm) publishHoldings(list []residency.ServerHoldings) {
	next := make(map[string]residency.ServerHoldings, len(list))
	for _, s := range list {
		next[s.Server] = s
	}
	if reflect.DeepEqual(next, t.holdings) {
		return
	}
	t.holdings = next
	close(t.changed)
	t.changed = make(chan struct{})
}

// streamHoldings sends the holdings of the servers while this host leads, and then
// returns *control.NotLeaderError. The first update is complete. Later ones contain
// only the servers whose holdings have changed.
func (p *placer) streamHoldings(ctx context.Context, send func(peer.HoldingsUpdate) error) error {
	sent := map[string]residency.ServerHoldings{}
	complete := true
	for {
		p.mu.Lock()
		t := p.term
		if t == nil {
			p.mu.Unlock()
			return &control.NotLeaderError{}
		}
		current, changed := t.holdings, t.changed
		p.mu.Unlock()
		u := peer.HoldingsUpdate{Complete: complete}
		now := p.host.now()
		for _, name := range slices.Sorted(maps.Keys(current)) {
			if complete || !reflect.DeepEqual(sent[name], current[name]) {
				u.Servers = append(u.Servers, relativeHoldings(current[name], now))
			}
		}
		if err := send(u); err != nil {
			return err
		}
		sent, complete = current, false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.ended:
		case <-changed:
		case <-time.After(holdingsInterval):
		}
	}
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
