package routing

import "time"

// PickLeastLoaded begins an attempt on the least loaded usable server for a request that is
// not excluded. It is used for the trial of a suspect request, and returns false if no
// server is usable.
func (r *Router) PickLeastLoaded(now time.Duration, q Query, excluded func(server string) bool) (Attempt, bool) {
	t := r.targets[q.Key]
	if t == nil {
		return Attempt{}, false
	}
	best := r.leastLoaded(now, t, q, excluded, r.usableAndPermitted)
	if best != nil {
		return r.startAttempt(now, best, q.Request), true
	}
	if wanted := r.leastLoaded(now, t, q, excluded, r.usable); wanted != nil {
		r.opts.Notices.Limits.Want(now, wanted.server.process(), q.waiter(), true)
	}
	return Attempt{}, false
}

// leastLoaded returns the least loaded of the candidates of a target that are eligible and
// not excluded, or nil.
func (r *Router) leastLoaded(now time.Duration, t *target, q Query, excluded func(server string) bool, eligible eligibility) *candidate {
	var best *candidate
	for _, c := range t.candidates {
		if eligible(now, c, Query{Request: q.Request, Priority: q.Priority, AllowsVersion: q.AllowsVersion}) && !excluded(c.server.Name) && (best == nil || c.server.load() < best.server.load()) {
			best = c
		}
	}
	return best
}
