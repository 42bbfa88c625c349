package residency

import (
	"math"
	"time"
)

const (
	// slowAverageTime and fastAverageTime are the time constants of the two
	// averages of arrivals. The higher average counts: rising demand is
	// detected at once, and a rarely requested model does not fall to zero by
	// chance.
	slowAverageTime = 8 * time.Second
	fastAverageTime = 1500 * time.Millisecond
	// rateLearningTime is how long a new leader counts arrivals before it loads models that
	// nobody seems to request. Such a load takes seconds, on servers and at the store that
	// the models need which were requested all along.
	rateLearningTime = 2 * time.Second
	// idleFactor limits a rate by the time since the last arrival: at a
	// higher rate, a request would have arrived in that time with a
	// probability of 95%.
	idleFactor = 3
	// minIdleTime is the time without an arrival below which a rate is not limited. It
	// is the usual time between two reports of demand.
	minIdleTime = 50 * time.Millisecond
)

// rate is the smoothed number of arrivals per second.
type rate struct {
	slow, fast  float64
	newArrivals float64
	lastArrival time.Duration
}

// at returns the rate at now. It falls at once when requests for a busy target
// stop.
func (r *rate) at(now time.Duration) float64 {
	average := max(r.slow, r.fast)
	idle := now - r.lastArrival
	if idle <= minIdleTime {
		return average
	}
	return min(average, idleFactor/idle.Seconds())
}

// advance adds the arrivals of the elapsed time to the averages.
func (r *rate) advance(elapsed time.Duration) {
	current := r.newArrivals / elapsed.Seconds()
	r.newArrivals = 0
	keep := math.Exp(-float64(elapsed) / float64(slowAverageTime))
	r.slow = r.slow*keep + (1-keep)*current
	keep = math.Exp(-float64(elapsed) / float64(fastAverageTime))
	r.fast = r.fast*keep + (1-keep)*current
}

// mergeDemand sums the demand of the hosts by target and updates the rates.
func (p *Planner) mergeDemand(in Input) {
	clear(p.demand)
	p.trackHosts(in.Demand)
	for _, d := range in.Demand {
		if !p.isOffered(d.Model) {
			continue
		}
		t := p.demand[d.Target]
		if t == nil {
			t = &targetDemand{runningOn: map[string]int{}, bound: map[string]int{}}
			p.demand[d.Target] = t
		}
		if d.Waiting > 0 && (t.waiting == 0 || d.EarliestExpiry < t.earliestExpiry) {
			t.earliestExpiry = d.EarliestExpiry
		}
		t.waiting += d.Waiting
		t.running += d.Running
		for s, n := range d.RunningOn {
			t.runningOn[s] += n
		}
		for _, b := range d.Bound {
			t.bound[b.Version] += b.Waiting
		}
		p.addArrivals(in.Now, d)
	}
	elapsed := in.Now - p.lastStep
	if elapsed < 50*time.Millisecond {
		return
	}
	p.lastStep = in.Now
	p.updateAverageRunning(elapsed)
	for t, r := range p.rates {
		r.advance(elapsed)
		if r.slow < 1e-4 {
			delete(p.rates, t)
		}
	}
	p.markAdaptersUsed(in)
}

// hostArrivals holds the arrival counts in the latest demand of a host.
type hostArrivals struct {
	counts map[Target]uint64
	// isNew is set in the first step with demand of a host: its counts began
	// before this leader and are not current arrivals.
	isNew bool
}

// trackHosts keeps the arrival counts of the hosts with demand, creates them for
// new hosts, and drops those of other hosts.
func (p *Planner) trackHosts(demand []Demand) {
	arrivals := map[string]*hostArrivals{}
	for _, d := range demand {
		if arrivals[d.Host] != nil {
			continue
		}
		arrivals[d.Host] = &hostArrivals{counts: map[Target]uint64{}, isNew: true}
		if existing := p.arrivals[d.Host]; existing != nil {
			existing.isNew = false
			arrivals[d.Host] = existing
		}
	}
	p.arrivals = arrivals
}

// addArrivals adds the arrivals since the host's previous demand. A lower count
// comes from a restarted host process.
func (p *Planner) addArrivals(now time.Duration, d Demand) {
	host := p.arrivals[d.Host]
	before := host.counts[d.Target]
	host.counts[d.Target] = d.Arrivals
	if d.Arrivals < before {
		before = 0
	}
	if host.isNew && d.Arrivals > 0 && p.learningUntil == 0 {
		p.learningUntil = now + rateLearningTime
	}
	if host.isNew || d.Arrivals == before {
		return
	}
	r := p.rates[d.Target]
	if r == nil {
		r = &rate{}
		p.rates[d.Target] = r
	}
	p.requestSeen = true
	r.newArrivals += float64(d.Arrivals - before)
	r.lastArrival = now
}
