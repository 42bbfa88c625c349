package forward

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// suspectTimeout is the maximum time for committing a suspect record, a trial or
	// its end.
	suspectTimeout = 3 * time.Second
	// trialTimeout is how long a trial blocks other trials of its parts if its host
	// fails. It is longer than the time to the first event of most requests.
	trialTimeout = 5 * time.Second
	// maxTrialWait is the maximum time that a request waits for another trial of its
	// parts, and trialRetryAfter the Retry-After value after it.
	maxTrialWait    = time.Second
	trialRetryAfter = 500 * time.Millisecond
	// trialPollInterval is how often a request that waits for another trial looks for
	// a server whose trial is over.
	trialPollInterval = 50 * time.Millisecond
)

// beginTrial commits the trial of a request with suspect parts on the server of attempt.
// It reports whether the request may be sent; if not, another trial is open or the
// suspects have changed. The error is that of the log.
func (c *call) beginTrial(attempt routing.Attempt, parts []string) (bool, error) {
	f := c.forwarder
	expires := min(c.deadline-f.opts.Now(), trialTimeout)
	t := state.Trial{
		Parts: parts, Server: attempt.Server, Incarnation: attempt.Incarnation, Holder: f.opts.Self, Nonce: f.trials.Add(1),
		ExpiresMS: time.Now().Add(expires).UnixMilli(),
	}
	ctx, cancel := context.WithTimeout(c.ctx, maxRecordWait)
	defer cancel()
	result, err := f.opts.Log.Propose(ctx, state.Command{UnixMS: time.Now().UnixMilli(), Trial: &t})
	if err != nil {
		go f.releaseTrial(t)
		return false, err
	}
	if result.Rejection != nil {
		// The rejection may rest on suspects that this host does not know yet.
		if f.opts.Replica.WaitIndex(ctx, result.Index) == nil {
			f.Refresh()
		}
		return false, nil
	}
	c.trial = &t
	c.logSuspicion(attempt, "trial", parts)
	return true, nil
}

// tryTrial begins the trial of a request on the server of attempt. If another trial
// blocks it, it waits for a moment and adds that to waited. After maxTrialWait, or
// without the log, it ends the request. It reports whether the request may be sent now
// and whether it has ended.
func (c *call) tryTrial(attempt routing.Attempt, parts []string, waited *time.Duration) (send, ended bool) {
	f := c.forwarder
	rebuilt := f.rebuiltChannel()
	granted, err := c.beginTrial(attempt, parts)
	if granted {
		return true, false
	}
	f.endUnsentAttempt(attempt)
	switch {
	case err != nil:
		c.endWithoutServer(trialRetryAfter, "the trial of "+describeParts(parts)+", which may crash backend servers, could not be recorded")
		return false, true
	case *waited >= maxTrialWait || c.ctx.Err() != nil:
		c.endWithoutServer(trialRetryAfter, "another trial of "+describeParts(parts)+", which may crash backend servers, runs")
		return false, true
	}
	start := f.opts.Now()
	timer := time.NewTimer(trialPollInterval)
	defer timer.Stop()
	select {
	case <-rebuilt:
	case <-timer.C:
	case <-c.ctx.Done():
	}
	*waited += f.opts.Now() - start
	return false, false
}

// excludedFromTrial returns which servers a trial avoids: that of the last attempt, and
// those with another trial.
func (f *Forwarder) excludedFromTrial(c *call) func(server string) bool {
	inUse := map[string]bool{c.avoidServer: true}
	now := time.Now().UnixMilli()
	if s := f.view.Load().suspects; s != nil {
		for _, rec := range s.records {
			if rec.Trial != nil && rec.Trial.ExpiresMS > now {
				inUse[rec.Trial.Server] = true
			}
		}
	}
	return func(server string) bool { return inUse[server] }
}

// rebuiltChannel returns the channel that is closed when the router is next rebuilt.
func (f *Forwarder) rebuiltChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rebuilt
}

// endUnsentAttempt ends an attempt that was not sent.
func (f *Forwarder) endUnsentAttempt(attempt routing.Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.EndAttempt(f.opts.Now(), attempt, routing.Neutral)
}

// logSuspicion logs a change of what this host knows of the request's parts.
func (c *call) logSuspicion(attempt routing.Attempt, outcome string, parts []string) {
	c.forwarder.opts.Decisions.RecordStateChange(decision.EventSuspicion, decision.Fields{
		decision.FieldRequest: c.request.ID, decision.FieldServer: attempt.Server,
		decision.FieldPromptParts: listParts(parts), decision.FieldOutcome: outcome,
	})
}

const (
	// maxListedParts is the number of parts that a log line lists, and maxDescribedParts the
	// number that a refusal names.
	maxListedParts    = 64
	maxDescribedParts = 3
)

// listParts lists parts for logs.
func listParts(parts []string) string {
	if rest := len(parts) - maxListedParts; rest > 0 {
		return strings.Join(parts[:maxListedParts], " ") + fmt.Sprintf(" and %d more", rest)
	}
	return strings.Join(parts, " ")
}

// describeParts names parts for refusals.
func describeParts(parts []string) string {
	var names []string
	for _, id := range parts[:min(len(parts), maxDescribedParts)] {
		names = append(names, state.DescribePart(id))
	}
	if rest := len(parts) - maxDescribedParts; rest > 0 {
		names = append(names, fmt.Sprintf("%d more", rest))
	}
	return strings.Join(names, " and ")
}

// releaseTrial ends a trial without a result.
func (f *Forwarder) releaseTrial(t state.Trial) {
	t.Release = true
	f.commitSuspicion(state.Command{Trial: &t}, t.Parts, "released")
}

// commitSuspicion commits a command about parts and logs its outcome.
func (f *Forwarder) commitSuspicion(c state.Command, parts []string, outcome string) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	c.UnixMS = time.Now().UnixMilli()
	if _, err := f.opts.Log.Propose(ctx, c); err != nil {
		outcome += ", not recorded: " + err.Error()
	}
	f.opts.Decisions.RecordStateChange(decision.EventSuspicion, decision.Fields{
		decision.FieldPromptParts: listParts(parts), decision.FieldOutcome: outcome,
	})
}
