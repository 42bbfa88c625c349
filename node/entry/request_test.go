package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// newConfiguredEntry returns an Entry that serves a configuration without servers.
func newConfiguredEntry(callers ...config.Caller) *Entry {
	s := state.New()
	s.Apply(1, state.Command{Configure: &state.Configure{ChangeID: "first", Next: config.Configuration{
		Services: []config.Service{{Name: "lace-assist", Kind: config.KindEngine}, {Name: orderService, Kind: config.KindPlain}},
		Models:   []config.Model{{Name: guideModel, Service: "lace-assist", Version: "1", MaxReplicas: 1}},
		Adapters: []config.Adapter{{Name: "torchon", Model: guideModel}},
		Callers:  callers,
	}}})
	return New(Options{
		Replica: replica.New(s), Client: backend.NewClient(), Servers: func() []membership.ServerStatus { return nil },
		Now: func() time.Duration { return 0 }, Self: state.HostProcess{Host: "entry-1", Incarnation: 1}, Seed: 1,
	})
}

// Guards against invalid requests that are accepted or get the wrong error code.
func TestBadRequests(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	e := newConfiguredEntry(config.Caller{Name: "desk", Team: "lace", KeySHA256: hex.EncodeToString(sum[:])})
	validBody := chatBody("x", false, 1)
	cases := []struct {
		name, path, body string
		header           map[string]string
		status           int
		code             string
	}{
		{"no key", "/v1/chat/completions", validBody, map[string]string{"Authorization": ""}, 401, "unauthorized"},
		{"wrong key", "/v1/chat/completions", validBody, map[string]string{"Authorization": "Bearer other"}, 401, "unauthorized"},
		{"no model", "/v1/chat/completions", `{}`, nil, 400, "bad_request"},
		{"no JSON", "/v1/chat/completions", `model`, nil, 400, "bad_request"},
		{"unknown model", "/v1/chat/completions", `{"model":"bobbin"}`, nil, 404, "unknown_model"},
		{"large body", "/v1/chat/completions", strings.Repeat("x", maxBodyBytes+1), nil, 413, "bad_request"},
		{"unknown urgency", "/v1/chat/completions", validBody, map[string]string{"X-Urgency": "now"}, 400, "bad_request"},
		{"zero deadline", "/v1/chat/completions", validBody, map[string]string{"X-Deadline-Ms": "0"}, 400, "bad_request"},
		{"long deadline", "/v1/chat/completions", validBody, map[string]string{"X-Deadline-Ms": "99999999999"}, 400, "bad_request"},
		{"invalid X-Idempotent", "/v1/services/" + orderService + "/", "", map[string]string{"X-Idempotent": "no"}, 400, "bad_request"},
		{"no idempotency key", "/v1/services/" + orderService + "/", "", map[string]string{"X-Idempotent": "false"}, 400, "bad_request"},
		{"key without time", "/v1/services/" + orderService + "/", "", map[string]string{"X-Idempotent": "false", "Idempotency-Key": "abc"}, 400, "bad_request"},
		{"engine as service", "/v1/services/lace-assist/", "", nil, 404, "unknown_service"},
	}
	web := echo.New()
	e.RegisterRoutes(web)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
			req.Header.Set("Authorization", "Bearer secret")
			for k, v := range c.header {
				req.Header.Set(k, v)
			}
			rec := httptest.NewRecorder()
			web.ServeHTTP(rec, req)
			if rec.Code != c.status || !strings.Contains(rec.Body.String(), `"code":"`+c.code+`","execution":"not_run"`) {
				t.Errorf("status %d, body %s; want the status and code of the case, and not_run", rec.Code, rec.Body)
			}
		})
	}
}

// Guards against a method, path, query, body or header that changes when a request is
// forwarded, and against a caller's key that leaks to a backend server.
func TestServiceRequestIsForwardedUnchanged(t *testing.T) {
	e := newConfiguredEntry()
	req := httptest.NewRequest(http.MethodPut, "/v1/services/"+orderService+"/a%2Fb/c?x=%20y", strings.NewReader("body"))
	req.Header.Set("X-Trace", "7")
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "1")
	c := echo.New().NewContext(req, httptest.NewRecorder())
	c.SetParamNames("service")
	c.SetParamValues(orderService)
	parsed, r := e.parseService(c, e.view.Load())
	if r != nil {
		t.Fatal(r)
	}
	if parsed.method != "PUT" || parsed.path != "/a%2Fb/c?x=%20y" || string(parsed.body) != "body" {
		t.Errorf("forwarded request changed: method %s, path %s, body %s", parsed.method, parsed.path, parsed.body)
	}
	if len(parsed.header) != 1 || parsed.header.Get("X-Trace") != "7" {
		t.Errorf("headers %v, want only X-Trace: 7", parsed.header)
	}
}

// Guards against late refusals. If no server is ready, a request waits no longer than its
// deadline. If none will be ready before the deadline, it is refused at once.
func TestColdModelRefusals(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(clusterOptions{hosts: 1, plainServers: 1})
		defer cl.close()
		cl.hosts[0].entry.opts.PredictReadyAt = func(string, string) (time.Duration, bool) { return time.Since(cl.start) + 30*time.Second, true }
		for deadline, want := range map[string]time.Duration{"20000": 0, "35000": 35 * time.Second} {
			r := cl.hosts[0].call(context.Background(), "/v1/chat/completions", map[string]string{"X-Deadline-Ms": deadline}, chatBody("x", true, 1))
			if r.refusal == nil || r.refusal.Code != "deadline" || r.refusal.Execution != ExecutionNotRun || r.took > want || r.refusal.RetryAfterMS == 0 {
				t.Errorf("deadline %s ms: took %s, refusal %+v; want deadline and not_run in time, with a time to retry", deadline, r.took, r.refusal)
			}
		}
	})
}

// FuzzCaller checks that any body and headers give either a request or a refusal with a code.
func FuzzCaller(f *testing.F) {
	f.Add(chatBody("x", true, 3), "interactive", "1000", "false", "1700000000000.a", "/v1/services/supply-orders/x")
	f.Add(`{"model":"torchon","messages":[{"content":[{"type":"text"}]}]}`, "patient", "-1", "", "", "/v1/services/supply-orders")
	f.Add(`{"model":1}`, "", "1e9", "true", "1.", "/v1/services/supply-orders/%zz?%")
	e := newConfiguredEntry()
	web := echo.New()
	f.Fuzz(func(t *testing.T, body, urgency, deadline, idempotent, key, path string) {
		for _, parse := range []func(echo.Context, *view) (*request, *Refusal){e.parseCompletion, e.parseService} {
			req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
			req.URL.Path = path
			req.Header = http.Header{"X-Urgency": {urgency}, "X-Deadline-Ms": {deadline}, "X-Idempotent": {idempotent}, "Idempotency-Key": {key}}
			c := web.NewContext(req, httptest.NewRecorder())
			c.SetParamNames("service")
			c.SetParamValues(orderService)
			parsed, r := parse(c, e.view.Load())
			switch {
			case (parsed == nil) == (r == nil):
				t.Fatal("neither or both of a request and a refusal returned, want one")
			case r != nil && (r.Status < 400 || r.Status > 499 || r.Code == "" || r.Execution != ExecutionNotRun):
				t.Fatalf("invalid refusal %+v", r)
			case parsed != nil && (parsed.timeout <= 0 || parsed.timeout > maxTimeout || parsed.path[0] != '/' || !parsed.idempotent && parsed.createdMS <= 0):
				t.Fatalf("invalid request %+v", parsed)
			}
		}
	})
}

// Guards against a host that reports a new key or model as unknown while it is catching
// up with the configuration after a restart.
func TestStartingHostRefusesAsNotReady(t *testing.T) {
	for _, callers := range [][]config.Caller{nil, {{Name: "desk", KeySHA256: "none"}}} {
		e := newConfiguredEntry(callers...)
		e.opts.Ready = func() bool { return false }
		web := echo.New()
		e.RegisterRoutes(web)
		rec := httptest.NewRecorder()
		web.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"bobbin"}`)))
		if rec.Code != http.StatusServiceUnavailable || !strings.Contains(rec.Body.String(), "not_ready") {
			t.Errorf("status %d, want 503 with not_ready: %s", rec.Code, rec.Body)
		}
	}
}
