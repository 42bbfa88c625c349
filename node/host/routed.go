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

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/bootclock"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/forward"
	"github.com/pollenwheel/pollenwheel/node/peer"
	"github.com/pollenwheel/pollenwheel/node/replica"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

// RoutedOptions configure a host that serves by the published route table.
type RoutedOptions struct {
	Settings settings.Settings
	// Front is the address for callers; empty on hosts that serve none.
	Front string
	// Protocol translates the headers of callers and backend servers.
	Protocol forward.Protocol
	Engines  Engines
	Budget   retry.Limit
	// OrderDelay is how long a new leader waits before its first order.
	OrderDelay time.Duration
	// ServeAfterLeave is how long a leaving host takes requests, since callers
	// keep the address list. LeaveWithin bounds the whole departure.
	ServeAfterLeave, LeaveWithin time.Duration
	// Handlers are served at further addresses. They get the host's Interface.
	Handlers map[string]func(*Routed) http.Handler
	Logger   *logrus.Entry
}

// Routed is one process that serves by the published route table.
type Routed struct {
	opts      RoutedOptions
	logger    *logrus.Entry
	decisions *decision.Log
	sender    state.Sender
	now       func() time.Duration

	listeners []boundListener
	peerL     net.Listener

	replica   *replica.Replica
	peers     *peer.Client
	transport *peer.Transport
	members   *members
	group     group
	forward   *peer.Forwarder
	follower  *peer.Follower
	gate      *forward.Forwarder
	holdings  *forward.Holdings
	placer    *placer
	demanded  chan struct{}

	ready    atomic.Bool
	leaving  atomic.Bool
	leave    chan struct{}
	leftOnce sync.Once
}

type boundListener struct {
	listener net.Listener
	handler  http.Handler
	// callers is set on the address of callers, which is served until their
	// requests have ended.
	callers bool
}

// NewRouted opens the listeners and, with the control role, the data folder.
func NewRouted(o RoutedOptions) (*Routed, error) {
	h := &Routed{
		opts: o, logger: o.Logger, decisions: decision.New(o.Logger), now: bootclock.New(),
		sender:   state.Sender{Host: o.Settings.Host, Incarnation: uint64(time.Now().UnixNano())},
		replica:  replica.New(state.New()),
		peers:    peer.NewClient(nil),
		holdings: forward.NewHoldings(), demanded: make(chan struct{}, 1), leave: make(chan struct{}),
	}
	h.members = newMembers(o.Settings, h.record(), h.peers, h.now)
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
	h.forward = peer.NewForwarder(o.Settings.Host, h.peerGroup(), h.peers, h.members)
	rng := rand.New(rand.NewSource(int64(h.sender.Incarnation)))
	h.follower = peer.NewFollower(h.peers, h.members, h.replica, h.logger, rng, o.Settings.Host, h.peerGroup())
	h.placer = newPlacer(h, o.Engines, o.OrderDelay)
	h.gate = forward.New(forward.Options{
		Protocol: o.Protocol, Replica: h.replica, Log: h.forward, DataCentre: o.Settings.DataCentre,
		Servers: h.members.Servers, ServersChanged: h.members.serversChanged, Holdings: h.holdings,
		HostCount: h.frontHosts, Now: h.now, Ready: h.Ready, Budget: o.Budget, DemandChanged: h.demand, Decisions: h.decisions,
	})
	return h, h.listen()
}

func (h *Routed) peerGroup() peer.Group {
	if h.group == nil {
		return nil
	}
	return h.group
}

func (h *Routed) record() membership.Host {
	s := h.opts.Settings
	return membership.Host{
		Name: s.Host, DataCentre: s.DataCentre, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		Incarnation: h.sender.Incarnation, Control: s.Control,
	}
}

func (h *Routed) listen() error {
	var err error
	if h.peerL, err = net.Listen("tcp", h.opts.Settings.PeerAddress); err != nil {
		return fmt.Errorf("host: listen for hosts: %w", err)
	}
	if h.opts.Front != "" {
		if err := h.bind(h.opts.Front, h.gate, true); err != nil {
			return err
		}
	}
	for address, handler := range h.opts.Handlers {
		if err := h.bind(address, handler(h), false); err != nil {
			return err
		}
	}
	return nil
}

func (h *Routed) bind(address string, handler http.Handler, callers bool) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("host: listen at %s: %w", address, err)
	}
	h.listeners = append(h.listeners, boundListener{l, handler, callers})
	return nil
}

// frontHosts is the number of hosts that may serve callers, also those that are
// silent: each of them may spend its part of the retry budget.
func (h *Routed) frontHosts() int {
	n := 0
	for _, x := range h.members.hosts() {
		if !x.Control {
			n++
		}
	}
	return max(1, n)
}

// demand asks for a report to the leader.
func (h *Routed) demand() {
	select {
	case h.demanded <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends and the host has left, or until a part fails.
func (h *Routed) Run(ctx context.Context) error {
	g := newParts()
	defer g.stop()
	g.add(h.decisions.Run)
	g.add(h.members.run)
	g.add(h.becomeReady)
	if h.group != nil {
		g.add(h.group.Run)
		g.add(h.placer.run)
	} else {
		g.add(h.follower.Run)
		g.add(h.gate.Run)
		g.add(h.followHoldings)
		g.add(h.reporter().run)
	}
	h.servePeers(g)
	servers := h.serve(g)
	g.add(func(running context.Context) error { return h.depart(ctx, running, servers) })
	err := g.Run()
	h.peers.Close()
	if h.transport != nil {
		h.transport.Close()
	}
	return err
}

// targetsRefresh is how often the leader hears what runs where. A model without
// running requests can make way at once, so this is shorter than most requests.
const targetsRefresh = 300 * time.Millisecond

// reporter tells the leader what callers ask for.
func (h *Routed) reporter() *reporter {
	return &reporter{
		host: h.opts.Settings.Host, incarnation: h.sender.Incarnation, now: h.now, demand: h.targets,
		forward: h.forward, board: newBoard(h.now), wake: h.demanded,
		refresh: targetsRefresh,
	}
}

func (h *Routed) targets() []placement.Demand {
	var out []placement.Demand
	for _, d := range h.gate.Demand() {
		out = append(out, placement.Demand{
			Model: d.Model, Adapter: d.Adapter, Waiting: d.Waiting, Running: d.Running, Arrivals: d.Arrivals, RunningOn: d.RunningOn,
			EarliestDeadline: d.EarliestExpiry,
		})
	}
	return out
}

// holdingsRetry separates attempts to find the leader.
const holdingsRetry = 100 * time.Millisecond

// followHoldings receives what the servers hold from the leader.
func (h *Routed) followHoldings(ctx context.Context) error {
	for {
		if address := h.leaderAddress(ctx); address != "" {
			// The end of a stream needs no answer: what is known stays until a
			// leader is found again.
			err := h.peers.Holdings(ctx, address, h.received)
			h.logger.WithError(err).Debug("the stream of holdings ended")
		}
		if !sleep(ctx, holdingsRetry) {
			return nil
		}
	}
}

func (h *Routed) received(u peer.HoldingsUpdate) {
	now := h.now()
	for i := range u.Servers {
		u.Servers[i] = shiftHoldings(u.Servers[i], now)
	}
	h.holdings.Merge(u.Whole, u.Servers)
}

// leaderAddress asks the control hosts who leads.
func (h *Routed) leaderAddress(ctx context.Context) string {
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

func (h *Routed) servePeers(g *parts) {
	server := peer.NewServer(peer.Handlers{
		Host: h.opts.Settings.Host, Group: h.peerGroup(), Gossip: h.members.step, Demand: h.placer.demand,
		Holdings: h.placer.holdings, Drain: h.beginLeave, Burn: func() burn.Snapshot { return burn.Snapshot{} },
	})
	g.Add(func() error { return server.Serve(h.peerL) }, func(error) { server.Stop() })
}

// Limits of the connections of callers. Their errors, such as a caller that
// breaks off, are not logged, since they are no decision. They are above what the published
// limits can be, which the gate enforces.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
)

func (h *Routed) serve(g *parts) []*http.Server {
	var callers []*http.Server
	for _, b := range h.listeners {
		server := &http.Server{
			Handler: b.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
			ErrorLog: stdlog.New(io.Discard, "", 0),
		}
		if b.callers {
			callers = append(callers, server)
		}
		g.Add(func() error {
			if err := server.Serve(b.listener); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("host: serve %s: %w", b.listener.Addr(), err)
			}
			// A leaving host closes this server before its requests have ended.
			<-g.running.Done()
			return nil
		}, func(error) { _ = server.Close() })
	}
	return callers
}
