// Package quotas exchanges credit from the quotas of client accounts between the hosts and the
// leader. It puts clocks, locks and timers around core/quota.
package quotas

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/quota"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/control"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Term returns the term in which this host leads and has applied all entries of earlier terms,
	// and false if it does not lead.
	Term func() (uint64, bool)
	// Leader returns the name of the host that is believed to lead, or an empty string.
	Leader func() string
	// Reachable returns the share of the hosts that are heard from. The others use their own parts
	// of the quotas.
	Reachable func() float64
	// Limits returns the limits in force, and a version that changes with them.
	Limits func() (version uint64, limits map[string]quota.Limit)
	// Version returns the version that Limits would return.
	Version func() uint64
	Now     func() time.Duration
}

// Server grants credit while this host leads. It is safe for concurrent use.
type Server struct {
	opts ServerOptions

	mu            sync.Mutex
	ledger        *quota.Ledger
	term, version uint64
}

// NewServer returns a Server that has granted nothing.
func NewServer(o ServerOptions) *Server { return &Server{opts: o} }

// updateInterval is how often the ledger is brought up to date. It must begin before accounts are
// added, whose buckets are full only then.
const updateInterval = 250 * time.Millisecond

// Run keeps the ledger up to date until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	for bootclock.Sleep(ctx, updateInterval) {
		s.mu.Lock()
		s.leads()
		s.mu.Unlock()
	}
	return nil
}

// Exchange serves what a host wants. The error is *control.NotLeaderError if this host does not
// lead.
func (s *Server) Exchange(host string, wants []quota.Want) ([]quota.Credit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return nil, &control.NotLeaderError{Leader: s.opts.Leader()}
	}
	return s.ledger.Exchange(s.opts.Now(), host, wants, s.opts.Reachable()), nil
}

// leads reports whether this host leads, and brings the ledger up to date. s.mu must be held.
func (s *Server) leads() bool {
	term, leading := s.opts.Term()
	if !leading {
		return false
	}
	fresh := s.ledger == nil || s.term != term
	if fresh {
		s.ledger, s.term = quota.NewLedger(), term
	}
	if fresh || s.version != s.opts.Version() {
		var limits map[string]quota.Limit
		s.version, limits = s.opts.Limits()
		s.ledger.SetLimits(s.opts.Now(), limits)
	}
	return true
}

// Usage returns the state of all accounts with a quota, and false if this host does not lead.
func (s *Server) Usage() ([]quota.Usage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads() {
		return nil, false
	}
	return s.ledger.Usage(s.opts.Now(), s.opts.Reachable()), true
}
