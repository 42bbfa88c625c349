package peer

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/node/peer/peerpb"
)

// DemandReport is what waits and runs on one host. Its times are relative to
// Now, which is on the clock of the process that holds the report: the sender's
// when sent and the receiver's when received.
type DemandReport struct {
	Host        string
	Incarnation uint64
	Now         time.Duration
	Demand      []placement.Demand
}

// Prediction is when a model or adapter that is waited for will be ready.
type Prediction struct {
	Model, Adapter string
	// ReadyIn is counted from the answer.
	ReadyIn time.Duration
}

// At moves the times of the report from its clock to one that shows now.
func (r DemandReport) At(now time.Duration) DemandReport {
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
		for c := range d.Classes {
			if d.Classes[c].EarliestDeadline != 0 {
				d.Classes[c].EarliestDeadline += shift
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
			m.Classes = append(m.Classes, &peerpb.ClassDemand{Waiting: int64(c.Waiting), EarliestInMs: relative(c.EarliestDeadline, r.Now)})
		}
		for server, n := range d.RunningOn {
			if m.RunningOn == nil {
				m.RunningOn = map[string]int64{}
			}
			m.RunningOn[server] = int64(n)
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

// relative returns a deadline in milliseconds from now, and zero for none.
func relative(at, now time.Duration) int64 {
	if at == 0 {
		return 0
	}
	if ms := (at - now).Milliseconds(); ms != 0 {
		return ms
	}
	return 1
}

// demandFromProto returns a report on a clock that shows zero.
func demandFromProto(m *peerpb.DemandRequest) DemandReport {
	out := DemandReport{Host: m.Host, Incarnation: m.Incarnation}
	for _, x := range m.Demand {
		d := placement.Demand{
			Model: x.Model, Adapter: x.Adapter, Waiting: int(x.Waiting), Running: int(x.Running), Arrivals: x.Arrivals,
		}
		for i, c := range x.Classes {
			if i < len(d.Classes) {
				d.Classes[i].Waiting = int(c.Waiting)
				d.Classes[i].EarliestDeadline = time.Duration(c.EarliestInMs) * time.Millisecond
			}
		}
		for server, n := range x.RunningOn {
			if d.RunningOn == nil {
				d.RunningOn = map[string]int{}
			}
			d.RunningOn[server] = int(n)
		}
		if x.HasEarliest {
			d.EarliestDeadline = nonZero(time.Duration(x.EarliestInMs) * time.Millisecond)
		}
		if x.HasArrival {
			d.LastArrival = nonZero(-time.Duration(x.LastArrivalAgoMs) * time.Millisecond)
		}
		out.Demand = append(out.Demand, d)
	}
	return out
}

// nonZero keeps a time that is set apart from one that is not.
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
