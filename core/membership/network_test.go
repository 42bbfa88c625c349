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
	// delay is the longest delay; unequal delays reorder messages.
	delay time.Duration
}

type flight struct {
	at     time.Duration
	number int
	msg    Message
}

// flights is a heap by time of arrival, and by order of sending.
type flights []flight

func (q flights) Len() int { return len(q) }
func (q flights) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q flights) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *flights) Push(x any)   { *q = append(*q, x.(flight)) }
func (q *flights) Pop() any {
	last := len(*q) - 1
	f := (*q)[last]
	*q = (*q)[:last]
	return f
}

type member struct {
	table  *Table
	host   Host
	frozen bool
	// held keeps what arrives while the process is stopped.
	held []Message
}

// network delivers the messages of several tables in virtual time.
type network struct {
	now     time.Duration
	rand    *rand.Rand
	faults  faults
	members []*member
	// byAddress finds members by their peer address.
	byAddress map[string]*member
	cut       map[[2]string]bool
	queue     flights
	// old keeps some delivered messages to be repeated much later.
	old    []Message
	posted int
	// count is called with every message sent, to measure traffic.
	count func(Message)
}

var dataCentres = []string{"waco", "temple", "bryan"}

func newNetwork(n int, seed int64, f faults) *network {
	w := &network{rand: rand.New(rand.NewSource(seed)), faults: f, cut: map[[2]string]bool{}, byAddress: map[string]*member{}}
	for i := range n {
		h := Host{
			Name: fmt.Sprintf("host-%03d", i), DataCentre: dataCentres[i%len(dataCentres)], Ready: true,
			PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), CallerAddress: fmt.Sprintf("10.0.%d.%d:2", i/250, i%250),
		}
		w.members = append(w.members, &member{host: h})
		w.byAddress[h.PeerAddress] = w.members[i]
		w.restart(i)
	}
	return w
}

// restart replaces the table of member i by that of a new process.
func (w *network) restart(i int) {
	m := w.members[i]
	m.host.Incarnation = uint64(w.now) + uint64(w.rand.Intn(1000)) + m.host.Incarnation + 1
	seeds := []string{w.members[0].host.PeerAddress, w.members[min(1, len(w.members)-1)].host.PeerAddress}
	m.table = New(Options{Self: m.host, Seeds: seeds, Rand: rand.New(rand.NewSource(w.rand.Int63()))})
	m.frozen, m.held = false, nil
}

// step advances by one tick and delivers what is due.
func (w *network) step() {
	w.now += tick
	for w.deliver() {
	}
	for _, m := range w.members {
		if !m.frozen {
			m.table.Tick(w.now)
			w.collect(m)
		}
	}
}

func (w *network) deliver() bool {
	if len(w.queue) == 0 || w.queue[0].at > w.now {
		return false
	}
	f := heap.Pop(&w.queue).(flight)
	m := w.byAddress[f.msg.To]
	if m.frozen {
		m.held = append(m.held, f.msg)
		return true
	}
	m.table.Step(w.now, f.msg)
	w.collect(m)
	return true
}

func (w *network) thaw(i int) {
	m := w.members[i]
	m.frozen = false
	m.table.Tick(w.now)
	for _, msg := range m.held {
		m.table.Step(w.now, msg)
	}
	m.held = nil
	w.collect(m)
}

func (w *network) collect(m *member) {
	for _, msg := range m.table.Ready(w.now) {
		if w.count != nil {
			w.count(msg)
		}
		if w.cut[[2]string{msg.FromAddress, msg.To}] || w.rand.Float64() < w.faults.drop {
			continue
		}
		w.post(msg)
		if w.rand.Float64() < w.faults.repeat {
			w.post(msg)
			w.old = append(w.old, msg)
		}
	}
}

func (w *network) post(msg Message) {
	d := time.Millisecond
	if w.faults.delay > 0 {
		d = time.Duration(w.rand.Int63n(int64(w.faults.delay)))
	}
	w.posted++
	heap.Push(&w.queue, flight{w.now + d, w.posted, msg})
}

// replay delivers an old message again.
func (w *network) replay() {
	if len(w.old) > 0 {
		w.post(w.old[w.rand.Intn(len(w.old))])
	}
}

func (w *network) cutLink(a, b int, both bool) {
	x, y := w.members[a].host.PeerAddress, w.members[b].host.PeerAddress
	w.cut[[2]string{x, y}] = true
	if both {
		w.cut[[2]string{y, x}] = true
	}
}

func (w *network) heal() { w.cut = map[[2]string]bool{} }

// serverModel is a backend server of the test and its newest announcement.
type serverModel struct {
	Server
	// running servers announce themselves about once a second.
	running bool
	next    time.Duration
}

func newServer(i int) *serverModel {
	return &serverModel{running: true, Server: Server{
		Name: fmt.Sprintf("server-%04d", i), Service: "lace-assist", DataCentre: dataCentres[i%len(dataCentres)],
		Address: fmt.Sprintf("10.1.%d.%d:3", i/250, i%250), Incarnation: 1, MemoryMiB: 80_000,
	}}
}

// announce sends a newer announcement to one host, if that host runs.
func (w *network) announce(s *serverModel, host int) bool {
	m := w.members[host]
	if m.frozen {
		return false
	}
	s.Sequence++
	s.Load = Load{Running: 1 + int(s.Sequence)}
	s.next = w.now + time.Second
	m.table.Announce(w.now, s.Server)
	w.collect(m)
	return true
}

// announceDue lets every running server announce itself to a random host.
func (w *network) announceDue(servers []*serverModel) {
	for _, s := range servers {
		if s.running && w.now >= s.next {
			w.announce(s, w.rand.Intn(len(w.members)))
		}
	}
}

// run advances with announcements.
func (w *network) run(d time.Duration, servers []*serverModel) {
	for end := w.now + d; w.now < end; {
		w.announceDue(servers)
		w.step()
	}
}
