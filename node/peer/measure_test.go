package peer

import (
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenwheel/pollenwheel/core/membership"
)

// callOverheadBytes is the approximate size of the frames and headers of one call
// in each direction, once the headers are in the compression table.
const callOverheadBytes = 60

// gossipNetwork simulates hosts that exchange gossip. It delivers messages without
// loss and counts the messages and their encoded bytes by the sender's address.
type gossipNetwork struct {
	tables map[string]*membership.Table
	// addresses are the keys of tables in the order of creation.
	addresses []string
	// sentBytes and calls are nil until the first call of resetCounters. Until then
	// nothing is counted.
	sentBytes map[string]int
	calls     map[string]int
}

func newGossipNetwork(hosts, centres int) *gossipNetwork {
	n := &gossipNetwork{tables: map[string]*membership.Table{}}
	for i := range hosts {
		a := fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250)
		n.addresses = append(n.addresses, a)
		n.tables[a] = membership.New(membership.Options{
			Self: membership.Host{
				Name: fmt.Sprintf("host-%03d", i), DataCentre: fmt.Sprintf("centre-%02d", i%centres),
				CallerAddress: a, PeerAddress: a, Incarnation: 1_790_000_000_000_000_000, Ready: true,
			},
			Seeds: []string{"10.0.0.0:7200", "10.0.0.1:7200"}, Rand: rand.New(rand.NewSource(int64(i))),
		})
	}
	return n
}

// resetCounters starts the counting, or starts it again at zero.
func (n *gossipNetwork) resetCounters() { n.sentBytes, n.calls = map[string]int{}, map[string]int{} }

// run advances the time from start by duration in ticks of 100 ms and returns the
// new time. Each server announces itself once a second, and randomly chosen
// servers change at the rate changesPerSecond.
func (n *gossipNetwork) run(start, duration time.Duration, servers []membership.Server, centres int, changesPerSecond float64, rng *rand.Rand) time.Duration {
	changesDue := 0.0
	now := start
	for ; now < start+duration; now += 100 * time.Millisecond {
		for i := range servers {
			if int(now/(100*time.Millisecond))%10 == i%10 {
				n.announce(now, &servers[i], centres, rng)
			}
		}
		for changesDue += changesPerSecond / 10; changesDue >= 1; changesDue-- {
			s := &servers[rng.Intn(len(servers))]
			s.Models[rng.Intn(len(s.Models))].Order++
			n.announce(now, s, centres, rng)
		}
		for _, a := range n.addresses {
			n.tables[a].Tick(now)
			n.deliver(now, a)
		}
	}
	return now
}

// announce delivers an announcement of s with a new random load to a random host
// of its data centre.
func (n *gossipNetwork) announce(now time.Duration, s *membership.Server, centres int, rng *rand.Rand) {
	var centre int
	_, _ = fmt.Sscanf(s.DataCentre, "centre-%d", &centre)
	hosts := (len(n.addresses) - centre + centres - 1) / centres
	a := n.addresses[(centre+centres*rng.Intn(max(hosts, 1)))%len(n.addresses)]
	s.Sequence++
	s.Load = membership.Load{Running: rng.Intn(64), KVUsedMiB: rng.Int63n(40_000)}
	n.tables[a].Announce(now, *s)
	n.deliver(now, a)
}

func (n *gossipNetwork) deliver(now time.Duration, address string) {
	queue := n.tables[address].Ready(now)
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if n.sentBytes != nil {
			n.sentBytes[m.FromAddress] += proto.Size(gossipToProto(m)) + callOverheadBytes
			n.calls[m.FromAddress]++
		}
		n.tables[m.To].Step(now, m)
		queue = append(queue, n.tables[m.To].Ready(now)...)
	}
}

// testServers returns n servers spread over the data centres, each with the given
// number of ready adapters.
func testServers(n, centres, reports int) []membership.Server {
	var out []membership.Server
	for i := range n {
		s := membership.Server{
			Name: fmt.Sprintf("server-%04d", i), Service: "lace-assist", Kind: "engine", DataCentre: fmt.Sprintf("centre-%02d", i%centres),
			Address: fmt.Sprintf("10.1.%d.%d:7300", i/250, i%250), Incarnation: 1_790_000_000_000_000_000, Accelerators: 8, MemoryMiB: 640_000,
		}
		for k := range reports {
			s.Models = append(s.Models, membership.ModelReport{
				Model: "pattern-guide", Adapter: fmt.Sprintf("adapter-%05d", k), Version: "1", Phase: membership.ReportReady, Order: 1000,
			})
		}
		out = append(out, s)
	}
	return out
}

// TestMeasureGossip prints the figures for the section Membership of
// docs/CAPACITY.md. It runs only if POLLENWHEEL_MEASURE is set.
func TestMeasureGossip(t *testing.T) {
	if os.Getenv("POLLENWHEEL_MEASURE") == "" {
		t.Skip("POLLENWHEEL_MEASURE is not set")
	}
	cases := []struct {
		hosts, servers, centres, reports int
		changes                          float64
	}{
		{8, 12, 3, 3, 0}, {8, 100, 3, 3, 0}, {8, 400, 3, 3, 0},
		{30, 12, 3, 3, 0}, {100, 12, 15, 3, 0}, {340, 12, 15, 3, 0},
		{30, 200, 3, 45, 0}, {30, 200, 3, 45, 2.7}, {100, 400, 15, 3, 0},
	}
	for _, c := range cases {
		n := newGossipNetwork(c.hosts, c.centres)
		servers := testServers(c.servers, c.centres, c.reports)
		rng := rand.New(rand.NewSource(1))
		now := n.run(0, 10*time.Second, servers, c.centres, c.changes, rng)
		n.resetCounters()
		const measuredTime = 20 * time.Second
		start := time.Now()
		n.run(now, measuredTime, servers, c.centres, c.changes, rng)
		elapsed := time.Since(start)
		total, highest, calls := 0, 0, 0
		for _, a := range n.addresses {
			total += n.sentBytes[a]
			highest = max(highest, n.sentBytes[a])
			calls += n.calls[a]
		}
		hostSeconds := float64(c.hosts) * measuredTime.Seconds()
		fmt.Printf("gossip: %3d hosts, %4d servers with %2d reports, %.1f changes/s: %.2f KB/s sent per host (highest %.2f), %.1f messages/s, %.2f%% of a core\n",
			c.hosts, c.servers, c.reports, c.changes, float64(total)/hostSeconds/1000, float64(highest)/measuredTime.Seconds()/1000, float64(calls)/hostSeconds, 100*elapsed.Seconds()/hostSeconds)
	}
}
