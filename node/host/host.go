// Package host builds the run group of one pollenwheel process.
package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/control"
	"github.com/pollenwheel/pollenwheel/node/entry"
	"github.com/pollenwheel/pollenwheel/node/replica"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

// Host is one process.
type Host struct {
	settings settings.Settings
	logger   *logrus.Entry
	start    time.Time
	replica  *replica.Replica
	log      control.Log
	listener net.Listener

	mu    sync.Mutex
	table *membership.Table
}

// New opens the host's listener and state.
func New(s settings.Settings, logger *logrus.Entry) (*Host, error) {
	l, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("host: listen for callers: %w", err)
	}
	r := replica.New(state.New())
	return &Host{
		settings: s, logger: logger, start: time.Now(), replica: r, log: control.NewLocalLog(r),
		listener: l, table: membership.NewTable(),
	}, nil
}

// Address is where callers connect.
func (h *Host) Address() string { return h.listener.Addr().String() }

// Configure applies a configuration.
func (h *Host) Configure(ctx context.Context, changeID string, expected uint64, c config.Configuration) (state.Result, error) {
	return h.log.Propose(ctx, state.Command{
		UnixMS:    time.Now().UnixMilli(),
		Configure: &state.Configure{ChangeID: changeID, Expected: expected, Next: c},
	})
}

func (h *Host) now() time.Duration { return time.Since(h.start) }

func (h *Host) announce(s membership.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Announce(h.now(), s)
}

func (h *Host) servers() []membership.Presence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Servers(h.now())
}

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	client := backend.NewClient()
	sender := state.Sender{Host: h.settings.Host, Incarnation: uint64(h.start.UnixNano())}
	callers := entry.New(entry.Options{
		Replica: h.replica, Client: client, Log: h.log, Servers: h.servers, Now: h.now, Self: sender,
		DataCentre: h.settings.DataCentre,
	})
	web := h.web(callers)
	leader := control.NewLeader(h.log, h.replica, client, control.Sources{
		Servers: h.servers, Demand: callers.Demand, Now: h.now,
	}, sender, h.logger)

	var g run.Group
	runCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return leader.Run(runCtx) }, func(error) { cancel() })
	g.Add(func() error { return callers.Run(runCtx) }, func(error) { cancel() })
	server := &http.Server{Handler: web, ReadHeaderTimeout: 10 * time.Second}
	g.Add(func() error { return server.Serve(h.listener) }, func(error) { _ = server.Close() })
	err := g.Run()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *Host) web(callers *entry.Entry) *echo.Echo {
	web := echo.New()
	web.HideBanner, web.HidePort = true, true
	callers.Routes(web)
	web.POST("/v1/backend/announce", backend.AnnounceHandler(h.announce, func() backend.AnnouncementAnswer {
		return backend.AnnouncementAnswer{Hosts: []string{h.Address()}, KeepSeconds: 10}
	}))
	web.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return web
}
