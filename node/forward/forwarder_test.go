package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/memory"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// testProtocol is a Protocol with header names that only these tests use.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) (Request, error) {
	ms, err := strconv.Atoi(h.Get("T-Deadline"))
	if h.Get("T-Deadline") == "" {
		err = nil
	}
	return Request{
		ID: h.Get("T-Id"), Timeout: time.Duration(ms) * time.Millisecond, ResumeAfter: h.Get("T-After"), ResumedStream: h.Get("T-Resumes"),
		Model: h.Get("T-Model"), Adapter: h.Get("T-Adapter"), PromptParts: strings.Fields(h.Get("T-Parts")), APIKey: h.Get("T-Key"),
	}, err
}

func (testProtocol) SetAttemptHeaders(h http.Header, a Attempt) {
	h.Set("T-Server", a.Server)
	h.Set("T-Priority", strconv.Itoa(a.Priority))
	h.Set("T-Account", fmt.Sprint(a.Accounts, " ", a.Account))
	if a.ResumeAfter != "" {
		h.Set("T-After", a.ResumeAfter)
	}
}

func (testProtocol) ParseAnswer(status int, h http.Header) Answer {
	return Answer{
		ID: h.Get("T-Id"), Signed: h.Get("T-Signed") != "", NotRun: h.Get("T-Not-Run") != "", Server: h.Get("T-Server"),
		Notice: notice.Read(notice.Fields{
			Limit: notice.Field{Name: "T-Limit", Values: h.Values("T-Limit")}, Leaving: notice.Field{Name: "T-Leaving", Values: h.Values("T-Leaving")},
			Pause: notice.Field{Name: "T-Pause", Values: h.Values("T-Pause")}, Refused: status == http.StatusServiceUnavailable || h.Get("T-Not-Run") != "",
		}),
	}
}

// unavailableLog fails all proposals.
type unavailableLog struct{}

func (unavailableLog) Propose(context.Context, state.Command) (state.Result, error) {
	return state.Result{}, errors.New("log unavailable")
}

// fakeBackend is a backend server that answers each request with the next handler
// of its script.
type fakeBackend struct {
	t      *testing.T
	name   string
	server *httptest.Server

	mu       sync.Mutex
	script   []http.HandlerFunc
	requests []*http.Request
	bodies   []string
}

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.requests = append(b.requests, r)
	b.bodies = append(b.bodies, string(body))
	step := signedAnswer(http.StatusOK, "ok")
	if len(b.script) > 0 {
		step, b.script = b.script[0], b.script[1:]
	}
	b.mu.Unlock()
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	step(w, r)
}

func (b *fakeBackend) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

func signedAnswer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Signed", "yes")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// eventStream sends the events with the IDs from first to last, then a partial
// event, and ends the stream or, if it is not complete, drops the connection.
func eventStream(first, last int, partial string, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Signed", "yes")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		}
		_, _ = io.WriteString(w, partial)
		_ = http.NewResponseController(w).Flush()
		if !complete {
			panic(http.ErrAbortHandler)
		}
	}
}

func answerNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Not-Run", "yes")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerWithOtherID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("T-Id", "another")
	signedAnswer(http.StatusOK, "not yours")(w, r)
}

func encodedAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Encoding", "br")
	signedAnswer(http.StatusOK, "x")(w, r)
}

func unsignedAnswer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") }

func truncatedAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("T-Signed", "yes")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "begin")
}

// startForwarder starts a Forwarder and one fake backend server for each script. It
// returns the URL of the Forwarder.
func startForwarder(t *testing.T, scripts ...[]http.HandlerFunc) (string, *Forwarder, []*fakeBackend) {
	t.Helper()
	var backends []*fakeBackend
	var servers []membership.ServerStatus
	for i, script := range scripts {
		b := &fakeBackend{t: t, name: fmt.Sprint("server-", i), script: script}
		b.server = httptest.NewServer(b)
		b.server.Config.ErrorLog = nil
		t.Cleanup(b.server.Close)
		backends = append(backends, b)
		servers = append(servers, membership.ServerStatus{Server: membership.Server{
			Name: b.name, Service: "plain", Address: b.server.Listener.Addr().String(), Incarnation: 1, Sequence: 1,
		}})
	}
	// No request is sent to this server because it holds no model.
	servers = append(servers, membership.ServerStatus{Server: membership.Server{
		Name: "engine", Service: "models", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1,
	}})
	rep := replica.New(state.New())
	targets := []route.Target{{Service: "plain", Weight: 1}}
	engine := &route.Engine{Slots: 8, MemoryMiB: 100, Models: []route.Model{
		{Name: "large", MemoryMiB: 10, StoreLoad: 13 * time.Second, DiskLoad: 500 * time.Millisecond},
	}}
	table := route.Table{Version: 1, Services: []route.Service{{Name: "plain"}, {Name: "sound"}, {Name: "models", Engine: engine}}, Limits: route.Limits{BodyBytes: 1000}, Routes: []route.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Safe, Timeout: time.Minute, MaxAttempts: 2, Targets: targets},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: route.Unsafe, Timeout: time.Minute, MaxAttempts: 2, Targets: targets},
		{Name: "nested", Host: "h", Prefix: "/nested/", Kind: route.Unsafe, Timeout: time.Minute, MaxAttempts: 2, Targets: targets},
		{Name: "nested look", Host: "h", Prefix: "/nested/look/", Kind: route.Safe, Timeout: time.Minute, MaxAttempts: 2, Targets: targets},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Streaming, Timeout: time.Minute, MaxAttempts: 2, Targets: targets},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Streaming, Timeout: time.Minute, MaxAttempts: 1, Targets: targets},
		{Name: "sound", Host: "h", Prefix: "/sound/", Kind: route.Unsafe, Timeout: time.Minute, MaxAttempts: 1, Targets: []route.Target{{Service: "sound", Weight: 1}}},
		{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: route.Streaming, Resumable: true, Timeout: time.Minute, MaxAttempts: 2, Targets: targets},
		{Name: "late", Host: "h", Prefix: "/late/", Kind: route.Safe, Timeout: time.Minute, Objective: time.Nanosecond, MaxAttempts: 2, Targets: targets},
		{
			Name: "model", Host: "h", Prefix: "/model/", Kind: route.Streaming, Timeout: time.Minute, MaxAttempts: 1,
			WaitLimit: 8 * time.Second, Targets: []route.Target{{Service: "models", Weight: 1}},
		},
	}}
	rep.Apply(1, state.Command{Publish: &state.Publish{Table: table}})
	start := time.Now()
	forwarder := New(Options{
		Protocol: testProtocol{}, Replica: rep, Log: unavailableLog{}, Holdings: NewHoldings(),
		Servers: func() []membership.ServerStatus { return append([]membership.ServerStatus(nil), servers...) }, HostCount: func() int { return 1 },
		Now: func() time.Duration { return time.Since(start) + time.Second }, Ready: func() bool { return true },
		RetryLimit: retry.Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}, DemandChanged: func() {},
	})
	forwarder.Refresh()
	server := httptest.NewServer(forwarder)
	t.Cleanup(server.Close)
	return server.URL, forwarder, backends
}

// callerResponse is the status and headers that a caller receives.
type callerResponse struct {
	status int
	header http.Header
}

// post sends a request with the given body and name-value pairs of headers. The
// error is that of reading the response body.
func post(t *testing.T, url, path, body string, headers ...string) (callerResponse, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("T-Id", "id-1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header}, string(data), err
}

// Guards against requests that are changed on the way to the backend server.
func TestRequestsArriveUnchanged(t *testing.T) {
	url, _, backends := startForwarder(t, nil)
	resp, body, err := post(t, url, "/safe/a%2Fb//c?x=1&y=%20", "the body", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	if err != nil || resp.status != http.StatusOK || body != "ok" {
		t.Fatalf("status %d, body %q, error %v; want status 200 and body \"ok\"", resp.status, body, err)
	}
	got := backends[0].requests[0]
	for _, c := range []struct{ what, got, want string }{
		{"method", got.Method, http.MethodPost},
		{"request URI", got.RequestURI, "/safe/a%2Fb//c?x=1&y=%20"},
		{"host", got.Host, "h"},
		{"body", backends[0].bodies[0], "the body"},
		{"end-to-end header", got.Header.Get("X-Own"), "kept"},
		{"hop-by-hop header", got.Header.Get("X-Hop"), ""},
		{"id", got.Header.Get("T-Id"), "id-1"},
		{"intended server", got.Header.Get("T-Server"), "server-0"},
	} {
		if c.got != c.want {
			t.Errorf("%s arrived as %q, want %q", c.what, c.got, c.want)
		}
	}
}

// Guards against passing on answers that belong to another request or are invalid,
// running an unsafe request twice, and refusing a request as not run although it
// may have run.
func TestAttemptOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, path string
		script     []http.HandlerFunc
		status     int
		body       string
		sent       int
	}{
		{"safe, connection dropped", "/safe/", []http.HandlerFunc{dropConnection}, 200, "ok", 2},
		{"safe, connection dropped twice", "/safe/", []http.HandlerFunc{dropConnection, dropConnection}, 502, "", 2},
		{"safe, answer to another request", "/safe/", []http.HandlerFunc{answerWithOtherID}, 200, "ok", 2},
		{"safe, failed", "/safe/", []http.HandlerFunc{signedAnswer(500, "bad")}, 200, "ok", 2},
		{"safe, failed twice", "/safe/", []http.HandlerFunc{signedAnswer(500, "bad"), signedAnswer(500, "worse")}, 500, "worse", 2},
		{"safe, refused by the only server", "/safe/", []http.HandlerFunc{answerNotRun}, 503, "", 1},
		{"unsafe, connection dropped", "/unsafe/", []http.HandlerFunc{dropConnection}, 502, "", 1},
		{"unsafe, answer to another request", "/unsafe/", []http.HandlerFunc{answerWithOtherID}, 502, "", 1},
		{"unsafe, encoded", "/unsafe/", []http.HandlerFunc{encodedAnswer}, 502, "", 1},
		{"unsafe, unsigned", "/unsafe/", []http.HandlerFunc{unsignedAnswer}, 502, "", 1},
		{"unsafe, truncated", "/unsafe/", []http.HandlerFunc{truncatedAnswer}, 502, "", 1},
		{"unsafe, failed", "/unsafe/", []http.HandlerFunc{signedAnswer(500, "bad")}, 500, "bad", 1},
		{"unsafe, refused by the only server", "/unsafe/", []http.HandlerFunc{answerNotRun}, 503, "", 1},
		{"stream, connection dropped before the first event", "/stream/", []http.HandlerFunc{dropConnection}, 502, "", 1},
		{"resumable, connection dropped before the first event", "/resumable/", []http.HandlerFunc{dropConnection, eventStream(1, 2, "", true)}, 200, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, _, backends := startForwarder(t, c.script)
			resp, body, err := post(t, url, c.path, "")
			if err != nil || resp.status != c.status || body != c.body {
				t.Errorf("status %d, body %q, error %v; want the status and body of the case", resp.status, body, err)
			}
			if got := backends[0].requestCount(); got != c.sent {
				t.Errorf("request sent %d times, want %d", got, c.sent)
			}
			if resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After header")
			}
		})
	}
}

// Guards against a request that is refused although another server could run it.
func TestRefusedRequestGoesToAnotherServer(t *testing.T) {
	for _, c := range []struct {
		name         string
		other        http.HandlerFunc
		status, sent int
	}{
		{"the other server runs it", signedAnswer(200, "ok"), 200, 2},
		{"the other server refuses it too", answerNotRun, 503, 2},
		{"the other server drops the connection", dropConnection, 502, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The first server that receives the request refuses it. The second
			// attempt, on the other server, gets c.other.
			var once sync.Once
			step := func(w http.ResponseWriter, r *http.Request) {
				refused := false
				once.Do(func() { refused = true })
				if refused {
					answerNotRun(w, r)
					return
				}
				c.other(w, r)
			}
			url, _, backends := startForwarder(t, []http.HandlerFunc{step}, []http.HandlerFunc{step})
			resp, _, _ := post(t, url, "/unsafe/", "")
			if sent := backends[0].requestCount() + backends[1].requestCount(); resp.status != c.status || sent != c.sent {
				t.Errorf("status %d, request sent %d times; want the values of the case", resp.status, sent)
			}
		})
	}
}

// Guards against events that are lost, duplicated or truncated, and against an
// interrupted stream that looks complete to the caller.
func TestStreams(t *testing.T) {
	const first, second = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", "id: 3\ndata: e3\n\n"
	for _, c := range []struct {
		name, path string
		script     []http.HandlerFunc
		body       string
		complete   bool
		resumedAt  string
	}{
		{"complete", "/stream/", []http.HandlerFunc{eventStream(1, 2, "", true)}, first, true, ""},
		{"cut between events", "/resumable/", []http.HandlerFunc{eventStream(1, 2, "", false), eventStream(3, 3, "", true)}, first + second, true, "2"},
		{"cut within an event", "/resumable/", []http.HandlerFunc{eventStream(1, 2, "id: 3\nda", false), eventStream(3, 3, "", true)}, first + second, true, "2"},
		{"ends within an event", "/resumable/", []http.HandlerFunc{eventStream(1, 2, "id: 3\nda", true), eventStream(3, 3, "", true)}, first + second, true, "2"},
		{"cut twice", "/resumable/", []http.HandlerFunc{eventStream(1, 2, "", false), dropConnection}, first, false, "2"},
		{"cut, then refused", "/resumable/", []http.HandlerFunc{eventStream(1, 2, "", false), answerNotRun}, first, false, "2"},
		{"cut, then a failure", "/resumable/", []http.HandlerFunc{eventStream(1, 2, "", false), signedAnswer(500, "bad")}, first, false, "2"},
		{"cut, not resumable", "/stream/", []http.HandlerFunc{eventStream(1, 2, "", false)}, first, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, _, backends := startForwarder(t, c.script)
			resp, body, err := post(t, url, c.path, "")
			if resp.status != http.StatusOK || body != c.body || (err == nil) != c.complete {
				t.Errorf("status %d, body %q, error %v; want status 200 and the body of the case, with an error only if incomplete", resp.status, body, err)
			}
			resumed := ""
			if backends[0].requestCount() > 1 {
				resumed = backends[0].requests[1].Header.Get("T-After")
			}
			if resumed != c.resumedAt {
				t.Errorf("resumed after the event %q, want %q", resumed, c.resumedAt)
			}
		})
	}
}

// Guards against refusals with the wrong status, and against sending a request that
// is refused.
func TestRefusalsBeforeTheRequestIsSent(t *testing.T) {
	url, forwarder, backends := startForwarder(t, nil)
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"no route", "/none/", "", nil, 404},
		{"body too large", "/safe/", strings.Repeat("x", 1001), nil, 413},
		{"invalid deadline", "/safe/", "", []string{"T-Deadline", "soon"}, 400},
	} {
		if resp, _, _ := post(t, url, c.path, c.body, c.headers...); resp.status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, resp.status, c.status)
		}
	}
	forwarder.StopAdmission()
	if resp, _, _ := post(t, url, "/none/", ""); resp.status != http.StatusServiceUnavailable {
		t.Errorf("after StopAdmission: status %d, want 503", resp.status)
	}
	if got := backends[0].requestCount(); got != 0 {
		t.Errorf("refused requests sent %d times, want 0", got)
	}
}

// Guards against a backend server that continues a request after its caller has
// disconnected.
func TestDisconnectedCallerEndsTheAttempt(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	url, _, _ := startForwarder(t, []http.HandlerFunc{func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /stream/ HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\n\r\n")
	<-started
	_ = conn.Close()
	<-ended
}

// Guards against a request that fails, or loses one of its attempts, because a server
// address refuses connections.
func TestUnreachableServerIsSkipped(t *testing.T) {
	url, _, backends := startForwarder(t, nil, nil)
	backends[0].server.Close()
	for range 8 {
		if resp, body, err := post(t, url, "/unsafe/", ""); err != nil || resp.status != http.StatusOK || body != "ok" {
			t.Fatalf("status %d, body %q, error %v; want status 200 and body \"ok\"", resp.status, body, err)
		}
	}
}

// FuzzEvents guards against events that are changed when a stream is split.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\n")
	f.Add("\n\n\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		counter, err := memory.NewEventCounter(memory.New(memory.DefaultLimit, nil).HoldAnswer("server", nil), 16)
		if err != nil {
			t.Fatal(err)
		}
		r := &eventReader{r: bufio.NewReaderSize(strings.NewReader(text), 16), counter: counter}
		passed := ""
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			passed += string(e.bytes)
		}
		if !strings.HasPrefix(text, passed) {
			t.Errorf("events %q are not a prefix of %q", passed, text)
		}
	})
}
