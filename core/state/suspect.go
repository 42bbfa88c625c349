package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// crashesToQuarantine is the number of server incarnations that end with a request and few
// others in flight before the request is rejected by every host.
const crashesToQuarantine = 2

// dispatchSuspicion executes a command about suspects.
func (s *State) dispatchSuspicion(c Command) Result {
	switch {
	case c.Suspect != nil:
		return s.suspect(*c.Suspect)
	case c.Trial != nil:
		return s.trial(*c.Trial)
	case len(c.ClearSuspect.Parts) > 0:
		return s.clearParts(*c.ClearSuspect)
	}
	return s.clearSuspect(*c.ClearSuspect)
}

// suspect records a crash for every request that was in flight on a server process
// that ended, except for those of which the proposer knows that an equal one was answered
// since the crash before.
func (s *State) suspect(c Suspect) Result {
	if c.Sequence > 0 {
		s.recordEnded(c)
	}
	crash := fmt.Sprintf("%s/%d", c.Server, c.Incarnation)
	for _, fp := range c.Fingerprints {
		if !slices.Contains(c.Answered, RequestPart(fp)) {
			s.suspectRequest(fp, crash, c)
		}
	}
	s.suspectParts(c, crash)
	s.limitSuspects()
	return Result{}
}

// maxSuspects is the maximum number of suspect requests and parts that are
// kept, so that callers that send ever new ones do not fill the state.
const maxSuspects = 4096

// keptSuspects is the number of suspects that are left when maxSuspects is exceeded, so
// that the removal is seldom necessary.
const keptSuspects = maxSuspects * 7 / 8

// limitSuspects removes the suspects whose newest crash is the oldest until
// keptSuspects are left, those that were quarantined last.
func (s *State) limitSuspects() {
	if len(s.Suspects) <= maxSuspects {
		return
	}
	keys := slices.Collect(maps.Keys(s.Suspects))
	slices.SortFunc(keys, func(a, b string) int {
		x, y := s.Suspects[a], s.Suspects[b]
		if x.Quarantined != y.Quarantined {
			if x.Quarantined {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(x.LastIndex, y.LastIndex), strings.Compare(a, b))
	})
	for _, key := range keys[:len(keys)-keptSuspects] {
		delete(s.Suspects, key)
	}
}

// EndedProcess is a server process that was found to have ended.
type EndedProcess struct {
	Incarnation uint64 `json:"incarnation"`
	// Sequence is the sequence number of the newest announcement that was known
	// when the process was found to have ended.
	Sequence uint64 `json:"sequence"`
}

// maxEndedServers is the maximum number of ended server processes that are kept. The
// record with the lowest incarnation is removed first: the servers of older records
// count as silent in any case.
const maxEndedServers = 1024

// recordEnded records that the server process has ended, unless a newer process of the
// same server is already recorded.
func (s *State) recordEnded(c Suspect) {
	if old := s.Ended[c.Server]; old.Incarnation > c.Incarnation {
		return
	}
	s.Ended[c.Server] = EndedProcess{Incarnation: c.Incarnation, Sequence: c.Sequence}
	if len(s.Ended) <= maxEndedServers {
		return
	}
	oldest := c.Server
	for _, name := range slices.Sorted(maps.Keys(s.Ended)) {
		if s.Ended[name].Incarnation < s.Ended[oldest].Incarnation {
			oldest = name
		}
	}
	delete(s.Ended, oldest)
}

// HasEnded reports whether a server process has ended: it was found to have ended and
// has not announced itself since. The sequence is the number of its newest announcement.
func (s *State) HasEnded(server string, incarnation, sequence uint64) bool {
	e, ok := s.Ended[server]
	return ok && e.Incarnation == incarnation && sequence <= e.Sequence
}

// trial grants or releases the trial of a suspect. At most one trial is open per
// fingerprint and per server.
func (s *State) trial(t Trial) Result {
	if len(t.Parts) > 0 {
		return s.partTrial(t)
	}
	rec, ok := s.Suspects[t.Fingerprint]
	if !ok {
		return Result{}
	}
	if t.Release {
		t.Release = false
		if rec.Trial != nil && rec.Trial.Same(t) {
			rec.Trial = nil
			s.Suspects[t.Fingerprint] = rec
		}
		return Result{}
	}
	if rec.Barred(s.ClockMS) {
		return reject(CodeQuarantined, "request crashed %d backend servers", len(rec.Crashes))
	}
	if s.trialOpen(rec.Trial) && !rec.Trial.Same(t) {
		return reject(CodeBusy, "a trial of the request runs on %s", rec.Trial.Server)
	}
	for fp, other := range s.Suspects {
		if fp != t.Fingerprint && s.trialOpen(other.Trial) && other.Trial.Server == t.Server {
			return reject(CodeBusy, "another trial runs on %s", t.Server)
		}
	}
	rec.Trial = &t
	s.Suspects[t.Fingerprint] = rec
	return Result{}
}

// trialOpen reports whether a trial is set and has not expired, so that it blocks
// other trials.
func (s *State) trialOpen(t *Trial) bool {
	return t != nil && (t.ExpiresMS == 0 || t.ExpiresMS >= s.ClockMS)
}

// clearSuspect clears a suspect after a trial without a crash. If the suspect has no
// trial, the command is a late duplicate and must not clear a crash that was recorded
// since.
func (s *State) clearSuspect(c ClearSuspect) Result {
	if c.Lift {
		delete(s.Suspects, c.Fingerprint)
		return Result{}
	}
	if rec, ok := s.Suspects[c.Fingerprint]; ok && !rec.Barred(s.ClockMS) && rec.Trial != nil {
		delete(s.Suspects, c.Fingerprint)
	}
	return Result{}
}
