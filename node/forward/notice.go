package forward

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

func processOf(a routing.Attempt) notice.Process {
	return notice.Process{Server: a.Server, Incarnation: a.Incarnation}
}

// recordSent counts an attempt that is sent now, and returns the time. If its server has a
// limit, it is logged, so that the log shows which requests the limit was used for.
func (f *Forwarder) recordSent(c *call, attempt routing.Attempt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	p := processOf(attempt)
	f.notices.RecordSent(now, p)
	if f.notices.Limits.Limited(p) {
		c.logEvent(decision.EventSent, decision.Fields{
			decision.FieldServer: attempt.Server, decision.FieldSent: f.notices.SentLately(now, p),
			decision.FieldAttempt: c.exchange.ReachedServers() + 1, decision.FieldOtherReplicas: f.router.AvailableServers(c.key) - 1,
		})
	}
	return now
}

// recordNotice records what the answer to a request that was sent at sentAt says of the
// server, and logs what changed.
func (f *Forwarder) recordNotice(c *call, attempt routing.Attempt, sentAt time.Duration, n notice.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	changes := f.notices.Record(now, sentAt, processOf(attempt), n)
	f.logNotices(now, changes, c.request.ID)
	f.permits.NotifyLocked()
	for _, change := range changes {
		if change.Kind == notice.KindLeaving && f.opts.OnLeaving != nil {
			go f.opts.OnLeaving(change.Process)
		}
	}
}

// wanted reports whether the server of an attempt has not said that it wants no requests.
func (f *Forwarder) wanted(attempt routing.Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices.Wanted(f.opts.Now(), processOf(attempt))
}

// Notices returns what servers say of themselves, as this host knows it.
func (f *Forwarder) Notices() []notice.Statement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices.Statements(f.opts.Now())
}

// RestrictedRefusals returns the number of requests that were refused because of what
// servers say of themselves.
func (f *Forwarder) RestrictedRefusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notices.Refusals()
}

// refuseRestricted ends a request that waits for a server which takes it too late.
func (c *call) refuseRestricted(retryAfter time.Duration) {
	c.forwarder.recordRestrictedRefusal(c.restriction.Process)
	c.endWithoutServer(retryAfter, c.restriction.String())
}

func (f *Forwarder) recordRestrictedRefusal(p notice.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices.RecordRefusal(f.opts.Now(), p)
}

// releaseWant records that a request no longer waits for a permit.
func (f *Forwarder) releaseWant(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices.Limits.Release(c.serial)
}

// permitsApplied handles a reply of the leader: limits that other hosts were told, and new
// permits. f.mu must be held.
func (f *Forwarder) permitsApplied(changes []notice.Change, granted bool) {
	f.logNotices(f.opts.Now(), changes, "leader")
	if granted || len(changes) > 0 {
		f.wakeWaiting()
	}
}

// logNotices logs changes of what servers say of themselves. source is the request whose
// answer says so, or the host that told it. f.mu must be held.
func (f *Forwarder) logNotices(now time.Duration, changes []notice.Change, source string) {
	for _, change := range changes {
		fields := decision.NoticeFields(change)
		fields[decision.FieldSource], fields[decision.FieldSent] = source, f.notices.SentLately(now, change.Process)
		f.opts.Decisions.RecordStateChange(decision.EventNotice, fields)
	}
}
