package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pollenwheel/pollenwheel/core/evidence"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// suspectTimeout is the maximum time for committing a suspect record, a trial or
	// its end.
	suspectTimeout = 3 * time.Second
	// recordPeriod is how long a crash with accused prompt parts is proposed again if the
	// log does not accept it, and recordPause the time between two proposals. It is
	// longer than most outages of the control hosts.
	recordPeriod = 30 * time.Second
	recordPause  = 100 * time.Millisecond
	// maxRecordWait is the maximum time that a request waits for the log, which is
	// longer than the election of a leader takes.
	maxRecordWait = time.Second
	// trialTimeout is how long a trial blocks other trials of its parts if its host
	// fails. It is longer than the time to the first event of most requests.
	trialTimeout = 5 * time.Second
	// maxTrialWait is the maximum time that a request waits for another trial of its
	// prompt parts, and trialRetryAfter the Retry-After value after it.
	maxTrialWait    = time.Second
	trialRetryAfter = 500 * time.Millisecond
	// trialPollInterval is how often a request that waits for another trial looks for
	// a server whose trial is over.
	trialPollInterval = 50 * time.Millisecond
	// refutationDelayPerHost, for each host, is the maximum random delay before a host
	// reports that an answer to a suspect part has begun. Often all hosts know it, and
	// the first report, which takes some tens of milliseconds, makes the others
	// superfluous.
	refutationDelayPerHost = 10 * time.Millisecond
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

// suspicion is what the suspects say of one request.
type suspicion struct {
	// refused is set if the request is in quarantine, for retryAfter if that is known.
	refused    bool
	retryAfter time.Duration
	reason     string
	// parts are the suspect parts of its prompt, which need a trial.
	parts []string
}

// of returns the suspicion of a request.
func (s *suspects) of(fingerprint string, promptParts []string) suspicion {
	if s == nil || len(s.records) == 0 {
		return suspicion{}
	}
	if s.records[fingerprint].Quarantined {
		return suspicion{refused: true, reason: "request is quarantined because it crashed backend servers"}
	}
	now := time.Now().UnixMilli()
	var out suspicion
	for _, id := range promptParts {
		rec, ok := s.records[state.PartKey(id)]
		switch {
		case !ok || rec.Part == nil:
		case rec.Barred(now):
			remaining := time.Duration(rec.Part.UntilMS-now) * time.Millisecond
			return suspicion{refused: true, retryAfter: remaining, reason: "prompt part " + id + " is quarantined because it crashed backend servers"}
		case rec.Suspect(now):
			out.parts = append(out.parts, id)
		}
	}
	return out
}

// suspicionOf returns the suspicion of a request. Parts that this host has accused are
// suspects before that is recorded, so that a host without the log puts no further
// server at risk.
func (f *Forwarder) suspicionOf(c *call) suspicion {
	out := f.view.Load().suspects.of(c.fingerprint, c.request.PromptParts)
	if out.refused || len(c.request.PromptParts) == 0 {
		return out
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range c.request.PromptParts {
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

// recordEnd commits the end of a server process and waits until the view of this host
// includes it. An end with accused parts is proposed again for recordPeriod.
func (f *Forwarder) recordEnd(end state.Suspect) error {
	f.countUnrecorded(end.Parts, 1)
	defer f.countUnrecorded(end.Parts, -1)
	stop := f.opts.Now() + recordPeriod
	for {
		err := f.proposeEnd(end)
		if err == nil || len(end.Parts) == 0 || f.opts.Now() >= stop {
			return err
		}
		time.Sleep(recordPause)
	}
}

// proposeEnd commits the end of a server process once.
func (f *Forwarder) proposeEnd(end state.Suspect) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	result, err := f.opts.Log.Propose(ctx, state.Command{UnixMS: time.Now().UnixMilli(), Suspect: &end})
	if err != nil || len(end.Fingerprints) == 0 {
		return err
	}
	if err := f.opts.Replica.WaitIndex(ctx, result.Index); err != nil {
		return err
	}
	f.Refresh()
	return nil
}

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
		c.endWithoutServer(trialRetryAfter, "the trial of a prompt part that may crash backend servers could not be recorded")
		return false, true
	case *waited >= maxTrialWait || c.ctx.Err() != nil:
		c.endWithoutServer(trialRetryAfter, "another trial of a prompt part that may crash backend servers runs")
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

// logSuspicion logs a change of what this host knows of the request's prompt parts.
func (c *call) logSuspicion(attempt routing.Attempt, outcome string, parts []string) {
	c.forwarder.opts.Decisions.RecordStateChange(decision.EventSuspicion, decision.Fields{
		decision.FieldRequest: c.request.ID, decision.FieldServer: attempt.Server,
		decision.FieldPromptParts: strings.Join(parts, " "), decision.FieldOutcome: outcome,
	})
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

// releaseTrial ends a trial without a result.
func (f *Forwarder) releaseTrial(t state.Trial) {
	t.Release = true
	f.commitSuspicion(state.Command{Trial: &t}, t.Parts, "released")
}

// commitSuspicion commits a command about prompt parts and logs its outcome.
func (f *Forwarder) commitSuspicion(c state.Command, parts []string, outcome string) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	c.UnixMS = time.Now().UnixMilli()
	if _, err := f.opts.Log.Propose(ctx, c); err != nil {
		outcome += ", not recorded: " + err.Error()
	}
	f.opts.Decisions.RecordStateChange(decision.EventSuspicion, decision.Fields{
		decision.FieldPromptParts: strings.Join(parts, " "), decision.FieldOutcome: outcome,
	})
}

// recordBegun records that a server has begun to write the answer to a request, which
// clears its prompt parts.
func (f *Forwarder) recordBegun(c *call) {
	if len(c.request.PromptParts) == 0 {
		return
	}
	view := f.view.Load()
	f.mu.Lock()
	f.begun.Record(f.opts.Now(), c.request.PromptParts, view.appliedIndex)
	f.mu.Unlock()
	if t := c.trial; t != nil {
		c.trial = nil
		go f.commitSuspicion(state.Command{ClearSuspect: &state.ClearSuspect{Parts: t.Parts, SeenIndex: view.appliedIndex}}, t.Parts, "cleared by trial")
		return
	}
	f.refute(view.suspects, c.request.PromptParts)
}

// refuteAll reports the suspect parts of which this host knows an answer.
func (f *Forwarder) refuteAll(s *suspects) {
	var parts []string
	for key := range s.records {
		if id, ok := strings.CutPrefix(key, state.PartKey("")); ok {
			parts = append(parts, id)
		}
	}
	f.refute(s, parts)
}

// refute reports those of the parts that are suspects or in quarantine although this
// host knows an answer to a request with them. Each is reported once for each crash.
func (f *Forwarder) refute(s *suspects, parts []string) {
	if s == nil || len(s.records) == 0 {
		return
	}
	maxDelay := time.Duration(max(1, f.opts.HostCount())) * refutationDelayPerHost
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range parts {
		rec := s.records[state.PartKey(id)]
		index, answered := f.begun.Index(id)
		if rec.Part == nil || rec.Part.Cleared || !answered || index < rec.Part.RefutingIndex || f.refuted[id] == rec.LastIndex {
			continue
		}
		if len(f.refuted) >= maxRefuted {
			clear(f.refuted)
		}
		f.refuted[id] = rec.LastIndex
		delay := time.Duration(f.rng.Int64N(int64(maxDelay)))
		time.AfterFunc(delay, func() { f.commitRefutation(id, index) })
	}
}

// maxRefuted is the size above which the record of reported answers is cleared.
const maxRefuted = 1024

// commitRefutation clears a part, unless it has been cleared meanwhile.
func (f *Forwarder) commitRefutation(id string, index uint64) {
	cleared := true
	f.opts.Replica.View(func(s *state.State) {
		rec := s.Suspects[state.PartKey(id)]
		cleared = rec.Part == nil || rec.Part.Cleared || index < rec.Part.RefutingIndex
	})
	if !cleared {
		f.commitSuspicion(state.Command{ClearSuspect: &state.ClearSuspect{Parts: []string{id}, SeenIndex: index}}, []string{id}, "cleared by an answer")
	}
}

// interruptedRequest is a request whose connection to a server broke before the server
// began to write the answer. A request whose answer had begun is no suspect: a harmful
// one crashes the server before.
type interruptedRequest struct {
	id, fingerprint string
	promptParts     []string
	// answered and accused are the prompt parts that are known to be harmless, and the
	// others.
	answered, accused []string
	trial             *state.Trial
}

// checkInterruption checks whether the server of an attempt whose connection broke has
// crashed. It waits for the record of a crash if a prompt part may have caused it,
// because a repetition before could crash another server.
func (c *call) checkInterruption(attempt routing.Attempt) {
	f := c.forwarder
	if c.attemptBegun {
		go f.checkCrash(attempt, nil)
		return
	}
	request := &interruptedRequest{id: c.request.ID, fingerprint: c.fingerprint, promptParts: c.request.PromptParts, trial: c.trial}
	records := f.view.Load().suspects
	f.mu.Lock()
	request.answered, request.accused = f.begun.Split(f.opts.Now(), request.promptParts, records.crashes)
	f.mu.Unlock()
	recorded := make(chan bool, 1)
	go func() { recorded <- f.checkCrash(attempt, request) }()
	if len(request.accused) == 0 {
		return
	}
	select {
	case ok := <-recorded:
		c.crashUnrecorded = !ok
	case <-time.After(maxRecordWait):
		c.crashUnrecorded = true
	}
}

// checkCrash connects to the server of an interrupted attempt. If the connection is
// refused, the process has ended, and checkCrash reports the end, with the request as a
// suspect if one is given. It returns false if that could not be recorded.
func (f *Forwarder) checkCrash(attempt routing.Attempt, request *interruptedRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := f.opts.Dial(ctx, "tcp", attempt.Address)
	if err == nil {
		_ = conn.Close()
		return true
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return f.reportProcessEnd(attempt, request)
	}
	return true
}

// reportProcessEnd reports to all hosts that a server process has ended, together
// with the request that may have crashed it, if any. An end without a request is
// reported only once after each announcement of the process. It returns false if the
// report could not be recorded.
func (f *Forwarder) reportProcessEnd(attempt routing.Attempt, request *interruptedRequest) bool {
	f.mu.Lock()
	f.router.MarkEnded(attempt)
	sequence, alreadyReported := f.markEndReported(attempt)
	f.mu.Unlock()
	end := state.Suspect{Server: attempt.Server, Incarnation: attempt.Incarnation, Sequence: sequence}
	fields := decision.Fields{decision.FieldServer: attempt.Server, decision.FieldOutcome: "recorded"}
	if request != nil {
		end.Fingerprints, end.Trial = []string{request.fingerprint}, request.trial
		end.Answered, end.Parts = request.answered, request.accused
		fields[decision.FieldRequest], fields[decision.FieldFingerprint] = request.id, request.fingerprint
		fields[decision.FieldPromptParts], fields[decision.FieldAccused] = strings.Join(request.promptParts, " "), strings.Join(end.Parts, " ")
		fields[decision.FieldTrial] = request.trial != nil
	}
	if alreadyReported && request == nil {
		return true
	}
	proposedAt := f.opts.Now()
	err := f.recordEnd(end)
	if err != nil {
		fields[decision.FieldOutcome] = "not recorded: " + err.Error()
	}
	fields[decision.FieldTookMS] = (f.opts.Now() - proposedAt).Milliseconds()
	f.opts.Decisions.RecordStateChange(decision.EventSuspect, fields)
	return err == nil
}

// crashes returns what is recorded of the crashes with a prompt part.
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
