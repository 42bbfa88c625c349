package host

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/peer"
)

// AddressAnswer is the body of GET /v1/addresses.
type AddressAnswer struct {
	Addresses   []membership.Address `json:"addresses"`
	KeepSeconds int                  `json:"keep_seconds"`
}

// ReadyAnswer is the body of GET /readyz.
type ReadyAnswer struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// Quorum is false while no configuration, order or claim can be accepted.
	// Requests for models that are already loaded are still served.
	Quorum  bool   `json:"quorum"`
	Applied uint64 `json:"applied"`
	// Version is that of the configuration in force on this host.
	Version uint64 `json:"version"`
}

// callerHandler returns the handler of all routes on the caller address.
func (h *Host) callerHandler() *echo.Echo {
	web := echo.New()
	web.HideBanner, web.HidePort = true, true
	h.entry.RegisterRoutes(web)
	h.administration().RegisterRoutes(web)
	web.GET("/v1/addresses", h.addresses)
	web.POST("/v1/backend/announce", backend.AnnounceHandler(h.memory, h.members.announce, h.announcementAnswer))
	web.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	web.GET("/readyz", h.readiness)
	web.GET("/metrics", echo.WrapHandler(h.metrics.Handler()))
	return web
}

// addresses handles GET /v1/addresses. It lists the hosts of the caller's data
// centre first. If the caller names none, this host's data centre is used.
func (h *Host) addresses(c echo.Context) error {
	dataCentre := c.QueryParam("data_centre")
	if dataCentre == "" {
		dataCentre = h.settings.DataCentre
	}
	list := h.members.addresses(dataCentre)
	if list == nil {
		list = []membership.Address{}
	}
	return c.JSON(http.StatusOK, AddressAnswer{Addresses: list, KeepSeconds: h.keepSeconds()})
}

func (h *Host) keepSeconds() int { return int(h.settings.AddressListTTL / time.Second) }

// announcementAnswer lists the hosts to which a backend server should announce
// itself. If the list is empty and this host is not leaving, it contains this
// host.
func (h *Host) announcementAnswer() backend.AnnouncementAnswer {
	out := backend.AnnouncementAnswer{KeepSeconds: h.keepSeconds(), Hosts: []string{}}
	for _, a := range h.members.addresses(h.settings.DataCentre) {
		out.Hosts = append(out.Hosts, a.Address)
	}
	if len(out.Hosts) == 0 && !h.leaving.Load() {
		out.Hosts = append(out.Hosts, h.Address())
	}
	return out
}

// readiness handles GET /readyz.
func (h *Host) readiness(c echo.Context) error {
	out := ReadyAnswer{Ready: h.ready.Load(), Leaving: h.leaving.Load(), Quorum: h.ControlStatus().Quorum}
	h.replica.View(func(s *state.State) { out.Applied, out.Version = s.Index, s.Config.Version })
	if !out.Ready || out.Leaving {
		return c.JSON(http.StatusServiceUnavailable, out)
	}
	return c.JSON(http.StatusOK, out)
}

func (h *Host) administration() *admin.API {
	return admin.New(admin.Dependencies{
		Host: h.settings.Host, Proposer: h.leaderClient, Replica: h.replica, Members: h.members, Drainer: h,
		BurnCollector: h.burn, Control: h, CaughtUp: h.ready.Load, Now: time.Now,
		BootstrapKeySHA256: h.settings.BootstrapKeySHA256, Logger: h.logger, Metrics: h.adminMetrics,
		Notices: noticeReporter{h.entry, h.permitServer},
	})
}

// Drain starts the departure of the named host, which may be this one.
func (h *Host) Drain(ctx context.Context, host string) error {
	if host == h.settings.Host {
		h.beginDeparture()
		return nil
	}
	return h.members.requestDrain(ctx, host)
}

// controlStatusTimeout bounds the wait for a control host's status.
const controlStatusTimeout = 500 * time.Millisecond

// ControlStatus returns the status of the consensus group. With the control role, it
// is that of this host's member. Otherwise all control hosts are queried, and the
// status with the highest term is returned, preferably one that reports a quorum.
func (h *Host) ControlStatus() admin.ControlStatus {
	if h.group != nil {
		return controlStatus(h.group.Status())
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlStatusTimeout)
	defer cancel()
	return newestControlStatus(ctx, h.peers, h.members.ControlHosts())
}

// newestControlStatus queries control hosts and returns the status with the highest term,
// preferably one that reports a quorum.
func newestControlStatus(ctx context.Context, peers *peer.Client, hosts map[string]string) admin.ControlStatus {
	answers := make(chan admin.ControlStatus, len(hosts))
	for _, address := range hosts {
		go func() {
			s, err := peers.Status(ctx, address)
			if err != nil {
				answers <- admin.ControlStatus{}
				return
			}
			answers <- controlStatus(s)
		}()
	}
	var out admin.ControlStatus
	for range hosts {
		if s := <-answers; s.Term > out.Term || s.Term == out.Term && s.Quorum {
			out = s
		}
	}
	return out
}
