package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/node/bootclock"
)

const (
	// statusInterval is how often a follower asks a control host for the index that it has
	// applied, in case the leader does not tell it.
	statusInterval = 2 * time.Second
	// lagCheckInterval is how often a follower checks whether it is behind.
	lagCheckInterval = 100 * time.Millisecond
)

var errHostBehind = errors.New("committed entries do not arrive from the followed control host")

// RecordCommitted records that the leader at address has applied the log up to index.
func (f *Follower) RecordCommitted(index uint64, address string) {
	f.mu.Lock()
	f.leaderAddress = address
	f.mu.Unlock()
	f.recordCommitted(index)
}

// recordCommitted compares an index that is known to be committed with what is applied.
func (f *Follower) recordCommitted(index uint64) {
	applied := f.appliedIndex()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.RecordApplied(f.now(), applied)
	f.monitor.RecordCommitted(f.now(), index)
}

// Behind returns the number of entries that are known to be committed and not applied here.
func (f *Follower) Behind() uint64 {
	applied := f.appliedIndex()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.RecordApplied(f.now(), applied)
	return f.monitor.Behind()
}

// nextControlHost returns the address of the control host to follow after the one at the
// address except. A follower that is behind prefers the leader, which has certainly applied
// what is missing.
func (f *Follower) nextControlHost(except string) string {
	behind := f.Behind()
	f.mu.Lock()
	leader := f.leaderAddress
	f.mu.Unlock()
	if behind > 0 && leader != "" && leader != except {
		return leader
	}
	return f.pickControlHost(except)
}

// recordSwitch records and logs that the host at address is followed from now on.
func (f *Follower) recordSwitch(address string) {
	behind := f.Behind()
	f.mu.Lock()
	f.monitor.RecordSwitch(f.now())
	f.mu.Unlock()
	f.logger.WithFields(logrus.Fields{"peer": address, "index": f.appliedIndex(), "behind": behind}).Info("following a control host")
}

// watchLag cancels a stream with errHostBehind when entries that are known to be committed
// do not arrive. The followed host may wait for its disk, be cut off from the others, or send
// over a connection that has gone silent. While bytes of an update arrive or one is applied,
// neither the lag nor timeout ends the stream.
func (f *Follower) watchLag(ctx context.Context, cancel context.CancelCauseFunc, received *atomic.Int64, timeout *time.Timer) {
	last := received.Load()
	for bootclock.Sleep(ctx, lagCheckInterval) {
		now := received.Load()
		if now-last >= minProgressBytes || f.applying.Load() {
			timeout.Reset(followTimeout)
			f.recordProgress()
		}
		last = now
		if f.switchDue() {
			cancel(errHostBehind)
			return
		}
	}
}

// recordProgress records that an update is arriving.
func (f *Follower) recordProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.RecordProgress(f.now())
}

// switchDue reports whether another control host should be followed.
func (f *Follower) switchDue() bool {
	applied := f.appliedIndex()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.monitor.RecordApplied(f.now(), applied)
	return f.monitor.SwitchDue(f.now())
}

// pollStatus asks a random control host for its applied index every statusInterval.
func (f *Follower) pollStatus(ctx context.Context) {
	for bootclock.Sleep(ctx, statusInterval) {
		address := f.pickControlHost("")
		if address == "" {
			continue
		}
		// An error shows nothing about the log. The next poll asks another host.
		if status, err := f.client.Status(ctx, address); err == nil {
			f.recordCommitted(status.AppliedIndex)
		}
	}
}
