package forward

import (
	"time"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/waitpolicy"
)

// randomFraction returns a random number in [0, 1).
func (f *Forwarder) randomFraction() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// recordArrival counts a request in the demand for its target and in the retry
// budget of its service.
func (f *Forwarder) recordArrival(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budgetFor(c.key.Service).RecordRequest(f.opts.Now())
	if c.key.Model != "" {
		d := f.demandFor(residency.Target{Model: c.key.Model, Adapter: c.key.Adapter})
		d.arrivals++
		d.lastArrival = f.opts.Now()
	}
}

// allowRetry reports whether the service's budget permits one more attempt, and
// charges it to the budget if so.
func (f *Forwarder) allowRetry(service string) bool {
	hosts := f.opts.HostCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budgetFor(service).TakeRetry(f.opts.Now(), hosts)
}

// beginWait adds a waiting request to the demand for its target and triggers a
// demand report to the leader without delay.
func (f *Forwarder) beginWait(target residency.Target, c *call) {
	if target.Model == "" {
		return
	}
	giveUpAt := c.deadline
	if r := c.waitRequest(); r.WaitLimit > 0 {
		giveUpAt = min(giveUpAt, r.Arrived+r.WaitLimit)
	}
	f.mu.Lock()
	d := f.demandFor(target)
	d.waiting++
	d.giveUpAt[c] = giveUpAt
	f.mu.Unlock()
	f.opts.DemandChanged()
}

// endWait removes a request that no longer waits from the demand for its target.
func (f *Forwarder) endWait(target residency.Target, c *call) {
	if target.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.demandFor(target)
	d.waiting--
	delete(d.giveUpAt, c)
}

// recordRefusal records that a caller was refused because no server holds the
// target, and was asked to retry after retryAfter.
func (f *Forwarder) recordRefusal(target residency.Target, retryAfter time.Duration) {
	if target.Model == "" {
		return
	}
	f.mu.Lock()
	if d := f.demandFor(target); len(d.retryAt) < maxRefusedCallers {
		d.retryAt = append(d.retryAt, f.opts.Now()+retryAfter)
	}
	f.mu.Unlock()
	f.opts.DemandChanged()
}

// pickServer selects a server for a request, for a trial the least loaded one, so that a
// crash ends few other requests. If there is none, it returns a
// forecast and a channel that is closed when the router has been rebuilt. A nil
// channel means that waiting cannot help.
func (f *Forwarder) pickServer(c *call, trial bool) (attempt routing.Attempt, rebuilt <-chan struct{}, forecast waitpolicy.Forecast, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.permits.NotifyLocked()
	now := f.opts.Now()
	q := routing.Query{Key: c.key, Prefix: c.request.Prefix, Exclude: c.avoidServer, Request: c.serial, Priority: c.route.Priority, AllowsVersion: c.allowsVersion()}
	if trial {
		if attempt, ok = f.router.PickLeastLoaded(now, q, f.excludedFromTrial(c)); ok {
			return attempt, nil, forecast, true
		}
	}
	if attempt, ok = f.router.Pick(now, q); ok {
		return attempt, nil, forecast, true
	}
	if c.avoidServer != "" && !c.mustAvoid {
		q.Exclude = ""
		if attempt, ok = f.router.Pick(now, q); ok {
			return attempt, nil, forecast, true
		}
	}
	forecast, possible := f.forecastFor(c)
	restriction, restricted := f.router.Restriction(now, q)
	if c.restriction, c.restricted = restriction, restricted; restricted {
		return attempt, f.rebuilt, forecast.OrAt(now + restriction.Delay), false
	}
	if !possible || c.mustAvoid && f.router.AvailableServers(c.key) > 0 {
		// Only the server that has just refused the request holds the target, or none of
		// the software version that began the stream does.
		return attempt, nil, forecast, false
	}
	return attempt, f.rebuilt, forecast, false
}

func (f *Forwarder) recordAttemptStart(target residency.Target, server string) {
	if target.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demandFor(target).attemptStarted(server)
}

// recordAnswerStart reports to the router that a server has begun to answer.
func (f *Forwarder) recordAnswerStart(attempt routing.Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordAnswer(f.opts.Now(), attempt)
}

// recordAttemptEnd records the end of an attempt. A cancelled attempt is not
// evidence that its server failed.
func (f *Forwarder) recordAttemptEnd(target residency.Target, attempt routing.Attempt, out attemptResult, cancelled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target.Model != "" {
		f.demandFor(target).attemptEnded(attempt.Server)
	}
	now := f.opts.Now()
	result := routing.Neutral
	switch out.outcome {
	case exchange.Complete:
		result = routing.Success
	case exchange.NotSent, exchange.Misdirected:
		if !cancelled {
			f.router.MarkEnded(attempt)
		}
	case exchange.Lost, exchange.Cut:
		if !cancelled {
			result = routing.Failure
		}
	case exchange.Failed:
		f.router.RecordFailedAnswer(now, attempt)
	}
	f.router.EndAttempt(now, attempt, result)
}
