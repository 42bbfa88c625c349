package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// world stands in for the other parts of a host. It commits at once.
type world struct {
	state   *state.State
	behind  bool
	fail    error
	drained []string
	metrics *Metrics
}

func (w *world) View(f func(*state.State)) { f(w.state) }

func (w *world) Propose(_ context.Context, c state.Command) (state.Result, error) {
	r := w.state.Apply(w.state.Index+1, c)
	return r, w.fail
}

func (w *world) Hosts() []HostPresence {
	return []HostPresence{{Host: membership.Host{Name: "waco-1"}}, {Host: membership.Host{Name: "bryan-1", Leaving: true}, Silent: true}}
}

func (w *world) Servers() []membership.ServerStatus { return []membership.ServerStatus{{Silent: true}} }

func (w *world) Drain(_ context.Context, host string) error {
	w.drained = append(w.drained, host)
	return w.fail
}

func (w *world) Burn(context.Context) Counts {
	s := burn.Series{Service: "assist", Kind: config.ObjectiveAvailability}
	s.Windows[3] = burn.Count{Good: 90, Total: 100}
	return Counts{Snapshot: burn.Snapshot{Series: []burn.Series{s}}, Hosts: []string{"waco-1"}, Missing: []string{"bryan-1"}}
}

func (w *world) Control() ControlStatus { return ControlStatus{Leader: "waco-1", Quorum: true} }

func serve(w *world) http.Handler {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	web := echo.New()
	New(Parts{
		Host: "waco-1", Proposer: w, Replica: w, Members: w, Drainer: w, Counter: w, Control: w,
		Ready: func() bool { return !w.behind }, Now: func() time.Time { return time.UnixMilli(1000) }, Metrics: w.metrics,
		BootstrapKeySHA256: HashKey("first"), Logger: logrus.NewEntry(logger),
	}).Routes(web)
	return web
}

func configuration() config.Configuration {
	return config.Configuration{
		Deployment: config.Deployment{Name: "brazos"},
		Services:   []config.Service{{Name: "assist", Kind: config.KindEngine}},
		Models:     []config.Model{{Name: "atlas", Service: "assist", Version: "1", MemoryMiB: 10, MaxReplicas: 2}},
		Callers: []config.Caller{
			{Name: "ops", Team: "operators", Role: config.RoleOperator, KeySHA256: HashKey("operator")},
			{Name: "desk", Team: "desk", Role: config.RoleCaller, KeySHA256: HashKey("caller")},
		},
		Objectives: []config.Objective{{Service: "assist", Kind: config.ObjectiveAvailability, Target: 0.99}},
	}
}

func send(t *testing.T, h http.Handler, method, path, key, body string) (int, string) {
	t.Helper()
	req := httptest.NewRequestWithContext(t.Context(), method, Prefix+path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	return rec.Code, rec.Body.String()
}

func applyBody(t *testing.T, id string, expected uint64, change func(*config.Configuration)) string {
	t.Helper()
	c := configuration()
	if change != nil {
		change(&c)
	}
	data, err := json.Marshal(ApplyRequest{ChangeID: id, Expected: &expected, Configuration: &c})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func refusal(t *testing.T, body string) *Refusal {
	t.Helper()
	var a RefusalAnswer
	if err := json.Unmarshal([]byte(body), &a); err != nil || a.Error == nil || a.Error.Code == "" || a.Error.Reason == "" || a.Error.Execution == "" {
		t.Fatalf("not a refusal: %s", body)
	}
	return a.Error
}

// Guards against a route that anyone can use, and against the bootstrap key
// staying valid after the first configuration.
func TestKeys(t *testing.T) {
	w := &world{state: state.New()}
	h := serve(w)
	routes := []struct{ method, path string }{
		{"GET", "/configuration"}, {"POST", "/configuration"}, {"GET", "/status"}, {"GET", "/models"},
		{"GET", "/hosts"}, {"POST", "/hosts/waco-1/drain"}, {"GET", "/burn"},
	}
	expect := func(stage, key string, status int) {
		t.Helper()
		for _, r := range routes {
			if got, body := send(t, h, r.method, r.path, key, ""); got != status {
				t.Errorf("%s: %s %s with key %q: got %d %s, want %d", stage, r.method, r.path, key, got, body, status)
			} else {
				_ = refusal(t, body)
			}
		}
	}
	for _, key := range []string{"", "operator", "firs", HashKey("first")} {
		expect("before", key, http.StatusUnauthorized)
	}
	if got, body := send(t, h, "POST", "/configuration", "first", applyBody(t, "one", 0, nil)); got != http.StatusOK {
		t.Fatalf("bootstrap key: got %d %s", got, body)
	}
	for _, key := range []string{"", "first", "wrong"} {
		expect("after", key, http.StatusUnauthorized)
	}
	expect("after", "caller", http.StatusForbidden)
	if len(w.drained) > 0 {
		t.Errorf("drained %v", w.drained)
	}
	if got, _ := send(t, h, "GET", "/status", "operator", ""); got != http.StatusOK {
		t.Errorf("operator key: got %d", got)
	}
}

// Guards against settings without a bootstrap key letting an empty key pass.
func TestNoBootstrapKey(t *testing.T) {
	a := New(Parts{Replica: &world{state: state.New()}})
	if _, known := a.role(HashKey("")); known {
		t.Error("a key is accepted")
	}
}

// Guards against the bootstrap key working again on a host that has restarted
// and does not know the configuration yet.
func TestNotServedBeforeCaughtUp(t *testing.T) {
	h := serve(&world{state: state.New(), behind: true})
	status, body := send(t, h, "GET", "/status", "first", "")
	if r := refusal(t, body); status != http.StatusServiceUnavailable || r.Code != CodeUnavailable || r.Execution != NotRun {
		t.Errorf("got %d %s", status, body)
	}
}

// Guards against requests that are refused without being counted.
func TestMetrics(t *testing.T) {
	reader := sdkmetric.NewManualReader()
	metrics, err := NewMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test"))
	if err != nil {
		t.Fatal(err)
	}
	h := serve(&world{state: state.New(), metrics: metrics})
	send(t, h, "GET", "/status", "first", "")
	send(t, h, "POST", "/hosts/nowhere/drain", "", "")
	var got metricdata.ResourceMetrics
	if err := reader.Collect(t.Context(), &got); err != nil {
		t.Fatal(err)
	}
	counted := map[string]int64{}
	for _, p := range got.ScopeMetrics[0].Metrics[0].Data.(metricdata.Sum[int64]).DataPoints {
		route, _ := p.Attributes.Value("route")
		status, _ := p.Attributes.Value("status")
		counted[route.AsString()+" "+status.String()] = p.Value
	}
	if len(counted) != 2 || counted["/v1/admin/status 200"] != 1 || counted["/v1/admin/hosts/:host/drain 401"] != 1 {
		t.Errorf("got %v", counted)
	}
}

// Guards against lost answers being applied twice, and against conflicts that
// do not tell operators what won.
func TestApply(t *testing.T) {
	w := &world{state: state.New()}
	h := serve(w)
	apply := func(key, body string) (int, string) { return send(t, h, "POST", "/configuration", key, body) }

	w.fail = errors.New("no quorum")
	status, body := apply("first", applyBody(t, "one", 0, nil))
	if r := refusal(t, body); status != http.StatusServiceUnavailable || r.Execution != ExecutionUnknown || r.RetryAfterMS == 0 {
		t.Errorf("lost answer: got %d %s", status, body)
	}
	w.fail = nil
	for _, key := range []string{"operator", "first"} {
		if status, body = apply(key, applyBody(t, "one", 0, nil)); status != http.StatusOK || !strings.Contains(body, `"version":1`) || w.state.Config.Version != 1 {
			t.Errorf("resend with key %q: got %d %s at version %d", key, status, body, w.state.Config.Version)
		}
	}
	index := w.state.Index
	if status, body = apply("first", applyBody(t, "two", 1, nil)); status != http.StatusUnauthorized || w.state.Index != index {
		t.Errorf("another change with the bootstrap key: got %d %s", status, body)
	}
	status, body = apply("operator", applyBody(t, "two", 0, nil))
	if r := refusal(t, body); status != http.StatusConflict || r.Code != CodeVersionConflict || r.Winner != "one" || r.Version != 1 || r.Execution != NotRun {
		t.Errorf("conflict: got %d %s", status, body)
	}
	if status, body = apply("operator", applyBody(t, "three", 1, nil)); status != http.StatusOK || !strings.Contains(body, `"version":2`) {
		t.Errorf("next change: got %d %s", status, body)
	}
	status, body = apply("operator", applyBody(t, "three", 1, func(c *config.Configuration) { c.Models[0].MaxReplicas = 9 }))
	if r := refusal(t, body); status != http.StatusConflict || r.Code != CodeChangeIDReused || r.Execution != NotRun {
		t.Errorf("change id for other contents: got %d %s", status, body)
	}
}

// Guards against a bad change reaching the replicated log.
func TestApplyRefuses(t *testing.T) {
	w := &world{state: state.New()}
	h := serve(w)
	good := applyBody(t, "one", 0, nil)
	for name, c := range map[string]struct {
		body   string
		status int
		want   string
	}{
		"no body":          {"", 400, "not an apply request"},
		"unknown field":    {strings.Replace(good, `"models"`, `"modells"`, 1), 400, "modells"},
		"two values":       {good + "{}", 400, "more than one"},
		"no change id":     {applyBody(t, "", 0, nil), 400, "change_id"},
		"no expected":      {strings.Replace(good, `"expected":0,`, "", 1), 400, "expected"},
		"no configuration": {`{"change_id":"a","expected":0}`, 400, "configuration must be set"},
		"no operator":      {applyBody(t, "one", 0, func(c *config.Configuration) { c.Callers = nil }), 422, "role operator"},
		"fault": {applyBody(t, "one", 0, func(c *config.Configuration) { c.Models[0].MemoryMiB = -1 }), 422,
			"models[atlas].memory_mib"},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := send(t, h, "POST", "/configuration", "first", c.body)
			if r := refusal(t, body); status != c.status || !strings.Contains(r.Reason, c.want) || r.Execution != NotRun {
				t.Errorf("got %d %s", status, body)
			}
		})
	}
	if w.state.Index != 0 {
		t.Errorf("%d commands were proposed", w.state.Index)
	}
}

// Guards against views that hide models, adapters or processes.
func TestViews(t *testing.T) {
	w := &world{state: state.New()}
	h := serve(w)
	send(t, h, "POST", "/configuration", "first", applyBody(t, "one", 0, nil))
	place := func(server, model, adapter string, phase state.Phase) {
		w.state.Placements[state.PlacementKey{Server: server, Model: model, Adapter: adapter}] = state.Placement{Phase: phase, Version: "1"}
	}
	place("engine-2", "atlas", "", state.PhaseReady)
	place("engine-1", "atlas", "", state.PhaseLoading)
	place("engine-2", "atlas", "letters", state.PhaseReady)
	place("engine-2", "atlas", "maps", state.PhaseLoading)
	place("engine-3", "gone", "", state.PhaseHeld)
	for path, want := range map[string]string{
		"/models": `{"models":[{"name":"atlas","service":"assist","version":"1","max_replicas":2,"pinned_replicas":0,"adapters":0,` +
			`"replicas":[{"server":"engine-1","phase":"loading","version":"1"},{"server":"engine-2","phase":"ready","version":"1","adapters":["letters"]}]},` +
			`{"name":"gone","max_replicas":0,"pinned_replicas":0,"removed":true,"adapters":0,"replicas":[{"server":"engine-3","phase":"held","version":"1"}]}]}`,
		"/status": `{"host":"waco-1","deployment":"brazos","version":1,"applied_index":1,` +
			`"control":{"leader":"waco-1","term":0,"quorum":true,"voters":null},"hosts":{"known":2,"silent":1,"leaving":1},` +
			`"servers":{"known":1,"silent":1,"leaving":0},"placements":{"held":1,"loading":2,"ready":2},"suspects":0,"quarantined":0}`,
	} {
		if status, body := send(t, h, "GET", path, "operator", ""); status != http.StatusOK || strings.TrimSpace(body) != want {
			t.Errorf("%s: got %d %s\nwant %s", path, status, body, want)
		}
	}
	status, body := send(t, h, "GET", "/configuration", "operator", "")
	var c config.Configuration
	if err := json.Unmarshal([]byte(body), &c); err != nil || status != http.StatusOK || c.Version != 1 || len(c.Models) != 1 {
		t.Errorf("configuration: got %d %s", status, body)
	}
}

func TestDrain(t *testing.T) {
	w := &world{state: state.New()}
	h := serve(w)
	if status, body := send(t, h, "POST", "/hosts/nowhere/drain", "first", ""); status != http.StatusNotFound || refusal(t, body).Code != CodeUnknownHost {
		t.Errorf("unknown host: got %d %s", status, body)
	}
	if status, _ := send(t, h, "POST", "/hosts/waco-1/drain", "first", ""); status != http.StatusAccepted || len(w.drained) != 1 {
		t.Errorf("got %d, drained %v", status, w.drained)
	}
	w.fail = errors.New("no answer")
	if status, body := send(t, h, "POST", "/hosts/waco-1/drain", "first", ""); status != http.StatusServiceUnavailable || refusal(t, body).Execution != ExecutionUnknown {
		t.Errorf("lost answer: got %d %s", status, body)
	}
}

// Guards against a report that hides hosts which were not counted.
func TestBurn(t *testing.T) {
	w := &world{state: state.New()}
	h := serve(w)
	send(t, h, "POST", "/configuration", "first", applyBody(t, "one", 0, nil))
	for format, want := range map[string]string{
		"": `"missing":["bryan-1"]`, "?format=json": `"good":90,"total":100`, "?format=text": "did not answer: bryan-1", "?format=svg": "<svg",
	} {
		if status, body := send(t, h, "GET", "/burn"+format, "operator", ""); status != http.StatusOK ||
			!strings.Contains(body, want) {
			t.Errorf("%s: got %d %s", format, status, body)
		}
	}
	if status, _ := send(t, h, "GET", "/burn?format=pdf", "operator", ""); status != http.StatusBadRequest {
		t.Errorf("unknown format: got %d", status)
	}
}

// Guards against panics and untyped answers on any apply body.
func FuzzDecodeApply(f *testing.F) {
	f.Add([]byte(`{"change_id":"a","expected":0,"configuration":{"deployment":{"name":"a"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := decodeApply(bytes.NewReader(data))
		var body *BodyError
		if err != nil && !errors.As(err, &body) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil {
			_ = check(*req.Configuration)
		}
	})
}
