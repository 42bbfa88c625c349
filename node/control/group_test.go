package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
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

// testNet is a set of control hosts on an in-memory network, which delivers
// messages in order and after delay.
type testNet struct {
	t            testing.TB
	mu           sync.Mutex
	disconnected map[string]bool // names of the disconnected hosts
	delay        time.Duration
	hosts        []*testHost
	options      Options
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
			if h.name != to.PeerAddress || g == nil || tr.net.disconnected[tr.from] || tr.net.disconnected[h.name] {
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
	net := &testNet{t: t, disconnected: map[string]bool{}, delay: time.Millisecond, options: o}
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

func (n *testNet) stopHost(h *testHost) {
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
			n.stopHost(h)
		}
	}
}

// disconnect disconnects the named host and reconnects all others. An empty name
// reconnects all hosts.
func (n *testNet) disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.disconnected)
	n.disconnected[name] = name != ""
}

// awaitLeader waits until a host holds a valid lease, and returns it.
func (n *testNet) awaitLeader() *testHost {
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

// propose commits a command on the current leader and sends it again after errors,
// as peer.Proposer does.
func (n *testNet) propose(c state.Command) state.Result {
	for {
		if g := n.awaitLeader().group(); g != nil {
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

// awaitEqualStates waits until all hosts have the same state, and fails the test
// if they still differ after 100 checks.
func (n *testNet) awaitEqualStates() {
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
	n.t.Error("the states of the hosts still differ")
}

// TestGroupLifecycle guards founding, proposals on a host that does not lead,
// followers, leadership transfer, repair after a data folder was emptied, and a
// restart of all hosts.
func TestGroupLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, 3, 3, Options{SnapshotEntries: 50})
		n.startAll()
		for i := range 120 {
			n.propose(configure(fmt.Sprint("c", i), uint64(i)))
		}
		leader := n.awaitLeader()
		var refused *NotLeaderError
		if _, err := n.others(leader)[0].group().Propose(t.Context(), state.Command{}); !errors.As(err, &refused) || refused.Leader != leader.name {
			t.Errorf("proposal on a host that does not lead: %v, want NotLeaderError with the leader", err)
		}
		n.propose(state.Command{UnixMS: 1, Claim: &state.Claim{Key: "k", Caller: "c", CreatedMS: 1, Fingerprint: "f"}})
		checkFollower(t, leader)

		if err := leader.group().TransferLeader(t.Context()); err != nil {
			t.Error(err)
		}
		if next := n.awaitLeader(); next == leader {
			t.Error("leadership was not transferred")
		}

		// The host that founded the group loses its data folder. It must not found
		// another group while it is disconnected, and rejoins with a new member ID.
		emptied := n.hosts[0]
		oldID := emptied.group().Status().MemberID
		n.stopHost(emptied)
		if err := os.RemoveAll(emptied.folder); err != nil {
			t.Fatal(err)
		}
		n.disconnect(emptied.name)
		n.start(emptied)
		time.Sleep(10 * time.Second)
		if s := emptied.group().Status(); s.Leading || s.LastIndex > 0 {
			t.Errorf("a host with an emptied folder founded a group: %+v", s)
		}
		n.disconnect("")
		time.Sleep(20 * time.Second)
		members := n.awaitLeader().group().Status().Members
		for _, m := range members {
			if m.ID == oldID || !m.Voter {
				t.Errorf("after the repair: member %+v, want only voters and not the old member ID", m)
			}
		}
		if len(members) != 3 || emptied.group().Status().MemberID == oldID {
			t.Errorf("members after the repair: %+v, want 3 and a new member ID for the emptied host", members)
		}
		n.awaitEqualStates()

		n.stopAll()
		n.startAll()
		n.propose(configure("last", 120))
		n.awaitEqualStates()
		n.stopAll()
	})
}

// TestGroupGrowsToTarget guards against control hosts that only the later loss of a
// voter makes members: until then, the loss of two of five disks could end the group.
func TestGroupGrowsToTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, 5, 3, Options{TargetVoters: 5})
		n.startAll()
		n.propose(configure("first", 0))
		time.Sleep(10 * time.Second)
		if voters := n.awaitLeader().group().voterCount(); voters != 5 {
			t.Errorf("%d voters, want all 5 control hosts", voters)
		}
		n.propose(configure("second", 1))
		n.awaitEqualStates()
		n.stopAll()
	})
}

// TestReplacementTakesNewSeeds guards against a control host that never joins because the seeds of its
// settings are gone when it starts, although its settings name others later, and against a wait that
// the status of the leader and of the host do not tell.
func TestReplacementTakesNewSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, 5, 3, Options{TargetVoters: 5, RepairAfter: 1500 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond})
		n.startAll()
		n.propose(configure("first", 0))
		time.Sleep(10 * time.Second)
		leader := n.awaitLeader()
		lost := n.others(leader)[0]
		n.stopHost(lost)
		n.hosts = slices.DeleteFunc(n.hosts, func(h *testHost) bool { return h == lost })
		if got := leader.group().Status().Tolerated; got != 2 {
			t.Errorf("the group bears %d further losses, want 2 before the loss is noticed", got)
		}

		n.options.Bootstrap, n.options.DisableFounding = []consensus.Member{{Host: lost.name, PeerAddress: lost.name}}, true
		replacement := &testHost{name: "replacement", folder: filepath.Join(t.TempDir(), "replacement")}
		n.hosts = append(n.hosts, replacement)
		n.start(replacement)
		time.Sleep(10 * time.Second)
		if s := replacement.group().Status(); len(s.Members) > 0 || leader.group().Status().Tolerated != 1 {
			t.Fatalf("without a seed: members %+v, the group bears %d further losses, want 1", s.Members, leader.group().Status().Tolerated)
		}
		seed := n.others(leader)[0]
		replacement.group().SetSeeds([]consensus.Member{{Host: seed.name, PeerAddress: seed.name}})
		time.Sleep(6 * time.Second)
		s := n.awaitLeader().group().Status()
		voters, _ := s.hosts()
		if len(voters) != 5 || !slices.Contains(voters, replacement.name) || slices.Contains(voters, lost.name) || s.Tolerated != 2 || len(s.Offers) > 0 {
			t.Errorf("voters %v, %d further losses borne, offers %v; want the five hosts that run", voters, s.Tolerated, s.Offers)
		}
		n.stopAll()
	})
}

// TestFullDisk guards the case of a leader whose disk is full: it must step down,
// the other hosts must continue, and no accepted command may be lost.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNet(t, 3, 3, Options{})
		n.startAll()
		n.propose(configure("first", 0))
		fullHost := n.awaitLeader()
		third := n.others(fullHost)[0]
		n.stopHost(fullHost)
		n.options.maxBytes = 1 << 20
		n.start(fullHost)
		n.options.maxBytes = 0
		// While the third host is stopped, only the host with the small disk can
		// become the leader.
		time.Sleep(3 * time.Second)
		n.stopHost(third)
		if leader := n.awaitLeader(); leader != fullHost {
			if err := leader.group().TransferLeader(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		n.start(third)
		time.Sleep(3 * time.Second)
		if n.awaitLeader() != fullHost {
			t.Fatal("leadership was not transferred")
		}
		big := configure("big", 1)
		big.Configure.Next.Deployment.Name = incompressible(2 << 20)
		_, err := fullHost.group().Propose(t.Context(), big)
		if !errors.As(err, new(*OutcomeUnknownError)) || fullHost.group().CheckLease() || fullHost.group().Status().StorageErr == nil {
			t.Errorf("proposal that fills the disk: error %v, lease %v; want OutcomeUnknownError, no lease and a storage error", err, fullHost.group().CheckLease())
		}
		if _, err := fullHost.group().Propose(t.Context(), big); !errors.As(err, new(*StorageError)) {
			t.Errorf("proposal on a full disk: %v", err)
		}
		if n.awaitLeader() == fullHost {
			t.Error("the member with the full disk still leads")
		}
		n.propose(configure("first", 0))
		n.stopHost(fullHost)
		n.start(fullHost)
		n.awaitEqualStates()
		n.stopAll()
	})
}

// TestSyncBeforeSend guards against a member that acknowledges entries which are
// not on its disk. The only reachable follower cannot write, so nothing may be
// committed. If messages are sent before the write, the proposal wrongly succeeds
// although only the leader has the entry on disk.
func TestSyncBeforeSend(t *testing.T) {
	for _, sendBeforeSync := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newTestNet(t, 3, 3, Options{RepairAfter: -1})
			n.options.sendBeforeSync = sendBeforeSync
			n.startAll()
			n.propose(configure("first", 0))
			leader := n.awaitLeader()
			unwritable, third := n.others(leader)[0], n.others(leader)[1]
			n.stopHost(unwritable)
			n.options.maxBytes = 1 << 20
			n.start(unwritable)
			time.Sleep(time.Second)
			n.stopHost(third)
			big := configure("big", 1)
			big.Configure.Next.Deployment.Name = incompressible(2 << 20)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := leader.group().Propose(ctx, big)
			if committed := err == nil; committed != sendBeforeSync {
				t.Errorf("sending before the synced write %v: proposal returned %v", sendBeforeSync, err)
			}
			n.stopAll()
		})
	}
}

// TestConfigurationNeverReverts proposes competing changes for the same version,
// with resends, restarts, emptied data folders and snapshots. Exactly one change
// must win each version, a resend must get the first answer, and no host may
// return to an older version.
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
				resent := n.propose(configure(id, version))
				mu.Lock()
				defer mu.Unlock()
				if first.Rejection == nil {
					if w := winners[first.Version]; w != "" && w != id || resent.Version != first.Version || resent.Rejection != nil {
						t.Errorf("change %s won version %d, also won by %q; its resend got %+v", id, first.Version, w, resent)
					}
					winners[first.Version] = id
				} else if first.Rejection.Winner == "" || resent.Rejection == nil {
					t.Errorf("change %s was rejected without a winner or accepted when resent: %+v, resend %+v", id, first, resent)
				}
			})
		}
		h := n.hosts[rng.Intn(3)]
		if round%5 == 4 {
			time.Sleep(time.Duration(rng.Intn(10)) * time.Millisecond)
			n.stopHost(h)
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
				t.Errorf("host %s has version %d with change %q after version %d", h.name, v, name, seen[h])
			}
			seen[h] = v
		}
	}
	n.awaitEqualStates()
	n.stopAll()
}

// incompressible returns n random letters and digits, which take more than half of that
// in the log.
func incompressible(n int) string {
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	rng := rand.New(rand.NewSource(1))
	out := make([]byte, n)
	for i := range out {
		out[i] = alphabet[rng.Intn(len(alphabet))]
	}
	return string(out)
}
