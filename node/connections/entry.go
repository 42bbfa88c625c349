package connections

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/node/memory"
)

// phase is what a connection is used for.
type phase int32

const (
	// phaseNew is that of a connection on which nothing has arrived yet.
	phaseNew phase = iota
	// phaseHead begins with the first byte of a request.
	phaseHead
	// phaseRequest begins when the head is complete, and ends with the answer.
	phaseRequest
	// phaseIdle begins after an answer.
	phaseIdle
	// phaseClosing begins when the host sends nothing more and gives the caller time to read.
	phaseClosing
)

// entry is what a table knows of one connection.
type entry struct {
	table *Table
	phase atomic.Int32
	// since is when the phase began, and progress when the caller last sent or read something, on
	// the clock of the table.
	since, progress atomic.Int64
	// reading and writing are set while the caller is waited for.
	reading, writing atomic.Bool
	// idleDeadlines counts the read deadlines that were set since the connection is idle.
	idleDeadlines atomic.Int32

	// headMu guards head, which counts the head of the current request. It is nil if nothing of
	// that has arrived.
	headMu sync.Mutex
	head   *memory.Holding
}

func newEntry(t *Table) *entry {
	e := &entry{table: t}
	e.enter(phaseNew)
	return e
}

func (e *entry) currentPhase() phase         { return phase(e.phase.Load()) }
func (e *entry) phaseSince() time.Duration   { return time.Duration(e.since.Load()) }
func (e *entry) lastProgress() time.Duration { return time.Duration(e.progress.Load()) }
func (e *entry) recordProgress()             { e.progress.Store(int64(e.table.now())) }

func (e *entry) enter(p phase) {
	now := int64(e.table.now())
	e.since.Store(now)
	e.progress.Store(now)
	e.phase.Store(int32(p))
}

// eviction returns in which order connections are evicted: those of a lower rank first, and among
// equals the one without progress for longest. Connections with a request that is being served are
// never evicted.
func (e *entry) eviction() (rank int, evictable bool) {
	switch e.currentPhase() {
	case phaseClosing:
		return 0, true
	case phaseIdle:
		return 1, true
	case phaseHead:
		return 2, true
	}
	// The host waits for the caller to send or to read.
	return 2, e.reading.Load() || e.writing.Load()
}

// beginRequest records that the head of a request is complete. It still counts, but is no longer
// ended in favour of others.
func (e *entry) beginRequest() {
	e.enter(phaseRequest)
	e.headMu.Lock()
	defer e.headMu.Unlock()
	if e.head != nil {
		// A holding that was ended meanwhile closes the connection.
		_ = e.head.Finish()
	}
}

// beginIdle records the end of a request.
func (e *entry) beginIdle() {
	e.idleDeadlines.Store(0)
	e.enter(phaseIdle)
	e.releaseHead()
}

func (e *entry) releaseHead() {
	e.headMu.Lock()
	defer e.headMu.Unlock()
	e.head.Release()
	e.head = nil
}

// countHead counts what has arrived of a head. interrupt ends the connection if other requests need
// the memory. The error is that of memory.Holding.Grow.
func (e *entry) countHead(bytes int, interrupt func(error)) error {
	if e.table.heads == nil {
		return nil
	}
	e.headMu.Lock()
	if e.head == nil {
		e.head = e.table.heads.HoldIncoming(interrupt)
	}
	head := e.head
	e.headMu.Unlock()
	return head.Grow(bytes)
}
