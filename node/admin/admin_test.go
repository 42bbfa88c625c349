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
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// fakeHost implements all dependencies of the API. It applies commands at once.
type fakeHost struct {
	state *state.State
	// catchingUp is set while the replica has not caught up.
	catchingUp bool
	// err is returned by Propose and Drain after they have taken effect.
	err     error
	drained []string
	metrics *Metrics
}

func (h *fakeHost) View(f func(*state.State)) { f(h.state) }

func (h *fakeHost) Propose(_ context.Context, c state.Command) (state.Result, error) {
	r := h.state.Apply(h.state.Index+1, c)
	return r, h.err
}

func (h *fakeHost) Hosts() []HostStatus {
	return []HostStatus{{Host: membership.Host{Name: "waco-1"}}, {Host: membership.Host{Name: "bryan-1", Leaving: true}, Silent: true}}
}

func (h *fakeHost) Servers() []membership.ServerStatus {
	return []membership.ServerStatus{{Silent: true}}
}

func (h *fakeHost) Drain(_ context.Context, host string) error {
	h.drained = append(h.drained, host)
	return h.err
}

func (h *fakeHost) CollectBurn(context.Context) BurnCounts {
	s := burn.Series{Service: "assist", Kind: config.ObjectiveAvailability}
	s.Windows[3] = burn.Count{Good: 90, Total: 100}
	return BurnCounts{Snapshot: burn.Snapshot{Series: []burn.Series{s}}, Hosts: []string{"waco-1"}, Missing: []string{"bryan-1"}}
}

func (h *fakeHost) Notices() []notice.Statement {
	return []notice.Statement{{Process: notice.Process{Server: "engine-1", Incarnation: 7}, Limited: true, Sent: 4, Refused: 2, Paused: time.Second}}
}

func (h *fakeHost) PermitUsage() ([]ratelimit.Usage, bool) {
	return []ratelimit.Usage{{Process: ratelimit.Process{Server: "engine-1", Incarnation: 7}, Granted: map[string]int{"waco-1": 3}, Waiting: 1}}, true
}

func (h *fakeHost) ControlStatus() ControlStatus {
	return ControlStatus{Leader: "waco-1", Quorum: true}
}

func newHandler(fake *fakeHost) http.Handler {
	web := echo.New()
	newAPI(fake).RegisterRoutes(web)
	return web
}

func newAPI(fake *fakeHost) *API {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Dependencies{
		Host: "waco-1", Proposer: fake, Replica: fake, Members: fake, Drainer: fake, BurnCollector: fake, Control: fake, Notices: fake,
		CaughtUp: func() bool { return !fake.catchingUp }, Now: func() time.Time { return time.UnixMilli(1000) }, Metrics: fake.metrics,
		BootstrapKeySHA256: HashKey("first"), Logger: logrus.NewEntry(logger),
	})
}

// validConfiguration returns a configuration with an operator and a caller.
func validConfiguration() config.Configuration {
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

// send sends a request with the given key, if any, and returns the status and the
// body of the answer.
func send(t *testing.T, h http.Handler, method, path, key, body string) (int, string) {
	t.Helper()
	req := httptest.NewRequestWithContext(t.Context(), method, RoutePrefix+path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	return rec.Code, rec.Body.String()
}

// applyBody returns an apply request for a configuration that change has modified.
func applyBody(t *testing.T, id string, expected uint64, change func(*config.Configuration)) string {
	t.Helper()
	c := validConfiguration()
	if change != nil {
		change(&c)
	}
	data, err := json.Marshal(ApplyRequest{ChangeID: id, Expected: &expected, Configuration: &c})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// decodeRefusal fails the test unless body is a complete refusal.
func decodeRefusal(t *testing.T, body string) *Refusal {
	t.Helper()
	var a RefusalAnswer
	if err := json.Unmarshal([]byte(body), &a); err != nil || a.Error == nil || a.Error.Code == "" || a.Error.Reason == "" || a.Error.Execution == "" {
		t.Fatalf("not a complete refusal: %s", body)
	}
	return a.Error
}

// TestRoutesRequireOperatorKey guards against routes that are open without a key
// or to callers, and against a bootstrap key that stays valid after the first
// configuration.
func TestRoutesRequireOperatorKey(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	h := newHandler(fake)
	routes := []struct{ method, path string }{
		{"GET", "/configuration"}, {"POST", "/configuration"}, {"GET", "/status"}, {"GET", "/models"},
		{"GET", "/hosts"}, {"POST", "/hosts/waco-1/drain"}, {"GET", "/burn"},
	}
	expectStatus := func(stage, key string, status int) {
		t.Helper()
		for _, r := range routes {
			if got, body := send(t, h, r.method, r.path, key, ""); got != status {
				t.Errorf("%s: %s %s with key %q: status %d, body %s, want status %d", stage, r.method, r.path, key, got, body, status)
			} else {
				_ = decodeRefusal(t, body)
			}
		}
	}
	for _, key := range []string{"", "operator", "firs", HashKey("first")} {
		expectStatus("before the first configuration", key, http.StatusUnauthorized)
	}
	if got, body := send(t, h, "POST", "/configuration", "first", applyBody(t, "one", 0, nil)); got != http.StatusOK {
		t.Fatalf("bootstrap key: status %d, body %s", got, body)
	}
	for _, key := range []string{"", "first", "wrong"} {
		expectStatus("after the first configuration", key, http.StatusUnauthorized)
	}
	expectStatus("after the first configuration", "caller", http.StatusForbidden)
	if len(fake.drained) > 0 {
		t.Errorf("refused requests drained %v", fake.drained)
	}
	if got, _ := send(t, h, "GET", "/status", "operator", ""); got != http.StatusOK {
		t.Errorf("operator key: status %d", got)
	}
}

// TestRefusesEmptyKeyWithoutBootstrapKey guards against an empty key being
// accepted if the settings have no bootstrap key.
func TestRefusesEmptyKeyWithoutBootstrapKey(t *testing.T) {
	a := New(Dependencies{Replica: &fakeHost{state: state.New()}})
	if _, known := a.role(HashKey("")); known {
		t.Error("empty key accepted")
	}
}

// TestRefusesBeforeCaughtUp guards against the bootstrap key being accepted
// again on a restarted host whose replica does not have the configuration yet.
func TestRefusesBeforeCaughtUp(t *testing.T) {
	h := newHandler(&fakeHost{state: state.New(), catchingUp: true})
	status, body := send(t, h, "GET", "/status", "first", "")
	if r := decodeRefusal(t, body); status != http.StatusServiceUnavailable || r.Code != CodeUnavailable || r.Execution != ExecutionNotRun {
		t.Errorf("request before the replica has caught up: status %d, body %s", status, body)
	}
}

// TestCountsRefusedRequests guards against refused requests that are not counted.
func TestCountsRefusedRequests(t *testing.T) {
	reader := sdkmetric.NewManualReader()
	metrics, err := NewMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test"))
	if err != nil {
		t.Fatal(err)
	}
	h := newHandler(&fakeHost{state: state.New(), metrics: metrics})
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
		t.Errorf("requests by route and status: %v", counted)
	}
}

// TestApply guards against a change that is applied twice because its answer was
// lost, and against conflicts that do not name the change that was applied
// instead.
func TestApply(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	h := newHandler(fake)
	apply := func(key, body string) (int, string) { return send(t, h, "POST", "/configuration", key, body) }

	fake.err = errors.New("no quorum")
	status, body := apply("first", applyBody(t, "one", 0, nil))
	if r := decodeRefusal(t, body); status != http.StatusServiceUnavailable || r.Execution != ExecutionUnknown || r.RetryAfterMS == 0 {
		t.Errorf("lost answer: status %d, body %s", status, body)
	}
	fake.err = nil
	for _, key := range []string{"operator", "first"} {
		if status, body = apply(key, applyBody(t, "one", 0, nil)); status != http.StatusOK || !strings.Contains(body, `"version":1`) || fake.state.Config.Version != 1 {
			t.Errorf("resend with key %q: status %d, body %s at version %d", key, status, body, fake.state.Config.Version)
		}
	}
	index := fake.state.Index
	if status, body = apply("first", applyBody(t, "two", 1, nil)); status != http.StatusUnauthorized || fake.state.Index != index {
		t.Errorf("second change with the bootstrap key: status %d, body %s", status, body)
	}
	status, body = apply("operator", applyBody(t, "two", 0, nil))
	if r := decodeRefusal(t, body); status != http.StatusConflict || r.Code != CodeVersionConflict || r.Winner != "one" || r.Version != 1 || r.Execution != ExecutionNotRun {
		t.Errorf("conflict: status %d, body %s", status, body)
	}
	if status, body = apply("operator", applyBody(t, "three", 1, nil)); status != http.StatusOK || !strings.Contains(body, `"version":2`) {
		t.Errorf("next change: status %d, body %s", status, body)
	}
	status, body = apply("operator", applyBody(t, "three", 1, func(c *config.Configuration) { c.Models[0].MaxReplicas = 9 }))
	if r := decodeRefusal(t, body); status != http.StatusConflict || r.Code != CodeChangeIDReused || r.Execution != ExecutionNotRun {
		t.Errorf("change id with other contents: status %d, body %s", status, body)
	}
}

// TestApplyRefuses guards against invalid changes that reach the replicated log.
func TestApplyRefuses(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	h := newHandler(fake)
	validBody := applyBody(t, "one", 0, nil)
	for name, c := range map[string]struct {
		body   string
		status int
		want   string
	}{
		"no body":          {"", 400, "not an apply request"},
		"unknown field":    {strings.Replace(validBody, `"models"`, `"modells"`, 1), 400, "modells"},
		"two values":       {validBody + "{}", 400, "more than one"},
		"no change id":     {applyBody(t, "", 0, nil), 400, "change_id"},
		"no expected":      {strings.Replace(validBody, `"expected":0,`, "", 1), 400, "expected"},
		"no configuration": {`{"change_id":"a","expected":0}`, 400, "configuration must be set"},
		"no operator":      {applyBody(t, "one", 0, func(c *config.Configuration) { c.Callers = nil }), 422, "role operator"},
		"invalid memory": {applyBody(t, "one", 0, func(c *config.Configuration) { c.Models[0].MemoryMiB = -1 }), 422,
			"models[atlas].memory_mib"},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := send(t, h, "POST", "/configuration", "first", c.body)
			if r := decodeRefusal(t, body); status != c.status || !strings.Contains(r.Reason, c.want) || r.Execution != ExecutionNotRun {
				t.Errorf("refused apply request: status %d, body %s", status, body)
			}
		})
	}
	if fake.state.Index != 0 {
		t.Errorf("%d commands were proposed, want 0", fake.state.Index)
	}
}

// TestStatusAndModels guards against status answers that omit models, adapters,
// hosts or servers.
func TestStatusAndModels(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	h := newHandler(fake)
	send(t, h, "POST", "/configuration", "first", applyBody(t, "one", 0, nil))
	addPlacement := func(server, model, adapter string, phase state.Phase) {
		fake.state.Placements[state.PlacementKey{Server: server, Model: model, Adapter: adapter}] = state.Placement{Phase: phase, Version: "1"}
	}
	addPlacement("engine-2", "atlas", "", state.PhaseReady)
	addPlacement("engine-1", "atlas", "", state.PhaseLoading)
	addPlacement("engine-2", "atlas", "letters", state.PhaseReady)
	addPlacement("engine-2", "atlas", "maps", state.PhaseLoading)
	addPlacement("engine-3", "gone", "", state.PhaseHeld)
	for path, want := range map[string]string{
		"/models": `{"models":[{"name":"atlas","service":"assist","version":"1","max_replicas":2,"pinned_replicas":0,"adapters":0,` +
			`"replicas":[{"server":"engine-1","phase":"loading","version":"1"},{"server":"engine-2","phase":"ready","version":"1","adapters":["letters"]}]},` +
			`{"name":"gone","max_replicas":0,"pinned_replicas":0,"removed":true,"adapters":0,"replicas":[{"server":"engine-3","phase":"held","version":"1"}]}]}`,
		"/status": `{"host":"waco-1","deployment":"brazos","version":1,"applied_index":1,` +
			`"control":{"leader":"waco-1","term":0,"quorum":true,"voters":null},"hosts":{"known":2,"silent":1,"leaving":1},` +
			`"servers":{"known":1,"silent":1,"leaving":0},"placements":{"held":1,"loading":2,"ready":2},"suspects":0,"quarantined":0}`,
	} {
		if status, body := send(t, h, "GET", path, "operator", ""); status != http.StatusOK || strings.TrimSpace(body) != want {
			t.Errorf("%s: status %d, body %s\nwant %s", path, status, body, want)
		}
	}
	status, body := send(t, h, "GET", "/configuration", "operator", "")
	var c config.Configuration
	if err := json.Unmarshal([]byte(body), &c); err != nil || status != http.StatusOK || c.Version != 1 || len(c.Models) != 1 {
		t.Errorf("configuration: status %d, body %s", status, body)
	}
}

// TestDrain guards against a drain of an unknown host that is accepted, and
// against a lost answer that is reported as not executed.
func TestDrain(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	h := newHandler(fake)
	if status, body := send(t, h, "POST", "/hosts/nowhere/drain", "first", ""); status != http.StatusNotFound || decodeRefusal(t, body).Code != CodeUnknownHost {
		t.Errorf("unknown host: status %d, body %s", status, body)
	}
	if status, _ := send(t, h, "POST", "/hosts/waco-1/drain", "first", ""); status != http.StatusAccepted || len(fake.drained) != 1 {
		t.Errorf("known host: status %d, drained %v", status, fake.drained)
	}
	fake.err = errors.New("no answer")
	if status, body := send(t, h, "POST", "/hosts/waco-1/drain", "first", ""); status != http.StatusServiceUnavailable || decodeRefusal(t, body).Execution != ExecutionUnknown {
		t.Errorf("lost answer: status %d, body %s", status, body)
	}
}

// TestBurn guards against burn reports that omit the hosts that did not answer.
func TestBurn(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	h := newHandler(fake)
	send(t, h, "POST", "/configuration", "first", applyBody(t, "one", 0, nil))
	for format, want := range map[string]string{
		"": `"missing":["bryan-1"]`, "?format=json": `"good":90,"total":100`, "?format=text": "did not answer: bryan-1", "?format=svg": "<svg",
	} {
		if status, body := send(t, h, "GET", "/burn"+format, "operator", ""); status != http.StatusOK ||
			!strings.Contains(body, want) {
			t.Errorf("burn report with the query %q: status %d, body %s", format, status, body)
		}
	}
	if status, _ := send(t, h, "GET", "/burn?format=pdf", "operator", ""); status != http.StatusBadRequest {
		t.Errorf("unknown format: status %d", status)
	}
}

// TestSuspectsAreListedAndLifted guards against a quarantine that operators can neither
// see nor end, and against a lift of an unknown key that seems to succeed.
func TestSuspectsAreListedAndLifted(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	h := newHandler(fake)
	fake.state.Suspects = map[string]state.SuspectRecord{
		"4f1a":         {Crashes: []string{"engine-1/1"}, Trial: &state.Trial{Server: "engine-2"}},
		"77c0":         {Crashes: []string{"engine-1/1", "engine-2/1"}, Quarantined: true},
		"part:cleared": {Crashes: []string{"engine-3/1"}, Part: &state.PartRecord{Cleared: true}},
		"part:harmful": {Crashes: []string{"engine-3/1"}, Quarantined: true, Part: &state.PartRecord{UntilMS: 1 << 42}},
		"part:tried":   {Crashes: []string{"engine-3/1"}, Part: &state.PartRecord{}},
	}
	want := `{"suspects":[{"key":"77c0","state":"quarantined","crashes":["engine-1/1","engine-2/1"]},` +
		`{"key":"part:harmful","state":"quarantined","crashes":["engine-3/1"],"until_ms":4398046511104},` +
		`{"key":"4f1a","state":"tried","crashes":["engine-1/1"],"trial_server":"engine-2"},` +
		`{"key":"part:tried","state":"tried","crashes":["engine-3/1"]}]}`
	if status, body := send(t, h, "GET", "/suspects", "first", ""); status != http.StatusOK || strings.TrimSpace(body) != want {
		t.Errorf("suspects: status %d, body %s\nwant %s", status, body, want)
	}
	if status, body := send(t, h, "POST", "/suspects/none/lift", "first", ""); status != http.StatusNotFound || decodeRefusal(t, body).Code != CodeUnknownSuspect {
		t.Errorf("lift of an unknown suspect: status %d, body %s", status, body)
	}
	for _, key := range []string{"77c0", "part:harmful"} {
		if status, body := send(t, h, "POST", "/suspects/"+key+"/lift", "first", ""); status != http.StatusOK {
			t.Errorf("lift of %s: status %d, body %s", key, status, body)
		}
		if rec := fake.state.Suspects[key]; rec.Quarantined {
			t.Errorf("%s is still in quarantine", key)
		}
	}
}

// TestNoticesAreListed guards against limits and pauses of backend servers that operators cannot
// see, and against a limit of zero that is shown as none.
func TestNoticesAreListed(t *testing.T) {
	h := newHandler(&fakeHost{state: state.New()})
	want := `{"host":"waco-1","leader":"waco-1","servers":[{"server":"engine-1","incarnation":7,"limited":true,"leaving":false,` +
		`"paused_ms":1000,"sent_4s":4,"refused":2}],"permits":[{"server":"engine-1","incarnation":7,"per_second":0,"granted":{"waco-1":3},"waiting":1}]}`
	if status, body := send(t, h, "GET", "/notices", "first", ""); status != http.StatusOK || strings.TrimSpace(body) != want {
		t.Errorf("notices: status %d, body %s\nwant %s", status, body, want)
	}
}

// TestLocalRoutes guards against a local address that needs a key, and against one on which
// anyone on the machine can change the configuration or drain hosts.
func TestLocalRoutes(t *testing.T) {
	fake := &fakeHost{state: state.New()}
	fake.state.Suspects = map[string]state.SuspectRecord{"77c0": {Quarantined: true}}
	web := echo.New()
	newAPI(fake).RegisterLocalRoutes(web)
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/status", http.StatusOK}, {"GET", "/hosts", http.StatusOK}, {"GET", "/suspects", http.StatusOK}, {"GET", "/notices", http.StatusOK},
		{"POST", "/suspects/77c0/lift", http.StatusOK}, {"POST", "/configuration", http.StatusNotFound}, {"POST", "/hosts/bryan-1/drain", http.StatusNotFound},
	} {
		if status, body := send(t, web, c.method, c.path, "", ""); status != c.status {
			t.Errorf("%s %s without a key: status %d, want %d, body %s", c.method, c.path, status, c.status, body)
		}
	}
}

// FuzzDecodeApply guards against panics and errors of other types for any apply
// body.
func FuzzDecodeApply(f *testing.F) {
	f.Add([]byte(`{"change_id":"a","expected":0,"configuration":{"deployment":{"name":"a"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := decodeApply(bytes.NewReader(data))
		var bodyErr *BodyError
		if err != nil && !errors.As(err, &bodyErr) {
			t.Fatalf("error is not a BodyError: %v", err)
		}
		if err == nil {
			_ = validate(*req.Configuration)
		}
	})
}
