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

	"github.com/pollenwheel/pollenwheel/node/memory"
)

// Headers of requests and answers between an entry host and a backend server.
const (
	// HeaderAttemptID identifies one attempt; the answer repeats it.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderResumeOffset requests the events of an attempt from the given offset on.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderPriority is the urgency of the request as a number; 0 is served first.
	HeaderPriority = "X-Priority"
	// HeaderIncarnation on an answer identifies the server process that answered.
	// On an attempt it identifies the process that must run it: a newer process at
	// the same address does not admit the attempt, so that a crash of the newer
	// process is not counted as a crash of the older one.
	HeaderIncarnation = "X-Incarnation"
	// HeaderRequestLimit on an answer names the requests per second, a decimal number, that
	// the server takes from all entry hosts together for as long as its answers say so.
	HeaderRequestLimit = "X-Request-Limit"
	// HeaderLeaving is "1" on the answers of a server that is leaving.
	HeaderLeaving = "X-Leaving"
	// HeaderPause on an answer with status 503 is the time in seconds for which the server
	// wants no request from this host.
	HeaderPause = "Retry-After"
)

// IsFinalStatus reports whether HTTP defines a status as that of a final answer. A transport
// also returns answers with other three-digit statuses, such as 000 or 600, and that with which
// a server changes the protocol unasked (101). What follows such a status is no answer to the
// request, which may have run.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// RefusalBody is the body with which a backend server refuses a request that it
// did not admit.
type RefusalBody struct {
	Error struct {
		Code      string `json:"code"`
		Execution string `json:"execution"`
		Reason    string `json:"reason"`
	} `json:"error"`
}

// Codes in a RefusalBody.
const (
	CodeNotAdmitted      = "not_admitted"
	CodeNotLoaded        = "not_loaded"
	CodeUnknownAttempt   = "unknown_attempt"
	CodeWrongIncarnation = "wrong_incarnation"
)

// CancelBody is the body of POST /v1/cancel, which cancels one attempt.
type CancelBody struct {
	AttemptID string `json:"attempt_id"`
}

// Cancel notifies a backend server that the answer to an attempt is no longer
// needed. After an error the server may not have received the notification.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	body, err := json.Marshal(CancelBody{AttemptID: attempt})
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

// ProbeResult is the result of a probe of a server process.
type ProbeResult int

// Probe results.
const (
	// ProbeUnknown: the probe was not answered.
	ProbeUnknown ProbeResult = iota
	// ProbeRunning: the process is running.
	ProbeRunning
	// ProbeEnded: the address refused the connection, or a newer process answered.
	ProbeEnded
)

// Probe checks whether the server process with the given incarnation is running. An
// answer without an incarnation shows only that some process listens at the
// address, and counts as running.
func (c *Client) Probe(ctx context.Context, address string, incarnation uint64) ProbeResult {
	resp, err := c.DoOnce(ctx, address, http.MethodGet, "/v1/incarnation", http.Header{}, nil)
	if err != nil {
		var sendErr *SendError
		if errors.As(err, &sendErr) && sendErr.Delivery == ConnectionRefused {
			return ProbeEnded
		}
		return ProbeUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	if isNewerProcess(resp.Header, incarnation) {
		return ProbeEnded
	}
	return ProbeRunning
}

// isNewerProcess reports whether the headers of an answer contain an incarnation
// above the given one.
func isNewerProcess(h http.Header, incarnation uint64) bool {
	answered, err := strconv.ParseUint(h.Get(HeaderIncarnation), 10, 64)
	return err == nil && answered > incarnation
}

// PrefixHash returns a hash of the model and the first message of a prompt, so that
// requests with the same beginning of the prompt have the same hash. It returns 0 if
// there is no first message.
func PrefixHash(model, first string) uint64 {
	if first == "" {
		return 0
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, model)
	_, _ = hash.Write([]byte{0})
	_, _ = io.WriteString(hash, first)
	return hash.Sum64()
}

// CacheReport is the body of POST /v1/backend/cache. It lists changes of the prefix
// cache of one server process.
type CacheReport struct {
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"`
	// FirstEventNumber is the number of the first event; the others are numbered
	// consecutively.
	FirstEventNumber uint64       `json:"first"`
	Events           []CacheEvent `json:"events"`
}

// CacheEvent is the insertion of a prefix into a prefix cache, or its eviction.
type CacheEvent struct {
	// Prefix is the hash of the prefix, as returned by PrefixHash.
	Prefix  uint64 `json:"prefix,string"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheHandler serves POST /v1/backend/cache. It passes valid cache reports to
// accept. The bodies count for account.
func CacheHandler(account *memory.Account, accept func(CacheReport)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var r CacheReport
		document, err := readAnnouncement(c, account, &r)
		defer document.Release()
		if err != nil {
			return answerBadBody(c, err, "a JSON cache report")
		}
		if err := checkCacheReport(r); err != nil {
			return c.JSON(http.StatusBadRequest, err)
		}
		accept(r)
		return c.NoContent(http.StatusNoContent)
	}
}

// WithSentCallback returns a context for one request. It calls f when a connection
// for the request is available; from then on the server may receive the request.
func WithSentCallback(ctx context.Context, f func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { f() }})
}
