package state

import (
	"fmt"
	"slices"
)

// crashesToQuarantine is the number of server incarnations that a request may
// take down before it is refused everywhere.
const crashesToQuarantine = 2

// suspect marks every request that was in flight on a dead server. The crash
// of a lone trial, or the second crash, quarantines the request.
func (s *State) suspect(c Suspect) Result {
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
