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
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

const (
	// memberTick is the interval of the membership table's clock.
	memberTick = 100 * time.Millisecond
	// maxGossipCalls bounds the calls to one host that are in progress, so that
	// a stalled link holds little memory.
	maxGossipCalls = 8
)

// SupersededError reports that a newer process runs under this host's name.
type SupersededError struct{ Host string }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("host: a newer process runs under the name %s", e.Host)
}

// members drives the membership table.
type members struct {
	client *peer.Client
	now    func() time.Duration
	voters []settings.Peer
	self   string

	mu       sync.Mutex
	table    *membership.Table
	lastTick time.Duration
	// changed is closed when the table has counted more changes than seen.
	changed chan struct{}
	seen    uint64

	callsMu sync.Mutex
	calls   map[string]int
	wg      sync.WaitGroup
	dropped atomic.Int64
}

func newMembers(s settings.Settings, self membership.Host, client *peer.Client, now func() time.Duration) *members {
	options := membership.Options{
		Self: self, Seeds: s.Seeds, Rand: rand.New(rand.NewSource(int64(self.Incarnation))),
	}
	if s.AnnouncedAnywhere {
		options.RemoteHeartbeatEvery = 1
	}
	return &members{
		client: client, now: now, voters: s.Voters, self: s.Host, calls: map[string]int{}, changed: make(chan struct{}),
		table: membership.New(options),
	}
}

// do runs f on the table and sends what became ready. A process that was
// stopped first lets the table notice the gap, so that it judges no silence by
// what it could not hear.
func (m *members) do(f func(t *membership.Table, now time.Duration)) {
	m.mu.Lock()
	now := m.now()
	if now-m.lastTick >= 5*memberTick {
		m.lastTick = now
		m.table.Tick(now)
	}
	f(m.table, now)
	out := m.table.Ready(now)
	if n := m.table.Changes(); n != m.seen {
		m.seen = n
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	for _, msg := range out {
		m.send(msg)
	}
}

// send delivers a message in the background. Messages that find too many calls
// in progress are dropped; digests make up for them.
func (m *members) send(msg membership.Message) {
	m.callsMu.Lock()
	defer m.callsMu.Unlock()
	if m.calls[msg.To] >= maxGossipCalls {
		m.dropped.Add(1)
		return
	}
	m.calls[msg.To]++
	m.wg.Go(func() {
		// An error needs no answer here: the table repeats what is not confirmed.
		_ = m.client.Gossip(context.Background(), msg)
		m.callsMu.Lock()
		defer m.callsMu.Unlock()
		if m.calls[msg.To]--; m.calls[msg.To] == 0 {
			delete(m.calls, msg.To)
		}
	})
}

// run ticks the table until ctx ends.
func (m *members) run(ctx context.Context) error {
	tick := time.NewTicker(memberTick)
	defer tick.Stop()
	defer m.wg.Wait()
	for {
		superseded := false
		m.do(func(t *membership.Table, now time.Duration) {
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

func (m *members) step(msg membership.Message) {
	m.do(func(t *membership.Table, now time.Duration) { t.Step(now, msg) })
}

func (m *members) announce(s membership.Server) {
	m.do(func(t *membership.Table, now time.Duration) { t.Announce(now, s) })
}

func (m *members) leave() {
	m.do(func(t *membership.Table, _ time.Duration) { t.Leave() })
}

// serversChanged returns a channel that is closed at the next change of state
// of a host or backend server. Load reports do not count.
func (m *members) serversChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *members) setSeeds(seeds []string) {
	m.do(func(t *membership.Table, _ time.Duration) { t.SetSeeds(seeds) })
}

func (m *members) setReady(ready bool) {
	m.do(func(t *membership.Table, _ time.Duration) { t.SetReady(ready) })
}

func (m *members) synced() (ok bool) {
	m.do(func(t *membership.Table, now time.Duration) { ok = t.Synced(now) })
	return ok
}

func (m *members) addresses(dataCentre string) (out []membership.Address) {
	m.do(func(t *membership.Table, now time.Duration) { out = t.Addresses(now, dataCentre) })
	return out
}

// Servers returns the backend servers that this host knows.
func (m *members) Servers() (out []membership.ServerStatus) {
	m.do(func(t *membership.Table, now time.Duration) { out = t.Servers(now) })
	return out
}

func (m *members) hosts() (out []membership.HostStatus) {
	m.do(func(t *membership.Table, now time.Duration) { out = t.Hosts(now) })
	return out
}

// records returns the hosts' own records.
func (m *members) records() []membership.Host {
	var out []membership.Host
	for _, h := range m.hosts() {
		out = append(out, h.Host)
	}
	return out
}

// Hosts returns the hosts in the form of the administration API.
func (m *members) Hosts() []admin.HostPresence {
	var out []admin.HostPresence
	for _, h := range m.hosts() {
		out = append(out, admin.HostPresence{Host: h.Host, Silent: h.Silent})
	}
	return out
}

// ControlHosts returns the peer addresses of the other control hosts that are
// heard from. Without any, it falls back to all that are known.
func (m *members) ControlHosts() map[string]string {
	heard, all := map[string]string{}, map[string]string{}
	for _, v := range m.voters {
		all[v.Name] = v.Address
	}
	for _, h := range m.hosts() {
		if !h.Control {
			continue
		}
		all[h.Name] = h.PeerAddress
		if !h.Silent {
			heard[h.Name] = h.PeerAddress
		}
	}
	delete(heard, m.self)
	delete(all, m.self)
	if len(heard) > 0 {
		return heard
	}
	return all
}

// peerAddress returns the address of a host.
func (m *members) peerAddress(name string) string {
	for _, h := range m.hosts() {
		if h.Name == name {
			return h.PeerAddress
		}
	}
	return ""
}

var errUnknownHost = errors.New("the host is not known")

// drain tells another host to leave.
func (m *members) drain(ctx context.Context, host string) error {
	address := m.peerAddress(host)
	if address == "" {
		return errUnknownHost
	}
	return m.client.Drain(ctx, address)
}
