package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/node/memory"
)

// streamBufferBytes is the size of the read buffer of one stream.
const streamBufferBytes = 4 << 10

// forwardEvents passes on the complete events of a stream as they arrive. The
// caller receives the headers of the first server that sent an event.
func (c *call) forwardEvents(ctx context.Context, attempt routing.Attempt, resp *http.Response, held *memory.Holding) attemptResult {
	counter, err := memory.NewEventCounter(held, streamBufferBytes)
	if err != nil {
		return c.interruptedStream(ctx, err)
	}
	reader := &eventReader{r: bufio.NewReaderSize(resp.Body, streamBufferBytes), counter: counter}
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			_ = held.Finish()
			return c.completeStream(resp)
		}
		if errors.Is(err, errEventTooLarge) {
			held.RecordEndless()
		}
		if err == nil {
			err = counter.BeginWrite()
		}
		if err != nil {
			if ended := held.Err(); ended != nil {
				err = ended
			}
			return c.interruptedStream(ctx, err)
		}
		// This host may have stood still since it sent the request.
		if !c.attemptBegun && !c.confirmProcess(ctx, attempt) {
			return c.unconfirmedStream()
		}
		if err := c.passOnEvent(attempt, resp, e); err != nil {
			return c.interruptedStream(ctx, err)
		}
		counter.EndWrite()
		c.recordEvent()
		if e.id != "" {
			c.lastEventID = e.id
		}
	}
}

// passOnEvent sends an event to the caller.
func (c *call) passOnEvent(attempt routing.Attempt, resp *http.Response, e event) error {
	if !c.attemptBegun {
		c.prepareFirstEvent(attempt)
	}
	c.sendHeaders(resp)
	if _, err := c.w.Write(e.bytes); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// recordEvent updates the count and times of the events passed on.
func (c *call) recordEvent() {
	c.recordBegun()
	now := c.forwarder.opts.Now()
	if c.eventCount == 0 {
		c.firstOutputAt = now
	} else {
		c.longestPause = max(c.longestPause, now-c.lastEventAt)
	}
	c.eventCount++
	c.lastEventAt = now
}

// sendHeaders passes on the headers of a stream, unless they were already sent.
func (c *call) sendHeaders(resp *http.Response) {
	if c.headersSent {
		return
	}
	c.headersSent = true
	c.copyHeaders(resp.Header)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(resp.StatusCode)
}

// completeStream returns the result of a stream that ended. A stream without a
// length that ends when its connection is closed counts as complete, because a
// server that fails resets the connection.
func (c *call) completeStream(resp *http.Response) attemptResult {
	c.sendHeaders(resp)
	return attemptResult{outcome: exchange.Complete, reason: "answered"}
}

// unconfirmedStream returns the result of a stream whose first event is not passed on, because
// the server does not confirm which process it is.
func (c *call) unconfirmedStream() attemptResult {
	out := lostAnswer(unconfirmedReason)
	if c.headersSent {
		out.outcome = exchange.Cut
	}
	return out
}

// interruptedStream returns the result of a stream that failed before its end.
func (c *call) interruptedStream(ctx context.Context, err error) attemptResult {
	out := attemptResult{outcome: exchange.Lost, reason: "stream interrupted: " + errorReason(err), connectionBroken: ctx.Err() == nil}
	if c.headersSent {
		out.outcome = exchange.Cut
	}
	return out
}
