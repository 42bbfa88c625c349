package origin

import "time"

const (
	// maxJournalRecords bounds the streams that one host keeps.
	maxJournalRecords = 1 << 15
	// maxReportRecords bounds the streams in one report.
	maxReportRecords = 1024
)

// Journal holds the streams that began or went on through one host, and which of them the
// leader does not know yet. It is not safe for concurrent use.
type Journal struct {
	table Table
	// unsent are the streams that no report contains, oldest first.
	unsent []StreamID
	// term is that of the leader that replied last.
	term uint64
}

// NewJournal returns a journal without streams.
func NewJournal() *Journal { return &Journal{table: *NewTable()} }

// Add notes a stream.
func (j *Journal) Add(now time.Duration, r Record) {
	if len(j.table.order) >= maxJournalRecords {
		j.table.removeFirst()
	}
	j.table.Add(now, r)
	j.addUnsent(r.Stream)
}

// addUnsent adds a stream for the next report. The oldest one is left out if there are too
// many.
func (j *Journal) addUnsent(s StreamID) {
	j.unsent = append(j.unsent, s)
	if excess := len(j.unsent) - maxJournalRecords; excess > 0 {
		j.unsent = j.unsent[excess:]
	}
}

// Find returns the origin of a stream that this host knows.
func (j *Journal) Find(s StreamID) (Origin, bool) {
	r, ok := j.table.records[s]
	return r.Origin, ok
}

// HasUnsent reports whether there are streams that no report contains.
func (j *Journal) HasUnsent() bool { return len(j.unsent) > 0 }

// Empty reports whether the journal holds no stream at now.
func (j *Journal) Empty(now time.Duration) bool {
	j.table.expire(now)
	return j.table.Len() == 0
}

// Take returns the next streams for a report, with times relative to now.
func (j *Journal) Take(now time.Duration) []Record {
	j.table.expire(now)
	var out []Record
	for len(j.unsent) > 0 && len(out) < maxReportRecords {
		if r, ok := j.table.records[j.unsent[0]]; ok {
			out = append(out, r.Shift(-now))
		}
		j.unsent = j.unsent[1:]
	}
	return out
}

// RecordReply records a leader's reply. A leader of another term has to be told every stream
// again.
func (j *Journal) RecordReply(term uint64) {
	if term != j.term {
		j.term = term
		j.unsent = append([]StreamID(nil), j.table.order...)
	}
}

// RecordFailure records that it is unknown whether a report with the records has arrived.
func (j *Journal) RecordFailure(records []Record) {
	for _, r := range records {
		j.addUnsent(r.Stream)
	}
}
