package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/burn"
	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/notice"
	"github.com/pollenwheel/pollenwheel/core/ratelimit"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
)

// deployment simulates two hosts that share one state. It implements the
// dependencies of the administration API.
type deployment struct {
	mu      sync.Mutex
	state   *state.State
	hosts   []admin.HostStatus
	servers []*httptest.Server
	// answersToLose is the number of answers that are still to be lost after their
	// requests took effect.
	answersToLose int
	requests      int
	// bootstrapHash is the hash of the key that is valid before the first
	// configuration.
	bootstrapHash string
}

func newDeployment(t *testing.T, bootstrapKey string) *deployment {
	d := &deployment{state: state.New(), bootstrapHash: admin.HashKey(bootstrapKey)}
	for _, name := range []string{"nord-1", "sud-1"} {
		web := echo.New()
		d.administration(name).RegisterRoutes(web)
		s := httptest.NewServer(d.withLostAnswers(web))
		t.Cleanup(s.Close)
		d.servers = append(d.servers, s)
		d.hosts = append(d.hosts, admin.HostStatus{Host: membership.Host{Name: name, CallerAddress: s.Listener.Addr().String()}})
	}
	return d
}

func (d *deployment) administration(host string) *admin.API {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return admin.New(admin.Dependencies{
		Host: host, Proposer: d, Replica: d, Members: d, Drainer: d, BurnCollector: d, Control: d, Notices: d,
		CaughtUp: func() bool { return true }, Now: func() time.Time { return time.UnixMilli(1) },
		BootstrapKeySHA256: d.bootstrapHash, Logger: logrus.NewEntry(logger),
	})
}

// serveLocal serves the local address of a host, and returns it.
func (d *deployment) serveLocal(t *testing.T) string {
	web := echo.New()
	d.administration("nord-1").RegisterLocalRoutes(web)
	s := httptest.NewServer(web)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// withLostAnswers returns a handler that closes the connection instead of
// answering, after next has served the request, while answers are to be lost.
func (d *deployment) withLostAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.requests++
		lost := d.answersToLose > 0
		if lost {
			d.answersToLose--
		}
		d.mu.Unlock()
		if !lost {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func (d *deployment) View(f func(*state.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.state)
}

func (d *deployment) Propose(_ context.Context, c state.Command) (state.Result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Apply(d.state.Index+1, c), nil
}

func (d *deployment) Hosts() []admin.HostStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]admin.HostStatus(nil), d.hosts...)
}

func (d *deployment) Servers() []membership.ServerStatus { return nil }

func (d *deployment) Drain(_ context.Context, host string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.hosts {
		if d.hosts[i].Name == host {
			d.hosts[i].Leaving = true
		}
	}
	return nil
}

func (d *deployment) CollectBurn(context.Context) admin.BurnCounts {
	s := burn.Series{Service: "scribe", Kind: config.ObjectiveAvailability}
	s.Windows[3] = burn.Count{Good: 75, Total: 100}
	return admin.BurnCounts{Snapshot: burn.Snapshot{Series: []burn.Series{s}}, Hosts: []string{"nord-1"}, Missing: []string{"sud-1"}}
}

func (d *deployment) Notices() []notice.Statement {
	return []notice.Statement{
		{Process: notice.Process{Server: "engine-1", Incarnation: 7}, Limited: true, PerSecond: 3.7, Paused: 1500 * time.Millisecond, Sent: 4, Refused: 2},
		{Process: notice.Process{Server: "engine-2", Incarnation: 8}, Leaving: true},
	}
}

func (d *deployment) PermitUsage() ([]ratelimit.Usage, bool) {
	return []ratelimit.Usage{{
		Process: ratelimit.Process{Server: "engine-1", Incarnation: 7}, PerSecond: 3.7, Granted: map[string]int{"sud-1": 5, "nord-1": 9}, Waiting: 1,
	}}, true
}

func (d *deployment) ControlStatus() admin.ControlStatus {
	return admin.ControlStatus{Leader: "nord-1", Term: 3, Quorum: true, Voters: []string{"nord-1", "sud-1"}}
}

// tool runs pollenctl against a deployment. Waits between its requests call sleep
// and take no time.
type tool struct {
	t          *testing.T
	deployment *deployment
	folder     string
	key        string
	addresses  []string
	// sleep replaces each wait between requests; an error ends the polling.
	sleep func() error
}

// newTool returns a tool whose key is both the bootstrap key and an operator key.
func newTool(t *testing.T) *tool { return newToolWithKey(t, "operator") }

func newToolWithKey(t *testing.T, bootstrapKey string) *tool {
	// kingpin reads these variables from the environment of the test process, where
	// a user may have set them.
	t.Setenv("POLLENWHEEL_ADDRESSES", "")
	t.Setenv("POLLENWHEEL_KEY_FILE", "")
	d := newDeployment(t, bootstrapKey)
	tl := &tool{t: t, deployment: d, folder: t.TempDir(), key: bootstrapKey}
	for _, s := range d.servers {
		tl.addresses = append(tl.addresses, s.Listener.Addr().String())
	}
	sleeps := 0
	tl.sleep = func() error {
		if sleeps++; sleeps > 5 {
			return context.DeadlineExceeded
		}
		return nil
	}
	return tl
}

func (tl *tool) run(args ...string) (code int, stdout, stderr string) {
	tl.t.Helper()
	var outBuffer, errBuffer bytes.Buffer
	e := &environment{
		stdout: &outBuffer, stderr: &errBuffer,
		getenv: func(name string) string { return map[string]string{"POLLENWHEEL_KEY": tl.key}[name] },
		sleep:  func(context.Context, time.Duration) error { return tl.sleep() },
	}
	for _, a := range tl.addresses {
		args = append(args, "--address", a)
	}
	code = e.execute(tl.t.Context(), args)
	return code, outBuffer.String(), errBuffer.String()
}

// writeFile writes a file and returns its path.
func (tl *tool) writeFile(name, text string) string {
	tl.t.Helper()
	path := filepath.Join(tl.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tl.t.Fatal(err)
	}
	return path
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err := errors.Join(err, l.Close()); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}
