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
	// maxKeptBytes bounds what is kept of an answer for a rerun or a record.
	maxKeptBytes = 1 << 20
	// maxRecordBytes bounds the answers that are recorded in the log.
	maxRecordBytes = 256 << 10
	maxEventBytes  = 1 << 20
)

// terminal is the last event of a complete stream.
var terminal = []byte("data: [DONE]")

// answer is what the caller has been sent.
type answer struct {
	c     echo.Context
	now   func() time.Duration
	first time.Duration
	// started is set once a byte was sent; stream if it was an event.
	started bool
	stream  bool
	status  int
	// keep retains the answer for a rerun or a record.
	keep     bool
	events   [][]byte
	sent     int
	size     int
	overflow bool
	whole    bool
	media    string
	// join skips the comparison of a rerun; only tests set it.
	join bool
	body []byte
}

// rerunnable reports whether a new attempt can continue the answer.
func (w *answer) rerunnable() bool { return w.stream && !w.overflow }

// relay passes the answer of an attempt on to the caller. An answer to another
// attempt is dropped.
func (e *Entry) relay(q *call, w *answer, f *flight, resp *http.Response, resume bool) ending {
	id := resp.Header.Get(backend.HeaderAttempt)
	if id != "" && id != f.id && !e.opts.off.attemptCheck {
		return endCut
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return e.relayError(q, w, resp, resume)
	}
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if media == "text/event-stream" && q.key.Model != "" {
		return w.relayEvents(f, resp, e.opts.off.terminal)
	}
	switch {
	case w.started:
		return endBroken
	case media == "text/event-stream":
		w.copyHeader(resp)
		w.overflow = true
		w.begin()
		return w.copyRest(resp.Body)
	}
	return w.relayBody(resp)
}

// relayError handles the answers that may be refusals by the server.
func (e *Entry) relayError(q *call, w *answer, resp *http.Response, resume bool) ending {
	if resume || w.started {
		return endCut
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptBytes+1))
	if err != nil {
		return endCut
	}
	var refusal backend.RefusalBody
	if json.Unmarshal(body, &refusal) == nil && refusal.Error.Execution == string(NotRun) && refusal.Error.Code != "bad_request" {
		switch refusal.Error.Code {
		case backend.CodeNotAdmitted:
			e.notAdmitted(q)
		case backend.CodeWrongProcess:
			return endGone
		}
		return endNotRun
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
	return w.relayBody(resp)
}

// relayBody sends an answer that is not a stream. It begins only when the
// whole answer is read, so that a cut answer can still be rerun, unless the
// answer is too large to keep.
func (w *answer) relayBody(resp *http.Response) ending {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptBytes+1))
	if err != nil {
		return endCut
	}
	w.copyHeader(resp)
	if len(body) <= maxKeptBytes {
		w.body, w.whole = body, true
	} else {
		w.overflow = true
	}
	w.begin()
	if _, err := w.c.Response().Write(body); err != nil {
		return endCaller
	}
	if w.whole {
		return endWhole
	}
	return w.copyRest(resp.Body)
}

func (w *answer) copyHeader(resp *http.Response) {
	w.status, w.media = resp.StatusCode, resp.Header.Get("Content-Type")
	header := w.c.Response().Header()
	for name, values := range forwarded(resp.Header) {
		header[name] = values
	}
}

// copyRest sends the rest of an answer that is not kept as it arrives.
func (w *answer) copyRest(r io.Reader) ending {
	buf := make([]byte, 64<<10)
	for {
		n, err := r.Read(buf)
		if _, werr := w.c.Response().Write(buf[:n]); werr != nil {
			return endCaller
		}
		if errors.Is(err, io.EOF) {
			w.whole = true
			return endWhole
		}
		if err != nil {
			return endBroken
		}
		w.c.Response().Flush()
	}
}

func (w *answer) begin() {
	if w.started {
		return
	}
	w.started, w.first = true, w.now()
	w.c.Response().WriteHeader(w.status)
}

// relayEvents sends the events of a stream. Events that an earlier attempt has
// sent are compared instead of sent, so that the caller never gets two
// different answers joined.
func (w *answer) relayEvents(f *flight, resp *http.Response, eofIsEnd bool) ending {
	reader := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(reader)
		if err != nil && eofIsEnd {
			w.whole = true
			return endWhole
		}
		if err != nil {
			return endCut
		}
		if f.received < w.sent && !bytes.HasPrefix(event, terminal) {
			if f.received >= len(w.events) || !w.join && !sameChoices(event, w.events[f.received]) {
				return endBroken
			}
			f.received++
			continue
		}
		if f.received < w.sent {
			return endBroken
		}
		if err := w.send(resp, event); err != nil {
			return endCaller
		}
		f.received++
		if bytes.HasPrefix(event, terminal) {
			w.whole = true
			return endWhole
		}
	}
}

// send passes one event on to the caller.
func (w *answer) send(resp *http.Response, event []byte) error {
	if !w.started {
		w.status, w.media, w.stream = resp.StatusCode, "text/event-stream", true
		w.c.Response().Header().Set("Content-Type", w.media)
		w.c.Response().Header().Set("Cache-Control", "no-cache")
	}
	w.begin()
	w.sent++
	if w.size += len(event); w.size > maxKeptBytes {
		w.overflow, w.events = true, nil
	}
	if w.keep && !w.overflow {
		w.events = append(w.events, event)
	}
	if _, err := w.c.Response().Write(event); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}

// readEvent reads up to and including the blank line that ends an event.
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

// sameChoices compares two events apart from what differs between attempts.
func sameChoices(a, b []byte) bool {
	var x, y struct {
		Choices json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(bytes.TrimPrefix(a, []byte("data:")), &x) != nil || json.Unmarshal(bytes.TrimPrefix(b, []byte("data:")), &y) != nil {
		return false
	}
	return len(x.Choices) > 0 && bytes.Equal(x.Choices, y.Choices)
}

// fail ends an answer that has begun: a stream with an error event, any other
// with an aborted connection.
func (w *answer) fail(r *Refusal) error {
	if !w.stream {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(map[string]*Refusal{"error": r})
	if err != nil {
		return err
	}
	if _, err := w.c.Response().Write([]byte("event: error\ndata: " + string(data) + "\n\n")); err == nil {
		w.c.Response().Flush()
	}
	return nil
}

// outcome returns the answer for the record of a claim, or false if it is not
// whole or too large.
func (w *answer) outcome() (state.Outcome, bool) {
	body := w.body
	if w.stream {
		body = bytes.Join(w.events, nil)
	}
	if !w.whole || w.overflow || len(body) > maxRecordBytes {
		return state.Outcome{}, false
	}
	return state.Outcome{Status: w.status, Type: w.media, Body: body}, true
}

// replay sends a recorded answer.
func (w *answer) replay(o *state.Outcome) *Refusal {
	h := w.c.Response().Header()
	h.Set("X-Replayed", "true")
	if o.Type != "" {
		h.Set("Content-Type", o.Type)
	}
	w.status, w.stream = o.Status, strings.HasPrefix(o.Type, "text/event-stream")
	w.begin()
	// The record stays whatever becomes of this copy.
	_, _ = w.c.Response().Write(o.Body)
	return nil
}

// discard reads what is left of an answer, up to a small bound.
func discard(r io.Reader) { _, _ = io.Copy(io.Discard, io.LimitReader(r, 4<<10)) }
