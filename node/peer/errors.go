package peer

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Op names a method of the protocol.
type Op string

// Methods.
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
)

// Delivery says whether a call that failed may have reached the other host.
type Delivery int

// Delivery outcomes.
const (
	// NotSent: there was no connection.
	NotSent Delivery = iota
	// MaybeSent: the call failed after a connection existed.
	MaybeSent
	// Refused: the other host answered that it does not serve the call.
	Refused
)

// CallError reports a call to another host that failed.
type CallError struct {
	Op       Op
	Address  string
	Delivery Delivery
	Err      error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Op, e.Err)
}

// Unwrap returns the transport's error.
func (e *CallError) Unwrap() error { return e.Err }

// MessageError reports a message with a part that cannot be converted.
type MessageError struct {
	Part string
	Err  error
}

func (e *MessageError) Error() string { return fmt.Sprintf("peer: invalid %s: %v", e.Part, e.Err) }

// Unwrap returns the parser's error.
func (e *MessageError) Unwrap() error { return e.Err }

// NoLeaderError reports that no control host accepted a command in time. The
// command was not appended.
type NoLeaderError struct {
	Tried int
	Last  error
}

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("peer: no leader accepted the command in %d tries; last: %v", e.Tried, e.Last)
}

// Unwrap returns the last error.
func (e *NoLeaderError) Unwrap() error { return e.Last }

var errNoControl = errors.New("this host has no control role")

// callError translates an error of the transport.
func callError(op Op, address string, err error) error {
	if err == nil {
		return nil
	}
	d := MaybeSent
	switch status.Code(err) {
	case codes.Unimplemented, codes.FailedPrecondition, codes.InvalidArgument:
		d = Refused
	}
	return &CallError{Op: op, Address: address, Delivery: d, Err: err}
}

// statusError translates an error of this host for the wire.
func statusError(err error) error {
	if err == nil {
		return nil
	}
	var m *MessageError
	switch {
	case errors.As(err, &m):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, errNoControl):
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}
