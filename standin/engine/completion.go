package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollenwheel/pollenwheel/core/membership"
	"github.com/pollenwheel/pollenwheel/node/backend"
)

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// Token returns the text of one token of the answer to a prompt, so that a
// reader can check that the answer is its own.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, prompt)
	return fmt.Sprintf("%08x.%d ", h.Sum32(), i)
}

func (e *Engine) token(j *job, i int) string {
	if e.opts.Faults.Vary {
		return Token(j.entry.Prompt+j.entry.Attempt, i)
	}
	return Token(j.entry.Prompt, i)
}

func (q completionRequest) prompt() string {
	var parts []string
	for _, m := range q.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

func (e *Engine) completion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Messages) == 0 {
		refuse(w, http.StatusBadRequest, "bad_request", "body is not a completion request with a message")
		return
	}
	if meant := r.Header.Get(backend.HeaderIncarnation); meant != "" && meant != strconv.FormatUint(e.opts.Incarnation, 10) {
		refuse(w, http.StatusServiceUnavailable, backend.CodeWrongProcess, "another process is meant")
		return
	}
	attempt := r.Header.Get(backend.HeaderAttempt)
	offset, resume := 0, r.Header.Get(backend.HeaderResume) != ""
	if resume {
		offset, _ = strconv.Atoi(r.Header.Get(backend.HeaderResume))
	}
	priority, _ := strconv.Atoi(r.Header.Get(backend.HeaderPriority))
	j, code := e.admit(attempt, q, priority, resume)
	if j == nil {
		refuse(w, http.StatusServiceUnavailable, code, "the request was not admitted")
		return
	}
	defer e.leave(j)
	// A misdelivered answer carries the identity of the attempt that it answers.
	w.Header().Set(backend.HeaderAttempt, j.entry.Attempt)
	if q.Stream {
		e.stream(w, r, j, offset)
		return
	}
	e.whole(w, r, j)
}

func refuse(w http.ResponseWriter, status int, code, reason string) {
	var body backend.RefusalBody
	body.Error.Code, body.Error.Reason, body.Error.Execution = code, reason, "not_run"
	if code == backend.CodeUnknownAttempt {
		body.Error.Execution = "unknown"
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// admit returns the job of an attempt, which is new unless the attempt is known.
func (e *Engine) admit(attempt string, q completionRequest, priority int, resume bool) (*job, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.opts.Faults.Misdeliver; f != nil && !resume {
		if other, ok := e.jobs[f(attempt)]; ok {
			other.readers++
			return other, ""
		}
	}
	if j, ok := e.jobs[attempt]; ok && attempt != "" {
		j.readers++
		return j, ""
	}
	switch f := e.opts.Faults.Refuse; {
	case e.down:
		return nil, backend.CodeNotAdmitted
	case resume:
		return nil, backend.CodeUnknownAttempt
	case !e.ready(q.Model):
		return nil, backend.CodeNotLoaded
	case e.leaving, len(e.queue) >= e.opts.MaxQueue, f != nil && f(attempt):
		return nil, backend.CodeNotAdmitted
	}
	if attempt == "" {
		e.direct++
		attempt = "direct-" + strconv.Itoa(e.direct)
	}
	j := &job{
		request: q, tokens: max(q.MaxTokens, 1), priority: priority, readers: 1, changed: make(chan struct{}),
		entry: e.opts.Journal.begin(Execution{
			Server: e.opts.Name, Incarnation: e.opts.Incarnation, Attempt: attempt, Model: q.Model, Prompt: q.prompt(),
		}),
	}
	e.jobs[attempt] = j
	e.queue = append(e.queue, j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return j, ""
}

// ready reports whether a model or adapter is loaded. The caller holds the lock.
func (e *Engine) ready(name string) bool {
	for k, r := range e.reports {
		if r.Phase == membership.ReportReady && (k[1] == name || k[1] == "" && k[0] == name) {
			return true
		}
	}
	return false
}

func (e *Engine) leave(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	j.idle = time.Now()
}

// await blocks until the job has produced more than have tokens or is over,
// and returns its progress. It aborts the answer if the process ends.
func (e *Engine) await(r *http.Request, j *job, have int) (produced int, over bool) {
	for {
		e.mu.Lock()
		produced, over = j.produced, j.over
		changed := j.changed
		e.mu.Unlock()
		if over || produced > have {
			return produced, over
		}
		select {
		case <-changed:
		case <-e.stopped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, sent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	cut := -1
	if f := e.opts.Faults.CutAfter; f != nil && r.Header.Get(backend.HeaderResume) == "" {
		cut = f(r.Header.Get(backend.HeaderAttempt))
	}
	for {
		produced, over := e.await(r, j, sent)
		for ; sent < produced; sent++ {
			if sent == cut {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
				j.entry.Attempt, j.request.Model, e.token(j, sent))
			w.(http.Flusher).Flush()
		}
		if !over {
			continue
		}
		if produced < j.tokens {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, j *job) {
	produced, over := 0, false
	for !over {
		produced, over = e.await(r, j, produced)
	}
	f := e.opts.Faults.LoseAnswer
	if produced < j.tokens || f != nil && f(r.Header.Get(backend.HeaderAttempt)) {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := range j.tokens {
		text.WriteString(e.token(j, i))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`,
		j.request.Model, text.String())
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var c backend.CancelBody
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, ok := e.jobs[c.Attempt]; ok {
		e.finish(j, EndCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}
