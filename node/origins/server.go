// Package origins exchanges the origins of streams between the hosts and the leader. It puts
// clocks, locks and timers around core/origin.
package origins

import (
	"context"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/node/control"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Term returns the term in which this host leads, and false if it does not lead. It
	// leads only once it has applied every entry that earlier leaders committed.
	Term func() (uint64, bool)
	// Leader returns the name of the host that is believed to lead, or an empty string.
	Leader func() string
	// Admitted returns the admitted software versions as this host has applied them.
	Admitted func() origin.Admitted
	Now      func() time.Duration
}

// Server holds the origins of streams while this host leads. It is safe for concurrent use.
type Server struct {
	opts ServerOptions

	mu    sync.Mutex
	term  uint64
	table *origin.Table
}

// NewServer returns a Server that knows no streams.
func NewServer(o ServerOptions) *Server {
	return &Server{opts: o, table: origin.NewTable()}
}

// Handle serves a report of a host. It implements peer.OriginHandler.
func (s *Server) Handle(_ context.Context, r origin.Report) (origin.Reply, error) {
	term, leads := s.opts.Term()
	if !leads {
		return origin.Reply{}, s.notLeader()
	}
	out := s.merge(term, r)
	// A stream that began after this host lost the lease may have begun at a version that
	// this host does not know to be admitted.
	if now, leads := s.opts.Term(); !leads || now != term {
		return origin.Reply{}, s.notLeader()
	}
	return out, nil
}

func (s *Server) notLeader() error { return &control.NotLeaderError{Leader: s.opts.Leader()} }

// merge adds the streams of a report and answers its questions.
func (s *Server) merge(term uint64, r origin.Report) origin.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.term {
		s.term, s.table = term, origin.NewTable()
	}
	now := s.opts.Now()
	for _, record := range r.Records {
		s.table.Add(now, record.Shift(now))
	}
	admitted := s.opts.Admitted()
	out := origin.Reply{Term: term}
	for _, q := range r.Questions {
		out.Answers = append(out.Answers, s.table.Answer(q, admitted))
	}
	return out
}

// Streams returns the number of streams whose origin this host knows.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}
