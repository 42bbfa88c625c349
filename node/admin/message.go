package admin

import (
	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// Execution states whether a refused request may have taken effect.
type Execution string

// Execution values.
const (
	// ExecutionNotRun: the request had no effect.
	ExecutionNotRun Execution = "not_run"
	// ExecutionUnknown: the request may have taken effect.
	ExecutionUnknown Execution = "unknown"
)

// Refusal codes.
const (
	CodeBadRequest           = "bad_request"
	CodeUnauthorized         = "unauthorized"
	CodeForbidden            = "forbidden"
	CodeInvalidConfiguration = "invalid_configuration"
	CodeVersionConflict      = string(state.CodeVersionConflict)
	CodeChangeIDReused       = "change_id_reused"
	CodeUnknownHost          = "unknown_host"
	CodeUnknownSuspect       = "unknown_suspect"
	CodeUnavailable          = "unavailable"
)

// retryAfterMS is sent when the consensus group or another host did not answer. It
// is long enough for the election of a leader.
const retryAfterMS = 1000

// Refusal describes why a request was refused.
type Refusal struct {
	Code         string    `json:"code"`
	Execution    Execution `json:"execution"`
	Reason       string    `json:"reason"`
	RetryAfterMS int64     `json:"retry_after_ms"`
	// Winner and Version are set after a version conflict: Winner is the id of the
	// change that replaced the expected version, and Version is the current version.
	Winner  string `json:"winner,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Faults lists the faults of a refused configuration.
	Faults config.Errors `json:"faults,omitempty"`
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Reason }

// RefusalAnswer is the body of every answer that refuses a request.
type RefusalAnswer struct {
	Error *Refusal `json:"error"`
}

// refuse answers with a refusal. An empty Execution becomes ExecutionNotRun.
func refuse(c echo.Context, status int, r Refusal) error {
	if r.Execution == "" {
		r.Execution = ExecutionNotRun
	}
	return c.JSON(status, RefusalAnswer{Error: &r})
}

// ApplyRequest is the body of a request to replace the configuration. It is applied
// only if Expected is the current version. The version in Configuration is ignored.
type ApplyRequest struct {
	ChangeID      string                `json:"change_id"`
	Expected      *uint64               `json:"expected"`
	Configuration *config.Configuration `json:"configuration"`
}

// ApplyAnswer confirms an applied change. A resend of the change gets the same
// answer.
type ApplyAnswer struct {
	ChangeID string `json:"change_id"`
	Version  uint64 `json:"version"`
}

// StatusAnswer is the state of the deployment as known to one host.
type StatusAnswer struct {
	Host         string        `json:"host"`
	Deployment   string        `json:"deployment"`
	Version      uint64        `json:"version"`
	AppliedIndex uint64        `json:"applied_index"`
	Control      ControlStatus `json:"control"`
	Hosts        ProcessCounts `json:"hosts"`
	Servers      ProcessCounts `json:"servers"`
	// Placements counts the placements of models and adapters on backend servers,
	// by phase.
	Placements  map[state.Phase]int `json:"placements"`
	Suspects    int                 `json:"suspects"`
	Quarantined int                 `json:"quarantined"`
}

// ProcessCounts counts hosts or backend servers. Known includes those that are
// silent or leaving.
type ProcessCounts struct {
	Known   int `json:"known"`
	Silent  int `json:"silent"`
	Leaving int `json:"leaving"`
}

// ModelsAnswer lists the models in the order of their names.
type ModelsAnswer struct {
	Models []ModelStatus `json:"models"`
}

// ModelStatus is a model with its limits and replicas.
type ModelStatus struct {
	Name           string         `json:"name"`
	Service        string         `json:"service,omitempty"`
	Version        string         `json:"version,omitempty"`
	Urgency        config.Urgency `json:"urgency,omitempty"`
	MaxReplicas    int            `json:"max_replicas"`
	PinnedReplicas int            `json:"pinned_replicas"`
	// Removed marks a model that is still loaded but no longer configured.
	Removed bool `json:"removed,omitempty"`
	// Adapters is the number of configured adapters.
	Adapters int            `json:"adapters"`
	Replicas []ModelReplica `json:"replicas"`
}

// HostsAnswer lists entry hosts.
type HostsAnswer struct {
	Hosts []HostStatus `json:"hosts"`
}

// DrainAnswer confirms that a host has begun to leave.
type DrainAnswer struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

// ModelReplica is the replica of a model on one backend server.
type ModelReplica struct {
	Server  string      `json:"server"`
	Phase   state.Phase `json:"phase"`
	Version string      `json:"version"`
	// Adapters are the names of the adapters that are ready on this replica.
	Adapters []string `json:"adapters,omitempty"`
}
