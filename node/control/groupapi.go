package control

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenwheel/pollenwheel/core/consensus"
	"github.com/pollenwheel/pollenwheel/core/state"
	"github.com/pollenwheel/pollenwheel/node/replica"
)

// Transport sends messages to other members. Send must not block for long. It may
// drop messages. It is called from one goroutine at a time.
type Transport interface {
	Send(to consensus.Member, msgs []consensus.Message)
}

// Options configure a Group.
type Options struct {
	// Folder is the data folder, used by one process at a time.
	Folder string
	// Host and PeerAddress identify this host. PeerAddress may be empty when
	// Bootstrap names this host.
	Host        string
	PeerAddress string
	// Bootstrap lists the control hosts by Host and PeerAddress; the ID is
	// ignored, since it is a random number in each host's data folder. A new
	// group is founded only when every listed host replies that its folder is
	// empty. A host that is not listed contacts these hosts to register as a spare.
	Bootstrap []consensus.Member
	Transport Transport
	Replica   *replica.Replica
	Logger    *logrus.Entry

	// DisableFounding prevents this host from founding a group. It is set on hosts that
	// start after the first start of the deployment, since their data folder may have
	// been emptied.
	DisableFounding bool

	// A zero value selects the default for the settings below.

	// Now returns the time of a monotonic clock. It should also count the time in
	// which the machine is suspended; otherwise a lease could outlive a suspension.
	Now func() time.Duration

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// RepairAfter is how long a voter must be unreachable before a spare replaces
	// it. A negative value disables automatic repair.
	RepairAfter time.Duration
	// TargetVoters is the number of voters up to which spares join the group. Zero
	// leaves the number of voters as it is.
	TargetVoters int
	// SnapshotEntries is the largest number of applied entries between snapshots, and
	// SnapshotBytes that of the bytes that a restart decodes for them.
	SnapshotEntries uint64
	SnapshotBytes   int

	// maxBytes bounds the size of the data folder's file in tests.
	maxBytes int
	// followStalled lets hosts be followed that make no progress. Only the tests that show
	// the fault of that set it.
	followStalled bool
	// writeFault returns the error that the disk gives to writes in tests, after the time
	// that a write takes.
	writeFault func() error
	// sendBeforeSync sends messages before the synced write. Only the test that
	// shows the fault of this order sets it.
	sendBeforeSync bool
}

// MemberStatus is the status of one member as this host knows it.
type MemberStatus struct {
	consensus.Member
	Voter bool
}

// Status is a consistent view of the group on this host.
type Status struct {
	// Leader is the leader's host name, or empty.
	Leader string
	Term   uint64
	// AppliedIndex is the index of the last applied entry. It covers every proposal
	// that this host has answered.
	AppliedIndex uint64
	// LastIndex is the highest index in this host's log. Every committed entry is at
	// or below the highest LastIndex of any majority of voters, even if the hosts of
	// that majority have not applied it yet.
	LastIndex  uint64
	LeaseValid bool
	// Leading is true while this host leads, with or without a valid lease.
	Leading bool
	// ResponsiveHosts lists the hosts that answered this host within the election
	// timeout. It is set while this host leads.
	ResponsiveHosts []string
	// MemberID is this host's member ID.
	MemberID uint64
	Members  []MemberStatus
	// Offers lists the hosts that wait to become members, as this leader knows them.
	Offers []string
	// Tolerated is the number of further voters that may be lost while this leader keeps a
	// quorum. It is zero on other hosts.
	Tolerated int
	// StorageErr is the last write error while the data folder cannot be written, or
	// nil.
	StorageErr error
}

// FollowUpdate is one message to a follower of the log. It holds a snapshot or
// entries.
type FollowUpdate struct {
	// Snapshot is the encoding of State.ForFollowers().
	Snapshot []byte
	Entries  []FollowEntry
}

// FollowEntry is one committed command, without what only the group uses.
type FollowEntry struct {
	Index uint64
	// Command is the encoding of a state.Command. It is empty for a command without
	// effect.
	Command []byte
	// replay is the work of applying the command, in bytes decoded.
	replay int
}

// NotLeaderError reports that a proposal was refused because this host does not
// lead. The command was not appended to the log.
type NotLeaderError struct {
	// Leader is the leader's host name, or empty if unknown.
	Leader string
}

func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "control: no leader is known"
	}
	return fmt.Sprintf("control: the leader is host %s", e.Leader)
}

// OutcomeUnknownError reports that leadership was lost, the process ended or the
// wait was cancelled before the proposal's outcome was known. The command may still
// be committed.
type OutcomeUnknownError struct{ Reason string }

func (e *OutcomeUnknownError) Error() string {
	return "control: outcome of the proposal is unknown: " + e.Reason
}

// CommandSizeError reports that a command was refused because it is too large.
type CommandSizeError struct{ Err *state.SizeError }

func (e *CommandSizeError) Error() string { return "control: " + e.Err.Error() }

// Unwrap returns the error with the size.
func (e *CommandSizeError) Unwrap() error { return e.Err }

// StalledError reports that a host cannot be followed, because it applies no entries.
type StalledError struct {
	// For is the time without progress.
	For time.Duration
	// Err is the error of the data folder, or nil.
	Err error
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("control: no progress for %s (storage error: %v)", e.For, e.Err)
}

// Unwrap returns the error of the data folder.
func (e *StalledError) Unwrap() error { return e.Err }

// StorageError reports that a proposal was refused because the data folder cannot
// be written.
type StorageError struct{ Err error }

func (e *StorageError) Error() string { return "control: " + e.Err.Error() }

// Unwrap returns the storage error, and a *NotLeaderError: a member that cannot write does not
// lead, and has not appended the command.
func (e *StorageError) Unwrap() []error { return []error{e.Err, &NotLeaderError{}} }

// MembershipError reports that the replicated log refused a membership change or a
// transfer of leadership.
type MembershipError struct{ Err error }

func (e *MembershipError) Error() string { return "control: " + e.Err.Error() }

// Unwrap returns the error of the replicated log.
func (e *MembershipError) Unwrap() error { return e.Err }
