package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/node/backend"
)

// job is one admitted request. It runs on without a reader, so that a reader
// may resume it.
type job struct {
	entry    *Execution
	request  completionRequest
	tokens   int
	priority int
	produced int
	readers  int
	// idle is when the last reader left.
	idle    time.Time
	over    bool
	changed chan struct{}
}

func (j *job) signal() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// batch runs the continuous batching loop.
func (e *Engine) batch() {
	defer e.loop.Done()
	for {
		if !e.fill() {
			select {
			case <-e.stopped:
				return
			case <-e.wake:
			}
			continue
		}
		if e.opts.TokenTime > 0 && !e.pause() {
			return
		}
		if e.step() {
			// Close waits for this loop, so the crash happens beside it.
			go func() { _ = e.Close() }()
			<-e.stopped
			return
		}
	}
}

func (e *Engine) pause() bool {
	timer := time.NewTimer(e.opts.TokenTime)
	defer timer.Stop()
	select {
	case <-e.stopped:
		return false
	case <-timer.C:
		return true
	}
}

// fill moves waiting requests into the batch, most urgent first, and reports
// whether the batch has any.
func (e *Engine) fill() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.queue) > 0 && len(e.active) < e.opts.MaxBatch {
		best := 0
		for i, j := range e.queue {
			if j.priority < e.queue[best].priority {
				best = i
			}
		}
		e.active = append(e.active, e.queue[best])
		e.queue = slices.Delete(e.queue, best, best+1)
	}
	return len(e.active) > 0
}

// step gives each running request a token and reports whether one of them
// crashes the process.
func (e *Engine) step() (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	beside := len(e.active) - 1
	for _, j := range e.active {
		e.opts.Journal.beside(j.entry, beside)
		j.produced++
		crash = crash || e.opts.CrashOn != "" && strings.Contains(j.entry.Prompt, e.opts.CrashOn)
	}
	if crash {
		return true
	}
	for _, j := range slices.Clone(e.active) {
		switch {
		case j.produced >= j.tokens:
			e.finish(j, EndComplete)
			e.cached(backend.Prefix(j.request.Model, j.request.Messages[0].Content))
		case j.readers == 0 && time.Since(j.idle) > e.opts.ResumeGrace:
			e.finish(j, EndCancelled)
		default:
			j.signal()
		}
	}
	return false
}

// finish ends a job. The caller holds the lock.
func (e *Engine) finish(j *job, end End) {
	if j.over {
		return
	}
	j.over = true
	e.active = slices.DeleteFunc(e.active, func(x *job) bool { return x == j })
	e.queue = slices.DeleteFunc(e.queue, func(x *job) bool { return x == j })
	e.opts.Journal.end(j.entry, end)
	j.signal()
	attempt := j.entry.Attempt
	time.AfterFunc(e.opts.ResumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.jobs, attempt)
	})
}

// cacheLog is the prefix cache and the events that are not yet reported.
type cacheLog struct {
	held    []uint64
	next    uint64
	pending []backend.CacheEvent
}

// cachedPrefixes bounds the stand-in's prefix cache.
const cachedPrefixes = 64

// cached brings a prefix into the cache. The caller holds the lock.
func (e *Engine) cached(prefix uint64) {
	c := &e.cache
	if prefix == 0 || len(e.opts.Hosts) == 0 || slices.Contains(c.held, prefix) {
		return
	}
	c.held = append(c.held, prefix)
	c.pending = append(c.pending, backend.CacheEvent{Prefix: prefix})
	if len(c.held) > cachedPrefixes {
		c.pending = append(c.pending, backend.CacheEvent{Prefix: c.held[0], Evicted: true})
		c.held = c.held[1:]
	}
}

func (e *Engine) cacheReport() (backend.CacheReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.cache
	if len(c.pending) == 0 {
		return backend.CacheReport{}, false
	}
	r := backend.CacheReport{Server: e.opts.Name, Incarnation: e.opts.Incarnation, First: c.next + 1, Events: c.pending}
	c.next += uint64(len(c.pending))
	c.pending = nil
	return r, true
}
