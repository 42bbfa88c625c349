package state

import (
	"fmt"
	"maps"
	"slices"
)

// crashesToQuarantine is the number of server incarnations that a request may
// take down before it is refused everywhere.
const crashesToQuarantine = 2

// suspect marks every request that was in flight on a dead server. The crash
// of a lone trial, or the second crash, quarantines the request.
func (s *State) suspect(c Suspect) Result {
	if c.Sequence > 0 {
		s.end(c)
	}
	crash := fmt.Sprintf("%s/%d", c.Server, c.Incarnation)
	for _, fp := range c.Fingerprints {
		rec := s.Suspects[fp]
		if slices.Contains(rec.Crashes, crash) {
			continue
		}
		rec.Crashes = append(slices.Clone(rec.Crashes), crash)
		rec.Quarantined = len(rec.Crashes) >= crashesToQuarantine
		rec.Trial = nil
		s.Suspects[fp] = rec
	}
	return Result{}
}

// Ended is a server process that was found to have ended.
type Ended struct {
	Incarnation uint64 `json:"incarnation"`
	// Sequence is the newest announcement known then.
	Sequence uint64 `json:"sequence"`
}

// maxEnded bounds the processes that are remembered. Older ones are silent.
const maxEnded = 1024

func (s *State) end(c Suspect) {
	if old := s.Ended[c.Server]; old.Incarnation > c.Incarnation {
		return
	}
	s.Ended[c.Server] = Ended{Incarnation: c.Incarnation, Sequence: c.Sequence}
	if len(s.Ended) <= maxEnded {
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

// HasEnded reports whether a server process has ended: it was found so, and has
// not announced itself since.
func (s *State) HasEnded(server string, incarnation, sequence uint64) bool {
	e, ok := s.Ended[server]
	return ok && e.Incarnation == incarnation && sequence <= e.Sequence
}

// trial grants the lone rerun of a suspect, one at a time per fingerprint and
// per server.
func (s *State) trial(t Trial) Result {
	rec, ok := s.Suspects[t.Fingerprint]
	if !ok {
		return Result{}
	}
	if t.Release {
		t.Release = false
		if rec.Trial != nil && *rec.Trial == t {
			rec.Trial = nil
			s.Suspects[t.Fingerprint] = rec
		}
		return Result{}
	}
	if rec.Quarantined {
		return reject(CodeQuarantined, "request crashed %d backend servers", len(rec.Crashes))
	}
	if s.open(rec.Trial) && *rec.Trial != t {
		return reject(CodeBusy, "a trial of the request runs on %s", rec.Trial.Server)
	}
	for fp, other := range s.Suspects {
		if fp != t.Fingerprint && s.open(other.Trial) && other.Trial.Server == t.Server {
			return reject(CodeBusy, "another trial runs on %s", t.Server)
		}
	}
	rec.Trial = &t
	s.Suspects[t.Fingerprint] = rec
	return Result{}
}

// open reports whether a trial blocks others.
func (s *State) open(t *Trial) bool {
	return t != nil && (t.ExpiresMS == 0 || t.ExpiresMS >= s.ClockMS)
}

// acquit clears a suspect after a clean run, which is always a trial. Without
// an open trial the command is a late copy, and must not clear a crash that
// was recorded since.
func (s *State) acquit(a Acquit) Result {
	if rec, ok := s.Suspects[a.Fingerprint]; ok && !rec.Quarantined && rec.Trial != nil {
		delete(s.Suspects, a.Fingerprint)
	}
	return Result{}
}
