package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"
)

const tick = 100 * time.Millisecond

// faults describes an in-memory network. Probabilities are per message.
type faults struct {
	drop, repeat float64
	// delay is the maximum delay; unequal delays reorder messages.
	delay time.Duration
}

type delivery struct {
	arrival time.Duration
	number  int
	msg     Message
}

// deliveryQueue is a heap ordered by time of arrival, then by order of sending.
type deliveryQueue []delivery

func (q deliveryQueue) Len() int { return len(q) }
func (q deliveryQueue) Less(i, j int) bool {
	return q[i].arrival < q[j].arrival || q[i].arrival == q[j].arrival && q[i].number < q[j].number
}
func (q deliveryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveryQueue) Pop() any {
	last := len(*q) - 1
	f := (*q)[last]
	*q = (*q)[:last]
	return f
}

// simHost is a simulated host with the table of its current process.
type simHost struct {
	table  *Table
	host   Host
	frozen bool
	// delayed holds the messages that arrive while the process is frozen.
	delayed []Message
}

// network simulates the exchange of messages between several tables in virtual
// time.
type network struct {
	now    time.Duration
	rand   *rand.Rand
	faults faults
	hosts  []*simHost
	// byAddress finds hosts by their peer address.
	byAddress map[string]*simHost
	blocked   map[[2]string]bool
	queue     deliveryQueue
	// replayable holds some sent messages that replay may repeat much later.
	replayable  []Message
	postedCount int
	// onSend, if set, is called with every message sent, to check the traffic.
	onSend func(Message)
}

var dataCentres = []string{"waco", "temple", "bryan"}

func newNetwork(n int, seed int64, f faults) *network {
	net := &network{rand: rand.New(rand.NewSource(seed)), faults: f, blocked: map[[2]string]bool{}, byAddress: map[string]*simHost{}}
	for i := range n {
		h := Host{
			Name: fmt.Sprintf("host-%03d", i), DataCentre: dataCentres[i%len(dataCentres)], Ready: true,
			PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), CallerAddress: fmt.Sprintf("10.0.%d.%d:2", i/250, i%250),
		}
		net.hosts = append(net.hosts, &simHost{host: h})
		net.byAddress[h.PeerAddress] = net.hosts[i]
		net.restart(i)
	}
	return net
}

// restart replaces the table of host i by the table of a new process.
func (net *network) restart(i int) {
	m := net.hosts[i]
	m.host.Incarnation = uint64(net.now) + uint64(net.rand.Intn(1000)) + m.host.Incarnation + 1
	seeds := []string{net.hosts[0].host.PeerAddress, net.hosts[min(1, len(net.hosts)-1)].host.PeerAddress}
	m.table = New(Options{Self: m.host, Seeds: seeds, Rand: rand.New(rand.NewSource(net.rand.Int63()))})
	m.frozen, m.delayed = false, nil
}

// step advances time by one tick, delivers due messages and ticks all tables.
func (net *network) step() {
	net.now += tick
	for net.deliver() {
	}
	for _, m := range net.hosts {
		if !m.frozen {
			m.table.Tick(net.now)
			net.collect(m)
		}
	}
}

func (net *network) deliver() bool {
	if len(net.queue) == 0 || net.queue[0].arrival > net.now {
		return false
	}
	next := heap.Pop(&net.queue).(delivery)
	m := net.byAddress[next.msg.To]
	if m.frozen {
		m.delayed = append(m.delayed, next.msg)
		return true
	}
	m.table.Step(net.now, next.msg)
	net.collect(m)
	return true
}

// unfreeze lets host i run again and delivers the messages that arrived while
// it was frozen.
func (net *network) unfreeze(i int) {
	m := net.hosts[i]
	m.frozen = false
	m.table.Tick(net.now)
	for _, msg := range m.delayed {
		m.table.Step(net.now, msg)
	}
	m.delayed = nil
	net.collect(m)
}

func (net *network) collect(m *simHost) {
	for _, msg := range m.table.Ready(net.now) {
		if net.onSend != nil {
			net.onSend(msg)
		}
		if net.blocked[[2]string{msg.FromAddress, msg.To}] || net.rand.Float64() < net.faults.drop {
			continue
		}
		net.post(msg)
		if net.rand.Float64() < net.faults.repeat {
			net.post(msg)
			net.replayable = append(net.replayable, msg)
		}
	}
}

func (net *network) post(msg Message) {
	d := time.Millisecond
	if net.faults.delay > 0 {
		d = time.Duration(net.rand.Int63n(int64(net.faults.delay)))
	}
	net.postedCount++
	heap.Push(&net.queue, delivery{net.now + d, net.postedCount, msg})
}

// replay sends a random old message again.
func (net *network) replay() {
	if len(net.replayable) > 0 {
		net.post(net.replayable[net.rand.Intn(len(net.replayable))])
	}
}

func (net *network) blockLink(a, b int, both bool) {
	from, to := net.hosts[a].host.PeerAddress, net.hosts[b].host.PeerAddress
	net.blocked[[2]string{from, to}] = true
	if both {
		net.blocked[[2]string{to, from}] = true
	}
}

func (net *network) heal() { net.blocked = map[[2]string]bool{} }

// simServer is a simulated backend server with its newest announcement.
type simServer struct {
	Server
	// running servers announce themselves about once a second.
	running          bool
	nextAnnouncement time.Duration
}

func newServer(i int) *simServer {
	return &simServer{running: true, Server: Server{
		Name: fmt.Sprintf("server-%04d", i), Service: "lace-assist", DataCentre: dataCentres[i%len(dataCentres)],
		Address: fmt.Sprintf("10.1.%d.%d:3", i/250, i%250), Incarnation: 1, MemoryMiB: 80_000,
	}}
}

// announce sends a new announcement to one host and reports whether the host
// received it, that is, whether it is not frozen.
func (net *network) announce(s *simServer, host int) bool {
	m := net.hosts[host]
	if m.frozen {
		return false
	}
	s.Sequence++
	s.Load = Load{Running: 1 + int(s.Sequence)}
	s.nextAnnouncement = net.now + time.Second
	m.table.Announce(net.now, s.Server)
	net.collect(m)
	return true
}

// announceDue sends the due announcement of every running server to a random
// host.
func (net *network) announceDue(servers []*simServer) {
	for _, s := range servers {
		if s.running && net.now >= s.nextAnnouncement {
			net.announce(s, net.rand.Intn(len(net.hosts)))
		}
	}
}

// run advances time by d while the running servers announce themselves.
func (net *network) run(d time.Duration, servers []*simServer) {
	for end := net.now + d; net.now < end; {
		net.announceDue(servers)
		net.step()
	}
}
