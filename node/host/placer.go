package host

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

const (
	// placeInterval is how often the leader plans without a cause.
	placeInterval = 50 * time.Millisecond
	// placePause bounds the plans a second while causes come in.
	placePause = 2 * time.Millisecond
	// placeRest is how many times as long as a plan took the leader rests after it.
	// Reports come in faster than a plan of hundreds of models and servers ends, and
	// the replicated log needs the processor.
	placeRest = 3
	// placeOrderTimeout bounds the wait for the answer to an order. An order is
	// answered at once; its work is done later.
	placeOrderTimeout = 500 * time.Millisecond
	// beginTimeout bounds the record of the beginning of the lead.
	beginTimeout = 2 * time.Second
	// releaseDelay is how long a new leader waits to hear from the earlier one.
	releaseDelay = 200 * time.Millisecond
	// holdingsInterval is the longest time without an update of the holdings.
	holdingsInterval = time.Second
)

// Engines gives orders to backend servers and asks for their reports.
type Engines interface {
	Order(ctx context.Context, o residency.Order) residency.Result
	Report(ctx context.Context, q residency.Inquiry) (residency.Report, error)
}

// placer runs the residency planner while this host leads.
type placer struct {
	host    *Routed
	engines Engines
	// orderDelay is how long a new leader waits before its first order, so that
	// two leaders never give orders within one lease.
	orderDelay time.Duration

	mu      sync.Mutex
	term    *planTerm
	reports map[string]peer.DemandReport
	wake    chan struct{}
}

// planTerm is the work of one term as the leader.
type planTerm struct {
	planner *residency.Planner
	fence   uint64
	since   time.Duration
	// before is the process that led before, and released is set once orders may
	// be given.
	before   state.Sender
	released bool
	// published are the holdings by server; changed is closed at their change.
	published map[string]residency.ServerHoldings
	changed   chan struct{}
	ended     chan struct{}
}

func newPlacer(h *Routed, e Engines, orderDelay time.Duration) *placer {
	return &placer{host: h, engines: e, orderDelay: orderDelay, reports: map[string]peer.DemandReport{}, wake: make(chan struct{}, 1)}
}

func (p *placer) kick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run starts a new plan each time the lease is gained.
func (p *placer) run(ctx context.Context) error {
	for {
		if p.host.group.CheckLease() {
			p.lead(ctx)
		}
		if !sleep(ctx, leaseInterval) {
			return nil
		}
	}
}

// lead plans until the lease is lost or the term changes.
func (p *placer) lead(ctx context.Context) {
	h := p.host
	before, err := p.begin(ctx)
	if err != nil {
		h.logger.WithError(err).Info("the beginning of the lead was not recorded")
		return
	}
	t := &planTerm{
		before:  before,
		planner: residency.New(), fence: h.group.Status().Term, since: h.now(),
		published: map[string]residency.ServerHoldings{}, changed: make(chan struct{}), ended: make(chan struct{}),
	}
	p.setTerm(t)
	h.decisions.RecordStateChange(decision.EventLeadership, decision.Fields{decision.FieldFence: t.fence, decision.FieldOutcome: "began"})
	defer func() {
		p.setTerm(nil)
		close(t.ended)
		h.decisions.RecordStateChange(decision.EventLeadership, decision.Fields{decision.FieldFence: t.fence, decision.FieldOutcome: "ended"})
	}()
	tick := time.NewTicker(placeInterval)
	defer tick.Stop()
	for h.group.CheckLease() && h.group.Status().Term == t.fence {
		changed := h.members.serversChanged()
		began := h.now()
		p.step(ctx, t)
		rest := max(placePause, placeRest*(h.now()-began))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-p.wake:
		case <-changed:
		}
		time.Sleep(rest)
	}
}

func (p *placer) setTerm(t *planTerm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = t
}

// step plans once and sends what is due.
func (p *placer) step(ctx context.Context, t *planTerm) {
	h := p.host
	in := residency.Input{Now: h.now(), Fence: t.fence, SuspendOrders: p.holds(t)}
	servers := membership.WithoutSuperseded(h.members.Servers())
	h.replica.View(func(s *state.State) {
		in.Services = servicesOf(s)
		servers = slices.DeleteFunc(servers, func(x membership.ServerStatus) bool {
			return s.HasEnded(x.Name, x.Incarnation, x.Sequence)
		})
	})
	in.Servers = residencyServers(servers)
	p.mu.Lock()
	in.Demand = p.demands(in.Now)
	out := t.planner.Step(in)
	t.publish(t.planner.Holdings())
	p.mu.Unlock()
	for _, e := range out.LoadEnds {
		h.decisions.RecordStateChange(decision.EventLoaded, decision.Fields{
			decision.FieldServer: e.Server, decision.FieldModel: e.Model, decision.FieldTookMS: e.ActualDuration.Milliseconds(),
			decision.FieldExpectedMS: e.ExpectedDuration.Milliseconds(),
		})
	}
	for _, o := range out.Orders {
		go p.order(ctx, t, o)
	}
	for _, q := range out.Inquiries {
		go p.inquire(ctx, t, q)
	}
}

// begin records that this process leads, and returns the one before.
func (p *placer) begin(ctx context.Context) (state.Sender, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	res, err := p.host.group.Propose(ctx, state.Command{RecordLeader: &state.RecordLeader{Sender: p.host.sender}})
	if err != nil {
		return state.Sender{}, err
	}
	return *res.PreviousLeader, nil
}

// holds reports whether this leader must not give orders yet.
func (p *placer) holds(t *planTerm) bool {
	if !t.released {
		since := p.host.now() - t.since
		t.released = mayOrder(since, p.orderDelay, t.before, p.host.sender, func() bool { return p.runs(t.before) })
	}
	return !t.released
}

// mayOrder reports whether a leader may give orders, a time after its lead began.
// An earlier leader that still runs and is connected may have given some within
// the lease, which lasts for delay. One that does not answer was cut off, frozen
// or stopped; servers refuse its fencing number from this leader's first order on.
func mayOrder(since, delay time.Duration, before, self state.Sender, runs func() bool) bool {
	if before.Host == "" || before == self || since >= delay {
		return true
	}
	return since >= releaseDelay && !runs()
}

// runs reports whether a process of another control host answers this leader.
func (p *placer) runs(x state.Sender) bool {
	if !slices.Contains(p.host.group.Status().Answering, x.Host) {
		return false
	}
	return !slices.ContainsFunc(p.host.members.hosts(), func(h membership.HostStatus) bool {
		return h.Name == x.Host && h.Incarnation != x.Incarnation
	})
}

// publish notes which servers' holdings have changed. The caller holds the lock.
func (t *planTerm) publish(list []residency.ServerHoldings) {
	next := make(map[string]residency.ServerHoldings, len(list))
	for _, s := range list {
		next[s.Server] = s
	}
	if reflect.DeepEqual(next, t.published) {
		return
	}
	t.published = next
	close(t.changed)
	t.changed = make(chan struct{})
}

// order sends one order. The lease is checked again right before.
func (p *placer) order(ctx context.Context, t *planTerm, o residency.Order) {
	ctx, cancel := context.WithTimeout(ctx, placeOrderTimeout)
	defer cancel()
	result := residency.NotSent
	if p.host.group.CheckLease() {
		result = p.engines.Order(ctx, o)
	}
	p.host.decisions.RecordStateChange(decision.EventOrder, orderFields(o, result))
	p.mu.Lock()
	t.planner.RecordResult(p.host.now(), o, result)
	p.mu.Unlock()
	p.kick()
}

func orderFields(o residency.Order, result residency.Result) decision.Fields {
	f := decision.Fields{
		decision.FieldServer: o.Server, decision.FieldModel: o.Model, decision.FieldAdapter: o.Adapter, decision.FieldFence: o.Fence,
		decision.FieldAction: orderName(o), decision.FieldOrder: o.ExpectedOrders, decision.FieldOutcome: result.String(),
	}
	if w := o.Reason; w.LoadModel != "" {
		f[decision.FieldForModel], f[decision.FieldSource] = w.LoadModel, w.Source
		f[decision.FieldGain], f[decision.FieldLoss] = w.Gain, w.Loss
		f[decision.FieldCopies], f[decision.FieldWaiting] = w.Copies, w.Waiting
	}
	return f
}

func orderName(o residency.Order) string {
	if o.Load {
		return "load"
	}
	return "unload"
}

func (p *placer) inquire(ctx context.Context, t *planTerm, q residency.Inquiry) {
	ctx, cancel := context.WithTimeout(ctx, placeOrderTimeout)
	defer cancel()
	report, err := p.engines.Report(ctx, q)
	f := decision.Fields{decision.FieldServer: q.Server, decision.FieldOrder: report.AcceptedOrders, decision.FieldOutcome: "received"}
	if err != nil {
		f[decision.FieldOutcome] = err.Error()
	}
	p.host.decisions.RecordStateChange(decision.EventReport, f)
	p.mu.Lock()
	t.planner.RecordReport(p.host.now(), q, report, err == nil)
	p.mu.Unlock()
	p.kick()
}

// demand takes the report of a host.
func (p *placer) demand(r peer.DemandReport) ([]peer.Prediction, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == nil {
		e := &control.NotLeaderError{}
		if p.host.group != nil {
			e.Leader = p.host.group.Status().Leader
		}
		return nil, e
	}
	r = r.At(p.host.now())
	if r.Incarnation >= p.reports[r.Host].Incarnation {
		p.reports[r.Host] = r
	}
	p.kick()
	return nil, nil
}

// demands lists the demand of the hosts that still report. The caller holds the
// lock.
func (p *placer) demands(now time.Duration) []residency.Demand {
	var out []residency.Demand
	for _, host := range slices.Sorted(maps.Keys(p.reports)) {
		r := p.reports[host]
		if now-r.Now > demandExpiry {
			delete(p.reports, host)
			continue
		}
		for _, d := range r.Demand {
			out = append(out, residency.Demand{
				Host: host, Target: residency.Target{Model: d.Model, Adapter: d.Adapter},
				Waiting: d.Waiting, Running: d.Running, Arrivals: d.Arrivals, RunningOn: d.RunningOn,
				EarliestExpiry: d.EarliestDeadline,
			})
		}
	}
	return out
}

// holdings sends what the servers hold, first all and then what changes, while
// this host leads.
func (p *placer) holdings(ctx context.Context, send func(peer.HoldingsUpdate) error) error {
	sent := map[string]residency.ServerHoldings{}
	whole := true
	for {
		p.mu.Lock()
		t := p.term
		if t == nil {
			p.mu.Unlock()
			return &control.NotLeaderError{}
		}
		current, changed := t.published, t.changed
		p.mu.Unlock()
		u := peer.HoldingsUpdate{Whole: whole}
		now := p.host.now()
		for _, name := range slices.Sorted(maps.Keys(current)) {
			if whole || !reflect.DeepEqual(sent[name], current[name]) {
				u.Servers = append(u.Servers, relativeHoldings(current[name], now))
			}
		}
		if err := send(u); err != nil {
			return err
		}
		sent, whole = current, false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.ended:
		case <-changed:
		case <-time.After(holdingsInterval):
		}
	}
}

// relativeHoldings counts times from now, since hosts share no clock.
func relativeHoldings(s residency.ServerHoldings, now time.Duration) residency.ServerHoldings {
	return shiftHoldings(s, -now)
}

func shiftHoldings(s residency.ServerHoldings, by time.Duration) residency.ServerHoldings {
	s.Holdings = slices.Clone(s.Holdings)
	for i := range s.Holdings {
		s.Holdings[i].ReadyAt += by
	}
	return s
}

// residencyServers translates the backend servers that are known.
func residencyServers(all []membership.ServerStatus) []residency.Server {
	out := make([]residency.Server, 0, len(all))
	for _, s := range all {
		x := residency.Server{
			Name: s.Name, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Incarnation: s.Incarnation,
			Sequence: s.Sequence, Leaving: s.Leaving, Silent: s.Silent,
		}
		for _, m := range s.Models {
			if m.Adapter == "" {
				x.Models = append(x.Models, residency.HeldModel{Model: m.Model, Adapters: adaptersOf(s.Models, m.Model)})
			}
		}
		for _, c := range s.Cached {
			switch c.Tier {
			case membership.TierMemory:
				x.InMemory = append(x.InMemory, c.Model)
			case membership.TierDisk:
				x.OnDisk = append(x.OnDisk, c.Model)
			}
		}
		out = append(out, x)
	}
	return out
}

func adaptersOf(list []membership.ModelReport, model string) []string {
	var out []string
	for _, m := range list {
		if m.Model == model && m.Adapter != "" {
			out = append(out, m.Adapter)
		}
	}
	return out
}

// servicesOf returns the services of the published table.
func servicesOf(s *state.State) []route.Service {
	if s.Published == nil {
		return nil
	}
	return s.Published.Table.Services
}
