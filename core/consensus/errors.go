package consensus

import "fmt"

// NotLeaderError refuses a proposal on a member that does not lead.
type NotLeaderError struct {
	// Leader is the id of the known leader, or zero.
	Leader uint64
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("consensus: not the leader (leader is %x)", e.Leader)
}

// MembershipError refuses a membership change.
type MembershipError struct {
	ID     uint64
	Reason string
}

func (e *MembershipError) Error() string {
	return fmt.Sprintf("consensus: membership change of %x refused: %s", e.ID, e.Reason)
}

// LogError reports a stored log that no correct member can have written.
type LogError struct{ Reason string }

func (e *LogError) Error() string { return "consensus: invalid log: " + e.Reason }
