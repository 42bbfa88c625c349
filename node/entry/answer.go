package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

const (
	// maxRetainedBytes limits the part of an answer that is kept in memory for a
	// new attempt or for the record of a claim.
	maxRetainedBytes = 1 << 20
	// maxRecordedBytes limits the size of an answer that is recorded in the log.
	maxRecordedBytes = 256 << 10
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// terminalEvent is the prefix of the last event of a complete stream.
var terminalEvent = []byte("data: [DONE]")

// answer is the response to the caller and the part of it that has been sent.
type answer struct {
	echoCtx     echo.Context
	clock       func() time.Duration
	firstByteAt time.Duration
	// started is set once the status line has been sent.
	started bool
	// stream is set if the answer is an event stream of a model. Event streams of plain
	// services are copied without it.
	stream bool
	status int
	// retain keeps the sent events for a new attempt or for the record of a claim.
	retain     bool
	events     [][]byte
	sentEvents int
	eventBytes int
	// notRetained is set if the answer is too large or not of a kind that is kept. It
	// can then be neither continued by a new attempt nor recorded.
	notRetained bool
	complete    bool
	mediaType   string
	// skipComparison disables the comparison of a new attempt's events with the
	// events already sent. Only tests set it.
	skipComparison bool
	body           []byte
}

// continuable reports whether a new attempt can continue the answer.
func (ans *answer) continuable() bool { return ans.stream && !ans.notRetained }

// relay forwards the answer of an attempt to the caller. If the answer carries the
// ID of another attempt, nothing is forwarded and the attempt counts as interrupted.
func (e *Entry) relay(req *request, ans *answer, attempt *serverAttempt, resp *http.Response, resume bool) ending {
	id := resp.Header.Get(backend.HeaderAttemptID)
	if id != "" && id != attempt.id && !e.opts.disabled.attemptCheck {
		return endInterrupted
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return e.relayError(req, ans, resp, resume)
	}
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if media == "text/event-stream" && req.key.Model != "" {
		return ans.relayEvents(attempt, resp, e.opts.disabled.terminalCheck)
	}
	switch {
	case ans.started:
		return endPartial
	case media == "text/event-stream":
		ans.copyHeader(resp)
		ans.notRetained = true
		ans.writeStatus()
		return ans.copyRest(resp.Body)
	}
	return ans.relayBody(resp)
}

// relayError handles answers with an error status, which may be refusals by the server.
func (e *Entry) relayError(req *request, ans *answer, resp *http.Response, resume bool) ending {
	if resume || ans.started {
		return endInterrupted
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRetainedBytes+1))
	if err != nil {
		return endInterrupted
	}
	var refusal backend.RefusalBody
	if json.Unmarshal(body, &refusal) == nil && refusal.Error.Execution == string(ExecutionNotRun) && refusal.Error.Code != "bad_request" {
		switch refusal.Error.Code {
		case backend.CodeNotAdmitted:
			e.recordNotAdmitted(req)
		case backend.CodeWrongIncarnation:
			return endProcessEnded
		}
		return endNotRun
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
	return ans.relayBody(resp)
}

// relayBody sends an answer that is not a stream. It reads the complete answer
// before it sends anything, so that the request can still be retried if the
// connection breaks. Only an answer that is too large to keep is sent earlier.
func (ans *answer) relayBody(resp *http.Response) ending {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRetainedBytes+1))
	if err != nil {
		return endInterrupted
	}
	ans.copyHeader(resp)
	if len(body) <= maxRetainedBytes {
		ans.body, ans.complete = body, true
	} else {
		ans.notRetained = true
	}
	ans.writeStatus()
	if _, err := ans.echoCtx.Response().Write(body); err != nil {
		return endContextDone
	}
	if ans.complete {
		return endComplete
	}
	return ans.copyRest(resp.Body)
}

// copyHeader takes over the status and the forwarded headers of an answer.
func (ans *answer) copyHeader(resp *http.Response) {
	ans.status, ans.mediaType = resp.StatusCode, resp.Header.Get("Content-Type")
	header := ans.echoCtx.Response().Header()
	for name, values := range forwardedHeaders(resp.Header) {
		header[name] = values
	}
}

// copyRest sends the rest of an answer as it arrives, without keeping it.
func (ans *answer) copyRest(r io.Reader) ending {
	buf := make([]byte, 64<<10)
	for {
		n, err := r.Read(buf)
		if _, werr := ans.echoCtx.Response().Write(buf[:n]); werr != nil {
			return endContextDone
		}
		if errors.Is(err, io.EOF) {
			ans.complete = true
			return endComplete
		}
		if err != nil {
			return endPartial
		}
		ans.echoCtx.Response().Flush()
	}
}

func (ans *answer) writeStatus() {
	if ans.started {
		return
	}
	ans.started, ans.firstByteAt = true, ans.clock()
	ans.echoCtx.Response().WriteHeader(ans.status)
}

// relayEvents sends the events of a stream. Events that an earlier attempt has already
// sent are compared instead of sent again, so that the caller never gets the beginning
// of one answer and the end of a different one. If eofIsEnd is set, a stream also counts
// as complete when it ends without its terminal event; only tests set it.
func (ans *answer) relayEvents(attempt *serverAttempt, resp *http.Response, eofIsEnd bool) ending {
	reader := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(reader)
		attempt.lastProgress.Store(int64(ans.clock()))
		if err != nil && eofIsEnd {
			ans.complete = true
			return endComplete
		}
		if err != nil {
			return endInterrupted
		}
		attempt.recordBegin()
		if attempt.receivedEvents < ans.sentEvents && !bytes.HasPrefix(event, terminalEvent) {
			if attempt.receivedEvents >= len(ans.events) || !ans.skipComparison && !sameChoices(event, ans.events[attempt.receivedEvents]) {
				return endPartial
			}
			attempt.receivedEvents++
			continue
		}
		if attempt.receivedEvents < ans.sentEvents {
			return endPartial
		}
		if err := ans.sendEvent(resp, event); err != nil {
			return endContextDone
		}
		attempt.receivedEvents++
		if bytes.HasPrefix(event, terminalEvent) {
			ans.complete = true
			return endComplete
		}
	}
}

// sendEvent sends one event to the caller.
func (ans *answer) sendEvent(resp *http.Response, event []byte) error {
	if !ans.started {
		ans.status, ans.mediaType, ans.stream = resp.StatusCode, "text/event-stream", true
		ans.echoCtx.Response().Header().Set("Content-Type", ans.mediaType)
		ans.echoCtx.Response().Header().Set("Cache-Control", "no-cache")
	}
	ans.writeStatus()
	ans.sentEvents++
	if ans.eventBytes += len(event); ans.eventBytes > maxRetainedBytes {
		ans.notRetained, ans.events = true, nil
	}
	if ans.retain && !ans.notRetained {
		ans.events = append(ans.events, event)
	}
	if _, err := ans.echoCtx.Response().Write(event); err != nil {
		return err
	}
	ans.echoCtx.Response().Flush()
	return nil
}

// readEvent reads one event, including the blank line that ends it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(event) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
		if err == nil && len(event) == len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 {
			event = event[:0]
		}
	}
}

// sameChoices reports whether two events have the same choices. Other fields may
// differ between attempts.
func sameChoices(a, b []byte) bool {
	var x, y struct {
		Choices json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(bytes.TrimPrefix(a, []byte("data:")), &x) != nil || json.Unmarshal(bytes.TrimPrefix(b, []byte("data:")), &y) != nil {
		return false
	}
	return len(x.Choices) > 0 && bytes.Equal(x.Choices, y.Choices)
}

// endWithError ends an answer that has already started. It sends an error event in a
// stream and aborts the connection of any other answer.
func (ans *answer) endWithError(r *Refusal) error {
	if !ans.stream {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(map[string]*Refusal{"error": r})
	if err != nil {
		return err
	}
	if _, err := ans.echoCtx.Response().Write([]byte("event: error\ndata: " + string(data) + "\n\n")); err == nil {
		ans.echoCtx.Response().Flush()
	}
	return nil
}

// recordableOutcome returns the answer for the record of a claim, or false if the answer
// is incomplete or too large.
func (ans *answer) recordableOutcome() (state.Outcome, bool) {
	body := ans.body
	if ans.stream {
		body = bytes.Join(ans.events, nil)
	}
	if !ans.complete || ans.notRetained || len(body) > maxRecordedBytes {
		return state.Outcome{}, false
	}
	return state.Outcome{Status: ans.status, Type: ans.mediaType, Body: body}, true
}

// replay sends the recorded answer of an earlier request with the same idempotency key.
func (ans *answer) replay(o *state.Outcome) *Refusal {
	h := ans.echoCtx.Response().Header()
	h.Set("X-Replayed", "true")
	if o.Type != "" {
		h.Set("Content-Type", o.Type)
	}
	ans.status, ans.stream = o.Status, strings.HasPrefix(o.Type, "text/event-stream")
	ans.writeStatus()
	// A failed write is ignored, because the answer stays recorded and can be
	// replayed again.
	_, _ = ans.echoCtx.Response().Write(o.Body)
	return nil
}

// discardRest reads up to 4 KiB of what is left of an answer.
func discardRest(r io.Reader) { _, _ = io.Copy(io.Discard, io.LimitReader(r, 4<<10)) }
