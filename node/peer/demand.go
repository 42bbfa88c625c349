package peer

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// DemandReport lists the requests that wait and run on one host, by model and
// adapter. Now and the times in Demand are on the clock of the process that
// holds the report. Only their differences from Now are sent, so that the clocks
// of sender and receiver need not agree.
type DemandReport struct {
	Host        string
	Incarnation uint64
	Now         time.Duration
	Demand      []placement.Demand
}

// DemandReply is the leader's answer to a demand report.
type DemandReply struct {
	Predictions []Prediction
	// Applied is the highest log index that the leader has applied, or zero if it cannot be sure
	// that it still leads. Address is the leader's peer address.
	Applied uint64
	Address string
}

// Prediction states when a model or adapter that requests wait for is expected
// to be ready.
type Prediction struct {
	Model, Adapter string
	// ReadyIn is the time from the answer that carries the prediction.
	ReadyIn time.Duration
}

// RebaseTo returns a copy of the report with its times converted to a clock that
// currently reads now. A time of zero means "none" and stays zero.
func (r DemandReport) RebaseTo(now time.Duration) DemandReport {
	shift := now - r.Now
	out := r
	out.Now, out.Demand = now, make([]placement.Demand, len(r.Demand))
	for i, d := range r.Demand {
		if d.EarliestDeadline != 0 {
			d.EarliestDeadline += shift
		}
		if d.LastArrival != 0 {
			d.LastArrival += shift
		}
		for class := range d.Classes {
			if d.Classes[class].EarliestDeadline != 0 {
				d.Classes[class].EarliestDeadline += shift
			}
		}
		out.Demand[i] = d
	}
	return out
}

func demandToProto(r DemandReport) *peerpb.DemandRequest {
	out := &peerpb.DemandRequest{Host: r.Host, Incarnation: r.Incarnation}
	for _, d := range r.Demand {
		m := &peerpb.Demand{
			Model: d.Model, Adapter: d.Adapter, Waiting: int64(d.Waiting), Running: int64(d.Running), Arrivals: d.Arrivals,
		}
		for _, c := range d.Classes {
			m.Classes = append(m.Classes, &peerpb.ClassDemand{Waiting: int64(c.Waiting), EarliestInMs: relativeMS(c.EarliestDeadline, r.Now)})
		}
		for server, n := range d.RunningOn {
			if m.RunningOn == nil {
				m.RunningOn = map[string]int64{}
			}
			m.RunningOn[server] = int64(n)
		}
		for _, b := range d.Bound {
			m.Bound = append(m.Bound, &peerpb.BoundDemand{SoftwareVersion: b.Version, Waiting: int64(b.Waiting)})
		}
		if d.EarliestDeadline != 0 {
			m.HasEarliest, m.EarliestInMs = true, (d.EarliestDeadline - r.Now).Milliseconds()
		}
		if d.LastArrival != 0 {
			m.HasArrival, m.LastArrivalAgoMs = true, (r.Now - d.LastArrival).Milliseconds()
		}
		out.Demand = append(out.Demand, m)
	}
	return out
}

// relativeMS returns a deadline in milliseconds from now. Zero means no deadline,
// so a deadline that rounds to zero is returned as 1.
func relativeMS(deadline, now time.Duration) int64 {
	if deadline == 0 {
		return 0
	}
	if ms := (deadline - now).Milliseconds(); ms != 0 {
		return ms
	}
	return 1
}

// demandFromProto returns a report with Now at zero; RebaseTo converts it to the
// clock of the receiver.
func demandFromProto(m *peerpb.DemandRequest) DemandReport {
	out := DemandReport{Host: m.Host, Incarnation: m.Incarnation}
	for _, received := range m.Demand {
		d := placement.Demand{
			Model: received.Model, Adapter: received.Adapter, Waiting: int(received.Waiting), Running: int(received.Running), Arrivals: received.Arrivals,
		}
		for i, c := range received.Classes {
			if i < len(d.Classes) {
				d.Classes[i].Waiting = int(c.Waiting)
				d.Classes[i].EarliestDeadline = time.Duration(c.EarliestInMs) * time.Millisecond
			}
		}
		for server, n := range received.RunningOn {
			if d.RunningOn == nil {
				d.RunningOn = map[string]int{}
			}
			d.RunningOn[server] = int(n)
		}
		for _, b := range received.Bound {
			d.Bound = append(d.Bound, origin.BoundDemand{Version: b.SoftwareVersion, Waiting: int(b.Waiting)})
		}
		if received.HasEarliest {
			d.EarliestDeadline = nonZero(time.Duration(received.EarliestInMs) * time.Millisecond)
		}
		if received.HasArrival {
			d.LastArrival = nonZero(-time.Duration(received.LastArrivalAgoMs) * time.Millisecond)
		}
		out.Demand = append(out.Demand, d)
	}
	return out
}

// nonZero returns d, or 1 ns if d is zero, because zero means that no time is set.
func nonZero(d time.Duration) time.Duration {
	if d == 0 {
		return 1
	}
	return d
}

func predictionsToProto(list []Prediction) []*peerpb.Prediction {
	var out []*peerpb.Prediction
	for _, p := range list {
		out = append(out, &peerpb.Prediction{Model: p.Model, Adapter: p.Adapter, ReadyInMs: p.ReadyIn.Milliseconds()})
	}
	return out
}

func predictionsFromProto(list []*peerpb.Prediction) []Prediction {
	var out []Prediction
	for _, p := range list {
		out = append(out, Prediction{Model: p.Model, Adapter: p.Adapter, ReadyIn: time.Duration(p.ReadyInMs) * time.Millisecond})
	}
	return out
}
