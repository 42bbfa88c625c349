package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 40}) }

func drawNetwork(t *rapid.T, minHosts int) *network {
	return newNetwork(rapid.IntRange(minHosts, 12).Draw(t, "hosts"), rapid.Int64().Draw(t, "seed"), faults{
		drop: rapid.Float64Range(0, 0.2).Draw(t, "drop"), repeat: rapid.Float64Range(0, 0.3).Draw(t, "repeat"),
		delay: time.Duration(rapid.IntRange(1, 250).Draw(t, "delay")) * time.Millisecond,
	})
}

func drawServers(t *rapid.T) []*simServer {
	var out []*simServer
	for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
		out = append(out, newServer(i))
	}
	return out
}

// unawareOfLeaving returns the hosts that do not know that s is leaving.
func unawareOfLeaving(net *network, s *simServer) []string {
	var out []string
	for _, m := range net.hosts {
		e, ok := m.table.servers[s.Name]
		if !ok || !e.Leaving || e.Incarnation != s.Incarnation {
			out = append(out, m.host.Name)
		}
	}
	return out
}

// TestLeavingReachesAllHosts guards against a leaving backend server that still
// receives requests 2 s later because a host has not been notified, with lost
// messages and with one blocked link.
func TestLeavingReachesAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, servers := drawNetwork(t, 3), drawServers(t)
		net.run(10*time.Second, servers)
		a := rapid.IntRange(0, len(net.hosts)-1).Draw(t, "a")
		b := rapid.IntRange(0, len(net.hosts)-1).Draw(t, "b")
		if rapid.Bool().Draw(t, "blocked") && a != b {
			net.blockLink(a, b, rapid.Bool().Draw(t, "both"))
		}
		net.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "after"))*time.Millisecond, servers)
		s := servers[0]
		s.Leaving = true
		net.announce(s, rapid.IntRange(0, len(net.hosts)-1).Draw(t, "first"))
		s.running = false
		net.run(2*time.Second, servers)
		if unaware := unawareOfLeaving(net, s); len(unaware) > 0 {
			t.Fatalf("2 s after the announcement, %v do not know that %s is leaving", unaware, s.Name)
		}
	})
}

// TestLeavingReachesManyHosts guards against updates that propagate fast enough
// only among few hosts.
func TestLeavingReachesManyHosts(t *testing.T) {
	net := newNetwork(100, 1, faults{drop: 0.1, delay: 100 * time.Millisecond})
	servers := []*simServer{newServer(0)}
	net.run(10*time.Second, servers)
	servers[0].Leaving, servers[0].running = true, false
	net.announce(servers[0], 7)
	for range 20 {
		net.step()
		t.Logf("%s: %d hosts do not know that the server is leaving", net.now, len(unawareOfLeaving(net, servers[0])))
	}
	if unaware := unawareOfLeaving(net, servers[0]); len(unaware) > 0 {
		t.Errorf("2 s after the announcement, %v do not know that the server is leaving", unaware)
	}
}

// TestUpdatesRarelyLeaveTheDataCentre guards against a change that every host sends
// to a dozen hosts of other data centres: bytes between data centres are the scarcest
// resource of a large fleet. Each host may send a change to one remote host on average.
func TestUpdatesRarelyLeaveTheDataCentre(t *testing.T) {
	const hosts = 90
	net := newNetwork(hosts, 1, faults{drop: 0.05, delay: 20 * time.Millisecond})
	server := newServer(0)
	net.run(10*time.Second, []*simServer{server})
	crossed := 0
	net.onSend = func(m Message) {
		from, to := net.byAddress[m.FromAddress], net.byAddress[m.To]
		if len(m.Servers) > 0 && from.host.DataCentre != to.host.DataCentre {
			crossed++
		}
	}
	server.Leaving, server.running = true, false
	net.announce(server, 7)
	net.run(2*time.Second, []*simServer{server})
	if unaware := unawareOfLeaving(net, server); len(unaware) > 0 {
		t.Errorf("2 s after the announcement, %v do not know that the server is leaving", unaware)
	}
	if crossed > hosts {
		t.Errorf("the change left a data centre %d times, want at most once for each of the %d hosts", crossed, hosts)
	}
}

// healBound is the time after the end of a partition within which each side has
// the states of the other: a silent address is tried every second, and the records
// in its response propagate like any update.
const healBound = 5 * time.Second

// TestTablesMergeAfterPartition guards against partitioned groups that do not find
// each other again, and against states of one side that never reach the other.
func TestTablesMergeAfterPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, servers := drawNetwork(t, 3), drawServers(t)
		net.faults.drop = min(net.faults.drop, 0.1)
		net.run(10*time.Second, servers)
		split := rapid.IntRange(1, len(net.hosts)-1).Draw(t, "split")
		both := rapid.Bool().Draw(t, "both")
		for a := range split {
			for b := split; b < len(net.hosts); b++ {
				net.blockLink(a, b, both)
			}
		}
		net.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "partition"))*time.Second, servers)
		s := servers[0]
		s.Leaving = true
		net.announce(s, rapid.IntRange(0, len(net.hosts)-1).Draw(t, "first"))
		s.running = false
		net.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "afterLeaving"))*time.Second, servers)
		net.heal()
		net.run(healBound, servers)
		if unaware := unawareOfLeaving(net, s); len(unaware) > 0 {
			t.Fatalf("%s after the partition healed, %v do not know that %s is leaving", healBound, unaware, s.Name)
		}
	})
}

// convergeBound is the time within which the tables must agree once faults end.
// It exceeds SilentAfter, so that stopped servers are marked as silent.
const convergeBound = 15 * time.Second

// TestTablesConverge guards against lost states, a regression to an old state or
// incarnation, and tables that differ, under every kind of fault.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, servers := drawNetwork(t, 2), drawServers(t)
		regressions := newRegressionCheck()
		net.onSend = func(m Message) { checkLoads(t, net, m) }
		advance := func() {
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				net.announceDue(servers)
				net.step()
				regressions.check(t, net)
			}
		}
		host := func() int { return rapid.IntRange(0, len(net.hosts)-1).Draw(t, "host") }
		server := func() *simServer { return servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")] }
		t.Repeat(map[string]func(*rapid.T){
			"phase":     func(*rapid.T) { s := server(); s.Models = nextPhase(s.Models, s.Sequence); net.announce(s, host()) },
			"leave":     func(*rapid.T) { s := server(); s.Leaving = true; net.announce(s, host()) },
			"return":    func(*rapid.T) { s := server(); s.Incarnation++; s.Sequence, s.Leaving, s.running = 0, false, true },
			"stop":      func(*rapid.T) { server().running = false },
			"resume":    func(*rapid.T) { server().running = true },
			"blockLink": func(t *rapid.T) { net.blockLink(host(), host(), rapid.Bool().Draw(t, "both")) },
			"heal":      func(*rapid.T) { net.heal() },
			"freeze":    func(*rapid.T) { net.hosts[host()].frozen = true },
			"unfreeze":  func(*rapid.T) { net.unfreeze(host()) },
			"restart": func(*rapid.T) {
				i := host()
				net.restart(i)
				regressions.reset(net.hosts[i].host.Name)
			},
			"replay": func(*rapid.T) { net.replay() },
			"":       func(*rapid.T) { advance() },
		})
		net.heal()
		for i := range net.hosts {
			net.unfreeze(i)
		}
		for _, s := range servers {
			for !net.announce(s, net.rand.Intn(len(net.hosts))) {
			}
		}
		net.faults.drop = min(net.faults.drop, 0.05)
		net.run(convergeBound, servers)
		checkAgreement(t, net, servers)
	})
}

func nextPhase(old []ModelReport, order uint64) []ModelReport {
	phases := []ReportPhase{ReportLoading, ReportReady, ReportUnloading, ReportAbsent}
	return append([]ModelReport{{Model: "pattern-guide", Version: "1", Phase: phases[order%4], Order: order}}, old[:min(len(old), 1)]...)
}

// regressionCheck checks that the records of one process never go back to an
// older announcement.
type regressionCheck struct{ lastRecords map[[2]string]ServerRecord }

func newRegressionCheck() *regressionCheck { return &regressionCheck{map[[2]string]ServerRecord{}} }

func (c *regressionCheck) reset(host string) {
	for k := range c.lastRecords {
		if k[0] == host {
			delete(c.lastRecords, k)
		}
	}
}

func (c *regressionCheck) check(t *rapid.T, net *network) {
	for _, m := range net.hosts {
		for name, e := range m.table.servers {
			k := [2]string{m.host.Name, name}
			if old, ok := c.lastRecords[k]; ok && old.NewerThan(e.Server) {
				t.Fatalf("%s went back from incarnation %d, sequence %d to incarnation %d, sequence %d of %s", m.host.Name, old.Incarnation, old.Sequence, e.Incarnation, e.Sequence, name)
			}
			c.lastRecords[k] = e.ServerRecord
		}
	}
}

func checkAgreement(t *rapid.T, net *network, servers []*simServer) {
	for _, m := range net.hosts {
		if m.table.buckets != net.hosts[0].table.buckets {
			t.Errorf("the digests of %s and %s differ", m.host.Name, net.hosts[0].host.Name)
		}
		for _, h := range m.table.Hosts(net.now) {
			if h.Silent {
				t.Errorf("%s considers %s silent", m.host.Name, h.Name)
			}
		}
		for _, s := range servers {
			checkServer(t, net, m, s)
		}
	}
}

func checkServer(t *rapid.T, net *network, m *simHost, s *simServer) {
	want := s.Server
	normalise(&want)
	for _, status := range m.table.Servers(net.now) {
		if status.Name != s.Name {
			continue
		}
		if !m.table.sameState(status.Server, want) {
			t.Errorf("%s holds %+v, want the newest %+v", m.host.Name, status.Server, want)
		}
		if status.Silent == s.running {
			t.Errorf("%s: %s silent is %v, running is %v (sequence %d of %d)", m.host.Name, s.Name, status.Silent, s.running, status.Sequence, s.Sequence)
		}
		return
	}
	t.Errorf("%s has no record of %s", m.host.Name, s.Name)
}

// checkLoads guards against load reports that leave their data centre.
func checkLoads(t *rapid.T, net *network, m Message) {
	receiverCentre := ""
	for _, peer := range net.hosts {
		if peer.host.PeerAddress == m.To {
			receiverCentre = peer.host.DataCentre
		}
	}
	for _, r := range m.Servers {
		if r.Load != (Load{}) && r.DataCentre != receiverCentre {
			t.Fatalf("%s sends the load of %s to data centre %s", m.From, r.Name, receiverCentre)
		}
	}
	for _, heartbeat := range m.Heartbeats {
		if heartbeat.Load == (Load{}) {
			continue
		}
		for _, peer := range net.hosts {
			if k, ok := peer.table.byID[heartbeat.ID]; ok && peer.host.Name == m.From && peer.table.servers[k.Name].DataCentre != receiverCentre {
				t.Fatalf("%s sends the load of %s to data centre %s", m.From, k.Name, receiverCentre)
			}
		}
	}
}

// TestRestartedHostIsUpToDate guards against a restarted host that responds with
// older states than it gave to other hosts before. A later sequence of the same
// state is not a newer state.
func TestRestartedHostIsUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, servers := drawNetwork(t, 2), drawServers(t)
		net.run(10*time.Second, servers)
		i := rapid.IntRange(0, len(net.hosts)-1).Draw(t, "host")
		for _, s := range servers {
			s.Models = nextPhase(s.Models, s.Sequence)
			net.announce(s, i)
		}
		net.run(time.Duration(rapid.IntRange(0, 5).Draw(t, "ticks"))*tick, nil)
		statesElsewhere := newestStates(net, i)
		net.restart(i)
		for !net.hosts[i].table.Synced(net.now) {
			net.step()
		}
		for name, old := range statesElsewhere {
			e, ok := net.hosts[i].table.servers[name]
			if !ok || old.after(e.version()) {
				t.Fatalf("restarted %s holds an older state of %s than other hosts, or none", net.hosts[i].host.Name, name)
			}
		}
	})
}

// newestStates returns the newest states that the hosts other than i hold.
func newestStates(net *network, i int) map[string]Version {
	out := map[string]Version{}
	for j, m := range net.hosts {
		for name, e := range m.table.servers {
			if old, ok := out[name]; j != i && (!ok || e.version().after(old)) {
				out[name] = e.version()
			}
		}
	}
	return out
}
