package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/retry"
	"github.com/pollenwheel/pollenwheel/core/route"
	"github.com/pollenwheel/pollenwheel/node/forward"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

// plainProtocol knows the id of a request and signs nothing else.
type plainProtocol struct{}

func (plainProtocol) ParseRequest(h http.Header) (forward.Request, error) {
	return forward.Request{ID: h.Get("T-Id")}, nil
}

func (plainProtocol) SetAttemptHeaders(http.Header, forward.Attempt) {}

func (plainProtocol) ParseAnswer(h http.Header) forward.Answer {
	return forward.Answer{ID: h.Get("T-Id"), Signed: true}
}

// routedHost is a host that runs in this process.
type routedHost struct {
	*Routed
	stop  context.CancelFunc
	ended chan error
}

// freeAddress returns an address whose port the kernel chose, on a loopback
// address that no outgoing connection uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.3:0", 1+os.Getpid()/250%250, 1+os.Getpid()%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startRouted(t *testing.T, s settings.Settings, front string, serveAfterLeave time.Duration) *routedHost {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r, err := NewRouted(RoutedOptions{
		Settings: s, Front: front, Protocol: plainProtocol{}, Budget: retry.Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 10},
		ServeAfterLeave: serveAfterLeave, LeaveWithin: time.Minute, Logger: logrus.NewEntry(logger),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &routedHost{Routed: r, stop: cancel, ended: make(chan error, 1)}
	go func() { h.ended <- r.Run(ctx) }()
	t.Cleanup(cancel)
	return h
}

// await waits until f holds. Its bound only ends a test that would hang.
func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 6000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("waited in vain for: %s", what)
}

// slowBackend answers each request at once, and those to /slow once released,
// at the latest at the end of the test.
func slowBackend(t *testing.T) (b *httptest.Server, began chan struct{}, release func()) {
	t.Helper()
	began = make(chan struct{})
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	b = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Id", r.Header.Get("T-Id"))
		if strings.HasSuffix(r.URL.Path, "/slow") {
			close(began)
			<-released
		}
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(func() {
		release()
		b.Close()
	})
	return b, began, release
}

// deployment starts one control host and one that serves callers, with a route
// to a plain backend server.
func deployment(t *testing.T, backend string, serveAfterLeave time.Duration) (control, front *routedHost, url string) {
	t.Helper()
	core := settings.Settings{
		Host: "core", DataCentre: "waco", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), Control: true,
		DataFolder: t.TempDir(), ElectionTimeout: 300 * time.Millisecond, AnnouncedAnywhere: true,
	}
	core.Voters = []settings.Peer{{Name: core.Host, Address: core.PeerAddress}}
	control = startRouted(t, core, "", 0)
	address := freeAddress(t)
	front = startRouted(t, settings.Settings{
		Host: "front", DataCentre: "waco", CallerAddress: address, PeerAddress: freeAddress(t), AnnouncedAnywhere: true,
		Seeds: []string{core.PeerAddress}, Voters: core.Voters, Peers: core.Voters,
	}, address, serveAfterLeave)
	table := route.Table{Version: 1, Services: []route.Service{{Name: "ledger"}}, Routes: []route.Route{{
		Name: "orders", Host: "h", Prefix: "/", Kind: route.Unsafe, Timeout: time.Minute, MaxAttempts: 1,
		Targets: []route.Target{{Service: "ledger", Weight: 1}},
	}}}
	await(t, "the table is published", func() bool { return control.Publish(t.Context(), table, []byte("{}")) == nil })
	control.Announce(membership.Server{Name: "ledger-1", Service: "ledger", Address: backend, DataCentre: "waco", Incarnation: 1, Sequence: 1})
	await(t, "callers are told of the front", func() bool { return listed(control, address) })
	url = "http://" + address
	await(t, "the front knows the backend server", func() bool {
		status, _, err := ask(url, "/quick")
		return err == nil && status == http.StatusOK
	})
	return control, front, url
}

func listed(h *routedHost, address string) bool {
	for _, a := range h.Addresses("waco") {
		if a.Address == address {
			return true
		}
	}
	return false
}

// ask sends a request on a connection of its own.
func ask(url, path string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, url+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Host, req.Close = "h", true
	req.Header.Set("T-Id", "id"+path)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against a planned stop that cuts a request, that refuses callers who
// still hold the address list, or that leaves the host in the list.
func TestAPlannedStopCutsNoRequest(t *testing.T) {
	backend, began, release := slowBackend(t)
	control, front, url := deployment(t, backend.Listener.Addr().String(), 5*time.Second)
	type answer struct {
		status int
		body   string
		err    error
	}
	slow := make(chan answer, 1)
	go func() {
		status, body, err := ask(url, "/slow")
		slow <- answer{status, body, err}
	}()
	<-began
	front.stop()
	await(t, "the address list lacks the front", func() bool { return !listed(control, strings.TrimPrefix(url, "http://")) })
	if status, body, err := ask(url, "/quick"); err != nil || status != http.StatusOK || body != "whole" {
		t.Errorf("a caller with the old list: status %d, body %q, error %v", status, body, err)
	}
	await(t, "the front takes no more requests", func() bool {
		_, _, err := ask(url, "/quick")
		return err != nil
	})
	select {
	case a := <-slow:
		t.Fatalf("the request in progress ended before its answer: %+v", a)
	case err := <-front.ended:
		t.Fatalf("the host ended with a request in progress: %v", err)
	default:
	}
	release()
	if a := <-slow; a.err != nil || a.status != http.StatusOK || a.body != "whole" {
		t.Errorf("the request in progress: %+v", a)
	}
	if err := <-front.ended; err != nil {
		t.Errorf("the host ended with %v", err)
	}
}

// Guards against a host that keeps the operators' document after a newer one, or
// that answers from memory although a newer one may be in force.
func TestTheNewestTableIsRead(t *testing.T) {
	backend, _, _ := slowBackend(t)
	control, front, _ := deployment(t, backend.Listener.Addr().String(), 0)
	next := route.Table{Version: 7, Services: []route.Service{{Name: "ledger"}}}
	if err := control.Publish(t.Context(), next, []byte(`{"seven":7}`)); err != nil {
		t.Fatal(err)
	}
	older := route.Table{Version: 3}
	if err := front.Publish(t.Context(), older, []byte(`{"three":3}`)); err != nil {
		t.Errorf("an older table must be acknowledged: %v", err)
	}
	for _, h := range []*routedHost{control, front} {
		got, err := h.Published(t.Context())
		if err != nil || string(got) != `{"seven":7}` {
			t.Errorf("%s reads %s, error %v", h.opts.Settings.Host, got, err)
		}
	}
}
