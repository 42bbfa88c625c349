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
	// dispatchInterval is how often the dispatcher looks for due orders when nothing
	// changes.
	dispatchInterval = 250 * time.Millisecond
	// dispatchPause is the pause after each step. It limits the rate of steps while
	// changes arrive.
	dispatchPause = 5 * time.Millisecond
	// orderTimeout bounds the wait for a backend server's answer to an order.
	orderTimeout = 2 * time.Second
	// proposeTimeout bounds the wait for one command to be committed.
	proposeTimeout = 2 * time.Second
	// processCheckAfter is how long a backend server must be silent before the
	// dispatcher connects to its address to check whether its process still runs. It
	// is also the time between two checks of one server.
	processCheckAfter = 2 * membership.SilentAfter
)

// DispatcherSources provides the inputs of the dispatcher.
type DispatcherSources struct {
	Servers func() []membership.ServerStatus
	Hosts   func() []membership.Host
	Demand  func() []placement.Demand
	Now     func() time.Duration
	// ServersChanged returns a channel that is closed at the next change of servers.
	ServersChanged func() <-chan struct{}
	// IsLeading reports whether this host leads. It is called again immediately before
	// each order is sent.
	IsLeading func() bool
}

// Dispatcher runs the order executor of one control host for the lifetime of the
// process, since a host that no longer leads must still resolve its transmissions.
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
	// queues holds the orders to be sent, by server. Each queue is sent in the order
	// of the fencing numbers.
	queues map[string][]orders.Order
	// lastProcessCheckAt is the time of the last check of each silent server's process.
	lastProcessCheckAt map[string]time.Duration
}

// NewDispatcher returns the dispatcher of the process identified by sender.
func NewDispatcher(log Log, r *replica.Replica, client *backend.Client, sources DispatcherSources, sender state.HostProcess, logger *logrus.Entry) *Dispatcher {
	return &Dispatcher{
		log: log, replica: r, client: client, sources: sources, logger: logger, wake: make(chan struct{}, 1),
		executor: orders.New(sender), queues: map[string][]orders.Order{}, lastProcessCheckAt: map[string]time.Duration{},
	}
}

// Run sends orders until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := time.NewTicker(dispatchInterval)
	defer tick.Stop()
	for {
		committed, announced := d.replica.Changed(), d.sources.ServersChanged()
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

// step runs the executor once and starts the work that it returns.
func (d *Dispatcher) step(ctx context.Context) {
	in := orders.Input{
		Now: d.sources.Now(), State: d.replica.Snapshot(), Leading: d.sources.IsLeading(),
		Servers: d.sources.Servers(), Hosts: d.sources.Hosts(), HasRequests: hasRequests(d.sources.Demand()),
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
		d.checkSilentServers(ctx, in)
	}
}

// hasRequests returns a function that reports whether a placement has requests in
// progress.
func hasRequests(demand []placement.Demand) func(state.PlacementKey) bool {
	running := map[state.PlacementKey]bool{}
	for _, d := range demand {
		for server := range d.RunningOn {
			running[state.PlacementKey{Server: server, Model: d.Model, Adapter: d.Adapter}] = true
		}
	}
	return func(k state.PlacementKey) bool { return running[k] }
}

// enqueue adds an order to its server's queue and starts sendQueue if the queue was
// empty. The executor repeats unloads and probes until their outcome is known. An
// unload or probe that is still queued is not added again; otherwise the queue of a
// server that does not answer would grow without limit.
func (d *Dispatcher) enqueue(ctx context.Context, o orders.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue := d.queues[o.Key.Server]
	if !o.Load && slices.ContainsFunc(queue, func(q orders.Order) bool { return sameRepeatedOrder(q, o) }) {
		return
	}
	d.queues[o.Key.Server] = append(queue, o)
	if len(queue) == 0 {
		go d.sendQueue(ctx, o.Key.Server)
	}
}

// sameRepeatedOrder reports whether a is an unload or probe that b repeats.
func sameRepeatedOrder(a, b orders.Order) bool {
	return !a.Load && a.Probe == b.Probe && a.Key == b.Key
}

// sendQueue sends the queued orders of a server until its queue is empty.
func (d *Dispatcher) sendQueue(ctx context.Context, server string) {
	for {
		d.mu.Lock()
		queue := d.queues[server]
		d.mu.Unlock()
		d.sendOrder(ctx, queue[0])
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

// sendOrder sends one order or probe and records its outcome.
func (d *Dispatcher) sendOrder(ctx context.Context, o orders.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if o.Probe {
		d.runProbe(ctx, o)
		return
	}
	if !d.sources.IsLeading() {
		d.recordDelivery(o, orders.NotSent, backend.OrderAnswer{})
		return
	}
	answer, err := d.client.Order(ctx, o.Address, wireOrder(o))
	if err == nil {
		d.recordDelivery(o, orders.Answered, answer)
		return
	}
	d.logger.WithError(err).WithField("server", o.Key.Server).Info("order to a backend server failed")
	delivery := orders.MaybeSent
	var sendErr *backend.SendError
	if errors.As(err, &sendErr) && sendErr.Delivery != backend.MaybeSent {
		delivery = orders.NotSent
	}
	d.recordDelivery(o, delivery, backend.OrderAnswer{})
}

// recordDelivery records the delivery of an order and wakes Run.
func (d *Dispatcher) recordDelivery(o orders.Order, delivery orders.Delivery, a backend.OrderAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.RecordDelivery(o, delivery, a.Incarnation, a.Sequence)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// runProbe queries a server's incarnation and sequence number for a probe.
func (d *Dispatcher) runProbe(ctx context.Context, o orders.Order) {
	point, err := d.client.AnnouncementPoint(ctx, o.Address)
	if err != nil {
		return
	}
	s := d.replica.Snapshot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.RecordProbe(o, point.Incarnation, point.Sequence, s)
}

// checkSilentServers starts checks of the processes of servers that have been silent
// for processCheckAfter. If a process has ended, its slots are free.
func (d *Dispatcher) checkSilentServers(ctx context.Context, in orders.Input) {
	for _, srv := range in.Servers {
		known := in.State.Servers[srv.Name]
		if known.Lost || known.Incarnation != srv.Incarnation || in.Now-srv.LastSeen < processCheckAfter {
			continue
		}
		if last, ok := d.lastProcessCheckAt[srv.Name]; ok && in.Now-last < processCheckAfter {
			continue
		}
		d.lastProcessCheckAt[srv.Name] = in.Now
		go d.checkProcessEnded(ctx, srv.Server)
	}
}

// checkProcessEnded connects to a silent server and marks it lost if it refuses the
// connection, which proves that its process has ended.
func (d *Dispatcher) checkProcessEnded(ctx context.Context, srv membership.Server) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := d.client.AnnouncementPoint(ctx, srv.Address)
	var sendErr *backend.SendError
	if errors.As(err, &sendErr) && sendErr.Delivery == backend.ConnectionRefused {
		d.logger.WithField("server", srv.Name).Info("backend server refused the connection; its process has ended")
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

// propose commits a command. A failure is only logged, since the next step
// proposes the command again if it is still needed.
func propose(ctx context.Context, log Log, c state.Command, logger *logrus.Entry) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c.UnixMS = time.Now().UnixMilli()
	res, err := log.Propose(ctx, c)
	if err == nil {
		err = res.Err()
	}
	if err != nil {
		logger.WithError(err).Debug("command was not committed or was rejected")
	}
}
