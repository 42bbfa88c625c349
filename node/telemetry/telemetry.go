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

// scope is the instrumentation scope of all instruments.
const scope = "github.com/pollenwheel/pollenwheel"

// NewLogger returns a logger that writes to out and marks each line with the
// host. An empty level counts as info.
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

// Metrics collects the instruments of one process. Each process, and each host
// of a test, has its own.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	handler  http.Handler
}

// NewMetrics returns metrics without instruments of the product, but with those
// of the Go runtime and the operating system process.
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

// Meter creates instruments.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter(scope) }

// Handler serves /metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Shutdown releases the instruments. They must not be used afterwards.
func (m *Metrics) Shutdown(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return &Error{Part: "shutdown", Err: err}
	}
	return nil
}

// Error reports a part that could not be set up or shut down.
type Error struct {
	Part string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("telemetry: %s: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
