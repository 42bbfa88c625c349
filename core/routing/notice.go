package routing

import (
	"fmt"
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

// Restriction is what a server says of itself that keeps a request waiting.
type Restriction struct {
	notice.Process
	// Delay is how long the request is expected to wait until the server takes it.
	Delay time.Duration
	// Paused is set if the server wants no requests from this host now. Otherwise the
	// request waits for a permit, because the server takes PerSecond requests per second
	// from all hosts together.
	Paused    bool
	PerSecond float64
}

// String describes the restriction for logs and refusals.
func (r Restriction) String() string {
	if r.Paused {
		return fmt.Sprintf("server %s wants no requests for %s", r.Server, r.Delay.Round(time.Millisecond))
	}
	return fmt.Sprintf("server %s takes %g requests per second, and a permit is expected in %s", r.Server, r.PerSecond, r.Delay.Round(time.Millisecond))
}

// Restriction returns the restriction of the server for a request that is expected to take
// it first. It returns false if the request does not wait because of what servers say of
// themselves.
func (r *Router) Restriction(now time.Duration, q Query) (Restriction, bool) {
	t := r.targets[q.Key]
	if t == nil || r.opts.Notices == nil {
		return Restriction{}, false
	}
	first, restricted := Restriction{}, false
	for _, c := range t.candidates[:min(len(t.candidates), maxScanned)] {
		if !r.available(now, c, q) {
			continue
		}
		if x, ok := r.restrictionOf(now, c, q); ok && (!restricted || x.Delay < first.Delay) {
			first, restricted = x, true
		}
	}
	return first, restricted
}

// restrictionOf returns the restriction of one candidate. A server that leaves has none,
// since waiting for it cannot help.
func (r *Router) restrictionOf(now time.Duration, c *candidate, q Query) (Restriction, bool) {
	p := c.server.process()
	pause, limited := r.opts.Notices.UntilWanted(now, p), r.opts.Notices.Limits.Limited(p)
	if r.opts.Notices.Leaving(p) || pause == 0 && !limited {
		return Restriction{}, false
	}
	permit := r.opts.Notices.Limits.Delay(now, p, q.waiter())
	return Restriction{
		Process: p, Delay: max(pause, permit), Paused: pause > permit, PerSecond: r.opts.Notices.Limits.PerSecond(p),
	}, true
}
