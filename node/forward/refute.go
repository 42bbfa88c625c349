package forward

import (
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// refutationDelayPerHost, for each host, is the maximum random delay before a host reports
// that answers to suspect parts have begun. Often all hosts know them, and the first report,
// which takes some tens of milliseconds, makes the others superfluous.
const refutationDelayPerHost = 10 * time.Millisecond

// recordBegun records that a server has begun to write the answer to a request, which
// clears its parts and itself.
func (f *Forwarder) recordBegun(c *call) {
	request := c.rememberedRequest()
	if len(c.parts) == 0 && len(request) == 0 && c.trial == nil {
		return
	}
	view := f.view.Load()
	f.mu.Lock()
	f.begun.Record(f.opts.Now(), c.parts, view.appliedIndex)
	f.begunRequests.Record(f.opts.Now(), request, view.appliedIndex)
	f.mu.Unlock()
	if t := c.trial; t != nil {
		c.trial = nil
		go f.commitSuspicion(state.Command{ClearSuspect: &state.ClearSuspect{Parts: t.Parts, SeenIndex: view.appliedIndex}}, t.Parts, "cleared by trial")
		return
	}
	f.refute(view.suspects, append(request, c.parts...))
}

// refuteAll reports the suspect parts of which this host knows an answer.
func (f *Forwarder) refuteAll(s *suspects) {
	var parts []string
	for key := range s.records {
		if id, ok := strings.CutPrefix(key, state.PartKey("")); ok {
			parts = append(parts, id)
			continue
		}
		parts = append(parts, state.RequestPart(key))
	}
	f.refute(s, parts)
}

// refute reports those of the parts that are suspects or in quarantine although this
// host knows an answer to a request with them. Each is reported once for each crash.
func (f *Forwarder) refute(s *suspects, parts []string) {
	if s == nil || len(s.records) == 0 {
		return
	}
	answered := f.refutedParts(s, parts)
	if len(answered) == 0 {
		return
	}
	maxDelay := time.Duration(max(1, f.opts.HostCount())) * refutationDelayPerHost
	f.mu.Lock()
	delay := time.Duration(f.rng.Int64N(int64(maxDelay)))
	f.mu.Unlock()
	time.AfterFunc(delay, func() { f.commitRefutations(answered) })
}

// refutedParts returns the parts that are to be reported, by the log index that the newest answer
// with them began after.
func (f *Forwarder) refutedParts(s *suspects, parts []string) map[uint64][]string {
	answered := map[uint64][]string{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range parts {
		rec := s.records[state.PartKey(id)]
		if rec.Part == nil || rec.Part.Cleared {
			continue
		}
		index, refutes := f.begunOf(id).Refutes(id, rec.Part.RefutingIndex, rec.LastIndex)
		if !refutes {
			continue
		}
		answered[index] = append(answered[index], id)
	}
	return answered
}

// commitRefutations clears parts, unless they have been cleared meanwhile. The answers to a long
// prompt concern many parts, which one command clears together.
func (f *Forwarder) commitRefutations(answered map[uint64][]string) {
	for index, parts := range answered {
		var uncleared []string
		f.opts.Replica.View(func(s *state.State) {
			for _, id := range parts {
				rec := s.Suspects[state.PartKey(id)]
				if rec.Part != nil && !rec.Part.Cleared && index >= rec.Part.RefutingIndex {
					uncleared = append(uncleared, id)
				}
			}
		})
		if len(uncleared) > 0 {
			f.commitSuspicion(state.Command{ClearSuspect: &state.ClearSuspect{Parts: uncleared, SeenIndex: index}}, uncleared, "cleared by an answer")
		}
	}
}
