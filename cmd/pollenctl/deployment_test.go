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
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/admin"
)

// deployment is two hosts that share one state. It stands in for the parts
// behind the administration API.
type deployment struct {
	mu      sync.Mutex
	state   *state.State
	hosts   []admin.HostPresence
	servers []*httptest.Server
	// loseAnswers is the number of answers that are lost after their request
	// took effect.
	loseAnswers int
	requests    int
	// bootstrap is the hash of the key before the first configuration.
	bootstrap string
}

func newDeployment(t *testing.T, bootstrap string) *deployment {
	d := &deployment{state: state.New(), bootstrap: admin.HashKey(bootstrap)}
	for _, name := range []string{"nord-1", "sud-1"} {
		web := echo.New()
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		admin.New(admin.Parts{
			Host: name, Proposer: d, Replica: d, Members: d, Drainer: d, Counter: d, Control: d,
			Ready: func() bool { return true }, Now: func() time.Time { return time.UnixMilli(1) },
			BootstrapKeySHA256: d.bootstrap, Logger: logrus.NewEntry(logger),
		}).Routes(web)
		s := httptest.NewServer(d.lossy(web))
		t.Cleanup(s.Close)
		d.servers = append(d.servers, s)
		d.hosts = append(d.hosts, admin.HostPresence{Host: membership.Host{Name: name, CallerAddress: s.Listener.Addr().String()}})
	}
	return d
}

// lossy cuts the connection instead of answering, after the request was served.
func (d *deployment) lossy(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.requests++
		lost := d.loseAnswers > 0
		if lost {
			d.loseAnswers--
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

func (d *deployment) Hosts() []admin.HostPresence {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]admin.HostPresence(nil), d.hosts...)
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

func (d *deployment) Burn(context.Context) admin.Counts {
	s := burn.Series{Service: "scribe", Kind: config.ObjectiveAvailability}
	s.Windows[3] = burn.Count{Good: 75, Total: 100}
	return admin.Counts{Snapshot: burn.Snapshot{Series: []burn.Series{s}}, Hosts: []string{"nord-1"}, Missing: []string{"sud-1"}}
}

func (d *deployment) Control() admin.ControlStatus {
	return admin.ControlStatus{Leader: "nord-1", Term: 3, Quorum: true, Voters: []string{"nord-1", "sud-1"}}
}

// tool runs pollenctl against a deployment, with pauses that take no time.
type tool struct {
	t          *testing.T
	deployment *deployment
	folder     string
	key        string
	addresses  []string
	// pause runs in place of each pause; an error ends the wait.
	pause func() error
}

// newTool returns a tool whose key is both the bootstrap key and an operator's.
func newTool(t *testing.T) *tool { return newToolWithKey(t, "operator") }

func newToolWithKey(t *testing.T, bootstrap string) *tool {
	// kingpin reads these from the process, where a user may have set them.
	t.Setenv("POLLENWHEEL_ADDRESSES", "")
	t.Setenv("POLLENWHEEL_KEY_FILE", "")
	d := newDeployment(t, bootstrap)
	tl := &tool{t: t, deployment: d, folder: t.TempDir(), key: bootstrap}
	for _, s := range d.servers {
		tl.addresses = append(tl.addresses, s.Listener.Addr().String())
	}
	pauses := 0
	tl.pause = func() error {
		if pauses++; pauses > 5 {
			return context.DeadlineExceeded
		}
		return nil
	}
	return tl
}

func (tl *tool) run(args ...string) (code int, stdout, stderr string) {
	tl.t.Helper()
	var out, errs bytes.Buffer
	e := &environment{
		stdout: &out, stderr: &errs,
		getenv: func(name string) string { return map[string]string{"POLLENWHEEL_KEY": tl.key}[name] },
		sleep:  func(context.Context, time.Duration) error { return tl.pause() },
	}
	for _, a := range tl.addresses {
		args = append(args, "--address", a)
	}
	code = e.execute(tl.t.Context(), args)
	return code, out.String(), errs.String()
}

// file writes a file and returns its path.
func (tl *tool) file(name, text string) string {
	tl.t.Helper()
	path := filepath.Join(tl.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tl.t.Fatal(err)
	}
	return path
}

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err := errors.Join(err, l.Close()); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}
