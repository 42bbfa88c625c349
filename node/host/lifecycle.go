package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/node/peer"
)

const (
	// syncInterval is how often a starting host checks its membership table.
	syncInterval = 50 * time.Millisecond
	// transferTimeout bounds a transfer of leadership. If it fails, the other
	// members elect a leader once this host is gone.
	transferTimeout = 5 * time.Second
)

// caughtUp blocks until the membership table was compared with those of the
// other hosts and the replica is as new as a majority's. It returns false if ctx
// ended before.
func caughtUp(ctx context.Context, m *members, f *peer.Follower) bool {
	for !m.synced() {
		if !sleep(ctx, syncInterval) {
			return false
		}
	}
	return f.WaitCurrent(ctx) == nil
}

// becomeReady publishes this host once it has caught up.
func (h *Host) becomeReady(ctx context.Context) error {
	if !caughtUp(ctx, h.members, h.follower) {
		return nil
	}
	h.entry.Refresh()
	h.ready.Store(true)
	h.members.setReady(true)
	h.logger.Info("ready")
	<-ctx.Done()
	return nil
}

// beginLeave starts the departure. Further calls have no effect.
func (h *Host) beginLeave() { h.leftOnce.Do(func() { close(h.leave) }) }

// depart waits for the end of ctx or a drain, and then leaves: the host drops
// out of the address list, hands over leadership, serves for as long as callers
// keep the list, and ends once its requests have ended. It returns at once
// when another part of the process ended.
func (h *Host) depart(ctx, running context.Context) error {
	if !awaitLeave(ctx, running, h.leave) {
		return nil
	}
	h.leaving.Store(true)
	h.members.leave()
	h.logger.Info("leaving: no longer in the address list")
	h.transfer(running)
	if !sleep(running, h.settings.AddressKeep) {
		return nil
	}
	// An error means that another part of the process ended, which is reported.
	_ = h.entry.Drain(running)
	h.transfer(running)
	h.logger.Info("leaving: all requests have ended")
	return nil
}

// awaitLeave waits for the end of ctx or a drain. It returns false if another
// part of the process ended before.
func awaitLeave(ctx, running context.Context, leave <-chan struct{}) bool {
	select {
	case <-running.Done():
		return false
	case <-ctx.Done():
	case <-leave:
	}
	return true
}

// transfer hands over leadership, if this host leads.
func (h *Host) transfer(ctx context.Context) {
	if h.group != nil {
		transferLeader(ctx, h.group, h.settings.Host, transferTimeout, h.logger)
	}
}

// transferLeader hands over leadership, if the host named self leads.
func transferLeader(ctx context.Context, g group, self string, timeout time.Duration, logger *logrus.Entry) {
	if g.Status().Leader != self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := g.TransferLeader(ctx); err != nil {
		logger.WithError(err).Warn("leadership was not handed over")
	}
}

// sleep waits for d and reports whether ctx is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
