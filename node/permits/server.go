// Package permits exchanges what servers say about their limits on requests, and the
// permits to send requests to them, between the hosts and the leader. It puts clocks, locks
// and timers around core/ratelimit.
package permits

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// wantHold is how long the leader holds a request of a host that wants permits. A
	// permit counts from the time of the request, so a longer hold leaves less time to use
	// it.
	wantHold = 400 * time.Millisecond
	// idleHold is how long the leader holds a request of a host that wants none. The host
	// then learns at once of a limit that other hosts were told.
	idleHold = 5 * time.Second
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Term returns the term in which this host leads, and false if it does not lead.
	Term func() (uint64, bool)
	// Leader returns the name of the host that is believed to lead, or an empty string.
	Leader func() string
	// Reachable returns the share of the hosts that are heard from. The others use their
	// own shares of the limits.
	Reachable func() float64
	Now       func() time.Duration
	// Decisions may be nil.
	Decisions *decision.Log
}

// Server grants permits while this host leads. It is safe for concurrent use.
type Server struct {
	opts ServerOptions

	mu      sync.Mutex
	grantor *ratelimit.Grantor
	term    uint64
	waiters map[string]*waiter
	// timer runs the next grants that are due.
	timer *time.Timer
}

// waiter is the newest request of one host.
type waiter struct {
	knownVersion uint64
	grants       []ratelimit.Grant
	// done is closed when the request can be answered or a newer one has come.
	done   chan struct{}
	closed bool
}

func (w *waiter) finish() {
	if !w.closed {
		w.closed = true
		close(w.done)
	}
}

// NewServer returns a Server that knows no limits.
func NewServer(o ServerOptions) *Server {
	return &Server{opts: o, waiters: map[string]*waiter{}}
}

// Handle serves a request of a host. It implements peer.PermitHandler.
func (s *Server) Handle(ctx context.Context, r ratelimit.Request) (ratelimit.Reply, error) {
	w, err := s.accept(r)
	if err != nil {
		return ratelimit.Reply{}, err
	}
	hold := idleHold
	if r.WantsPermits() {
		hold = wantHold
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.reply(r.Host, w)
}

// accept merges a request and grants what is due.
func (s *Server) accept(r ratelimit.Request) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return nil, &control.NotLeaderError{Leader: s.opts.Leader()}
	}
	now := s.opts.Now()
	for i := range r.Sightings {
		r.Sightings[i] = r.Sightings[i].Shift(now)
	}
	changes := s.grantor.Accept(now, r)
	s.logChanges(changes, r.Host)
	if older := s.waiters[r.Host]; older != nil {
		older.finish()
	}
	w := &waiter{knownVersion: r.KnownVersion, done: make(chan struct{})}
	s.waiters[r.Host] = w
	s.grant(now)
	return w, nil
}

// leads reports whether this host leads. At the beginning of a term it starts without
// permits. s.mu must be held.
func (s *Server) leads() bool {
	term, leading := s.opts.Term()
	if !leading {
		return false
	}
	if s.grantor == nil || s.term != term {
		// The term in the version keeps it apart from the versions of earlier leaders.
		s.grantor, s.term = ratelimit.NewGrantor(term<<32+1), term
		for _, w := range s.waiters {
			w.finish()
		}
		clear(s.waiters)
	}
	return true
}

// grant passes the due permits and changed limits to the hosts that wait, and sets the
// timer for the next permits. s.mu must be held.
func (s *Server) grant(now time.Duration) {
	reachable := s.opts.Reachable()
	for _, g := range s.grantor.Grant(now, reachable) {
		w := s.waiters[g.Host]
		w.grants = append(w.grants, g.Grants...)
		w.finish()
	}
	_, version := s.grantor.Limits()
	for _, w := range s.waiters {
		if w.knownVersion != version {
			w.finish()
		}
	}
	s.setTimer(now, reachable)
}

// setTimer arranges the next grants. s.mu must be held.
func (s *Server) setTimer(now time.Duration, reachable float64) {
	if s.timer != nil {
		s.timer.Stop()
	}
	if at, ok := s.grantor.NextAt(now, reachable); ok {
		s.timer = time.AfterFunc(max(minGrantPause, at-now), s.grantDue)
	}
}

// minGrantPause bounds the rate of grants that are triggered by the timer.
const minGrantPause = time.Millisecond

// grantDue grants what has become due since the last request.
func (s *Server) grantDue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leads() {
		s.grant(s.opts.Now())
	}
}

// reply returns the answer to the request of a waiter, which waits no longer.
func (s *Server) reply(host string, w *waiter) (ratelimit.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return ratelimit.Reply{}, &control.NotLeaderError{Leader: s.opts.Leader()}
	}
	now, reachable := s.opts.Now(), s.opts.Reachable()
	limits, version := s.grantor.Limits()
	out := ratelimit.Reply{Version: version, Grants: w.grants}
	if s.waiters[host] == w {
		out.Grants = append(out.Grants, s.grantor.Intervals(host, reachable)...)
		s.grantor.Forget(host)
		delete(s.waiters, host)
	}
	if w.knownVersion != version {
		for _, l := range limits {
			out.Limits = append(out.Limits, l.Shift(-now))
		}
	}
	return out, nil
}

// Usage returns how the limits are used, and false if this host does not lead.
func (s *Server) Usage() ([]ratelimit.Usage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return nil, false
	}
	return s.grantor.Usage(), true
}

// logChanges logs the limits that a host has told this leader.
func (s *Server) logChanges(changes []ratelimit.Change, host string) {
	for _, c := range changes {
		f := decision.Fields{decision.FieldServer: c.Server, decision.FieldSource: host, decision.FieldOutcome: "limit ended, told by a host"}
		if c.Limited {
			f[decision.FieldOutcome], f[decision.FieldPerSecond] = "limit, told by a host", c.PerSecond
		}
		s.opts.Decisions.RecordStateChange(decision.EventNotice, f)
	}
}
