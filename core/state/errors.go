package state

import "fmt"

// DecodeError reports log or snapshot data that cannot be decoded.
type DecodeError struct {
	// What is the kind of data: "command" or "snapshot".
	What string
	// Err is the parser's error.
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("state: decode %s: %v", e.What, e.Err) }

// Unwrap returns the parser's error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Code is the reason why a command was rejected.
type Code string

// Rejection codes.
const (
	CodeVersionConflict Code = "version_conflict"
	CodeInvalid         Code = "invalid"
	CodeUnknownServer   Code = "unknown_server"
	CodeStale           Code = "stale"
	CodeReplicaLimit    Code = "replica_limit"
	CodeNoMemory        Code = "no_memory"
	CodeNotPlaced       Code = "not_placed"
	CodeBusy            Code = "busy"
	CodeClaimHeld       Code = "in_progress"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeKeyExpired      Code = "key_expired"
	CodeKeyReused       Code = "key_reused"
	CodeQuarantined     Code = "quarantined"
	CodeNotSuspect      Code = "not_suspect"
)

// Rejection is the error of a command that did not change the state.
type Rejection struct {
	Code   Code   `json:"code"`
	Reason string `json:"reason"`
	// Winner is the id of the change that took the expected version, in case of a
	// version conflict.
	Winner string `json:"winner,omitempty"`
}

func (r *Rejection) Error() string { return fmt.Sprintf("state: %s: %s", r.Code, r.Reason) }

// reject returns the result of a rejected command. The format and args give the reason.
func reject(code Code, format string, args ...any) Result {
	return Result{Rejection: &Rejection{Code: code, Reason: fmt.Sprintf(format, args...)}}
}

// BaseError reports a patch to a publication that is not the current one.
type BaseError struct {
	// Base is the version that the patch changes, Current the one in force.
	Base, Current uint64
}

func (e *BaseError) Error() string {
	return fmt.Sprintf("state: the patch changes publication %d, and %d is in force", e.Base, e.Current)
}

// SizeError reports a command that is larger than MaxCommandBytes.
type SizeError struct{ Bytes int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("state: command has %d bytes, at most %d are allowed", e.Bytes, MaxCommandBytes)
}
