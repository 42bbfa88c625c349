package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
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
	// learned is set once orders was taken from a report of an idle server.
	learned bool
	// unreachable is set while no connection is possible, until the server
	// announces itself again.
	unreachable bool
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
	// ends are the loads that have ended since the last step.
	ends []LoadEnd
}

// announced merges an announcement.
func (s *server) announced(now time.Duration, a Server) {
	if s.Incarnation == a.Incarnation && s.Sequence >= a.Sequence && s.announcedAt > 0 {
		s.Leaving, s.Silent = a.Leaving, a.Silent
		return
	}
	s.Server, s.announcedAt, s.unreachable = a, now, false
	s.mergeAnnounced(now, a.Models)
}

// mergeAnnounced compares an announcement with what is believed. Announcements
// may be old, so one that lacks something proves only that a report is needed,
// except for the end of an unload: a server that is still busy with it refuses
// other orders.
func (s *server) mergeAnnounced(now time.Duration, list []Held) {
	listed := map[string]Held{}
	for _, h := range list {
		listed[h.Model] = h
		if s.models[h.Model] == nil {
			s.models[h.Model] = newHolding(now, h)
		}
	}
	for name, h := range s.models {
		l, ok := listed[name]
		switch {
		case !ok && h.phase == Unloading:
			delete(s.models, name)
		case !ok && h.phase == Ready && now-h.since > staleAnnouncement:
			s.known = false
		case ok && h.phase == Loading:
			s.ends = append(s.ends, LoadEnd{Server: s.Name, Model: name, Took: now - h.since, Expected: h.readyAt - h.since})
			h.phase, h.since = Ready, now
		}
		if ok && h.lacksAdapter(now, l) {
			s.known = false
		}
	}
}

// newHolding returns a model that a server says it holds.
func newHolding(now time.Duration, l Held) *holding {
	h := &holding{phase: Ready, since: now, adapters: map[string]*adapter{}}
	for _, name := range l.Adapters {
		h.adapters[name] = &adapter{phase: Ready, since: now, used: now}
	}
	return h
}

// lacksAdapter adds the adapters that a server lists and reports whether one
// that is believed to be there is missing.
func (h *holding) lacksAdapter(now time.Duration, l Held) bool {
	for _, name := range l.Adapters {
		if h.adapters[name] == nil {
			h.adapters[name] = &adapter{phase: Ready, since: now, used: now}
		}
	}
	for name, a := range h.adapters {
		if !slices.Contains(l.Adapters, name) && now-a.since > staleAnnouncement {
			return true
		}
	}
	return false
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

// orderable reports whether an order may be sent now: what the server holds
// after the orders that it has accepted is known exactly.
func (s *server) orderable() bool {
	return s.known && s.flying == nil && !s.Leaving && !s.Silent && !s.fenced && !s.unreachable
}

// used returns the memory that the server's models and adapters take, with
// everything that an unanswered order may still bring.
func (s *server) used(e modelSource) float64 {
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
func (s *server) ended(now time.Duration, o Order, r Result, e modelSource) {
	s.flying, s.endedAt = nil, now
	switch r {
	case Accepted:
		s.orders, s.uncertain = o.Expected+1, nil
		s.apply(now, o, e)
	case Fulfilled:
		s.fulfilled(o)
	case Conflict, Rejected:
		s.known = false
	case Fenced:
		s.fenced = true
	case NotSent:
		s.unreachable = true
	case Unanswered:
		s.known, s.uncertain = false, &o
	}
}

// fulfilled applies the answer that an order changes nothing, or that an
// adapter without requests was unloaded at once, which counts as an order.
func (s *server) fulfilled(o Order) {
	h := s.models[o.Model]
	if o.Adapter == "" || o.Load || h == nil || h.adapters[o.Adapter] == nil {
		s.known = false
		return
	}
	delete(h.adapters, o.Adapter)
	s.orders, s.uncertain = o.Expected+1, nil
}

// apply records what an accepted order changes.
func (s *server) apply(now time.Duration, o Order, e modelSource) {
	h := s.models[o.Model]
	switch {
	case o.Adapter != "" && h == nil:
		s.known = false
	case o.Adapter != "" && o.Load:
		h.adapters[o.Adapter] = &adapter{phase: Ready, since: now, used: now, readyAt: now + adapterLoad}
	case o.Adapter != "":
		delete(h.adapters, o.Adapter)
	case o.Load:
		s.models[o.Model] = &holding{
			phase: Loading, since: now, readyAt: now + s.loadTime(e, o.Model), adapters: map[string]*adapter{},
		}
	case h != nil:
		h.phase, h.since = Unloading, now
	}
}

// Places of a model's weights, from the fastest on.
const (
	sourceMemory = "memory"
	sourceDisk   = "disk"
	sourceStore  = "store"
)

// source tells where the server has the weights of a model.
func (s *server) source(model string) string {
	switch {
	case slices.Contains(s.InMemory, model):
		return sourceMemory
	case slices.Contains(s.OnDisk, model):
		return sourceDisk
	}
	return sourceStore
}

// fromStore reports whether a load of the model uses the weight store.
func (s *server) fromStore(model string) bool { return s.source(model) == sourceStore }

// loadTime is the usual time of a load on this server.
func (s *server) loadTime(e modelSource, model string) time.Duration {
	m, _ := e.Model(model)
	switch s.source(model) {
	case sourceMemory:
		return m.MemoryLoad
	case sourceDisk:
		return m.DiskLoad
	}
	return m.StoreLoad
}

// needsReport tells whether only a report can show what the server holds.
func (s *server) needsReport(now time.Duration) bool {
	if s.inquired || s.flying != nil || s.Silent || s.Leaving || s.fenced || s.unreachable {
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

// reported applies a report. It is exact for the number of orders that it
// names, unless an order is under way that this leader did not give.
func (s *server) reported(now time.Duration, r Report, e modelSource) {
	s.inquired = false
	if s.flying != nil {
		return
	}
	if u := s.uncertain; u != nil && r.Orders > u.Expected {
		s.uncertain = nil
		if r.Busy && !s.known && r.Orders == u.Expected+1 {
			s.orders, s.known = r.Orders, true
			s.apply(now, *u, e)
			return
		}
	}
	if r.Busy {
		s.known = s.known || s.learned && r.Orders == s.orders
		return
	}
	s.orders, s.known, s.learned = r.Orders, true, true
	s.replace(now, r)
}

// replace takes over what an idle server reports. Times of use are kept.
func (s *server) replace(now time.Duration, r Report) {
	old := s.models
	s.models = map[string]*holding{}
	for _, l := range r.Models {
		h := newHolding(now, l)
		if before := old[l.Model]; before != nil && before.phase == Ready {
			h.since = before.since
			for name, a := range h.adapters {
				if b := before.adapters[name]; b != nil {
					*a = *b
				}
			}
		}
		s.models[l.Model] = h
	}
	for _, t := range r.Incoming {
		if h := s.models[t.Model]; h != nil && h.adapters[t.Adapter] == nil {
			h.adapters[t.Adapter] = &adapter{phase: Ready, since: now, used: now, readyAt: now + adapterLoad}
		}
	}
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
