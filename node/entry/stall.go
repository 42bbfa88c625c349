package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/node/backend"
)

const (
	// stallAfter is how long an attempt may make no progress before its server
	// is probed. Slow answers are not cancelled: a server counts as stalled only if
	// it does not answer the probe either.
	stallAfter = time.Second
	// stallProbeTimeout limits the duration of one probe of a server that may be
	// stalled.
	stallProbeTimeout = time.Second
	// stallPause is the first pause between the probes of a stalled server. It
	// doubles after each probe up to maxStallPause.
	stallPause    = 500 * time.Millisecond
	maxStallPause = 5 * time.Second
)

// errStalled cancels the attempts on a stalled server.
var errStalled = errors.New("the backend server does not answer probes")

// serverProbe is the latest probe of a server process. The attempts on that process share
// it.
type serverProbe struct {
	done chan struct{}
	// endedAt is when the probe ended, or zero while it runs.
	endedAt time.Duration
	result  backend.ProbeResult
}

// watchProgress probes the server whenever the attempt makes no progress for stallAfter.
// If the server does not answer, it cancels the attempt, unless the request may run only
// once. It returns a function that stops the watching.
func (e *Entry) watchProgress(ctx context.Context, req *request, attempt *serverAttempt, cancel context.CancelCauseFunc) (stop func()) {
	var stopped atomic.Bool
	var timer *time.Timer
	check := func() {
		sinceProgress := e.opts.Now() - time.Duration(attempt.lastProgress.Load())
		if sinceProgress >= stallAfter && e.sharedProbe(ctx, attempt) != backend.ProbeRunning && req.idempotent && ctx.Err() == nil {
			cancel(errStalled)
			return
		}
		if !stopped.Load() && ctx.Err() == nil {
			timer.Reset(stallAfter)
		}
	}
	attempt.lastProgress.Store(int64(e.opts.Now()))
	// check uses timer, so the timer's function must not call it before timer is set.
	ready := make(chan struct{})
	timer = time.AfterFunc(stallAfter, func() {
		<-ready
		check()
	})
	close(ready)
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}

// sharedProbe probes the process of an attempt, or uses the result of another attempt's
// probe that is running or has just ended. A server that does not answer is marked as
// stalled until it answers again.
func (e *Entry) sharedProbe(ctx context.Context, attempt *serverAttempt) backend.ProbeResult {
	e.mu.Lock()
	probe := e.probes[attempt.process]
	if probe == nil || probe.endedAt > 0 && e.opts.Now()-probe.endedAt >= stallAfter/2 {
		probe = &serverProbe{done: make(chan struct{})}
		e.probes[attempt.process] = probe
		e.active++
		go func() {
			defer e.removeActive()
			e.runProbe(attempt.process, attempt.routed.Address, probe)
		}()
	}
	e.mu.Unlock()
	select {
	case <-probe.done:
		return probe.result
	case <-ctx.Done():
		// The attempt has ended, so nothing is done about its server.
		return backend.ProbeRunning
	}
}

// runProbe probes a process and stores the result in probe. It marks the server as stalled
// if there is no answer.
func (e *Entry) runProbe(p process, address string, probe *serverProbe) {
	result := e.probeOnce(p, address)
	e.mu.Lock()
	probe.result, probe.endedAt = result, e.opts.Now()
	e.mu.Unlock()
	close(probe.done)
	if result == backend.ProbeUnknown {
		e.markStalled(p, address)
	}
}

func (e *Entry) probeOnce(p process, address string) backend.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), stallProbeTimeout)
	defer cancel()
	return e.opts.Client.Probe(ctx, address, p.incarnation)
}

// markStalled marks a server process as stalled, so that it receives no new attempts, until
// it answers a probe or is replaced.
func (e *Entry) markStalled(p process, address string) {
	if e.opts.disabled.stallProbes || !e.setStalled(p, true) {
		return
	}
	go func() {
		for pause := stallPause; e.isCurrent(p); pause = min(2*pause, maxStallPause) {
			select {
			case <-e.stopped:
				return
			case <-time.After(pause):
			}
			if e.probeOnce(p, address) == backend.ProbeRunning {
				break
			}
		}
		e.setStalled(p, false)
	}()
}

// setStalled records whether a server process is stalled, and reports whether that has
// changed.
func (e *Entry) setStalled(p process, stalled bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !stalled {
		delete(e.probes, p)
	}
	changed := e.router.SetStalled(p.server, p.incarnation, stalled)
	for _, queue := range e.queues {
		e.dispatch(queue)
	}
	return changed
}

// isCurrent reports whether a process has the committed incarnation of its server.
func (e *Entry) isCurrent(p process) bool {
	for _, s := range e.view.Load().servers {
		if s.Name == p.server {
			return s.Incarnation == p.incarnation
		}
	}
	return false
}
