// Package consensus implements the replicated log of the control hosts: pre-vote,
// elections, leader lease, log replication, snapshots, membership changes and
// repair. It performs no I/O, reads no clock and starts no goroutine.
//
// Invariants: at most one leader per term; a committed entry is never lost or
// changed; at most one member holds a valid lease; a member votes at most once
// in a term.
package consensus

import "time"

// EntryKind is the type of an entry's data.
type EntryKind uint8

// Entry kinds.
const (
	// EntryCommand carries a state machine command; empty data is a no-op.
	EntryCommand EntryKind = iota
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one record of the log. Indexes start at 1 and have no gaps.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state besides the log that must be durable before any
// message that depends on it is sent. Commit is a lower bound of the commit index.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	// Data is the encoded state machine.
	Data []byte
}

// MessageKind is the type of a protocol message.
type MessageKind uint8

// Message kinds.
const (
	// MessagePreVote queries whether a vote would be granted. It does not change
	// the receiver's term.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	MessageAppendResponse
	// MessageSnapshot carries a complete snapshot. The response is
	// MessageAppendResponse.
	MessageSnapshot
	// MessageTimeoutNow makes the receiver campaign at once (leadership transfer).
	MessageTimeoutNow
	// MessageHello introduces a host by its address before it is a member. It is
	// handled by the driver and never reaches Node.
	MessageHello
)

// Message is sent between members. Unused fields are zero.
type Message struct {
	Kind MessageKind
	// From and To are member ids. To is zero only in MessageHello.
	From, To uint64
	// Term is the sender's term; in pre-vote messages it is the proposed term.
	Term uint64
	// LogIndex and LogTerm identify the entry before Entries (append) or the
	// candidate's last entry (votes). In MessageAppendResponse, LogIndex is the
	// highest index known to match, or the rejected index when Reject is set.
	LogIndex, LogTerm uint64
	Entries           []Entry
	// Commit is the sender's commit index.
	Commit uint64
	Reject bool
	// Hint, in a rejected append, is the highest index at which the logs may match.
	Hint uint64
	// Transfer marks a campaign that the leader requested.
	Transfer bool
	// SentAt is the leader's monotonic send time, which the response repeats.
	SentAt   time.Duration
	Snapshot *Snapshot
	Hello    *Hello
}

// Hello describes the sending host.
type Hello struct {
	Member Member
	// HasJoinedGroup is set when the host belongs or has belonged to a group.
	HasJoinedGroup bool
	// Reply marks a response, to which no further Hello is sent.
	Reply bool
	// Members are the members known to the host if HasJoinedGroup is set.
	Members []Member
}
