package state

import (
	"slices"
	"strings"
)

// PartRecord is what is recorded of a part of requests beside its crashes: a prompt part,
// a model or an adapter, which several requests share, or a whole request, which equal ones
// share. A part is a suspect from a crash
// on until it is cleared. A crash under trial quarantines it.
type PartRecord struct {
	// Cleared is set once an answer to a request with the part has begun since the
	// crashes. The record is kept to tell newer evidence from older.
	Cleared bool `json:"cleared,omitempty"`
	// UnclearedCrashes is the number of crashes since the part was last cleared.
	UnclearedCrashes int `json:"uncleared_crashes,omitempty"`
	// TrialShared is set if the server of the current trial had another trial at any
	// time, so that a crash does not tell which of them caused it.
	TrialShared bool `json:"trial_shared,omitempty"`
	// RefutingIndex is the lowest SeenIndex of evidence that clears the part. An answer
	// that began before a crash clears the part of that crash, but not of the next:
	// a part may turn harmful.
	RefutingIndex uint64 `json:"refuting_index,omitempty"`
	// ClearedMS is when the part was last cleared, in Unix milliseconds.
	ClearedMS int64 `json:"cleared_ms,omitempty"`
	// Fingerprints are the hashes of different requests with the part that were in
	// flight at a crash since the part was last cleared.
	Fingerprints []string `json:"fingerprints,omitempty"`
	// CrashMS is when the newest crash of a whole request was recorded, in Unix
	// milliseconds. It is zero for other parts.
	CrashMS int64 `json:"crash_ms,omitempty"`
	// UntilMS is the end of the quarantine, in Unix milliseconds. After it, the part is
	// a suspect again.
	UntilMS int64 `json:"until_ms,omitempty"`
	// Quarantines is the number of quarantines since the part was last cleared.
	Quarantines int `json:"quarantines,omitempty"`
	// Beside are the other parts that may have caused the crash under trial. While there are
	// any, only requests with all of them are rejected.
	Beside []string `json:"beside,omitempty"`
}

const (
	// maxPartFingerprints and maxPartCrashes limit the fingerprints and crashes that a
	// record of a part keeps.
	maxPartFingerprints = 4
	maxPartCrashes      = 8
)

// PartKey returns the key of a part in State.Suspects: the fingerprint for a request as a
// whole. Fingerprints are hexadecimal, so none equals the key of another part.
func PartKey(id string) string {
	if fingerprint, ok := RequestOf(id); ok {
		return fingerprint
	}
	return "part:" + id
}

// modelPrefix and adapterPrefix are how the IDs begin of the parts that are a model or an
// adapter.
const (
	modelPrefix   = "model:"
	adapterPrefix = "adapter:"
)

// ModelPart returns the ID of the part that all requests for a model of a service share.
func ModelPart(service, model string) string { return modelPrefix + service + "/" + model }

// AdapterPart returns the ID of the part that all requests for an adapter share.
func AdapterPart(service, model, adapter string) string {
	return adapterPrefix + service + "/" + model + "/" + adapter
}

// IsPromptPart reports whether a part is a prompt part, and no model, adapter or whole
// request. Callers choose the IDs of prompt parts.
func IsPromptPart(id string) bool {
	return !strings.HasPrefix(id, modelPrefix) && !strings.HasPrefix(id, adapterPrefix) && !strings.HasPrefix(id, requestPrefix)
}

// DescribePart names a part for logs and refusals.
func DescribePart(id string) string {
	if name, ok := strings.CutPrefix(id, modelPrefix); ok {
		return "model " + name
	}
	if name, ok := strings.CutPrefix(id, adapterPrefix); ok {
		return "adapter " + name
	}
	if _, ok := RequestOf(id); ok {
		return "the request"
	}
	return "prompt part " + id
}

// Barred reports whether the request or part is in quarantine at the given time, in Unix
// milliseconds.
func (r SuspectRecord) Barred(unixMS int64) bool {
	return r.Quarantined && (r.Part == nil || unixMS < r.Part.UntilMS)
}

// Rejects reports whether a request with the parts, which include that of the record, is
// rejected at the given time, in Unix milliseconds.
func (r SuspectRecord) Rejects(unixMS int64, parts []string) bool {
	return r.Barred(unixMS) && containsAll(parts, r.beside())
}

// beside returns the other parts of the quarantine, if there are any.
func (r SuspectRecord) beside() []string {
	if r.Part == nil {
		return nil
	}
	return r.Part.Beside
}

// Suspect reports whether a request that is not rejected needs a trial at the given time, in
// Unix milliseconds.
func (r SuspectRecord) Suspect(unixMS int64) bool {
	if r.Barred(unixMS) {
		return len(r.beside()) > 0
	}
	return r.Part == nil || !r.Part.Cleared && !r.Part.aged(unixMS)
}

// suspectParts records a crash for the parts of a request. If the request ran as the trial of
// one of them and no other trial ran on the server, the crash quarantines them.
func (s *State) suspectParts(c Suspect, crash string) {
	for _, id := range c.Answered {
		if rec := s.partRecord(id); !slices.Contains(rec.Crashes, crash) {
			rec.addCrash(crash, s.Index)
			s.Suspects[PartKey(id)] = rec
		}
	}
	conclusive := false
	for _, id := range c.Parts {
		rec := s.partRecord(id)
		if !slices.Contains(rec.Crashes, crash) {
			rec.Part.Cleared = false
			rec.Part.RefutingIndex = rec.LastIndex
			rec.Part.UnclearedCrashes++
			rec.addCrash(crash, s.Index)
		}
		rec.Part.addFingerprints(c.Fingerprints)
		// The crash of another server, or one that another host reports, leaves a trial
		// open: its holder reports how it ends.
		if c.endsTrial(rec.Trial) {
			// Crashes by equal requests speak against the request rather than its parts.
			conclusive = conclusive || !rec.Part.TrialShared && len(rec.Part.Fingerprints) > 1
			rec.Trial, rec.Part.TrialShared = nil, false
		}
		s.Suspects[PartKey(id)] = rec
	}
	if conclusive {
		s.quarantineParts(c.Parts)
	}
}

// endsTrial reports whether the process of a trial ended, as its holder reports it.
func (c Suspect) endsTrial(t *Trial) bool {
	return c.Trial != nil && t != nil && t.Same(*c.Trial) && t.Server == c.Server && t.Incarnation == c.Incarnation
}

// partRecord returns a copy of the record of a part, or a cleared one without crashes.
func (s *State) partRecord(id string) SuspectRecord {
	rec := s.Suspects[PartKey(id)]
	part := PartRecord{Cleared: true}
	if rec.Part != nil {
		part = *rec.Part
	}
	rec.Part = &part
	return rec
}

// addCrash adds a crash that is recorded at a log index.
func (r *SuspectRecord) addCrash(crash string, index uint64) {
	r.Crashes = lastOf(append(slices.Clone(r.Crashes), crash), maxPartCrashes)
	r.LastIndex = index
}

// addFingerprints adds those of the fingerprints that are not recorded yet.
func (p *PartRecord) addFingerprints(fingerprints []string) {
	added := slices.Clone(p.Fingerprints)
	for _, fp := range fingerprints {
		if !slices.Contains(added, fp) {
			added = append(added, fp)
		}
	}
	p.Fingerprints = lastOf(added, maxPartFingerprints)
}

// lastOf returns the last n elements of list, or all if it has fewer.
func lastOf(list []string, n int) []string { return list[max(0, len(list)-n):] }

// aloneAfterCrashes is the number of crashes after which a part is tried alone on its
// server. Trials after the first crash may share a server, because most suspects are
// sound requests that were on the server of a harmful one.
const aloneAfterCrashes = 2

// partTrial grants or releases the trial of suspect parts. At most one trial is open
// for each part.
func (s *State) partTrial(t Trial) Result {
	if t.Release {
		t.Release = false
		s.endPartTrial(t)
		return Result{}
	}
	alone := false
	for _, id := range t.Parts {
		rec := s.partRecord(id)
		switch {
		case rec.Part.Cleared:
			return reject(CodeNotSuspect, "%s is not a suspect", DescribePart(id))
		case rec.Rejects(s.ClockMS, t.Parts):
			return reject(CodeQuarantined, "%s crashed backend servers", DescribePart(id))
		case s.trialOpen(rec.Trial) && !rec.Trial.Same(t):
			return reject(CodeBusy, "a trial of %s runs on %s", DescribePart(id), rec.Trial.Server)
		}
		alone = alone || rec.Part.UnclearedCrashes >= aloneAfterCrashes
	}
	others := s.otherTrials(t)
	for _, key := range others {
		if rec := s.Suspects[key]; alone || rec.Part == nil || rec.Part.UnclearedCrashes >= aloneAfterCrashes {
			return reject(CodeBusy, "another trial runs on %s", t.Server)
		}
	}
	for _, key := range others {
		rec := s.Suspects[key]
		part := *rec.Part
		part.TrialShared = true
		rec.Part = &part
		s.Suspects[key] = rec
	}
	for _, id := range t.Parts {
		rec := s.partRecord(id)
		rec.Trial, rec.Part.TrialShared = &t, len(others) > 0
		s.Suspects[PartKey(id)] = rec
	}
	return Result{}
}

// otherTrials returns the keys of the suspects with another open trial on the server of
// t.
func (s *State) otherTrials(t Trial) []string {
	var keys []string
	for key, other := range s.Suspects {
		if s.trialOpen(other.Trial) && other.Trial.Server == t.Server && !other.Trial.Same(t) {
			keys = append(keys, key)
		}
	}
	return keys
}

// endPartTrial removes a trial from its parts.
func (s *State) endPartTrial(t Trial) {
	for _, id := range t.Parts {
		if rec := s.Suspects[PartKey(id)]; rec.Trial != nil && rec.Trial.Same(t) {
			rec.Trial = nil
			s.Suspects[PartKey(id)] = rec
		}
	}
}

// clearParts clears parts of which an answer has begun, unless a newer crash shows
// that the evidence is too old.
func (s *State) clearParts(c ClearSuspect) Result {
	var sound []string
	for _, id := range c.Parts {
		rec, ok := s.Suspects[PartKey(id)]
		if ok && rec.Part != nil && !rec.Part.Cleared && (c.Lift || c.SeenIndex >= rec.Part.RefutingIndex) {
			sound = append(sound, id)
		}
	}
	s.excludeFromQuarantines(sound)
	for _, id := range sound {
		rec := s.Suspects[PartKey(id)]
		rec.Part = &PartRecord{Cleared: true, ClearedMS: s.ClockMS}
		rec.Trial, rec.Quarantined = nil, false
		s.Suspects[PartKey(id)] = rec
	}
	return Result{}
}
