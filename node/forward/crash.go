package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

const (
	// recordPeriod is how long a crash with accused parts is proposed again if the
	// log does not accept it, and recordPause the time between two proposals. It is
	// longer than most outages of the control hosts.
	recordPeriod = 30 * time.Second
	recordPause  = 100 * time.Millisecond
	// maxRecordWait is the maximum time that a request waits for the log, which is
	// longer than the election of a leader takes.
	maxRecordWait = time.Second
)

// interruptedRequest is a request whose connection to a server broke before the server
// began to write the answer. A request whose answer had begun is no suspect: a harmful
// one crashes the server before.
type interruptedRequest struct {
	id, fingerprint string
	parts           []string
	// answered and accused are the parts that are known to be harmless, and the others.
	answered, accused []string
	trial             *state.Trial
}

// checkInterruption checks whether the server of an attempt whose connection broke has
// crashed. It waits for the record of a crash if a part of the request may have caused it,
// because a repetition before could crash another server.
func (c *call) checkInterruption(attempt routing.Attempt) {
	f := c.forwarder
	if c.attemptBegun {
		go f.checkCrash(attempt, nil)
		return
	}
	request := &interruptedRequest{id: c.request.ID, fingerprint: c.fingerprint, parts: c.parts, trial: c.trial}
	records := f.view.Load().suspects
	f.mu.Lock()
	request.answered, request.accused = f.splitEvidence(c, records)
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
		fields[decision.FieldPromptParts], fields[decision.FieldAccused] = listParts(request.parts), listParts(end.Parts)
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

// markEndReported marks the end of a process as reported to the other hosts. It
// returns the sequence number of the process's newest announcement, and whether
// the end was already marked. f.mu must be held.
func (f *Forwarder) markEndReported(attempt routing.Attempt) (sequence uint64, alreadyReported bool) {
	sequence = max(1, f.sequences[attempt.Server])
	alreadyReported = f.reportedEnds[attempt.Server] == processEnd{attempt.Incarnation, sequence}
	if len(f.reportedEnds) > maxReportedEnds {
		clear(f.reportedEnds)
	}
	f.reportedEnds[attempt.Server] = processEnd{attempt.Incarnation, sequence}
	return sequence, alreadyReported
}

// maxReportedEnds is the size above which the record of reported process ends is
// cleared.
const maxReportedEnds = 1024

// processEnd identifies the end of a process after its announcement with the
// given sequence number.
type processEnd struct{ incarnation, sequence uint64 }
