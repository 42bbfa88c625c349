// Package routing chooses the backend server for one attempt and keeps the
// bookkeeping of attempts, breakers and prefix caches. It performs no I/O and
// reads no clock.
package routing

import (
	"math/rand/v2"
	"time"
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
	// Closed servers receive no new work: they leave, are silent or returned
	// with models that no placement accounts for.
	Closed bool
	// TrialUntil is when an open trial of a suspect on the server expires. The
	// server receives no other work until then.
	TrialUntil time.Duration
}

// Replica is one ready model, adapter or service on a server.
type Replica struct {
	Server string
	Key    Key
}

// Options configure a router.
type Options struct {
	// DataCentre is preferred.
	DataCentre string
	// Spill is the load above which a server of another data centre is
	// considered as well.
	Spill int
	// PerServer bounds own attempts in progress for one key on one server; zero
	// means no bound.
	PerServer int
	// BreakerFailures is how many consecutive failures open a breaker; zero
	// means 3.
	BreakerFailures int
	// IgnorePace sends work to servers that answer slowly or with errors as to
	// any other.
	IgnorePace bool
}

// Router is not safe for concurrent use.
type Router struct {
	opts     Options
	rng      *rand.Rand
	servers  map[string]*server
	targets  map[Key]*target
	prefixes map[uint64]prefixEntry
	places   map[Replica]*candidate
	// serial numbers the attempts.
	serial uint64
}

// target holds the candidates of one key whose server is not closed; those in
// the own data centre first.
type target struct {
	candidates []*candidate
	local      int
	// stalled counts the candidates whose server is stalled.
	stalled int
	// lost are the candidates with own attempts on closed servers.
	lost    []*candidate
	typical *typical
}

type candidate struct {
	server  *server
	breaker breaker
	pace    pace
	typical *typical
	// waits are the attempts whose answer has not begun, oldest first.
	waits []wait
	// running counts own attempts in progress.
	running int
}

type server struct {
	Server
	// reported is the server's own figure. current and previous count own
	// attempts that began after the newest report and after the one before it;
	// because reports lag, neither is taken to be part of reported.
	reported, previous, current int
	// ended is set when the process was found to have ended, until a newer
	// report shows that it runs.
	ended    bool
	epoch    uint32
	sequence uint64
	// stalled servers do not answer probes. They receive no new work.
	stalled bool
	// cacheEpoch invalidates all prefix entries of the server when it changes.
	cacheEpoch    uint32
	cacheSequence uint64
}

func (s *server) load() int { return s.reported + s.previous + s.current }

// New returns a router without servers.
func New(opts Options, rng *rand.Rand) *Router {
	if opts.BreakerFailures == 0 {
		opts.BreakerFailures = breakerFailures
	}
	return &Router{
		opts: opts, rng: rng, servers: map[string]*server{}, targets: map[Key]*target{},
		prefixes: map[uint64]prefixEntry{}, places: map[Replica]*candidate{},
	}
}

// Rebuild replaces the index of servers and replicas. Load, breakers and
// prefix entries of server incarnations that remain are kept.
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
	places := make(map[Replica]*candidate, len(replicas))
	for _, p := range replicas {
		s, ok := next[p.Server]
		if !ok {
			continue
		}
		c := r.places[p]
		if c == nil || c.server != s {
			c = &candidate{server: s, breaker: breaker{after: r.opts.BreakerFailures}}
		}
		places[p] = c
		if s.Closed && c.running == 0 {
			continue
		}
		t := targets[p.Key]
		if t == nil {
			t = &target{typical: &typical{}}
			if old := r.targets[p.Key]; old != nil {
				t.typical = old.typical
			}
			targets[p.Key] = t
		}
		c.typical = t.typical
		if s.Closed {
			t.lost = append(t.lost, c)
			continue
		}
		t.add(c, s.DataCentre == r.opts.DataCentre)
	}
	r.servers, r.targets, r.places = next, targets, places
}

func (t *target) add(c *candidate, local bool) {
	t.candidates = append(t.candidates, c)
	if c.server.stalled {
		t.stalled++
	}
	if !local {
		return
	}
	last := len(t.candidates) - 1
	t.candidates[t.local], t.candidates[last] = t.candidates[last], t.candidates[t.local]
	t.local++
}

// SetStalled records whether a server process answers probes. It reports
// whether that changed.
func (r *Router) SetStalled(name string, incarnation uint64, stalled bool) bool {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != incarnation || s.stalled == stalled {
		return false
	}
	s.stalled = stalled
	for place, c := range r.places {
		switch {
		case c.server != s || s.Closed:
		case stalled:
			r.targets[place.Key].stalled++
		default:
			r.targets[place.Key].stalled--
		}
	}
	return true
}

// Report merges a server's load report. Reports of an older sequence are
// ignored.
func (r *Router) Report(name string, incarnation, sequence uint64, load int) {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != incarnation || sequence <= s.sequence {
		return
	}
	s.sequence, s.reported, s.ended = sequence, load, false
	s.previous, s.current = s.current, 0
	s.epoch++
}

// Seen records an announcement that carries no load report: it shows that the
// server process runs.
func (r *Router) Seen(name string, incarnation, sequence uint64) {
	s, ok := r.servers[name]
	if !ok || s.Incarnation != incarnation || sequence <= s.sequence {
		return
	}
	s.sequence, s.ended = sequence, false
}

// Count returns the number of servers for a key that are open and not stalled.
func (r *Router) Count(k Key) int {
	t := r.targets[k]
	if t == nil {
		return 0
	}
	return len(t.candidates) - t.stalled
}

// Stuck returns the number of own attempts for a key on servers that Count
// leaves out.
func (r *Router) Stuck(k Key) int {
	t := r.targets[k]
	if t == nil {
		return 0
	}
	n := 0
	for _, c := range t.lost {
		n += c.running
	}
	if t.stalled == 0 {
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
	// Prefix is the hash of the prompt's beginning; zero is none.
	Prefix uint64
	// Exclude names a server that the request has just failed on.
	Exclude string
}

// Attempt is a chosen server. Done must be called once for each attempt.
type Attempt struct {
	Server      string
	Address     string
	Incarnation uint64
	candidate   *candidate
	epoch       uint32
	serial      uint64
	began       time.Duration
}

// affinityFactor and affinitySlack bound how much more load a server with the
// prefix in its cache may have than a sampled one.
const (
	affinityFactor = 1.25
	affinitySlack  = 2
)

const (
	// samples is how many random candidates are tried before a scan.
	samples = 4
	// scanned bounds the scan, which keeps a decision below 2 us while most
	// servers of a large fleet are unusable. A request that finds none looks
	// again soon.
	scanned = 128
)

// Pick chooses the less loaded of two random servers for an attempt, or a
// server that has the prefix cached unless its load is out of bounds. It
// reports false if no server may receive the attempt.
func (r *Router) Pick(now time.Duration, q Query) (Attempt, bool) {
	t := r.targets[q.Key]
	if t == nil {
		return Attempt{}, false
	}
	best := r.sample(now, t.candidates[:t.local], q.Exclude)
	if best == nil || best.server.load() >= r.opts.Spill || best.demoted(now) {
		remote := r.sample(now, t.candidates[t.local:], q.Exclude)
		if best == nil || remote != nil && remote.better(now, best) {
			best = remote
		}
	}
	if best == nil {
		return Attempt{}, false
	}
	if c := r.cached(now, q); c != nil && !c.demoted(now) && c.server.load() <= int(affinityFactor*float64(best.server.load()))+affinitySlack {
		best = c
	}
	return r.begin(now, best), true
}

// better reports whether a server of another data centre is preferred to a
// local one.
func (c *candidate) better(now time.Duration, local *candidate) bool {
	if c.demoted(now) != local.demoted(now) {
		return local.demoted(now)
	}
	return 2*c.server.load() < local.server.load() && !local.demoted(now)
}

// less reports whether a server is preferred to another of the same place.
func (c *candidate) less(now time.Duration, other *candidate) bool {
	if c.demoted(now) != other.demoted(now) {
		return other.demoted(now)
	}
	return c.server.load() < other.server.load()
}

// sample returns the better of two random usable candidates.
func (r *Router) sample(now time.Duration, list []*candidate, exclude string) *candidate {
	if len(list) == 0 {
		return nil
	}
	var first *candidate
	for range samples {
		c := list[r.rng.IntN(len(list))]
		if c == first || !r.usable(now, c, exclude) {
			continue
		}
		if first == nil {
			first = c
			continue
		}
		if c.less(now, first) {
			return c
		}
		return first
	}
	if first != nil {
		return first
	}
	start := r.rng.IntN(len(list))
	for i := range min(len(list), scanned) {
		if c := list[(start+i)%len(list)]; r.usable(now, c, exclude) {
			return c
		}
	}
	return nil
}

func (r *Router) usable(now time.Duration, c *candidate, exclude string) bool {
	s := c.server
	full := r.opts.PerServer > 0 && c.running >= r.opts.PerServer
	open := !s.Closed && !s.ended && !s.stalled
	return open && !full && now >= s.TrialUntil && s.Name != exclude && c.breaker.allows(now)
}

func (r *Router) begin(now time.Duration, c *candidate) Attempt {
	c.server.current++
	c.running++
	c.breaker.begin(now)
	c.pace.begin(now)
	r.serial++
	if !r.opts.IgnorePace {
		c.waits = append(c.waits, wait{r.serial, now})
	}
	return Attempt{
		Server: c.server.Name, Address: c.server.Address, Incarnation: c.server.Incarnation,
		candidate: c, epoch: c.server.epoch, serial: r.serial, began: now,
	}
}

// Idle returns the least loaded server for a key, for the trial of a suspect.
func (r *Router) Idle(now time.Duration, k Key, exclude string) (Attempt, bool) {
	t := r.targets[k]
	if t == nil {
		return Attempt{}, false
	}
	var best *candidate
	for _, c := range t.candidates {
		if r.usable(now, c, exclude) && (best == nil || c.server.load() < best.server.load()) {
			best = c
		}
	}
	if best == nil {
		return Attempt{}, false
	}
	return r.begin(now, best), true
}

// Result is how an attempt ended.
type Result int

// Results of an attempt.
const (
	// Success: the server answered.
	Success Result = iota
	// Failure: the server failed or could not be reached.
	Failure
	// Neutral: the attempt says nothing about the server's health.
	Neutral
)

// Ended closes the server of an attempt whose process has ended, so that other
// requests do not find it out one by one.
func (r *Router) Ended(a Attempt) { a.candidate.server.ended = true }

// Done records the end of an attempt.
func (r *Router) Done(now time.Duration, a Attempt, result Result) {
	s := a.candidate.server
	switch s.epoch {
	case a.epoch:
		s.current = max(0, s.current-1)
	case a.epoch + 1:
		s.previous = max(0, s.previous-1)
	default:
		s.reported = max(0, s.reported-1)
	}
	a.candidate.running--
	a.candidate.waitOver(a)
	a.candidate.breaker.done(now, result, r.rng)
}
