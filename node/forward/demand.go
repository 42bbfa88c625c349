package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/residency"
)

// targetDemand counts the requests for one target. running counts attempts, and
// runningOn counts them by server.
type targetDemand struct {
	waiting, running int
	arrivals         uint64
	// lastArrival is the arrival time of the newest request.
	lastArrival time.Duration
	runningOn   map[string]int
	// giveUpAt holds the time at which each waiting caller gives up.
	giveUpAt map[*call]time.Duration
	// retryAt holds the times at which refused callers are expected to retry.
	// Until then, their requests count as waiting, because a load that was
	// worthwhile for them still is.
	retryAt []time.Duration
}

// maxRefusedCallers is the maximum number of refused callers that are recorded for
// each target.
const maxRefusedCallers = 256

// idleDemandRetention is how long a target without requests is kept. It bounds
// the number of targets, since callers may name any adapter.
const idleDemandRetention = time.Minute

// Demand returns the demand for each target. The caller sets the host name.
func (f *Forwarder) Demand() []residency.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []residency.Demand
	now := f.opts.Now()
	for target, d := range f.demands {
		d.retryAt = slices.DeleteFunc(d.retryAt, func(at time.Duration) bool { return at <= now })
		if d.waiting == 0 && d.running == 0 && now-d.lastArrival > idleDemandRetention {
			delete(f.demands, target)
			continue
		}
		reported := residency.Demand{
			Target: target, Waiting: d.waiting + len(d.retryAt), Running: d.running, Arrivals: d.arrivals, RunningOn: map[string]int{},
			EarliestExpiry: d.earliestExpiry(), Bound: d.boundDemand(),
		}
		for s, n := range d.runningOn {
			reported.RunningOn[s] = n
		}
		out = append(out, reported)
	}
	return out
}

// demandFor returns the demand for a target, which it creates if necessary. f.mu
// must be held.
func (f *Forwarder) demandFor(target residency.Target) *targetDemand {
	d := f.demands[target]
	if d == nil {
		d = &targetDemand{runningOn: map[string]int{}, giveUpAt: map[*call]time.Duration{}}
		f.demands[target] = d
	}
	return d
}

// earliestExpiry returns the earliest time at which a waiting caller gives up or a
// refused caller is expected to retry, or zero if there is none.
func (d *targetDemand) earliestExpiry() time.Duration {
	earliest := time.Duration(0)
	for _, at := range d.giveUpAt {
		if earliest == 0 || at < earliest {
			earliest = at
		}
	}
	for _, at := range d.retryAt {
		if earliest == 0 || at < earliest {
			earliest = at
		}
	}
	return earliest
}

// boundDemand returns the waiting requests that resume a stream, by the software version that
// began it.
func (d *targetDemand) boundDemand() []origin.BoundDemand {
	counts := map[string]int{}
	for c := range d.giveUpAt {
		if c.origin != nil {
			counts[c.origin.Version]++
		}
	}
	var out []origin.BoundDemand
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, origin.BoundDemand{Version: version, Waiting: counts[version]})
	}
	return out
}

func (d *targetDemand) attemptStarted(server string) {
	d.running++
	d.runningOn[server]++
}

func (d *targetDemand) attemptEnded(server string) {
	d.running--
	if d.runningOn[server]--; d.runningOn[server] <= 0 {
		delete(d.runningOn, server)
	}
}
