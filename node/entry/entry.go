// Package entry is the HTTP interface to callers.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/core/placement"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/backend"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

const (
	defaultDeadline = 60 * time.Second
	maxBodyBytes    = 8 << 20
)

// Entry serves callers.
type Entry struct {
	replica *replica.Replica
	client  *backend.Client
	servers func() []membership.Presence

	mu      sync.Mutex
	waiting map[demandKey]int
}

type demandKey struct{ model, adapter string }

// New returns an entry that reads placements from r.
func New(r *replica.Replica, client *backend.Client, servers func() []membership.Presence) *Entry {
	return &Entry{replica: r, client: client, servers: servers, waiting: map[demandKey]int{}}
}

// Routes registers the caller routes.
func (e *Entry) Routes(g *echo.Echo) {
	g.POST("/v1/chat/completions", e.completions)
}

// Demand returns the requests that wait here, per model and adapter.
func (e *Entry) Demand() []placement.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]placement.Demand, 0, len(e.waiting))
	for k, n := range e.waiting {
		out = append(out, placement.Demand{Model: k.model, Adapter: k.adapter, Waiting: n})
	}
	return out
}

func (e *Entry) completions(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return refuse(http.StatusRequestEntityTooLarge, "bad_request", err.Error()).write(c)
	}
	var head struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &head); err != nil || head.Model == "" {
		return refuse(http.StatusBadRequest, "bad_request", "body is not a JSON object with a model").write(c)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), deadline(c.Request().Header))
	defer cancel()
	address, refusal := e.await(ctx, head.Model)
	if refusal != nil {
		return refusal.write(c)
	}
	return e.forward(ctx, c, address, body)
}

func deadline(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return time.Duration(ms) * time.Millisecond
}

// await blocks until a server has the model ready, and returns its address.
func (e *Entry) await(ctx context.Context, name string) (string, *Refusal) {
	registered := false
	for {
		changed := e.replica.Changed()
		address, key, found := e.lookup(name)
		if !found {
			return "", refuse(http.StatusNotFound, "unknown_model", "no model or adapter has this name")
		}
		if address != "" {
			return address, nil
		}
		if !registered {
			registered = true
			e.addWaiting(key, 1)
			defer e.addWaiting(key, -1)
		}
		select {
		case <-ctx.Done():
			return "", unavailable("deadline", "the model was not ready before the deadline")
		case <-changed:
		}
	}
}

func (e *Entry) lookup(name string) (address string, key demandKey, found bool) {
	e.replica.View(func(s *state.State) {
		m, adapter, ok := s.Config.Resolve(name)
		if !ok {
			return
		}
		found, key = true, demandKey{m.Name, adapter}
		for k, p := range s.Placements {
			if k.Model == m.Name && k.Adapter == adapter && p.Phase == state.PhaseReady {
				address = s.Servers[k.Server].Address
			}
		}
	})
	return address, key, found
}

func (e *Entry) addWaiting(k demandKey, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting[k] += n
	if e.waiting[k] == 0 {
		delete(e.waiting, k)
	}
	if k.adapter != "" {
		base := demandKey{model: k.model}
		e.waiting[base] += n
		if e.waiting[base] == 0 {
			delete(e.waiting, base)
		}
	}
}

func (e *Entry) forward(ctx context.Context, c echo.Context, address string, body []byte) error {
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := e.client.Do(ctx, address, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		r := unavailable("backend_failed", err.Error())
		r.Execution = Unknown
		return r.write(c)
	}
	defer func() { _ = resp.Body.Close() }()
	c.Response().Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	c.Response().WriteHeader(resp.StatusCode)
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := c.Response().Write(buf[:n]); werr != nil {
				return werr
			}
			c.Response().Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
