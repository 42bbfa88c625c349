package peer

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Op is the name of a protocol method in errors.
type Op string

// Protocol methods.
const (
	OpConsensus Op = "consensus"
	OpPropose   Op = "propose"
	OpFollow    Op = "follow"
	OpGossip    Op = "gossip"
	OpDemand    Op = "demand"
	OpStatus    Op = "status"
	OpDrain     Op = "drain"
	OpBurn      Op = "burn"
	OpHoldings  Op = "holdings"
	OpPermits   Op = "permits"
	OpOrigins   Op = "origins"
	OpQuotas    Op = "quotas"
)

// Delivery states whether a failed call may have reached the other host.
type Delivery int

// Delivery outcomes.
const (
	// NotSent means that there was no connection, so nothing was sent.
	NotSent Delivery = iota
	// MaybeSent means that the call failed after a connection was established.
	MaybeSent
	// Refused means that the other host answered that it does not serve the
	// method or that the request is invalid.
	Refused
)

// CallError reports a failed call to another host.
type CallError struct {
	Op       Op
	Address  string
	Delivery Delivery
	Err      error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Op, e.Err)
}

// Unwrap returns the error of gRPC or of the connection.
func (e *CallError) Unwrap() error { return e.Err }

// MessageError reports that a part of a message cannot be encoded or decoded.
type MessageError struct {
	Part string
	Err  error
}

func (e *MessageError) Error() string { return fmt.Sprintf("peer: invalid %s: %v", e.Part, e.Err) }

// Unwrap returns the encoder's or decoder's error.
func (e *MessageError) Unwrap() error { return e.Err }

// NoLeaderError reports that no control host accepted a command before the
// deadline. The command was not appended to the log.
type NoLeaderError struct {
	Attempts  int
	LastError error
}

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("peer: no leader accepted the command in %d attempts; last error: %v", e.Attempts, e.LastError)
}

// Unwrap returns the error of the last attempt.
func (e *NoLeaderError) Unwrap() error { return e.LastError }

var errNoControl = errors.New("this host has no control role")

// newCallError converts an error of gRPC to a *CallError. It returns nil if err
// is nil.
func newCallError(op Op, address string, err error) error {
	if err == nil {
		return nil
	}
	delivery := MaybeSent
	switch status.Code(err) {
	case codes.Unimplemented, codes.FailedPrecondition, codes.InvalidArgument:
		delivery = Refused
	}
	return &CallError{Op: op, Address: address, Delivery: delivery, Err: err}
}

// statusError converts an error of this host to the gRPC status that is sent to
// the calling host. It returns nil if err is nil.
func statusError(err error) error {
	if err == nil {
		return nil
	}
	var message *MessageError
	switch {
	case errors.As(err, &message):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, errNoControl):
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}
