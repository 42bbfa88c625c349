package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// maxCrashes limits the number of crashes that are kept in memory.
const maxCrashes = 1024

// trialMargin extends a trial, which reserves its server, beyond the deadline of its
// request, to cover the difference between the clocks of the hosts.
const trialMargin = 5 * time.Second

// crash records that a server process ended while requests were in flight on it.
type crash struct {
	// done is closed once the suspects are committed, or the commit has failed with err.
	done chan struct{}
	err  error
	// fingerprints are those of the requests in flight when the crash was noticed, and
	// parts records the prompt parts of those whose answer had not begun.
	fingerprints map[string]bool
	parts        []state.Suspect
}

// recordCrash commits the requests in flight on an ended process as suspects. It returns
// when the attempt's own request is committed as a suspect, or when that has failed.
func (e *Entry) recordCrash(attempt *serverAttempt) ending {
	if e.opts.disabled.suspects {
		return endCrashed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*proposeTimeout)
	defer cancel()
	crash, first := e.findOrAddCrash(attempt, true)
	if first {
		crash.err = e.commitCrash(ctx, attempt.process, crash)
		close(crash.done)
	}
	<-crash.done
	err := crash.err
	if !crash.fingerprints[attempt.fingerprint] {
		e.mu.Lock()
		parts := e.partSuspects(attempt.process, []*serverAttempt{attempt})
		e.mu.Unlock()
		own := crashRecord([]string{attempt.fingerprint}, parts)
		err = e.commitCrash(ctx, attempt.process, own)
	}
	if err != nil {
		return endCrashUncommitted
	}
	return endCrashed
}

// crashRecord returns the record of a crash with the fingerprints and parts.
func crashRecord(fingerprints []string, parts []state.Suspect) *crash {
	out := &crash{done: make(chan struct{}), fingerprints: map[string]bool{}, parts: parts}
	for _, fp := range fingerprints {
		out.fingerprints[fp] = true
	}
	return out
}

// commitCrash commits the requests and the prompt parts of a crash as suspects.
func (e *Entry) commitCrash(ctx context.Context, p process, c *crash) error {
	if len(c.fingerprints) == 0 {
		return nil
	}
	if err := e.commitSuspects(ctx, p, slices.Sorted(maps.Keys(c.fingerprints))); err != nil {
		return err
	}
	return e.commitPartSuspects(ctx, c.parts)
}

// suspectOthers commits the requests in flight on an ended process as suspects. The given
// attempt noticed the end of the process but was not sent to it, so it is not a suspect.
func (e *Entry) suspectOthers(attempt *serverAttempt) {
	if e.opts.disabled.suspects {
		return
	}
	crash, first := e.findOrAddCrash(attempt, false)
	if !first {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*proposeTimeout)
	defer cancel()
	crash.err = e.commitCrash(ctx, attempt.process, crash)
	close(crash.done)
}

// findOrAddCrash returns the record of the crash of the attempt's process and whether the
// record is new. A new record lists the attempt's own request only if includeOwn is set.
func (e *Entry) findOrAddCrash(attempt *serverAttempt, includeOwn bool) (*crash, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if found, ok := e.crashes[attempt.process]; ok {
		return found, false
	}
	if len(e.crashes) >= maxCrashes {
		for old := range e.crashes {
			delete(e.crashes, old)
			break
		}
	}
	var suspects []*serverAttempt
	for other := range e.inFlight[attempt.process] {
		if other != attempt && other.maybeSent.Load() {
			suspects = append(suspects, other)
		}
	}
	if includeOwn {
		suspects = append(suspects, attempt)
	}
	found := crashRecord(nil, e.partSuspects(attempt.process, suspects))
	for _, a := range suspects {
		found.fingerprints[a.fingerprint] = true
	}
	e.crashes[attempt.process] = found
	return found, true
}

// commitSuspects commits the fingerprints as suspects of a crash and waits until the view
// of this host includes them. If the first proposal fails, it is repeated in the
// background.
func (e *Entry) commitSuspects(ctx context.Context, p process, fingerprints []string) error {
	c := state.Command{Suspect: &state.Suspect{Server: p.server, Incarnation: p.incarnation, Fingerprints: fingerprints}}
	res, err := e.propose(ctx, c)
	if err != nil {
		e.countUncommitted(fingerprints, 1)
		e.commitAndNotify(c, func() { e.countUncommitted(fingerprints, -1) })
		return err
	}
	return e.awaitApplied(ctx, res)
}

// countUncommitted adds n to the number of uncommitted crashes of each fingerprint. While
// that number is positive, this host refuses the request.
func (e *Entry) countUncommitted(fingerprints []string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, fp := range fingerprints {
		e.uncommittedSuspects[fp] += n
		if e.uncommittedSuspects[fp] == 0 {
			delete(e.uncommittedSuspects, fp)
		}
	}
}

// refuseSuspect refuses a request that is quarantined, or that is a suspect of a crash
// that is not committed yet.
func (e *Entry) refuseSuspect(req *request) *Refusal {
	if e.suspicionOf(req).quarantined {
		return quarantined()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.uncommittedSuspects[req.fingerprint] > 0 {
		return unavailable("no_quorum", "a server ended while it ran the request, and that could not be recorded")
	}
	return nil
}

// awaitApplied waits until the view includes the command that gave a result.
func (e *Entry) awaitApplied(ctx context.Context, res state.Result) error {
	if err := e.opts.Replica.WaitIndex(ctx, res.Index); err != nil {
		return err
	}
	e.refresh()
	return nil
}

// beginTrial blocks until a suspect may run alone on a server. A request that is cleared
// of suspicion meanwhile gets a server like any other request.
func (e *Entry) beginTrial(ctx context.Context, req *request) (*serverAttempt, *Refusal) {
	for {
		changed := e.opts.Replica.Changed()
		s := e.suspicionOf(req)
		switch {
		case s.quarantined:
			return nil, quarantined()
		case !s.suspect:
			return e.awaitServer(ctx, req, "")
		}
		if attempt := e.pickTrialServer(req); attempt != nil {
			granted, refusal := e.commitTrial(ctx, attempt, s.parts)
			if refusal == nil && granted && e.awaitAlone(ctx, attempt) {
				return attempt, nil
			}
			e.abandonTrial(attempt)
			if refusal != nil {
				return nil, refusal
			}
		}
		if r := e.waitForChange(ctx, changed); r != nil {
			return nil, r
		}
	}
}

// pickTrialServer chooses the available server with the least load and registers the
// attempt. It returns nil if there is none.
func (e *Entry) pickTrialServer(req *request) *serverAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.router.PickLeastLoaded(e.opts.Now(), routing.Query{Key: req.key, Request: req.nonce, Priority: int(req.class)}, func(string) bool { return false })
	if !ok {
		return nil
	}
	return e.registerAttempt(req, a)
}

// commitTrial commits a trial of the attempt's request, or of the parts of its prompt if
// any are given, and reports whether it was granted.
func (e *Entry) commitTrial(ctx context.Context, attempt *serverAttempt, parts []string) (bool, *Refusal) {
	deadline, _ := ctx.Deadline()
	e.mu.Lock()
	e.nextID++
	nonce := e.nextID
	e.mu.Unlock()
	attempt.trial = &state.Trial{
		Fingerprint: attempt.fingerprint, Server: attempt.server, Incarnation: attempt.incarnation, Holder: e.opts.Self,
		Nonce: nonce, ExpiresMS: deadline.Add(trialMargin).UnixMilli(),
	}
	if len(parts) > 0 {
		attempt.trial.Fingerprint, attempt.trial.Parts = "", parts
	}
	res, err := e.propose(ctx, state.Command{Trial: attempt.trial})
	if err != nil {
		return false, unavailable("no_quorum", "the trial of the request could not be recorded")
	}
	if err := res.Err(); err != nil {
		var rej *state.Rejection
		if errors.As(err, &rej) && rej.Code == state.CodeQuarantined {
			return false, quarantined()
		}
		attempt.trial = nil
		return false, nil
	}
	if e.awaitApplied(ctx, res) != nil {
		return false, contextRefusal(ctx, "the trial of the request did not begin before the deadline")
	}
	return e.holdsTrial(attempt), nil
}

// holdsTrial reports whether the attempt's trial is still the open one of its request. The
// trial ends when another attempt of an equal request crashes a server.
func (e *Entry) holdsTrial(attempt *serverAttempt) bool {
	rec := e.view.Load().suspects[trialKey(attempt.trial)]
	return rec.Trial != nil && rec.Trial.Same(*attempt.trial)
}

// awaitAlone waits until nothing else runs on the trial's server: no other attempt of
// this host, and no work in a load report that is recent enough to include the work of
// other hosts. It returns false if the trial can no longer begin.
func (e *Entry) awaitAlone(ctx context.Context, attempt *serverAttempt) bool {
	settledAt := e.opts.Now() + e.opts.TrialReportDelay
	for {
		idle, valid := false, false
		for _, status := range e.opts.Servers() {
			if status.Name == attempt.server {
				valid = status.Incarnation == attempt.incarnation && !status.Leaving
				idle = status.LastSeen >= settledAt && status.Load.Running+status.Load.Queued == 0
			}
		}
		e.mu.Lock()
		ownAttempts := len(e.inFlight[attempt.process])
		e.mu.Unlock()
		if !valid || !e.holdsTrial(attempt) {
			return false
		}
		if idle && ownAttempts == 1 {
			return true
		}
		if e.waitForChange(ctx, nil) != nil {
			return false
		}
	}
}

// abandonTrial removes an attempt whose trial has not begun and releases the trial.
func (e *Entry) abandonTrial(attempt *serverAttempt) {
	e.mu.Lock()
	delete(e.inFlight[attempt.process], attempt)
	if len(e.inFlight[attempt.process]) == 0 {
		delete(e.inFlight, attempt.process)
	}
	e.router.EndAttempt(e.opts.Now(), attempt.routed, routing.Neutral)
	e.mu.Unlock()
	if attempt.trial != nil {
		e.releaseTrial(*attempt.trial)
	}
}

func (e *Entry) releaseTrial(t state.Trial) {
	t.Release = true
	e.commit(state.Command{Trial: &t})
}

// recordTrialResult commits the result of a trial: the request is cleared after a
// successful answer, and otherwise the trial is released. A crash was already recorded.
func (e *Entry) recordTrialResult(attempt *serverAttempt, end ending, result routing.Result) {
	switch {
	case len(attempt.trial.Parts) > 0 && attempt.begun.Load():
		// The parts were cleared when the answer began.
	case end == endComplete && result == routing.Success:
		e.commit(state.Command{ClearSuspect: &state.ClearSuspect{Fingerprint: attempt.fingerprint}})
	case end != endCrashed:
		e.releaseTrial(*attempt.trial)
	}
}
