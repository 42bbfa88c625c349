package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/pollenwheel/pollenwheel/node/memory"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("forward: stream event exceeds 1 MiB")

// event is one event of a stream, including the empty line that ends it.
type event struct {
	id    string
	bytes []byte
}

// eventReader splits a stream into complete events.
type eventReader struct {
	r *bufio.Reader
	// counter counts the bytes of the event that is read.
	counter *memory.EventCounter
}

// next returns the next complete event, or io.EOF at the end of the stream. If the
// stream ends within an event, it discards the partial event and returns
// io.ErrUnexpectedEOF.
func (e *eventReader) next() (event, error) {
	var out event
	for {
		line, err := e.r.ReadSlice('\n')
		if len(out.bytes)+len(line) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		if heldErr := e.counter.Reach(len(out.bytes) + len(line)); heldErr != nil {
			return event{}, heldErr
		}
		out.bytes = append(out.bytes, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(out.bytes) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(bytes.TrimSpace(out.bytes)) > 0 {
			return out, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			out.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}
