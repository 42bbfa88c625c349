package membership

import (
	"fmt"
	"testing"
	"time"
)

// scenario runs with a seed and returns what went wrong.
type scenario func(w *network, s *serverModel) string

func scenarioLeaving(w *network, s *serverModel) string {
	w.cutLink(1, 0, false)
	s.Leaving = true
	w.announce(s, 1)
	s.running = false
	w.run(2*time.Second, nil)
	if u := unaware(w, s); len(u) > 0 {
		return fmt.Sprintf("%v do not know that the server is leaving", u)
	}
	return ""
}

func scenarioCut(w *network, s *serverModel) string {
	for b := 1; b < len(w.members); b++ {
		w.cutLink(0, b, true)
	}
	w.run(20*time.Second, nil)
	s.Leaving = true
	w.announce(s, 0)
	w.run(5*time.Second, nil)
	w.heal()
	w.run(healBound, nil)
	for _, m := range w.members {
		for _, h := range m.table.Hosts(w.now) {
			if h.Silent {
				return m.host.Name + " does not hear " + h.Name
			}
		}
	}
	if u := unaware(w, s); len(u) > 0 {
		return fmt.Sprintf("%v do not know that the server is leaving", u)
	}
	return ""
}

// scenarioQuietCut separates hosts whose tables stay equal.
func scenarioQuietCut(w *network, s *serverModel) string {
	s.Leaving = true
	w.announce(s, 0)
	w.run(10*time.Second, nil)
	for a := range w.members {
		for b := range w.members {
			w.cutLink(a, b, true)
		}
	}
	w.run(20*time.Second, nil)
	w.heal()
	w.run(healBound, nil)
	if h := w.members[0].table.Hosts(w.now)[1]; h.Silent {
		return "host-000 does not hear " + h.Name
	}
	return ""
}

func scenarioReplay(w *network, s *serverModel) string {
	old := ServerRecord{Server: s.Server, Revision: s.Sequence}
	s.Incarnation, s.Sequence = 2, 0
	w.announce(s, 0)
	w.run(5*time.Second, []*serverModel{s})
	w.post(Message{To: w.members[0].host.PeerAddress, FromAddress: w.members[1].host.PeerAddress, Servers: []ServerRecord{old}})
	w.step()
	if e := w.members[0].table.servers[s.Name]; e.Incarnation != 2 {
		return fmt.Sprintf("incarnation %d came back", e.Incarnation)
	}
	return ""
}

// scenarioMissedChange lets one host miss a change and its reversal.
func scenarioMissedChange(w *network, s *serverModel) string {
	first := s.Models
	for b := 1; b < len(w.members); b++ {
		w.cutLink(0, b, true)
	}
	s.Models = []Report{{Model: "pattern-guide", Version: "1", Phase: ReportReady, Order: 1}}
	w.announce(s, 1)
	w.run(500*time.Millisecond, nil)
	s.Models = first
	w.announce(s, 0)
	w.heal()
	// Shorter than the time to silence, which would spread the state again.
	w.run(SilentAfter-tick, nil)
	for _, m := range w.members {
		if n := len(m.table.servers[s.Name].Models); n != len(first) {
			return m.host.Name + " holds the state that ended"
		}
	}
	return ""
}

func scenarioRestart(w *network, s *serverModel) string {
	for k := range 20 {
		s.Models = nextPhase(s.Models, uint64(k))
		w.announce(s, 1)
		w.run(time.Duration(k%4)*tick, nil)
		given := newest(w, 1)
		off := w.members[1].table.opts.off
		w.restart(1)
		w.members[1].table.opts.off = off
		for !w.members[1].table.Synced(w.now) {
			w.step()
		}
		if e, ok := w.members[1].table.servers[s.Name]; !ok || given[s.Name].after(e.version()) {
			return "the restarted host is behind"
		}
	}
	return ""
}

func scenarioFreeze(w *network, s *serverModel) string {
	w.members[0].frozen = true
	w.run(30*time.Second, []*serverModel{s})
	m := w.members[0]
	m.frozen = false
	m.table.Tick(w.now)
	if m.table.Servers(w.now)[0].Silent {
		return "the resumed host takes a running server for silent"
	}
	return ""
}

// TestMechanisms shows that each scenario holds on every seed, and fails on
// some seed once the mechanism that it needs is switched off.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		off   mechanisms
		run   scenario
		// base is off in both runs, because it would hide the mechanism.
		base mechanisms
	}{
		{"push", 5, mechanisms{push: true, digest: true}, scenarioLeaving, mechanisms{}},
		{"resend", 3, mechanisms{resend: true, digest: true}, scenarioLeaving, mechanisms{}},
		{"digest", 5, mechanisms{digest: true}, scenarioCut, mechanisms{}},
		{"own beat", 2, mechanisms{ownBeat: true}, scenarioQuietCut, mechanisms{}},
		{"incarnation", 3, mechanisms{incarnation: true}, scenarioReplay, mechanisms{}},
		{"reissue", 3, mechanisms{reissue: true, resend: true}, scenarioMissedChange, mechanisms{resend: true}},
		{"process", 3, mechanisms{process: true}, scenarioRestart, mechanisms{}},
		{"resume", 4, mechanisms{resume: true}, scenarioFreeze, mechanisms{}},
	}
	const seeds = 20
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			failed := 0
			for seed := range int64(seeds) {
				if fault := runScenario(c.hosts, seed, c.base, c.run); fault != "" {
					t.Errorf("seed %d with the mechanism: %s", seed, fault)
				}
				if runScenario(c.hosts, seed, c.off, c.run) != "" {
					failed++
				}
			}
			if failed == 0 {
				t.Errorf("no seed fails without the mechanism")
			}
			t.Logf("without the mechanism %d of %d seeds fail", failed, seeds)
		})
	}
}

func runScenario(hosts int, seed int64, off mechanisms, run scenario) string {
	w := newNetwork(hosts, seed, faults{drop: 0.1, delay: 250 * time.Millisecond})
	s := newServer(0)
	w.run(10*time.Second, []*serverModel{s})
	for _, m := range w.members {
		m.table.opts.off = off
	}
	return run(w, s)
}
