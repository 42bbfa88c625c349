package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// adapterFleet is a network with control hosts, to which servers announce themselves that load
// another adapter between most of their announcements.
type adapterFleet struct {
	*network
	servers []*simServer
	control int
}

func newAdapterFleet(hosts, control, servers int, f faults) *adapterFleet {
	fleet := &adapterFleet{network: newNetwork(hosts, 1, f), control: control}
	for i, m := range fleet.hosts {
		m.host.Control = i < control
		fleet.restart(i)
		m.table.LimitAdapters()
	}
	for i := range servers {
		s := newServer(i)
		s.Models = []ModelReport{{Model: "m"}}
		fleet.servers = append(fleet.servers, s)
	}
	return fleet
}

// play advances time by d. A part of the announcements names another adapter.
func (f *adapterFleet) play(d time.Duration, changing float64) {
	for end := f.now + d; f.now < end; f.step() {
		for i, s := range f.servers {
			if f.now < s.nextAnnouncement {
				continue
			}
			if f.rand.Float64() < changing {
				s.Models = []ModelReport{{Model: "m"}, {Model: "m", Adapter: fmt.Sprint("a", f.rand.Intn(1000))}}
			}
			f.announce(s, i%f.control)
		}
	}
}

// TestAdapterChangesStayAmongControlHosts guards against messages that grow as hosts times changes of
// adapters: at 94 hosts, a small one spent most of its processor on them.
func TestAdapterChangesStayAmongControlHosts(t *testing.T) {
	const hosts, control, servers = 94, 5, 117
	fleet := newAdapterFleet(hosts, control, servers, faults{delay: 4 * time.Millisecond})
	sent := map[bool]int{}
	changed := false
	fleet.onSend = func(m Message) {
		if !fleet.byAddress[m.FromAddress].host.Control {
			sent[changed]++
		}
	}
	fleet.play(5*time.Second, 0)
	clear(sent)
	fleet.play(2*time.Second, 0)
	changed = true
	fleet.play(2*time.Second, 0.8)
	if perHost := float64(sent[true]-sent[false]) / 2 / (hosts - control); perHost > 5 {
		t.Errorf("%.0f more messages a second for each entry host while adapters change, want 5 at most", perHost)
	}
}

// TestControlHostsKnowAdapters guards against a control host that keeps an older list of adapters,
// because messages were lost or another host sent it an older record.
func TestControlHostsKnowAdapters(t *testing.T) {
	fleet := newAdapterFleet(12, 5, 20, faults{delay: 40 * time.Millisecond, drop: 0.3})
	fleet.play(20*time.Second, 0.5)
	fleet.faults.drop = 0
	fleet.play(2*adapterRefreshAnnouncements*time.Second, 0)
	for _, m := range fleet.hosts[:fleet.control] {
		for _, status := range m.table.Servers(fleet.now) {
			i := slices.IndexFunc(fleet.servers, func(s *simServer) bool { return s.Name == status.Name })
			if want := fleet.servers[i].Models; !slices.Equal(status.Models, want) {
				t.Errorf("%s: %s holds %v, want %v", m.host.Name, status.Name, status.Models, want)
			}
		}
	}
}
