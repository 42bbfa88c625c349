package membership

import (
	"fmt"
	"testing"
	"time"
)

// scenario runs on a network and returns a description of the failure, or an
// empty string.
type scenario func(net *network, s *simServer) string

func scenarioLeaving(net *network, s *simServer) string {
	net.blockLink(1, 0, false)
	s.Leaving = true
	net.announce(s, 1)
	s.running = false
	net.run(2*time.Second, nil)
	if unaware := unawareOfLeaving(net, s); len(unaware) > 0 {
		return fmt.Sprintf("%v do not know that the server is leaving", unaware)
	}
	return ""
}

func scenarioPartition(net *network, s *simServer) string {
	for b := 1; b < len(net.hosts); b++ {
		net.blockLink(0, b, true)
	}
	net.run(20*time.Second, nil)
	s.Leaving = true
	net.announce(s, 0)
	net.run(5*time.Second, nil)
	net.heal()
	net.run(healBound, nil)
	for _, m := range net.hosts {
		for _, h := range m.table.Hosts(net.now) {
			if h.Silent {
				return m.host.Name + " still considers this host silent: " + h.Name
			}
		}
	}
	if unaware := unawareOfLeaving(net, s); len(unaware) > 0 {
		return fmt.Sprintf("%v do not know that the server is leaving", unaware)
	}
	return ""
}

// scenarioPartitionEqualTables partitions hosts whose tables stay equal.
func scenarioPartitionEqualTables(net *network, s *simServer) string {
	s.Leaving = true
	net.announce(s, 0)
	net.run(10*time.Second, nil)
	for a := range net.hosts {
		for b := range net.hosts {
			net.blockLink(a, b, true)
		}
	}
	net.run(20*time.Second, nil)
	net.heal()
	net.run(healBound, nil)
	if h := net.hosts[0].table.Hosts(net.now)[1]; h.Silent {
		return "host-000 still considers this host silent: " + h.Name
	}
	return ""
}

func scenarioReplay(net *network, s *simServer) string {
	old := ServerRecord{Server: s.Server, Revision: s.Sequence}
	s.Incarnation, s.Sequence = 2, 0
	net.announce(s, 0)
	net.run(5*time.Second, []*simServer{s})
	net.post(Message{To: net.hosts[0].host.PeerAddress, FromAddress: net.hosts[1].host.PeerAddress, Servers: []ServerRecord{old}})
	net.step()
	if e := net.hosts[0].table.servers[s.Name]; e.Incarnation != 2 {
		return fmt.Sprintf("host-000 holds incarnation %d of the server after a replayed old record, want 2", e.Incarnation)
	}
	return ""
}

// scenarioMissedChange has one host miss a change and its reversal.
func scenarioMissedChange(net *network, s *simServer) string {
	original := s.Models
	for b := 1; b < len(net.hosts); b++ {
		net.blockLink(0, b, true)
	}
	s.Models = []ModelReport{{Model: "pattern-guide", Version: "1", Phase: ReportReady, Order: 1}}
	net.announce(s, 1)
	net.run(500*time.Millisecond, nil)
	s.Models = original
	net.announce(s, 0)
	net.heal()
	// Shorter than SilentAfter: a silent server would start a new update of its
	// state.
	net.run(SilentAfter-tick, nil)
	for _, m := range net.hosts {
		if n := len(m.table.servers[s.Name].Models); n != len(original) {
			return m.host.Name + " still holds the reverted state"
		}
	}
	return ""
}

func scenarioRestart(net *network, s *simServer) string {
	for k := range 20 {
		s.Models = nextPhase(s.Models, uint64(k))
		net.announce(s, 1)
		net.run(time.Duration(k%4)*tick, nil)
		statesElsewhere := newestStates(net, 1)
		disabled := net.hosts[1].table.opts.disabled
		net.restart(1)
		net.hosts[1].table.opts.disabled = disabled
		for !net.hosts[1].table.Synced(net.now) {
			net.step()
		}
		if e, ok := net.hosts[1].table.servers[s.Name]; !ok || statesElsewhere[s.Name].after(e.version()) {
			return "the restarted host-001 holds an older state of the server than other hosts, or none"
		}
	}
	return ""
}

func scenarioFreeze(net *network, s *simServer) string {
	net.hosts[0].frozen = true
	net.run(30*time.Second, []*simServer{s})
	m := net.hosts[0]
	m.frozen = false
	m.table.Tick(net.now)
	if m.table.Servers(net.now)[0].Silent {
		return "host-000, which was frozen, considers the running server silent"
	}
	return ""
}

// TestMechanisms requires that each scenario passes with every seed, and fails
// with some seed if the mechanism that it needs is disabled.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name     string
		hosts    int
		disabled disabledMechanisms
		run      scenario
		// base is disabled in both runs, because it would hide the mechanism.
		base disabledMechanisms
	}{
		{"push", 5, disabledMechanisms{push: true, digest: true}, scenarioLeaving, disabledMechanisms{}},
		{"resend", 3, disabledMechanisms{resend: true, digest: true}, scenarioLeaving, disabledMechanisms{}},
		{"digest", 5, disabledMechanisms{digest: true}, scenarioPartition, disabledMechanisms{}},
		{"own heartbeat", 2, disabledMechanisms{ownHeartbeat: true}, scenarioPartitionEqualTables, disabledMechanisms{}},
		{"incarnation order", 3, disabledMechanisms{incarnationOrder: true}, scenarioReplay, disabledMechanisms{}},
		{"revision reissue", 3, disabledMechanisms{revisionReissue: true, resend: true}, scenarioMissedChange, disabledMechanisms{resend: true}},
		{"process check", 3, disabledMechanisms{processCheck: true}, scenarioRestart, disabledMechanisms{}},
		{"freeze detection", 4, disabledMechanisms{freezeDetection: true}, scenarioFreeze, disabledMechanisms{}},
	}
	const seeds = 20
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			failed := 0
			for seed := range int64(seeds) {
				if failure := runScenario(c.hosts, seed, c.base, c.run); failure != "" {
					t.Errorf("seed %d with the mechanism: %s", seed, failure)
				}
				if runScenario(c.hosts, seed, c.disabled, c.run) != "" {
					failed++
				}
			}
			if failed == 0 {
				t.Errorf("none of the seeds fails without the mechanism")
			}
			t.Logf("without the mechanism %d of %d seeds fail", failed, seeds)
		})
	}
}

func runScenario(hosts int, seed int64, disabled disabledMechanisms, run scenario) string {
	net := newNetwork(hosts, seed, faults{drop: 0.1, delay: 250 * time.Millisecond})
	s := newServer(0)
	net.run(10*time.Second, []*simServer{s})
	for _, m := range net.hosts {
		m.table.opts.disabled = disabled
	}
	return run(net, s)
}
