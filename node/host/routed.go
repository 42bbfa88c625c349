package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/account"
	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/connections"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/forward"
	"github.com/pollenwheel/pollenwheel/node/memory"
	"github.com/pollenwheel/pollenwheel/node/origins"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/permits"
	"github.com/pollenwheel/pollenwheel/node/quotas"
	"github.com/pollenwheel/pollenwheel/node/replica"
	"github.com/pollenwheel/pollenwheel/node/settings"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// RoutedHostOptions configure a RoutedHost.
type RoutedHostOptions struct {
	Settings settings.Settings
	// CallerListenAddress is the listen address for callers. It is empty on hosts that
	// serve none.
	CallerListenAddress string
	// OperatorListenAddress is the listen address for operators on the host's own machine,
	// which needs no key. It must be a loopback address, or empty for none.
	OperatorListenAddress string
	// Protocol parses and sets the headers of callers and backend servers.
	Protocol     forward.Protocol
	ServerClient ServerClient
	// RetryLimit limits the retries of failed attempts.
	RetryLimit retry.Limit
	// OrderDelay is how long a new leader waits before its first order if the previous
	// leader may still be running.
	OrderDelay time.Duration
	// ServeAfterLeave is how long a leaving host accepts connections, since callers keep
	// the address list. DepartureTimeout bounds the complete departure.
	ServeAfterLeave, DepartureTimeout time.Duration
	// AdmitAfterLeave is how long a leaving host admits requests, if that is shorter.
	// Later ones are refused, because long ones could not end before DepartureTimeout.
	AdmitAfterLeave time.Duration
	// MaxAccountsAge is how long this host may rely on the accounts that it knows without a word
	// of the leader that they are current. Zero means for any time.
	MaxAccountsAge time.Duration
	// QuotaTolerance is by how much the quotas of accounts may be exceeded.
	QuotaTolerance account.Tolerance
	// Handlers maps further listen addresses to the constructors of their handlers,
	// which receive the host.
	Handlers map[string]func(*RoutedHost) http.Handler
	Logger   *logrus.Entry
}

// RoutedHost is one process that forwards the requests of callers by the published
// route table and, with the control role, is a member of the replicated log.
type RoutedHost struct {
	opts      RoutedHostOptions
	logger    *logrus.Entry
	decisions *decision.Log
	sender    state.HostProcess
	now       func() time.Duration

	listeners    []boundListener
	peerListener net.Listener

	replica          *replica.Replica
	peers            *peer.Client
	transport        *peer.Transport
	members          *members
	group            group
	leaderClient     *peer.Proposer
	follower         *peer.Follower
	requestForwarder *forward.Forwarder
	holdings         *forward.Holdings
	placer           *placer
	// permitServer is nil without the control role.
	permitServer *permits.Server
	// originServer is nil without the control role.
	originServer *origins.Server
	// quotaServer is nil without the control role, and quotas admits requests by their accounts.
	quotaServer *quotas.Server
	quotas      *quotas.Client
	// memory accounts for requests and answers, and connections holds those of callers.
	memory        *memory.Account
	connections   *connections.Table
	descriptors   int
	demandChanged chan struct{}
	// accountsCurrentAt is the last time, on the clock now, at which this host is known to have
	// applied all that the leader had.
	accountsCurrentAt atomic.Int64
	metrics           *telemetry.Metrics
	// adminMetrics counts the requests of operators.
	adminMetrics *admin.Metrics

	ready          atomic.Bool
	leaving        atomic.Bool
	leaveRequested chan struct{}
	leaveOnce      sync.Once
}

type boundListener struct {
	listener net.Listener
	handler  http.Handler
	table    *connections.Table
	// callers is true for the listener for callers, which is served until their
	// requests have ended.
	callers bool
}

// NewRoutedHost opens the host's listeners and, with the control role, its data folder.
func NewRoutedHost(o RoutedHostOptions) (*RoutedHost, error) {
	h := &RoutedHost{
		opts: o, logger: o.Logger, decisions: decision.New(o.Logger), now: bootclock.New(),
		sender:   state.HostProcess{Host: o.Settings.Host, Incarnation: uint64(time.Now().UnixNano())},
		replica:  replica.New(state.New()),
		peers:    peer.NewClient(nil),
		holdings: forward.NewHoldings(), demandChanged: make(chan struct{}, 1), leaveRequested: make(chan struct{}),
	}
	var err error
	if h.descriptors, err = descriptorLimit(o.Settings); err != nil {
		return nil, err
	}
	h.memory = memory.New(memory.LimitFor(o.Settings.MemoryMiB<<20), nil)
	h.connections = connections.New(h.now, connectionLimit(o.Settings, h.descriptors, callerShare), h.memory)
	h.members = newMembers(o.Settings, h.hostRecord(), h.peers, h.now)
	h.members.offered = h.offersService
	h.members.table.LimitAdapters()
	if o.Settings.Control {
		h.transport = peer.NewTransport(h.peers)
		g, err := openMember(o.Settings, o.Settings.PeerAddress, control.Options{
			Transport: h.transport, Replica: h.replica, Logger: h.logger, Now: h.now,
		})
		if err != nil {
			return nil, err
		}
		h.group = g
	}
	if h.group != nil {
		h.permitServer = newPermitServer(h.group, h.members, h.now, h.decisions)
	}
	h.leaderClient = peer.NewProposer(o.Settings.Host, h.peerGroup(), h.peers, h.members)
	rng := rand.New(rand.NewSource(int64(h.sender.Incarnation)))
	h.follower = peer.NewFollower(h.peers, h.members, h.replica, h.logger, rng, o.Settings.Host, h.peerGroup())
	h.placer = newPlacer(h, o.ServerClient, o.OrderDelay)
	if h.group != nil {
		h.originServer = h.newOriginServer()
		h.quotaServer = h.newQuotaServer()
	}
	h.quotas = quotas.NewClient(askQuotas(h.leaderClient, quotaHandler(h.quotaServer)), h.callerHostCount, h.now)
	h.requestForwarder = forward.New(forward.Options{
		Protocol: o.Protocol, Replica: h.replica, Log: h.leaderClient, DataCentre: o.Settings.DataCentre, Self: h.sender,
		Servers: h.members.Servers, ServersChanged: h.members.serversChanged, Holdings: h.holdings,
		HostCount: h.callerHostCount, Now: h.now, Ready: h.Ready, RetryLimit: o.RetryLimit, DemandChanged: h.signalDemandChange, Decisions: h.decisions,
		Memory: h.memory, MaxRequests: h.connections.Max(),
		OnLeaving:  h.members.recordLeaving,
		AskPermits: askPermits(h.leaderClient, permitHandler(h.permitServer), h.sender.Incarnation),
		AskOrigins: askOrigins(h.leaderClient, originHandler(h.originServer)),
		ServerSeen: h.members.serverSeen, ConfirmProcess: h.confirmProcess, AccountsCurrent: h.accountsCurrent, Quotas: h.quotas, QuotaTolerance: o.QuotaTolerance,
	})
	if err := h.createMetrics(); err != nil {
		return nil, err
	}
	return h, h.listen()
}

// peerGroup returns the group, or a nil interface without the control role.
func (h *RoutedHost) peerGroup() peer.LogMember {
	if h.group == nil {
		return nil
	}
	return h.group
}

// hostRecord returns this host's own record for the membership table.
func (h *RoutedHost) hostRecord() membership.Host {
	s := h.opts.Settings
	return membership.Host{
		Name: s.Host, DataCentre: s.DataCentre, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		Incarnation: h.sender.Incarnation, Control: s.Control,
	}
}

// listen opens the listeners for other hosts, callers and further handlers.
func (h *RoutedHost) listen() error {
	var err error
	if h.peerListener, err = net.Listen("tcp", h.opts.Settings.PeerAddress); err != nil {
		return fmt.Errorf("host: listen for other hosts: %w", err)
	}
	h.peerListener = listenForPeers(h.peerListener, h.opts.Settings, h.descriptors, h.now)
	if h.opts.CallerListenAddress != "" {
		if err := h.listenAt(h.opts.CallerListenAddress, h.requestForwarder, h.connections); err != nil {
			return err
		}
	}
	if err := h.listenForOperators(); err != nil {
		return err
	}
	for address, handler := range h.opts.Handlers {
		if err := h.listenAt(address, handler(h), h.newTable(serviceShare)); err != nil {
			return err
		}
	}
	return nil
}

// newTable returns a table for the connections of one more listener.
func (h *RoutedHost) newTable(share float64) *connections.Table {
	return connections.New(h.now, connectionLimit(h.opts.Settings, h.descriptors, share), h.memory)
}

// listenAt opens a listener at address for handler.
func (h *RoutedHost) listenAt(address string, handler http.Handler, table *connections.Table) error {
	l, err := listenHTTP(address, h.logger)
	if err != nil {
		return fmt.Errorf("host: listen at %s: %w", address, err)
	}
	h.listeners = append(h.listeners, boundListener{l, handler, table, table == h.connections})
	return nil
}

// Memory returns the account of the requests and answers that this host holds.
func (h *RoutedHost) Memory() *memory.Account { return h.memory }

// callerHostCount returns the number of hosts that may serve callers, but at
// least 1. It includes silent hosts, since each of them may use its share of the
// RetryLimit.
func (h *RoutedHost) callerHostCount() int {
	n := 0
	for _, x := range h.members.hosts() {
		if !x.Control {
			n++
		}
	}
	return max(1, n)
}

// signalDemandChange triggers a demand report to the leader.
func (h *RoutedHost) signalDemandChange() {
	select {
	case h.demandChanged <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends and the host has left, or until a component fails.
func (h *RoutedHost) Run(ctx context.Context) error {
	g := newRunGroup()
	defer g.stop()
	g.add(h.decisions.Run)
	g.add(h.members.run)
	g.add(h.becomeReady)
	if h.group != nil {
		g.add(h.group.Run)
		g.add(h.placer.run)
		g.add(h.quotaServer.Run)
	} else {
		g.add(h.follower.Run)
		g.add(h.requestForwarder.Run)
		g.add(h.quotas.Run)
		g.add(h.followHoldings)
		g.add(h.newReporter().run)
	}
	h.servePeers(g)
	callers := h.serveListeners(g)
	g.add(func(running context.Context) error { return h.runDeparture(ctx, running, callers) })
	err := g.Run()
	h.peers.Close()
	if h.transport != nil {
		h.transport.Close()
	}
	return err
}

// routedDemandRefreshInterval is how often an unchanged demand report is repeated. It
// is shorter than the duration of most requests, since a model without running requests
// can be unloaded at once for another model.
const routedDemandRefreshInterval = 300 * time.Millisecond

// idleReportInterval is how often a host without demand reports to the leader. The reply
// tells it whether its copy of the replicated state is behind.
const idleReportInterval = time.Second

// newReporter returns the reporter that sends the demand of callers to the leader.
func (h *RoutedHost) newReporter() *reporter {
	return &reporter{
		host: h.opts.Settings.Host, incarnation: h.sender.Incarnation, now: h.now, demand: h.callerDemand,
		leaderClient: h.leaderClient, demandStore: newDemandStore(h.now), wake: h.demandChanged,
		refreshInterval: routedDemandRefreshInterval, idleInterval: idleReportInterval,
		onReply: h.recordLeaderReply,
	}
}

// callerDemand returns the demand of this host's callers.
func (h *RoutedHost) callerDemand() []placement.Demand {
	var out []placement.Demand
	for _, d := range h.requestForwarder.Demand() {
		out = append(out, placement.Demand{
			Model: d.Model, Adapter: d.Adapter, Waiting: d.Waiting, Running: d.Running, Arrivals: d.Arrivals, RunningOn: d.RunningOn,
			EarliestDeadline: d.EarliestExpiry, Bound: d.Bound,
		})
	}
	return out
}

// holdingsRetryInterval is the time between attempts to find and follow the leader.
const holdingsRetryInterval = 100 * time.Millisecond

// followHoldings receives the holdings of the servers from the leader.
func (h *RoutedHost) followHoldings(ctx context.Context) error {
	for {
		if address := h.leaderAddress(ctx); address != "" {
			// The end of a stream needs no handling. The known holdings stay in use until
			// a leader is found again.
			err := h.peers.Holdings(ctx, address, h.mergeHoldings)
			h.logger.WithError(err).Debug("the stream of holdings from the leader ended")
		}
		if !bootclock.Sleep(ctx, holdingsRetryInterval) {
			return nil
		}
	}
}

// mergeHoldings merges an update, whose times are relative, into the known
// holdings.
func (h *RoutedHost) mergeHoldings(u peer.HoldingsUpdate) {
	now := h.now()
	for i := range u.Servers {
		u.Servers[i] = shiftHoldings(u.Servers[i], now)
	}
	h.holdings.Merge(u.Complete, u.Servers)
}

// leaderAddress queries the control hosts for the leader and returns its peer
// address, or an empty string if none of them knows it.
func (h *RoutedHost) leaderAddress(ctx context.Context) string {
	hosts := h.members.ControlHosts()
	for _, a := range hosts {
		s, err := h.peers.Status(ctx, a)
		if err != nil || s.Leader == "" {
			continue
		}
		if leader, ok := hosts[s.Leader]; ok {
			return leader
		}
	}
	return ""
}

// servePeers adds the server for other hosts.
func (h *RoutedHost) servePeers(g *runGroup) {
	server := peer.NewServer(peer.Handlers{
		Host: h.opts.Settings.Host, LogMember: h.peerGroup(), Gossip: h.members.receive, Demand: h.placer.acceptDemandReport,
		Holdings: h.placer.streamHoldings, Permits: permitHandler(h.permitServer), Origins: originHandler(h.originServer), Quotas: quotaHandler(h.quotaServer),
		Drain: h.beginDeparture, Burn: func() burn.Snapshot { return burn.Snapshot{} },
	})
	g.Add(func() error { return server.Serve(h.peerListener) }, func(error) { server.Stop() })
}

// callerTimeouts returns how long callers may take: the published limits where there are some, and
// at most those of the listeners.
func (h *RoutedHost) callerTimeouts() connections.Timeouts {
	published := h.table().Limits
	return connections.Timeouts{
		Idle: limitedTimeout(published.IdleTimeout, httpIdleTimeout), Head: limitedTimeout(published.HeaderTimeout, httpHeaderTimeout),
	}
}

// limitedTimeout returns the published timeout, or most if there is none or it is longer.
func limitedTimeout(published, most time.Duration) time.Duration {
	if published <= 0 {
		return most
	}
	return min(published, most)
}

// serveListeners adds a server for each listener, and returns the listeners for
// callers.
func (h *RoutedHost) serveListeners(g *runGroup) []net.Listener {
	var callers []net.Listener
	for _, b := range h.listeners {
		server := &http.Server{
			Handler: b.handler, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHTTPHeaderBytes,
			ErrorLog: stdlog.New(io.Discard, "", 0), ConnState: b.table.Track,
		}
		timeouts := func() connections.Timeouts { return serviceTimeouts }
		if b.callers {
			callers = append(callers, b.listener)
			timeouts = h.callerTimeouts
		} else {
			server.ReadTimeout = serviceReadTimeout
		}
		g.add(func(ctx context.Context) error { return b.table.Run(ctx, timeouts, h.recordPressure(b.listener)) })
		g.Add(func() error {
			err := server.Serve(b.table.Listen(b.listener))
			closedToLeave := h.leaving.Load() && errors.Is(err, net.ErrClosed)
			if !closedToLeave && !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("host: serve %s: %w", b.listener.Addr(), err)
			}
			// A leaving host closes this listener while requests are still in progress.
			// Returning now would end the process.
			<-g.running.Done()
			return nil
		}, func(error) { _ = server.Close() })
	}
	return callers
}
