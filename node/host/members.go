package host

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

const (
	// tableTickInterval is the interval between ticks of the membership table.
	tableTickInterval = 100 * time.Millisecond
	// maxGossipCalls bounds the calls in progress to one host, so that a stalled link
	// uses little memory.
	maxGossipCalls = 8
)

// SupersededError reports that a newer process uses this host's name.
type SupersededError struct{ Host string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("host: a newer process uses the host name %s", e.Host)
}

// members runs the membership table and exchanges its messages with other hosts.
type members struct {
	client *peer.Client
	now    func() time.Duration
	voters []settings.Peer
	self   string
	// offered reports whether a service is configured. Nil means that all are.
	offered func(service string) bool

	mu       sync.Mutex
	table    *membership.Table
	lastTick time.Duration
	// changed is closed when the number of changes in the table differs from
	// seenChanges.
	changed     chan struct{}
	seenChanges uint64

	callsMu sync.Mutex
	// calls holds the number of gossip calls in progress, by peer address.
	calls map[string]int
	wg    sync.WaitGroup
	// dropped counts the gossip messages that were not sent.
	dropped atomic.Int64
}

func newMembers(s settings.Settings, self membership.Host, client *peer.Client, now func() time.Duration) *members {
	m := &members{
		client: client, now: now, voters: s.Voters, self: s.Host, calls: map[string]int{}, changed: make(chan struct{}),
	}
	options := membership.Options{
		Self: self, Seeds: s.Seeds, Rand: rand.New(rand.NewSource(int64(self.Incarnation))), Offered: m.serviceOffered,
	}
	if s.AnnounceAcrossDataCentres {
		options.RemoteHeartbeatEvery = 1
	}
	m.table = membership.New(options)
	return m
}

func (m *members) serviceOffered(service string) bool { return m.offered == nil || m.offered(service) }

// withTable calls f with the table and sends the messages that it has ready. If
// the process was suspended since the last tick, withTable first ticks the table,
// which detects the gap. Otherwise the table would classify hosts as silent
// although this process itself could not receive their messages.
func (m *members) withTable(f func(t *membership.Table, now time.Duration)) {
	for _, msg := range m.updateTable(f) {
		m.send(msg)
	}
}

// updateTable calls f with the table and returns the messages to send. The lock is
// released also if f panics, since the handlers of messages recover from that.
func (m *members) updateTable(f func(t *membership.Table, now time.Duration)) []membership.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if now-m.lastTick >= 5*tableTickInterval {
		m.lastTick = now
		m.table.Tick(now)
	}
	f(m.table, now)
	out := m.table.Ready(now)
	if n := m.table.Changes(); n != m.seenChanges {
		m.seenChanges = n
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return out
}

// send sends a message in the background. It drops the message if maxGossipCalls
// calls to the host are in progress; the digests repair the loss.
func (m *members) send(msg membership.Message) {
	m.callsMu.Lock()
	defer m.callsMu.Unlock()
	if m.calls[msg.To] >= maxGossipCalls {
		m.dropped.Add(1)
		return
	}
	m.calls[msg.To]++
	m.wg.Go(func() {
		// An error needs no handling here, since the table repeats what has not been
		// confirmed.
		_ = m.client.Gossip(context.Background(), msg)
		m.callsMu.Lock()
		defer m.callsMu.Unlock()
		if m.calls[msg.To]--; m.calls[msg.To] == 0 {
			delete(m.calls, msg.To)
		}
	})
}

// run ticks the table until ctx ends. It returns a SupersededError if a newer
// process uses this host's name.
func (m *members) run(ctx context.Context) error {
	tick := time.NewTicker(tableTickInterval)
	defer tick.Stop()
	defer m.wg.Wait()
	for {
		superseded := false
		m.withTable(func(t *membership.Table, now time.Duration) {
			m.lastTick = now
			t.Tick(now)
			superseded = t.Superseded()
		})
		if superseded {
			return &SupersededError{Host: m.self}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (m *members) receive(msg membership.Message) {
	m.withTable(func(t *membership.Table, now time.Duration) { t.Step(now, msg) })
}

func (m *members) announce(s membership.Server) {
	m.withTable(func(t *membership.Table, now time.Duration) { t.Announce(now, s) })
}

// finalSequence is a sequence number above that of every announcement of a server
// process.
const finalSequence = 1 << 62

// finalAnnouncement returns the announcement that a server process leaves. Older ones of the
// same process that say otherwise have no effect after it.
func finalAnnouncement(s membership.Server) membership.Server {
	s.Leaving, s.Sequence = true, finalSequence
	return s
}

// recordLeaving records that a server process has said in an answer that it is leaving, and
// passes it on to the other hosts.
func (m *members) recordLeaving(p notice.Process) {
	for _, s := range m.Servers() {
		if s.Name == p.Server && s.Incarnation == p.Incarnation && !s.Leaving {
			m.announce(finalAnnouncement(s.Server))
		}
	}
}

func (m *members) leave() {
	m.withTable(func(t *membership.Table, _ time.Duration) { t.Leave() })
}

// serversChanged returns a channel that is closed at the next change of state of a
// host or backend server. A change of load alone does not close it.
func (m *members) serversChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// setSeeds replaces the control hosts to contact while no others are known.
func (m *members) setSeeds(seeds []settings.Peer) {
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, s.Address)
	}
	m.withTable(func(t *membership.Table, _ time.Duration) {
		t.SetSeeds(addresses)
		m.voters = seeds
	})
}

func (m *members) setReady(ready bool) {
	m.withTable(func(t *membership.Table, _ time.Duration) { t.SetReady(ready) })
}

func (m *members) synced() (ok bool) {
	m.withTable(func(t *membership.Table, now time.Duration) { ok = t.Synced(now) })
	return ok
}

func (m *members) addresses(dataCentre string) (out []membership.Address) {
	m.withTable(func(t *membership.Table, now time.Duration) { out = t.Addresses(now, dataCentre) })
	return out
}

// Servers returns the backend servers in the membership table.
func (m *members) Servers() (out []membership.ServerStatus) {
	m.withTable(func(t *membership.Table, now time.Duration) { out = t.Servers(now) })
	return out
}

// serverSeen returns when a server process last announced itself, as far as this host has
// heard, and false if another process or none is known under the name.
func (m *members) serverSeen(server string, incarnation uint64) (at time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest, at, ok := m.table.ServerSeen(server)
	return at, ok && newest == incarnation
}

func (m *members) hosts() (out []membership.HostStatus) {
	m.withTable(func(t *membership.Table, now time.Duration) { out = t.Hosts(now) })
	return out
}

// hostRecords returns the records of the hosts, without whether they are silent.
func (m *members) hostRecords() []membership.Host {
	var out []membership.Host
	for _, h := range m.hosts() {
		out = append(out, h.Host)
	}
	return out
}

// Hosts returns the hosts with their status for the administration API.
func (m *members) Hosts() []admin.HostStatus {
	var out []admin.HostStatus
	for _, h := range m.hosts() {
		out = append(out, admin.HostStatus{Host: h.Host, Silent: h.Silent})
	}
	return out
}

// seeds returns the control hosts to contact while no others are known.
func (m *members) seeds() []settings.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.voters
}

// ControlHosts returns the peer addresses, by host name, of the other control hosts
// that are not silent. If there is none, it returns the addresses of all other
// control hosts that are known.
func (m *members) ControlHosts() map[string]string {
	notSilent, all := map[string]string{}, map[string]string{}
	for _, v := range m.seeds() {
		all[v.Name] = v.Address
	}
	for _, h := range m.hosts() {
		if !h.Control {
			continue
		}
		all[h.Name] = h.PeerAddress
		if !h.Silent {
			notSilent[h.Name] = h.PeerAddress
		}
	}
	delete(notSilent, m.self)
	delete(all, m.self)
	if len(notSilent) > 0 {
		return notSilent
	}
	return all
}

// peerAddress returns the peer address of a host, or an empty string if the host is
// not known.
func (m *members) peerAddress(name string) string {
	for _, h := range m.hosts() {
		if h.Name == name {
			return h.PeerAddress
		}
	}
	return ""
}

var errUnknownHost = errors.New("the host is not known")

// requestDrain asks the named host to leave.
func (m *members) requestDrain(ctx context.Context, host string) error {
	address := m.peerAddress(host)
	if address == "" {
		return errUnknownHost
	}
	return m.client.Drain(ctx, address)
}
