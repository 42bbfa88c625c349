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

// crashed commits the requests in flight on an ended process as suspects. It
// returns only when the attempt's own request is committed or cannot be.
func (e *Entry) crashed(f *flight) ending {
	if e.opts.off.suspects {
		return endCrashed
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*proposeTimeout)
	defer cancel()
	cr, first := e.noteCrash(f, true)
	if first {
		cr.err = e.suspect(ctx, f.process, slices.Sorted(maps.Keys(cr.fingerprints)))
		close(cr.done)
	}
	<-cr.done
	err := cr.err
	if !cr.fingerprints[f.fingerprint] {
		err = e.suspect(ctx, f.process, []string{f.fingerprint})
	}
	if err != nil {
		return endUncommitted
	}
	return endCrashed
}

// suspectOthers commits the requests in flight on a process that was found
// ended by an attempt that was not sent to it.
func (e *Entry) suspectOthers(f *flight) {
	if e.opts.off.suspects {
		return
	}
	cr, first := e.noteCrash(f, false)
	if !first {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*proposeTimeout)
	defer cancel()
	if len(cr.fingerprints) > 0 {
		cr.err = e.suspect(ctx, f.process, slices.Sorted(maps.Keys(cr.fingerprints)))
	}
	close(cr.done)
}

// noteCrash returns the record of a crash and whether it is new. It contains
// the attempt's own request if own is set.
func (e *Entry) noteCrash(f *flight, own bool) (*crash, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cr, ok := e.crashes[f.process]; ok {
		return cr, false
	}
	if len(e.crashes) >= maxCrashes {
		for old := range e.crashes {
			delete(e.crashes, old)
			break
		}
	}
	cr := &crash{done: make(chan struct{}), fingerprints: map[string]bool{}}
	for other := range e.flights[f.process] {
		if other != f && other.sent.Load() {
			cr.fingerprints[other.fingerprint] = true
		}
	}
	if own {
		cr.fingerprints[f.fingerprint] = true
	}
	e.crashes[f.process] = cr
	return cr, true
}

// suspect commits suspects and waits until they are visible here.
func (e *Entry) suspect(ctx context.Context, p process, fingerprints []string) error {
	c := state.Command{Suspect: &state.Suspect{Server: p.server, Incarnation: p.incarnation, Fingerprints: fingerprints}}
	res, err := e.propose(ctx, c)
	if err != nil {
		e.withhold(fingerprints, 1)
		e.commitThen(c, func() { e.withhold(fingerprints, -1) })
		return err
	}
	return e.visible(ctx, res)
}

// withhold counts the suspects whose crash is not committed yet. They are not
// run here until it is.
func (e *Entry) withhold(fingerprints []string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, fp := range fingerprints {
		e.withheld[fp] += n
		if e.withheld[fp] == 0 {
			delete(e.withheld, fp)
		}
	}
}

// refuseSuspect refuses a request that is quarantined or whose crash is not
// committed yet.
func (e *Entry) refuseSuspect(q *call) *Refusal {
	if rec, ok := e.view.Load().suspects[q.fingerprint]; ok && rec.Quarantined {
		return quarantined()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.withheld[q.fingerprint] > 0 {
		return unavailable("no_quorum", "a server ended while it ran the request, and that could not be recorded")
	}
	return nil
}

// visible waits until the view includes a result.
func (e *Entry) visible(ctx context.Context, res state.Result) error {
	if err := e.opts.Replica.WaitIndex(ctx, res.Index); err != nil {
		return err
	}
	e.refresh()
	return nil
}

// beginTrial blocks until a suspect may run alone on a server. A request that
// is cleared meanwhile runs as any other.
func (e *Entry) beginTrial(ctx context.Context, q *call) (*flight, *Refusal) {
	for {
		changed := e.opts.Replica.Changed()
		rec, suspect := e.view.Load().suspects[q.fingerprint]
		switch {
		case !suspect:
			return e.choose(ctx, q, "")
		case rec.Quarantined:
			return nil, quarantined()
		}
		if f := e.pickIdle(q); f != nil {
			granted, refusal := e.reserve(ctx, f)
			if refusal == nil && granted && e.alone(ctx, f) {
				return f, nil
			}
			e.dropTrial(f)
			if refusal != nil {
				return nil, refusal
			}
		}
		if r := e.pause(ctx, changed); r != nil {
			return nil, r
		}
	}
}

func (e *Entry) pickIdle(q *call) *flight {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.router.PickLeastLoaded(e.opts.Now(), q.key, "")
	if !ok {
		return nil
	}
	return e.register(q, a)
}

// reserve commits the trial and reports whether it was granted.
func (e *Entry) reserve(ctx context.Context, f *flight) (bool, *Refusal) {
	until, _ := ctx.Deadline()
	e.mu.Lock()
	e.nextID++
	nonce := e.nextID
	e.mu.Unlock()
	f.trial = &state.Trial{
		Fingerprint: f.fingerprint, Server: f.server, Incarnation: f.incarnation, Holder: e.opts.Self,
		Nonce: nonce, ExpiresMS: until.Add(trialMargin).UnixMilli(),
	}
	res, err := e.propose(ctx, state.Command{Trial: f.trial})
	if err != nil {
		return false, unavailable("no_quorum", "the trial of the request could not be recorded")
	}
	if err := res.Err(); err != nil {
		var rej *state.Rejection
		if errors.As(err, &rej) && rej.Code == state.CodeQuarantined {
			return false, quarantined()
		}
		f.trial = nil
		return false, nil
	}
	if e.visible(ctx, res) != nil {
		return false, ended(ctx, "the trial of the request did not begin before the deadline")
	}
	return e.onTrial(f), nil
}

// onTrial reports whether the attempt's trial is still the open one. A crash of
// another copy of the request ends it.
func (e *Entry) onTrial(f *flight) bool {
	rec := e.view.Load().suspects[f.fingerprint]
	return rec.Trial != nil && *rec.Trial == *f.trial
}

// alone waits until nothing else runs on the trial's server: no own attempt,
// and no work in a report that is new enough to include that of other hosts.
func (e *Entry) alone(ctx context.Context, f *flight) bool {
	from := e.opts.Now() + e.opts.TrialSettle
	for {
		idle, valid := false, false
		for _, p := range e.opts.Servers() {
			if p.Name == f.server {
				valid = p.Incarnation == f.incarnation && !p.Leaving
				idle = p.LastSeen >= from && p.Load.Running+p.Load.Queued == 0
			}
		}
		e.mu.Lock()
		own := len(e.flights[f.process])
		e.mu.Unlock()
		if !valid || !e.onTrial(f) {
			return false
		}
		if idle && own == 1 {
			return true
		}
		if e.pause(ctx, nil) != nil {
			return false
		}
	}
}

// dropTrial gives up a trial that has not begun.
func (e *Entry) dropTrial(f *flight) {
	e.mu.Lock()
	delete(e.flights[f.process], f)
	if len(e.flights[f.process]) == 0 {
		delete(e.flights, f.process)
	}
	e.router.Done(e.opts.Now(), f.attempt, routing.Neutral)
	e.mu.Unlock()
	if f.trial != nil {
		e.releaseTrial(*f.trial)
	}
}

func (e *Entry) releaseTrial(t state.Trial) {
	t.Release = true
	e.commit(state.Command{Trial: &t})
}

// endTrial records the verdict of a trial. A crash was recorded before.
func (e *Entry) endTrial(f *flight, end ending, result routing.Result) {
	switch {
	case end == endWhole && result == routing.Success:
		e.commit(state.Command{ClearSuspect: &state.ClearSuspect{Fingerprint: f.fingerprint}})
	case end != endCrashed:
		e.releaseTrial(*f.trial)
	}
}
