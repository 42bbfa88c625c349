package host

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/origin"
	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

const (
	// planInterval is how often the leader plans when nothing changes.
	planInterval = 50 * time.Millisecond
	// minPlanPause is the shortest pause after a plan. It limits the rate of plans
	// while changes arrive.
	minPlanPause = 2 * time.Millisecond
	// planPauseRatio is the ratio of the pause after a plan to the duration of the
	// plan. With hundreds of models and servers, reports arrive faster than a plan
	// is computed, and the replicated log needs processor time as well.
	planPauseRatio = 3
	// serverCallTimeout bounds the wait for the answer to an order or to a request for
	// a report. A server answers an order at once and carries it out later.
	serverCallTimeout = 500 * time.Millisecond
	// recordLeaderTimeout bounds the wait until this host is recorded as the leader.
	recordLeaderTimeout = 2 * time.Second
	// previousLeaderTimeout is how long a new leader waits for an answer of the
	// previous one.
	previousLeaderTimeout = 200 * time.Millisecond
	// holdingsInterval is the longest time between two updates of a holdings stream.
	holdingsInterval = time.Second
)

// ServerClient sends orders to backend servers and requests their reports.
type ServerClient interface {
	// Order sends an order if mayStillSend returns true right before its first byte
	// is sent.
	Order(ctx context.Context, o residency.Order, mayStillSend func() bool) residency.Result
	Report(ctx context.Context, q residency.Inquiry) (residency.Report, error)
}

// placer runs the residency planner while this host leads.
type placer struct {
	host         *RoutedHost
	serverClient ServerClient
	// orderDelay is how long a new leader waits before its first order if the previous
	// leader may still be running, so that two leaders never send orders within one
	// lease.
	orderDelay time.Duration

	mu sync.Mutex
	// term is nil while this host does not lead.
	term    *leaderTerm
	reports map[string]peer.DemandReport
	wake    chan struct{}
	// holdingsStreams is the number of hosts to which holdings are streamed.
	holdingsStreams atomic.Int64
}

// leaderTerm is the state of one term in which this host leads.
type leaderTerm struct {
	planner   *residency.Planner
	registry  *origin.Registry
	fence     uint64
	startedAt time.Duration
	// previousLeader is the process of the previous leader. ordersAllowed is set
	// once orders may be sent.
	previousLeader state.HostProcess
	ordersAllowed  bool
	// holdings contains the newest holdings, by server name, and revision counts their changes.
	// changed is closed at their next change, and ended at the end of the term.
	holdings map[string]revisedHoldings
	revision uint64
	changed  chan struct{}
	ended    chan struct{}
}

func newPlacer(h *RoutedHost, serverClient ServerClient, orderDelay time.Duration) *placer {
	return &placer{host: h, serverClient: serverClient, orderDelay: orderDelay, reports: map[string]peer.DemandReport{}, wake: make(chan struct{}, 1)}
}

// triggerPlan triggers the next plan.
func (p *placer) triggerPlan() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run starts a new planner each time this host gains the lease.
func (p *placer) run(ctx context.Context) error {
	for {
		if p.host.group.CheckLease() {
			p.runTerm(ctx)
		}
		if !bootclock.Sleep(ctx, leaseCheckInterval) {
			return nil
		}
	}
}

// runTerm plans until the lease is lost, the term changes or ctx ends.
func (p *placer) runTerm(ctx context.Context) {
	h := p.host
	// The record must be of the same term: it shows that this host has applied every entry of
	// earlier leaders, on which the answers about origins of streams rely.
	term := h.group.Status().Term
	previousLeader, err := p.recordLeader(ctx)
	if err != nil {
		h.logger.WithError(err).Info("cannot record this host as the leader")
		return
	}
	if h.group.Status().Term != term {
		return
	}
	t := &leaderTerm{
		previousLeader: previousLeader,
		planner:        residency.New(), registry: origin.NewRegistry(), fence: term, startedAt: h.now(),
		holdings: map[string]revisedHoldings{}, changed: make(chan struct{}), ended: make(chan struct{}),
	}
	p.setTerm(t)
	h.decisions.RecordStateChange(decision.EventLeadership, decision.Fields{decision.FieldFence: t.fence, decision.FieldOutcome: "began"})
	defer func() {
		p.setTerm(nil)
		close(t.ended)
		h.decisions.RecordStateChange(decision.EventLeadership, decision.Fields{decision.FieldFence: t.fence, decision.FieldOutcome: "ended"})
	}()
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for h.group.CheckLease() && h.group.Status().Term == t.fence {
		changed := h.members.serversChanged()
		began := h.now()
		p.step(ctx, t)
		pause := max(minPlanPause, planPauseRatio*(h.now()-began))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-p.wake:
		case <-changed:
		}
		time.Sleep(pause)
	}
}

// setTerm stores the current term, or nil.
func (p *placer) setTerm(t *leaderTerm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = t
}

// step plans once and starts sending the due orders and requests for reports.
func (p *placer) step(ctx context.Context, t *leaderTerm) {
	h := p.host
	in := residency.Input{Now: h.now(), Fence: t.fence, SuspendOrders: p.ordersSuspended(t)}
	servers := h.members.Servers()
	h.replica.View(func(s *state.State) {
		in.Services = publishedServices(s)
		servers = membership.WithoutSuperseded(servers, func(service string) bool { return offered(s, service) })
		servers = slices.DeleteFunc(servers, func(x membership.ServerStatus) bool {
			return s.HasEnded(x.Name, x.Incarnation, x.Sequence)
		})
	})
	p.admitVersions(ctx, t, offeredServers(servers, in.Services))
	in.Servers = withLimits(residencyServers(servers), p.limits())
	p.mu.Lock()
	in.Demand = p.unexpiredDemand(in.Now)
	out := t.planner.Step(in)
	t.publishHoldings(t.planner.Holdings())
	p.mu.Unlock()
	for _, e := range out.LoadEnds {
		h.decisions.RecordStateChange(decision.EventLoaded, decision.Fields{
			decision.FieldServer: e.Server, decision.FieldModel: e.Model, decision.FieldTookMS: e.ActualDuration.Milliseconds(),
			decision.FieldExpectedMS: e.ExpectedDuration.Milliseconds(),
		})
	}
	for _, c := range out.LoadCrashes {
		h.decisions.RecordStateChange(decision.EventLoadCrashed, decision.Fields{
			decision.FieldServer: c.Server, decision.FieldModel: c.Model, decision.FieldEnds: c.Ends, decision.FieldHeldMS: c.HeldFor.Milliseconds(),
		})
	}
	for _, o := range out.Orders {
		go p.sendOrder(ctx, t, o)
	}
	for _, q := range out.Inquiries {
		go p.requestServerReport(ctx, t, q)
	}
}

// recordLeader records this process as the leader in the replicated state and
// returns the process of the previous leader.
func (p *placer) recordLeader(ctx context.Context) (state.HostProcess, error) {
	ctx, cancel := context.WithTimeout(ctx, recordLeaderTimeout)
	defer cancel()
	res, err := p.host.group.Propose(ctx, state.Command{RecordLeader: &state.RecordLeader{Sender: p.host.sender}})
	if err != nil {
		return state.HostProcess{}, err
	}
	return *res.PreviousLeader, nil
}

// ordersSuspended reports whether this leader must not send orders yet.
func (p *placer) ordersSuspended(t *leaderTerm) bool {
	if !t.ordersAllowed {
		since := p.host.now() - t.startedAt
		t.ordersAllowed = mayOrder(since, p.orderDelay, t.previousLeader, p.host.sender, func() bool { return p.stillRuns(t.previousLeader) })
	}
	return !t.ordersAllowed
}

// mayOrder reports whether a leader may send orders. since is the time from the
// start of its term. A previous leader that still runs and is connected may send
// orders until the end of its lease, which lasts for delay. One that does not answer
// is disconnected, suspended or stopped; servers refuse its fencing number after the
// first order of this leader.
func mayOrder(since, delay time.Duration, previousLeader, self state.HostProcess, stillRuns func() bool) bool {
	if previousLeader.Host == "" || previousLeader == self || since >= delay {
		return true
	}
	return since >= previousLeaderTimeout && !stillRuns()
}

// stillRuns reports whether the process x of another control host still runs,
// that is, whether its host answers this leader and no other process has replaced
// it there.
func (p *placer) stillRuns(x state.HostProcess) bool {
	if !slices.Contains(p.host.group.Status().ResponsiveHosts, x.Host) {
		return false
	}
	return !slices.ContainsFunc(p.host.members.hosts(), func(h membership.HostStatus) bool {
		return h.Name == x.Host && h.Incarnation != x.Incarnation
	})
}

// acceptDemandReport stores the demand report of a host. It returns
// *control.NotLeaderError if this host does not lead.
func (p *placer) acceptDemandReport(r peer.DemandReport) ([]peer.Prediction, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == nil {
		e := &control.NotLeaderError{}
		if p.host.group != nil {
			e.Leader = p.host.group.Status().Leader
		}
		return nil, e
	}
	r = r.RebaseTo(p.host.now())
	if r.Incarnation >= p.reports[r.Host].Incarnation {
		p.reports[r.Host] = r
	}
	p.triggerPlan()
	return nil, nil
}
