package consensus

import "fmt"

// NotLeaderError is returned for a request that only the leader can serve.
type NotLeaderError struct {
	// Leader is the id of the leader, or zero if it is not known.
	Leader uint64
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("consensus: not the leader (leader is member %x; 0 means unknown)", e.Leader)
}

// MembershipError is returned when a membership change or a leadership transfer
// is refused.
type MembershipError struct {
	// ID is the member to change, or the leader if a transfer is refused.
	ID     uint64
	Reason string
}

func (e *MembershipError) Error() string {
	return fmt.Sprintf("consensus: membership change or leadership transfer refused for member %x: %s", e.ID, e.Reason)
}

// LogError reports a stored log or a received message that no correct member
// can have produced.
type LogError struct{ Reason string }

func (e *LogError) Error() string { return "consensus: invalid log or message: " + e.Reason }
