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
	"github.com/pollenwheel/pollenwheel/node/memory"
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
	// retain keeps the sent events for a new attempt or for the record of a claim. retained
	// holds them, unless the account has dropped them.
	retain     bool
	memory     *memory.Account
	retained   *memory.Holding
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
	// whole holds the body of a complete answer that is not a stream.
	whole *memory.Holding
}

// continuable reports whether a new attempt can continue the answer.
func (ans *answer) continuable() bool { return ans.stream && !ans.notRetained && !ans.dropped() }

// dropped reports whether the account has dropped the retained events.
func (ans *answer) dropped() bool { return ans.retained != nil && ans.retained.Err() != nil }

// release drops what is held of the answer.
func (ans *answer) release() {
	ans.whole.Release()
	ans.retained.Release()
}

// relay forwards the answer of an attempt to the caller. If the answer carries the
// ID of another attempt, nothing is forwarded and the attempt counts as interrupted. held
// counts what is held of the answer, which the account may end.
func (e *Entry) relay(req *request, ans *answer, attempt *serverAttempt, resp *http.Response, held *memory.Holding, resume bool) ending {
	id := resp.Header.Get(backend.HeaderAttemptID)
	if id != "" && id != attempt.id && !e.opts.disabled.attemptCheck {
		return endInterrupted
	}
	if !backend.IsFinalStatus(resp.StatusCode) {
		return endInterrupted
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return e.relayError(req, ans, resp, held, resume)
	}
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if media == "text/event-stream" && req.key.Model != "" {
		return ans.relayEvents(attempt, resp, held, e.opts.disabled.terminalCheck)
	}
	switch {
	case ans.started:
		return endPartial
	case media == "text/event-stream":
		ans.copyHeader(resp)
		ans.notRetained = true
		ans.writeStatus()
		return ans.copyRest(resp.Body, held)
	}
	return ans.relayBody(resp, held, held.ReadAll(resp.Body, maxRetainedBytes))
}

// relayError handles answers with an error status, which may be refusals by the server.
func (e *Entry) relayError(req *request, ans *answer, resp *http.Response, held *memory.Holding, resume bool) ending {
	if resume || ans.started {
		return endInterrupted
	}
	readErr := held.ReadAll(resp.Body, maxRetainedBytes)
	var refusal backend.RefusalBody
	if readErr == nil && json.Unmarshal(bytes.Join(held.Parts(), nil), &refusal) == nil && refusal.Error.Execution == string(ExecutionNotRun) && refusal.Error.Code != "bad_request" {
		switch refusal.Error.Code {
		case backend.CodeNotAdmitted:
			e.recordNotAdmitted(req)
		case backend.CodeWrongIncarnation:
			return endProcessEnded
		}
		return endNotRun
	}
	return ans.relayBody(resp, held, readErr)
}

// relayBody sends an answer that is not a stream and was read with the result readErr. The
// complete answer is read before anything is sent, so that the request can still be retried
// if the connection breaks. Only an answer that is too large to keep is sent earlier.
func (ans *answer) relayBody(resp *http.Response, held *memory.Holding, readErr error) ending {
	var tooLarge *memory.TooLargeError
	partial := errors.As(readErr, &tooLarge)
	switch {
	case readErr != nil && !partial:
		return endInterrupted
	case partial && held.Pin() != nil, !partial && held.Finish() != nil:
		return endInterrupted
	}
	ans.notRetained = partial
	ans.copyHeader(resp)
	ans.writeStatus()
	for _, part := range held.Parts() {
		if _, err := ans.echoCtx.Response().Write(part); err != nil {
			return endContextDone
		}
	}
	if !partial {
		ans.whole, ans.complete = held, true
		return endComplete
	}
	held.Clear()
	held.Unpin()
	return ans.copyRest(resp.Body, held)
}

// copyHeader takes over the status and the forwarded headers of an answer.
func (ans *answer) copyHeader(resp *http.Response) {
	ans.status, ans.mediaType = resp.StatusCode, resp.Header.Get("Content-Type")
	header := ans.echoCtx.Response().Header()
	for name, values := range forwardedHeaders(resp.Header) {
		header[name] = values
	}
}

// copyBufferBytes is the size of the buffer of an answer that is sent as it arrives.
const copyBufferBytes = 64 << 10

// copyRest sends the rest of an answer as it arrives, without keeping it.
func (ans *answer) copyRest(r io.Reader, held *memory.Holding) ending {
	if held.Grow(copyBufferBytes) != nil {
		return endPartial
	}
	buf := make([]byte, copyBufferBytes)
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
func (ans *answer) relayEvents(attempt *serverAttempt, resp *http.Response, held *memory.Holding, eofIsEnd bool) ending {
	counter, err := memory.NewEventCounter(held, streamBufferBytes)
	if err != nil {
		return endInterrupted
	}
	reader := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	for {
		event, err := readEvent(reader, counter)
		attempt.lastProgress.Store(int64(ans.clock()))
		if err != nil && eofIsEnd {
			ans.complete = true
			return endComplete
		}
		if errors.Is(err, bufio.ErrTooLong) {
			held.RecordEndless()
			return endOversized
		}
		if err != nil || counter.BeginWrite() != nil {
			return endInterrupted
		}
		attempt.recordBegin()
		if end, ended := ans.takeEvent(attempt, resp, event); ended {
			if end == endComplete {
				_ = held.Finish()
			}
			return end
		}
		counter.EndWrite()
	}
}

// takeEvent sends an event, or compares it with the one that was sent in its place. It
// reports whether the attempt has ended, and how.
func (ans *answer) takeEvent(attempt *serverAttempt, resp *http.Response, event []byte) (end ending, ended bool) {
	terminal := bytes.HasPrefix(event, terminalEvent)
	if attempt.receivedEvents < ans.sentEvents {
		events := ans.retained.Parts()
		if terminal || attempt.receivedEvents >= len(events) || !ans.skipComparison && !sameChoices(event, events[attempt.receivedEvents]) {
			return endPartial, true
		}
		attempt.receivedEvents++
		return 0, false
	}
	if err := ans.sendEvent(resp, event); err != nil {
		return endContextDone, true
	}
	attempt.receivedEvents++
	ans.complete = terminal
	return endComplete, terminal
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
	ans.retainEvent(event)
	if _, err := ans.echoCtx.Response().Write(event); err != nil {
		return err
	}
	ans.echoCtx.Response().Flush()
	return nil
}

// retainEvent keeps an event that is sent, unless the events are too large to be kept.
func (ans *answer) retainEvent(event []byte) {
	if ans.eventBytes += len(event); ans.eventBytes > maxRetainedBytes {
		ans.dropEvents()
	}
	if !ans.retain || ans.notRetained {
		return
	}
	if ans.retained == nil {
		ans.retained = ans.memory.HoldRetained()
	}
	if ans.retained.Append(event) != nil {
		ans.dropEvents()
	}
}

// dropEvents records that the events are not kept.
func (ans *answer) dropEvents() {
	ans.notRetained = true
	ans.retained.Release()
	ans.retained = nil
}

// streamBufferBytes is the size of the read buffer of one stream.
const streamBufferBytes = 4 << 10

// readEvent reads one event, including the blank line that ends it.
func readEvent(r *bufio.Reader, counter *memory.EventCounter) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(event)+len(line) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if heldErr := counter.Reach(len(event) + len(line)); heldErr != nil {
			return nil, heldErr
		}
		event = append(event, line...)
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
	held := ans.whole
	if ans.stream {
		held = ans.retained
	}
	if !ans.complete || ans.notRetained || ans.dropped() || held.Size() > maxRecordedBytes {
		return state.Outcome{}, false
	}
	return state.Outcome{Status: ans.status, Type: ans.mediaType, Body: bytes.Join(held.Parts(), nil)}, true
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
