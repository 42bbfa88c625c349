package origin

import "time"

// maxTableRecords bounds the streams that a Table keeps. The oldest are forgotten first; a
// caller that resumes one of them is refused unless its origin can be inferred.
const maxTableRecords = 1 << 18

// Table holds the origins that hosts have reported to a leader. It is not safe for
// concurrent use.
type Table struct {
	records map[StreamID]Record
	// order holds the streams in the order of their first reports.
	order []StreamID
}

// NewTable returns a table without streams.
func NewTable() *Table { return &Table{records: map[StreamID]Record{}} }

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.records) }

// Add records the origin of a stream. A stream keeps its first origin.
func (t *Table) Add(now time.Duration, r Record) {
	t.expire(now)
	old, known := t.records[r.Stream]
	if known {
		old.Expires = max(old.Expires, r.Expires)
		t.records[r.Stream] = old
		return
	}
	t.records[r.Stream] = r
	t.order = append(t.order, r.Stream)
	if len(t.order) > maxTableRecords {
		t.removeFirst()
	}
}

// expire removes streams from the front of the order that have expired. Later ones expire
// at about the same time or later.
func (t *Table) expire(now time.Duration) {
	for len(t.order) > 0 && t.records[t.order[0]].Expires <= now {
		t.removeFirst()
	}
}

func (t *Table) removeFirst() {
	delete(t.records, t.order[0])
	t.order = t.order[1:]
}

// Answer answers a question. admitted are the software versions that were admitted when the
// stream began and ever since.
func (t *Table) Answer(q Question, admitted Admitted) Answer {
	if r, ok := t.records[q.Stream]; ok {
		return Answer{Known: true, Origin: r.Origin}
	}
	if o, ok := admitted.only(q.Services); ok {
		return Answer{Known: true, Inferred: true, Origin: o}
	}
	return Answer{}
}
