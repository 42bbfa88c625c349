// Package routing chooses the backend server for one attempt and tracks attempts,
// breakers and prefix caches. It performs no I/O and reads no clock.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/pollenwheel/pollenwheel/core/notice"
)

// Key is what a request needs: a model, a model with an adapter, or a plain
// service.
type Key struct{ Service, Model, Adapter string }

// Server describes one backend server.
type Server struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	// OutOfRotation is set if the server is out of rotation: it receives no new attempts,
	// because it is leaving, is silent, announces another incarnation, or came back
	// with models that have no placement.
	OutOfRotation bool
	// TrialUntil is when the open trial of a suspect request on the server
	// expires. The server receives no other attempts until then.
	TrialUntil time.Duration
}

// Replica is one ready model, adapter or service on a server.
type Replica struct {
	Server string
	Key    Key
}

// Options configure a router.
type Options struct {
	// DataCentre is the router's own data centre, whose servers are preferred.
	DataCentre string
	// RemoteLoadThreshold is the load of the chosen local server at or above which
	// servers of other data centres are considered as well.
	RemoteLoadThreshold int
	// MaxAttemptsPerServer limits the router's own attempts in progress for one key on
	// one server; zero means no limit.
	MaxAttemptsPerServer int
	// BreakerFailures is the number of consecutive failures that opens a breaker;
	// zero means 3.
	BreakerFailures int
	// DisableDemotion disables the demotion of servers that answer slowly or with
	// errors.
	DisableDemotion bool
	// Notices holds what servers say of themselves. It may be nil.
	Notices *notice.Table
}

// Router chooses servers for attempts. It is not safe for concurrent use.
type Router struct {
	opts       Options
	rng        *rand.Rand
	servers    map[string]*server
	targets    map[Key]*target
	prefixes   map[uint64]prefixEntry
	candidates map[Replica]*candidate
	// serial is the number of the latest attempt.
	serial uint64
}

// target holds the replicas of one key.
type target struct {
	// candidates holds the candidates whose server is not out of rotation, those in
	// the router's own data centre first.
	candidates []*candidate
	// localCount is the number of candidates in the router's own data centre.
	localCount int
	// stalledCount is the number of candidates whose server is stalled.
	stalledCount int
	// outOfRotation holds the candidates whose server is out of rotation and still has
	// own attempts for the key in progress.
	outOfRotation []*candidate
	meanTime      *meanTime
}

// candidate is a replica with the router's records of its attempts and answers.
type candidate struct {
	server   *server
	breaker  breaker
	demotion demotion
	meanTime *meanTime // of the key; shared by its candidates
	// pending holds the attempts whose answer has not begun, oldest first.
	pending []pendingAttempt
	// running is the number of own attempts in progress.
	running int
}

type server struct {
	Server
	// reportedLoad is the load in the server's newest report. currentAttempts is the
	// number of own attempts in progress that began after that report;
	// previousAttempts is the number of those that began between the report before it
	// and that report. Reports lag, so neither number is assumed to be included in
	// reportedLoad.
	reportedLoad, previousAttempts, currentAttempts int
	// ended is set once the server process was found to have ended, until a newer
	// report or announcement shows that it runs.
	ended bool
	// reportEpoch is the number of load reports applied.
	reportEpoch uint32
	// sequence is the sequence number of the newest report or announcement.
	sequence uint64
	// stalled servers do not answer stall probes. They receive no new attempts.
	stalled bool
	// cacheEpoch invalidates all prefix entries of the server when it changes.
	cacheEpoch uint32
	// cacheSequence is the sequence number of the latest cache event applied.
	cacheSequence uint64
}

// load returns the load that is assumed when servers are compared.
func (s *server) load() int { return s.reportedLoad + s.previousAttempts + s.currentAttempts }

// New returns a router without servers.
func New(opts Options, rng *rand.Rand) *Router {
	if opts.BreakerFailures == 0 {
		opts.BreakerFailures = defaultBreakerFailures
	}
	return &Router{
		opts: opts, rng: rng, servers: map[string]*server{}, targets: map[Key]*target{},
		prefixes: map[uint64]prefixEntry{}, candidates: map[Replica]*candidate{},
	}
}

// Rebuild replaces the index of servers and replicas. It keeps the load, breakers
// and prefix entries of server incarnations that are still listed.
func (r *Router) Rebuild(servers []Server, replicas []Replica) {
	next := make(map[string]*server, len(servers))
	for _, s := range servers {
		old, ok := r.servers[s.Name]
		if !ok || old.Incarnation != s.Incarnation {
			old = &server{}
		}
		old.Server = s
		next[s.Name] = old
	}
	targets := make(map[Key]*target, len(r.targets))
	candidates := make(map[Replica]*candidate, len(replicas))
	for _, p := range replicas {
		s, ok := next[p.Server]
		if !ok {
			continue
		}
		c := r.candidates[p]
		if c == nil || c.server != s {
			c = &candidate{server: s, breaker: breaker{threshold: r.opts.BreakerFailures}}
		}
		candidates[p] = c
		if s.OutOfRotation && c.running == 0 {
			continue
		}
		t := targets[p.Key]
		if t == nil {
			t = &target{meanTime: &meanTime{}}
			if old := r.targets[p.Key]; old != nil {
				t.meanTime = old.meanTime
			}
			targets[p.Key] = t
		}
		c.meanTime = t.meanTime
		if s.OutOfRotation {
			t.outOfRotation = append(t.outOfRotation, c)
			continue
		}
		t.add(c, s.DataCentre == r.opts.DataCentre)
	}
	r.servers, r.targets, r.candidates = next, targets, candidates
}

func (t *target) add(c *candidate, local bool) {
	t.candidates = append(t.candidates, c)
	if c.server.stalled {
		t.stalledCount++
	}
	if !local {
		return
	}
	last := len(t.candidates) - 1
	t.candidates[t.localCount], t.candidates[last] = t.candidates[last], t.candidates[t.localCount]
	t.localCount++
}

// SetStalled records whether a server process is stalled, that is, does not answer
// stall probes. It returns true if that changed, and false for an unknown server or another
// incarnation.
func (r *Router) SetStalled(name string, incarnation uint64, stalled bool) bool {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != incarnation || s.stalled == stalled {
		return false
	}
	s.stalled = stalled
	for replica, c := range r.candidates {
		switch {
		case c.server != s || s.OutOfRotation:
		case stalled:
			r.targets[replica.Key].stalledCount++
		default:
			r.targets[replica.Key].stalledCount--
		}
	}
	return true
}

// RecordLoad applies a server's load report. A report whose sequence number is not
// higher than the last one is ignored.
func (r *Router) RecordLoad(name string, incarnation, sequence uint64, load int) {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != incarnation || sequence <= s.sequence {
		return
	}
	s.sequence, s.reportedLoad, s.ended = sequence, load, false
	s.previousAttempts, s.currentAttempts = s.currentAttempts, 0
	s.reportEpoch++
}

// RecordAnnouncement records an announcement without a load report, which shows that
// the server process runs.
func (r *Router) RecordAnnouncement(name string, incarnation, sequence uint64) {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != incarnation || sequence <= s.sequence {
		return
	}
	s.sequence, s.ended = sequence, false
}

// AvailableServers returns the number of servers for a key that are neither out of
// rotation nor stalled.
func (r *Router) AvailableServers(k Key) int {
	t := r.targets[k]
	if t == nil {
		return 0
	}
	return len(t.candidates) - t.stalledCount
}

// AttemptsOnUnavailable returns the number of own attempts in progress for a key on
// the servers that AvailableServers does not count: those out of rotation or stalled.
func (r *Router) AttemptsOnUnavailable(k Key) int {
	t := r.targets[k]
	if t == nil {
		return 0
	}
	n := 0
	for _, c := range t.outOfRotation {
		n += c.running
	}
	if t.stalledCount == 0 {
		return n
	}
	for _, c := range t.candidates {
		if c.server.stalled {
			n += c.running
		}
	}
	return n
}

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
}

// Attempt is one attempt on the chosen server. Each attempt must be ended exactly
// once, also a failed one.
type Attempt struct {
	Server      string
	Address     string
	Incarnation uint64
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
	available := !s.OutOfRotation && !s.ended && !s.stalled
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
		Server: c.server.Name, Address: c.server.Address, Incarnation: c.server.Incarnation,
		candidate: c, reportEpoch: c.server.reportEpoch, serial: r.serial, startedAt: now,
	}
}

// Result is the outcome of an attempt.
type Result int

// Results of an attempt.
const (
	// Success: the server answered.
	Success Result = iota
	// Failure: the server failed or could not be reached.
	Failure
	// Neutral: the attempt gives no information about the server's health.
	Neutral
)

// MarkEnded records that the server process of an attempt has ended, so that other
// requests are not sent to it until a newer report or announcement arrives.
func (r *Router) MarkEnded(a Attempt) { a.candidate.server.ended = true }

// EndAttempt records the end of an attempt and its result.
func (r *Router) EndAttempt(now time.Duration, a Attempt, result Result) {
	s := a.candidate.server
	switch s.reportEpoch {
	case a.reportEpoch:
		s.currentAttempts = max(0, s.currentAttempts-1)
	case a.reportEpoch + 1:
		s.previousAttempts = max(0, s.previousAttempts-1)
	default:
		s.reportedLoad = max(0, s.reportedLoad-1)
	}
	a.candidate.running--
	a.candidate.removePending(a)
	a.candidate.breaker.recordResult(now, result, r.rng)
}
