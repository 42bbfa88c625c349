package forward

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"time"

	"github.com/pollenwheel/pollenwheel/core/exchange"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/routing"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/core/waitpolicy"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// suspectTimeout is the maximum time for committing a suspect record.
const suspectTimeout = 3 * time.Second

// randomFraction returns a random number in [0, 1).
func (f *Forwarder) randomFraction() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// recordArrival counts a request in the demand for its target and in the retry
// budget of its service.
func (f *Forwarder) recordArrival(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budgetFor(c.key.Service).RecordRequest(f.opts.Now())
	if c.key.Model != "" {
		d := f.demandFor(residency.Target{Model: c.key.Model, Adapter: c.key.Adapter})
		d.arrivals++
		d.lastArrival = f.opts.Now()
	}
}

// allowRetry reports whether the service's budget permits one more attempt, and
// charges it to the budget if so.
func (f *Forwarder) allowRetry(service string) bool {
	hosts := f.opts.HostCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budgetFor(service).TakeRetry(f.opts.Now(), hosts)
}

// beginWait adds a waiting request to the demand for its target and triggers a
// demand report to the leader without delay.
func (f *Forwarder) beginWait(target residency.Target, c *call) {
	if target.Model == "" {
		return
	}
	giveUpAt := c.deadline
	if r := c.waitRequest(); r.WaitLimit > 0 {
		giveUpAt = min(giveUpAt, r.Arrived+r.WaitLimit)
	}
	f.mu.Lock()
	d := f.demandFor(target)
	d.waiting++
	d.giveUpAt[c] = giveUpAt
	f.mu.Unlock()
	f.opts.DemandChanged()
}

// endWait removes a request that no longer waits from the demand for its target.
func (f *Forwarder) endWait(target residency.Target, c *call) {
	if target.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.demandFor(target)
	d.waiting--
	delete(d.giveUpAt, c)
}

// recordRefusal records that a caller was refused because no server holds the
// target, and was asked to retry after retryAfter.
func (f *Forwarder) recordRefusal(target residency.Target, retryAfter time.Duration) {
	if target.Model == "" {
		return
	}
	f.mu.Lock()
	if d := f.demandFor(target); len(d.retryAt) < maxRefusedCallers {
		d.retryAt = append(d.retryAt, f.opts.Now()+retryAfter)
	}
	f.mu.Unlock()
	f.opts.DemandChanged()
}

// pickServer selects a server for a request. If there is none, it returns a
// forecast and a channel that is closed when the router has been rebuilt. A nil
// channel means that waiting cannot help.
func (f *Forwarder) pickServer(c *call) (attempt routing.Attempt, rebuilt <-chan struct{}, forecast waitpolicy.Forecast, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	q := routing.Query{Key: c.key, Prefix: c.request.Prefix, Exclude: c.avoidServer}
	if attempt, ok = f.router.Pick(now, q); ok {
		return attempt, nil, forecast, true
	}
	if c.avoidServer != "" && !c.mustAvoid {
		q.Exclude = ""
		if attempt, ok = f.router.Pick(now, q); ok {
			return attempt, nil, forecast, true
		}
	}
	if c.mustAvoid && f.router.AvailableServers(c.key) > 0 {
		// Only the server that has just refused the request holds the target.
		return attempt, nil, forecast, false
	}
	return attempt, f.rebuilt, f.forecaster.forecast(c.key), false
}

func (f *Forwarder) recordAttemptStart(target residency.Target, server string) {
	if target.Model == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demandFor(target).attemptStarted(server)
}

// recordAnswerStart reports to the router that a server has begun to answer.
func (f *Forwarder) recordAnswerStart(attempt routing.Attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.RecordAnswer(f.opts.Now(), attempt)
}

// recordAttemptEnd records the end of an attempt. A cancelled attempt is not
// evidence that its server failed.
func (f *Forwarder) recordAttemptEnd(target residency.Target, attempt routing.Attempt, out attemptResult, cancelled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target.Model != "" {
		f.demandFor(target).attemptEnded(attempt.Server)
	}
	now := f.opts.Now()
	result := routing.Neutral
	switch out.outcome {
	case exchange.Complete:
		result = routing.Success
	case exchange.NotSent, exchange.Misdirected:
		if !cancelled {
			f.router.MarkEnded(attempt)
		}
	case exchange.Lost, exchange.Cut:
		if !cancelled {
			result = routing.Failure
		}
	case exchange.Failed:
		f.router.RecordFailedAnswer(now, attempt)
	}
	f.router.EndAttempt(now, attempt, result)
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

// interruptedRequest is a request whose connection to a server broke before the end of
// the answer.
type interruptedRequest struct {
	id, fingerprint string
	promptParts     []string
	// begun is set if the server had begun to write the answer.
	begun bool
}

// checkCrash connects to the server of an interrupted attempt. If the connection is
// refused, the process has ended, and checkCrash reports the end with the request as
// a suspect.
func (f *Forwarder) checkCrash(attempt routing.Attempt, request *interruptedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := f.opts.Dial(ctx, "tcp", attempt.Address)
	if err == nil {
		_ = conn.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.reportProcessEnd(attempt, request)
	}
}

// reportProcessEnd reports to all hosts that a server process has ended, together
// with the request that was in flight on it, if any. An end without a request is
// reported only once after each announcement of the process.
func (f *Forwarder) reportProcessEnd(attempt routing.Attempt, request *interruptedRequest) {
	f.mu.Lock()
	f.router.MarkEnded(attempt)
	sequence, alreadyReported := f.markEndReported(attempt)
	f.mu.Unlock()
	if alreadyReported && request == nil {
		return
	}
	end := state.Suspect{Server: attempt.Server, Incarnation: attempt.Incarnation, Sequence: sequence}
	fields := decision.Fields{decision.FieldServer: attempt.Server, decision.FieldOutcome: "recorded"}
	if request != nil {
		end.Fingerprints = []string{request.fingerprint}
		fields[decision.FieldRequest], fields[decision.FieldFingerprint] = request.id, request.fingerprint
		fields[decision.FieldPromptParts], fields[decision.FieldBegun] = strings.Join(request.promptParts, " "), request.begun
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	proposedAt := f.opts.Now()
	if _, err := f.opts.Log.Propose(ctx, state.Command{UnixMS: time.Now().UnixMilli(), Suspect: &end}); err != nil {
		fields[decision.FieldOutcome] = "not recorded: " + err.Error()
	}
	fields[decision.FieldTookMS] = (f.opts.Now() - proposedAt).Milliseconds()
	f.opts.Decisions.RecordStateChange(decision.EventSuspect, fields)
}
