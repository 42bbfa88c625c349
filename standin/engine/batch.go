package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/node/backend"
)

// job is one admitted request. It continues without a reader for ResumeGrace, so that
// a reader can resume it.
type job struct {
	execution *Execution
	request   completionRequest
	// tokens is the number of tokens of the complete answer.
	tokens int
	// priority is lower for more urgent requests.
	priority int
	// produced is the number of tokens produced so far.
	produced int
	readers  int
	// readerLeftAt is the time when a reader last left.
	readerLeftAt time.Time
	ended        bool
	// changed is closed and replaced when produced or ended changes.
	changed chan struct{}
}

// notifyReaders wakes the readers that wait for progress.
func (j *job) notifyReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// runBatches runs the continuous batching loop until the engine ends.
func (e *Engine) runBatches() {
	defer e.batchLoop.Done()
	for {
		if !e.fillBatch() {
			select {
			case <-e.stopped:
				return
			case <-e.wake:
			}
			continue
		}
		if e.opts.TokenTime > 0 && !e.waitStep() {
			return
		}
		if e.runStep() {
			// Close waits until this loop returns, so another goroutine calls Close.
			go func() { _ = e.Close() }()
			<-e.stopped
			return
		}
	}
}

// waitStep waits for the duration of a batch step and reports whether the process
// still runs.
func (e *Engine) waitStep() bool {
	timer := time.NewTimer(e.opts.TokenTime)
	defer timer.Stop()
	select {
	case <-e.stopped:
		return false
	case <-timer.C:
		return true
	}
}

// fillBatch moves waiting requests into the batch, most urgent first, and reports
// whether the batch holds any request.
func (e *Engine) fillBatch() bool {
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

// runStep produces one token for each running request and reports whether one of
// them crashes the process.
func (e *Engine) runStep() (crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	others := len(e.active) - 1
	for _, j := range e.active {
		e.opts.Journal.recordConcurrent(j.execution, others)
		j.produced++
		crash = crash || e.opts.CrashOnPrompt != "" && strings.Contains(j.execution.Prompt, e.opts.CrashOnPrompt)
	}
	if crash {
		return true
	}
	for _, j := range slices.Clone(e.active) {
		switch {
		case j.produced >= j.tokens:
			e.finish(j, EndComplete)
			e.cachePrefix(backend.PrefixHash(j.request.Model, j.request.Messages[0].Content))
		case j.readers == 0 && time.Since(j.readerLeftAt) > e.opts.ResumeGrace:
			e.finish(j, EndCancelled)
		default:
			j.notifyReaders()
		}
	}
	return false
}

// finish ends a job, and removes it from e.jobs after ResumeGrace. Until then a reader
// can resume it. The caller holds e.mu.
func (e *Engine) finish(j *job, end End) {
	if j.ended {
		return
	}
	j.ended = true
	e.active = slices.DeleteFunc(e.active, func(x *job) bool { return x == j })
	e.queue = slices.DeleteFunc(e.queue, func(x *job) bool { return x == j })
	e.opts.Journal.end(j.execution, end)
	j.notifyReaders()
	attempt := j.execution.Attempt
	time.AfterFunc(e.opts.ResumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.jobs, attempt)
	})
}

// prefixCache is the prefix cache and the events that are not yet reported.
type prefixCache struct {
	prefixes []uint64
	// reported is the number of events that were reported.
	reported uint64
	pending  []backend.CacheEvent
}

// maxCachedPrefixes limits the size of the prefix cache.
const maxCachedPrefixes = 64

// cachePrefix adds a prefix to the cache and evicts the oldest prefix if the cache is
// full. It does nothing if there is no host to report to. The caller holds e.mu.
func (e *Engine) cachePrefix(prefix uint64) {
	c := &e.cache
	if prefix == 0 || len(e.opts.Hosts) == 0 || slices.Contains(c.prefixes, prefix) {
		return
	}
	c.prefixes = append(c.prefixes, prefix)
	c.pending = append(c.pending, backend.CacheEvent{Prefix: prefix})
	if len(c.prefixes) > maxCachedPrefixes {
		c.pending = append(c.pending, backend.CacheEvent{Prefix: c.prefixes[0], Evicted: true})
		c.prefixes = c.prefixes[1:]
	}
}

// takeCacheReport returns a report of the pending cache events and clears them. It
// returns false if there are none.
func (e *Engine) takeCacheReport() (backend.CacheReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.cache
	if len(c.pending) == 0 {
		return backend.CacheReport{}, false
	}
	r := backend.CacheReport{Server: e.opts.Name, Incarnation: e.opts.Incarnation, FirstEventNumber: c.reported + 1, Events: c.pending}
	c.reported += uint64(len(c.pending))
	c.pending = nil
	return r, true
}
