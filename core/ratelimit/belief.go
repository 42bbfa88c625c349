package ratelimit

import (
	"math"
	"time"
)

// Change is a change of what is believed about the limit of a server process.
type Change struct {
	Process
	// Limited is set if the server has a limit now, and PerSecond is that limit.
	Limited   bool
	PerSecond float64
}

// belief is what is believed about the limit of one server process. Answers that were
// under way at the same time arrive in any order, so an answer replaces the belief only
// if its request was sent after the belief was formed. Of two limits whose order is not
// known, the lower one holds.
type belief struct {
	limited   bool
	perSecond float64
	// formedAt is when the answer arrived from which perSecond was taken, and namedAt when
	// the newest answer that names a limit arrived.
	formedAt, namedAt time.Duration
	// endedBy is when the request was sent whose answer ended the limit. The zero value is
	// before any answer.
	endedBy time.Duration
	ended   bool
}

// apply updates the belief and reports whether the limit in force changed.
func (b *belief) apply(s Sighting) bool {
	before, limitBefore := b.limited, b.perSecond
	if s.Named {
		b.applyNamed(s)
	} else {
		b.applyUnnamed(s)
	}
	return b.limited != before || b.limited && b.perSecond != limitBefore
}

func (b *belief) applyNamed(s Sighting) {
	perSecond := math.Min(s.PerSecond, MaxPerSecond)
	switch {
	case !b.limited && b.ended && s.ReceivedAt <= b.endedBy:
		return
	case !b.limited, s.SentAt >= b.formedAt:
		if !b.limited || perSecond != b.perSecond {
			b.perSecond, b.formedAt = perSecond, s.ReceivedAt
		}
	case s.ReceivedAt >= b.formedAt && perSecond < b.perSecond:
		b.perSecond, b.formedAt = perSecond, s.ReceivedAt
	}
	b.limited, b.ended = true, false
	b.namedAt = max(b.namedAt, s.ReceivedAt)
}

func (b *belief) applyUnnamed(s Sighting) {
	if b.limited && s.SentAt < b.namedAt {
		return
	}
	b.limited, b.endedBy = false, max(b.endedBy, s.SentAt)
	b.ended = true
}

// sighting returns the belief as a sighting.
func (b *belief) sighting(p Process) Sighting {
	if b.limited {
		return Sighting{Process: p, Named: true, PerSecond: b.perSecond, SentAt: b.formedAt, ReceivedAt: b.namedAt}
	}
	return Sighting{Process: p, SentAt: b.endedBy, ReceivedAt: b.endedBy}
}

// newest returns the time of the newest evidence.
func (b *belief) newest() time.Duration { return max(b.namedAt, b.endedBy) }
