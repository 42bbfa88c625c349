// Package orders sends backend servers the orders for committed intents, and
// closes the intents by what the servers report. It performs no I/O: it
// returns the commands to propose and the orders to send.
//
// Invariant: a load order is sent only under a committed copy (state.Copy), which
// permits one transmission of the order. A copy is sent at most once, and is
// resolved only after its transmission has ended. So the replicated state
// accounts for every load that any host process may still cause, even a process
// that was frozen while it was the leader.
package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// resendInterval is the wait before the order of an open intent is sent again.
const resendInterval = 2 * time.Second

// unloadDelay is the wait before an unload order is first sent. It covers the
// push of the unload intent to every host, and the first report of requests
// that were started in the meantime.
const unloadDelay = 2 * time.Second

// executionBound is the number of announcements within which a server has
// executed an order that it received. It limits how long a replica slot stays
// occupied when the answer to an order was lost.
const executionBound = 10

// Order requests that a backend server load or unload a model or adapter. If
// Probe is set, it only requests the current point in the server's sequence of
// announcements.
type Order struct {
	Probe bool
	// ProbeNumber is the number of a probe. It is compared with the numbers of
	// ended transmissions, since both come from one counter.
	ProbeNumber uint64
	Key         state.PlacementKey
	Address     string
	Load        bool
	Version     string
	Fence       uint64
	Incarnation uint64
	// CopyIndex is the index of the committed copy that permits a load order.
	CopyIndex uint64
}

// Delivery is the outcome of an order's transmission.
type Delivery int

// Outcomes of a transmission.
const (
	// Answered: the server answered, so it has executed or rejected the order.
	Answered Delivery = iota
	// NotSent: no byte reached the server.
	NotSent
	// MaybeSent: the connection ended before the answer.
	MaybeSent
)

// Input holds everything that a step depends on.
type Input struct {
	Now     time.Duration
	State   *state.State
	Servers []membership.ServerStatus
	Hosts   []membership.Host
	// HasRequests reports whether requests are in progress on a placement. While
	// they are, the unload of the placement is not ordered.
	HasRequests func(state.PlacementKey) bool
	// Leading permits orders. Without it, only ended transmissions are
	// resolved.
	Leading bool
}

// Output is the result of a step: commands to propose first, then orders to
// send.
type Output struct {
	Commands []state.Command
	Orders   []Order
}

// Executor tracks the transmissions of one host process. It is not safe for
// concurrent use.
type Executor struct {
	sender state.HostProcess
	// own holds, by copy index, the transmissions of this process.
	own map[uint64]*transmission
	// foreign holds, by copy index, the transmissions of processes that have
	// ended.
	foreign    map[uint64]*transmission
	lastProbes map[string]time.Duration
	// unloadIntents holds when an unload intent was first seen.
	unloadIntents map[state.PlacementKey]fencedTime
	lastUnloads   map[state.PlacementKey]fencedTime
	lastLoads     map[state.PlacementKey]fencedTime
	// counter numbers probes and ends of transmissions.
	counter uint64
}

// fencedTime is a time that applies to the intent with one fencing number.
type fencedTime struct {
	fence uint64
	at    time.Duration
}

// New returns the executor of a host process.
func New(sender state.HostProcess) *Executor {
	return &Executor{
		sender: sender, own: map[uint64]*transmission{}, foreign: map[uint64]*transmission{},
		lastProbes:    map[string]time.Duration{},
		unloadIntents: map[state.PlacementKey]fencedTime{}, lastUnloads: map[state.PlacementKey]fencedTime{}, lastLoads: map[state.PlacementKey]fencedTime{},
	}
}

// Step returns the commands and orders that are due.
func (x *Executor) Step(in Input) Output {
	var out Output
	x.prune(in.State)
	byServer, unfinished := groupPlacements(in.State)
	for _, p := range unfinished {
		x.resolveCopies(in, p, &out)
	}
	if !in.Leading {
		return out
	}
	out.Commands = append(out.Commands, reconcile(in, byServer)...)
	for _, p := range unfinished {
		x.advanceIntent(in, p, &out)
	}
	return out
}

// RecordDelivery records the end of an order's transmission. The arguments
// incarnation and sequence are those in the server's answer, and are ignored
// unless d is Answered.
func (x *Executor) RecordDelivery(o Order, d Delivery, incarnation, sequence uint64) {
	t := x.own[o.CopyIndex]
	if !o.Load || t == nil {
		return
	}
	x.counter++
	t.ended, t.mayBePending, t.endNumber = true, d == MaybeSent, x.counter
	if d == Answered {
		t.point = announcementPoint{incarnation, sequence}
	}
}

// RecordProbe records the answer to a probe. The point in the answer is where
// executionBound begins to count for the transmissions to the server that had
// ended when the probe was sent.
func (x *Executor) RecordProbe(o Order, incarnation, sequence uint64, s *state.State) {
	for key, p := range s.Placements {
		if key.Server != o.Key.Server {
			continue
		}
		for _, c := range p.Copies {
			t := x.transmission(c)
			if t != nil && t.ended && t.mayBePending && t.point == (announcementPoint{}) && t.endNumber < o.ProbeNumber {
				t.point = announcementPoint{incarnation, sequence}
			}
		}
	}
}

// prune drops the transmissions whose copies the state no longer lists, and the
// unload intents that are no longer open.
func (x *Executor) prune(s *state.State) {
	listed := map[uint64]bool{}
	for _, p := range s.Placements {
		for _, c := range p.Copies {
			listed[c.Index] = true
		}
	}
	for index, t := range x.own {
		if t.ended && !listed[index] && index <= s.Index {
			delete(x.own, index)
		}
	}
	for key := range x.unloadIntents {
		if s.Placements[key].Phase != state.PhaseUnloading {
			delete(x.unloadIntents, key)
		}
	}
	for index := range x.foreign {
		if !listed[index] {
			delete(x.foreign, index)
		}
	}
}

// advanceIntent sends the order of an open intent, or proposes what must be
// committed first: a copy for a load order, or the unload intent for a surplus
// placement.
func (x *Executor) advanceIntent(in Input, p keyedPlacement, out *Output) {
	key := p.key
	srv := in.State.Servers[key.Server]
	if srv.Lost {
		return
	}
	o := Order{Key: key, Address: srv.Address, Version: p.Version, Fence: p.Fence, Incarnation: p.Incarnation}
	switch p.Phase {
	case state.PhaseLoading:
		x.advanceLoad(in, p.Placement, o, out)
	case state.PhaseUnloading:
		x.advanceUnload(in, o, out)
	case state.PhaseSurplus:
		out.Commands = append(out.Commands, x.unloadCommand(key, p.Placement))
	case state.PhaseReady, state.PhaseHeld:
	}
}

// advanceUnload sends an unload order once every host has had time to receive
// the intent and no request runs on the placement.
func (x *Executor) advanceUnload(in Input, o Order, out *Output) {
	first, ok := x.unloadIntents[o.Key]
	if !ok || first.fence != o.Fence {
		first = fencedTime{o.Fence, in.Now}
		x.unloadIntents[o.Key] = first
	}
	if in.Now-first.at < unloadDelay || in.HasRequests != nil && in.HasRequests(o.Key) {
		return
	}
	if x.recordIfDue(x.lastUnloads, in.Now, o) {
		out.Orders = append(out.Orders, o)
	}
}

// advanceLoad sends a load order under an unused copy of this process. Without
// one, it proposes a copy, unless an earlier copy is still being transmitted.
func (x *Executor) advanceLoad(in Input, p state.Placement, o Order, out *Output) {
	o.Load = true
	for _, c := range p.Copies {
		if c.HostProcess == x.sender && c.Index >= p.Fence && x.own[c.Index] == nil {
			x.own[c.Index] = &transmission{}
			x.lastLoads[o.Key] = fencedTime{o.Fence, in.Now}
			o.CopyIndex = c.Index
			out.Orders = append(out.Orders, o)
			return
		}
	}
	if x.inFlight(p) {
		return
	}
	if x.recordIfDue(x.lastLoads, in.Now, o) {
		out.Commands = append(out.Commands, state.Command{PermitCopy: &state.PermitCopy{
			Server: o.Key.Server, Model: o.Key.Model, Adapter: o.Key.Adapter, Fence: p.Fence, Sender: x.sender,
		}})
	}
}

// inFlight reports whether a copy of this process is being transmitted.
func (x *Executor) inFlight(p state.Placement) bool {
	return slices.ContainsFunc(p.Copies, func(c state.Copy) bool {
		t := x.own[c.Index]
		return c.HostProcess == x.sender && t != nil && !t.ended
	})
}

// recordIfDue reports whether the order of an intent has not been sent within
// resendInterval. If so, it records the order as sent now.
func (x *Executor) recordIfDue(last map[state.PlacementKey]fencedTime, now time.Duration, o Order) bool {
	sent, ok := last[o.Key]
	if ok && sent.fence == o.Fence && now-sent.at < resendInterval {
		return false
	}
	last[o.Key] = fencedTime{o.Fence, now}
	return true
}

func (x *Executor) unloadCommand(key state.PlacementKey, p state.Placement) state.Command {
	return state.Command{Unload: &state.Unload{
		Server: key.Server, Incarnation: p.Incarnation, Model: key.Model, Adapter: key.Adapter, Sender: x.sender,
	}}
}

// keyedPlacement is a placement with its key.
type keyedPlacement struct {
	key state.PlacementKey
	state.Placement
}

// groupPlacements groups the placements of a state once per step: all
// placements by server, and the unfinished ones, which may need an order or a
// resolved copy, in the order of their intents. Most placements are ready and
// need neither.
func groupPlacements(s *state.State) (byServer map[string][]keyedPlacement, unfinished []keyedPlacement) {
	byServer = make(map[string][]keyedPlacement, len(s.Servers))
	for k, p := range s.Placements {
		entry := keyedPlacement{k, p}
		byServer[k.Server] = append(byServer[k.Server], entry)
		if p.Phase != state.PhaseReady || len(p.Copies) > 0 {
			unfinished = append(unfinished, entry)
		}
	}
	slices.SortFunc(unfinished, func(a, b keyedPlacement) int {
		return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.key.Server, b.key.Server),
			cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	return byServer, unfinished
}
