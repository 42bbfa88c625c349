package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

// startEngine starts an engine that is ready to serve the model guide.
func startEngine(t *testing.T, opts Options) *Engine {
	t.Helper()
	opts.Name, opts.Listen, opts.ReadyAtStart = "runner-1", "127.0.0.1:0", []membership.ModelReport{{Model: "guide"}}
	e, err := Start(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// sendRequest sends a streamed request and returns the answer. An offset above 0
// resumes the attempt at that token.
func sendRequest(t *testing.T, e *Engine, attempt string, offset, tokens int) (string, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"guide","stream":true,"max_tokens":%d,"messages":[{"content":"x"}]}`, tokens)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Address()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(backend.HeaderAttemptID, attempt)
	if offset > 0 {
		req.Header.Set(backend.HeaderResumeOffset, fmt.Sprint(offset))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestResumeContinuesTheSameExecution guards against a resumed stream that repeats
// or skips events, or that executes the request again.
func TestResumeContinuesTheSameExecution(t *testing.T) {
	e := startEngine(t, Options{Faults: Faults{CutAfter: func(string) int { return 2 }}})
	first, err := sendRequest(t, e, "a", 0, 5)
	if err == nil || strings.Count(first, "data:") != 2 {
		t.Fatalf("interrupted answer %q, error %v", first, err)
	}
	rest, err := sendRequest(t, e, "a", 2, 5)
	if err != nil || strings.Count(rest, "data:") != 4 || !strings.Contains(rest, Token("x", 2)) {
		t.Errorf("resumed answer %q, error %v", rest, err)
	}
	if n := len(e.Journal().Executions()); n != 1 {
		t.Errorf("%d executions after the resume, want 1", n)
	}
	if unknown, _ := sendRequest(t, e, "b", 1, 5); !strings.Contains(unknown, backend.CodeUnknownAttempt) {
		t.Errorf("resume of an unknown attempt: %q", unknown)
	}
}

// TestFencing guards against an engine that checks fencing numbers but accepts old
// orders.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := startEngine(t, Options{ChecksFencing: checks})
		e.acceptOrder(backend.Order{Kind: backend.UnloadModel, Model: "guide", Fence: 9})
		if a := e.acceptOrder(backend.Order{Kind: backend.LoadModel, Model: "guide", Fence: 5}); a.Accepted == checks {
			t.Errorf("ChecksFencing %t: old order accepted %t", checks, a.Accepted)
		}
	}
}

// TestLeaveFinishesRequests guards against a planned stop that interrupts a request.
func TestLeaveFinishesRequests(t *testing.T) {
	e := startEngine(t, Options{TokenTime: 5 * time.Millisecond})
	answer := make(chan string)
	go func() {
		text, _ := sendRequest(t, e, "a", 0, 20)
		answer <- text
	}()
	for len(e.Journal().Executions()) == 0 {
		time.Sleep(time.Millisecond)
	}
	leaveResult := make(chan error, 1)
	go func() { leaveResult <- e.Leave(context.Background()) }()
	if text := <-answer; !strings.HasSuffix(text, "[DONE]\n\n") {
		t.Errorf("answer to the request in progress: %q", text)
	}
	if err := <-leaveResult; err != nil {
		t.Error(err)
	}
}
