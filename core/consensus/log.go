package consensus

import "fmt"

// membershipRecord is a membership and the index of the entry or snapshot that
// set it.
type membershipRecord struct {
	index      uint64
	membership Membership
}

// entryLog holds the entries above offset, and the newest snapshot, whose index
// is at least offset.
type entryLog struct {
	snapshot   Snapshot
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// memberships starts with the snapshot's membership and is ordered by index.
	memberships []membershipRecord

	commit uint64
	// applied is the highest index that the state machine has reached, or reaches
	// when pendingSnapshot is restored.
	applied uint64
	// stable is the highest index that is durable.
	stable uint64
	// pendingSnapshot is a snapshot from the leader that is not durable yet.
	pendingSnapshot *Snapshot
}

func newEntryLog(snapshot Snapshot, entries []Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{
		snapshot: snapshot, offset: snapshot.Index, offsetTerm: snapshot.Term, applied: snapshot.Index,
		memberships: []membershipRecord{{snapshot.Index, snapshot.Membership}},
	}
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		l.offset, l.offsetTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.Index != l.last()+1 || e.Term < l.lastTerm() {
			return nil, &LogError{Reason: fmt.Sprintf("entry %d of term %d follows entry %d of term %d", e.Index, e.Term, l.last(), l.lastTerm())}
		}
		if err := l.push(e); err != nil {
			return nil, err
		}
	}
	if l.last() < snapshot.Index {
		return nil, &LogError{Reason: fmt.Sprintf("last entry %d is before snapshot index %d", l.last(), snapshot.Index)}
	}
	if commit > l.last() {
		return nil, &LogError{Reason: fmt.Sprintf("commit index %d is above the last entry %d", commit, l.last())}
	}
	l.commit = max(snapshot.Index, commit)
	l.stable = l.last()
	return l, nil
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, if the log still holds it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// slice returns the first entries with indexes in [from, to], up to maxBytes of
// data in total. If there is an entry, it returns at least one.
func (l *entryLog) slice(from, to uint64, maxBytes int) []Entry {
	to = min(to, l.last())
	if from > to || from <= l.offset {
		return nil
	}
	size := 0
	end := from
	for ; end <= to; end++ {
		size += len(l.entries[end-l.offset-1].Data)
		if size > maxBytes && end > from {
			break
		}
	}
	return l.entries[from-l.offset-1 : end-l.offset-1 : end-l.offset-1]
}

// push appends one entry. The caller has checked that it follows the last.
func (l *entryLog) push(e Entry) error {
	if e.Kind == EntryMembership {
		m, err := decodeMembership(e.Data)
		if err != nil {
			return err
		}
		// Trailing entries below the snapshot are already part of its membership.
		if e.Index > l.snapshot.Index {
			l.memberships = append(l.memberships, membershipRecord{e.Index, m})
		}
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.offset-1 : index-l.offset-1]
	l.stable = min(l.stable, index-1)
	for l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge appends the leader's entries, which follow an entry that matched. It
// replaces conflicting uncommitted entries and returns a LogError on a conflict
// with a committed one.
func (l *entryLog) merge(entries []Entry) error {
	for _, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.commit {
			return &LogError{Reason: fmt.Sprintf("entry %d of term %d conflicts with a committed entry", e.Index, e.Term)}
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		if err := l.push(e); err != nil {
			return err
		}
	}
	return nil
}

// conflictHint returns the highest index at or below index whose term is at
// most term. The leader then skips all entries of a conflicting term in one round
// trip.
func (l *entryLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		if t, _ := l.term(index); t <= term {
			break
		}
		index--
	}
	return index
}

func (l *entryLog) commitTo(index uint64) { l.commit = max(l.commit, min(index, l.last())) }

// restoreSnapshot replaces the complete log by a received snapshot.
func (l *entryLog) restoreSnapshot(s Snapshot) {
	*l = entryLog{
		snapshot: s, offset: s.Index, offsetTerm: s.Term, memberships: []membershipRecord{{s.Index, s.Membership}},
		commit: s.Index, applied: s.Index, stable: s.Index, pendingSnapshot: &s,
	}
}

// startWithin returns the lowest index such that the entries above it, up to index, hold at
// most maxBytes.
func (l *entryLog) startWithin(index uint64, maxBytes int) uint64 {
	size := 0
	for ; index > l.offset; index-- {
		size += len(l.entries[index-l.offset-1].Data)
		if size > maxBytes {
			break
		}
	}
	return index
}

// compact replaces entries by s but keeps those above keepFrom for members that
// are only a little behind.
func (l *entryLog) compact(s Snapshot, keepFrom uint64) {
	if s.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = s
	base := membershipRecord{s.Index, s.Membership}
	memberships := []membershipRecord{base}
	for _, record := range l.memberships {
		if record.index > s.Index {
			memberships = append(memberships, record)
		}
	}
	l.memberships = memberships
	keepFrom = min(keepFrom, s.Index)
	if keepFrom <= l.offset {
		return
	}
	t, _ := l.term(keepFrom)
	l.entries = append([]Entry(nil), l.entries[keepFrom-l.offset:]...)
	l.offset, l.offsetTerm = keepFrom, t
}

// latestMembership returns the latest membership, committed or not.
func (l *entryLog) latestMembership() membershipRecord { return l.memberships[len(l.memberships)-1] }

// membershipAt returns the membership in effect at index, or that of the snapshot
// for an index before it.
func (l *entryLog) membershipAt(index uint64) Membership {
	m := l.memberships[0].membership
	for _, record := range l.memberships {
		if record.index <= index {
			m = record.membership
		}
	}
	return m
}
