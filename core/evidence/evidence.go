// Package evidence remembers the prompt parts to which servers have begun to write an
// answer. Such an answer shows that the part crashed no server before. The package
// performs no I/O and reads no clock.
package evidence

// maxParts is the number of prompt parts after which the older half of the memory is
// forgotten. An entry takes about 100 bytes, so a Begun stays below 4 MB.
const maxParts = 1 << 14

// Begun remembers, for each prompt part, the newest answer that has begun. It forgets
// the parts that were not used for the longest time. It is not safe for concurrent use.
type Begun struct {
	// recent and older hold the log index by part. A part is in either.
	recent, older map[string]uint64
}

// NewBegun returns an empty Begun.
func NewBegun() *Begun {
	return &Begun{recent: map[string]uint64{}, older: map[string]uint64{}}
}

// Record records that an answer to a request with the parts has begun. The index is the
// log index that this host had applied before.
func (b *Begun) Record(parts []string, index uint64) {
	for _, p := range parts {
		delete(b.older, p)
		b.recent[p] = index
	}
	if len(b.recent) >= maxParts {
		b.recent, b.older = map[string]uint64{}, b.recent
	}
}

// Index returns the log index that the newest answer to a request with the part began
// after, and false if none is remembered.
func (b *Begun) Index(part string) (uint64, bool) {
	if index, ok := b.recent[part]; ok {
		return index, true
	}
	index, ok := b.older[part]
	return index, ok
}

// Split divides the parts of a request into those for which an answer has begun since
// the newest crash with them, and the others. lastCrash returns the log index of that
// crash, or zero.
func (b *Begun) Split(parts []string, lastCrash func(part string) uint64) (answered, accused []string) {
	for _, p := range parts {
		if index, ok := b.Index(p); ok && index >= lastCrash(p) {
			answered = append(answered, p)
			continue
		}
		accused = append(accused, p)
	}
	return answered, accused
}
