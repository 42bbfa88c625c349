package forward

import (
	"net/http"
	"time"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/waitpolicy"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// acquireServer selects a server and waits for one if necessary. If no server is
// expected in time, it ends the request and returns false.
func (c *call) acquireServer() (routing.Attempt, bool) {
	f := c.forwarder
	target := residency.Target{Model: c.key.Model, Adapter: c.key.Adapter}
	waiting := false
	trialWait := time.Duration(0)
	defer func() {
		if waiting {
			f.endWait(target, c)
		}
		f.releaseWant(c)
	}()
	for {
		if f.hasStoppedWaiting() {
			c.endWithoutServer(unavailableRetryAfter, "host is leaving and waits for no further server")
			return routing.Attempt{}, false
		}
		if c.outlastsDeparture() {
			c.endWithoutServer(unavailableRetryAfter, outlastsDepartureReason)
			return routing.Attempt{}, false
		}
		suspected := f.suspicionOf(c)
		if suspected.refused {
			c.endWithoutServer(suspected.retryAfter, suspected.reason)
			return routing.Attempt{}, false
		}
		attempt, rebuilt, forecast, ok := f.pickServer(c, len(suspected.parts) > 0)
		if ok && len(suspected.parts) > 0 {
			if sent, ended := c.tryTrial(attempt, suspected.parts, &trialWait); sent || ended {
				return attempt, sent
			}
			continue
		}
		if ok {
			return attempt, true
		}
		if rebuilt == nil {
			c.endWithoutServer(unavailableRetryAfter, c.noServerReason())
			return attempt, false
		}
		now := f.opts.Now()
		decided := waitpolicy.Decide(now, c.waitRequest(), forecast)
		if !decided.Wait {
			f.recordRefusal(target, decided.RetryAfter)
			c.endUnserved(decided.RetryAfter)
			return attempt, false
		}
		if !waiting {
			waiting = true
			f.beginWait(target, c)
		}
		waitStart := now
		if c.restricted {
			decided.Until = min(decided.Until, now+noticePollInterval)
		}
		timer := time.NewTimer(decided.Until - now)
		select {
		case <-rebuilt:
		case <-timer.C:
		case <-c.ctx.Done():
		case <-f.waitingStopped:
		}
		timer.Stop()
		c.waitTime += f.opts.Now() - waitStart
		if c.inbound.Context().Err() != nil {
			c.logEvent(decision.EventCallerLeft, decision.Fields{decision.FieldReason: "caller left while waiting for a server"})
			panic(http.ErrAbortHandler)
		}
	}
}

// noServerReason describes why waiting for a server is in vain.
func (c *call) noServerReason() string {
	if c.origin != nil {
		return "no other backend server of software version " + c.origin.Version + ", which began the stream, holds the target"
	}
	return "no other backend server holds the target"
}

func (f *Forwarder) hasStoppedWaiting() bool {
	select {
	case <-f.waitingStopped:
		return true
	default:
		return false
	}
}

// noticePollInterval is how often a request looks again whether its servers want requests.
// It is shorter than the time after which its want of a permit is forgotten.
const noticePollInterval = 150 * time.Millisecond

// endUnserved ends a request that no server is expected to take in time.
func (c *call) endUnserved(retryAfter time.Duration) {
	if c.restricted {
		c.refuseRestricted(retryAfter)
		return
	}
	c.endWithoutServer(retryAfter, "no backend server holds the target in time")
}

// waitRequest returns the request's time limits for core/waitpolicy. For a stream
// whose headers were sent, the wait limit counts from the last event.
func (c *call) waitRequest() waitpolicy.Request {
	out := waitpolicy.Request{Arrived: c.arrivedAt, Deadline: c.deadline, WaitLimit: c.route.WaitLimit}
	if c.headersSent {
		out.Arrived = c.lastEventAt
	}
	return out
}

// endWithoutServer ends a request for which no server was found. retryAfter is
// the Retry-After value if the request is refused.
func (c *call) endWithoutServer(retryAfter time.Duration, reason string) {
	switch c.exchange.ActionAtDeadline() {
	case exchange.RejectNotRun:
		c.refuse(http.StatusServiceUnavailable, retryAfter, reason)
	case exchange.Abort:
		c.abort(reason)
	default:
		c.fail(reason)
	}
}
