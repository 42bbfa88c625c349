package backend

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/labstack/echo/v4"
)

// Headers between an entry host and a backend server.
const (
	// HeaderAttempt identifies one attempt; the answer repeats it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderResume asks for the events of an attempt from an offset.
	HeaderResume = "X-Resume-Offset"
	// HeaderPriority is the urgency of the request, 0 first.
	HeaderPriority = "X-Priority"
	// HeaderIncarnation is set by servers on their answers and proves which
	// process answered. On an attempt it names the process that is meant: a
	// newer process at the same address does not admit the attempt, so that its
	// crash cannot be counted as that of the older one.
	HeaderIncarnation = "X-Incarnation"
)

// RefusalBody is how a backend server reports that it did not admit a request.
type RefusalBody struct {
	Error struct {
		Code      string `json:"code"`
		Execution string `json:"execution"`
		Reason    string `json:"reason"`
	} `json:"error"`
}

// Codes of refusals by a backend server.
const (
	CodeNotAdmitted    = "not_admitted"
	CodeNotLoaded      = "not_loaded"
	CodeUnknownAttempt = "unknown_attempt"
	CodeWrongProcess   = "wrong_incarnation"
)

// CancelBody is the body of POST /v1/cancel.
type CancelBody struct {
	Attempt string `json:"attempt_id"`
}

// Cancel tells an engine that nobody waits for an attempt any more.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	body, err := json.Marshal(CancelBody{Attempt: attempt})
	if err != nil {
		return err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := c.Do(ctx, address, http.MethodPost, "/v1/cancel", header, body)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	return resp.Body.Close()
}

// Life is what a probe shows about a server process.
type Life int

// Results of a probe.
const (
	// LifeUnknown: the probe got no answer.
	LifeUnknown Life = iota
	// LifeRuns: the process still runs.
	LifeRuns
	// LifeEnded: the address refused the connection or a newer process answered.
	LifeEnded
)

// Probe finds out whether a server process still runs. An answer without an
// incarnation shows only that some process listens; it counts as running.
func (c *Client) Probe(ctx context.Context, address string, incarnation uint64) Life {
	resp, err := c.DoOnce(ctx, address, http.MethodGet, "/v1/incarnation", http.Header{}, nil)
	if err != nil {
		var send *SendError
		if errors.As(err, &send) && send.Delivery == ProcessEnded {
			return LifeEnded
		}
		return LifeUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	if newer(resp.Header, incarnation) {
		return LifeEnded
	}
	return LifeRuns
}

// newer reports whether an answer comes from a newer process.
func newer(h http.Header, incarnation uint64) bool {
	n, err := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64)
	return err == nil && n > incarnation
}

// Prefix hashes what requests with a shared prompt beginning have in common:
// the model and the first message.
func Prefix(model, first string) uint64 {
	if first == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, model)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, first)
	return h.Sum64()
}

// CacheReport is the body of POST /v1/backend/cache: changes of an engine's
// prefix cache, numbered from First.
type CacheReport struct {
	Server      string       `json:"server"`
	Incarnation uint64       `json:"incarnation"`
	First       uint64       `json:"first"`
	Events      []CacheEvent `json:"events"`
}

// CacheEvent is one change of a prefix cache.
type CacheEvent struct {
	Prefix  uint64 `json:"prefix,string"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheHandler serves POST /v1/backend/cache.
func CacheHandler(accept func(CacheReport)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var r CacheReport
		body := http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncementBytes)
		if err := json.NewDecoder(body).Decode(&r); err != nil {
			return c.JSON(http.StatusBadRequest, &AnnouncementError{Field: "body", Allowed: "a JSON cache report"})
		}
		if err := checkCacheReport(r); err != nil {
			return c.JSON(http.StatusBadRequest, err)
		}
		accept(r)
		return c.NoContent(http.StatusNoContent)
	}
}

// OnSent returns a context for one request that calls f once the request may
// reach the server.
func OnSent(ctx context.Context, f func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { f() }})
}
