package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

const (
	// syncInterval is how often a starting host checks whether its membership table
	// has been synchronised.
	syncInterval = 50 * time.Millisecond
	// transferTimeout bounds a transfer of leadership. If the transfer fails, the
	// other members elect a leader after this process has ended.
	transferTimeout = 5 * time.Second
)

// waitCaughtUp blocks until the membership table has been compared with those of
// other hosts and the replica is as up to date as a majority. It returns false if
// ctx ends first.
func waitCaughtUp(ctx context.Context, m *members, f *peer.Follower) bool {
	for !m.synced() {
		if !bootclock.Sleep(ctx, syncInterval) {
			return false
		}
	}
	return f.WaitCaughtUp(ctx) == nil
}

// becomeReady marks this host as ready once it has caught up, which adds it to the
// address list.
func (h *Host) becomeReady(ctx context.Context) error {
	if !waitCaughtUp(ctx, h.members, h.follower) {
		return nil
	}
	h.entry.Refresh()
	h.ready.Store(true)
	h.members.setReady(true)
	h.logger.Info("ready")
	<-ctx.Done()
	return nil
}

// beginDeparture starts the departure of this host. Further calls have no effect.
func (h *Host) beginDeparture() { h.leaveOnce.Do(func() { close(h.leaveRequested) }) }

// runDeparture waits until ctx ends or a drain is requested, and then leaves. The
// host is removed from the address list and transfers its leadership. It serves
// for as long as callers keep the list, and returns once its requests have ended.
// running ends when another component of the process ends; runDeparture then
// returns at once.
func (h *Host) runDeparture(ctx, running context.Context) error {
	if !waitDepartureStart(ctx, running, h.leaveRequested) {
		return nil
	}
	h.leaving.Store(true)
	h.members.leave()
	h.logger.Info("leaving: this host was removed from the address list")
	h.transferLeader(running)
	if !bootclock.Sleep(running, h.settings.AddressListTTL) {
		return nil
	}
	// An error means that another component of the process ended, which Run reports.
	_ = h.entry.Drain(running)
	h.transferLeader(running)
	h.logger.Info("leaving: all requests in progress have ended")
	return nil
}

// waitDepartureStart waits until ctx ends or a drain is requested. It returns false if
// running ends first, that is, if another component of the process has ended.
func waitDepartureStart(ctx, running context.Context, leave <-chan struct{}) bool {
	select {
	case <-running.Done():
		return false
	case <-ctx.Done():
	case <-leave:
	}
	return true
}

// transferLeader transfers leadership to another host, if this host leads.
func (h *Host) transferLeader(ctx context.Context) {
	if h.group != nil {
		transferLeader(ctx, h.group, h.settings.Host, transferTimeout, h.logger)
	}
}

// transferLeader transfers leadership to another host, if the host named self
// leads.
func transferLeader(ctx context.Context, g group, self string, timeout time.Duration, logger *logrus.Entry) {
	if g.Status().Leader != self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := g.TransferLeader(ctx); err != nil {
		logger.WithError(err).Warn("leadership was not transferred to another host")
	}
}
