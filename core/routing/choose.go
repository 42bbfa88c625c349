package routing

import (
	"time"
)

// Query describes one attempt.
type Query struct {
	Key Key
	// Prefix is the hash of the beginning of the prompt; zero means no prefix.
	Prefix uint64
	// Exclude is the name of the server on which the request has just failed.
	Exclude string
	// Request identifies the request among those of this host that want a permit for a
	// server with a limit, and Priority is its priority among them; zero is the most urgent.
	Request  uint64
	Priority int
	// AllowsVersion reports whether servers of a software version may receive the attempt.
	// Nil means any.
	AllowsVersion func(version string) bool
}

// Attempt is one attempt on the chosen server. Each attempt must be ended exactly
// once, also a failed one.
type Attempt struct {
	Server      string
	Address     string
	Incarnation uint64
	// SoftwareVersion is that of the server.
	SoftwareVersion string

	candidate   *candidate
	reportEpoch uint32
	serial      uint64
	startedAt   time.Duration
}

// affinityFactor and affinitySlack limit the load of a server that has the prefix
// cached: it is chosen if its load is at most affinityFactor times the load of the
// server chosen without the prefix, plus affinitySlack.
const (
	affinityFactor = 1.25
	affinitySlack  = 2
)

const (
	// maxSamples is the number of random candidates that are tried before a scan.
	maxSamples = 4
	// maxScanned is the maximum number of candidates scanned. It keeps a decision
	// below 2 us while most servers of a large fleet are unusable. A request for which
	// no server is found is retried shortly afterwards.
	maxScanned = 128
)

// Pick chooses a server for an attempt: one that has the prefix cached and whose
// load is within the affinity limit, else the less loaded of two random servers. If the
// choice has a limit and this host has no permit for it, the request is recorded as wanting
// one, and another server is chosen.
// It returns false if no server may receive the attempt.
func (r *Router) Pick(now time.Duration, q Query) (Attempt, bool) {
	t := r.targets[q.Key]
	if t == nil {
		return Attempt{}, false
	}
	best := r.candidateWithPermit(now, t, q)
	if best == nil {
		best = r.choose(now, t, q, r.usable)
	}
	if best != nil && !r.permitted(now, best, q) {
		wanted := best
		best = r.choose(now, t, q, r.usableAndPermitted)
		r.opts.Notices.Limits.Want(now, wanted.server.process(), q.waiter(), best == nil)
	}
	if best == nil {
		return Attempt{}, false
	}
	return r.startAttempt(now, best, q.Request), true
}

// choose returns the preferred one of the candidates of a target that are eligible, or nil.
func (r *Router) choose(now time.Duration, t *target, q Query, eligible eligibility) *candidate {
	best := r.sample(now, t.candidates[:t.localCount], q, eligible)
	if best == nil || best.server.load() >= r.opts.RemoteLoadThreshold || best.demoted(now) {
		remote := r.sample(now, t.candidates[t.localCount:], q, eligible)
		if best == nil || remote != nil && remote.preferredToLocal(now, best) {
			best = remote
		}
	}
	if best == nil {
		return nil
	}
	if c := r.cachedCandidate(now, q); c != nil && !c.demoted(now) && eligible(now, c, q) &&
		c.server.load() <= int(affinityFactor*float64(best.server.load()))+affinitySlack {
		best = c
	}
	return best
}

// preferredToLocal reports whether a server of another data centre is preferred to a
// local one: if only the local one is demoted, or if neither is and the load of the
// local one is more than twice that of the other.
func (c *candidate) preferredToLocal(now time.Duration, local *candidate) bool {
	if c.demoted(now) != local.demoted(now) {
		return local.demoted(now)
	}
	return 2*c.server.load() < local.server.load() && !local.demoted(now)
}

// preferredTo reports whether a server is preferred to another one, where both are
// local or both are in other data centres.
func (c *candidate) preferredTo(now time.Duration, other *candidate) bool {
	if c.demoted(now) != other.demoted(now) {
		return other.demoted(now)
	}
	return c.server.load() < other.server.load()
}

// sample returns the preferred one of two random usable candidates. If it finds only
// one usable candidate it returns that one, and if it finds none, nil.
func (r *Router) sample(now time.Duration, list []*candidate, q Query, eligible eligibility) *candidate {
	if len(list) == 0 {
		return nil
	}
	var first *candidate
	for range maxSamples {
		c := list[r.rng.IntN(len(list))]
		if c == first || !eligible(now, c, q) {
			continue
		}
		if first == nil {
			first = c
			continue
		}
		if c.preferredTo(now, first) {
			return c
		}
		return first
	}
	if first != nil {
		return first
	}
	start := r.rng.IntN(len(list))
	for i := range min(len(list), maxScanned) {
		if c := list[(start+i)%len(list)]; eligible(now, c, q) {
			return c
		}
	}
	return nil
}

// eligibility reports whether a candidate may be chosen for a request.
type eligibility func(now time.Duration, c *candidate, q Query) bool

// usable reports whether a candidate may receive an attempt now, if it has no limit or this
// host has a permit. A server that says that it wants no requests is not usable.
func (r *Router) usable(now time.Duration, c *candidate, q Query) bool {
	return r.available(now, c, q) && r.wanted(now, c)
}

// available reports whether a candidate may receive an attempt now, whatever it says of
// itself.
func (r *Router) available(now time.Duration, c *candidate, q Query) bool {
	s := c.server
	atLimit := r.opts.MaxAttemptsPerServer > 0 && c.running >= r.opts.MaxAttemptsPerServer
	available := !s.OutOfRotation && !s.ended && !s.stalled && (q.AllowsVersion == nil || q.AllowsVersion(s.SoftwareVersion))
	return available && !atLimit && now >= s.TrialUntil && s.Name != q.Exclude && c.breaker.allows(now)
}

func (r *Router) startAttempt(now time.Duration, c *candidate, request uint64) Attempt {
	if r.opts.Notices != nil {
		r.opts.Notices.Take(now, c.server.process(), request)
	}
	c.server.currentAttempts++
	c.running++
	c.breaker.recordAttempt(now)
	c.demotion.recordAttempt(now)
	r.serial++
	if !r.opts.DisableDemotion {
		c.pending = append(c.pending, pendingAttempt{r.serial, now})
	}
	return Attempt{
		Server: c.server.Name, Address: c.server.Address, Incarnation: c.server.Incarnation, SoftwareVersion: c.server.SoftwareVersion,
		candidate: c, reportEpoch: c.server.reportEpoch, serial: r.serial, startedAt: now,
	}
}
