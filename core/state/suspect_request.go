package state

import (
	"slices"
	"strings"
	"time"
)

const (
	// evidenceLifetime is how long a crash speaks against a request that was in flight. Servers also
	// end for other reasons; a request that crashes them is sent again much sooner.
	evidenceLifetime = 10 * time.Minute
	// requestQuarantineShift is the binary logarithm of the ratio of a request's quarantine to the one
	// before. Its callers are few, so that it grows faster than that of a part: each end costs a
	// server if the request is still harmful.
	requestQuarantineShift = 2
	// maxTellingRequests is the number of requests in flight at a crash up to which the crash counts
	// fullCrashWeight for each of them. A crash with more counts busyCrashWeight.
	maxTellingRequests = 8
	fullCrashWeight    = 3
	busyCrashWeight    = 2
	// quarantineWeight is the weight of the crashes at which a request is quarantined: that of two, or
	// of three with many requests.
	quarantineWeight = crashesToQuarantine * fullCrashWeight
)

// requestPrefix is how the ID of the part begins that is the request as a whole.
const requestPrefix = "request:"

// RequestPart returns the ID of the part that is a request as a whole, which only equal requests
// share.
func RequestPart(fingerprint string) string { return requestPrefix + fingerprint }

// RequestOf returns the fingerprint of the request that a part is, and false for other parts.
func RequestOf(id string) (fingerprint string, ok bool) { return strings.CutPrefix(id, requestPrefix) }

// suspectRequest records a crash for a request that was in flight. Crashes speak against it until
// an equal request is answered, and for evidenceLifetime at most. Enough of them quarantine it, and
// so does the crash of its trial, or any one after a quarantine.
func (s *State) suspectRequest(fingerprint, crash string, c Suspect) {
	rec := s.partRecord(RequestPart(fingerprint))
	if slices.Contains(rec.Crashes, crash) {
		return
	}
	underTrial := rec.Trial != nil && rec.Trial.Server == c.Server && rec.Trial.Incarnation == c.Incarnation
	part := rec.Part
	if part.Cleared || part.aged(s.ClockMS) {
		part.UnclearedCrashes = 0
	}
	part.Cleared = false
	part.UnclearedCrashes++
	part.RefutingIndex = rec.LastIndex
	part.CrashMS = s.ClockMS
	rec.addCrash(crash, s.Index)
	rec.Trial = nil
	s.Suspects[fingerprint] = rec
	if underTrial || part.Quarantines > 0 {
		// Only an answer that begins from now on speaks against this.
		part.RefutingIndex = s.Index
		s.quarantineRequest(fingerprint)
	} else if part.UnclearedCrashes >= crashesToQuarantine && s.crashWeight(rec) >= quarantineWeight {
		s.quarantineRequest(fingerprint)
	}
}

// aged reports whether the crashes with a request that was never quarantined are too old to speak
// against it.
func (p *PartRecord) aged(unixMS int64) bool {
	return p.Quarantines == 0 && p.CrashMS > 0 && unixMS-p.CrashMS > evidenceLifetime.Milliseconds()
}

// crashWeight returns the weight of the crashes with a request since it was last cleared.
func (s *State) crashWeight(rec SuspectRecord) int {
	weight := 0
	for _, crash := range lastOf(rec.Crashes, rec.Part.UnclearedCrashes) {
		if s.requestsInFlight(crash) > maxTellingRequests {
			weight += busyCrashWeight
		} else {
			weight += fullCrashWeight
		}
	}
	return weight
}

// requestsInFlight returns the number of requests that are recorded to have been in flight at a
// crash.
func (s *State) requestsInFlight(crash string) int {
	n := 0
	for key, rec := range s.Suspects {
		if !strings.HasPrefix(key, PartKey("")) && slices.Contains(rec.Crashes, crash) {
			n++
		}
	}
	return n
}

// quarantineRequest quarantines a request. After the end, a trial decides again.
func (s *State) quarantineRequest(fingerprint string) {
	rec := s.Suspects[fingerprint]
	part := *rec.Part
	duration := maxQuarantine
	if part.Quarantines < 8 {
		duration = min(maxQuarantine, firstQuarantine<<(requestQuarantineShift*part.Quarantines))
	}
	part.Quarantines++
	part.UntilMS = s.ClockMS + duration.Milliseconds()
	rec.Part, rec.Quarantined = &part, true
	s.Suspects[fingerprint] = rec
}
