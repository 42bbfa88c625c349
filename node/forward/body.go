package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

// readBody reads the request body within the limits on size and time. It refuses a
// body that exceeds them and returns false.
func (c *call) readBody(l route.Limits) bool {
	limit := l.BodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	if c.inbound.ContentLength > limit {
		return c.refuseBody(http.StatusRequestEntityTooLarge, 0, "request body exceeds the size limit")
	}
	// A caller that sends its body slowly, or never ends it, is not waited for longer
	// than for its answer. Errors mean that the connection has no deadlines.
	controller := http.NewResponseController(c.w)
	if c.inbound.ContentLength != 0 {
		_ = controller.SetReadDeadline(time.Now().Add(c.deadline - c.arrivedAt))
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.inbound.Body, limit))
	var tooLarge *http.MaxBytesError
	var noMemory *memory.RequestsError
	switch {
	case errors.As(err, &tooLarge):
		return c.refuseBody(http.StatusRequestEntityTooLarge, 0, "request body exceeds the size limit")
	case errors.As(err, &noMemory):
		return c.refuseBody(http.StatusServiceUnavailable, unavailableRetryAfter, noMemory.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuseBody(http.StatusRequestTimeout, 0, "request body was not complete at the deadline")
	case err != nil:
		c.logEvent(decision.EventCallerLeft, decision.Fields{decision.FieldReason: "request body interrupted: " + errorReason(err)})
		panic(http.ErrAbortHandler)
	}
	_ = controller.SetReadDeadline(time.Time{})
	c.body, c.bodyRead = body, true
	return true
}

const (
	// maxSkippedBytes is the size up to which the body of a refused request is read, so that the
	// connection can be used again, and skipTimeout bounds the time for the rest of any body.
	maxSkippedBytes = 16 << 10
	skipTimeout     = time.Second
)

// skipBody prepares the answer to a request whose body has not been read. The server would
// otherwise wait for the body before it answers.
func (c *call) skipBody() {
	length := c.inbound.ContentLength
	if c.bodyRead || length == 0 {
		return
	}
	if length < 0 || length > maxSkippedBytes {
		c.w.Header().Set("Connection", "close")
	}
	// The server also reads a part of the body before it closes the connection. Without deadlines,
	// the caller's own time-out ends that.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(skipTimeout))
}

// refuseBody refuses a request whose body was not read completely, and closes its
// connection.
func (c *call) refuseBody(status int, retryAfter time.Duration, reason string) bool {
	c.w.Header().Set("Connection", "close")
	return c.refuse(status, retryAfter, reason)
}
