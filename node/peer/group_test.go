package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
)

// fakeLog is the log that the groups of a test share.
type fakeLog struct {
	mu      sync.Mutex
	state   *state.State
	entries []control.UpdateEntry
	changed chan struct{}
	leader  string
	// loseAnswers is the number of commands that are applied without an answer.
	loseAnswers int
	voters      []string
}

func newFakeLog(voters ...string) *fakeLog {
	return &fakeLog{state: state.New(), changed: make(chan struct{}), leader: voters[0], voters: voters}
}

func (l *fakeLog) append(c state.Command) (state.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := uint64(len(l.entries) + 1)
	l.entries = append(l.entries, control.UpdateEntry{Index: index, Command: c.ForFollowers()})
	res := l.state.Apply(index, c)
	close(l.changed)
	l.changed = make(chan struct{})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return state.Result{}, errors.New("answer lost")
	}
	return res, nil
}

func (l *fakeLog) setLeader(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = host
}

// fakeGroup is one member. It can lag behind the log.
type fakeGroup struct {
	log  *fakeLog
	host string
	mu   sync.Mutex
	// lag is the number of newest entries that the member does not have.
	lag   uint64
	steps []consensus.Message
}

func (g *fakeGroup) Propose(_ context.Context, c state.Command) (state.Result, error) {
	g.log.mu.Lock()
	leader := g.log.leader
	g.log.mu.Unlock()
	if leader != g.host {
		return state.Result{}, &control.NotLeaderError{Leader: leader}
	}
	return g.log.append(c)
}

func (g *fakeGroup) Step(m consensus.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steps = append(g.steps, m)
}

func (g *fakeGroup) received() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.steps)
}

func (g *fakeGroup) Status() control.Status {
	g.log.mu.Lock()
	defer g.log.mu.Unlock()
	s := control.Status{Leader: g.log.leader, Term: 1, Applied: uint64(len(g.log.entries)) - g.lag, Last: uint64(len(g.log.entries))}
	for i, v := range g.log.voters {
		s.Members = append(s.Members, control.MemberStatus{Member: consensus.Member{ID: uint64(i + 1), Host: v}, Voter: true})
	}
	return s
}

func (g *fakeGroup) Follow(ctx context.Context, from uint64, send func(control.Update) error) error {
	for {
		g.log.mu.Lock()
		have := uint64(len(g.log.entries)) - g.lag
		var batch []control.UpdateEntry
		if from < have {
			batch = g.log.entries[from:have]
		}
		changed := g.log.changed
		g.log.mu.Unlock()
		if len(batch) > 0 {
			if err := send(control.Update{Entries: batch}); err != nil {
				return err
			}
			from = have
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// directory lists the control hosts of a test.
type directory map[string]string

func (d directory) ControlHosts() map[string]string {
	out := map[string]string{}
	for k, v := range d {
		out[k] = v
	}
	return out
}

// serveGroups starts a server for each voter of the log.
func serveGroups(t *testing.T, log *fakeLog) (directory, map[string]*fakeGroup, map[string]*Server) {
	t.Helper()
	hosts, groups, servers := directory{}, map[string]*fakeGroup{}, map[string]*Server{}
	for _, name := range log.voters {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g := &fakeGroup{log: log, host: name}
		s := NewServer(Handlers{
			Host: name, Group: g, Gossip: func(membership.Message) {}, Drain: func() {},
			Demand: func(DemandReport) ([]Prediction, error) { return nil, &control.NotLeaderError{} },
			Burn:   func() burn.Snapshot { return burn.Snapshot{} },
		})
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		hosts[name], groups[name], servers[name] = l.Addr().String(), g, s
	}
	return hosts, groups, servers
}
