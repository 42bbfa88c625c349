package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/orders"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

const (
	// dispatchInterval is how often due orders are looked for without a change.
	dispatchInterval = 250 * time.Millisecond
	// dispatchPause bounds the steps a second while changes come in.
	dispatchPause = 5 * time.Millisecond
	// orderTimeout bounds the wait for a backend server's answer to an order.
	orderTimeout = 2 * time.Second
	// proposeTimeout bounds the wait for one command to be committed.
	proposeTimeout = 2 * time.Second
	// probeAfter is the silence after which a backend server's address is tried,
	// since a refused connection proves that its process has ended.
	probeAfter = 2 * membership.SilentAfter
)

// DispatcherSources gives the dispatcher its inputs.
type DispatcherSources struct {
	Servers func() []membership.ServerStatus
	Hosts   func() []membership.Host
	Demand  func() []placement.Demand
	Now     func() time.Duration
	// Changed returns a channel that is closed at the next change of servers.
	Changed func() <-chan struct{}
	// Leading is asked again immediately before each order is sent.
	Leading func() bool
}

// Dispatcher runs the executor of one control host for the life of the
// process: also a host that no longer leads must resolve its transmissions.
type Dispatcher struct {
	log     Log
	replica *replica.Replica
	client  *backend.Client
	sources DispatcherSources
	logger  *logrus.Entry
	// wake is signalled when a transmission ends.
	wake chan struct{}

	mu       sync.Mutex
	executor *orders.Executor
	// queues send the orders to one server in the order of their numbers.
	queues map[string][]orders.Order
	probed map[string]time.Duration
}

// NewDispatcher returns the dispatcher of the process that sender names.
func NewDispatcher(log Log, r *replica.Replica, client *backend.Client, src DispatcherSources, sender state.Sender, logger *logrus.Entry) *Dispatcher {
	return &Dispatcher{
		log: log, replica: r, client: client, sources: src, logger: logger, wake: make(chan struct{}, 1),
		executor: orders.New(sender), queues: map[string][]orders.Order{}, probed: map[string]time.Duration{},
	}
}

// Run dispatches until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	for {
		committed, announced := d.replica.Changed(), d.sources.Changed()
		d.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-committed:
		case <-announced:
		case <-d.wake:
		}
		time.Sleep(dispatchPause)
	}
}

func (d *Dispatcher) step(ctx context.Context) {
	in := orders.Input{
		Now: d.sources.Now(), State: d.replica.Snapshot(), Leading: d.sources.Leading(),
		Servers: d.sources.Servers(), Hosts: d.sources.Hosts(), HasRequests: busy(d.sources.Demand()),
	}
	d.mu.Lock()
	out := d.executor.Step(in)
	d.mu.Unlock()
	for _, o := range out.Orders {
		d.enqueue(ctx, o)
	}
	for _, c := range out.Commands {
		propose(ctx, d.log, c, d.logger)
	}
	if in.Leading {
		d.probeSilent(ctx, in)
	}
}

// busy tells which placements have requests in progress.
func busy(demand []placement.Demand) func(state.PlacementKey) bool {
	running := map[state.PlacementKey]bool{}
	for _, d := range demand {
		for server := range d.RunningOn {
			running[state.PlacementKey{Server: server, Model: d.Model, Adapter: d.Adapter}] = true
		}
	}
	return func(k state.PlacementKey) bool { return running[k] }
}

// enqueue adds an order to its server's queue and starts the queue's sender.
// Unloads and probes are repeated until they are settled, so one that still
// waits is not added again; otherwise the queue of a server that does not
// answer would grow.
func (d *Dispatcher) enqueue(ctx context.Context, o orders.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queues[o.Key.Server]
	if !o.Load && slices.ContainsFunc(queue, func(q orders.Order) bool { return sameRepeat(q, o) }) {
		return
	}
	d.queues[o.Key.Server] = append(queue, o)
	if len(queue) == 0 {
		go d.drain(ctx, o.Key.Server)
	}
}

func sameRepeat(a, b orders.Order) bool {
	return !a.Load && a.Probe == b.Probe && a.Key == b.Key
}

func (d *Dispatcher) drain(ctx context.Context, server string) {
	for {
		d.mu.Lock()
		queue := d.queues[server]
		d.mu.Unlock()
		d.transmit(ctx, queue[0])
		d.mu.Lock()
		rest := d.queues[server][1:]
		if len(rest) == 0 {
			delete(d.queues, server)
			d.mu.Unlock()
			return
		}
		d.queues[server] = rest
		d.mu.Unlock()
	}
}

func (d *Dispatcher) transmit(ctx context.Context, o orders.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if o.Probe {
		d.probe(ctx, o)
		return
	}
	if !d.sources.Leading() {
		d.ended(o, orders.NotSent, backend.OrderAnswer{})
		return
	}
	answer, err := d.client.Order(ctx, o.Address, wireOrder(o))
	if err == nil {
		d.ended(o, orders.Answered, answer)
		return
	}
	d.logger.WithError(err).WithField("server", o.Key.Server).Info("order got no answer")
	delivery := orders.MaybeSent
	var failed *backend.SendError
	if errors.As(err, &failed) && failed.Delivery != backend.MaybeSent {
		delivery = orders.NotSent
	}
	d.ended(o, delivery, backend.OrderAnswer{})
}

func (d *Dispatcher) ended(o orders.Order, delivery orders.Delivery, a backend.OrderAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.RecordDelivery(o, delivery, a.Incarnation, a.Sequence)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) probe(ctx context.Context, o orders.Order) {
	point, err := d.client.Point(ctx, o.Address)
	if err != nil {
		return
	}
	s := d.replica.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.RecordProbe(o, point.Incarnation, point.Sequence, s)
}

// probeSilent connects to servers that are silent. A refused connection proves
// that the process has ended, so its slots are free.
func (d *Dispatcher) probeSilent(ctx context.Context, in orders.Input) {
	for _, srv := range in.Servers {
		known := in.State.Servers[srv.Name]
		if known.Lost || known.Incarnation != srv.Incarnation || in.Now-srv.LastSeen < probeAfter {
			continue
		}
		if last, ok := d.probed[srv.Name]; ok && in.Now-last < probeAfter {
			continue
		}
		d.probed[srv.Name] = in.Now
		go d.probeEnded(ctx, srv.Server)
	}
}

func (d *Dispatcher) probeEnded(ctx context.Context, srv membership.Server) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := d.client.Point(ctx, srv.Address)
	var failed *backend.SendError
	if errors.As(err, &failed) && failed.Delivery == backend.ProcessEnded {
		d.logger.WithField("server", srv.Name).Info("backend server process has ended")
		propose(ctx, d.log, state.Command{MarkLost: &state.MarkLost{Server: srv.Name, Incarnation: srv.Incarnation}}, d.logger)
	}
}

func wireOrder(o orders.Order) backend.Order {
	return backend.Order{
		Kind: orderKind(o), Model: o.Key.Model, Adapter: o.Key.Adapter, Version: o.Version,
		Fence: o.Fence, Incarnation: o.Incarnation,
	}
}

func orderKind(o orders.Order) backend.OrderKind {
	switch {
	case o.Key.Adapter != "" && o.Load:
		return backend.LoadAdapter
	case o.Key.Adapter != "":
		return backend.UnloadAdapter
	case o.Load:
		return backend.LoadModel
	}
	return backend.UnloadModel
}

// propose commits a command whose loss is repaired by the next step.
func propose(ctx context.Context, log Log, c state.Command, logger *logrus.Entry) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c.UnixMS = time.Now().UnixMilli()
	res, err := log.Propose(ctx, c)
	if err == nil {
		err = res.Err()
	}
	if err != nil {
		logger.WithError(err).Debug("command was not applied")
	}
}
