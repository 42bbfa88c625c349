package origins

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/node/control"
)

// leader is one leader after another. A term of zero means that nobody leads.
type leader struct {
	mu       sync.Mutex
	term     uint64
	admitted origin.Admitted
	// endsWhileServing makes the lease end while a report is served.
	endsWhileServing bool
	checks           int
	// down makes all calls fail.
	down bool
}

func (l *leader) currentTerm() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks++
	if l.endsWhileServing && l.checks%2 == 0 {
		return 0, false
	}
	return l.term, l.term > 0
}

// newWorld returns a server of the leader and clients of two hosts.
func newWorld(l *leader) (*Server, *Client, *Client) {
	begun := time.Now()
	now := func() time.Duration { return time.Since(begun) }
	server := NewServer(ServerOptions{
		Term: l.currentTerm, Leader: func() string { return "leader" }, Admitted: func() origin.Admitted { return l.admitted }, Now: now,
	})
	ask := func(ctx context.Context, r origin.Report, _ time.Duration) (origin.Reply, error) {
		time.Sleep(time.Millisecond)
		if l.down {
			return origin.Reply{}, errors.New("no connection")
		}
		return server.Handle(ctx, r)
	}
	client := func() *Client {
		return NewClient(ClientOptions{Ask: ask, Now: now, HostCount: func() int { return 2 }})
	}
	return server, client(), client()
}

// TestFind guards against a stream that is resumed at a version that did not begin it, or refused
// although its origin is known, and against a caller who waits long for an answer.
func TestFind(t *testing.T) {
	stream := origin.IDOf("request")
	question := origin.Question{Stream: stream, Services: []string{"a"}}
	two := origin.Admitted{"a": {"v1", "v2"}}
	for _, c := range []struct {
		name   string
		leader *leader
		// begun notes the stream on the other host, and then leader changes by change.
		begun  bool
		change func(*leader)
		want   origin.Answer
		err    error
		within time.Duration
	}{
		{"reported", &leader{term: 1, admitted: two}, true, nil, origin.Answer{Known: true, Origin: origin.Origin{Service: "a", Version: "v2"}}, nil, 10 * time.Millisecond},
		{"the leader changes after the report", &leader{term: 1, admitted: two}, true, func(l *leader) { l.mu.Lock(); defer l.mu.Unlock(); l.term = 2 }, origin.Answer{Known: true, Origin: origin.Origin{Service: "a", Version: "v2"}}, nil, maxWait},
		{"lost, two versions", &leader{term: 1, admitted: two}, false, nil, origin.Answer{}, ErrUnknown, time.Second},
		{"lost, one version", &leader{term: 1, admitted: origin.Admitted{"a": {"v1"}}}, false, nil, origin.Answer{Known: true, Inferred: true, Origin: origin.Origin{Service: "a", Version: "v1"}}, nil, 10 * time.Millisecond},
		{"no leader", &leader{admitted: origin.Admitted{"a": {"v1"}}}, false, nil, origin.Answer{}, ErrNoLeader, maxWait + 2*askPause},
		{"the lease ends while the leader answers", &leader{term: 1, admitted: origin.Admitted{"a": {"v1"}}, endsWhileServing: true}, false, nil, origin.Answer{}, ErrNoLeader, maxWait + 2*askPause},
		{"the leader cannot be reached", &leader{term: 1, admitted: origin.Admitted{"a": {"v1"}}, down: true}, false, nil, origin.Answer{}, ErrNoLeader, maxWait + 2*askPause},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); time.Sleep(time.Second) }()
				_, other, client := newWorld(c.leader)
				go other.Run(ctx)
				if c.begun {
					other.Begin(origin.Record{Stream: stream, Origin: origin.Origin{Service: "a", Version: "v2"}, Expires: time.Hour})
				}
				time.Sleep(200 * time.Millisecond)
				if c.change != nil {
					c.change(c.leader)
				}
				begun := time.Now()
				got, err := client.Find(ctx, question)
				if got != c.want || !errors.Is(err, c.err) {
					t.Errorf("answer %+v, error %v; want %+v, %v", got, err, c.want, c.err)
				}
				if took := time.Since(begun); took > c.within {
					t.Errorf("the answer took %s, want at most %s", took, c.within)
				}
			})
		})
	}
}

// TestHostKnowsItsOwnStreams guards against streams that cannot be resumed at the host where they
// began because no leader answers.
func TestHostKnowsItsOwnStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, _ := newWorld(&leader{})
		want := origin.Origin{Service: "a", Version: "v1"}
		client.Begin(origin.Record{Stream: 1, Origin: want, Expires: time.Hour})
		got, err := client.Find(t.Context(), origin.Question{Stream: 1, Services: []string{"a"}})
		if err != nil || got.Origin != want {
			t.Errorf("answer %+v, error %v; want %+v", got, err, want)
		}
	})
}

// TestReportsAreBounded guards against a leader that gets a message for each stream, or more
// messages the more hosts there are.
func TestReportsAreBounded(t *testing.T) {
	for _, hosts := range []int{8, 100, 340} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() { cancel(); time.Sleep(time.Second) }()
			var reports atomic.Int64
			c := NewClient(ClientOptions{
				Ask: func(context.Context, origin.Report, time.Duration) (origin.Reply, error) {
					reports.Add(1)
					return origin.Reply{Term: 1}, nil
				},
				Now: func() time.Duration { return time.Second }, HostCount: func() int { return hosts },
			})
			go c.Run(ctx)
			for i := range origin.StreamID(2000) {
				c.Begin(origin.Record{Stream: i, Expires: time.Hour})
				time.Sleep(5 * time.Millisecond)
			}
			if perSecond := float64(int(reports.Load())*hosts) / 10; perSecond > 1.1*reportsPerSecond {
				t.Errorf("%d hosts send the leader %.0f reports a second, want at most %d", hosts, perSecond, reportsPerSecond)
			}
		})
	}
}

// TestOnlyTheLeaderAnswers guards against a host that answers questions about streams without the
// lease.
func TestOnlyTheLeaderAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, _, _ := newWorld(&leader{})
		_, err := server.Handle(t.Context(), origin.Report{})
		var notLeader *control.NotLeaderError
		if !errors.As(err, &notLeader) || notLeader.Leader != "leader" {
			t.Errorf("error %v, want one that names the leader", err)
		}
	})
}

// TestBeginAndWait guards against a first event that is passed on before the leader knows the
// stream, so that it cannot be resumed if the host dies, and against one that is held for long.
func TestBeginAndWait(t *testing.T) {
	const limit = 40 * time.Millisecond
	for _, c := range []struct {
		name   string
		leader *leader
		// reported is the number of streams that the host has reported just before.
		reported int
		want     bool
		within   time.Duration
	}{
		{"the leader answers", &leader{term: 1}, 0, true, 5 * time.Millisecond},
		{"right after another report", &leader{term: 1}, 1, true, 10 * time.Millisecond},
		{"the leader does not answer", &leader{term: 1, down: true}, 0, false, limit},
		{"there is no leader", &leader{}, 0, false, limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); time.Sleep(time.Second) }()
				server, client, _ := newWorld(c.leader)
				go client.Run(ctx)
				for i := range c.reported {
					client.Begin(origin.Record{Stream: origin.StreamID(100 + i), Expires: time.Hour})
					time.Sleep(2 * time.Millisecond)
				}
				begun := time.Now()
				got := client.BeginAndWait(ctx, origin.Record{Stream: 1, Origin: origin.Origin{Service: "a", Version: "v1"}, Expires: time.Hour}, limit)
				if took := time.Since(begun); got != c.want || took > c.within {
					t.Errorf("known %v after %s, want %v within %s", got, took, c.want, c.within)
				}
				if known := server.Streams() > c.reported; known != c.want {
					t.Errorf("the leader knows the stream: %v, want %v", known, c.want)
				}
			})
		})
	}
}
