package forward

import (
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// resumes reports whether the caller resumes a stream that an earlier request of it began.
func (r Request) resumes() bool { return r.ResumeAfter != "" || r.ResumedStream != "" }

// recordFirstEvent records the first event of an attempt on a stream, and logs it if
// another attempt or another request began the stream.
func (c *call) recordFirstEvent(attempt routing.Attempt) {
	if c.eventCount > 0 || c.request.resumes() {
		c.logEvent(decision.EventResumed, decision.Fields{
			decision.FieldServer: attempt.Server, decision.FieldSoftwareVersion: attempt.SoftwareVersion,
			decision.FieldBegunVersion: c.begunVersion, decision.FieldEvents: c.eventCount,
			decision.FieldResumedStream: c.request.ResumedStream, decision.FieldResumeAfter: c.lastEventID,
		})
		return
	}
	c.begunVersion = attempt.SoftwareVersion
}
