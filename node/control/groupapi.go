package control

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// Transport sends messages to other members. Send must not block for long; it
// may drop, and it may be called from one goroutine at a time.
type Transport interface {
	Send(to consensus.Member, msgs []consensus.Message)
}

// Options open a Group.
type Options struct {
	// Folder is the data folder, used by one process at a time.
	Folder string
	// Host and PeerAddress identify this host. PeerAddress may be empty when
	// Bootstrap names this host.
	Host        string
	PeerAddress string
	// Bootstrap lists the control hosts by Host and PeerAddress; the ID is
	// ignored, since it is a random number in each host's data folder. A new
	// group is founded only when every listed host answers that its folder is
	// empty. A host that is not listed uses the list to offer itself as a spare.
	Bootstrap []consensus.Member
	Transport Transport
	Replica   *replica.Replica
	Logger    *logrus.Entry

	// NoFounding keeps this host from founding a group. It is set on hosts that
	// start after the first start of the deployment: their folder may have been
	// emptied.
	NoFounding bool

	// The settings below have defaults when zero.

	// Now is a monotonic clock. One that also counts the time in which the
	// machine is suspended keeps a lease from outliving a suspension.
	Now func() time.Duration

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// RepairAfter is how long a voter is unreachable before a spare replaces
	// it. Negative switches automatic repair off.
	RepairAfter time.Duration
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64

	// maxBytes bounds the data folder's file in tests.
	maxBytes int
	// sendFirst sends before it syncs, in the test that shows why not to.
	sendFirst bool
}

// MemberStatus is one member as this host knows it.
type MemberStatus struct {
	consensus.Member
	Voter bool
}

// Status is a consistent view of the group on this host.
type Status struct {
	// Leader is the leader's host name, or empty.
	Leader string
	Term   uint64
	// Applied covers every entry that this host has answered for.
	Applied uint64
	// Last is the highest index in this host's log. A committed entry is at or
	// below the highest Last of any majority of voters, even where the hosts
	// that report have not applied it yet.
	Last       uint64
	LeaseValid bool
	// Leading is set while this host leads, with or without a valid lease.
	Leading bool
	// Answering are the hosts that answer this leader.
	Answering []string
	// Self is this host's member id.
	Self    uint64
	Members []MemberStatus
	// StorageErr is set while the data folder cannot be written.
	StorageErr error
}

// Update is one step for a follower of the log: a snapshot, or entries.
type Update struct {
	// Snapshot is the encoding of State.ForFollowers().
	Snapshot []byte
	Entries  []UpdateEntry
}

// UpdateEntry is one committed command without claims.
type UpdateEntry struct {
	Index   uint64
	Command state.Command
}

// NotLeaderError refuses a proposal on a host that does not lead. The command
// was not appended.
type NotLeaderError struct {
	// Leader is the leader's host name, or empty if unknown.
	Leader string
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "control: no leader is known"
	}
	return fmt.Sprintf("control: host %s leads", e.Leader)
}

// OutcomeUnknownError reports that leadership or the process ended before the
// proposal was settled: the command may still be committed.
type OutcomeUnknownError struct{ Reason string }

func (e *OutcomeUnknownError) Error() string {
	return "control: outcome of the proposal is unknown: " + e.Reason
}

// MaxCommandBytes bounds one encoded command.
const MaxCommandBytes = 16 << 20

// CommandSizeError refuses a command above MaxCommandBytes.
type CommandSizeError struct{ Bytes int }

func (e *CommandSizeError) Error() string {
	return fmt.Sprintf("control: command has %d bytes, at most %d are allowed", e.Bytes, MaxCommandBytes)
}

// StorageError refuses a proposal because the data folder cannot be written.
type StorageError struct{ Err error }

func (e *StorageError) Error() string { return "control: " + e.Err.Error() }

// Unwrap returns the storage error.
func (e *StorageError) Unwrap() error { return e.Err }

// MemberError refuses a membership change or a transfer.
type MemberError struct{ Err error }

func (e *MemberError) Error() string { return "control: " + e.Err.Error() }

// Unwrap returns the refusal of the replicated log.
func (e *MemberError) Unwrap() error { return e.Err }
