package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/admission"
)

// Execution says whether a refused request may have been run.
type Execution string

// Execution values.
const (
	NotRun  Execution = "not_run"
	Unknown Execution = "unknown"
)

// Refusal is a typed negative answer to a caller.
type Refusal struct {
	Status       int       `json:"-"`
	Code         string    `json:"code"`
	Execution    Execution `json:"execution"`
	Reason       string    `json:"reason"`
	RetryAfterMS int64     `json:"retry_after_ms"`

	jittered bool
	// callerLeft marks the refusal of a caller that has left.
	callerLeft bool
}

// defaultRetryAfterMS is used where no better estimate is at hand.
const defaultRetryAfterMS = 1000

func (r *Refusal) Error() string { return r.Code + ": " + r.Reason }

func refuse(status int, code, reason string) *Refusal {
	return &Refusal{Status: status, Code: code, Execution: NotRun, Reason: reason, RetryAfterMS: defaultRetryAfterMS}
}

// badRequest refuses a request that must be changed before it is sent again.
func badRequest(reason string) *Refusal {
	r := refuse(http.StatusBadRequest, "bad_request", reason)
	r.RetryAfterMS = 0
	return r
}

func unavailable(code, reason string) *Refusal {
	return refuse(http.StatusServiceUnavailable, code, reason)
}

func quarantined() *Refusal {
	r := refuse(http.StatusUnprocessableEntity, "quarantined", "the request has crashed backend servers and is refused")
	r.RetryAfterMS = 0
	return r
}

func deadlinePassed(reason string) *Refusal {
	return refuse(http.StatusGatewayTimeout, "deadline", reason)
}

// queueRefusal translates a refusal of the queue.
func queueRefusal(r admission.Refusal) *Refusal {
	out := unavailable(string(r.Code), "the request cannot be answered before its deadline")
	switch r.Code {
	case admission.CodeQueueFull:
		out = refuse(http.StatusTooManyRequests, string(r.Code), "too many requests are waiting")
	case admission.CodeTeamShare:
		out = refuse(http.StatusTooManyRequests, string(r.Code), "the team is above its share of a contended model")
	}
	out.RetryAfterMS, out.jittered = max(1, r.RetryAfter.Milliseconds()), true
	return out
}

// write sends the refusal as the response body.
func (r *Refusal) write(c echo.Context) error {
	return c.JSON(r.Status, map[string]*Refusal{"error": r})
}

// retryAfterSeconds rounds up, so that callers do not return early.
func retryAfterSeconds(ms int64) string {
	d := time.Duration(ms)*time.Millisecond + time.Second - 1
	return strconv.FormatInt(int64(d/time.Second), 10)
}
