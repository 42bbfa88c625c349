package residency

import (
	"math"
	"time"
)

const (
	// slowMemory and fastMemory are the times over which arrivals are averaged.
	// The higher average counts: a model whose demand rises is seen at once, and
	// chance does not hide one that is asked for now and then.
	slowMemory = 8 * time.Second
	fastMemory = 1500 * time.Millisecond
	// silenceFactor bounds a rate by the time since the last arrival: a target
	// with a higher rate would have been asked for with a probability of 95%.
	silenceFactor = 3
)

// rate is the smoothed number of arrivals a second.
type rate struct {
	slow, fast float64
	pending    float64
	last       time.Duration
}

// at returns the rate at now. It falls at once when a busy target falls silent.
func (r *rate) at(now time.Duration) float64 {
	return min(max(r.slow, r.fast), silenceFactor/max(0.05, (now-r.last).Seconds()))
}

// advance averages in the arrivals of the time that has passed.
func (r *rate) advance(elapsed time.Duration) {
	now := r.pending / elapsed.Seconds()
	r.pending = 0
	keep := math.Exp(-float64(elapsed) / float64(slowMemory))
	r.slow = r.slow*keep + (1-keep)*now
	keep = math.Exp(-float64(elapsed) / float64(fastMemory))
	r.fast = r.fast*keep + (1-keep)*now
}

// count sums the demand and updates the rates.
func (p *Planner) count(in Input) {
	clear(p.demand)
	p.hosts(in.Demand)
	for _, d := range in.Demand {
		if !p.offered(d.Model) {
			continue
		}
		t := p.demand[d.Target]
		if t == nil {
			t = &total{runningOn: map[string]int{}}
			p.demand[d.Target] = t
		}
		if d.Waiting > 0 && (t.waiting == 0 || d.Leaves < t.leaves) {
			t.leaves = d.Leaves
		}
		t.waiting += d.Waiting
		t.running += d.Running
		for s, n := range d.RunningOn {
			t.runningOn[s] += n
		}
		p.arrive(in.Now, d)
	}
	elapsed := in.Now - p.lastStep
	if elapsed < 50*time.Millisecond {
		return
	}
	p.lastStep = in.Now
	p.averageRunning(elapsed)
	for t, r := range p.rates {
		r.advance(elapsed)
		if r.slow < 1e-4 {
			delete(p.rates, t)
		}
	}
	p.touch(in)
}

// hostArrivals are the counts that a host has reported.
type hostArrivals struct {
	counts map[Target]uint64
	// fresh is set during the first report: its counts began before this leader
	// and are no arrivals of now.
	fresh bool
}

// hosts prepares the counts of the hosts that report, and forgets the others.
func (p *Planner) hosts(demand []Demand) {
	reports := map[string]*hostArrivals{}
	for _, d := range demand {
		if reports[d.Host] != nil {
			continue
		}
		reports[d.Host] = &hostArrivals{counts: map[Target]uint64{}, fresh: true}
		if known := p.arrivals[d.Host]; known != nil {
			known.fresh = false
			reports[d.Host] = known
		}
	}
	p.arrivals = reports
}

// arrive adds the arrivals since the host's earlier report. A lower count
// comes from a new process of the host.
func (p *Planner) arrive(now time.Duration, d Demand) {
	host := p.arrivals[d.Host]
	before := host.counts[d.Target]
	host.counts[d.Target] = d.Arrivals
	if d.Arrivals < before {
		before = 0
	}
	if host.fresh || d.Arrivals == before {
		return
	}
	r := p.rates[d.Target]
	if r == nil {
		r = &rate{}
		p.rates[d.Target] = r
	}
	p.asked = true
	r.pending += float64(d.Arrivals - before)
	r.last = now
}
