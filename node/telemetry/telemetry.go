// Package telemetry sets up the logs and metrics of one process.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/pollenwheel/pollenwheel/node/settings"
)

// meterScope is the instrumentation scope of all instruments.
const meterScope = "github.com/pollenwheel/pollenwheel"

// NewLogger returns a logger that writes to out and adds the host and its data
// centre to each line. An empty level means info.
func NewLogger(out io.Writer, s settings.Settings) (*logrus.Entry, error) {
	level := logrus.InfoLevel
	if s.LogLevel != "" {
		var err error
		if level, err = logrus.ParseLevel(string(s.LogLevel)); err != nil {
			return nil, &Error{Part: "log level", Err: err}
		}
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	return logger.WithFields(logrus.Fields{"host": s.Host, "data_centre": s.DataCentre}), nil
}

// Metrics collects the metrics of one process. In a test that runs several hosts in
// one process, each host has its own Metrics.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
}

// NewMetrics returns a Metrics that exports the metrics of the Go runtime and of the
// operating system process, and the instruments that are created with Meter.
func NewMetrics(logger *logrus.Entry) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, &Error{Part: "metrics exporter", Err: err}
	}
	return &Metrics{
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{ErrorLog: logger}),
	}, nil
}

// Meter returns the meter with which the product creates its instruments.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter(meterScope) }

// Handler returns the handler that serves /metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Shutdown releases the instruments, which must not be used afterwards.
func (m *Metrics) Shutdown(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return &Error{Part: "shutdown", Err: err}
	}
	return nil
}

// Error reports a part of the telemetry that could not be set up or shut down.
type Error struct {
	Part string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("telemetry: %s: %v", e.Part, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
