package host

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/node/permits"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// noticeSource is the part of a host that sends requests to backend servers and reads what
// they say of themselves.
type noticeSource interface {
	Notices() []notice.Statement
	RestrictedRefusals() int
}

// noticeReporter implements admin.NoticeReporter. server is nil without the control role.
type noticeReporter struct {
	noticeSource
	server *permits.Server
}

// PermitUsage returns how the limits are used, and false if this host does not lead.
func (r noticeReporter) PermitUsage() ([]ratelimit.Usage, bool) {
	if r.server == nil {
		return nil, false
	}
	return r.server.Usage()
}

// createNoticeMetrics creates the metrics of what servers say of themselves.
func createNoticeMetrics(meter metric.Meter, r noticeReporter) error {
	gauge := func(name, description string, observe metric.Int64Callback) error {
		if _, err := meter.Int64ObservableGauge(name, metric.WithUnit("{server}"), metric.WithDescription(description),
			metric.WithInt64Callback(observe)); err != nil {
			return &telemetry.Error{Part: name, Err: err}
		}
		return nil
	}
	if err := gauge("pollenwheel.servers.restricted", "Backend servers that say that they have a limit on requests, want none now, or leave.", r.observeServers); err != nil {
		return err
	}
	const refusals = "pollenwheel.requests.restricted"
	if _, err := meter.Int64ObservableCounter(refusals, metric.WithUnit("{request}"),
		metric.WithDescription("Requests refused because of what backend servers say of themselves."),
		metric.WithInt64Callback(observe(func() int64 { return int64(r.RestrictedRefusals()) }))); err != nil {
		return &telemetry.Error{Part: refusals, Err: err}
	}
	const granted = "pollenwheel.permits.granted"
	if _, err := meter.Int64ObservableGauge(granted, metric.WithUnit("{permit}"),
		metric.WithDescription("Permits that this leader has granted for the limits in force, by host."),
		metric.WithInt64Callback(r.observePermits)); err != nil {
		return &telemetry.Error{Part: granted, Err: err}
	}
	return nil
}

// attributeSays distinguishes the restrictions of backend servers in metrics.
const attributeSays = "says"

func (r noticeReporter) observeServers(_ context.Context, o metric.Int64Observer) error {
	counts := map[notice.Kind]int64{notice.KindLimit: 0, notice.KindPause: 0, notice.KindLeaving: 0}
	for _, s := range r.Notices() {
		for kind, set := range map[notice.Kind]bool{notice.KindLimit: s.Limited, notice.KindPause: s.Paused > 0, notice.KindLeaving: s.Leaving} {
			if set {
				counts[kind]++
			}
		}
	}
	for kind, n := range counts {
		o.Observe(n, metric.WithAttributes(attribute.String(attributeSays, string(kind))))
	}
	return nil
}

func (r noticeReporter) observePermits(_ context.Context, o metric.Int64Observer) error {
	usage, _ := r.PermitUsage()
	granted := map[string]int64{}
	for _, u := range usage {
		for host, n := range u.Granted {
			granted[host] += int64(n)
		}
	}
	for host, n := range granted {
		o.Observe(n, metric.WithAttributes(attribute.String("host", host)))
	}
	return nil
}
