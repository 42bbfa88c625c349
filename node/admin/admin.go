// Package admin implements version 1 of the HTTP administration API for operators.
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

// RoutePrefix is the path prefix of all routes.
const RoutePrefix = "/v1/admin"

// Proposer commits commands through the consensus group.
type Proposer interface {
	// Propose returns the result of the applied command. After an error the command
	// may still be applied.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
}

// Replica is this host's replica of the replicated state.
type Replica interface {
	// View calls f with the state.
	View(f func(*state.State))
}

// Members are the hosts and backend servers that this host knows.
type Members interface {
	Hosts() []HostStatus
	Servers() []membership.ServerStatus
}

// HostStatus is an entry host and whether its heartbeats still arrive.
type HostStatus struct {
	membership.Host
	// Silent is set while no recent heartbeat of the host has arrived.
	Silent bool `json:"silent,omitempty"`
}

// Drainer drains hosts.
type Drainer interface {
	// Drain requests that a host leave, and returns once it has begun to leave. A
	// second call for the same host has no effect.
	Drain(ctx context.Context, host string) error
}

// BurnCollector collects the request counts of all hosts and merges them.
type BurnCollector interface {
	CollectBurn(ctx context.Context) BurnCounts
}

// BurnCounts holds the merged request counts of the hosts that answered, from which
// the burn rates are computed.
type BurnCounts struct {
	Snapshot burn.Snapshot
	// Hosts are the hosts included in Snapshot. Missing are those that did not
	// answer.
	Hosts, Missing []string
}

// ControlReporter reports on the consensus group as this host sees it.
type ControlReporter interface {
	ControlStatus() ControlStatus
}

// ControlStatus is the state of the consensus group.
type ControlStatus struct {
	// Leader is the name of the leader, or empty while none is known.
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Quorum reports whether the group has a quorum. Without a quorum it cannot
	// accept configurations, orders or claims.
	Quorum   bool     `json:"quorum"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
}

// Dependencies are the parts of the host that the API uses, and its settings.
type Dependencies struct {
	// Host is the name of this host.
	Host          string
	Proposer      Proposer
	Replica       Replica
	Members       Members
	Drainer       Drainer
	BurnCollector BurnCollector
	Control       ControlReporter
	Notices       NoticeReporter
	// Accounts is needed by the local routes only.
	Accounts AccountReporter
	// CaughtUp reports whether Replica has caught up since the start of the process.
	// Until then Replica may lack the first configuration, which makes the bootstrap
	// key invalid. All requests are therefore refused until then.
	CaughtUp func() bool
	// Now reads the wall clock for the timestamps of commands.
	Now func() time.Time
	// BootstrapKeySHA256 is the SHA-256 of the key that is accepted until the first
	// configuration is applied. If empty, no key is accepted until then.
	BootstrapKeySHA256 string
	Logger             *logrus.Entry
	// Metrics counts the requests. It may be nil.
	Metrics *Metrics
}

// API serves the administration routes.
type API struct {
	deps Dependencies
}

// New returns an API that uses deps.
func New(deps Dependencies) *API { return &API{deps: deps} }

// RegisterRoutes registers the administration routes on web.
func (a *API) RegisterRoutes(web *echo.Echo) {
	group := web.Group(RoutePrefix, a.countRequests, a.authorize)
	group.GET("/configuration", a.configuration)
	group.POST("/configuration", a.apply)
	group.GET("/status", a.status)
	group.GET("/models", a.models)
	group.GET("/hosts", a.hosts)
	group.POST("/hosts/:host/drain", a.drain)
	group.GET("/burn", a.burn)
	group.GET("/suspects", a.suspects)
	group.POST("/suspects/:key/lift", a.lift)
	group.GET("/notices", a.notices)
}

// RegisterLocalRoutes registers on web the routes that need no configuration of the product:
// the state of the host, suspects, notices and client accounts. They admit requests without a key, so web
// must be reachable from the host's own machine only.
func (a *API) RegisterLocalRoutes(web *echo.Echo) {
	group := web.Group(RoutePrefix, a.countRequests)
	group.GET("/status", a.status)
	group.GET("/hosts", a.hosts)
	group.GET("/suspects", a.suspects)
	group.POST("/suspects/:key/lift", a.lift)
	group.GET("/notices", a.notices)
	group.GET("/accounts", a.accounts)
}

func (a *API) hosts(c echo.Context) error {
	hosts := a.deps.Members.Hosts()
	if hosts == nil {
		hosts = []HostStatus{}
	}
	return c.JSON(http.StatusOK, HostsAnswer{Hosts: hosts})
}

func (a *API) drain(c echo.Context) error {
	name := c.Param("host")
	known := false
	for _, h := range a.deps.Members.Hosts() {
		known = known || h.Name == name
	}
	if !known {
		return refuse(c, http.StatusNotFound, Refusal{Code: CodeUnknownHost, Reason: "no host has the name " + name})
	}
	if err := a.deps.Drainer.Drain(c.Request().Context(), name); err != nil {
		return refuse(c, http.StatusServiceUnavailable, Refusal{
			Code: CodeUnavailable, Execution: ExecutionUnknown, RetryAfterMS: retryAfterMS,
			Reason: "the host did not confirm the drain; repeating the request is safe: " + err.Error(),
		})
	}
	a.deps.Logger.WithField("leaving", name).Info("drain requested by an operator")
	return c.JSON(http.StatusAccepted, DrainAnswer{Host: name, Leaving: true})
}

// Formats of the burn report, selected by the query parameter format.
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
	counts := a.deps.BurnCollector.CollectBurn(c.Request().Context())
	var report burn.Report
	a.deps.Replica.View(func(s *state.State) { report = burn.NewReport(s.Config, counts.Snapshot) })
	report.Hosts, report.Missing = counts.Hosts, counts.Missing
	switch format {
	case formatText:
		return c.String(http.StatusOK, report.Text())
	case formatSVG:
		return c.Blob(http.StatusOK, "image/svg+xml", []byte(report.SVG()))
	}
	return c.JSON(http.StatusOK, report)
}
