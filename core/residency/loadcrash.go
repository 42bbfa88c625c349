package residency

import (
	"maps"
	"time"
)

const (
	// maxLoadCrashes is the number of server processes in a row that may end while they
	// load a model before the model is held back. Processes also end for other reasons,
	// rarely three times with a load of the same model under way.
	maxLoadCrashes = 3
	// firstLoadHold is how long a model is held back then. Each further process that ends
	// doubles it, up to maxLoadHold.
	firstLoadHold = 30 * time.Second
	maxLoadHold   = time.Hour
)

// loadCrashes counts the server processes that ended while they loaded a model since its
// last complete load.
type loadCrashes struct {
	count     int
	heldUntil time.Duration
}

// recordProcessEnd records that a server process has ended: the model that it was loading
// may have crashed it, for example because its weights are damaged.
func (p *Planner) recordProcessEnd(now time.Duration, s *server) {
	if s.Leaving {
		return
	}
	for model, h := range s.models {
		if h.phase != Loading {
			continue
		}
		c := p.loadCrashes[model]
		c.count++
		event := LoadCrash{Server: s.Name, Model: model, Ends: c.count}
		if excess := c.count - maxLoadCrashes; excess >= 0 {
			hold := maxLoadHold
			if excess < 16 {
				hold = min(maxLoadHold, firstLoadHold<<excess)
			}
			event.HeldFor, c.heldUntil = hold, now+hold
		}
		p.loadCrashes[model] = c
		p.newLoadCrashes = append(p.newLoadCrashes, event)
	}
}

// mayBeLoaded reports whether a model is not held back. From the second server on that
// ended during its load, it is loaded on one server at a time.
func (p *Planner) mayBeLoaded(now time.Duration, model string) bool {
	c, ok := p.loadCrashes[model]
	if !ok {
		return true
	}
	return now >= c.heldUntil && (c.count < maxLoadCrashes-1 || p.replicas(model).starting == 0)
}

// forgetLoadCrashes forgets the crashes of the models that a server has loaded and of those
// that are no longer offered.
func (p *Planner) forgetLoadCrashes(loaded []LoadEnd) {
	for _, e := range loaded {
		delete(p.loadCrashes, e.Model)
	}
	maps.DeleteFunc(p.loadCrashes, func(model string, _ loadCrashes) bool { return !p.isOffered(model) })
}
