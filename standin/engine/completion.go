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

// Token returns the text of token i of the answer to a prompt. The text depends on the
// prompt, so that a reader can check that the answer belongs to its request.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, prompt)
	return fmt.Sprintf("%08x.%d ", h.Sum32(), i)
}

// answerToken returns token i of the answer of a job. With VaryAnswers, it depends on
// the attempt as well.
func (e *Engine) answerToken(j *job, i int) string {
	if e.opts.Faults.VaryAnswers {
		return Token(j.execution.Prompt+j.execution.Attempt, i)
	}
	return Token(j.execution.Prompt, i)
}

func (q completionRequest) prompt() string {
	var parts []string
	for _, m := range q.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Messages) == 0 {
		refuse(w, http.StatusBadRequest, "bad_request", "body is not a completion request with a message")
		return
	}
	if incarnation := r.Header.Get(backend.HeaderIncarnation); incarnation != "" && incarnation != strconv.FormatUint(e.opts.Incarnation, 10) {
		refuse(w, http.StatusServiceUnavailable, backend.CodeWrongIncarnation, "the request names another incarnation")
		return
	}
	attempt := r.Header.Get(backend.HeaderAttemptID)
	offset, resume := 0, r.Header.Get(backend.HeaderResumeOffset) != ""
	if resume {
		offset, _ = strconv.Atoi(r.Header.Get(backend.HeaderResumeOffset))
	}
	priority, _ := strconv.Atoi(r.Header.Get(backend.HeaderPriority))
	j, code := e.admit(attempt, q, priority, resume)
	if j == nil {
		refuse(w, http.StatusServiceUnavailable, code, "the engine does not admit the request")
		return
	}
	defer e.removeReader(j)
	// A misdelivered answer carries the id of the attempt that it answers.
	w.Header().Set(backend.HeaderAttemptID, j.execution.Attempt)
	if q.Stream {
		e.writeStream(w, r, j, offset)
		return
	}
	e.writeAnswer(w, r, j)
}

// refuse answers with a refusal. Only after CodeUnknownAttempt may the request have
// been executed.
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

// admit returns the job of an attempt, and counts one more reader of the job.
// It creates the job if the attempt is not known. If the request is not admitted,
// admit returns no job and a refusal code.
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
	case e.ended:
		return nil, backend.CodeNotAdmitted
	case resume:
		return nil, backend.CodeUnknownAttempt
	case !e.isReady(q.Model):
		return nil, backend.CodeNotLoaded
	case e.leaving, len(e.queue) >= e.opts.MaxQueue, f != nil && f(attempt):
		return nil, backend.CodeNotAdmitted
	}
	if attempt == "" {
		e.directRequests++
		attempt = "direct-" + strconv.Itoa(e.directRequests)
	}
	j := &job{
		request: q, tokens: max(q.MaxTokens, 1), priority: priority, readers: 1, changed: make(chan struct{}),
		execution: e.opts.Journal.begin(Execution{
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

// isReady reports whether a model or adapter is loaded. The caller holds e.mu.
func (e *Engine) isReady(name string) bool {
	for k, r := range e.reports {
		if r.Phase == membership.ReportReady && (k[1] == name || k[1] == "" && k[0] == name) {
			return true
		}
	}
	return false
}

func (e *Engine) removeReader(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.readers--
	j.readerLeftAt = time.Now()
}

// awaitProgress waits until the job has produced more tokens than sent or has
// ended, and returns its progress. It aborts the answer if the process ends or the
// reader leaves.
func (e *Engine) awaitProgress(r *http.Request, j *job, sent int) (produced int, ended bool) {
	for {
		e.mu.Lock()
		produced, ended = j.produced, j.ended
		changed := j.changed
		e.mu.Unlock()
		if ended || produced > sent {
			return produced, ended
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

// writeStream streams the tokens of a job, beginning with token number sent.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, j *job, sent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	cutAt := -1
	if f := e.opts.Faults.CutAfter; f != nil && r.Header.Get(backend.HeaderResumeOffset) == "" {
		cutAt = f(r.Header.Get(backend.HeaderAttemptID))
	}
	for {
		produced, ended := e.awaitProgress(r, j, sent)
		for ; sent < produced; sent++ {
			if sent == cutAt {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
				j.execution.Attempt, j.request.Model, e.answerToken(j, sent))
			w.(http.Flusher).Flush()
		}
		if !ended {
			continue
		}
		if produced < j.tokens {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return
	}
}

// writeAnswer waits until a job has ended and writes the answer in one piece.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, j *job) {
	produced, ended := 0, false
	for !ended {
		produced, ended = e.awaitProgress(r, j, produced)
	}
	f := e.opts.Faults.LoseAnswer
	if produced < j.tokens || f != nil && f(r.Header.Get(backend.HeaderAttemptID)) {
		panic(http.ErrAbortHandler)
	}
	var text strings.Builder
	for i := range j.tokens {
		text.WriteString(e.answerToken(j, i))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`,
		j.request.Model, text.String())
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c backend.CancelBody
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j, ok := e.jobs[c.AttemptID]; ok {
		e.finish(j, EndCancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}
