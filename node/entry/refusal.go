package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/admission"
)

// Execution states whether a backend server may have run a refused request.
type Execution string

// Values of Execution. ExecutionNotRun means that the request certainly did not run.
const (
	ExecutionNotRun  Execution = "not_run"
	ExecutionUnknown Execution = "unknown"
)

// Refusal is an error response to a caller. RetryAfterMS is zero if the same request
// should not be sent again.
type Refusal struct {
	Status       int       `json:"-"`
	Code         string    `json:"code"`
	Execution    Execution `json:"execution"`
	Reason       string    `json:"reason"`
	RetryAfterMS int64     `json:"retry_after_ms"`

	// jittered is set if RetryAfterMS is already randomised.
	jittered bool
	// callerLeft is set if the caller cancelled the request.
	callerLeft bool
}

// defaultRetryAfterMS is the advised wait, in milliseconds, where no estimate is available.
const defaultRetryAfterMS = 1000

func (r *Refusal) Error() string { return r.Code + ": " + r.Reason }

// refuse returns the refusal of a request that did not run.
func refuse(status int, code, reason string) *Refusal {
	return &Refusal{Status: status, Code: code, Execution: ExecutionNotRun, Reason: reason, RetryAfterMS: defaultRetryAfterMS}
}

// badRequest returns the refusal of an invalid request. It advises no retry, because the
// request must be changed first.
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

// queueRefusal converts a refusal of the admission queue.
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

// write sends the refusal with its HTTP status as a JSON body.
func (r *Refusal) write(c echo.Context) error {
	return c.JSON(r.Status, map[string]*Refusal{"error": r})
}

// retryAfterSeconds converts milliseconds to seconds for the Retry-After header. It
// rounds up, so that callers do not retry too early.
func retryAfterSeconds(ms int64) string {
	d := time.Duration(ms)*time.Millisecond + time.Second - 1
	return strconv.FormatInt(int64(d/time.Second), 10)
}
