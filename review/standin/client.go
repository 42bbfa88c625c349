package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, host, path string
	body               string
	model              string
	deadline           time.Duration
	// patience is how long the client waits for the end of the answer, or zero for a second
	// more than the deadline.
	patience time.Duration
}

// answer is what the client saw. status is zero if there was no complete answer.
type answer struct {
	id      string
	status  int
	stamped bool
	err     error
	took    time.Duration
}

// send sends one client attempt to an entry host, on a new connection.
func (c *cluster) send(h *host, q request) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	limit := q.deadline + time.Second
	if q.patience > 0 {
		limit = q.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.frontAddress(h)+q.path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = q.host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.model != "" {
		req.Header.Set("Model", q.model)
		req.Header.Set("Token-Counts", "715,80")
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:172,%08x:543", rand.Uint32()))
	}
	start := time.Now()
	resp, err := newHTTPClient(0).Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, 32<<20))
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.stamped = resp.StatusCode, resp.Header.Get("Response-Stamp") != ""
		}
	}
	a.err, a.took = err, time.Since(start)
	c.rec.line("client: %s %s %s to %s: %s", a.id, q.method, q.path, h.name, a)
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms, stamped %t", a.status, a.took.Milliseconds(), a.stamped)
}

// served reports whether the client got the answer of a runner.
func (a answer) served() bool { return a.status == http.StatusOK && a.stamped }

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeout, objective time.Duration, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": "ficu95.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout.Milliseconds(),
		"TargetLatencyMs": objective.Milliseconds(), "Priority": 1, "Service": service, "MaxAttempts": attempts, "Sticky": false, "Resumable": false,
	}
}

// plainService returns a service without models.
func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false}
}

// limits are those of the deployment.
var limits = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
