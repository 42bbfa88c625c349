package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/evidence"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// suspects is a copy of the replicated suspects. It is immutable.
type suspects struct {
	// index is the log index of the copy's newest change.
	index   uint64
	records map[string]state.SuspectRecord
}

// copySuspects returns the suspects of s, or old if they have not changed since.
func copySuspects(old *suspects, s *state.State) *suspects {
	if old != nil && old.index == s.SuspectsIndex {
		return old
	}
	return &suspects{index: s.SuspectsIndex, records: maps.Clone(s.Suspects)}
}

// crashes returns what is recorded of the crashes with a part.
func (s *suspects) crashes(id string) evidence.Crashes {
	if s == nil {
		return evidence.Crashes{}
	}
	rec := s.records[state.PartKey(id)]
	out := evidence.Crashes{LastIndex: rec.LastIndex}
	if rec.Part != nil && rec.Part.ClearedMS > 0 {
		out.HasCleared = true
		out.SinceCleared = time.Duration(time.Now().UnixMilli()-rec.Part.ClearedMS) * time.Millisecond
	}
	return out
}

// maxPartBytes is the length up to which the ID of a prompt part is kept as it is, so that a
// caller cannot fill the records with long ones.
const maxPartBytes = 64

// judgedParts returns the different parts of a prompt, each of which can be a suspect: any of them
// may crash servers. Their number is bounded by the size of a request's head, that of the records
// by core/state, and that of the remembered answers by core/evidence.
func judgedParts(parts []string) []string {
	out := make([]string, 0, len(parts))
	seen := make(map[string]bool, len(parts))
	for _, id := range parts {
		if len(id) > maxPartBytes {
			id = shortPartID(id)
		}
		if !seen[id] && state.IsPromptPart(id) {
			seen[id] = true
			out = append(out, id)
		}
	}
	return out
}

// shortPartID returns the ID by which a part with a long ID is recorded.
func shortPartID(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

// partsOf returns what a request for a target shares with others and can crash servers: the
// model, the adapter and the prompt parts. Those that more requests share come first.
func partsOf(key routing.Key, promptParts []string) []string {
	var out []string
	if key.Model != "" {
		out = append(out, state.ModelPart(key.Service, key.Model))
	}
	if key.Adapter != "" {
		out = append(out, state.AdapterPart(key.Service, key.Model, key.Adapter))
	}
	return append(out, judgedParts(promptParts)...)
}

// suspicion is what the suspects say of one request.
type suspicion struct {
	// refused is set if the request is in quarantine, for retryAfter if that is known.
	refused    bool
	retryAfter time.Duration
	reason     string
	// parts are its suspect parts, which need a trial.
	parts []string
}

// of returns the suspicion of a request with the parts.
func (s *suspects) of(fingerprint string, parts []string) suspicion {
	if s == nil || len(s.records) == 0 {
		return suspicion{}
	}
	now := time.Now().UnixMilli()
	whole := s.records[fingerprint]
	if whole.Barred(now) {
		return suspicion{refused: true, reason: "request is quarantined because it crashed backend servers"}
	}
	var out suspicion
	for _, id := range parts {
		rec, ok := s.records[state.PartKey(id)]
		switch {
		case !ok || rec.Part == nil:
		case rec.Rejects(now, parts):
			remaining := time.Duration(rec.Part.UntilMS-now) * time.Millisecond
			return suspicion{refused: true, retryAfter: remaining, reason: describeQuarantine(id, rec.Part.Beside)}
		case rec.Suspect(now):
			out.parts = append(out.parts, id)
		}
	}
	// Until its first quarantine, a request is repeated without a trial: most that were in flight at
	// a crash are sound, and a trial costs two commits.
	if whole.Part != nil && whole.Part.Quarantines > 0 && whole.Suspect(now) {
		out.parts = append(out.parts, state.RequestPart(fingerprint))
	}
	return out
}

// describeQuarantine names the part or parts in quarantine for a refusal.
func describeQuarantine(id string, beside []string) string {
	if len(beside) == 0 {
		return state.DescribePart(id) + " is quarantined because it crashed backend servers"
	}
	return "requests with " + describeParts(append(slices.Clone(beside), id)) + " are quarantined because one of these crashed backend servers"
}

// rememberedRequest returns the request as a part if answers to equal ones are remembered: those that
// are safe to repeat often come again, others hardly ever do.
func (c *call) rememberedRequest() []string {
	if c.route.Kind != route.Safe {
		return nil
	}
	return []string{state.RequestPart(c.fingerprint)}
}

// begunOf returns the memory of the answers to requests with a part. Whole requests have one of their
// own, since they are so many that they would displace the parts.
func (f *Forwarder) begunOf(id string) *evidence.Begun {
	if _, whole := state.RequestOf(id); whole {
		return f.begunRequests
	}
	return f.begun
}

// splitEvidence divides the parts of an interrupted request, and the request as a whole, into those
// for which an answer has begun since the crash before, and the others. A whole request is accused by
// its fingerprint. f.mu must be held.
func (f *Forwarder) splitEvidence(c *call, records *suspects) (answered, accused []string) {
	now := f.opts.Now()
	answered, accused = f.begun.Split(now, c.parts, records.crashes)
	equal, _ := f.begunRequests.Split(now, c.rememberedRequest(), records.crashes)
	return append(answered, equal...), accused
}

// suspicionOf returns the suspicion of a request. Parts that this host has accused are
// suspects before that is recorded, so that a host without the log puts no further
// server at risk.
func (f *Forwarder) suspicionOf(c *call) suspicion {
	out := f.view.Load().suspects.of(c.fingerprint, c.parts)
	if out.refused || len(c.parts) == 0 {
		return out
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range c.parts {
		if f.unrecorded[id] > 0 && !slices.Contains(out.parts, id) {
			out.parts = append(out.parts, id)
		}
	}
	return out
}

// countUnrecorded adds n to the number of crashes with each part that are not recorded
// yet.
func (f *Forwarder) countUnrecorded(parts []string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range parts {
		if f.unrecorded[id] += n; f.unrecorded[id] == 0 {
			delete(f.unrecorded, id)
		}
	}
}
