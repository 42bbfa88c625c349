package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/decision"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// record gives a gate a decision log and returns a function that waits for the
// first line about a request with one of the events.
func record(t *testing.T, g *Gate) func(events ...string) logrus.Fields {
	t.Helper()
	logger, hook := logtest.NewNullLogger()
	g.opts.Decisions = decision.New(logrus.NewEntry(logger))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.opts.Decisions.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return func(events ...string) logrus.Fields {
		for range 500 {
			for _, e := range hook.AllEntries() {
				if event, _ := e.Data[decision.FieldEvent].(string); slices.Contains(events, event) {
					return e.Data
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	}
}

// Guards against an ending of a request that leaves no line, or one without a
// reason.
func TestEachEndingLeavesALine(t *testing.T) {
	for _, c := range []struct {
		name, path, body string
		script           []http.HandlerFunc
		headers          []string
		prepare          func(*Gate)
		event            string
		status           int
	}{
		{"no route", "/none/", "", nil, nil, nil, decision.EventRefused, 404},
		{"bad deadline", "/safe/", "", nil, []string{"T-Deadline", "soon"}, nil, decision.EventRefused, 400},
		{"body too large", "/safe/", strings.Repeat("x", 1001), nil, nil, nil, decision.EventRefused, 413},
		{"too many bodies", "/safe/", "", nil, nil, func(g *Gate) { g.bodies.Store(maxBodies + 1) }, decision.EventRefused, 503},
		{"no such model", "/model/", "", nil, []string{"T-Model", "unknown"}, nil, decision.EventRefused, 404},
		{"no server holds the model", "/model/", "", nil, []string{"T-Model", "large"}, nil, decision.EventRefused, 503},
		{"closed", "/safe/", "", nil, nil, (*Gate).Close, decision.EventRefused, 503},
		{"refused by the server", "/safe/", "", []http.HandlerFunc{notRun, notRun, notRun}, nil, nil, decision.EventRefused, 503},
		{"may have run", "/unsafe/", "", []http.HandlerFunc{breakOff}, nil, nil, decision.EventFailed, 502},
		{"failed at the server", "/unsafe/", "", []http.HandlerFunc{signed(500, "sorry")}, nil, nil, decision.EventFailed, 500},
		{"broken off", "/stream/", "", []http.HandlerFunc{events(1, 3, "", false)}, nil, nil, decision.EventAborted, 0},
		{"late", "/late/", "", nil, nil, nil, decision.EventLate, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, g, _ := setup(t, c.script)
			line := record(t, g)
			if c.prepare != nil {
				c.prepare(g)
			}
			_, _, _ = post(t, url, c.path, c.body, c.headers...)
			f := line(c.event)
			if f == nil {
				t.Fatalf("no line %q", c.event)
			}
			if f[decision.FieldRequest] != "id-1" {
				t.Errorf("the line names the request %v", f[decision.FieldRequest])
			}
			if c.status > 0 && f[decision.FieldStatus] != c.status {
				t.Errorf("status %v, want %d", f[decision.FieldStatus], c.status)
			}
			if c.event == decision.EventRefused && f[decision.FieldReason] == "" {
				t.Error("the refusal has no reason")
			}
		})
	}
}

// Guards against a caller that leaves without a trace.
func TestALeavingCallerLeavesALine(t *testing.T) {
	began := make(chan struct{})
	url, g, _ := setup(t, []http.HandlerFunc{func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	}})
	line := record(t, g)
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /stream/ HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\n\r\n")
	<-began
	_ = conn.Close()
	if line(decision.EventLeft) == nil {
		t.Error("no line")
	}
}

// replicaLog applies commands to a replica, as the replicated log does.
type replicaLog struct {
	replica *replica.Replica
	index   atomic.Uint64
}

func (l *replicaLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	return l.replica.Apply(l.index.Add(1), c), nil
}

// Guards against a request that crashes one backend server after the other: two
// servers end with it, and it must not reach the third.
func TestARequestThatCrashesTwoServersIsHeldBack(t *testing.T) {
	const servers = 3
	var backends []*fakeBackend
	crash := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/unsafe/" {
			signed(http.StatusOK, "ok")(w, r)
			return
		}
		for _, b := range backends {
			if r.Header.Get("T-Server") == b.name {
				_ = b.server.Listener.Close()
			}
		}
		panic(http.ErrAbortHandler)
	}
	url, g, all := setup(t, []http.HandlerFunc{crash}, []http.HandlerFunc{crash}, []http.HandlerFunc{crash})
	backends = all
	log := &replicaLog{replica: g.opts.Replica}
	log.index.Store(10)
	g.opts.Log = log
	ended := func() int {
		n := 0
		g.opts.Replica.View(func(s *state.State) { n = len(s.Ended) })
		return n
	}
	for n := 1; n < servers; n++ {
		resp, _, err := post(t, url, "/unsafe/", "poison")
		if err != nil || resp.status != http.StatusBadGateway {
			t.Fatalf("request %d: status %d, error %v", n, resp.status, err)
		}
		for range 500 {
			if ended() == n {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if ended() != n {
			t.Fatalf("%d servers are known to have ended, want %d", ended(), n)
		}
		g.Refresh()
	}
	resp, _, err := post(t, url, "/unsafe/", "poison")
	if err != nil || resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") != "" {
		t.Errorf("the third time: status %d, Retry-After %q, error %v; want a refusal without an offer", resp.status, resp.header.Get("Retry-After"), err)
	}
	sent := 0
	for _, b := range backends {
		sent += b.count()
	}
	if sent != 2 {
		t.Errorf("sent %d times, want 2", sent)
	}
	if resp, body, err := post(t, url, "/safe/", "harmless"); err != nil || resp.status != http.StatusOK {
		t.Errorf("another request: status %d, body %q, error %v", resp.status, body, err)
	}
}
