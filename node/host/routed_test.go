package host

import (
	"bufio"
	"context"
	"errors"
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
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/forward"
	"github.com/pollenwheel/pollenwheel/node/settings"
)

// testProtocol reads request IDs from the header T-Id, sets no headers on attempts
// and treats every answer as signed.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) (forward.Request, error) {
	return forward.Request{ID: h.Get("T-Id")}, nil
}

func (testProtocol) SetAttemptHeaders(http.Header, forward.Attempt) {}

func (testProtocol) ParseAnswer(_ int, h http.Header) forward.Answer {
	return forward.Answer{ID: h.Get("T-Id"), Signed: true}
}

// testHost is a host that runs in the test process.
type testHost struct {
	*RoutedHost
	stop  context.CancelFunc
	ended chan error
}

// freeAddress returns an address with a free port chosen by the kernel. It is on a
// loopback address that no outgoing connection uses, so that none takes the port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.3:0", 1+os.Getpid()/250%250, 1+os.Getpid()%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startRouted(t *testing.T, s settings.Settings, callerListenAddress string, serveAfterLeave time.Duration) *testHost {
	t.Helper()
	return startRoutedUntil(t, s, callerListenAddress, serveAfterLeave, time.Minute)
}

// startRoutedUntil starts a host whose departure takes departureTimeout at most.
func startRoutedUntil(t *testing.T, s settings.Settings, callerListenAddress string, serveAfterLeave, departureTimeout time.Duration) *testHost {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r, err := NewRoutedHost(RoutedHostOptions{
		Settings: s, CallerListenAddress: callerListenAddress, OperatorListenAddress: operatorAddress(s.CallerAddress), Protocol: testProtocol{}, RetryLimit: retry.Limit{Ratio: 0.2, Window: 10 * time.Second, Slack: 10},
		ServeAfterLeave: serveAfterLeave, DepartureTimeout: departureTimeout, Logger: logrus.NewEntry(logger),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &testHost{RoutedHost: r, stop: cancel, ended: make(chan error, 1)}
	go func() { h.ended <- r.Run(ctx) }()
	t.Cleanup(cancel)
	return h
}

// await waits until f returns true. condition describes f in the failure message.
// The limit of at least 60 s only ends a test that would otherwise hang.
func await(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for range 6000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within the limit: %s", condition)
}

// slowBackend starts a backend server that answers requests at once, except for a
// request to /slow, which it answers after release is called or the test ends.
// began is closed when that request arrives.
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

// startDeployment starts one control host and one host that serves callers, and
// publishes a route to a backend server. It returns the hosts and the URL for
// callers.
func startDeployment(t *testing.T, backend string, serveAfterLeave time.Duration) (control, callerHost *testHost, url string) {
	t.Helper()
	return startDeploymentUntil(t, backend, serveAfterLeave, time.Minute)
}

// startDeploymentUntil is startDeployment with a limit on the departure of the host that
// serves callers.
func startDeploymentUntil(t *testing.T, backend string, serveAfterLeave, departureTimeout time.Duration) (control, callerHost *testHost, url string) {
	t.Helper()
	core := settings.Settings{
		Host: "core", DataCentre: "waco", CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), Control: true,
		DataFolder: t.TempDir(), ElectionTimeout: 300 * time.Millisecond, AnnounceAcrossDataCentres: true,
	}
	core.Voters = []settings.Peer{{Name: core.Host, Address: core.PeerAddress}}
	control = startRouted(t, core, "", 0)
	address := freeAddress(t)
	callerHost = startRoutedUntil(t, settings.Settings{
		Host: "front", DataCentre: "waco", CallerAddress: address, PeerAddress: freeAddress(t), AnnounceAcrossDataCentres: true,
		Seeds: []string{core.PeerAddress}, Voters: core.Voters, Peers: core.Voters,
	}, address, serveAfterLeave, departureTimeout)
	table := route.Table{Version: 1, Services: []route.Service{{Name: "ledger"}}, Routes: []route.Route{{
		Name: "orders", Host: "h", Prefix: "/", Kind: route.Unsafe, Timeout: time.Minute, MaxAttempts: 1,
		Targets: []route.Target{{Service: "ledger", Weight: 1}},
	}}}
	await(t, "the table is published", func() bool { return control.Publish(t.Context(), table, []byte("{}")) == nil })
	control.RecordAnnouncement(membership.Server{Name: "ledger-1", Service: "ledger", Address: backend, DataCentre: "waco", Incarnation: 1, Sequence: 1})
	await(t, "the address list contains the host for callers", func() bool { return isListed(control, address) })
	url = "http://" + address
	await(t, "the host for callers knows the backend server", func() bool {
		status, _, err := sendRequest(url, "/quick")
		return err == nil && status == http.StatusOK
	})
	return control, callerHost, url
}

func isListed(h *testHost, address string) bool {
	for _, a := range h.Addresses("waco") {
		if a.Address == address {
			return true
		}
	}
	return false
}

// sendRequest sends a request on a new connection and returns the status and the
// body.
func sendRequest(url, path string) (int, string, error) {
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

// TestPlannedStopCompletesRequests guards against a planned stop that aborts a
// request in progress, that refuses requests of callers with an old address list,
// or that leaves the host in the list.
func TestPlannedStopCompletesRequests(t *testing.T) {
	backend, began, release := slowBackend(t)
	control, callerHost, url := startDeployment(t, backend.Listener.Addr().String(), 5*time.Second)
	type answer struct {
		status int
		body   string
		err    error
	}
	slow := make(chan answer, 1)
	go func() {
		status, body, err := sendRequest(url, "/slow")
		slow <- answer{status, body, err}
	}()
	<-began
	callerHost.stop()
	await(t, "the address list no longer contains the leaving host", func() bool { return !isListed(control, strings.TrimPrefix(url, "http://")) })
	if status, body, err := sendRequest(url, "/quick"); err != nil || status != http.StatusOK || body != "whole" {
		t.Errorf("request of a caller with the old address list: status %d, body %q, error %v", status, body, err)
	}
	await(t, "the leaving host accepts no more requests", func() bool {
		_, _, err := sendRequest(url, "/quick")
		return err != nil
	})
	select {
	case a := <-slow:
		t.Fatalf("the request in progress ended before the backend server answered: %+v", a)
	case err := <-callerHost.ended:
		t.Fatalf("the host ended with a request in progress: %v", err)
	default:
	}
	release()
	if a := <-slow; a.err != nil || a.status != http.StatusOK || a.body != "whole" {
		t.Errorf("the request in progress ended with %+v, want status 200 and the complete body", a)
	}
	if err := <-callerHost.ended; err != nil {
		t.Errorf("the host ended with error %v", err)
	}
}

// TestPlannedStopRefusesWaitingRequests guards against a planned stop at whose end a request that
// still waits for a backend server is cut off without an answer (hunt-6111-31).
func TestPlannedStopRefusesWaitingRequests(t *testing.T) {
	backend, _, _ := slowBackend(t)
	control, callerHost, url := startDeploymentUntil(t, backend.Listener.Addr().String(), 0, refuseWaitingMargin+100*time.Millisecond)
	control.RecordLeaveNotice("ledger-1")
	await(t, "the host for callers knows that the only backend server has left", func() bool {
		servers := callerHost.members.Servers()
		return len(servers) == 1 && servers[0].Leaving
	})
	type answer struct {
		status int
		err    error
	}
	waiting := make(chan answer, 1)
	go func() {
		status, _, err := sendRequest(url, "/waiting")
		waiting <- answer{status, err}
	}()
	await(t, "the request waits", func() bool { return callerHost.requestForwarder.InFlight() == 1 })
	callerHost.stop()
	if a := <-waiting; a.err != nil || a.status != http.StatusServiceUnavailable {
		t.Errorf("the request that waits ended with %+v, want status 503", a)
	}
	if err := <-callerHost.ended; err != nil {
		t.Errorf("the host ended with error %v", err)
	}
}

// TestPlannedStopRefusesLateRequests guards against a request that a leaving host admits so late
// that its answer is cut off at the end of the departure. It is refused as not run instead, while
// the host still accepts connections.
func TestPlannedStopRefusesLateRequests(t *testing.T) {
	backend, _, release := slowBackend(t)
	release()
	_, callerHost, url := startDeploymentUntil(t, backend.Listener.Addr().String(), 3*time.Second, 10*time.Second)
	callerHost.opts.AdmitAfterLeave = time.Millisecond
	callerHost.stop()
	await(t, "the host leaves", func() bool { return callerHost.leaving.Load() })
	await(t, "a request is refused", func() bool {
		status, _, err := sendRequest(url, "/late")
		if err != nil {
			t.Fatalf("the host accepts no connection, before it refused a request: %v", err)
		}
		return status == http.StatusServiceUnavailable
	})
	if err := <-callerHost.ended; err != nil {
		t.Errorf("the host ended with error %v", err)
	}
}

// TestPlannedStopAnswersOpenConnections guards against a planned stop that closes the
// idle connections of callers: a request that has just been read on one of them would
// be cut off without an answer. It is answered as not run instead.
func TestPlannedStopAnswersOpenConnections(t *testing.T) {
	backend, began, release := slowBackend(t)
	_, callerHost, url := startDeployment(t, backend.Listener.Addr().String(), 0)
	address := strings.TrimPrefix(url, "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	type answer struct {
		status int
		closes bool
		err    error
	}
	exchange := func(id string) answer {
		_, _ = fmt.Fprintf(conn, "POST /quick HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answer{err: err}
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return answer{resp.StatusCode, resp.Close, err}
	}
	if a := exchange("before"); a.err != nil || a.status != http.StatusOK {
		t.Fatalf("before the stop: %+v", a)
	}
	ended := make(chan error, 1)
	go func() {
		_, _, err := sendRequest(url, "/slow")
		ended <- err
	}()
	<-began
	callerHost.stop()
	await(t, "the listener for callers is closed", func() bool {
		probe, err := net.Dial("tcp", address)
		if err == nil {
			_ = probe.Close()
		}
		return err != nil
	})
	if a := exchange("during"); a.err != nil || a.status != http.StatusServiceUnavailable || !a.closes {
		t.Errorf("on a connection from before the stop: %+v; want status 503 with Connection: close", a)
	}
	release()
	if err := <-ended; err != nil {
		t.Errorf("the request in progress ended with error %v", err)
	}
	if err := <-callerHost.ended; err != nil {
		t.Errorf("the host ended with error %v", err)
	}
}

// TestPublishedReturnsNewestTable guards against a host that replaces the
// operators' document by one of an older version, or that answers from its own
// state without the leader although a newer document may be committed. A host without the control
// role keeps no document, since it holds the keys of accounts.
func TestPublishedReturnsNewestTable(t *testing.T) {
	backend, _, _ := slowBackend(t)
	control, callerHost, _ := startDeployment(t, backend.Listener.Addr().String(), 0)
	next := route.Table{Version: 7, Services: []route.Service{{Name: "ledger"}}}
	if err := control.Publish(t.Context(), next, []byte(`{"seven":7}`)); err != nil {
		t.Fatal(err)
	}
	older := route.Table{Version: 3}
	if err := callerHost.Publish(t.Context(), older, []byte(`{"three":3}`)); err != nil {
		t.Errorf("publishing an older table must succeed: %v", err)
	}
	if got, err := control.Published(t.Context()); err != nil || string(got) != `{"seven":7}` {
		t.Errorf("the control host returned %s, error %v", got, err)
	}
	if got, err := callerHost.Published(t.Context()); !errors.Is(err, ErrNoDocument) || got != nil {
		t.Errorf("the host without the control role returned %s, error %v, want ErrNoDocument", got, err)
	}
	await(t, "the newest table is applied", func() bool { return callerHost.table().Version == 7 })
	callerHost.replica.View(func(s *state.State) {
		if len(s.Published.Source) != 0 {
			t.Errorf("the host without the control role holds the document %s", s.Published.Source)
		}
	})
}
