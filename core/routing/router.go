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
	// SoftwareVersion is the version of the server's software.
	SoftwareVersion string
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
