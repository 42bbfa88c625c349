// Package evidence remembers the parts of requests, such as the model and prompt parts,
// with which servers have begun to write an answer. Such an answer shows that the part
// crashed no server before. The package performs no I/O and reads no clock.
package evidence

import "time"

// freshFor is how long an answer excuses a part from a crash although another crash was
// recorded since. In a series of crashes, a host has seen no answer to most parts
// between two of them. A part that turns harmful is accused after this time.
const freshFor = 2 * time.Second

// maxParts is the number of parts after which the older half of the memory is
// forgotten. An entry takes about 100 bytes, so a Begun stays below 4 MB.
const maxParts = 1 << 14

// Begun remembers, for each part, the newest answer that has begun. It forgets
// the parts that were not used for the longest time. It is not safe for concurrent use.
type Begun struct {
	// recent and older hold the newest answer by part. A part is in either.
	recent, older map[string]answer
	// reported holds, by part, the newest crash that Refutes has been true for.
	reported map[string]uint64
}

// maxReported is the size above which the memory of Refutes is cleared. A report that is
// then repeated changes nothing.
const maxReported = 1024

// answer is when an answer began: the log index that this host had applied before, and
// the time.
type answer struct {
	index uint64
	at    time.Duration
}

// NewBegun returns an empty Begun.
func NewBegun() *Begun {
	return &Begun{recent: map[string]answer{}, older: map[string]answer{}, reported: map[string]uint64{}}
}

// Record records that an answer to a request with the parts has begun now. The index is
// the log index that this host had applied before.
func (b *Begun) Record(now time.Duration, parts []string, index uint64) {
	for _, p := range parts {
		delete(b.older, p)
		b.recent[p] = answer{index, now}
	}
	if len(b.recent) >= maxParts {
		b.recent, b.older = map[string]answer{}, b.recent
	}
}

// Index returns the log index that the newest answer to a request with the part began
// after, and false if none is remembered.
func (b *Begun) Index(part string) (uint64, bool) {
	a, ok := b.find(part)
	return a.index, ok
}

func (b *Begun) find(part string) (answer, bool) {
	if a, ok := b.recent[part]; ok {
		return a, true
	}
	a, ok := b.older[part]
	return a, ok
}

// Refutes reports whether this host is to report an answer against the suspicion of a
// part: it knows one that began after refutingIndex was applied, and has not reported
// one since the newest crash, which has the index lastIndex. It returns the index of the
// answer as well.
func (b *Begun) Refutes(part string, refutingIndex, lastIndex uint64) (uint64, bool) {
	a, ok := b.find(part)
	if !ok || a.index < refutingIndex || b.reported[part] == lastIndex {
		return 0, false
	}
	if len(b.reported) >= maxReported {
		clear(b.reported)
	}
	b.reported[part] = lastIndex
	return a.index, true
}

// Crashes is what is recorded of the crashes with a part.
type Crashes struct {
	// LastIndex is the log index of the newest crash, or zero.
	LastIndex uint64
	// SinceCleared is the time since another host reported an answer, if HasCleared.
	SinceCleared time.Duration
	HasCleared   bool
}

// Split divides the parts of a request that was in flight at a crash into those for which
// an answer has begun since the crash before or a short time ago, and the others, which
// may have caused the crash.
func (b *Begun) Split(now time.Duration, parts []string, crashes func(part string) Crashes) (answered, accused []string) {
	for _, p := range parts {
		c := crashes(p)
		a, ok := b.find(p)
		seen := ok && (a.index >= c.LastIndex || now-a.at < freshFor)
		cleared := c.HasCleared && c.SinceCleared >= 0 && c.SinceCleared < freshFor
		if seen || cleared {
			answered = append(answered, p)
			continue
		}
		accused = append(accused, p)
	}
	return answered, accused
}
