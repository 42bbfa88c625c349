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

// maxCrashes bounds the crashes that are remembered.
const maxCrashes = 1024

// trialMargin is how long a trial blocks its server beyond the deadline of its
// request, to cover the difference between the clocks of hosts.
const trialMargin = 5 * time.Second

// crash is the end of a server process while requests were in flight on it.
type crash struct {
	done chan struct{}
	err  error
	// fingerprints are those in flight when the crash was noticed.
	fingerprints map[string]bool
}

// recordCrash commits the requests in flight on an ended process as suspects. It
// returns only when the attempt's own request is committed or cannot be.
func (e *Entry) recordCrash(attempt *serverAttempt) ending {
	if e.opts.disabled.suspects {
		return endCrashed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*proposeTimeout)
	defer cancel()
	crash, first := e.findOrAddCrash(attempt, true)
	if first {
		crash.err = e.commitSuspects(ctx, attempt.process, slices.Sorted(maps.Keys(crash.fingerprints)))
		close(crash.done)
	}
	<-crash.done
	err := crash.err
	if !crash.fingerprints[attempt.fingerprint] {
		err = e.commitSuspects(ctx, attempt.process, []string{attempt.fingerprint})
	}
	if err != nil {
		return endCrashUncommitted
	}
	return endCrashed
}

// suspectOthers commits the requests in flight on a process that was found
// ended by an attempt that was not sent to it.
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
	if len(crash.fingerprints) > 0 {
		crash.err = e.commitSuspects(ctx, attempt.process, slices.Sorted(maps.Keys(crash.fingerprints)))
	}
	close(crash.done)
}

// findOrAddCrash returns the record of a crash and whether it is new. It contains
// the attempt's own request if own is set.
func (e *Entry) findOrAddCrash(attempt *serverAttempt, includeOwn bool) (*crash, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cr, ok := e.crashes[attempt.process]; ok {
		return cr, false
	}
	if len(e.crashes) >= maxCrashes {
		for old := range e.crashes {
			delete(e.crashes, old)
			break
		}
	}
	cr := &crash{done: make(chan struct{}), fingerprints: map[string]bool{}}
	for other := range e.inFlight[attempt.process] {
		if other != attempt && other.maybeSent.Load() {
			cr.fingerprints[other.fingerprint] = true
		}
	}
	if includeOwn {
		cr.fingerprints[attempt.fingerprint] = true
	}
	e.crashes[attempt.process] = cr
	return cr, true
}

// commitSuspects commits suspects and waits until they are visible here.
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

// countUncommitted counts the suspects whose crash is not committed yet. They are not
// run here until it is.
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

// refuseSuspect refuses a request that is quarantined or whose crash is not
// committed yet.
func (e *Entry) refuseSuspect(req *request) *Refusal {
	if rec, ok := e.view.Load().suspects[req.fingerprint]; ok && rec.Quarantined {
		return quarantined()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.uncommittedSuspects[req.fingerprint] > 0 {
		return unavailable("no_quorum", "a server ended while it ran the request, and that could not be recorded")
	}
	return nil
}

// awaitApplied waits until the view includes a result.
func (e *Entry) awaitApplied(ctx context.Context, res state.Result) error {
	if err := e.opts.Replica.WaitIndex(ctx, res.Index); err != nil {
		return err
	}
	e.refresh()
	return nil
}

// beginTrial blocks until a suspect may run alone on a server. A request that
// is cleared meanwhile runs as any other.
func (e *Entry) beginTrial(ctx context.Context, req *request) (*serverAttempt, *Refusal) {
	for {
		changed := e.opts.Replica.Changed()
		rec, suspect := e.view.Load().suspects[req.fingerprint]
		switch {
		case !suspect:
			return e.awaitServer(ctx, req, "")
		case rec.Quarantined:
			return nil, quarantined()
		}
		if attempt := e.pickIdleServer(req); attempt != nil {
			granted, refusal := e.commitTrial(ctx, attempt)
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

func (e *Entry) pickIdleServer(req *request) *serverAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.router.Idle(e.opts.Now(), req.key, "")
	if !ok {
		return nil
	}
	return e.register(req, a)
}

// commitTrial commits the trial and reports whether it was granted.
func (e *Entry) commitTrial(ctx context.Context, attempt *serverAttempt) (bool, *Refusal) {
	deadline, _ := ctx.Deadline()
	e.mu.Lock()
	e.nextID++
	nonce := e.nextID
	e.mu.Unlock()
	attempt.trial = &state.Trial{
		Fingerprint: attempt.fingerprint, Server: attempt.server, Incarnation: attempt.incarnation, Holder: e.opts.Self,
		Nonce: nonce, ExpiresMS: deadline.Add(trialMargin).UnixMilli(),
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

// holdsTrial reports whether the attempt's trial is still the open one. A crash of
// another copy of the request ends it.
func (e *Entry) holdsTrial(attempt *serverAttempt) bool {
	rec := e.view.Load().suspects[attempt.fingerprint]
	return rec.Trial != nil && *rec.Trial == *attempt.trial
}

// awaitAlone waits until nothing else runs on the trial's server: no own attempt,
// and no work in a report that is new enough to include that of other hosts.
func (e *Entry) awaitAlone(ctx context.Context, attempt *serverAttempt) bool {
	settledAt := e.opts.Now() + e.opts.TrialSettle
	for {
		idle, valid := false, false
		for _, p := range e.opts.Servers() {
			if p.Name == attempt.server {
				valid = p.Incarnation == attempt.incarnation && !p.Leaving
				idle = p.Heard >= settledAt && p.Load.Running+p.Load.Queued == 0
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

// abandonTrial gives up a trial that has not begun.
func (e *Entry) abandonTrial(attempt *serverAttempt) {
	e.mu.Lock()
	delete(e.inFlight[attempt.process], attempt)
	if len(e.inFlight[attempt.process]) == 0 {
		delete(e.inFlight, attempt.process)
	}
	e.router.Done(e.opts.Now(), attempt.routed, routing.Neutral)
	e.mu.Unlock()
	if attempt.trial != nil {
		e.releaseTrial(*attempt.trial)
	}
}

func (e *Entry) releaseTrial(t state.Trial) {
	t.Release = true
	e.commit(state.Command{Trial: &t})
}

// recordTrialResult records the verdict of a trial. A crash was recorded before.
func (e *Entry) recordTrialResult(attempt *serverAttempt, end ending, result routing.Result) {
	switch {
	case end == endComplete && result == routing.Success:
		e.commit(state.Command{Acquit: &state.Acquit{Fingerprint: attempt.fingerprint}})
	case end != endCrashed:
		e.releaseTrial(*attempt.trial)
	}
}
