package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/origins"
)

// maxOriginHold is the longest time for which the first event of a stream is held until the
// leader knows its origin, while several software versions serve. Otherwise the stream could
// not be resumed if this host died right after that event.
const maxOriginHold = 40 * time.Millisecond

// resumeGrace is how long after the deadline of a request its caller may still resume the
// stream with another one.
const resumeGrace = 30 * time.Second

// resumes reports whether the caller resumes a stream that an earlier request of it began.
func (r Request) resumes() bool { return r.ResumeAfter != "" || r.ResumedStream != "" }

// streamName returns the ID of the request that brought the first event of the stream, or an
// empty string if the caller resumes a stream without naming it.
func (r Request) streamName() string {
	if r.resumes() {
		return r.ResumedStream
	}
	return r.ID
}

// bindsStream reports whether the answer is a stream that goes on only at its origin.
func (c *call) bindsStream() bool { return c.route.Kind == route.Streaming && c.route.Resumable }

// findOrigin finds the origin of the stream that the caller resumes, if it does. It returns
// false if it has refused the request.
func (c *call) findOrigin() bool {
	if !c.bindsStream() || !c.request.resumes() {
		return true
	}
	f := c.forwarder
	services := c.route.ServiceNames()
	answer, err := f.origins.Find(c.ctx, origin.Question{Stream: origin.IDOf(c.request.streamName()), Services: services})
	switch {
	case errors.Is(err, origins.ErrUnknown):
		// Nothing that happens before the deadline makes the origin known.
		return c.refuseResumption(c.deadline-f.opts.Now(), err.Error())
	case err != nil:
		return c.refuseResumption(unavailableRetryAfter, err.Error())
	case !c.route.Serves(answer.Origin.Service):
		return c.refuseResumption(c.deadline-f.opts.Now(), "the route no longer leads to the service that began the stream")
	}
	c.origin = &answer.Origin
	return true
}

// refuseResumption refuses a request that resumes a stream, and returns false.
func (c *call) refuseResumption(retryAfter time.Duration, reason string) bool {
	c.logEvent(decision.EventUnresumed, decision.Fields{
		decision.FieldResumedStream: c.request.ResumedStream, decision.FieldResumeAfter: c.request.ResumeAfter, decision.FieldReason: reason,
	})
	return c.refuse(http.StatusServiceUnavailable, retryAfter, reason)
}

// allowsVersion returns which software versions the next attempt may reach, or nil for any: the
// origin of a stream that has begun, and the admitted ones for a new stream.
func (c *call) allowsVersion() func(version string) bool {
	if !c.bindsStream() {
		return nil
	}
	if c.origin != nil {
		version := c.origin.Version
		return func(v string) bool { return v == version }
	}
	admitted, service := c.forwarder.view.Load().versions, c.key.Service
	return func(v string) bool { return admitted.Allows(service, v) }
}

// prepareFirstEvent is called before the first event of an attempt on a stream is passed on. It
// notes the origin, and logs the event if another attempt or another request began the stream.
func (c *call) prepareFirstEvent(attempt routing.Attempt) {
	begun := ""
	if c.origin != nil {
		begun = c.origin.Version
	}
	if c.eventCount > 0 || c.request.resumes() {
		c.logEvent(decision.EventResumed, decision.Fields{
			decision.FieldServer: attempt.Server, decision.FieldSoftwareVersion: attempt.SoftwareVersion,
			decision.FieldBegunVersion: begun, decision.FieldEvents: c.eventCount,
			decision.FieldResumedStream: c.request.ResumedStream, decision.FieldResumeAfter: c.lastEventID,
		})
	}
	if !c.bindsStream() || c.eventCount > 0 {
		return
	}
	if c.origin == nil {
		c.origin = &origin.Origin{Service: c.key.Service, Version: attempt.SoftwareVersion}
	}
	c.noteOrigin()
}

// noteOrigin notes the origin of the stream for the leader.
func (c *call) noteOrigin() {
	name := c.request.streamName()
	if name == "" {
		return
	}
	f := c.forwarder
	record := origin.Record{Stream: origin.IDOf(name), Origin: *c.origin, Expires: c.deadline + resumeGrace}
	if versions := f.view.Load().versions[c.origin.Service]; len(versions) < 2 {
		f.origins.Begin(record)
		return
	}
	if !f.origins.BeginAndWait(c.ctx, record, maxOriginHold) {
		f.originsUnconfirmed.Add(1)
	}
}

// UnconfirmedOrigins returns the number of streams that began, while several software versions
// served, before the leader knew their origin.
func (f *Forwarder) UnconfirmedOrigins() int64 { return f.originsUnconfirmed.Load() }

// newOrigins returns the client that reports origins to the leader. Without a leader to ask,
// this host is the only one and answers itself.
func (f *Forwarder) newOrigins() *origins.Client {
	ask := f.opts.AskOrigins
	if ask == nil {
		local := origins.NewServer(origins.ServerOptions{
			Term: func() (uint64, bool) { return 1, true }, Leader: func() string { return "" },
			Admitted: func() origin.Admitted { return f.view.Load().versions }, Now: f.opts.Now,
		})
		ask = func(ctx context.Context, r origin.Report, _ time.Duration) (origin.Reply, error) {
			return local.Handle(ctx, r)
		}
	}
	return origins.NewClient(origins.ClientOptions{Ask: ask, Now: f.opts.Now, HostCount: f.opts.HostCount})
}
