// Package orders turns committed intents into orders to backend servers and
// the servers' reports into settled intents. It performs no I/O: it returns the
// commands to propose and the orders to send.
//
// Invariant: a load order is sent only under a committed Copy, at most once per
// Copy, and the Copy is resolved only when that transmission has ended. So the
// replicated state accounts for every load that any host process may still
// cause, also one that was frozen while it led.
package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// resendAfter is the wait before the order of an unsettled intent is repeated.
const resendAfter = 2 * time.Second

// unloadAfter covers the push of an unload intent to every host, and the first
// report of requests that were started meanwhile.
const unloadAfter = 2 * time.Second

// executedWithin is the number of announcements within which a server has
// executed a request that it received. It bounds the hold on a slot when the
// answer to an order was lost.
const executedWithin = 10

// Order asks a backend server to load or unload, or only for the point that
// its announcements have reached if Probe is set.
type Order struct {
	Probe bool
	// Token orders a probe among the ends of transmissions.
	Token       uint64
	Key         state.PlaceKey
	Address     string
	Load        bool
	Version     string
	Fence       uint64
	Incarnation uint64
	// Copy is the index of the committed copy that permits a load order.
	Copy uint64
}

// Delivery says how the transmission of an order ended.
type Delivery int

// Deliveries.
const (
	// Answered: the server answered, so it has executed or refused the order.
	Answered Delivery = iota
	// NotSent: no byte reached the server.
	NotSent
	// MaybeSent: the connection ended before the answer.
	MaybeSent
)

// Input is what a step depends on.
type Input struct {
	Now     time.Duration
	State   *state.State
	Servers []membership.Presence
	Hosts   []membership.Host
	// Busy reports requests in progress on a placement. Its unload is not
	// ordered while there are any.
	Busy func(state.PlaceKey) bool
	// Leading permits orders. Without it only ended transmissions are resolved.
	Leading bool
}

// Output is what a step asks for: commands first, then orders.
type Output struct {
	Commands []state.Command
	Orders   []Order
}

// mark is a point in a server's sequence of announcements.
type mark struct {
	incarnation, sequence uint64
}

// transmission is the use of one copy.
type transmission struct {
	ended bool
	// unknown: the server may have received the order and not yet executed it.
	unknown bool
	// endedAt orders the end among the probes of the executor.
	endedAt uint64
	// at is the point by which the order was executed or, if unknown, the
	// point that a later probe found, from which executedWithin counts.
	at mark
}

// Executor tracks the transmissions of one host process. It is not safe for
// concurrent use.
type Executor struct {
	sender state.Sender
	// used holds the transmissions of own copies by copy index.
	used map[uint64]*transmission
	// foreign holds the copies of processes that have ended.
	foreign map[uint64]*transmission
	probes  map[string]time.Duration
	// intents holds when an unload intent was first seen.
	intents map[state.PlaceKey]lastSend
	unloads map[state.PlaceKey]lastSend
	loads   map[state.PlaceKey]lastSend
	// clock counts probes and ends of transmissions.
	clock uint64
}

type lastSend struct {
	fence uint64
	at    time.Duration
}

// New returns the executor of a host process.
func New(sender state.Sender) *Executor {
	return &Executor{
		sender: sender, used: map[uint64]*transmission{}, foreign: map[uint64]*transmission{},
		probes:  map[string]time.Duration{},
		intents: map[state.PlaceKey]lastSend{}, unloads: map[state.PlaceKey]lastSend{}, loads: map[state.PlaceKey]lastSend{},
	}
}

// Step returns the commands and orders that are due.
func (x *Executor) Step(in Input) Output {
	var out Output
	x.forget(in.State)
	byServer, open := survey(in.State)
	for _, p := range open {
		x.resolve(in, p, &out)
	}
	if !in.Leading {
		return out
	}
	out.Commands = append(out.Commands, observe(in, byServer)...)
	for _, p := range open {
		x.advance(in, p, &out)
	}
	return out
}

// Ended records the end of an order's transmission. Incarnation and sequence
// are those in the server's answer, and are ignored without one.
func (x *Executor) Ended(o Order, d Delivery, incarnation, sequence uint64) {
	t := x.used[o.Copy]
	if !o.Load || t == nil {
		return
	}
	x.clock++
	t.ended, t.unknown, t.endedAt = true, d == MaybeSent, x.clock
	if d == Answered {
		t.at = mark{incarnation, sequence}
	}
}

// Probed records the answer to a probe. It starts the count for transmissions
// to the server that had ended when the probe was sent.
func (x *Executor) Probed(o Order, incarnation, sequence uint64, s *state.State) {
	for key, p := range s.Placements {
		if key.Server != o.Key.Server {
			continue
		}
		for _, c := range p.Copies {
			t := x.transmission(c)
			if t != nil && t.ended && t.unknown && t.at == (mark{}) && t.endedAt < o.Token {
				t.at = mark{incarnation, sequence}
			}
		}
	}
}

func (x *Executor) transmission(c state.Copy) *transmission {
	if c.Sender == x.sender {
		return x.used[c.Index]
	}
	return x.foreign[c.Index]
}

// forget drops the transmissions whose copies the state no longer lists.
func (x *Executor) forget(s *state.State) {
	listed := map[uint64]bool{}
	for _, p := range s.Placements {
		for _, c := range p.Copies {
			listed[c.Index] = true
		}
	}
	for index, t := range x.used {
		if t.ended && !listed[index] && index <= s.Index {
			delete(x.used, index)
		}
	}
	for key := range x.intents {
		if s.Placements[key].Phase != state.PhaseUnloading {
			delete(x.intents, key)
		}
	}
	for index := range x.foreign {
		if !listed[index] {
			delete(x.foreign, index)
		}
	}
}

// resolve clears copies on one placement: own copies that ended or will not be
// used, and copies of ended processes.
func (x *Executor) resolve(in Input, p placed, out *Output) {
	key := p.key
	for _, c := range p.Copies {
		t := x.finished(in, p.Placement, c)
		if t == nil {
			continue
		}
		if t.unknown && t.at == (mark{}) {
			x.probe(in, key.Server, out)
			continue
		}
		if !t.executed(newestMark(in.Servers, key.Server)) {
			continue
		}
		out.Commands = append(out.Commands, state.Command{Resolve: &state.Resolve{
			Server: key.Server, Model: key.Model, Adapter: key.Adapter, Index: c.Index, Sender: c.Sender,
			Incarnation: t.at.incarnation, Sequence: t.at.sequence,
		}})
	}
}

// probe asks a server for its point, since an announcement that was delayed
// may be older than the end of a transmission.
func (x *Executor) probe(in Input, server string, out *Output) {
	last, asked := x.probes[server]
	if asked && in.Now-last < resendAfter {
		return
	}
	x.clock++
	x.probes[server] = in.Now
	srv := in.State.Servers[server]
	out.Orders = append(out.Orders, Order{
		Probe: true, Key: state.PlaceKey{Server: server}, Address: srv.Address, Token: x.clock,
	})
}

// finished returns the transmission of a copy whose sender will cause nothing
// more, or nil.
func (x *Executor) finished(in Input, p state.Placement, c state.Copy) *transmission {
	if c.Sender != x.sender {
		if x.foreign[c.Index] == nil && in.Leading && processEnded(in.Hosts, c.Sender) {
			x.clock++
			x.foreign[c.Index] = &transmission{ended: true, unknown: true, endedAt: x.clock}
		}
		return x.foreign[c.Index]
	}
	t := x.used[c.Index]
	switch {
	case t != nil && t.ended:
		return t
	case t != nil, in.Leading && p.Phase == state.PhaseLoading:
		return nil
	}
	// An unused copy is given up for good, so that it is never sent later.
	t = &transmission{ended: true}
	x.used[c.Index] = t
	return t
}

// executed reports whether the order was executed, if it ever will be. An
// order of unknown fate is, once the process has announced itself
// executedWithin times since the probe, or a newer process has.
func (t *transmission) executed(newest mark) bool {
	if !t.unknown {
		return true
	}
	restarted := newest.incarnation > t.at.incarnation
	counted := newest.incarnation == t.at.incarnation && newest.sequence >= t.at.sequence+executedWithin
	if !restarted && !counted {
		return false
	}
	if counted {
		t.at = newest
	}
	t.unknown = false
	return true
}

func processEnded(hosts []membership.Host, s state.Sender) bool {
	for _, h := range hosts {
		if h.Name == s.Host {
			return h.Incarnation > s.Incarnation
		}
	}
	return false
}

func newestMark(servers []membership.Presence, name string) mark {
	for _, s := range servers {
		if s.Name == name {
			return mark{s.Incarnation, s.Sequence}
		}
	}
	return mark{}
}

// advance sends the order of an open intent, or asks for a copy first.
func (x *Executor) advance(in Input, p placed, out *Output) {
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
		out.Commands = append(out.Commands, x.unload(key, p.Placement))
	case state.PhaseReady, state.PhaseHeld:
	}
}

// advanceUnload sends an unload order once every host had the time to learn of
// the intent, and no request runs on the placement.
func (x *Executor) advanceUnload(in Input, o Order, out *Output) {
	first, ok := x.intents[o.Key]
	if !ok || first.fence != o.Fence {
		first = lastSend{o.Fence, in.Now}
		x.intents[o.Key] = first
	}
	if in.Now-first.at < unloadAfter || in.Busy != nil && in.Busy(o.Key) {
		return
	}
	if x.due(x.unloads, in.Now, o) {
		out.Orders = append(out.Orders, o)
	}
}

func (x *Executor) advanceLoad(in Input, p state.Placement, o Order, out *Output) {
	o.Load = true
	for _, c := range p.Copies {
		if c.Sender == x.sender && c.Index >= p.Fence && x.used[c.Index] == nil {
			x.used[c.Index] = &transmission{}
			x.loads[o.Key] = lastSend{o.Fence, in.Now}
			o.Copy = c.Index
			out.Orders = append(out.Orders, o)
			return
		}
	}
	if x.inFlight(p) {
		return
	}
	if x.due(x.loads, in.Now, o) {
		out.Commands = append(out.Commands, state.Command{Attempt: &state.Attempt{
			Server: o.Key.Server, Model: o.Key.Model, Adapter: o.Key.Adapter, Fence: p.Fence, Sender: x.sender,
		}})
	}
}

// inFlight reports whether an own copy is being transmitted.
func (x *Executor) inFlight(p state.Placement) bool {
	return slices.ContainsFunc(p.Copies, func(c state.Copy) bool {
		t := x.used[c.Index]
		return c.Sender == x.sender && t != nil && !t.ended
	})
}

// due reports whether an intent's order was not sent within resendAfter, and
// if so counts it as sent now.
func (x *Executor) due(last map[state.PlaceKey]lastSend, now time.Duration, o Order) bool {
	l, ok := last[o.Key]
	if ok && l.fence == o.Fence && now-l.at < resendAfter {
		return false
	}
	last[o.Key] = lastSend{o.Fence, now}
	return true
}

func (x *Executor) unload(key state.PlaceKey, p state.Placement) state.Command {
	return state.Command{Unload: &state.Unload{
		Server: key.Server, Incarnation: p.Incarnation, Model: key.Model, Adapter: key.Adapter, Sender: x.sender,
	}}
}

// placed is a placement with its key.
type placed struct {
	key state.PlaceKey
	state.Placement
}

// survey sorts the placements of a state once for a step: those of each server,
// and by the order of their intents those that may need an order or a resolved
// copy. Most placements are ready and need neither.
func survey(s *state.State) (byServer map[string][]placed, open []placed) {
	byServer = make(map[string][]placed, len(s.Servers))
	for k, p := range s.Placements {
		x := placed{k, p}
		byServer[k.Server] = append(byServer[k.Server], x)
		if p.Phase != state.PhaseReady || len(p.Copies) > 0 {
			open = append(open, x)
		}
	}
	slices.SortFunc(open, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.key.Server, b.key.Server),
			cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	return byServer, open
}
