package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/pollenwheel/pollenwheel/core/config"
	"github.com/pollenwheel/pollenwheel/core/state"
)

// maxBodyBytes bounds the body of an apply request. A configuration with 63,000
// adapters takes about 7 MB.
const maxBodyBytes = 32 << 20

func (a *API) configuration(c echo.Context) error {
	var current config.Configuration
	a.deps.Replica.View(func(s *state.State) { current = s.Config })
	return c.JSON(http.StatusOK, current)
}

func (a *API) apply(c echo.Context) error {
	req, err := decodeApply(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return refuse(c, http.StatusBadRequest, Refusal{Code: CodeBadRequest, Reason: err.Error()})
	}
	if faults := validate(*req.Configuration); len(faults) > 0 {
		return refuse(c, http.StatusUnprocessableEntity, Refusal{Code: CodeInvalidConfiguration, Reason: faults.Error(), Faults: faults})
	}
	change := a.configureCommand(req)
	result, err := a.deps.Proposer.Propose(c.Request().Context(), state.Command{
		UnixMS:    a.deps.Now().UnixMilli(),
		Configure: &change,
	})
	if err != nil {
		return refuse(c, http.StatusServiceUnavailable, Refusal{
			Code: CodeUnavailable, Execution: ExecutionUnknown, RetryAfterMS: retryAfterMS,
			Reason: "the outcome is not known; repeating the request with the same change id is safe: " + err.Error(),
		})
	}
	if r := result.Rejection; r != nil {
		code := string(r.Code)
		if r.Code == state.CodeKeyReused {
			code = CodeChangeIDReused
		}
		return refuse(c, http.StatusConflict, Refusal{Code: code, Reason: r.Reason, Winner: r.Winner, Version: result.Version})
	}
	a.deps.Logger.WithField("change", req.ChangeID).WithField("version", result.Version).Info("configuration accepted")
	return c.JSON(http.StatusOK, ApplyAnswer{ChangeID: req.ChangeID, Version: result.Version})
}

// configureCommand returns the command that applies a request to the current
// configuration.
func (a *API) configureCommand(req ApplyRequest) state.Configure {
	var current config.Configuration
	a.deps.Replica.View(func(s *state.State) { current = s.Config })
	return state.NewConfigure(req.ChangeID, *req.Expected, current, *req.Configuration)
}

// decodeApply reads an apply request and requires its fields. It does not validate
// the configuration. Errors are of type *BodyError.
func decodeApply(body io.Reader) (ApplyRequest, error) {
	var req ApplyRequest
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		return req, &BodyError{Reason: "body is not an apply request: " + err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return req, &BodyError{Reason: "body has more than one JSON value"}
	}
	switch {
	case !config.ValidName(req.ChangeID):
		return req, &BodyError{Reason: "change_id must be " + config.NameRule}
	case req.Expected == nil:
		return req, &BodyError{Reason: "expected must be set to the current version, 0 for the first configuration"}
	case req.Configuration == nil:
		return req, &BodyError{Reason: "configuration must be set"}
	}
	return req, nil
}

// BodyError reports a request body that is not a complete apply request.
type BodyError struct{ Reason string }

func (e *BodyError) Error() string { return e.Reason }

// validate returns all faults of a configuration, including the lack of an
// operator.
func validate(c config.Configuration) config.Errors {
	var out config.Errors
	for _, err := range []error{config.Validate(c), config.RequireOperator(c)} {
		var faults config.Errors
		if errors.As(err, &faults) {
			out = append(out, faults...)
		}
	}
	return out
}
