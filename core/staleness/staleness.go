// Package staleness decides when a follower of the replicated log leaves the host that it
// follows, because it learns from the leader of entries that do not arrive. It performs no I/O
// and is given the time.
package staleness

import "time"

const (
	// initialGrace is the longest wait for an entry that is known to be committed. An entry
	// usually arrives before the news of it.
	initialGrace = 500 * time.Millisecond
	// maxGrace bounds the wait, which doubles with each host that was left in vain: a large
	// update over a slow link must not be begun again for ever. Hosts that refuse to be followed
	// do not count: after three of them, a silent host would be followed for 4 s.
	maxGrace = 4 * time.Second
)

// Monitor compares the entries that are applied with those that are known to be committed.
type Monitor struct {
	applied uint64
	// newest is the highest index that is known to be committed.
	newest uint64
	// awaited is the committed index that was learned of at since and is not applied. It is
	// zero if nothing is awaited.
	awaited uint64
	since   time.Duration
	grace   time.Duration
}

// New returns a monitor of a follower that has applied nothing.
func New() *Monitor { return &Monitor{grace: initialGrace} }

// RecordApplied records the highest index that the follower has applied.
func (m *Monitor) RecordApplied(now time.Duration, index uint64) {
	m.applied = max(m.applied, index)
	if m.awaited == 0 || m.applied < m.awaited {
		return
	}
	m.awaited, m.grace = 0, initialGrace
	m.RecordCommitted(now, m.newest)
}

// RecordCommitted records an index that is known to be committed.
func (m *Monitor) RecordCommitted(now time.Duration, index uint64) {
	m.newest = max(m.newest, index)
	if m.awaited == 0 && m.newest > m.applied {
		m.awaited, m.since = m.newest, now
	}
}

// RecordProgress records that a part of an update has arrived, which is more than a host that is
// behind sends.
func (m *Monitor) RecordProgress(now time.Duration) { m.since = now }

// RecordSwitch records that the follower follows another host from now on.
func (m *Monitor) RecordSwitch(now time.Duration) {
	if m.awaited == 0 {
		return
	}
	if m.SwitchDue(now) {
		m.grace = min(2*m.grace, maxGrace)
	}
	m.since = now
}

// Behind returns the number of committed entries that are known and not applied.
func (m *Monitor) Behind() uint64 {
	if m.newest <= m.applied {
		return 0
	}
	return m.newest - m.applied
}

// SwitchDue reports whether the follower has waited too long for an entry.
func (m *Monitor) SwitchDue(now time.Duration) bool {
	return m.awaited != 0 && now-m.since > m.grace
}
