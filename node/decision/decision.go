// Package decision writes one structured line for each decision that touches a
// request or changes what a process believes. It owns the names of the fields.
// Lines wait in a bounded ring, so that a stalled output stops nothing.
package decision

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields of a line. Their meaning is stable.
const (
	FieldEvent   = "event"
	FieldRequest = "request"
	FieldRoute   = "route"
	FieldService = "service"
	FieldModel   = "model"
	FieldAdapter = "adapter"
	FieldServer  = "server"
	FieldReason  = "reason"
	FieldOutcome = "outcome"
	FieldAction  = "action"
	FieldStatus  = "status"
	FieldEvents  = "events"
	FieldAttempt = "attempt"
	FieldLeftMS  = "left_ms"
	FieldTookMS  = "took_ms"
	FieldFirstMS = "first_ms"
	FieldPauseMS = "pause_ms"
	FieldWaitMS  = "wait_ms"
	FieldVersion = "version"
	FieldFence   = "fence"
	FieldOrder   = "order"
	FieldDropped = "dropped"
	// FieldReturnMS is when a refused caller was told to come back.
	FieldReturnMS = "return_ms"
	// FieldExpectedMS is the time that a load was predicted to take.
	FieldExpectedMS = "expected_ms"
	// The following explain an order for a model: the model it is for, where the
	// server has the weights, what was weighed, and the demand.
	FieldFor     = "for"
	FieldSource  = "source"
	FieldGain    = "gain"
	FieldLoss    = "loss"
	FieldCopies  = "copies"
	FieldWaiting = "waiting"
)

// Events of a request. EventAnswered is sampled; the others are always kept.
const (
	EventAttempt  = "attempt"
	EventAnswered = "answered"
	EventLate     = "late"
	EventRefused  = "refused"
	EventFailed   = "failed"
	EventAborted  = "aborted"
	EventLeft     = "caller_left"
)

// RequestEvents are all events of a request.
var RequestEvents = []string{EventAttempt, EventAnswered, EventLate, EventRefused, EventFailed, EventAborted, EventLeft}

// Events of what a process believes.
const (
	EventTable    = "table"
	EventServer   = "server"
	EventSuspect  = "suspect"
	EventOrder    = "order"
	EventReport   = "report"
	EventLoaded   = "loaded"
	EventLeading  = "leading"
	EventAnnounce = "announcement"
	EventPublish  = "publication"
	EventDropped  = "lines_dropped"
	EventSettings = "settings"
)

// Fields are the values of one line.
type Fields = logrus.Fields

const (
	// ringLines bounds the lines that wait for the output.
	ringLines = 1024
	// sampleOneIn is the share of successful requests that are written. All
	// hosts keep the same ones, because the choice depends on the id alone.
	sampleOneIn = 16
	// flushTime bounds the writing of what waits when the process ends.
	flushTime = 200 * time.Millisecond
)

type line struct {
	at     time.Time
	fields Fields
}

// Log is safe for concurrent use. A nil Log drops everything.
type Log struct {
	logger  *logrus.Entry
	lines   chan line
	dropped atomic.Int64
}

// New returns a log that writes to logger while Run runs.
func New(logger *logrus.Entry) *Log {
	return &Log{logger: logger, lines: make(chan line, ringLines)}
}

// Request adds a line about a request.
func (l *Log) Request(id, event string, f Fields) {
	if l == nil || event == EventAnswered && !sampled(id) {
		return
	}
	f[FieldRequest] = id
	l.add(event, f)
}

// Belief adds a line about what the process believes.
func (l *Log) Belief(event string, f Fields) {
	if l != nil {
		l.add(event, f)
	}
}

// Dropped returns the number of lines that found the ring full.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

func (l *Log) add(event string, f Fields) {
	f[FieldEvent] = event
	select {
	case l.lines <- line{time.Now(), f}:
	default:
		l.dropped.Add(1)
	}
}

func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%sampleOneIn == 0
}

// Run writes lines until ctx ends, and then what waits.
func (l *Log) Run(ctx context.Context) error {
	told := int64(0)
	for {
		select {
		case x := <-l.lines:
			l.write(x)
		case <-ctx.Done():
			l.flush()
			return nil
		}
		if n := l.dropped.Load(); n > told {
			l.write(line{time.Now(), Fields{FieldEvent: EventDropped, FieldDropped: n - told}})
			told = n
		}
	}
}

func (l *Log) flush() {
	end := time.Now().Add(flushTime)
	for time.Now().Before(end) {
		select {
		case x := <-l.lines:
			l.write(x)
		default:
			return
		}
	}
}

func (l *Log) write(x line) {
	l.logger.WithTime(x.at).WithFields(x.fields).Info(x.fields[FieldEvent])
}
