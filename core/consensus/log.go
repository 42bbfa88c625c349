package consensus

import "fmt"

// memberAt is the membership that an entry or snapshot established.
type memberAt struct {
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
	// history starts with the snapshot's membership.
	history []memberAt

	commit uint64
	// applied is the highest index handed out for applying.
	applied uint64
	// stable is the highest index that is durable.
	stable uint64
	// received is a snapshot from the leader that is not durable yet.
	received *Snapshot
}

func newEntryLog(snapshot Snapshot, entries []Entry, commit uint64) (*entryLog, error) {
	l := &entryLog{
		snapshot: snapshot, offset: snapshot.Index, offsetTerm: snapshot.Term, applied: snapshot.Index,
		history: []memberAt{{snapshot.Index, snapshot.Membership}},
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
		return nil, &LogError{Reason: fmt.Sprintf("entries end at %d, before the snapshot at %d", l.last(), snapshot.Index)}
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

// term returns the term of the entry at index, if it is still known.
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
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns entries from index from, at most through index to, and stops
// after maxBytes of data, but returns at least one entry if there is one.
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

// push appends one entry that is known to follow the last.
func (l *entryLog) push(e Entry) error {
	if e.Kind == EntryMembership {
		m, err := decodeMembership(e.Data)
		if err != nil {
			return err
		}
		// Trailing entries below the snapshot are already part of its membership.
		if e.Index > l.snapshot.Index {
			l.history = append(l.history, memberAt{e.Index, m})
		}
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.offset-1 : index-l.offset-1]
	l.stable = min(l.stable, index-1)
	for l.history[len(l.history)-1].index >= index {
		l.history = l.history[:len(l.history)-1]
	}
}

// merge adds the leader's entries, which follow an entry that matched. It
// replaces a conflicting tail and refuses to replace a committed entry.
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
// most term, which skips a whole conflicting term in one round trip.
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

// reset replaces the whole log by a received snapshot.
func (l *entryLog) reset(s Snapshot) {
	*l = entryLog{
		snapshot: s, offset: s.Index, offsetTerm: s.Term, history: []memberAt{{s.Index, s.Membership}},
		commit: s.Index, applied: s.Index, stable: s.Index, received: &s,
	}
}

// compact replaces entries by s but keeps those above keepFrom for slow members.
func (l *entryLog) compact(s Snapshot, keepFrom uint64) {
	if s.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = s
	base := memberAt{s.Index, s.Membership}
	history := []memberAt{base}
	for _, h := range l.history {
		if h.index > s.Index {
			history = append(history, h)
		}
	}
	l.history = history
	keepFrom = min(keepFrom, s.Index)
	if keepFrom <= l.offset {
		return
	}
	t, _ := l.term(keepFrom)
	l.entries = append([]Entry(nil), l.entries[keepFrom-l.offset:]...)
	l.offset, l.offsetTerm = keepFrom, t
}

// membership is the newest one, committed or not.
func (l *entryLog) membership() memberAt { return l.history[len(l.history)-1] }

// membershipAt is the one in force at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	m := l.history[0].membership
	for _, h := range l.history {
		if h.index <= index {
			m = h.membership
		}
	}
	return m
}
