package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/state"
)

// SuspectState is what the hosts do with the requests that a suspect concerns.
type SuspectState string

// Suspect states.
const (
	// SuspectTried: one request at a time is sent, as a trial.
	SuspectTried SuspectState = "tried"
	// SuspectQuarantined: the requests are refused.
	SuspectQuarantined SuspectState = "quarantined"
)

// SuspectsAnswer lists the suspects, those in quarantine first.
type SuspectsAnswer struct {
	Suspects []SuspectStatus `json:"suspects"`
}

// SuspectStatus is a request, a prompt part, a model or an adapter that may have crashed backend servers.
type SuspectStatus struct {
	// Key is the hash of the content of a request, or "part:" and the ID of a prompt
	// part, "model:SERVICE/MODEL" or "adapter:SERVICE/MODEL/ADAPTER".
	Key   string       `json:"key"`
	State SuspectState `json:"state"`
	// Crashes are the newest backend server processes that ended, each as
	// "server/incarnation".
	Crashes []string `json:"crashes"`
	// TrialServer is the server of the open trial, if any.
	TrialServer string `json:"trial_server,omitempty"`
	// UntilMS is the end of the quarantine of a part, in Unix milliseconds. The
	// quarantine of a request does not end by itself.
	UntilMS int64 `json:"until_ms,omitempty"`
	// Beside are the other parts that may have caused the crashes. While there are any, only
	// requests with all of them are refused; those with some of them are tried.
	Beside []string `json:"beside,omitempty"`
}

// LiftAnswer confirms that a suspect is cleared.
type LiftAnswer struct {
	Key string `json:"key"`
}

func (a *API) suspects(c echo.Context) error {
	out := SuspectsAnswer{Suspects: []SuspectStatus{}}
	now := a.deps.Now().UnixMilli()
	a.deps.Replica.View(func(s *state.State) {
		for key, rec := range s.Suspects {
			if status, ok := newSuspectStatus(key, rec, now); ok {
				out.Suspects = append(out.Suspects, status)
			}
		}
	})
	slices.SortFunc(out.Suspects, func(a, b SuspectStatus) int {
		return cmp.Or(cmp.Compare(a.State, b.State), strings.Compare(a.Key, b.Key))
	})
	return c.JSON(http.StatusOK, out)
}

// newSuspectStatus returns the status of a suspect, and false if it is cleared.
func newSuspectStatus(key string, rec state.SuspectRecord, nowMS int64) (SuspectStatus, bool) {
	out := SuspectStatus{Key: key, Crashes: slices.Clone(rec.Crashes), State: SuspectTried}
	if rec.Trial != nil && (rec.Trial.ExpiresMS == 0 || rec.Trial.ExpiresMS > nowMS) {
		out.TrialServer = rec.Trial.Server
	}
	if !rec.Barred(nowMS) {
		return out, rec.Suspect(nowMS)
	}
	out.State = SuspectQuarantined
	if rec.Part != nil {
		out.UntilMS, out.Beside = rec.Part.UntilMS, slices.Clone(rec.Part.Beside)
	}
	return out, true
}

// lift clears a suspect by decision of an operator. A repetition has no effect.
func (a *API) lift(c echo.Context) error {
	key := c.Param("key")
	known := false
	a.deps.Replica.View(func(s *state.State) { _, known = s.Suspects[key] })
	if !known {
		return refuse(c, http.StatusNotFound, Refusal{Code: CodeUnknownSuspect, Reason: "no suspect has the key " + key})
	}
	clear := state.ClearSuspect{Fingerprint: key, Lift: true}
	if id, ok := strings.CutPrefix(key, state.PartKey("")); ok {
		clear = state.ClearSuspect{Parts: []string{id}, Lift: true}
	}
	command := state.Command{UnixMS: a.deps.Now().UnixMilli(), ClearSuspect: &clear}
	if _, err := a.deps.Proposer.Propose(c.Request().Context(), command); err != nil {
		return refuse(c, http.StatusServiceUnavailable, Refusal{
			Code: CodeUnavailable, Execution: ExecutionUnknown, RetryAfterMS: retryAfterMS,
			Reason: "the change was not confirmed; repeating the request is safe: " + err.Error(),
		})
	}
	a.deps.Logger.WithField("suspect", key).Info("suspect cleared by an operator")
	return c.JSON(http.StatusOK, LiftAnswer{Key: key})
}
