package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenwheel/pollenwheel/core/route"
)

const (
	// reportLag is how old a report may be. A report that was asked for earlier
	// than this after an order's end may not show the order.
	reportLag = 400 * time.Millisecond
	// inquiryInterval separates inquiries to one server.
	inquiryInterval = 500 * time.Millisecond
	// overdue is how long after its predicted end an order for a model is asked
	// about.
	overdue = 300 * time.Millisecond
	// staleAnnouncement is how much older than its arrival an announcement may
	// be. Within it, an announcement is not taken as proof of absence.
	staleAnnouncement = 2500 * time.Millisecond
	// adapterLoad is the usual time of an adapter load with its round trip.
	adapterLoad = 8 * time.Millisecond
)

// adapter is an adapter on a server.
type adapter struct {
	phase Phase
	// since is when the phase began; used is when a request last ran with it.
	since, used time.Duration
	readyAt     time.Duration
}

// holding is a model on a server.
type holding struct {
	phase    Phase
	since    time.Duration
	readyAt  time.Duration
	adapters map[string]*adapter
}

// server is what the leader knows of one server process.
type server struct {
	Server
	announcedAt time.Duration
	models      map[string]*holding

	// orders is the number of accepted orders, if known.
	orders uint64
	known  bool
	// uncertain is set while an order without an answer may still be executed.
	// It is cleared by the next accepted order.
	uncertain *Order
	// flying is the order that waits for its answer.
	flying *Order
	// reserved is the model that the server was emptied for.
	reserved   string
	reservedAt time.Duration
	// endedAt is when the newest transmission ended.
	endedAt time.Duration
	// inquired is set while an inquiry is on its way; askedAt is when it was sent.
	inquired bool
	askedAt  time.Duration
	// fenced is set once the server has taken orders of a later leader.
	fenced bool
}

// announced merges an announcement. What it lists is there; what it does not
// list is gone if the announcement cannot be older than the change.
func (s *server) announced(now time.Duration, a Server) {
	if s.Incarnation == a.Incarnation && s.Sequence >= a.Sequence && s.announcedAt > 0 {
		s.Leaving, s.Silent = a.Leaving, a.Silent
		return
	}
	s.Server, s.announcedAt = a, now
	s.merge(now, a.Models, staleAnnouncement, nil)
}

// merge compares a list of the server with what is believed. Changes that are
// younger than lag may be missing in it.
func (s *server) merge(now time.Duration, list []Held, lag time.Duration, incoming []Target) {
	listed := map[string]Held{}
	for _, h := range list {
		listed[h.Model] = h
	}
	for name, h := range s.models {
		l, ok := listed[name]
		switch {
		case !ok && h.phase == Unloading:
			delete(s.models, name)
		case !ok && h.phase == Ready && now-h.since > lag:
			delete(s.models, name)
		case ok && h.phase == Loading:
			h.phase, h.since = Ready, now
		}
		if ok {
			h.mergeAdapters(now, l, lag, name, incoming)
		}
	}
	for name, l := range listed {
		if _, ok := s.models[name]; ok {
			continue
		}
		h := &holding{phase: Ready, since: now, adapters: map[string]*adapter{}}
		s.models[name] = h
		h.mergeAdapters(now, l, lag, name, incoming)
	}
}

func (h *holding) mergeAdapters(now time.Duration, l Held, lag time.Duration, model string, incoming []Target) {
	for name, a := range h.adapters {
		if !slices.Contains(l.Adapters, name) && now-a.since > lag {
			delete(h.adapters, name)
		}
	}
	for _, name := range l.Adapters {
		if h.adapters[name] == nil {
			h.adapters[name] = &adapter{phase: Ready, since: now, used: now}
		}
	}
	for _, t := range incoming {
		if t.Model == model && h.adapters[t.Adapter] == nil {
			h.adapters[t.Adapter] = &adapter{phase: Loading, since: now, used: now, readyAt: now + adapterLoad}
		}
	}
}

// working reports whether an order for a model is under way.
func (s *server) working() bool {
	for _, h := range s.models {
		if h.phase != Ready {
			return true
		}
	}
	return false
}

// orderable reports whether an order may be sent now. While an order without
// an answer may be executed, only a fresh report shows what is held.
func (s *server) orderable() bool {
	return s.known && s.flying == nil && !s.Leaving && !s.Silent && !s.fenced
}

// used returns the memory that the server's models and adapters take, with
// everything that an unanswered order may still bring.
func (s *server) used(e *route.Engine) float64 {
	total := 0.0
	for name, h := range s.models {
		m, _ := e.Model(name)
		total += m.MemoryMiB + float64(len(h.adapters))*m.AdapterMiB
	}
	if o := s.uncertain; o != nil && o.Load {
		m, _ := e.Model(o.Model)
		if o.Adapter != "" {
			total += m.AdapterMiB
		} else if s.models[o.Model] == nil {
			total += m.MemoryMiB
		}
	}
	return total
}

// adapterCount returns the adapter places that are taken.
func (s *server) adapterCount() int {
	n := 0
	for _, h := range s.models {
		n += len(h.adapters)
	}
	if o := s.uncertain; o != nil && o.Load && o.Adapter != "" {
		n++
	}
	return n
}

// ended applies the end of a transmission.
func (s *server) ended(now time.Duration, o Order, r Result, e *route.Engine) {
	s.flying, s.endedAt = nil, now
	switch r {
	case Accepted:
		s.orders, s.uncertain = o.Expected+1, nil
		s.apply(now, o, e)
	case Fulfilled:
		s.uncertain = nil
		if o.Adapter != "" && !o.Load {
			// An idle adapter is unloaded at once, which counts as an order.
			s.orders = o.Expected + 1
		}
		s.apply(now, o, e)
		if h := s.models[o.Model]; h != nil && o.Adapter == "" {
			h.phase, h.since = Ready, now
		}
	case Conflict:
		s.known = false
	case Fenced:
		s.fenced = true
	case Rejected:
		s.known = false
	case Unanswered:
		s.known, s.uncertain = false, &o
	}
}

// apply records what an accepted order changes.
func (s *server) apply(now time.Duration, o Order, e *route.Engine) {
	if o.Adapter != "" {
		h := s.models[o.Model]
		if h == nil {
			return
		}
		if !o.Load {
			delete(h.adapters, o.Adapter)
			return
		}
		h.adapters[o.Adapter] = &adapter{phase: Ready, since: now, used: now, readyAt: now + adapterLoad}
		return
	}
	if o.Load {
		s.models[o.Model] = &holding{
			phase: Loading, since: now, readyAt: now + s.loadTime(e, o.Model), adapters: map[string]*adapter{},
		}
		return
	}
	if h := s.models[o.Model]; h != nil {
		h.phase, h.since = Unloading, now
	}
}

// loadTime is the usual time of a load on this server.
func (s *server) loadTime(e *route.Engine, model string) time.Duration {
	m, _ := e.Model(model)
	switch {
	case slices.Contains(s.InMemory, model):
		return m.MemoryLoad
	case slices.Contains(s.OnDisk, model):
		return m.DiskLoad
	}
	return m.StoreLoad
}

// fromStore reports whether a load of the model uses the weight store.
func (s *server) fromStore(model string) bool {
	return !slices.Contains(s.InMemory, model) && !slices.Contains(s.OnDisk, model)
}

// needsReport tells whether only a report can show what the server holds.
func (s *server) needsReport(now time.Duration) bool {
	if s.inquired || s.flying != nil || s.Silent || s.Leaving || s.fenced {
		return false
	}
	if now-s.askedAt < inquiryInterval && s.askedAt > 0 {
		return false
	}
	if !s.known {
		return s.endedAt == 0 || now-s.endedAt >= reportLag
	}
	for _, h := range s.models {
		if h.phase == Loading && now > h.readyAt+overdue {
			return true
		}
		if h.phase == Unloading && now-h.since > unloadPatience {
			return true
		}
	}
	return false
}

// unloadPatience is how long an unload may take before it is asked about. An
// unload waits for the requests that run, and is announced when it ends.
const unloadPatience = 3 * time.Second

// reported applies a report that was asked for at askedAt.
func (s *server) reported(now time.Duration, r Report) {
	s.inquired = false
	if s.flying != nil {
		return
	}
	if !s.known {
		s.orders, s.known = r.Orders, true
		if s.uncertain != nil && r.Orders > s.uncertain.Expected {
			// The unanswered order, or another with its number, was executed.
			s.uncertain = nil
		}
	}
	if !r.Busy {
		for name, h := range s.models {
			listed := slices.ContainsFunc(r.Models, func(x Held) bool { return x.Model == name })
			if h.phase == Loading && !listed && now-h.since > reportLag {
				delete(s.models, name)
			}
			if h.phase == Unloading && listed && now-h.since > reportLag {
				h.phase, h.since = Ready, now
			}
		}
	}
	s.merge(now, r.Models, reportLag, r.Incoming)
}

func (s *server) holdings() ServerHoldings {
	out := ServerHoldings{Server: s.Name, Incarnation: s.Incarnation}
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		h := s.models[name]
		out.Holdings = append(out.Holdings, Holding{Target: Target{Model: name}, Phase: h.phase, ReadyAt: h.readyAt})
		for _, a := range slices.Sorted(maps.Keys(h.adapters)) {
			x := h.adapters[a]
			phase := x.phase
			if h.phase != Ready {
				phase = h.phase
			}
			out.Holdings = append(out.Holdings, Holding{Target: Target{name, a}, Phase: phase, ReadyAt: x.readyAt})
		}
	}
	slices.SortStableFunc(out.Holdings, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return out
}
