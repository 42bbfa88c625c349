package routing

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
)

func (s *server) process() notice.Process {
	return notice.Process{Server: s.Name, Incarnation: s.Incarnation}
}

// permitted reports whether a candidate has no limit on requests, or this host has a permit
// for it.
func (r *Router) permitted(now time.Duration, c *candidate, q Query) bool {
	return r.opts.Notices == nil || r.opts.Notices.Limits.MaySend(now, c.server.process(), q.waiter())
}

func (q Query) waiter() ratelimit.Waiter {
	return ratelimit.Waiter{Request: q.Request, Priority: q.Priority}
}

// usableAndPermitted reports whether a candidate may receive an attempt now.
func (r *Router) usableAndPermitted(now time.Duration, c *candidate, q Query) bool {
	return r.usable(now, c, q) && r.permitted(now, c, q)
}

// candidateWithPermit returns a usable candidate with a limit for which this host has a
// permit, or nil. A permit that is not used soon is lost to all hosts.
func (r *Router) candidateWithPermit(now time.Duration, t *target, q Query) *candidate {
	if r.opts.Notices == nil || !r.opts.Notices.Limits.HasLimits() {
		return nil
	}
	for _, c := range t.candidates[:min(len(t.candidates), maxScanned)] {
		if r.opts.Notices.Limits.HasPermit(now, c.server.process(), q.waiter()) && r.usable(now, c, q) && !c.demoted(now) {
			return c
		}
	}
	return nil
}

// PermitDelay returns how long a request is expected to wait until this host has a permit
// for one of the servers for a key, and false if none of the usable ones has a limit.
func (r *Router) PermitDelay(now time.Duration, q Query) (time.Duration, bool) {
	t := r.targets[q.Key]
	if t == nil || r.opts.Notices == nil || !r.opts.Notices.Limits.HasLimits() {
		return 0, false
	}
	shortest, any := time.Duration(0), false
	for _, c := range t.candidates[:min(len(t.candidates), maxScanned)] {
		if p := c.server.process(); r.usable(now, c, q) && r.opts.Notices.Limits.Limited(p) {
			if d := r.opts.Notices.Limits.Delay(now, p, q.waiter()); !any || d < shortest {
				shortest, any = d, true
			}
		}
	}
	return shortest, any
}
