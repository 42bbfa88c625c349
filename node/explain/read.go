// Package explain joins the decision logs of several processes. It reports on one
// request, and lists the state changes over a period: the changes of the processes'
// view of the cluster.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/node/decision"
)

// maxLineBytes is the maximum size of one line. Longer lines count as damaged.
const maxLineBytes = 1 << 20

// Line is one line of a decision log.
type Line struct {
	At    time.Time `json:"time"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
	// Fields holds all other fields of the line, without those that the logger adds
	// to every line.
	Fields map[string]any `json:"fields"`
}

// text returns a field as text, or an empty string if it is absent.
func (l Line) text(field string) string {
	v, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// duration returns a field that holds milliseconds, or zero if it is absent.
func (l Line) duration(field string) time.Duration {
	ms, _ := l.Fields[field].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// DamagedLineError reports a line that cannot be read.
type DamagedLineError struct {
	File string
	Line int
	Err  error
}

func (e *DamagedLineError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the underlying error.
func (e *DamagedLineError) Unwrap() error { return e.Err }

var (
	errNoObject = errors.New("the line holds no JSON object")
	errNoTime   = errors.New("the line holds no time")
	errTooLong  = fmt.Errorf("the line is longer than %d bytes", maxLineBytes)
)

// Read returns the decisions in a log and the lines that could not be parsed. Text
// before the JSON object, as added by log collectors, is ignored. Lines without an
// event are not decisions and are skipped.
func Read(r io.Reader, file string) ([]Line, []*DamagedLineError, error) {
	var out []Line
	var damaged []*DamagedLineError
	in := bufio.NewReaderSize(r, maxLineBytes)
	for number := 1; ; number++ {
		data, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			damaged = append(damaged, &DamagedLineError{file, number, errTooLong})
			if err = skipLine(in); err == nil {
				continue
			}
			data = nil
		}
		if data = bytes.TrimSpace(data); len(data) > 0 {
			l, ok, parseErr := parseLine(data)
			if parseErr != nil {
				damaged = append(damaged, &DamagedLineError{file, number, parseErr})
			}
			if ok {
				out = append(out, l)
			}
		}
		if errors.Is(err, io.EOF) {
			return out, damaged, nil
		}
		if err != nil {
			return out, damaged, fmt.Errorf("explain: read %s: %w", file, err)
		}
	}
}

// skipLine discards the rest of a line.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// parseLine parses one line. It returns false without an error if the line has no
// event and is therefore not a decision.
func parseLine(data []byte) (Line, bool, error) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false, errNoObject
	}
	fields := map[string]any{}
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return Line{}, false, err
	}
	l := Line{Fields: fields}
	l.Event, l.Host = l.text(decision.FieldEvent), l.text("host")
	if l.Event == "" {
		return Line{}, false, nil
	}
	at, err := time.Parse(time.RFC3339Nano, l.text("time"))
	if err != nil {
		return Line{}, false, errNoTime
	}
	l.At = at
	for _, name := range []string{decision.FieldEvent, "host", "time", "level", "msg", "data_centre"} {
		delete(fields, name)
	}
	return l, true, nil
}

// Sort sorts the lines of several logs by time, then by host.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
}
