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
	// is probed. Slow answers are not cut: only a server that does not answer
	// the probe either counts as stalled.
	stallAfter = time.Second
	// stallProbeTimeout bounds one such probe.
	stallProbeTimeout = time.Second
	// stallPause and maxStallPause bound the pauses between the probes of a
	// stalled server.
	stallPause    = 500 * time.Millisecond
	maxStallPause = 5 * time.Second
)

// errStalled cancels the attempts on a stalled server.
var errStalled = errors.New("the backend server does not answer")

// vital is the newest probe of a server process, shared by its attempts.
type vital struct {
	done chan struct{}
	// at is when the probe ended.
	at   time.Duration
	life backend.Life
}

// watch probes the server whenever the attempt makes no progress. If the server
// does not answer, it cancels the attempt, unless the call may run only once.
// The result ends the watch.
func (e *Entry) watch(ctx context.Context, q *call, f *flight, cancel context.CancelCauseFunc) (stop func()) {
	var ended atomic.Bool
	var timer *time.Timer
	check := func() {
		quiet := e.opts.Now() - time.Duration(f.progress.Load())
		if quiet >= stallAfter && e.vital(ctx, f) != backend.LifeRuns && q.idempotent && ctx.Err() == nil {
			cancel(errStalled)
			return
		}
		if !ended.Load() && ctx.Err() == nil {
			timer.Reset(stallAfter)
		}
	}
	f.progress.Store(int64(e.opts.Now()))
	ready := make(chan struct{})
	timer = time.AfterFunc(stallAfter, func() {
		<-ready
		check()
	})
	close(ready)
	return func() {
		ended.Store(true)
		timer.Stop()
	}
}

// vital probes the process of an attempt, unless another attempt is doing so
// or has just done so. A server that does not answer gets no new work until it
// does.
func (e *Entry) vital(ctx context.Context, f *flight) backend.Life {
	e.mu.Lock()
	v := e.vitals[f.process]
	if v == nil || v.at > 0 && e.opts.Now()-v.at >= stallAfter/2 {
		v = &vital{done: make(chan struct{})}
		e.vitals[f.process] = v
		e.active++
		go func() {
			defer e.end()
			e.measure(f.process, f.attempt.Address, v)
		}()
	}
	e.mu.Unlock()
	select {
	case <-v.done:
		return v.life
	case <-ctx.Done():
		return backend.LifeRuns
	}
}

func (e *Entry) measure(p process, address string, v *vital) {
	life := e.probeOnce(p, address)
	e.mu.Lock()
	v.life, v.at = life, e.opts.Now()
	e.mu.Unlock()
	close(v.done)
	if life == backend.LifeUnknown {
		e.stalled(p, address)
	}
}

func (e *Entry) probeOnce(p process, address string) backend.Life {
	ctx, cancel := context.WithTimeout(context.Background(), stallProbeTimeout)
	defer cancel()
	return e.opts.Client.Probe(ctx, address, p.incarnation)
}

// stalled closes a server until it answers a probe or its process is replaced.
func (e *Entry) stalled(p process, address string) {
	if e.opts.off.stalls || !e.setStalled(p, true) {
		return
	}
	go func() {
		for pause := stallPause; e.known(p); pause = min(2*pause, maxStallPause) {
			select {
			case <-e.stopped:
				return
			case <-time.After(pause):
			}
			if e.probeOnce(p, address) == backend.LifeRuns {
				break
			}
		}
		e.setStalled(p, false)
	}()
}

// setStalled reports whether the state of the server has changed.
func (e *Entry) setStalled(p process, stalled bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !stalled {
		delete(e.vitals, p)
	}
	changed := e.router.SetStalled(p.server, p.incarnation, stalled)
	for _, qu := range e.queues {
		e.dispatch(qu)
	}
	return changed
}

// known reports whether a process is still the committed one of its server.
func (e *Entry) known(p process) bool {
	for _, s := range e.view.Load().servers {
		if s.Name == p.server {
			return s.Incarnation == p.incarnation
		}
	}
	return false
}
