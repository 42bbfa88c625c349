package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sendStream sends a streamed request for n tokens through a host. It returns an
// error unless the answer is complete.
func (d *deployment) sendStream(ctx context.Context, p *process, model string, n int) error {
	status, data, err := d.requestStream(ctx, p, model, n)
	if err != nil {
		return err
	}
	return checkStream(status, data, n)
}

// requestStream sends a streamed request for n tokens through a host. It returns an error if
// the connection broke.
func (d *deployment) requestStream(ctx context.Context, p *process, model string, n int) (status int, data string, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Which thread for Torchon?"}]}`, model, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", fmt.Errorf("answer ended after %d bytes: %w", len(text), err)
	}
	return resp.StatusCode, string(text), nil
}

// checkStream returns an error unless an answer is a whole stream of n tokens.
func checkStream(status int, data string, n int) error {
	if status != http.StatusOK || !strings.HasSuffix(data, "data: [DONE]\n\n") {
		return fmt.Errorf("no complete answer: status %d, body %s", status, data)
	}
	if got := strings.Count(data, "chat.completion.chunk"); got != n {
		return fmt.Errorf("answer has %d of %d tokens", got, n)
	}
	return nil
}

// attemptTimeout is the time that a caller waits for the answer of one host before
// it tries another one.
const attemptTimeout = 5 * time.Second

// callerLoad sends warm requests through the hosts in turn until stop is called.
// Like the callers of a real deployment, it retries on another host when one fails.
type callerLoad struct {
	// served and lost count requests, and retried counts failed attempts. A lost
	// request failed through every host.
	served, retried, lost atomic.Int64
	cancel                context.CancelFunc
	wg                    sync.WaitGroup
}

// startCallerLoad starts n callers, each of which sends one request at a time.
func (d *deployment) startCallerLoad(n int) *callerLoad {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callerLoad{cancel: cancel}
	for i := range n {
		c.wg.Go(func() {
			for k := i; ctx.Err() == nil; k++ {
				d.sendWithRetries(ctx, c, k)
			}
		})
	}
	return c
}

// sendWithRetries sends one request. It tries every host up to twice, beginning with
// the host that sequence selects.
func (d *deployment) sendWithRetries(ctx context.Context, c *callerLoad, sequence int) {
	model := d.models[sequence%len(d.models)]
	var errs error
	for attempt := range 2 * len(d.processes) {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := d.sendStream(attemptCtx, d.processes[(sequence+attempt)%len(d.processes)], model, 3)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			c.served.Add(1)
			return
		}
		c.retried.Add(1)
		errs = errors.Join(errs, err)
	}
	c.lost.Add(1)
	d.t.Errorf("a request failed through every host: %v", errs)
}

func (c *callerLoad) stop() {
	c.cancel()
	c.wg.Wait()
}

// watchVersions reports a ready process whose configuration is older than one that the
// process held before, or than one that was accepted before the process started. The
// checks continue until stop is called.
func (d *deployment) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, p := range d.processes {
		wg.Go(func() {
			var lastStart int64
			var highest uint64
			for ctx.Err() == nil {
				start, versionAtStart := p.starts.Load(), p.versionAtStart.Load()
				if start != lastStart {
					lastStart, highest = start, versionAtStart
				}
				r, err := d.readiness(p)
				if err == nil && r.Ready && p.starts.Load() == lastStart {
					if r.Version < highest {
						d.t.Errorf("%s holds version %d after %d", p.settings.Host, r.Version, highest)
					}
					highest = max(highest, r.Version)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() { cancel(); wg.Wait() }
}
