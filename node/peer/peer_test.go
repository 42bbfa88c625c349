package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/proptest"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 100}) }

func newTestClient(t *testing.T) *Client {
	c := NewClient(nil)
	t.Cleanup(c.Close)
	return c
}

func testLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func lose() state.Command {
	return state.Command{MarkLost: &state.MarkLost{Server: "s", Incarnation: 1}}
}

// await bounds a wait only to end a test that would hang.
func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited too long for: %s", what)
		}
	}
}

// TestProposeFindsLeader guards against commands that stay at a host that no
// longer leads, or that has ended.
func TestProposeFindsLeader(t *testing.T) {
	log := newFakeLog("a", "b", "c")
	hosts, _, servers := serveGroups(t, log)
	f := NewForwarder("x", nil, newTestClient(t), hosts)
	for i, leader := range []string{"a", "b", "c", "a"} {
		log.setLeader(leader)
		if leader == "c" {
			servers["b"].Stop()
		}
		if _, err := f.Propose(t.Context(), lose()); err != nil {
			t.Fatalf("leader %s: %v", leader, err)
		}
		if n := len(log.entries); n != i+1 {
			t.Fatalf("the log has %d entries after %d commands", n, i+1)
		}
	}
}

// TestProposeResendsOnlySafeCommands guards against a claim that is granted
// twice and against a configuration change whose answer is lost for good.
func TestProposeResendsOnlySafeCommands(t *testing.T) {
	log := newFakeLog("a")
	hosts, _, _ := serveGroups(t, log)
	f := NewForwarder("x", nil, newTestClient(t), hosts)
	log.loseAnswers = 1
	change := state.Command{Configure: &state.Configure{ChangeID: "one"}}
	res, err := f.Propose(t.Context(), change)
	if err != nil || res.Version != 1 || len(log.entries) != 2 {
		t.Fatalf("change: version %d, %d entries, error %v; want 1, 2, none", res.Version, len(log.entries), err)
	}
	log.loseAnswers = 1
	_, err = f.Propose(t.Context(), state.Command{Claim: &state.Claim{Key: "k"}})
	var unknown *control.OutcomeUnknownError
	if !errors.As(err, &unknown) || len(log.entries) != 3 {
		t.Fatalf("claim: %d entries, error %v; want 3 and an unknown outcome", len(log.entries), err)
	}
}

// TestProposeWithoutLeader guards against an error that hides that nothing was
// appended.
func TestProposeWithoutLeader(t *testing.T) {
	log := newFakeLog("a", "b")
	hosts, _, _ := serveGroups(t, log)
	log.setLeader("")
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := NewForwarder("x", nil, newTestClient(t), hosts).Propose(ctx, lose())
	var none *NoLeaderError
	if !errors.As(err, &none) {
		t.Fatalf("error %v; want that no leader accepted the command", err)
	}
}

// TestFollowFailsOver guards against a follower that stays with a host that
// ended or that is cut off from the log.
func TestFollowFailsOver(t *testing.T) {
	log := newFakeLog("a", "b", "c")
	hosts, groups, servers := serveGroups(t, log)
	r := replica.New(state.New())
	f := NewFollower(newTestClient(t), hosts, r, testLogger(), rand.New(rand.NewSource(1)), "x", nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	index := uint64(0)
	add := func() {
		index++
		if _, err := log.append(lose()); err != nil {
			t.Fatal(err)
		}
		await(t, fmt.Sprintf("entry %d", index), func() bool { return f.index() == index })
	}
	add()
	servers["a"].Stop()
	add()
	log.mu.Lock()
	groups["b"].lag = index
	log.mu.Unlock()
	add()
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestWaitCurrentAsksMajority guards against a starting host that becomes ready
// with what a minority, or a member that is behind, knows.
func TestWaitCurrentAsksMajority(t *testing.T) {
	log := newFakeLog("a", "b", "c")
	hosts, groups, servers := serveGroups(t, log)
	for range 5 {
		if _, err := log.append(lose()); err != nil {
			t.Fatal(err)
		}
	}
	groups["a"].lag, groups["b"].lag = 3, 0
	f := NewFollower(newTestClient(t), hosts, replica.New(state.New()), testLogger(), rand.New(rand.NewSource(1)), "x", nil)
	if index, ok := f.majorityIndex(t.Context()); !ok || index != 5 {
		t.Errorf("all answer: index %d, %v; want 5", index, ok)
	}
	servers["c"].Stop()
	// The leader has answered for entry 5, and the two others do not know yet
	// that it is committed.
	groups["b"].lag = 3
	if index, ok := f.majorityIndex(t.Context()); !ok || index != 5 {
		t.Errorf("two answer: index %d, %v; want 5", index, ok)
	}
	servers["b"].Stop()
	if index, ok := f.majorityIndex(t.Context()); ok {
		t.Errorf("one answers: index %d was taken for a majority's", index)
	}
}

// TestTransportDelivers guards against messages of the replicated log that are
// reordered, and against a member that is not reached again after a restart.
func TestTransportDelivers(t *testing.T) {
	log := newFakeLog("a")
	hosts, groups, _ := serveGroups(t, log)
	tr := NewTransport(newTestClient(t))
	defer tr.Close()
	to := consensus.Member{ID: 1, Host: "a", PeerAddress: hosts["a"]}
	gone := consensus.Member{ID: 2, Host: "gone", PeerAddress: "127.0.0.1:1"}
	for i := range 50 {
		tr.Send(gone, []consensus.Message{{Kind: consensus.MessageAppend, Term: uint64(i)}})
		tr.Send(to, []consensus.Message{{Kind: consensus.MessageAppend, Term: uint64(i)}})
	}
	await(t, "50 messages", func() bool { return groups["a"].received() == 50 })
	for i, m := range groups["a"].steps {
		if m.Term != uint64(i) {
			t.Fatalf("message %d has term %d", i, m.Term)
		}
	}
}

// TestConversionsKeepEverything guards against fields that are lost between
// the types of the core and the protocol.
func TestConversionsKeepEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.Make[membership.Message]().Draw(t, "gossip")
		m.To = ""
		checkSame(t, m, gossipFromProto(gossipToProto(m)))
		c := rapid.Make[consensus.Message]().Draw(t, "consensus")
		checkSame(t, c, consensusFromProto(consensusToProto(c)))
		s := control.Status{
			Leader: rapid.String().Draw(t, "leader"), Term: rapid.Uint64().Draw(t, "term"),
			Applied: rapid.Uint64().Draw(t, "applied"), Last: rapid.Uint64().Draw(t, "last"), LeaseValid: rapid.Bool().Draw(t, "lease"),
		}
		checkSame(t, s, statusFromProto(statusToProto("x", s)))
	})
}

// checkSame compares values; an empty list equals a missing one.
func checkSame(t *rapid.T, want, got any) {
	if a, b := fmt.Sprintf("%+v", flatten(want)), fmt.Sprintf("%+v", flatten(got)); a != b {
		t.Fatalf("got  %s\nwant %s", b, a)
	}
}

// flatten follows pointers, so that values can be compared as text.
func flatten(v any) any {
	switch x := v.(type) {
	case membership.Message:
		d := x.Difference
		x.Difference = nil
		return []any{x, reflect.ValueOf(d).IsNil(), deref(d)}
	case consensus.Message:
		s, h := x.Snapshot, x.Hello
		x.Snapshot, x.Hello = nil, nil
		var repair any
		if s != nil {
			repair = deref(s.Membership.Repair)
			s = &consensus.Snapshot{Index: s.Index, Term: s.Term, Data: s.Data, Membership: consensus.Membership{
				Voters: s.Membership.Voters, Learners: s.Membership.Learners,
			}}
		}
		return []any{x, deref(s), repair, deref(h)}
	}
	return v
}

func deref[T any](p *T) any {
	if p == nil {
		return nil
	}
	return *p
}

// TestDemandKeepsRelativeTimes guards against deadlines that shift between the
// clocks of two hosts.
func TestDemandKeepsRelativeTimes(t *testing.T) {
	sent := DemandReport{Host: "a", Incarnation: 1, Now: 10 * time.Second, Demand: []placement.Demand{{
		Model: "m", Waiting: 2, EarliestDeadline: 13 * time.Second, LastArrival: 9 * time.Second, Arrivals: 7, RunningOn: map[string]int{"s": 1},
	}}}
	sent.Demand[0].Classes[1] = placement.ClassDemand{Waiting: 2, EarliestDeadline: 13 * time.Second}
	got := demandFromProto(demandToProto(sent)).At(100 * time.Second)
	want := sent.Demand[0]
	want.EarliestDeadline, want.LastArrival, want.Classes[1].EarliestDeadline = 103*time.Second, 99*time.Second, 103*time.Second
	if !reflect.DeepEqual(got.Demand[0], want) {
		t.Errorf("got %+v, want %+v", got.Demand[0], want)
	}
}
