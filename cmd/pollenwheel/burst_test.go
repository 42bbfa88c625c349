package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenwheel/pollenwheel/standin/engine"
)

// refusedError is a typed refusal.
type refusedError struct {
	Code      string `json:"code"`
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
}

func (e *refusedError) Error() string { return e.Code + ": " + e.Reason }

// ask sends one streamed request of n tokens. It returns nil for the whole
// answer to this prompt, a refusedError for a typed refusal, and another error
// for anything else.
func (d *deployment) ask(ctx context.Context, p *process, name, prompt string, n int, deadline time.Duration) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, name, n, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.CallerAddress+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("after %d bytes: %w", len(data), err)
	}
	return judge(resp.StatusCode, string(data), prompt, n)
}

func judge(status int, data, prompt string, n int) error {
	if status != http.StatusOK {
		return refusalIn(status, data)
	}
	if _, late, ok := strings.Cut(data, "event: error\ndata: "); ok {
		return refusalIn(status, late)
	}
	if got := strings.Count(data, "chat.completion.chunk"); got != n || !strings.HasSuffix(data, "data: [DONE]\n\n") {
		return fmt.Errorf("%d of %d tokens: %s", got, n, data)
	}
	for i := range n {
		if !strings.Contains(data, engine.Token(prompt, i)) {
			return fmt.Errorf("token %d is not of this answer: %s", i, data)
		}
	}
	return nil
}

func refusalIn(status int, data string) error {
	var body struct {
		Error *refusedError `json:"error"`
	}
	err := json.Unmarshal([]byte(data), &body)
	if err != nil || body.Error == nil || body.Error.Code == "" || body.Error.Execution != "not_run" && body.Error.Execution != "unknown" {
		return fmt.Errorf("status %d without a typed refusal: %s", status, data)
	}
	return body.Error
}

// bursts send requests for a few names through all hosts at once, until
// stopped.
type bursts struct {
	served, refused, cut atomic.Int64
	cancel               context.CancelFunc
	wg                   sync.WaitGroup
	mu                   sync.Mutex
	codes                map[string]int
}

const (
	burstTokens   = 2
	burstDeadline = 4 * time.Second
)

// startBursts runs one sender for each host. Every sender visits the names in
// the same seeded order, a few requests at a time, so cold names are asked for
// through all hosts at about the same time.
func (d *deployment) startBursts(names []string, seed int64) *bursts {
	ctx, cancel := context.WithCancel(context.Background())
	b := &bursts{cancel: cancel, codes: map[string]int{}}
	for _, p := range d.processes {
		order := rand.New(rand.NewSource(seed)).Perm(1 << 12)
		b.wg.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				d.burst(b, p, names, order[round%len(order)], round)
			}
		})
	}
	return b
}

// burstSize is the number of names asked for at the same time by one sender.
const burstSize = 4

func (d *deployment) burst(b *bursts, p *process, names []string, first, round int) {
	var wg sync.WaitGroup
	for i := range burstSize {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			name := names[(first+i)%len(names)]
			prompt := fmt.Sprintf("%s %s %d %d", p.settings.Host, name, round, i)
			killed, down := p.killed.Load(), p.down.Load()
			err := d.ask(ctx, p, name, prompt, burstTokens, burstDeadline)
			b.count(d, p, err, down || p.killed.Load() > killed)
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond)
}

// count judges the end of one request. Only a host that was killed may cut one.
func (b *bursts) count(d *deployment, p *process, err error, mayCut bool) {
	var refused *refusedError
	typed := errors.As(err, &refused)
	switch {
	case err == nil:
		b.served.Add(1)
	case typed && refused.Code == "unknown_model":
		d.t.Errorf("%s does not know a configured model: %v", p.settings.Host, err)
	case typed:
		b.refused.Add(1)
		b.mu.Lock()
		b.codes[refused.Code]++
		b.mu.Unlock()
	case mayCut:
		b.cut.Add(1)
	default:
		d.t.Errorf("a request through %s ended without an answer or a typed refusal: %v", p.settings.Host, err)
	}
}

func (b *bursts) stop() {
	b.cancel()
	b.wg.Wait()
}
