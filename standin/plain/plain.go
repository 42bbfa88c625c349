// Package plain is a stand-in server of a plain service, for tests. It records every
// call that it executes.
package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

// Options configure one server.
type Options struct {
	Name        string
	Service     string
	DataCentre  string
	Incarnation uint64
	Listener    net.Listener
	// CallTime is the duration of one call.
	CallTime time.Duration
	// CrashOnBody, if set, ends the process at the end of a call whose body contains
	// this text.
	CrashOnBody string
	Journal     *Journal
	Faults      Faults
	// Says returns the headers in which the server speaks of itself in its answer to a
	// request. It may be nil.
	Says func(r *http.Request) map[string]string
}

// Call describes one executed call.
type Call struct {
	Server  string
	Attempt string
	Method  string
	Path    string
	Body    string
}

// Journal records calls. Several servers may share one journal. It is safe for
// concurrent use.
type Journal struct {
	mu    sync.Mutex
	calls []Call
}

func (j *Journal) add(c Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

// Calls returns a copy of the recorded calls.
func (j *Journal) Calls() []Call {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Call(nil), j.calls...)
}

// Server is a running stand-in server. It simulates one process: Close ends the process,
// and a call of Start begins the next one.
type Server struct {
	opts      Options
	server    *http.Server
	closeOnce sync.Once
	stopped   chan struct{}

	mu       sync.Mutex
	running  int
	sequence uint64
}

// Start begins to serve on the listener of opts.
func Start(opts Options) *Server {
	if opts.Journal == nil {
		opts.Journal = &Journal{}
	}
	s := &Server{opts: opts, stopped: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(opts.Listener) }()
	return s
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.opts.Listener.Addr().String() }

// Close ends the process at once.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		_ = s.server.Close()
		close(s.stopped)
	})
}

// Leave refuses new connections and waits for the running calls.
func (s *Server) Leave(ctx context.Context) error { return s.server.Shutdown(ctx) }

// NextAnnouncement returns the next announcement and increments its sequence number.
func (s *Server) NextAnnouncement() membership.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return membership.Server{
		Name: s.opts.Name, Service: s.opts.Service, Kind: config.KindPlain, DataCentre: s.opts.DataCentre,
		Address: s.Address(), Incarnation: s.opts.Incarnation, Sequence: s.sequence,
		Load: membership.Load{Running: s.running},
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderIncarnation, strconv.FormatUint(s.opts.Incarnation, 10))
	if s.opts.Says != nil {
		for name, value := range s.opts.Says(r) {
			w.Header().Set(name, value)
		}
	}
	if r.URL.Path == "/v1/incarnation" {
		return
	}
	attempt, faults := r.Header.Get(backend.HeaderAttemptID), s.opts.Faults
	body, err := io.ReadAll(r.Body)
	if err != nil || occurs(faults.LoseRequest, attempt) {
		panic(http.ErrAbortHandler)
	}
	incarnation := r.Header.Get(backend.HeaderIncarnation)
	if incarnation != "" && incarnation != strconv.FormatUint(s.opts.Incarnation, 10) {
		refuse(w, backend.CodeWrongIncarnation, "the request names another incarnation")
		return
	}
	switch {
	case occurs(faults.Refuse, attempt):
		refuse(w, backend.CodeNotAdmitted, "the server does not admit the request")
		return
	case occurs(faults.RepeatRefusal, attempt):
		s.repeatRefusal(w, attempt)
		return
	}
	s.record(attempt, r, body)
	s.addRunning(1)
	defer s.addRunning(-1)
	if !s.waitCall(string(body)) || occurs(faults.LoseAnswer, attempt) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(backend.HeaderAttemptID, attempt)
	w.Header().Set("Content-Type", "text/plain")
	if occurs(faults.StopInHead, attempt) && writePartialHead(w) == nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

// waitCall waits for the duration of a call and then applies CrashOnBody. It reports
// whether the process still runs.
func (s *Server) waitCall(body string) bool {
	timer := time.NewTimer(s.opts.CallTime)
	defer timer.Stop()
	select {
	case <-s.stopped:
		return false
	case <-timer.C:
	}
	if s.opts.CrashOnBody != "" && strings.Contains(body, s.opts.CrashOnBody) {
		s.Close()
		return false
	}
	return true
}

// addRunning adds n to the number of running calls.
func (s *Server) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// record adds an executed call to the journal.
func (s *Server) record(attempt string, r *http.Request, body []byte) {
	s.opts.Journal.add(Call{s.opts.Name, attempt, r.Method, r.URL.RequestURI(), string(body)})
}

// repeatRefusal refuses a call, and answers the next request on the connection, which is
// executed, with the same refusal.
func (s *Server) repeatRefusal(w http.ResponseWriter, attempt string) {
	body := refusal(backend.CodeNotAdmitted, "the server does not admit the request")
	w.Header().Set(backend.HeaderAttemptID, attempt)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	next, conn, err := refuseTwice(w, head(w.Header(), "503 Service Unavailable")+string(body))
	if conn != nil {
		defer func() { _ = conn.Close() }()
	}
	if err != nil || next.Header.Get(backend.HeaderAttemptID) == "" {
		return
	}
	if text, err := io.ReadAll(next.Body); err == nil {
		s.record(next.Header.Get(backend.HeaderAttemptID), next, text)
	}
}

// refuse answers that a call was not executed, with status 503.
func refuse(w http.ResponseWriter, code, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(refusal(code, reason))
}

// refusal returns the body of a refusal.
func refusal(code, reason string) []byte {
	var body backend.RefusalBody
	body.Error.Code, body.Error.Execution, body.Error.Reason = code, "not_run", reason
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text
}
