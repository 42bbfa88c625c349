package residency

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReportAge is how old the content of a report may be. A report that is
	// requested within this time after the end of an order's transmission may not
	// include the order.
	maxReportAge = 400 * time.Millisecond
	// inquiryInterval is the minimum time between inquiries to one server.
	inquiryInterval = 500 * time.Millisecond
	// loadOverdueAfter is how long after its predicted end a load is verified by
	// an inquiry.
	loadOverdueAfter = 300 * time.Millisecond
	// maxAnnouncementAge is the greatest age of an announcement's content on
	// arrival. A model or adapter that changed within this time and is missing
	// in an announcement is not taken to be absent.
	maxAnnouncementAge = 2500 * time.Millisecond
	// adapterLoadTime is the time after which an adapter whose load was accepted is
	// loaded, also on a slow server and beside other adapter loads. A request that
	// arrives earlier is refused, while the wait is short against any objective.
	adapterLoadTime = 25 * time.Millisecond
)

// adapter is an adapter on a server.
type adapter struct {
	phase Phase
	// since is when the phase began; lastUsed is when a request last ran with
	// the adapter.
	since, lastUsed time.Duration
	readyAt         time.Duration
}

// holding is a model on a server.
type holding struct {
	phase    Phase
	since    time.Duration
	readyAt  time.Duration
	adapters map[string]*adapter
	// storeLoads is the number of loads from the weight store that were under way when
	// this one began, including it. It is zero for another kind of load.
	storeLoads int
}

// server holds what the leader knows of one server process.
type server struct {
	Server
	announcedAt time.Duration
	models      map[string]*holding
	// sizes holds, by model, the largest size that the configuration gave it while the
	// server held it or could still load it.
	sizes map[string]modelSize

	// acceptedOrders is the number of orders that the server has accepted. It
	// is valid if ordersKnown is set.
	acceptedOrders uint64
	ordersKnown    bool
	// ordersReported is set once acceptedOrders has been taken from a report
	// of an idle server.
	ordersReported bool
	// unreachable is set when no connection is possible, until the server
	// announces itself again.
	unreachable bool
	// unanswered is an order without an answer that may still be executed, or
	// nil. It is cleared by the next accepted order.
	unanswered *Order
	// inFlight is the order that waits for its answer, or nil.
	inFlight *Order
	// reservedModel is the model for which the server unloads others.
	reservedModel string
	reservedAt    time.Duration
	// transmissionEndedAt is when the latest transmission ended.
	transmissionEndedAt time.Duration
	// inquiryPending is set until the answer to an inquiry arrives;
	// inquirySentAt is when the inquiry was sent.
	inquiryPending bool
	inquirySentAt  time.Duration
	// fenced is set once the server has accepted an order of a later leader.
	fenced bool
	// loadEnds are the loads that have ended since the last step.
	loadEnds []LoadEnd
}

func newServer() *server {
	return &server{models: map[string]*holding{}, sizes: map[string]modelSize{}}
}

// applyAnnouncement merges an announcement. One that was merged before updates
// only Leaving, Silent and the limit.
func (s *server) applyAnnouncement(now time.Duration, a Server) {
	if s.Incarnation == a.Incarnation && s.Sequence >= a.Sequence && s.announcedAt > 0 {
		s.Leaving, s.Silent = a.Leaving, a.Silent
		s.Limited, s.RequestsPerSecond = a.Limited, a.RequestsPerSecond
		return
	}
	s.Server, s.announcedAt, s.unreachable = a, now, false
	s.mergeAnnouncedModels(now, a.Models)
}

// mergeAnnouncedModels compares the models of an announcement with the known
// ones. An announcement may be old, so a missing model or adapter only means
// that a report is needed. The exception is the end of an unload: a server that
// is still busy with it rejects other orders.
func (s *server) mergeAnnouncedModels(now time.Duration, list []HeldModel) {
	listed := map[string]HeldModel{}
	for _, h := range list {
		listed[h.Model] = h
		if s.models[h.Model] == nil {
			s.models[h.Model] = newHolding(now, h)
		}
	}
	for name, h := range s.models {
		announced, ok := listed[name]
		switch {
		case !ok && h.phase == Unloading:
			delete(s.models, name)
		case !ok && h.phase == Ready && now-h.since > maxAnnouncementAge:
			s.ordersKnown = false
		case ok && h.phase == Loading:
			s.loadEnds = append(s.loadEnds, s.loadEnd(now, name, h))
			// The load may have ended before its predicted end.
			h.phase, h.since, h.readyAt = Ready, now, now
		}
		if ok && h.mergeAdapters(now, announced) {
			s.ordersKnown = false
		}
	}
}

// loadEnd describes the load of a model that has ended.
func (s *server) loadEnd(now time.Duration, model string, h *holding) LoadEnd {
	return LoadEnd{
		Server: s.Name, Model: model, ActualDuration: now - h.since, ExpectedDuration: h.readyAt - h.since, StoreLoads: h.storeLoads,
	}
}

// newHolding returns a ready holding for a model that an announcement or a report
// lists.
func newHolding(now time.Duration, listed HeldModel) *holding {
	h := &holding{phase: Ready, since: now, adapters: map[string]*adapter{}}
	for _, name := range listed.Adapters {
		h.adapters[name] = &adapter{phase: Ready, since: now, lastUsed: now}
	}
	return h
}

// mergeAdapters adds the adapters of an announced model, removes those whose unload has
// ended, and reports whether another known adapter is missing.
func (h *holding) mergeAdapters(now time.Duration, announced HeldModel) bool {
	for _, name := range announced.Adapters {
		if h.adapters[name] == nil {
			h.adapters[name] = &adapter{phase: Ready, since: now, lastUsed: now}
		}
	}
	missing := false
	for name, a := range h.adapters {
		if slices.Contains(announced.Adapters, name) || now-a.since <= maxAnnouncementAge {
			continue
		}
		if a.phase == Unloading {
			delete(h.adapters, name)
			continue
		}
		missing = true
	}
	return missing
}

// modelOrderUnderWay reports whether an order for a model is under way.
func (s *server) modelOrderUnderWay() bool {
	for _, h := range s.models {
		if h.phase != Ready {
			return true
		}
	}
	return false
}

// acceptsOrders reports whether an order may be sent now: the server is
// available, no order waits for its answer, and what the server holds after the
// orders that it has accepted is known exactly.
func (s *server) acceptsOrders() bool {
	return s.ordersKnown && s.inFlight == nil && !s.Leaving && !s.Silent && !s.fenced && !s.unreachable
}

// applyResult applies the result of a transmission. loadTime is the expected duration
// of an ordered model load, and storeLoads the number of loads from the store that are
// under way with it, if it is one.
func (s *server) applyResult(now time.Duration, o Order, r Result, loadTime time.Duration, storeLoads int) {
	s.inFlight, s.transmissionEndedAt = nil, now
	switch r {
	case Accepted:
		s.acceptedOrders, s.unanswered = o.ExpectedOrders+1, nil
		s.applyAccepted(now, o, loadTime, storeLoads)
	case Fulfilled:
		s.applyFulfilled(o)
	case Conflict, Rejected:
		s.ordersKnown = false
	case Fenced:
		s.fenced = true
	case NotSent:
		s.unreachable = true
	case Unanswered:
		s.ordersKnown, s.unanswered = false, &o
	}
}

// applyFulfilled applies the answer that an order changes nothing, or that an
// adapter without requests was unloaded at once, which counts as an accepted
// order.
func (s *server) applyFulfilled(o Order) {
	h := s.models[o.Model]
	if o.Adapter == "" || o.Load || h == nil || h.adapters[o.Adapter] == nil {
		s.ordersKnown = false
		return
	}
	delete(h.adapters, o.Adapter)
	s.acceptedOrders, s.unanswered = o.ExpectedOrders+1, nil
}

// applyAccepted records what an accepted order changes.
func (s *server) applyAccepted(now time.Duration, o Order, loadTime time.Duration, storeLoads int) {
	h := s.models[o.Model]
	switch {
	case o.Adapter != "" && h == nil:
		s.ordersKnown = false
	case o.Adapter != "" && o.Load:
		h.adapters[o.Adapter] = &adapter{phase: Ready, since: now, lastUsed: now, readyAt: now + adapterLoadTime}
	case o.Adapter != "":
		// The unload waits for the requests that use the adapter. Until it has ended, the
		// adapter takes its slot and its memory.
		if a := h.adapters[o.Adapter]; a != nil {
			a.phase, a.since = Unloading, now
		}
	case o.Load:
		s.models[o.Model] = &holding{
			phase: Loading, since: now, readyAt: now + loadTime, adapters: map[string]*adapter{}, storeLoads: storeLoads,
		}
	case h != nil:
		h.phase, h.since = Unloading, now
	}
}

// Places of a model's weights, fastest first.
const (
	sourceMemory = "memory"
	sourceDisk   = "disk"
	sourceStore  = "store"
)

// source returns the fastest place where the server has the weights of a model.
func (s *server) source(model string) string {
	switch {
	case slices.Contains(s.InMemory, model):
		return sourceMemory
	case slices.Contains(s.OnDisk, model):
		return sourceDisk
	}
	return sourceStore
}

// loadsFromStore reports whether a load of the model uses the weight store.
func (s *server) loadsFromStore(model string) bool { return s.source(model) == sourceStore }

// loadTime returns the usual duration of a load on this server.
func (s *server) loadTime(models modelLookup, model string) time.Duration {
	m, _ := models.Model(model)
	switch s.source(model) {
	case sourceMemory:
		return m.MemoryLoad
	case sourceDisk:
		return m.DiskLoad
	}
	return m.StoreLoad
}

// needsReport reports whether an inquiry is needed to determine what the server
// holds.
func (s *server) needsReport(now time.Duration) bool {
	if s.inquiryPending || s.inFlight != nil || s.Silent || s.Leaving || s.fenced || s.unreachable {
		return false
	}
	if now-s.inquirySentAt < inquiryInterval && s.inquirySentAt > 0 {
		return false
	}
	if !s.ordersKnown {
		return s.transmissionEndedAt == 0 || now-s.transmissionEndedAt >= maxReportAge
	}
	for _, h := range s.models {
		if h.phase == Loading && now > h.readyAt+loadOverdueAfter {
			return true
		}
		if h.phase == Unloading && now-h.since > unloadOverdueAfter {
			return true
		}
	}
	return false
}

// unloadOverdueAfter is how long an unload may take before an inquiry verifies
// it. An unload waits for running requests, and its end is announced.
const unloadOverdueAfter = 3 * time.Second

// applyReport applies a report. The report is exact for the number of orders
// that it names, unless an order that this leader did not send is under way.
func (s *server) applyReport(now time.Duration, r Report, models modelLookup) {
	s.inquiryPending = false
	if s.inFlight != nil {
		return
	}
	if order := s.unanswered; order != nil && r.AcceptedOrders > order.ExpectedOrders {
		s.unanswered = nil
		if r.Busy && !s.ordersKnown && r.AcceptedOrders == order.ExpectedOrders+1 {
			s.acceptedOrders, s.ordersKnown = r.AcceptedOrders, true
			// When the load began is not known, so nothing is learned from its end.
			s.applyAccepted(now, *order, s.loadTime(models, order.Model), 0)
			return
		}
	}
	if r.Busy {
		s.ordersKnown = s.ordersKnown || s.ordersReported && r.AcceptedOrders == s.acceptedOrders
		return
	}
	s.acceptedOrders, s.ordersKnown, s.ordersReported = r.AcceptedOrders, true, true
	s.replaceModels(now, r)
}

// replaceModels replaces the known models by those that an idle server reports.
// A model that was ready before keeps its start time, and its adapters the times
// of their last use.
func (s *server) replaceModels(now time.Duration, r Report) {
	old := s.models
	s.models = map[string]*holding{}
	for _, reported := range r.Models {
		h := newHolding(now, reported)
		if before := old[reported.Model]; before != nil && before.phase == Ready {
			h.since = before.since
			for name, a := range h.adapters {
				if b := before.adapters[name]; b != nil {
					*a = *b
				}
			}
		} else if before != nil && before.phase == Loading {
			end := s.loadEnd(now, reported.Model, before)
			// The load may have ended long before the report.
			end.StoreLoads = 0
			s.loadEnds = append(s.loadEnds, end)
		}
		s.models[reported.Model] = h
	}
	for _, t := range r.LoadingAdapters {
		if h := s.models[t.Model]; h != nil && h.adapters[t.Adapter] == nil {
			h.adapters[t.Adapter] = &adapter{phase: Ready, since: now, lastUsed: now, readyAt: now + adapterLoadTime}
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
