package admin

import (
	"fmt"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metrics counts administration requests.
type Metrics struct {
	requests metric.Int64Counter
}

// NewMetrics creates the instruments on meter.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	requests, err := meter.Int64Counter("pollenwheel.admin.requests",
		metric.WithUnit("{request}"), metric.WithDescription("Administration requests by route and status."))
	if err != nil {
		return nil, fmt.Errorf("admin: metrics: %w", err)
	}
	return &Metrics{requests: requests}, nil
}

// countRequests is middleware that counts each request by route and status after
// the handler has answered it. It uses the route and not the path, because the
// number of different paths is unlimited.
func (a *API) countRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if a.deps.Metrics != nil {
			a.deps.Metrics.requests.Add(c.Request().Context(), 1, metric.WithAttributes(
				attribute.String("route", c.Path()), attribute.Int("status", c.Response().Status)))
		}
		return err
	}
}
