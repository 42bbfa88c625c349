package memory

import (
	"errors"
	"fmt"
	"io"
)

// EndedError reports that the account ended an unfinished answer, because the bytes held
// exceeded the limit.
type EndedError struct {
	Server string
	// Bytes is what the answer held, and Limit that of the account.
	Bytes, Limit int64
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("answer ended after %d bytes, because bodies and answers in memory exceed %d bytes", e.Bytes, e.Limit)
}

// RequestsError reports that the body of a request cannot be held.
type RequestsError struct {
	// Limit is the maximum number of bytes of all bodies of requests.
	Limit int64
}

func (e *RequestsError) Error() string {
	return fmt.Sprintf("request bodies in memory exceed their limit of %d bytes", e.Limit)
}

// TooLargeError reports that a body is larger than its reader allows.
type TooLargeError struct {
	// Limit is the maximum size in bytes.
	Limit int
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

var errReleased = errors.New("memory: the holding is released")

// Holding counts the bytes held of one request or answer. All methods are safe for
// concurrent use with the account; the owner calls them from one goroutine.
type Holding struct {
	account   *Account
	request   bool
	retained  bool
	server    *server
	interrupt func(cause error)
	serial    uint64

	// The fields below are guarded by the account's lock. bytes is what the holding
	// counts, which includes the capacity of parts.
	bytes    int64
	parts    [][]byte
	err      error
	released bool
	// delivering is set while a complete answer is written to its caller.
	delivering bool
}

// Grow counts n more bytes. For an answer the error is an *EndedError if the account has
// ended it, and for a request a *RequestsError if its body cannot be held.
func (h *Holding) Grow(n int) error {
	ended, err := h.grow(int64(n))
	h.account.interrupt(ended)
	return err
}

// grow returns the answers that the account has ended for the further bytes.
func (h *Holding) grow(n int64) ([]*Holding, error) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case h.err != nil:
		return nil, h.err
	case h.released:
		return nil, errReleased
	}
	var ended []*Holding
	if h.request && !a.hasRoom(h, n) {
		if ended = a.endIncoming(h, n); !a.hasRoom(h, n) {
			return ended, &RequestsError{Limit: a.limit / requestDivisor}
		}
	}
	h.add(n)
	ended = append(ended, a.relieve()...)
	if h.err != nil {
		return ended, h.err
	}
	return ended, nil
}

// add changes the counts. The account's lock must be held.
func (h *Holding) add(n int64) {
	a := h.account
	h.bytes += n
	a.held += n
	if h.request {
		a.requests += n
		return
	}
	if h.delivering {
		a.delivered += n
	}
	if _, ok := h.server.answers[h]; ok {
		h.server.bytes += n
		a.unfinished += n
	}
}

// Shrink counts n fewer bytes.
func (h *Holding) Shrink(n int) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.err == nil && !h.released {
		h.add(-int64(n))
	}
}

// Err returns the error with which the account has ended the request or the answer: a
// *RequestsError or an *EndedError. It returns nil otherwise.
func (h *Holding) Err() error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.err
}

// Pin prevents the account from ending the answer while its bytes are in use, for example
// while they are written to a caller. The error is an *EndedError if it has already ended
// the answer.
func (h *Holding) Pin() error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.err != nil {
		return h.err
	}
	if h.request {
		delete(a.incoming, h)
	} else if !h.released {
		a.removeAnswer(h)
	}
	return nil
}

// Unpin reverses Pin.
func (h *Holding) Unpin() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.err == nil && !h.request && !h.released {
		a.addAnswer(h)
	}
}

// Finish records that the request or the answer is complete, which is Pin for good. The error is
// that of Err if the account has already ended it.
func (h *Holding) Finish() error {
	if err := h.Pin(); err != nil {
		return err
	}
	h.recordEndless(false)
	return nil
}

// RecordEndless records that the answer was ended by its owner, because it is larger than
// any answer may be.
func (h *Holding) RecordEndless() { h.recordEndless(true) }

func (h *Holding) recordEndless(endless bool) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.request {
		return
	}
	s := a.serverFor(h.server.name)
	s.endless = endless
	a.forgetIdle(s)
}

// Clear drops the bytes of the holding, which can grow again.
func (h *Holding) Clear() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.err == nil && !h.released {
		h.add(-h.bytes)
		h.parts = nil
	}
}

// Release drops the bytes of the holding. It may be called more than once.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	delete(a.incoming, h)
	if h.err != nil {
		return
	}
	if h.server != nil {
		a.removeAnswer(h)
	}
	a.removeDelivery(h)
	h.add(-h.bytes)
	h.parts = nil
}

const (
	// firstPartBytes and maxPartBytes are the sizes of the first part and of the largest
	// parts of a body. Each part is twice as large as the one before it.
	firstPartBytes = 512
	maxPartBytes   = 64 << 10
)

// ReadAll reads a body into parts until its end. The error is that of r, an *EndedError,
// or a *TooLargeError if the body has more than limit bytes; then the parts hold at most
// limit and maxPartBytes bytes, which is what was read.
func (h *Holding) ReadAll(r io.Reader, limit int) error {
	total := 0
	for size := firstPartBytes; ; size = min(2*size, maxPartBytes) {
		if err := h.Grow(size); err != nil {
			return err
		}
		part := make([]byte, size)
		n, err := readPart(r, part)
		if keepErr := h.keep(part[:n]); keepErr != nil {
			return keepErr
		}
		total += n
		switch {
		case total > limit:
			return &TooLargeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readPart reads until the part is full or the reader returns an error. Unlike io.ReadFull
// it returns the reader's own error.
func readPart(r io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var more int
		more, err = r.Read(part[n:])
		n += more
	}
	return n, err
}

// keep adds a part that Grow has counted.
func (h *Holding) keep(part []byte) error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.err != nil {
		return h.err
	}
	if len(part) > 0 {
		h.parts = append(h.parts, part)
	}
	return nil
}

// Append counts and keeps a part. The error is that of Grow.
func (h *Holding) Append(part []byte) error {
	if err := h.Grow(cap(part)); err != nil {
		return err
	}
	return h.keep(part)
}

// Parts returns the parts that are held, which are none once the account has ended the
// answer.
func (h *Holding) Parts() [][]byte {
	if h == nil {
		return nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.parts
}

// Size returns the number of bytes of the parts.
func (h *Holding) Size() int {
	n := 0
	for _, part := range h.Parts() {
		n += len(part)
	}
	return n
}

// EventCounter counts the bytes of the events of one stream, of which only one is held at a
// time. What fits into the buffer of the stream is counted once for all events, so that
// short events cost nothing.
type EventCounter struct {
	held            *Holding
	buffer, counted int
}

// NewEventCounter returns a counter of the events of a stream with a buffer of the given
// size. The error is that of Grow.
func NewEventCounter(h *Holding, bufferBytes int) (*EventCounter, error) {
	return &EventCounter{held: h, buffer: bufferBytes, counted: bufferBytes}, h.Grow(bufferBytes)
}

// Reach counts that the current event has n bytes so far. The error is that of Grow.
func (c *EventCounter) Reach(n int) error {
	if n <= c.counted {
		return nil
	}
	step := max(n, 2*c.counted) - c.counted
	if err := c.held.Grow(step); err != nil {
		return err
	}
	c.counted += step
	return nil
}

// BeginWrite must be called before the current event is written to the caller, and EndWrite
// after that. The error is that of Pin.
func (c *EventCounter) BeginWrite() error {
	if c.counted == c.buffer {
		return nil
	}
	return c.held.Pin()
}

// EndWrite records that the current event is no longer held.
func (c *EventCounter) EndWrite() {
	if c.counted == c.buffer {
		return
	}
	c.held.Shrink(c.counted - c.buffer)
	c.held.Unpin()
	c.counted = c.buffer
}
