package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/admission"
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// Guards against requests without X-Urgency that do not get the urgency of their model,
// and against a stated urgency that is replaced by it.
func TestDefaultUrgency(t *testing.T) {
	cases := []struct {
		name             string
		model            config.Urgency
		stated, deadline string
		adapter          bool
		class            admission.Class
		timeout          time.Duration
	}{
		{"model without urgency", "", "", "", false, admission.Standard, defaultTimeout},
		{"interactive model", config.UrgencyInteractive, "", "", false, admission.Interactive, defaultTimeout},
		{"standard model", config.UrgencyStandard, "", "", false, admission.Standard, defaultTimeout},
		{"patient model", config.UrgencyPatient, "", "", false, admission.Patient, patientTimeout},
		{"adapter of a patient model", config.UrgencyPatient, "", "", true, admission.Patient, patientTimeout},
		{"patient model with a deadline", config.UrgencyPatient, "", "1500", false, admission.Patient, 1500 * time.Millisecond},
		{"stated urgency above that of the model", config.UrgencyPatient, "interactive", "", false, admission.Interactive, defaultTimeout},
		{"stated urgency below that of the model", config.UrgencyInteractive, "patient", "", false, admission.Patient, patientTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state.New()
			s.Apply(1, state.Command{Configure: &state.Configure{ChangeID: "first", Next: config.Configuration{
				Services: []config.Service{{Name: "lace-assist", Kind: config.KindEngine}},
				Models:   []config.Model{{Name: guideModel, Service: "lace-assist", Version: "1", MaxReplicas: 1, Urgency: c.model}},
				Adapters: []config.Adapter{{Name: "torchon", Model: guideModel}},
			}}})
			e := New(Options{
				Replica: replica.New(s), Client: backend.NewClient(), Servers: func() []membership.ServerStatus { return nil },
				Now: func() time.Duration { return 0 }, Self: state.HostProcess{Host: "entry-1", Incarnation: 1}, Seed: 1,
			})
			body := chatBody("x", false, 1)
			if c.adapter {
				body = strings.Replace(body, guideModel, "torchon", 1)
			}
			req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			for name, value := range map[string]string{"X-Urgency": c.stated, "X-Deadline-Ms": c.deadline} {
				if value != "" {
					req.Header.Set(name, value)
				}
			}
			parsed, refusal := e.parseCompletion(echo.New().NewContext(req, httptest.NewRecorder()), e.view.Load())
			if refusal != nil {
				t.Fatal(refusal)
			}
			if parsed.class != c.class || parsed.timeout != c.timeout {
				t.Errorf("class %d, timeout %s; want %d, %s", parsed.class, parsed.timeout, c.class, c.timeout)
			}
		})
	}
}
