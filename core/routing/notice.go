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

// wanted reports whether a candidate has not said that it wants no requests from this host.
func (r *Router) wanted(now time.Duration, c *candidate) bool {
	return r.opts.Notices == nil || r.opts.Notices.Wanted(now, c.server.process())
}

// Delay returns how long a request is expected to wait until one of the servers for it wants
// requests from this host again, or this host has a permit for one. It returns false if that
// is not what the request waits for.
func (r *Router) Delay(now time.Duration, q Query) (time.Duration, bool) {
	t := r.targets[q.Key]
	if t == nil || r.opts.Notices == nil {
		return 0, false
	}
	shortest, any := time.Duration(0), false
	for _, c := range t.candidates[:min(len(t.candidates), maxScanned)] {
		p := c.server.process()
		if !r.available(now, c, q) || r.opts.Notices.Leaving(p) {
			continue
		}
		pause, limited := r.opts.Notices.UntilWanted(now, p), r.opts.Notices.Limits.Limited(p)
		if pause == 0 && !limited {
			continue
		}
		if d := max(pause, r.opts.Notices.Limits.Delay(now, p, q.waiter())); !any || d < shortest {
			shortest, any = d, true
		}
	}
	return shortest, any
}
