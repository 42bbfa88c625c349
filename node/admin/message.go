package admin

import (
	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Execution says whether a refused request may have taken effect.
type Execution string

// Execution values.
const (
	NotRun           Execution = "not_run"
	ExecutionUnknown Execution = "unknown"
)

// Refusal codes.
const (
	CodeBadRequest      = "bad_request"
	CodeUnauthorized    = "unauthorized"
	CodeForbidden       = "forbidden"
	CodeInvalid         = "invalid_configuration"
	CodeVersionConflict = string(state.CodeVersionConflict)
	CodeChangeIDReused  = "change_id_reused"
	CodeUnknownHost     = "unknown_host"
	CodeUnavailable     = "unavailable"
)

// retryAfterMS is sent when the consensus group or another host gave no answer.
// It covers an election.
const retryAfterMS = 1000

// Refusal is a negative answer.
type Refusal struct {
	Code         string    `json:"code"`
	Execution    Execution `json:"execution"`
	Reason       string    `json:"reason"`
	RetryAfterMS int64     `json:"retry_after_ms"`
	// Winner is the change that took the expected version, and Version the
	// current version, in a version conflict.
	Winner  string `json:"winner,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Faults lists what is wrong with a refused configuration.
	Faults config.Errors `json:"faults,omitempty"`
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Reason }

// RefusalAnswer is the body of every negative answer.
type RefusalAnswer struct {
	Error *Refusal `json:"error"`
}

func refuse(c echo.Context, status int, r Refusal) error {
	if r.Execution == "" {
		r.Execution = NotRun
	}
	return c.JSON(status, RefusalAnswer{Error: &r})
}

// ApplyRequest replaces the configuration if Expected is its current version.
// The version in Configuration is ignored.
type ApplyRequest struct {
	ChangeID      string                `json:"change_id"`
	Expected      *uint64               `json:"expected"`
	Configuration *config.Configuration `json:"configuration"`
}

// ApplyAnswer confirms a change. A resend of the change gets the same answer.
type ApplyAnswer struct {
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
}

// StatusAnswer is the state of the deployment as one host sees it.
type StatusAnswer struct {
	Host         string        `json:"host"`
	Deployment   string        `json:"deployment"`
	Version      uint64        `json:"version"`
	AppliedIndex uint64        `json:"applied_index"`
	Control      ControlStatus `json:"control"`
	Hosts        Tally         `json:"hosts"`
	Servers      Tally         `json:"servers"`
	// Placements counts models and adapters on backend servers by phase.
	Placements  map[state.Phase]int `json:"placements"`
	Suspects    int                 `json:"suspects"`
	Quarantined int                 `json:"quarantined"`
}

// Tally counts processes.
type Tally struct {
	Known   int `json:"known"`
	Silent  int `json:"silent"`
	Leaving int `json:"leaving"`
}

// ModelsAnswer lists models by name.
type ModelsAnswer struct {
	Models []ModelStatus `json:"models"`
}

// ModelStatus is one model with its replicas.
type ModelStatus struct {
	Name           string         `json:"name"`
	Service        string         `json:"service,omitempty"`
	Version        string         `json:"version,omitempty"`
	Urgency        config.Urgency `json:"urgency,omitempty"`
	MaxReplicas    int            `json:"max_replicas"`
	PinnedReplicas int            `json:"pinned_replicas"`
	// Removed marks a model that is still loaded but no longer configured.
	Removed  bool           `json:"removed,omitempty"`
	Adapters int            `json:"adapters"`
	Replicas []ModelReplica `json:"replicas"`
}

// HostsAnswer lists entry hosts.
type HostsAnswer struct {
	Hosts []HostPresence `json:"hosts"`
}

// DrainAnswer confirms that a host has begun to leave.
type DrainAnswer struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

// ModelReplica is a model on one backend server.
type ModelReplica struct {
	Server  string      `json:"server"`
	Phase   state.Phase `json:"phase"`
	Version string      `json:"version"`
	// Adapters are those ready on this replica.
	Adapters []string `json:"adapters,omitempty"`
}
