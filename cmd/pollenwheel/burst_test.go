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

// refusedError is a typed refusal: an error answer of a host that names its code and
// whether the request may have been executed.
type refusedError struct {
	Code      string `json:"code"`
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
}

func (e *refusedError) Error() string { return e.Code + ": " + e.Reason }

// sendPrompt sends one streamed request for n tokens. It returns nil for the
// complete answer to this prompt, a refusedError for a typed refusal, and another
// error for anything else.
func (d *deployment) sendPrompt(ctx context.Context, p *process, name, prompt string, n int, deadline time.Duration) error {
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
		return fmt.Errorf("answer ended after %d bytes: %w", len(data), err)
	}
	return checkAnswer(resp.StatusCode, string(data), prompt, n)
}

// checkAnswer returns an error unless data is the complete answer to the prompt, with
// n tokens. A typed refusal is returned as a refusedError.
func checkAnswer(status int, data, prompt string, n int) error {
	if status != http.StatusOK {
		return parseRefusal(status, data)
	}
	if _, errorEvent, ok := strings.Cut(data, "event: error\ndata: "); ok {
		return parseRefusal(status, errorEvent)
	}
	if got := strings.Count(data, "chat.completion.chunk"); got != n || !strings.HasSuffix(data, "data: [DONE]\n\n") {
		return fmt.Errorf("answer has %d of %d tokens: %s", got, n, data)
	}
	for i := range n {
		if !strings.Contains(data, engine.Token(prompt, i)) {
			return fmt.Errorf("token %d of the answer to this prompt is missing: %s", i, data)
		}
	}
	return nil
}

// parseRefusal returns the typed refusal in data as a refusedError, or another error if
// data holds none.
func parseRefusal(status int, data string) error {
	var body struct {
		Error *refusedError `json:"error"`
	}
	err := json.Unmarshal([]byte(data), &body)
	if err != nil || body.Error == nil || body.Error.Code == "" || body.Error.Execution != "not_run" && body.Error.Execution != "unknown" {
		return fmt.Errorf("status %d without a typed refusal: %s", status, data)
	}
	return body.Error
}

// burstLoad sends requests for models and adapters through all hosts at once until
// stop is called, and counts the results.
type burstLoad struct {
	served, refused, interrupted atomic.Int64
	cancel                       context.CancelFunc
	wg                           sync.WaitGroup
	mu                           sync.Mutex
	refusalCodes                 map[string]int
}

const (
	burstTokens   = 2
	burstDeadline = 4 * time.Second
)

// startBurstLoad runs one sender for each host. Every sender requests the names in
// the same seeded order, burstSize at a time, so a cold model or adapter is
// requested through all hosts at about the same time.
func (d *deployment) startBurstLoad(names []string, seed int64) *burstLoad {
	ctx, cancel := context.WithCancel(context.Background())
	b := &burstLoad{cancel: cancel, refusalCodes: map[string]int{}}
	for _, p := range d.processes {
		order := rand.New(rand.NewSource(seed)).Perm(1 << 12)
		b.wg.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				d.sendBurst(b, p, names, order[round%len(order)], round)
			}
		})
	}
	return b
}

// burstSize is the number of names that one sender requests at the same time.
const burstSize = 4

// sendBurst requests burstSize names at the same time, beginning with names[first],
// waits for the results and pauses for 50 ms.
func (d *deployment) sendBurst(b *burstLoad, p *process, names []string, first, round int) {
	var wg sync.WaitGroup
	for i := range burstSize {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			name := names[(first+i)%len(names)]
			prompt := fmt.Sprintf("%s %s %d %d", p.settings.Host, name, round, i)
			killsBefore, down := p.kills.Load(), p.down.Load()
			err := d.sendPrompt(ctx, p, name, prompt, burstTokens, burstDeadline)
			b.record(d, p, err, down || p.kills.Load() > killsBefore)
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond)
}

// record classifies the result of one request. A request may be interrupted only if
// its host was killed.
func (b *burstLoad) record(d *deployment, p *process, err error, mayBeInterrupted bool) {
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
		b.refusalCodes[refused.Code]++
		b.mu.Unlock()
	case mayBeInterrupted:
		b.interrupted.Add(1)
	default:
		d.t.Errorf("a request through %s ended without an answer or a typed refusal: %v", p.settings.Host, err)
	}
}

func (b *burstLoad) stop() {
	b.cancel()
	b.wg.Wait()
}
