package host

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// OperatorAddressError reports a listen address for operators that other machines can reach.
type OperatorAddressError struct{ Address string }

func (e *OperatorAddressError) Error() string {
	return "host: the address for operators needs no key and must be a loopback address, not " + e.Address
}

// listenForOperators opens the local address for operators, if there is one. If the address
// cannot be used, the host serves its callers without it.
func (h *RoutedHost) listenForOperators() error {
	address := h.opts.OperatorListenAddress
	if address == "" {
		return nil
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil || !net.ParseIP(ip).IsLoopback() {
		return &OperatorAddressError{address}
	}
	if err := h.listenAt(address, h.operatorHandler(), h.newTable(operatorShare)); err != nil {
		h.logger.WithError(err).Warn("cannot serve operators at the local address; callers are served without it")
	}
	return nil
}

// operatorHandler returns the handler of the local address for operators: metrics and the
// routes of the administration API that need no key.
func (h *RoutedHost) operatorHandler() http.Handler {
	web := echo.New()
	web.HideBanner, web.HidePort = true, true
	admin.New(admin.Dependencies{
		Host: h.opts.Settings.Host, Proposer: h.leaderClient, Replica: h.replica, Members: h.members, Control: h,
		Notices: h.noticeReporter(), Accounts: h, CaughtUp: h.ready.Load, Now: time.Now, Logger: h.logger, Metrics: h.adminMetrics,
	}).RegisterLocalRoutes(web)
	web.GET("/metrics", echo.WrapHandler(h.metrics.Handler()))
	return web
}

func (h *RoutedHost) noticeReporter() noticeReporter {
	return noticeReporter{h.requestForwarder, h.permitServer}
}

// ControlStatus returns the status of the group that holds the replicated log, as far as
// this host knows it.
func (h *RoutedHost) ControlStatus() admin.ControlStatus {
	if h.group != nil {
		return controlStatus(h.group.Status())
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlStatusTimeout)
	defer cancel()
	return newestControlStatus(ctx, h.peers, h.members.ControlHosts())
}

// createMetrics creates the metrics of this host.
func (h *RoutedHost) createMetrics() error {
	var err error
	if h.metrics, h.adminMetrics, err = newHostMetrics(h.logger, h.noticeReporter(), h.replica); err != nil {
		return err
	}
	const events = "pollenwheel.decisions"
	if _, err := h.metrics.Meter().Int64ObservableCounter(events, metric.WithUnit("{event}"),
		metric.WithDescription("Events of requests and changes of state, by event of the decision log, also those that are not logged."),
		metric.WithInt64Callback(h.observeDecisions)); err != nil {
		return &telemetry.Error{Part: events, Err: err}
	}
	if err := createInstruments(h.metrics.Meter(), h.counters(), slices.Concat(h.gauges(), h.accountGauges(), connectionGauges(h.connections, h.memory), controlGauges(h.group))); err != nil {
		return err
	}
	if err := h.createQuotaMetrics(); err != nil {
		return err
	}
	return h.createOriginMetrics()
}

func (h *RoutedHost) counters() []instrument {
	return append(connectionCounters(h.connections), instrument{
		"pollenwheel.follow.ended", "{stream}", "Streams from a control host that ended.", h.follower.EndedStreams,
	})
}

func (h *RoutedHost) gauges() []instrument {
	return []instrument{
		{"pollenwheel.follow.behind", "{entry}", "Log entries that are known to be committed and not applied.", func() int64 {
			return int64(h.follower.Behind())
		}},
		{"pollenwheel.applied.index", "{entry}", "Last applied log entry.", func() int64 { return h.observeState(appliedIndex) }},
		{"pollenwheel.table.version", "{version}", "Route table in force.", func() int64 { return h.observeState(tableVersion) }},
	}
}

// observeState returns a value of the replicated state.
func (h *RoutedHost) observeState(read func(*state.State) uint64) int64 {
	var out uint64
	h.replica.View(func(s *state.State) { out = read(s) })
	return int64(out)
}

func appliedIndex(s *state.State) uint64 { return s.Index }

func tableVersion(s *state.State) uint64 { return s.Published.Version() }

// createOriginMetrics creates the metrics of the origins of streams.
func (h *RoutedHost) createOriginMetrics() error {
	const unconfirmed, known = "pollenwheel.streams.unconfirmed", "pollenwheel.streams.origins"
	if _, err := h.metrics.Meter().Int64ObservableCounter(unconfirmed, metric.WithUnit("{stream}"),
		metric.WithDescription("Streams that began, while several software versions served, before the leader knew which one began them."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(h.requestForwarder.UnconfirmedOrigins())
			return nil
		})); err != nil {
		return &telemetry.Error{Part: unconfirmed, Err: err}
	}
	if h.originServer == nil {
		return nil
	}
	if _, err := h.metrics.Meter().Int64ObservableGauge(known, metric.WithUnit("{stream}"),
		metric.WithDescription("Streams of which this host knows, as the leader, which software version began them."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(h.originServer.Streams()))
			return nil
		})); err != nil {
		return &telemetry.Error{Part: known, Err: err}
	}
	return nil
}

func (h *RoutedHost) observeDecisions(_ context.Context, o metric.Int64Observer) error {
	for event, n := range h.decisions.Counts() {
		o.Observe(n, metric.WithAttributes(attribute.String("event", event)))
	}
	return nil
}
