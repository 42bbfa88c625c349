// Package host creates the components of one pollenwheel process and runs them.
package host

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/connections"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/entry"
	"github.com/pollenwheel/pollenwheel/node/memory"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/permits"
	"github.com/pollenwheel/pollenwheel/node/replica"
	"github.com/pollenwheel/pollenwheel/node/settings"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// group contains the methods of *control.Group that this package uses. The group is
// this host's member of the replicated log.
type group interface {
	peer.LogMember
	Run(ctx context.Context) error
	CheckLease() bool
	TransferLeader(ctx context.Context) error
	SetSeeds(seeds []consensus.Member)
}

var openGroup = func(o control.Options) (group, error) { return control.OpenGroup(o) }

// Host is one process that serves callers by the configuration and, with the
// control role, is a member of the replicated log.
type Host struct {
	settings settings.Settings
	logger   *logrus.Entry
	// decisions logs the answers that are ended because of the memory of the host.
	decisions *decision.Log
	// now returns the time of a monotonic clock that also counts the time in which
	// the machine is suspended.
	now    func() time.Duration
	sender state.HostProcess

	callerListener, peerListener net.Listener
	// connections holds those of callers.
	memory      *memory.Account
	connections *connections.Table

	replica      *replica.Replica
	peers        *peer.Client
	traffic      *peer.Traffic
	transport    *peer.Transport
	members      *members
	group        group
	leaderClient *peer.Proposer
	follower     *peer.Follower
	backend      *backend.Client
	entry        *entry.Entry
	demandStore  *demandStore
	// permitServer is nil without the control role.
	permitServer *permits.Server
	leadership   *leadership
	burn         *burnCounter
	metrics      *telemetry.Metrics
	// adminMetrics counts the requests of operators.
	adminMetrics *admin.Metrics

	ready          atomic.Bool
	leaving        atomic.Bool
	leaveRequested chan struct{}
	leaveOnce      sync.Once
}

// New opens the host's listeners and, with the control role, its data folder.
func New(s settings.Settings, logger *logrus.Entry) (*Host, error) {
	h := &Host{
		settings: s, logger: logger, now: bootclock.New(), leaveRequested: make(chan struct{}),
		decisions: decision.New(logger), replica: replica.New(state.New()), traffic: &peer.Traffic{}, backend: backend.NewClient(),
	}
	descriptors, err := descriptorLimit(s)
	if err != nil {
		return nil, err
	}
	h.memory = memory.New(memory.LimitFor(s.MemoryMiB<<20), h.recordEndedAnswer)
	h.connections = connections.New(h.now, connectionLimit(s, descriptors, callerShare), h.memory)
	h.sender = state.HostProcess{Host: s.Host, Incarnation: uint64(time.Now().UnixNano())}
	if err := h.listen(descriptors); err != nil {
		return nil, err
	}
	h.peers = peer.NewClient(h.traffic)
	h.members = newMembers(s, h.hostRecord(), h.peers, h.now)
	if s.Control {
		if err := h.openGroup(); err != nil {
			h.close()
			return nil, err
		}
	}
	if h.group != nil {
		h.permitServer = newPermitServer(h.group, h.members, h.now, nil)
	}
	h.leaderClient = peer.NewProposer(s.Host, h.peerGroup(), h.peers, h.members)
	rng := rand.New(rand.NewSource(int64(h.sender.Incarnation)))
	h.follower = peer.NewFollower(h.peers, h.members, h.replica, logger, rng, s.Host, h.peerGroup())
	h.demandStore = newDemandStore(h.now)
	h.leadership = &leadership{host: h}
	h.burn = newBurnCounter(h)
	h.entry = entry.New(entry.Options{
		Replica: h.replica, Client: h.backend, Log: h.leaderClient, Servers: h.members.Servers, Now: h.now,
		Self: h.sender, DataCentre: s.DataCentre, PredictReadyAt: h.predictReady, Ready: h.ready.Load, OnRequestEnd: h.burn.observe,
		Memory:     h.memory,
		AskPermits: askPermits(h.leaderClient, permitHandler(h.permitServer), h.sender.Incarnation),
		HostCount:  func() int { return max(1, len(h.members.hosts())) }, OnNotice: h.recordNotice,
	})
	return h, h.createMetrics()
}

// recordEndedAnswer logs the end of an answer because of the memory of the host.
func (h *Host) recordEndedAnswer(e *memory.EndedError) {
	h.decisions.RecordStateChange(decision.EventAnswerEnded, decision.Fields{decision.FieldServer: e.Server, decision.FieldReason: e.Error()})
}

// listen opens the listeners for callers and for other hosts of a process with a limit on
// descriptors.
func (h *Host) listen(descriptors int) error {
	var err error
	if h.callerListener, err = listenHTTP(h.settings.CallerAddress, h.logger); err != nil {
		return fmt.Errorf("host: listen for callers: %w", err)
	}
	if h.peerListener, err = net.Listen("tcp", h.settings.PeerAddress); err != nil {
		_ = h.callerListener.Close()
		return fmt.Errorf("host: listen for other hosts: %w", err)
	}
	h.peerListener = listenForPeers(h.peerListener, h.settings, descriptors, h.now)
	return nil
}

// close releases what New opened before the data folder.
func (h *Host) close() {
	_ = h.callerListener.Close()
	_ = h.peerListener.Close()
	h.peers.Close()
}

// hostRecord returns this host's own record for the membership table.
func (h *Host) hostRecord() membership.Host {
	return membership.Host{
		Name: h.settings.Host, DataCentre: h.settings.DataCentre, CallerAddress: h.Address(),
		PeerAddress: h.peerAddress(), Incarnation: h.sender.Incarnation, Control: h.settings.Control,
	}
}

// peerAddress returns the address to which other hosts connect.
func (h *Host) peerAddress() string {
	if h.settings.AdvertisedPeerAddress != "" {
		return h.settings.AdvertisedPeerAddress
	}
	return h.peerListener.Addr().String()
}

// openGroup opens this host's member of the replicated log and its transport.
func (h *Host) openGroup() error {
	h.transport = peer.NewTransport(h.peers)
	g, err := openMember(h.settings, h.peerAddress(), control.Options{
		Transport: h.transport, Replica: h.replica, Logger: h.logger, Now: h.now,
	})
	if err != nil {
		h.transport.Close()
		return err
	}
	h.group = g
	return nil
}

// openMember opens a member of the replicated log with the given settings. In the
// list of voters, this host has the address peerAddress.
func openMember(s settings.Settings, peerAddress string, o control.Options) (group, error) {
	o.Folder, o.Host, o.PeerAddress = s.DataFolder, s.Host, peerAddress
	o.DisableFounding, o.RepairAfter, o.ElectionTimeout = s.DisableFounding, s.RepairAfter, s.ElectionTimeout
	o.TargetVoters = s.TargetVoters
	o.Bootstrap = controlMembers(s.Voters)
	for i, v := range o.Bootstrap {
		if v.Host == s.Host {
			o.Bootstrap[i].PeerAddress = peerAddress
		}
	}
	g, err := openGroup(o)
	if err != nil {
		return nil, fmt.Errorf("host: open the data folder: %w", err)
	}
	return g, nil
}

// controlMembers returns the control hosts of the settings as members whose IDs are not known.
func controlMembers(hosts []settings.Peer) []consensus.Member {
	var out []consensus.Member
	for _, h := range hosts {
		out = append(out, consensus.Member{Host: h.Name, PeerAddress: h.Address})
	}
	return out
}

// peerGroup returns the group, or a nil interface without the control role.
func (h *Host) peerGroup() peer.LogMember {
	if h.group == nil {
		return nil
	}
	return h.group
}

// Address returns the address to which callers connect.
func (h *Host) Address() string { return h.callerListener.Addr().String() }

// Configure commits a configuration and waits until it is in force on this host.
func (h *Host) Configure(ctx context.Context, changeID string, expected uint64, c config.Configuration) (state.Result, error) {
	res, err := h.leaderClient.Propose(ctx, state.Command{
		UnixMS:    time.Now().UnixMilli(),
		Configure: &state.Configure{ChangeID: changeID, Expected: expected, Next: c},
	})
	if err != nil {
		return res, err
	}
	if err := h.replica.WaitIndex(ctx, res.Index); err != nil {
		return res, err
	}
	h.entry.Refresh()
	return res, nil
}

// predictReady returns when a model or adapter will be ready, if the leader has
// predicted it.
func (h *Host) predictReady(model, adapter string) (time.Duration, bool) {
	if at, ok := h.leadership.predictReady(model, adapter); ok {
		return at, true
	}
	return h.demandStore.predictReady(model, adapter)
}

// Run serves until ctx ends and the host has left, or until a component fails.
func (h *Host) Run(ctx context.Context) error {
	g := newRunGroup()
	defer g.stop()
	g.add(h.members.run)
	g.add(h.entry.Run)
	g.add(h.decisions.Run)
	g.add(h.becomeReady)
	if h.group == nil {
		g.add(h.follower.Run)
	} else {
		g.add(h.group.Run)
		g.add(h.leadership.run)
		g.add(h.dispatcher().Run)
	}
	g.add((&reporter{
		host: h.settings.Host, incarnation: h.sender.Incarnation, now: h.now,
		demand: h.entry.Demand, leaderClient: h.leaderClient, demandStore: h.demandStore, refreshInterval: demandRefreshInterval,
		idleInterval: idleReportInterval,
		onReply: func(_ time.Duration, reply peer.DemandReply) {
			h.follower.RecordCommitted(reply.Applied, reply.Address)
		},
	}).run)
	h.servePeers(g)
	h.serveCallers(g)
	g.add(func(running context.Context) error { return h.runDeparture(ctx, running) })
	err := g.Run()
	h.peers.Close()
	if h.transport != nil {
		h.transport.Close()
	}
	h.backend.CloseIdle()
	return err
}

// dispatcher returns the dispatcher of this control host's orders.
func (h *Host) dispatcher() *control.Dispatcher {
	return control.NewDispatcher(h.leaderClient, h.replica, h.backend, control.DispatcherSources{
		Servers: h.members.Servers, Hosts: h.members.hostRecords, Demand: h.leadership.allDemand, Now: h.now, IsLeading: h.group.CheckLease,
		ServersChanged: h.members.serversChanged,
	}, h.sender, h.logger)
}

// servePeers adds the server for other hosts.
func (h *Host) servePeers(g *runGroup) {
	server := peer.NewServer(peer.Handlers{
		Host: h.settings.Host, LogMember: h.peerGroup(), Gossip: h.members.receive, Demand: h.leadership.acceptDemandReport,
		Permits: permitHandler(h.permitServer),
		Drain:   h.beginDeparture, Burn: h.burn.snapshot, Traffic: h.traffic,
	})
	g.Add(func() error { return server.Serve(h.peerListener) }, func(error) { server.Stop() })
}

// shutdownTimeout bounds the wait for answers to be sent completely.
const shutdownTimeout = 5 * time.Second

// serveCallers adds the server for callers.
func (h *Host) serveCallers(g *runGroup) {
	server := &http.Server{
		Handler: connections.BoundBody(h.callerHandler(), callerBodyTimeout), ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHTTPHeaderBytes,
		ConnState: h.connections.Track,
	}
	g.add(func(ctx context.Context) error {
		timeouts := func() connections.Timeouts { return serviceTimeouts }
		return h.connections.Run(ctx, timeouts, recordPressure(h.decisions, h.callerListener))
	})
	serve := func() error {
		if err := server.Serve(h.connections.Listen(h.callerListener)); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("host: serve callers: %w", err)
		}
		return nil
	}
	g.Add(serve, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
}
