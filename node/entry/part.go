package entry

import (
	"context"
	"time"

	"github.com/pollenwheel/pollenwheel/core/evidence"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// suspicion is what the replicated suspects say of a request.
type suspicion struct {
	// quarantined is set if the request is refused, and suspect if it needs a trial.
	quarantined, suspect bool
	// parts are the suspect parts of its prompt. They are tried only if the request as a
	// whole is no suspect.
	parts []string
}

// suspicionOf returns the suspicion of a request.
func (e *Entry) suspicionOf(req *request) suspicion {
	suspects := e.view.Load().suspects
	now := time.Now().UnixMilli()
	whole, ok := suspects[req.fingerprint]
	barred := whole.Barred(now)
	ok = ok && (barred || whole.Suspect(now))
	out := suspicion{quarantined: barred, suspect: ok}
	for _, id := range req.promptParts {
		rec := suspects[state.PartKey(id)]
		switch {
		case rec.Part == nil:
		case rec.Rejects(now, req.promptParts):
			out.quarantined = true
		case rec.Suspect(now):
			out.suspect = true
			out.parts = append(out.parts, id)
		}
	}
	if ok {
		out.parts = nil
	}
	return out
}

// trialKey returns the key of the suspect that a trial is about.
func trialKey(t *state.Trial) string {
	if len(t.Parts) > 0 {
		return state.PartKey(t.Parts[0])
	}
	return t.Fingerprint
}

// recordBegun records that a server has begun to write an answer to a request with the
// parts, and clears those that are suspects.
func (e *Entry) recordBegun(parts []string) {
	if len(parts) == 0 {
		return
	}
	v := e.view.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begun.Record(e.opts.Now(), parts, v.index)
	for _, id := range parts {
		rec := v.suspects[state.PartKey(id)]
		if rec.Part == nil || rec.Part.Cleared {
			continue
		}
		index, refutes := e.begun.Refutes(id, rec.Part.RefutingIndex, rec.LastIndex)
		if !refutes {
			continue
		}
		command := state.Command{ClearSuspect: &state.ClearSuspect{Parts: []string{id}, SeenIndex: index}}
		go e.commit(command)
	}
}

// partSuspects returns the commands that record the crash of a process for the prompt
// parts of the attempts whose answer had not begun. The caller holds e.mu.
func (e *Entry) partSuspects(p process, attempts []*serverAttempt) []state.Suspect {
	suspects := e.view.Load().suspects
	var out []state.Suspect
	for _, a := range attempts {
		if len(a.promptParts) == 0 || a.begun.Load() {
			continue
		}
		c := state.Suspect{Server: p.server, Incarnation: p.incarnation, Fingerprints: []string{a.fingerprint}, Trial: a.trial}
		c.Answered, c.Parts = e.begun.Split(e.opts.Now(), a.promptParts, func(id string) evidence.Crashes {
			return evidence.Crashes{LastIndex: suspects[state.PartKey(id)].LastIndex}
		})
		out = append(out, c)
	}
	return out
}

// commitPartSuspects commits the commands of partSuspects and waits until the view of
// this host includes them.
func (e *Entry) commitPartSuspects(ctx context.Context, list []state.Suspect) error {
	for i := range list {
		res, err := e.propose(ctx, state.Command{Suspect: &list[i]})
		if err != nil {
			e.commit(state.Command{Suspect: &list[i]})
			return err
		}
		if err := e.awaitApplied(ctx, res); err != nil {
			return err
		}
	}
	return nil
}
