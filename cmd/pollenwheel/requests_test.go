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

// stream sends a streamed request of n tokens through a host and returns an
// error unless the answer is whole.
func (d *deployment) stream(ctx context.Context, p *process, model string, n int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Which thread for Torchon?"}]}`, model, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("after %d bytes: %w", len(data), err)
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	if got := strings.Count(string(data), "chat.completion.chunk"); got != n {
		return fmt.Errorf("%d of %d tokens", got, n)
	}
	return nil
}

// attemptTimeout is when a caller gives up on a host that does not answer.
const attemptTimeout = 5 * time.Second

// callers send warm requests through the hosts in turn until stopped. Like the
// callers of a deployment, they go to another host when one fails.
type callers struct {
	served, retried, lost atomic.Int64
	cancel                context.CancelFunc
	wg                    sync.WaitGroup
}

func (d *deployment) startCallers(n int) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{cancel: cancel}
	for i := range n {
		c.wg.Go(func() {
			for k := i; ctx.Err() == nil; k++ {
				d.call(ctx, c, k)
			}
		})
	}
	return c
}

func (d *deployment) call(ctx context.Context, c *callers, k int) {
	model := d.models[k%len(d.models)]
	var errs error
	for try := range 2 * len(d.processes) {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := d.stream(attempt, d.processes[(k+try)%len(d.processes)], model, 3)
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

func (c *callers) stop() {
	c.cancel()
	c.wg.Wait()
}

// watchVersions checks that no ready process holds an older configuration than
// it held before, or than one that was accepted before it started.
func (d *deployment) watchVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, p := range d.processes {
		wg.Go(func() {
			var start int64
			var highest uint64
			for ctx.Err() == nil {
				now, floor := p.started.Load(), p.floor.Load()
				if now != start {
					start, highest = now, floor
				}
				r, err := d.readiness(p)
				if err == nil && r.Ready && p.started.Load() == start {
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
