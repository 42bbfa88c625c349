// Package admin is the administration API for operators, version 1.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Prefix is the path of all routes.
const Prefix = "/v1/admin"

// Proposer commits a command through the consensus group.
type Proposer interface {
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Replica is this host's copy of the replicated state.
type Replica interface {
	View(f func(*state.State))
}

// Members are the hosts and backend servers that this host knows.
type Members interface {
	Hosts() []HostPresence
	Servers() []membership.ServerStatus
}

// HostPresence is an entry host with how it is heard from.
type HostPresence struct {
	membership.Host
	Silent bool `json:"silent,omitempty"`
}

// Drainer tells a host to leave. A second call for the same host changes
// nothing. It returns once the host has begun to leave.
type Drainer interface {
	Drain(ctx context.Context, host string) error
}

// Counter collects the burn counters of all hosts.
type Counter interface {
	Burn(ctx context.Context) Counts
}

// Counts are merged burn counters.
type Counts struct {
	Snapshot burn.Snapshot
	// Hosts were counted; Missing did not answer.
	Hosts, Missing []string
}

// Controller reports on the consensus group as this host sees it.
type Controller interface {
	Control() ControlStatus
}

// ControlStatus is the state of the consensus group.
type ControlStatus struct {
	// Leader is empty while none is known.
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Quorum is false while no configuration, order or claim can be accepted.
	Quorum   bool     `json:"quorum"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
}

// Parts are what the API works on.
type Parts struct {
	// Host is the name of this host.
	Host     string
	Proposer Proposer
	Replica  Replica
	Members  Members
	Drainer  Drainer
	Counter  Counter
	Control  Controller
	// Ready reports whether Replica has caught up since the start. Until then it
	// may lack the configuration that ends the bootstrap key, so nothing is served.
	Ready func() bool
	// Now is the wall clock, for the timestamps of commands.
	Now func() time.Time
	// BootstrapKeySHA256 is the hash of the key that is accepted while no
	// configuration has been applied. Empty accepts none.
	BootstrapKeySHA256 string
	Logger             *logrus.Entry
	// Metrics may be nil.
	Metrics *Metrics
}

// API serves the administration routes.
type API struct {
	parts Parts
}

// New returns an API on parts.
func New(parts Parts) *API { return &API{parts: parts} }

// Routes registers the routes.
func (a *API) Routes(web *echo.Echo) {
	g := web.Group(Prefix, a.count, a.authorize)
	g.GET("/configuration", a.configuration)
	g.POST("/configuration", a.apply)
	g.GET("/status", a.status)
	g.GET("/models", a.models)
	g.GET("/hosts", a.hosts)
	g.POST("/hosts/:host/drain", a.drain)
	g.GET("/burn", a.burn)
}

func (a *API) hosts(c echo.Context) error {
	hosts := a.parts.Members.Hosts()
	if hosts == nil {
		hosts = []HostPresence{}
	}
	return c.JSON(http.StatusOK, HostsAnswer{Hosts: hosts})
}

func (a *API) drain(c echo.Context) error {
	name := c.Param("host")
	known := false
	for _, h := range a.parts.Members.Hosts() {
		known = known || h.Name == name
	}
	if !known {
		return refuse(c, http.StatusNotFound, Refusal{Code: CodeUnknownHost, Reason: "no host has the name " + name})
	}
	if err := a.parts.Drainer.Drain(c.Request().Context(), name); err != nil {
		return refuse(c, http.StatusServiceUnavailable, Refusal{
			Code: CodeUnavailable, Execution: ExecutionUnknown, RetryAfterMS: retryAfterMS,
			Reason: "the host gave no answer; sending the request again is safe: " + err.Error(),
		})
	}
	a.parts.Logger.WithField("leaving", name).Info("drain requested by an operator")
	return c.JSON(http.StatusAccepted, DrainAnswer{Host: name, Leaving: true})
}

// Content types of the burn report.
const (
	formatText = "text"
	formatJSON = "json"
	formatSVG  = "svg"
)

func (a *API) burn(c echo.Context) error {
	format := c.QueryParam("format")
	if format != "" && format != formatText && format != formatJSON && format != formatSVG {
		return refuse(c, http.StatusBadRequest, Refusal{Code: CodeBadRequest, Reason: "format must be one of json, text, svg"})
	}
	counts := a.parts.Counter.Burn(c.Request().Context())
	var report burn.Report
	a.parts.Replica.View(func(s *state.State) { report = burn.NewReport(s.Config, counts.Snapshot) })
	report.Hosts, report.Missing = counts.Hosts, counts.Missing
	switch format {
	case formatText:
		return c.String(http.StatusOK, report.Text())
	case formatSVG:
		return c.Blob(http.StatusOK, "image/svg+xml", []byte(report.SVG()))
	}
	return c.JSON(http.StatusOK, report)
}
