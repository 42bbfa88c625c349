package telemetry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pollenwheel/pollenwheel/node/settings"
)

// Guards against counters that are shared between hosts in one process, and against
// instruments that are not exported by the handler.
func TestMetrics(t *testing.T) {
	logger, err := NewLogger(&bytes.Buffer{}, settings.Settings{Host: "waco-1"})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		m, err := NewMetrics(logger)
		if err != nil {
			t.Fatal(err)
		}
		c, err := m.Meter().Int64Counter("pollenwheel.requests", metric.WithUnit("{request}"))
		if err != nil {
			t.Fatal(err)
		}
		c.Add(t.Context(), 3, metric.WithAttributes(attribute.String("model", "atlas")))
		rec := httptest.NewRecorder()
		m.Handler().ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
		if want := `pollenwheel_requests_total{model="atlas"} 3`; !strings.Contains(rec.Body.String(), want) {
			t.Errorf("metrics lack %q:\n%s", want, rec.Body.String())
		}
		if !strings.Contains(rec.Body.String(), "go_goroutines") {
			t.Error("metrics lack go_goroutines of the Go runtime")
		}
		if err := m.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a logger that ignores the level, omits the host or accepts an
// unknown level.
func TestLogger(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(&out, settings.Settings{Host: "waco-1", DataCentre: "waco", LogLevel: settings.LogWarn})
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("hidden")
	logger.Warn("shown")
	if got := out.String(); strings.Contains(got, "hidden") || !strings.Contains(got, "msg=shown") || !strings.Contains(got, "host=waco-1") {
		t.Errorf("output %q, want only the line \"shown\" with host=waco-1", got)
	}
	if _, err := NewLogger(&out, settings.Settings{LogLevel: "loud"}); err == nil {
		t.Error("the unknown level \"loud\" is accepted")
	}
}
