package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/pollenwheel/pollenwheel/core/exchange"
)

// streamBuffer is the size of the reader of one stream.
const streamBuffer = 4 << 10

// passEvents passes on the whole events of a stream as they arrive. The headers
// are those of the first server that sent an event.
func (c *call) passEvents(ctx context.Context, resp *http.Response) result {
	reader := &eventReader{r: bufio.NewReaderSize(resp.Body, streamBuffer)}
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return c.streamEnd(resp)
		}
		if err != nil {
			return c.streamCut(ctx, err)
		}
		c.begin(resp)
		if _, err := c.w.Write(e.bytes); err != nil {
			return c.streamCut(ctx, err)
		}
		if err := http.NewResponseController(c.w).Flush(); err != nil {
			return c.streamCut(ctx, err)
		}
		c.passed()
		if e.id != "" {
			c.lastID = e.id
		}
	}
}

// passed keeps the times of the events.
func (c *call) passed() {
	now := c.gate.opts.Now()
	if c.events == 0 {
		c.firstAt = now
	} else {
		c.pause = max(c.pause, now-c.eventAt)
	}
	c.events++
	c.eventAt = now
}

// begin passes on the headers of a stream once.
func (c *call) begin(resp *http.Response) {
	if c.begun {
		return
	}
	c.begun = true
	c.copyHeaders(resp.Header)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(resp.StatusCode)
}

// streamEnd handles the end of a stream. A stream without length that ends with
// its connection is taken as complete, since a server that fails resets it.
func (c *call) streamEnd(resp *http.Response) result {
	c.begin(resp)
	return result{outcome: exchange.Complete, reason: "answered"}
}

// streamCut handles a stream that broke off.
func (c *call) streamCut(ctx context.Context, err error) result {
	out := result{outcome: exchange.Lost, reason: "the stream broke off: " + reason(err), broken: ctx.Err() == nil}
	if c.begun {
		out.outcome = exchange.Cut
	}
	return out
}
