package orders

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

const serverMemoryMiB = 100

// serverProcess is the actual state of one backend server process.
type serverProcess struct {
	name          string
	incarnation   uint64
	checksFencing bool
	down          bool
	sequence      uint64
	newestOrder   uint64
	models        map[state.PlacementKey]membership.ModelReport
	announcements []membership.Server
}

// controlHost is the process of one control host, with its own stale view of
// the log and of announcements.
type controlHost struct {
	sender   state.HostProcess
	executor *Executor
	applied  int
	view     *state.State
	received map[string]int
	now      time.Duration
}

// sentOrder is an order in transit.
type sentOrder struct {
	host *controlHost
	// process is the incarnation of the server process that the order was sent
	// to.
	process uint64
	order   Order
	// ended is set if the sender saw the connection end and relies on
	// executionBound. The order is then executed before the server's
	// announcement with the number deadline.
	ended    bool
	deadline uint64
}

// simulation holds the committed log, the proposals and orders in transit, and
// the processes of all servers and control hosts.
type simulation struct {
	log        []state.Command
	pending    []state.Command
	sentOrders []*sentOrder
	servers    []*serverProcess
	hosts      []*controlHost
	restarts   uint64
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{}
	sim.log = append(sim.log, state.Command{Configure: &state.Configure{ChangeID: "first", Next: testConfiguration()}})
	for i := range 3 {
		srv := &serverProcess{name: fmt.Sprintf("e%d", i), incarnation: 1, checksFencing: i == 0, models: map[state.PlacementKey]membership.ModelReport{}}
		sim.servers = append(sim.servers, srv)
		srv.announce()
	}
	for i := range 3 {
		h := &controlHost{sender: state.HostProcess{Host: fmt.Sprintf("h%d", i)}, received: map[string]int{}}
		sim.startHost(h)
		sim.hosts = append(sim.hosts, h)
	}
	_ = t
	return sim
}

func (sim *simulation) startHost(h *controlHost) {
	sim.restarts++
	h.sender.Incarnation = sim.restarts
	h.executor = New(h.sender)
	h.applied, h.view = 0, state.New()
	h.received = map[string]int{}
}

// replay returns the state after the first n log entries.
func (sim *simulation) replay(n int) *state.State {
	s := state.New()
	for i, c := range sim.log[:n] {
		s.Apply(uint64(i+1), c)
	}
	return s
}

func (srv *serverProcess) announce() {
	srv.sequence++
	s := membership.Server{
		Name: srv.name, Service: "s", Incarnation: srv.incarnation, Sequence: srv.sequence,
		MemoryMiB: serverMemoryMiB, ChecksFencing: srv.checksFencing, NewestOrder: srv.newestOrder,
	}
	for _, r := range srv.models {
		s.Models = append(s.Models, r)
	}
	srv.announcements = append(srv.announcements, s)
}

// accept executes an order like a real server: it trusts the sender not to
// exceed its memory.
func (srv *serverProcess) accept(o Order) {
	if srv.checksFencing && o.Fence < srv.newestOrder {
		return
	}
	srv.newestOrder = max(srv.newestOrder, o.Fence)
	key := state.PlacementKey{Model: o.Key.Model, Adapter: o.Key.Adapter}
	r := membership.ModelReport{Model: key.Model, Adapter: key.Adapter, Version: o.Version, Order: o.Fence, Phase: membership.ReportUnloading}
	previous, known := srv.models[key]
	held := known && previous.Phase != membership.ReportAbsent
	switch {
	case o.Load && known && previous.Phase == membership.ReportReady:
		r.Phase = membership.ReportReady
	case o.Load:
		r.Phase = membership.ReportLoading
	case !held:
		r.Phase = membership.ReportAbsent
	}
	srv.models[key] = r
}

func (sim *simulation) host(t *rapid.T) *controlHost {
	return sim.hosts[rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")]
}

func (sim *simulation) server(t *rapid.T) *serverProcess {
	return sim.servers[rapid.IntRange(0, len(sim.servers)-1).Draw(t, "server")]
}

func (sim *simulation) input(h *controlHost, leading bool) Input {
	in := Input{Now: h.now, State: h.view, Leading: leading}
	for _, srv := range sim.servers {
		if n := h.received[srv.name]; n > 0 {
			in.Servers = append(in.Servers, membership.ServerStatus{Server: srv.announcements[n-1], LastSeen: h.now})
		}
	}
	for _, other := range sim.hosts {
		in.Hosts = append(in.Hosts, membership.Host{Name: other.sender.Host, Incarnation: other.sender.Incarnation})
	}
	return in
}

// stepAnyHost runs one host's executor. Any host may act as leader, so the
// lease gives no protection here.
func (sim *simulation) stepAnyHost(t *rapid.T) {
	sim.stepHost(sim.host(t), rapid.Bool().Draw(t, "leading"))
}

func (sim *simulation) stepHost(h *controlHost, leading bool) {
	h.now += 700 * time.Millisecond
	out := h.executor.Step(sim.input(h, leading))
	sim.pending = append(sim.pending, out.Commands...)
	for _, o := range out.Orders {
		sim.sentOrders = append(sim.sentOrders, &sentOrder{host: h, order: o, process: sim.serverOf(o).incarnation})
	}
}

// proposeIntent proposes a load or unload that may be invalid in every respect.
func (sim *simulation) proposeIntent(t *rapid.T) {
	h, srv := sim.host(t), sim.server(t)
	model := fmt.Sprintf("m%d", rapid.IntRange(0, 2).Draw(t, "model"))
	adapter := ""
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		adapter = "a" + model
	}
	if rapid.Bool().Draw(t, "load") {
		sim.pending = append(sim.pending, state.Command{Load: &state.Load{Server: srv.name, Incarnation: srv.incarnation, Model: model, Adapter: adapter, Sender: h.sender}})
		return
	}
	sim.pending = append(sim.pending, state.Command{Unload: &state.Unload{Server: srv.name, Incarnation: srv.incarnation, Model: model, Adapter: adapter, Sender: h.sender}})
}

// commitProposal appends any one of the pending proposals to the log, or drops
// it.
func (sim *simulation) commitProposal(t *rapid.T) {
	if len(sim.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.pending)-1).Draw(t, "proposal")
	c := sim.pending[i]
	sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
	if rapid.IntRange(0, 9).Draw(t, "fate") > 0 {
		sim.log = append(sim.log, c)
	}
}

func (sim *simulation) applyEntries(t *rapid.T) {
	h := sim.host(t)
	sim.applyTo(h, rapid.IntRange(h.applied, len(sim.log)).Draw(t, "applied"))
}

func (sim *simulation) applyTo(h *controlHost, n int) {
	for ; h.applied < n; h.applied++ {
		h.view.Apply(uint64(h.applied+1), sim.log[h.applied])
	}
}

func (sim *simulation) serverOf(o Order) *serverProcess {
	for _, srv := range sim.servers {
		if srv.name == o.Key.Server {
			return srv
		}
	}
	return nil
}

func (sim *simulation) takeOrder(i int) *sentOrder {
	sent := sim.sentOrders[i]
	sim.sentOrders = append(sim.sentOrders[:i], sim.sentOrders[i+1:]...)
	return sent
}

// deliverAnyOrder delivers an order to the process that now listens at the
// address.
func (sim *simulation) deliverAnyOrder(t *rapid.T) {
	if len(sim.sentOrders) > 0 {
		sim.deliverOrder(sim.takeOrder(rapid.IntRange(0, len(sim.sentOrders)-1).Draw(t, "order")), rapid.Bool().Draw(t, "answered"))
	}
}

func (sim *simulation) deliverOrder(sent *sentOrder, answered bool) {
	srv := sim.serverOf(sent.order)
	if srv.down || sent.ended && srv.incarnation != sent.process {
		sent.reportEnd(NotSent, srv)
		return
	}
	if sent.order.Probe {
		if answered && !sent.ended {
			sent.host.executor.RecordProbe(sent.order, srv.incarnation, srv.sequence, sent.host.view)
		}
		return
	}
	srv.accept(sent.order)
	if answered {
		sent.reportEnd(Answered, srv)
	} else {
		sent.reportEnd(MaybeSent, srv)
	}
}

// reportEnd reports the end to the sender, unless its process has ended or it
// has already seen the connection end.
func (sent *sentOrder) reportEnd(d Delivery, srv *serverProcess) {
	if !sent.ended {
		sent.host.executor.RecordDelivery(sent.order, d, srv.incarnation, srv.sequence)
	}
}

// loseAnswer ends a connection whose order is still in the server's buffers.
func (sim *simulation) loseAnswer(t *rapid.T) {
	if len(sim.sentOrders) == 0 {
		return
	}
	sent := sim.sentOrders[rapid.IntRange(0, len(sim.sentOrders)-1).Draw(t, "order")]
	srv := sim.serverOf(sent.order)
	if sent.ended || srv.down || srv.incarnation != sent.process {
		return
	}
	sent.reportEnd(MaybeSent, srv)
	sent.ended, sent.deadline = true, srv.sequence+executionBound
}

func (sim *simulation) finishOrders(t *rapid.T) {
	srv := sim.server(t)
	sim.finishOrdersOn(srv, rapid.IntRange(0, 5).Draw(t, "failure") == 0)
}

// finishOrdersOn ends the loads and unloads on one server, without effect if
// fail is set.
func (sim *simulation) finishOrdersOn(srv *serverProcess, fail bool) {
	for key, r := range srv.models {
		switch {
		case r.Phase == membership.ReportUnloading && !fail, r.Phase == membership.ReportLoading && fail:
			r.Phase = membership.ReportAbsent
		case r.Phase == membership.ReportLoading, r.Phase == membership.ReportUnloading:
			r.Phase = membership.ReportReady
		}
		srv.models[key] = r
	}
}

// announce makes a server announce itself. Buffered orders are executed within
// executionBound.
func (sim *simulation) announce(t *rapid.T) { sim.announceFrom(sim.server(t)) }

func (sim *simulation) announceFrom(srv *serverProcess) {
	if srv.down {
		return
	}
	for i := 0; i < len(sim.sentOrders); {
		sent := sim.sentOrders[i]
		if sim.serverOf(sent.order) == srv && sent.ended && srv.sequence+1 >= sent.deadline {
			sim.deliverOrder(sim.takeOrder(i), false)
			continue
		}
		i++
	}
	srv.announce()
}

func (sim *simulation) receiveAnnouncement(t *rapid.T) {
	h, srv := sim.host(t), sim.server(t)
	h.received[srv.name] = rapid.IntRange(h.received[srv.name], len(srv.announcements)).Draw(t, "received")
}

// crashOrRestartServer ends a server process or, at a later call, starts the
// next one. In between, the server may be reported lost because connections to
// it are refused.
func (sim *simulation) crashOrRestartServer(t *rapid.T) {
	srv := sim.server(t)
	if rapid.IntRange(0, 2).Draw(t, "chance") > 0 {
		return
	}
	if !srv.down {
		srv.down = true
		srv.models = map[state.PlacementKey]membership.ModelReport{}
		sim.pending = append(sim.pending, state.Command{MarkLost: &state.MarkLost{Server: srv.name, Incarnation: srv.incarnation}})
		return
	}
	srv.down = false
	srv.incarnation++
	srv.sequence, srv.newestOrder = 0, 0
	srv.announce()
}

// restartHost restarts a control process. Its transmissions end, but what it
// has already written may still be executed by the same server process.
func (sim *simulation) restartHost(t *rapid.T) {
	h := sim.host(t)
	if rapid.IntRange(0, 3).Draw(t, "chance") > 0 {
		return
	}
	kept := sim.sentOrders[:0]
	for _, sent := range sim.sentOrders {
		srv := sim.serverOf(sent.order)
		if sent.host == h && !sent.ended {
			if srv.down || srv.incarnation != sent.process {
				continue
			}
			sent.ended, sent.deadline = true, srv.sequence+executionBound
		}
		kept = append(kept, sent)
	}
	sim.sentOrders = kept
	sim.startHost(h)
}

// checkLimits fails the test if the models that the servers actually hold
// exceed a limit.
func (sim *simulation) checkLimits(t *rapid.T) {
	c := testConfiguration()
	replicas := map[string]int{}
	for _, srv := range sim.servers {
		var used int64
		for key, r := range srv.models {
			if r.Phase == membership.ReportAbsent {
				continue
			}
			m, _ := c.Model(key.Model)
			if key.Adapter == "" {
				replicas[key.Model]++
				used += m.MemoryMiB + m.KVMiB
				continue
			}
			a, _ := c.Adapter(key.Adapter)
			used += a.MemoryMiB
		}
		if used > serverMemoryMiB {
			t.Fatalf("server %s holds %d of %d MiB: %v", srv.name, used, serverMemoryMiB, srv.models)
		}
	}
	for _, m := range c.Models {
		if replicas[m.Name] > m.MaxReplicas {
			t.Fatalf("model %s has %d of %d replicas", m.Name, replicas[m.Name], m.MaxReplicas)
		}
	}
}

// runRounds lets one host make progress over prompt links, so that histories
// reach deep states between the faults. Orders already in flight may stay
// delayed.
func (sim *simulation) runRounds(t *rapid.T) {
	h := sim.host(t)
	before := len(sim.sentOrders)
	for range rapid.IntRange(1, 3).Draw(t, "rounds") {
		sim.runRound(h)
	}
	if rapid.Bool().Draw(t, "delay") {
		return
	}
	for len(sim.sentOrders) > before {
		sim.deliverOrder(sim.takeOrder(before), rapid.Bool().Draw(t, "answered"))
	}
}

func (sim *simulation) runRound(h *controlHost) {
	sim.applyTo(h, len(sim.log))
	for _, srv := range sim.servers {
		sim.finishOrdersOn(srv, false)
		sim.announceFrom(srv)
		h.received[srv.name] = len(srv.announcements)
	}
	sim.stepHost(h, true)
	sim.log = append(sim.log, sim.pending...)
	sim.pending = nil
}

// closeAllIntents lets one leader work over prompt links until every intent can
// be closed.
func (sim *simulation) closeAllIntents() {
	leader := sim.hosts[0]
	for range 60 {
		for _, srv := range sim.servers {
			if srv.down {
				srv.down, srv.sequence, srv.newestOrder = false, 0, 0
				srv.incarnation++
			}
			sim.finishOrdersOn(srv, false)
			sim.announceFrom(srv)
		}
		for _, h := range sim.hosts {
			sim.applyTo(h, len(sim.log))
			for _, srv := range sim.servers {
				h.received[srv.name] = len(srv.announcements)
			}
			sim.stepHost(h, h == leader)
		}
		sim.log = append(sim.log, sim.pending...)
		sim.pending = nil
		for len(sim.sentOrders) > 0 {
			sim.deliverOrder(sim.takeOrder(0), true)
		}
	}
}
