package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

var errEventSize = errors.New("forward: an event is larger than 1 MiB")

// event is one event of a stream with the empty line that ends it.
type event struct {
	id    string
	bytes []byte
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r *bufio.Reader
}

// next returns the next whole event, or io.EOF at the end of the stream. A
// stream that ends within an event returns io.ErrUnexpectedEOF, and the part of
// the event is dropped.
func (e *eventReader) next() (event, error) {
	var out event
	for {
		line, err := e.r.ReadSlice('\n')
		out.bytes = append(out.bytes, line...)
		if len(out.bytes) > maxEvent {
			return event{}, errEventSize
		}
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
