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

func drawServers(t *rapid.T) []*serverModel {
	var out []*serverModel
	for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
		out = append(out, newServer(i))
	}
	return out
}

// unaware returns the hosts that do not know that s is leaving.
func unaware(w *network, s *serverModel) []string {
	var out []string
	for _, m := range w.members {
		e, ok := m.table.servers[s.Name]
		if !ok || !e.Leaving || e.Incarnation != s.Incarnation {
			out = append(out, m.host.Name)
		}
	}
	return out
}

// TestLeavingIsKnownEverywhere guards against a leaving backend server that
// still gets work 2 s later, with lost messages and with one link cut.
func TestLeavingIsKnownEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, servers := drawNetwork(t, 3), drawServers(t)
		w.run(10*time.Second, servers)
		a := rapid.IntRange(0, len(w.members)-1).Draw(t, "a")
		b := rapid.IntRange(0, len(w.members)-1).Draw(t, "b")
		if rapid.Bool().Draw(t, "cut") && a != b {
			w.cutLink(a, b, rapid.Bool().Draw(t, "both"))
		}
		w.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "after"))*time.Millisecond, servers)
		s := servers[0]
		s.Leaving = true
		w.announce(s, rapid.IntRange(0, len(w.members)-1).Draw(t, "first"))
		s.running = false
		w.run(2*time.Second, servers)
		if u := unaware(w, s); len(u) > 0 {
			t.Fatalf("2 s after the announcement, %v do not know that %s is leaving", u, s.Name)
		}
	})
}

// TestLeavingIsKnownOnManyHosts guards against a spread that is fast enough
// only among few hosts.
func TestLeavingIsKnownOnManyHosts(t *testing.T) {
	w := newNetwork(100, 1, faults{drop: 0.1, delay: 100 * time.Millisecond})
	servers := []*serverModel{newServer(0)}
	w.run(10*time.Second, servers)
	servers[0].Leaving, servers[0].running = true, false
	w.announce(servers[0], 7)
	for range 20 {
		w.step()
		t.Logf("%s: %d hosts do not know", w.now, len(unaware(w, servers[0])))
	}
	if u := unaware(w, servers[0]); len(u) > 0 {
		t.Errorf("2 s after the announcement, %v do not know that the server is leaving", u)
	}
}

// healBound is the time after the end of a cut within which both sides know
// what the other learned: a lost address is tried every second, and its answer
// is spread like any new state.
const healBound = 5 * time.Second

// TestHealedCutIsMerged guards against groups that do not find each other
// again, and against states of one side that the other never learns.
func TestHealedCutIsMerged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, servers := drawNetwork(t, 3), drawServers(t)
		w.faults.drop = min(w.faults.drop, 0.1)
		w.run(10*time.Second, servers)
		split := rapid.IntRange(1, len(w.members)-1).Draw(t, "split")
		both := rapid.Bool().Draw(t, "both")
		for a := range split {
			for b := split; b < len(w.members); b++ {
				w.cutLink(a, b, both)
			}
		}
		w.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "cut"))*time.Second, servers)
		s := servers[0]
		s.Leaving = true
		w.announce(s, rapid.IntRange(0, len(w.members)-1).Draw(t, "first"))
		s.running = false
		w.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "rest"))*time.Second, servers)
		w.heal()
		w.run(healBound, servers)
		if u := unaware(w, s); len(u) > 0 {
			t.Fatalf("%s after the cut healed, %v do not know that %s is leaving", healBound, u, s.Name)
		}
	})
}

// convergeBound is the time that the hosts get to agree once faults end. It
// exceeds the time to silence, so that dead servers are known as silent.
const convergeBound = 15 * time.Second

// TestTablesConverge guards against lost states, returns of an old state or
// incarnation, and tables that disagree, under every kind of fault.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, servers := drawNetwork(t, 2), drawServers(t)
		seen := newWatch()
		w.count = func(m Message) { checkLoads(t, w, m) }
		pause := func() {
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				w.announceDue(servers)
				w.step()
				seen.check(t, w)
			}
		}
		host := func() int { return rapid.IntRange(0, len(w.members)-1).Draw(t, "host") }
		server := func() *serverModel { return servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")] }
		t.Repeat(map[string]func(*rapid.T){
			"phase":  func(*rapid.T) { s := server(); s.Models = nextPhase(s.Models, s.Sequence); w.announce(s, host()) },
			"leave":  func(*rapid.T) { s := server(); s.Leaving = true; w.announce(s, host()) },
			"return": func(*rapid.T) { s := server(); s.Incarnation++; s.Sequence, s.Leaving, s.running = 0, false, true },
			"stop":   func(*rapid.T) { server().running = false },
			"resume": func(*rapid.T) { server().running = true },
			"cut":    func(t *rapid.T) { w.cutLink(host(), host(), rapid.Bool().Draw(t, "both")) },
			"heal":   func(*rapid.T) { w.heal() },
			"freeze": func(*rapid.T) { w.members[host()].frozen = true },
			"thaw":   func(*rapid.T) { w.thaw(host()) },
			"restart": func(*rapid.T) {
				i := host()
				w.restart(i)
				seen.forget(w.members[i].host.Name)
			},
			"replay": func(*rapid.T) { w.replay() },
			"":       func(*rapid.T) { pause() },
		})
		w.heal()
		for i := range w.members {
			w.thaw(i)
		}
		for _, s := range servers {
			for !w.announce(s, w.rand.Intn(len(w.members))) {
			}
		}
		w.faults.drop = min(w.faults.drop, 0.05)
		w.run(convergeBound, servers)
		checkAgreement(t, w, servers)
	})
}

func nextPhase(old []Report, order uint64) []Report {
	phases := []ReportPhase{ReportLoading, ReportReady, ReportUnloading, ReportAbsent}
	return append([]Report{{Model: "pattern-guide", Version: "1", Phase: phases[order%4], Order: order}}, old[:min(len(old), 1)]...)
}

// watch checks that what one process holds never goes back.
type watch struct{ held map[[2]string]ServerRecord }

func newWatch() *watch { return &watch{map[[2]string]ServerRecord{}} }

func (v *watch) forget(host string) {
	for k := range v.held {
		if k[0] == host {
			delete(v.held, k)
		}
	}
}

func (v *watch) check(t *rapid.T, w *network) {
	for _, m := range w.members {
		for name, e := range m.table.servers {
			k := [2]string{m.host.Name, name}
			if old, ok := v.held[k]; ok && old.Newer(e.Server) {
				t.Fatalf("%s went back from %d/%d to %d/%d of %s", m.host.Name, old.Incarnation, old.Sequence, e.Incarnation, e.Sequence, name)
			}
			v.held[k] = e.ServerRecord
		}
	}
}

func checkAgreement(t *rapid.T, w *network, servers []*serverModel) {
	for _, m := range w.members {
		if m.table.buckets != w.members[0].table.buckets {
			t.Errorf("the digests of %s and %s differ", m.host.Name, w.members[0].host.Name)
		}
		for _, h := range m.table.Hosts(w.now) {
			if h.Silent {
				t.Errorf("%s does not hear %s", m.host.Name, h.Name)
			}
		}
		for _, s := range servers {
			checkServer(t, w, m, s)
		}
	}
}

func checkServer(t *rapid.T, w *network, m *member, s *serverModel) {
	want := s.Server
	normalise(&want)
	for _, p := range m.table.Servers(w.now) {
		if p.Name != s.Name {
			continue
		}
		if !sameState(p.Server, want) {
			t.Errorf("%s holds %+v, newest is %+v", m.host.Name, p.Server, want)
		}
		if p.Silent == s.running {
			t.Errorf("%s: %s silent is %v, running is %v (sequence %d of %d)", m.host.Name, s.Name, p.Silent, s.running, p.Sequence, s.Sequence)
		}
		return
	}
	t.Errorf("%s does not know %s", m.host.Name, s.Name)
}

// checkLoads guards against load reports that leave their data centre.
func checkLoads(t *rapid.T, w *network, m Message) {
	to := ""
	for _, x := range w.members {
		if x.host.PeerAddress == m.To {
			to = x.host.DataCentre
		}
	}
	for _, r := range m.Servers {
		if r.Load != (Load{}) && r.DataCentre != to {
			t.Fatalf("%s sends the load of %s to %s", m.From, r.Name, to)
		}
	}
	for _, b := range m.Beats {
		if b.Load == (Load{}) {
			continue
		}
		for _, x := range w.members {
			if k, ok := x.table.byID[b.ID]; ok && x.host.Name == m.From && x.table.servers[k.Name].DataCentre != to {
				t.Fatalf("%s sends the load of %s to %s", m.From, k.Name, to)
			}
		}
	}
}

// TestRestartedHostIsNotBehind guards against a restarted host that answers
// with older states than those it gave to other hosts before. A later sequence
// of the same state is no newer state.
func TestRestartedHostIsNotBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, servers := drawNetwork(t, 2), drawServers(t)
		w.run(10*time.Second, servers)
		i := rapid.IntRange(0, len(w.members)-1).Draw(t, "host")
		for _, s := range servers {
			s.Models = nextPhase(s.Models, s.Sequence)
			w.announce(s, i)
		}
		w.run(time.Duration(rapid.IntRange(0, 5).Draw(t, "ticks"))*tick, nil)
		given := newest(w, i)
		w.restart(i)
		for !w.members[i].table.Synced(w.now) {
			w.step()
		}
		for name, old := range given {
			e, ok := w.members[i].table.servers[name]
			if !ok || old.after(e.version()) {
				t.Fatalf("restarted %s is behind other hosts about %s", w.members[i].host.Name, name)
			}
		}
	})
}

// newest returns the newest states that the hosts other than i hold.
func newest(w *network, i int) map[string]Version {
	out := map[string]Version{}
	for j, m := range w.members {
		for name, e := range m.table.servers {
			if old, ok := out[name]; j != i && (!ok || e.version().after(old)) {
				out[name] = e.version()
			}
		}
	}
	return out
}
