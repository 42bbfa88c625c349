// Package decision writes the decision log: one structured line for each decision
// about a request and for each change of a process's view of the cluster. It
// defines the field names. Lines are queued in a bounded buffer and dropped when it
// is full, so that a stalled output blocks no other code.
package decision

import (
	"context"
	"hash/fnv"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Field names of a line. The names and their meaning are stable.
const (
	FieldEvent   = "event"
	FieldRequest = "request"
	FieldRoute   = "route"
	FieldService = "service"
	// FieldAccount is the name of the client account of a request.
	FieldAccount     = "account"
	FieldModel       = "model"
	FieldAdapter     = "adapter"
	FieldServer      = "server"
	FieldReason      = "reason"
	FieldOutcome     = "outcome"
	FieldAction      = "action"
	FieldStatus      = "status"
	FieldEvents      = "events"
	FieldAttempt     = "attempt"
	FieldRemainingMS = "left_ms"
	FieldTookMS      = "took_ms"
	FieldFirstMS     = "first_ms"
	FieldPauseMS     = "pause_ms"
	FieldWaitMS      = "wait_ms"
	FieldVersion     = "version"
	// FieldIndex is an index of the replicated log, and FieldBytes the size of a document.
	FieldIndex   = "index"
	FieldBytes   = "bytes"
	FieldFence   = "fence"
	FieldOrder   = "order"
	FieldDropped = "dropped"
	// FieldRetryAfterMS is the delay after which a refused caller was asked to retry.
	FieldRetryAfterMS = "return_ms"
	// FieldExpectedMS is the predicted duration of a load.
	FieldExpectedMS = "expected_ms"
	// The following fields give the reason for an order: the model that it serves,
	// where the server has the weights, the gain and loss that were compared, the
	// number of other replicas of the model, and the number of waiting requests.
	FieldForModel      = "for"
	FieldSource        = "source"
	FieldGain          = "gain"
	FieldLoss          = "loss"
	FieldOtherReplicas = "copies"
	FieldWaiting       = "waiting"
	// FieldEnds is the number of server processes in a row that ended while they loaded a
	// model, and FieldHeldMS how long it is not loaded again.
	FieldEnds   = "ends"
	FieldHeldMS = "held_ms"
	// FieldFingerprint is the hash of the content of a request, FieldPromptParts the
	// model, the adapter and the parts of its prompt that other requests may share,
	// FieldAccused those of them that may have crashed a server, and FieldTrial tells
	// whether the request ran as a trial.
	FieldFingerprint = "fingerprint"
	FieldPromptParts = "prompt_parts"
	FieldAccused     = "accused"
	FieldTrial       = "trial"
	// FieldPerSecond is the limit that a server names, in requests per second of all
	// hosts, FieldSent the number of requests that this host sent to it within 4 s, and
	// FieldPauseAsked the time for which it wants none.
	FieldPerSecond  = "per_second"
	FieldSent       = "sent_4s"
	FieldPauseAsked = "pause_asked_ms"
	// FieldSoftwareVersion is the version of a server's software, and FieldBegunVersion that
	// of the server that began a stream, if it is known.
	FieldSoftwareVersion = "software_version"
	FieldBegunVersion    = "begun_version"
	// FieldResumedStream is the ID of the request that brought the first event of a stream
	// that is resumed, and FieldResumeAfter the ID of the last event that its caller has.
	FieldResumedStream = "resumed_stream"
	FieldResumeAfter   = "resume_after"
	// FieldAmount is what a request counts against the quota of its account, and FieldQuota the
	// quota's rate per second.
	FieldAmount = "amount"
	FieldQuota  = "quota"
	// FieldListener is the address of a listener, FieldOpen the number of its connections, and
	// FieldEvicted and FieldConnectionsRefused how many of them were closed for others or found no
	// room since the start.
	FieldListener           = "listener"
	FieldOpen               = "open"
	FieldEvicted            = "evicted"
	FieldConnectionsRefused = "refused"
)

// Events of a request. EventAttempt is logged for each attempt that failed, and EventSent
// for each one that is sent to a server with a limit.
// EventAnswered is sampled; the others are always logged.
const (
	EventAttempt = "attempt"
	EventSent    = "sent"
	// EventResumed is logged for the first event that a server adds to a stream that another
	// attempt, or another request of the caller, began.
	EventResumed = "resumed"
	// EventUnresumed is logged for a request that resumes a stream and is refused, because it
	// is not known what began the stream or that is gone.
	EventUnresumed  = "not_resumed"
	EventAnswered   = "answered"
	EventLate       = "late"
	EventRefused    = "refused"
	EventFailed     = "failed"
	EventAborted    = "aborted"
	EventCallerLeft = "caller_left"
	// EventOverQuota is logged for a request that its account's quota does not admit.
	EventOverQuota = "over_quota"
	// EventUnauthorized is logged for a request without the key of an account.
	EventUnauthorized = "unauthorized"
)

// RequestEvents lists all events of a request.
var RequestEvents = []string{EventAttempt, EventSent, EventResumed, EventUnresumed, EventAnswered, EventLate, EventRefused, EventFailed, EventAborted, EventCallerLeft, EventUnauthorized, EventOverQuota}

// Events that change a process's view of the cluster.
const (
	EventTable     = "table"
	EventServer    = "server"
	EventSuspect   = "suspect"
	EventSuspicion = "suspicion"
	EventOrder     = "order"
	EventReport    = "report"
	EventLoaded    = "loaded"
	// EventLoadCrashed is logged if a server process ended while it loaded a model.
	EventLoadCrashed  = "load_crashed"
	EventLeadership   = "leading"
	EventAnnounce     = "announcement"
	EventPublish      = "publication"
	EventLinesDropped = "lines_dropped"
	EventSettings     = "settings"
	// EventNotice is logged if what a server says of itself in its answers changes.
	EventNotice = "notice"
	// EventAnswerEnded is logged if the answer of a server is ended, because bodies and
	// answers in memory exceed their limit.
	EventAnswerEnded = "answer_ended"
	// EventConnections is logged if a listener has no room for the connections of all callers.
	EventConnections = "connections"
	// EventVersion is logged if a software version of servers is admitted or retired.
	EventVersion = "software_version"
)

// Fields holds the fields of one line by name.
type Fields = logrus.Fields

const (
	// queueLines is the maximum number of lines queued for the output.
	queueLines = 1024
	// sampleInterval is the number of requests answered in time of which one is
	// logged. All hosts log the same requests, because the choice depends on the
	// request ID only.
	sampleInterval = 16
	// flushTimeout is the maximum time for writing the queued lines when the
	// process ends.
	flushTimeout = 200 * time.Millisecond
)

// line is a queued line with the time of its event.
type line struct {
	at     time.Time
	fields Fields
}

// Log is the decision log of a process. It is safe for concurrent use. A nil Log
// discards all lines.
type Log struct {
	logger  *logrus.Entry
	queue   chan line
	dropped atomic.Int64

	countsMu sync.Mutex
	// counts holds the number of events by name, also those that are not logged.
	counts map[string]int64
}

// New returns a Log. Run must be running for lines to be written to logger.
func New(logger *logrus.Entry) *Log {
	return &Log{logger: logger, queue: make(chan line, queueLines), counts: map[string]int64{}}
}

// RecordRequest logs an event of the request with the given ID. It modifies f.
func (l *Log) RecordRequest(id, event string, f Fields) {
	if l == nil {
		return
	}
	l.count(event)
	if event == EventAnswered && !sampled(id) {
		return
	}
	f[FieldRequest] = id
	l.enqueue(event, f)
}

// RecordStateChange logs a change of the process's view of the cluster. It modifies f.
func (l *Log) RecordStateChange(event string, f Fields) {
	if l != nil {
		l.count(event)
		l.enqueue(event, f)
	}
}

func (l *Log) count(event string) {
	l.countsMu.Lock()
	defer l.countsMu.Unlock()
	l.counts[event]++
}

// Counts returns the number of events by name, also those that were not logged.
func (l *Log) Counts() map[string]int64 {
	if l == nil {
		return nil
	}
	l.countsMu.Lock()
	defer l.countsMu.Unlock()
	return maps.Clone(l.counts)
}

// Dropped returns the number of lines that were dropped because the queue was
// full.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// enqueue queues a line, or counts it as dropped if the queue is full.
func (l *Log) enqueue(event string, f Fields) {
	f[FieldEvent] = event
	select {
	case l.queue <- line{time.Now(), f}:
	default:
		l.dropped.Add(1)
	}
}

// sampled reports whether the request with the given ID is logged if it is answered
// in time.
func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%sampleInterval == 0
}

// Run writes lines until ctx ends. It then writes the queued lines for at most
// flushTimeout.
func (l *Log) Run(ctx context.Context) error {
	reported := int64(0)
	for {
		select {
		case queued := <-l.queue:
			l.write(queued)
		case <-ctx.Done():
			l.flush()
			return nil
		}
		if n := l.dropped.Load(); n > reported {
			l.write(line{time.Now(), Fields{FieldEvent: EventLinesDropped, FieldDropped: n - reported}})
			reported = n
		}
	}
}

func (l *Log) flush() {
	deadline := time.Now().Add(flushTimeout)
	for time.Now().Before(deadline) {
		select {
		case queued := <-l.queue:
			l.write(queued)
		default:
			return
		}
	}
}

func (l *Log) write(queued line) {
	l.logger.WithTime(queued.at).WithFields(queued.fields).Info(queued.fields[FieldEvent])
}
