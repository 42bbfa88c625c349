package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
	"github.com/pollenwheel/pollenwheel/node/telemetry"
)

// newHostMetrics returns the metrics of one host and those of its administration API, with
// the instruments that all hosts have.
func newHostMetrics(logger *logrus.Entry, r noticeReporter, replica admin.Replica) (*telemetry.Metrics, *admin.Metrics, error) {
	metrics, err := telemetry.NewMetrics(logger)
	if err != nil {
		return nil, nil, err
	}
	adminMetrics, err := admin.NewMetrics(metrics.Meter())
	if err != nil {
		return nil, nil, err
	}
	if err := createNoticeMetrics(metrics.Meter(), r); err != nil {
		return nil, nil, err
	}
	return metrics, adminMetrics, createSuspectMetrics(metrics.Meter(), replica)
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

// createSuspectMetrics creates the metrics of the requests and parts that may have
// crashed backend servers.
func createSuspectMetrics(meter metric.Meter, r admin.Replica) error {
	const name = "pollenwheel.suspects"
	callback := func(_ context.Context, o metric.Int64Observer) error {
		var tried, quarantined int64
		now := time.Now().UnixMilli()
		r.View(func(s *state.State) {
			for _, rec := range s.Suspects {
				switch {
				case rec.Barred(now):
					quarantined++
				case rec.Suspect(now):
					tried++
				}
			}
		})
		o.Observe(tried, metric.WithAttributes(attribute.String("state", string(admin.SuspectTried))))
		o.Observe(quarantined, metric.WithAttributes(attribute.String("state", string(admin.SuspectQuarantined))))
		return nil
	}
	if _, err := meter.Int64ObservableGauge(name, metric.WithUnit("{suspect}"),
		metric.WithDescription("Requests, prompt parts, models and adapters that may have crashed backend servers, by state."),
		metric.WithInt64Callback(callback)); err != nil {
		return &telemetry.Error{Part: name, Err: err}
	}
	return nil
}
