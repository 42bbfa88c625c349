package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, model, prompt, body string
	host                              string
	deadline                          time.Duration
	// kind names the request in the record.
	kind string
}

// answer is what the client saw.
type answer struct {
	id     string
	front  string
	sentAt time.Time
	status int
	err    error
	// begun is set if the first event, or the whole answer of another kind, has arrived with the
	// runner's stamp. complete is set if all events have.
	begun, complete bool
	retryAfter      string
	// data are the data lines of a series of events.
	data []string
}

// clients sends requests to entry hosts, each on a new connection.
type clients struct {
	fleet  *fleet
	rec    *record
	serial atomic.Int64
	wg     sync.WaitGroup
	http   *http.Client
}

func newClients(f *fleet, rec *record) *clients {
	return &clients{fleet: f, rec: rec, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends a request to a random entry host and waits for the end of the answer.
func (c *clients) send(r request) answer {
	return c.sendTo(c.fleet.fronts[rand.Intn(len(c.fleet.fronts))], r)
}

func (c *clients) sendTo(n *node, r request) (a answer) {
	a = answer{id: fmt.Sprintf("%08x%08x", rand.Uint32(), c.serial.Add(1)), front: n.name, sentAt: time.Now()}
	c.rec.add("sent", "id", a.id, "kind", r.kind, "front", n.name, "path", r.path, "prompt", shorten(r.prompt))
	defer func() {
		c.rec.add("answered", "id", a.id, "kind", r.kind, "status", a.status, "begun", a.begun, "complete", a.complete, "retry-after", a.retryAfter, "err", a.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, fmt.Sprintf("http://%s:%d%s", n.ip, c.fleet.portFront, r.path), strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = r.host
	req.Header.Set("Request-Id", a.id)
	// X-Front lets a runner tell from which machine a request comes.
	req.Header.Set("X-Front", n.name)
	req.Header.Set("Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.model != "" {
		req.Header.Set("Model", r.model)
		req.Header.Set("Token-Counts", "700,80")
		req.Header.Set("Prompt-Prefix", r.prompt)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	signed := resp.StatusCode == http.StatusOK && resp.Header.Get("Response-Stamp") != ""
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		_, a.err = io.ReadAll(resp.Body)
		a.begun = signed && a.err == nil
		a.complete = a.begun
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	events := 0
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
			a.data = append(a.data, lines.Text())
			a.begun = signed
		}
	}
	a.err = lines.Err()
	a.complete = a.begun && a.err == nil && events == eventsOfAStream
	return a
}

// every calls f in the background, each time after the interval, until stop is closed.
func (c *clients) every(interval time.Duration, stop <-chan struct{}, f func(i int)) {
	c.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				c.wg.Go(func() { f(i) })
			}
		}
	})
}
