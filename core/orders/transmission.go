package orders

import (
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// announcementPoint is a point in a server's sequence of announcements.
type announcementPoint struct {
	incarnation, sequence uint64
}

// transmission is the single use of one copy.
type transmission struct {
	ended bool
	// mayBePending is set if the server may have received the order and not
	// yet executed it.
	mayBePending bool
	// endNumber is the executor's counter at the end, for comparison with
	// probes.
	endNumber uint64
	// point is the announcement by which the order was executed. If
	// mayBePending is set, it is the point that a later probe returned, from
	// which executionBound counts.
	point announcementPoint
}

// transmission returns the transmission of a copy, or nil.
func (x *Executor) transmission(c state.Copy) *transmission {
	if c.HostProcess == x.sender {
		return x.own[c.Index]
	}
	return x.foreign[c.Index]
}

// resolveCopies resolves the copies of one placement that can no longer cause a
// load: copies of this process that ended or will not be sent, and copies of
// processes that have ended.
func (x *Executor) resolveCopies(in Input, p keyedPlacement, out *Output) {
	key := p.key
	for _, c := range p.Copies {
		t := x.finishedTransmission(in, p.Placement, c)
		if t == nil {
			continue
		}
		if t.mayBePending && t.point == (announcementPoint{}) {
			x.sendProbe(in, key.Server, out)
			continue
		}
		if !t.confirmNotPending(newestPoint(in.Servers, key.Server)) {
			continue
		}
		out.Commands = append(out.Commands, state.Command{ResolveCopies: &state.ResolveCopies{
			Server: key.Server, Model: key.Model, Adapter: key.Adapter, Index: c.Index, Sender: c.HostProcess,
			Incarnation: t.point.incarnation, Sequence: t.point.sequence,
		}})
	}
}

// sendProbe requests the current point of a server, since a delayed
// announcement may be older than the end of a transmission.
func (x *Executor) sendProbe(in Input, server string, out *Output) {
	last, probed := x.lastProbes[server]
	if probed && in.Now-last < resendInterval {
		return
	}
	x.counter++
	x.lastProbes[server] = in.Now
	srv := in.State.Servers[server]
	out.Orders = append(out.Orders, Order{
		Probe: true, Key: state.PlacementKey{Server: server}, Address: srv.Address, ProbeNumber: x.counter,
	})
}

// finishedTransmission returns the transmission of a copy for which the sender
// will send nothing more, or nil.
func (x *Executor) finishedTransmission(in Input, p state.Placement, c state.Copy) *transmission {
	if c.HostProcess != x.sender {
		if x.foreign[c.Index] == nil && in.Leading && processEnded(in.Hosts, c.HostProcess) {
			x.counter++
			x.foreign[c.Index] = &transmission{ended: true, mayBePending: true, endNumber: x.counter}
		}
		return x.foreign[c.Index]
	}
	t := x.own[c.Index]
	switch {
	case t != nil && t.ended:
		return t
	case t != nil, in.Leading && p.Phase == state.PhaseLoading:
		return nil
	}
	// An unused copy is marked as ended, so that it is never sent later.
	t = &transmission{ended: true}
	x.own[c.Index] = t
	return t
}

// confirmNotPending reports whether the server can no longer execute the order,
// because it has executed the order or never will. For an order that may be
// pending, this holds once the server process has announced itself
// executionBound times since the probe, or a newer process has announced itself.
func (t *transmission) confirmNotPending(newest announcementPoint) bool {
	if !t.mayBePending {
		return true
	}
	restarted := newest.incarnation > t.point.incarnation
	counted := newest.incarnation == t.point.incarnation && newest.sequence >= t.point.sequence+executionBound
	if !restarted && !counted {
		return false
	}
	if counted {
		t.point = newest
	}
	t.mayBePending = false
	return true
}

// processEnded reports whether a newer process of the sender's host is known.
func processEnded(hosts []membership.Host, s state.HostProcess) bool {
	for _, h := range hosts {
		if h.Name == s.Host {
			return h.Incarnation > s.Incarnation
		}
	}
	return false
}

// newestPoint returns the point of a server's newest announcement.
func newestPoint(servers []membership.ServerStatus, name string) announcementPoint {
	for _, s := range servers {
		if s.Name == name {
			return announcementPoint{s.Incarnation, s.Sequence}
		}
	}
	return announcementPoint{}
}
