package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// testHost is one control host on the in-memory network.
type testHost struct {
	name    string
	folder  string
	running atomic.Pointer[Group]
	replica *replica.Replica
	stop    context.CancelFunc
	done    chan error
}

func (h *testHost) group() *Group { return h.running.Load() }

// testNet is a set of control hosts whose messages arrive after delay, in order.
type testNet struct {
	t       testing.TB
	mu      sync.Mutex
	cut     map[string]bool // silent hosts
	delay   time.Duration
	hosts   []*testHost
	options Options
}

type testTransport struct {
	net  *testNet
	from string
}

func (tr testTransport) Send(to consensus.Member, msgs []consensus.Message) {
	deliver := func() {
		tr.net.mu.Lock()
		defer tr.net.mu.Unlock()
		for _, h := range tr.net.hosts {
			g := h.group()
			if h.name != to.PeerAddress || g == nil || tr.net.cut[tr.from] || tr.net.cut[h.name] {
				continue
			}
			for _, m := range msgs {
				g.Step(m)
			}
		}
	}
	time.AfterFunc(tr.net.delay, deliver)
}

func newTestNet(t *testing.T, hosts, voters int, o Options) *testNet {
	cryptotest.SetGlobalRandom(t, 1)
	net := &testNet{t: t, cut: map[string]bool{}, delay: time.Millisecond, options: o}
	net.options.Bootstrap = nil
	folder := t.TempDir()
	for i := range hosts {
		name := fmt.Sprint("h", i)
		net.hosts = append(net.hosts, &testHost{name: name, folder: filepath.Join(folder, name)})
		if i < voters {
			net.options.Bootstrap = append(net.options.Bootstrap, consensus.Member{Host: name, PeerAddress: name})
		}
	}
	return net
}

func (n *testNet) start(h *testHost) {
	n.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	o := n.options
	o.Folder, o.Host, o.PeerAddress, o.Logger = h.folder, h.name, h.name, logrus.NewEntry(logger)
	r := replica.New(state.New())
	o.Replica, o.Transport = r, testTransport{n, h.name}
	g, err := OpenGroup(o)
	if err != nil {
		n.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.replica, h.stop, h.done = r, cancel, make(chan error, 1)
	h.running.Store(g)
	go func() { h.done <- g.Run(ctx) }()
}

func (n *testNet) kill(h *testHost) {
	n.t.Helper()
	h.running.Store(nil)
	h.stop()
	if err := <-h.done; err != nil {
		n.t.Error(err)
	}
}

func (n *testNet) startAll() {
	for _, h := range n.hosts {
		n.start(h)
	}
}

func (n *testNet) stopAll() {
	for _, h := range n.hosts {
		if h.group() != nil {
			n.kill(h)
		}
	}
}

// silence cuts off one host, or none.
func (n *testNet) silence(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.cut[name] = name != ""
}

// leader waits until a host holds a valid lease.
func (n *testNet) leader() *testHost {
	for {
		for _, h := range n.hosts {
			if g := h.group(); g != nil && g.CheckLease() {
				return h
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func (n *testNet) others(h *testHost) []*testHost {
	var out []*testHost
	for _, x := range n.hosts {
		if x != h {
			out = append(out, x)
		}
	}
	return out
}

// propose commits through whichever host leads, and resends as callers do.
func (n *testNet) propose(c state.Command) state.Result {
	for {
		if g := n.leader().group(); g != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			r, err := g.Propose(ctx, c)
			cancel()
			if err == nil {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func configure(id string, expected uint64) state.Command {
	return state.Command{Configure: &state.Configure{
		ChangeID: id, Expected: expected, Next: config.Configuration{Deployment: config.Deployment{Name: id}},
	}}
}

func (h *testHost) version() (v uint64, name string) {
	h.replica.View(func(s *state.State) { v, name = s.Config.Version, s.Config.Deployment.Name })
	return v, name
}

func (h *testHost) hash() (sum string) {
	h.replica.View(func(s *state.State) { sum = s.Hash() })
	return sum
}

// awaitEqual requires that all hosts apply the same state.
func (n *testNet) awaitEqual() {
	n.t.Helper()
	for range 100 {
		time.Sleep(n.options.ElectionTimeout + 100*time.Millisecond)
		sums := map[string]bool{}
		for _, h := range n.hosts {
			sums[h.hash()] = true
		}
		if len(sums) == 1 {
			return
		}
	}
	n.t.Error("the hosts' states differ")
}

// TestGroupLife guards founding, proposals on a host that does not lead,
// followers, transfer, repair after an emptied folder, and a restart of all.
func TestGroupLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, 3, 3, Options{SnapshotEntries: 50})
		n.startAll()
		for i := range 120 {
			n.propose(configure(fmt.Sprint("c", i), uint64(i)))
		}
		lead := n.leader()
		var refused *NotLeaderError
		if _, err := n.others(lead)[0].group().Propose(t.Context(), state.Command{}); !errors.As(err, &refused) || refused.Leader != lead.name {
			t.Errorf("proposal on a follower: %v", err)
		}
		n.propose(state.Command{UnixMS: 1, Claim: &state.Claim{Key: "k", Caller: "c", CreatedMS: 1, Fingerprint: "f"}})
		checkFollower(t, lead)

		if err := lead.group().TransferLeader(t.Context()); err != nil {
			t.Error(err)
		}
		if next := n.leader(); next == lead {
			t.Error("leadership did not move")
		}

		// An emptied folder, of the host that founded the group: it must not found
		// another one while it is alone, and rejoins under a new identity.
		lost := n.hosts[0]
		old := lost.group().Status().Self
		n.kill(lost)
		if err := os.RemoveAll(lost.folder); err != nil {
			t.Fatal(err)
		}
		n.silence(lost.name)
		n.start(lost)
		time.Sleep(10 * time.Second)
		if s := lost.group().Status(); s.Leading || s.Last > 0 {
			t.Errorf("a host with an emptied folder founded a group: %+v", s)
		}
		n.silence("")
		time.Sleep(20 * time.Second)
		members := n.leader().group().Status().Members
		for _, m := range members {
			if m.ID == old || !m.Voter {
				t.Errorf("after the repair: %+v", m)
			}
		}
		if len(members) != 3 || lost.group().Status().Self == old {
			t.Errorf("members after the repair: %+v", members)
		}
		n.awaitEqual()

		n.stopAll()
		n.startAll()
		n.propose(configure("last", 120))
		n.awaitEqual()
		n.stopAll()
	})
}

// checkFollower follows h from the start and from a recent index.
func checkFollower(t *testing.T, h *testHost) {
	t.Helper()
	applied := h.group().Status().Applied
	for _, from := range []uint64{0, applied - 5} {
		copied := state.New()
		if from > 0 {
			h.replica.View(func(s *state.State) { copied = s.ForFollowers() })
			copied.Index = from
		}
		ctx, cancel := context.WithCancel(t.Context())
		err := h.group().Follow(ctx, from, func(u Update) error {
			if len(u.Snapshot) > 0 {
				copied, _ = state.Restore(u.Snapshot)
			}
			for _, e := range u.Entries {
				if e.Command.Claim != nil {
					t.Error("a follower received a claim")
				}
				copied.Apply(e.Index, e.Command)
			}
			if copied.Index >= applied {
				cancel()
			}
			return nil
		})
		var want string
		h.replica.View(func(s *state.State) { want = s.ForFollowers().Hash() })
		if err != nil || copied.Hash() != want {
			t.Errorf("follower from %d differs (%v)", from, err)
		}
		cancel()
	}
}

// TestFullDisk guards a leader whose disk is full: it steps down, the others go
// on, and nothing accepted is lost.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, 3, 3, Options{})
		n.startAll()
		n.propose(configure("first", 0))
		small := n.leader()
		third := n.others(small)[0]
		n.kill(small)
		n.options.maxBytes = 1 << 20
		n.start(small)
		n.options.maxBytes = 0
		// With the third host away, small is the only one that can take over.
		time.Sleep(3 * time.Second)
		n.kill(third)
		if lead := n.leader(); lead != small {
			if err := lead.group().TransferLeader(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		n.start(third)
		time.Sleep(3 * time.Second)
		if n.leader() != small {
			t.Fatal("leadership was not transferred")
		}
		big := configure("big", 1)
		big.Configure.Next.Deployment.Name = string(make([]byte, 2<<20))
		_, err := small.group().Propose(t.Context(), big)
		if !errors.As(err, new(*OutcomeUnknownError)) || small.group().CheckLease() || small.group().Status().StorageErr == nil {
			t.Errorf("full disk: %v, lease %v", err, small.group().CheckLease())
		}
		if _, err := small.group().Propose(t.Context(), big); !errors.As(err, new(*StorageError)) {
			t.Errorf("proposal on a full disk: %v", err)
		}
		if n.leader() == small {
			t.Error("a member with a full disk leads")
		}
		n.propose(configure("first", 0))
		n.kill(small)
		n.start(small)
		n.awaitEqual()
		n.stopAll()
	})
}

// TestSyncBeforeSend guards against a driver that acknowledges entries which are
// not on its disk: the one reachable follower cannot write, so nothing may be
// committed. Sending first, the proposal succeeds with one copy.
func TestSyncBeforeSend(t *testing.T) {
	for _, sendFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newTestNet(t, 3, 3, Options{RepairAfter: -1})
			n.options.sendFirst = sendFirst
			n.startAll()
			n.propose(configure("first", 0))
			lead := n.leader()
			full, third := n.others(lead)[0], n.others(lead)[1]
			n.kill(full)
			n.options.maxBytes = 1 << 20
			n.start(full)
			time.Sleep(time.Second)
			n.kill(third)
			big := configure("big", 1)
			big.Configure.Next.Deployment.Name = string(make([]byte, 2<<20))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := lead.group().Propose(ctx, big)
			if committed := err == nil; committed != sendFirst {
				t.Errorf("sending first %v: %v", sendFirst, err)
			}
			n.stopAll()
		})
	}
}

// TestConfigurationNeverReverts races changes under equal version numbers, with
// resends, restarts, emptied folders and snapshots. Per version exactly one
// change wins, a resend gets the first answer, and no host goes back.
func TestConfigurationNeverReverts(t *testing.T) {
	seeds := 3
	if v, err := strconv.Atoi(os.Getenv("POLLENWHEEL_FUZZ_CHECKS")); err == nil {
		seeds = v
	}
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceConfigurations(t, seed) })
		})
	}
}

func raceConfigurations(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	n := newTestNet(t, 3, 3, Options{SnapshotEntries: 20})
	n.startAll()
	winners := map[uint64]string{}
	var mu sync.Mutex
	seen := map[*testHost]uint64{}
	version := uint64(0)
	for round := range 60 {
		var wg sync.WaitGroup
		for c := range 3 {
			wg.Go(func() {
				id := fmt.Sprint("r", round, "c", c)
				first := n.propose(configure(id, version))
				again := n.propose(configure(id, version))
				mu.Lock()
				defer mu.Unlock()
				if first.Rejection == nil {
					if w := winners[first.Version]; w != "" && w != id || again.Version != first.Version || again.Rejection != nil {
						t.Errorf("%s won version %d beside %q, resend got %+v", id, first.Version, w, again)
					}
					winners[first.Version] = id
				} else if first.Rejection.Winner == "" || again.Rejection == nil {
					t.Errorf("%s lost without a winner: %+v, resend %+v", id, first, again)
				}
			})
		}
		h := n.hosts[rng.Intn(3)]
		if round%5 == 4 {
			time.Sleep(time.Duration(rng.Intn(10)) * time.Millisecond)
			n.kill(h)
			seen[h] = 0
			if rng.Intn(3) == 0 {
				if err := os.RemoveAll(h.folder); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Duration(rng.Intn(2000)) * time.Millisecond)
			}
			n.start(h)
			time.Sleep(20 * time.Second)
		}
		wg.Wait()
		version++
		if winners[version] == "" {
			t.Fatalf("no change won version %d", version)
		}
		for _, h := range n.hosts {
			v, name := h.version()
			if v < seen[h] || v > 0 && winners[v] != name {
				t.Errorf("host %s: version %d %q after %d", h.name, v, name, seen[h])
			}
			seen[h] = v
		}
	}
	n.awaitEqual()
	n.stopAll()
}
