package orders

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/proptest"
	"github.com/pollenwheel/pollenwheel/core/state"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Options{Checks: 300, Steps: 300}) }

// TestLimitsHoldOnServers guards against more replicas than operators
// configured and against overcommitted accelerator memory, as measured on the
// servers. Three control hosts all act as leader, use stale copies of the log,
// freeze, and restart; orders, answers and proposals are delayed, reordered and
// lost; servers restart and lose loads; two of the three ignore fencing numbers.
func TestLimitsHoldOnServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions(sim.checkLimits))
	})
}

// TestIntentsAreClosed guards against replica slots that stay occupied forever:
// after any history, one leader with working links closes every intent.
func TestIntentsAreClosed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions(func(*rapid.T) {}))
		sim.closeAllIntents()
		for key, p := range sim.replay(len(sim.log)).Placements {
			if p.Phase != state.PhaseReady {
				t.Fatalf("placement %v is in phase %s with copies %v, want it ready", key, p.Phase, p.Copies)
			}
		}
	})
}

// actions returns the actions of a history. Proposed intents and rounds are listed
// several times, since faults matter only between loads and unloads.
func (sim *simulation) actions(check func(*rapid.T)) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         check,
		"step":     sim.stepAnyHost,
		"request1": sim.proposeIntent,
		"request2": sim.proposeIntent,
		"request3": sim.proposeIntent,
		"round1":   sim.runRounds,
		"round2":   sim.runRounds,
		"round3":   sim.runRounds,
		"catchUp":  sim.applyEntries,
		"commit":   sim.commitProposal,
		"deliver":  sim.deliverAnyOrder,
		"lose":     sim.loseAnswer,
		"finish":   sim.finishOrders,
		"announce": sim.announce,
		"hear":     sim.receiveAnnouncement,
		"crash":    sim.crashOrRestartServer,
		"restart":  sim.restartHost,
	}
}

// TestReturnedServerIsReconciled guards against surplus models that stay loaded
// on a server that was presumed lost and came back: the server is registered
// again, its models are adopted as surplus, and adapters are unloaded before
// their model.
func TestReturnedServerIsReconciled(t *testing.T) {
	s := state.New()
	index := uint64(0)
	apply := func(commands ...state.Command) {
		for _, c := range commands {
			index++
			s.Apply(index, c)
		}
	}
	server := membership.Server{Name: "e", Service: "s", Incarnation: 1, Sequence: 1, MemoryMiB: 100, Models: []membership.ModelReport{
		{Model: "m0", Phase: membership.ReportReady, Order: 3}, {Model: "m0", Adapter: "am0", Phase: membership.ReportReady, Order: 4},
	}}
	apply(state.Command{Configure: &state.Configure{ChangeID: "c", Next: testConfiguration()}})
	apply(registerCommand(server), state.Command{MarkLost: &state.MarkLost{Server: "e", Incarnation: 1}})
	x := New(state.HostProcess{Host: "h", Incarnation: 1})
	var sent []string
	for now := range 20 {
		out := x.Step(Input{Now: time.Duration(now) * time.Second, State: s, Leading: true, Servers: []membership.ServerStatus{{Server: server}}})
		for _, o := range out.Orders {
			sent = append(sent, o.Key.Adapter+"/"+o.Key.Model)
			for i, r := range server.Models {
				if r.Model == o.Key.Model && r.Adapter == o.Key.Adapter {
					server.Models[i].Phase, server.Models[i].Order = membership.ReportAbsent, o.Fence
				}
			}
			server.Sequence++
		}
		apply(out.Commands...)
	}
	if want := []string{"am0/m0", "/m0"}; !slices.Equal(sent, want) || len(s.Placements) != 0 {
		t.Fatalf("orders %v, want %v; placements left %v, want none", sent, want, s.Placements)
	}
}

// TestFailedUnloadIsRepeated guards against an unload that had no effect and is
// never repeated under a new fencing number, although the server no longer
// accepts the old one after a newer order.
func TestFailedUnloadIsRepeated(t *testing.T) {
	s := state.New()
	server := membership.Server{Name: "e", Service: "s", Incarnation: 1, Sequence: 9, MemoryMiB: 100, ChecksFencing: true, NewestOrder: 6}
	s.Apply(1, state.Command{Configure: &state.Configure{ChangeID: "c", Next: testConfiguration()}})
	s.Apply(2, registerCommand(server))
	s.Apply(3, state.Command{Load: &state.Load{Server: "e", Incarnation: 1, Model: "m0"}})
	s.Apply(4, state.Command{CloseIntent: &state.CloseIntent{Server: "e", Incarnation: 1, Model: "m0", Fence: 3, Loaded: true}})
	s.Apply(5, state.Command{Unload: &state.Unload{Server: "e", Incarnation: 1, Model: "m0"}})
	server.Models = []membership.ModelReport{{Model: "m0", Phase: membership.ReportReady, Order: 5}}
	x := New(state.HostProcess{Host: "h", Incarnation: 1})
	index, newest := uint64(5), uint64(0)
	for now := range 20 {
		out := x.Step(Input{Now: time.Duration(now) * time.Second, State: s, Leading: true, Servers: []membership.ServerStatus{{Server: server}}})
		for _, c := range out.Commands {
			index++
			s.Apply(index, c)
		}
		for _, o := range out.Orders {
			newest = max(newest, o.Fence)
		}
	}
	if newest <= server.NewestOrder {
		t.Fatalf("the newest order has fencing number %d, want more than %d", newest, server.NewestOrder)
	}
}

// TestUnloadWaitsForRequests guards against an unload that interrupts requests
// in progress, or that is sent before every host has stopped routing to the
// replica.
func TestUnloadWaitsForRequests(t *testing.T) {
	s := state.New()
	key := state.PlacementKey{Server: "e", Model: "m0"}
	s.Apply(1, state.Command{Configure: &state.Configure{ChangeID: "c", Next: testConfiguration()}})
	s.Apply(2, registerCommand(membership.Server{Name: "e", Service: "s", Incarnation: 1, MemoryMiB: 100}))
	s.Apply(3, state.Command{Load: &state.Load{Server: "e", Incarnation: 1, Model: "m0"}})
	s.Apply(4, state.Command{CloseIntent: &state.CloseIntent{Server: "e", Incarnation: 1, Model: "m0", Fence: 3, Loaded: true}})
	s.Apply(5, state.Command{Unload: &state.Unload{Server: "e", Incarnation: 1, Model: "m0"}})
	x := New(state.HostProcess{Host: "h", Incarnation: 1})
	cases := []struct {
		name string
		at   time.Duration
		busy bool
		want int
	}{
		{"the hosts may not know the intent yet", time.Second, false, 0},
		{"a request is in progress", 4 * time.Second, true, 0},
		{"the request has ended", 5 * time.Second, false, 1},
		{"the order was just sent", 6 * time.Second, false, 0},
	}
	for _, c := range cases {
		busy := func(k state.PlacementKey) bool { return c.busy && k == key }
		if got := len(x.Step(Input{Now: c.at, State: s, Leading: true, HasRequests: busy}).Orders); got != c.want {
			t.Errorf("%s: sent %d orders, want %d", c.name, got, c.want)
		}
	}
}

func testConfiguration() config.Configuration {
	c := config.Configuration{Services: []config.Service{{Name: "s", Kind: config.KindEngine}}}
	for i := range 3 {
		m := config.Model{Name: fmt.Sprintf("m%d", i), Service: "s", Version: "1", MemoryMiB: 30, KVMiB: 10, MaxReplicas: 1 + i%2}
		c.Models = append(c.Models, m)
		c.Adapters = append(c.Adapters, config.Adapter{Name: "a" + m.Name, Model: m.Name, Version: "1", MemoryMiB: 15})
	}
	return c
}
