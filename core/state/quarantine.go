package state

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// firstQuarantine is the duration of the first quarantine of a part. Its end
	// costs a server if the part is still harmful, so each further one lasts twice as
	// long, up to maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = 24 * time.Hour
	// maxDoublings is the number of times that a quarantine is doubled, which is enough to
	// reach maxQuarantine.
	maxDoublings = 16
	// maxGroupedParts is the maximum number of parts in Beside of all records. Callers choose
	// how many parts a request has.
	maxGroupedParts = maxSuspects
)

// quarantineParts quarantines the accused parts of a request that crashed a server under trial.
// They form one group, since the crash does not tell which of them caused it: only requests with
// all of them are rejected, and those with some of them still run as trials. An answer to such a
// trial excludes its parts from the group (excludeFromQuarantines), and a crash leaves the parts
// that were in flight at both crashes. So no part is rejected on its own while another one
// explains all crashes as well.
func (s *State) quarantineParts(accused []string) {
	group, quarantines := accused, 0
	for _, id := range s.quarantinedParts() {
		rec := s.Suspects[PartKey(id)]
		common := intersection(group, append(slices.Clone(rec.Part.Beside), id))
		if len(common) == 0 {
			continue
		}
		group, quarantines = common, max(quarantines, rec.Part.Quarantines)
		s.endQuarantine(id)
	}
	duration := min(maxQuarantine, firstQuarantine<<min(quarantines, maxDoublings))
	s.setQuarantine(group, quarantines+1, s.ClockMS+duration.Milliseconds(), s.Index)
	s.limitGroupedParts()
}

// setQuarantine puts a group of parts into quarantine until a time, in Unix milliseconds. The
// record of its last part names the others. A group of one part is cleared only by an answer that
// began at refutingIndex or later; in a larger one, an earlier answer shows which part is sound.
func (s *State) setQuarantine(group []string, quarantines int, untilMS int64, refutingIndex uint64) {
	id := group[len(group)-1]
	rec := s.partRecord(id)
	rec.Quarantined, rec.Part.Cleared = true, false
	rec.Part.Beside = slices.Clone(group[:len(group)-1])
	rec.Part.Quarantines, rec.Part.UntilMS = quarantines, untilMS
	if len(group) == 1 {
		rec.Part.RefutingIndex = refutingIndex
	}
	s.Suspects[PartKey(id)] = rec
}

// endQuarantine returns the parts of the quarantine that the record of a part names to trials.
func (s *State) endQuarantine(id string) {
	rec := s.partRecord(id)
	rec.Quarantined = false
	rec.Part.Beside, rec.Part.Quarantines, rec.Part.UntilMS = nil, 0, 0
	s.Suspects[PartKey(id)] = rec
}

// excludeFromQuarantines removes parts that are shown to be sound from all groups in quarantine.
// The other parts of a group explain its crashes and stay in quarantine.
func (s *State) excludeFromQuarantines(sound []string) {
	if len(sound) == 0 {
		return
	}
	isSound := setOf(sound)
	for _, id := range s.quarantinedParts() {
		part := *s.Suspects[PartKey(id)].Part
		group := append(slices.Clone(part.Beside), id)
		rest := slices.DeleteFunc(slices.Clone(group), func(x string) bool { return isSound[x] })
		if len(rest) == len(group) {
			continue
		}
		s.endQuarantine(id)
		if len(rest) > 0 {
			s.setQuarantine(rest, part.Quarantines, part.UntilMS, s.partRecord(rest[len(rest)-1]).LastIndex)
		}
	}
}

// quarantinedParts returns the parts, in order, whose records hold a quarantine, also after its
// end.
func (s *State) quarantinedParts() []string {
	var out []string
	for key, rec := range s.Suspects {
		if id, ok := strings.CutPrefix(key, PartKey("")); ok && rec.Quarantined && rec.Part != nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// limitGroupedParts ends the quarantines of several parts whose newest crash is the oldest until
// they name at most maxGroupedParts.
func (s *State) limitGroupedParts() {
	ids := s.quarantinedParts()
	total := 0
	for _, id := range ids {
		total += len(s.Suspects[PartKey(id)].Part.Beside)
	}
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Compare(s.Suspects[PartKey(a)].LastIndex, s.Suspects[PartKey(b)].LastIndex)
	})
	for _, id := range ids {
		n := len(s.Suspects[PartKey(id)].Part.Beside)
		if total <= maxGroupedParts || n == 0 {
			continue
		}
		total -= n
		s.endQuarantine(id)
	}
}

// intersection returns the elements of list that are in other, in the order of list.
func intersection(list, other []string) []string {
	in := setOf(other)
	return slices.DeleteFunc(slices.Clone(list), func(x string) bool { return !in[x] })
}

// containsAll reports whether list contains all of the wanted elements.
func containsAll(list, wanted []string) bool {
	if len(wanted) == 0 {
		return true
	}
	in := setOf(list)
	return !slices.ContainsFunc(wanted, func(x string) bool { return !in[x] })
}

func setOf(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, x := range list {
		out[x] = true
	}
	return out
}
