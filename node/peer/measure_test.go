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

// callOverhead approximates the frames and headers of one call in each
// direction, in bytes, once the headers are in the compression table.
const callOverhead = 60

// gossipNet delivers messages without loss and counts their encoded bytes.
type gossipNet struct {
	tables map[string]*membership.Table
	order  []string
	sent   map[string]int
	calls  map[string]int
}

func newGossipNet(hosts, centres int) *gossipNet {
	n := &gossipNet{tables: map[string]*membership.Table{}}
	for i := range hosts {
		a := fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250)
		n.order = append(n.order, a)
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

func (n *gossipNet) reset() { n.sent, n.calls = map[string]int{}, map[string]int{} }

// run advances in ticks; servers announce once a second, and change at times.
func (n *gossipNet) run(from, length time.Duration, servers []membership.Server, centres int, changesPerSecond float64, rng *rand.Rand) time.Duration {
	due := 0.0
	now := from
	for ; now < from+length; now += 100 * time.Millisecond {
		for i := range servers {
			if int(now/(100*time.Millisecond))%10 == i%10 {
				n.announce(now, &servers[i], centres, rng)
			}
		}
		for due += changesPerSecond / 10; due >= 1; due-- {
			s := &servers[rng.Intn(len(servers))]
			s.Models[rng.Intn(len(s.Models))].Order++
			n.announce(now, s, centres, rng)
		}
		for _, a := range n.order {
			n.tables[a].Tick(now)
			n.deliver(now, a)
		}
	}
	return now
}

// announce sends to a random host of the server's data centre.
func (n *gossipNet) announce(now time.Duration, s *membership.Server, centres int, rng *rand.Rand) {
	var centre int
	_, _ = fmt.Sscanf(s.DataCentre, "centre-%d", &centre)
	hosts := (len(n.order) - centre + centres - 1) / centres
	a := n.order[(centre+centres*rng.Intn(max(hosts, 1)))%len(n.order)]
	s.Sequence++
	s.Load = membership.Load{Running: rng.Intn(64), KVUsedMiB: rng.Int63n(40_000)}
	n.tables[a].Announce(now, *s)
	n.deliver(now, a)
}

func (n *gossipNet) deliver(now time.Duration, address string) {
	queue := n.tables[address].Ready(now)
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if n.sent != nil {
			n.sent[m.FromAddress] += proto.Size(gossipToProto(m)) + callOverhead
			n.calls[m.FromAddress]++
		}
		n.tables[m.To].Step(now, m)
		queue = append(queue, n.tables[m.To].Ready(now)...)
	}
}

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

// TestMeasureGossip prints the figures of docs/CAPACITY.md, section Membership.
// It runs only when POLLENWHEEL_MEASURE is set.
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
		n := newGossipNet(c.hosts, c.centres)
		servers := testServers(c.servers, c.centres, c.reports)
		rng := rand.New(rand.NewSource(1))
		now := n.run(0, 10*time.Second, servers, c.centres, c.changes, rng)
		n.reset()
		const span = 20 * time.Second
		start := time.Now()
		n.run(now, span, servers, c.centres, c.changes, rng)
		elapsed := time.Since(start)
		total, most, calls := 0, 0, 0
		for _, a := range n.order {
			total += n.sent[a]
			most = max(most, n.sent[a])
			calls += n.calls[a]
		}
		hosts := float64(c.hosts) * span.Seconds()
		fmt.Printf("gossip: %3d hosts, %4d servers with %2d reports, %.1f changes/s: %.2f KB/s sent per host (highest %.2f), %.1f messages/s, %.2f%% of a core\n",
			c.hosts, c.servers, c.reports, c.changes, float64(total)/hosts/1000, float64(most)/span.Seconds()/1000, float64(calls)/hosts, 100*elapsed.Seconds()/hosts)
	}
}
