package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Execution says whether a refused request may have been run.
type Execution string

// Execution values.
const (
	NotRun  Execution = "not_run"
	Unknown Execution = "unknown"
)

// Refusal is an honest negative answer to a caller.
type Refusal struct {
	Status       int       `json:"-"`
	Code         string    `json:"code"`
	Execution    Execution `json:"execution"`
	Reason       string    `json:"reason"`
	RetryAfterMS int64     `json:"retry_after_ms"`
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Reason }

func refuse(status int, code, reason string) *Refusal {
	return &Refusal{Status: status, Code: code, Execution: NotRun, Reason: reason, RetryAfterMS: 1000}
}

// write sends the refusal as the response body.
func (r *Refusal) write(c echo.Context) error {
	return c.JSON(r.Status, map[string]*Refusal{"error": r})
}

func unavailable(code, reason string) *Refusal {
	return refuse(http.StatusServiceUnavailable, code, reason)
}
