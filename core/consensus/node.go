package consensus

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"
)

// Options configure a Node.
type Options struct {
	ID uint64
	// ElectionTimeout is how long a member waits for the leader before it
	// campaigns, and how long it grants no vote after leader contact or its own
	// start.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats. It must be several times
	// shorter than ElectionTimeout.
	HeartbeatInterval time.Duration
	// DriftMargin is subtracted from ElectionTimeout to give the lease duration.
	// With a margin of one fifth of ElectionTimeout, clock rates may differ by a
	// factor of 1.25.
	DriftMargin time.Duration
	// RepairAfter is how long a voter is unreachable before a spare replaces
	// it. Zero or less disables repair.
	RepairAfter time.Duration
	// TargetVoters is the number of voters up to which the leader adds spares to
	// the group. Zero leaves the number of voters as it is.
	TargetVoters int
	// Rand randomises election timeouts.
	Rand *rand.Rand

	disabled disabledMechanisms
}

// disabledMechanisms lists mechanisms that a test disables to show that its
// oracle fails without them.
type disabledMechanisms struct {
	// startWait is the wait for an election timeout after the start before a
	// vote is granted.
	startWait bool
	preVote   bool
	// learnerPhase adds a spare as a learner before it becomes a voter.
	learnerPhase bool
	driftMargin  bool
	// quorumCheck is the step-down of a leader that no quorum acknowledges.
	quorumCheck bool
	// leaseRelease is the release of the lease before a transfer.
	leaseRelease bool
}

// StoredState is the state that the data folder holds at the start.
type StoredState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries may start with entries that Snapshot covers.
	Entries []Entry
}

// Role is a member's role in the current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Limits of replication to one member.
const (
	// maxAppendBytes keeps one message well below the default limit of gRPC,
	// 4 MiB.
	maxAppendBytes = 1 << 20
	// maxInFlight limits the number of entries sent but not acknowledged.
	maxInFlight = 4096
)

// never is the time of an event that has not happened. It is before every valid
// time.
const never = time.Duration(math.MinInt64 / 4)

// progress is the leader's record of replication to another member.
type progress struct {
	// match is the highest index known to match; next is the first to send.
	match, next uint64
	// probing limits a member to one message with entries at a time until one
	// matches. probeSent is set while that message awaits its response or the next
	// heartbeat.
	probing, probeSent bool
	// commitSent is the commit index last sent to the member.
	commitSent uint64
	// ackedSend is the latest send time that the member acknowledged.
	ackedSend time.Duration
	// lastResponse is when the last response arrived.
	lastResponse time.Duration
	// snapshotSent is when a snapshot was last sent, or never.
	snapshotSent time.Duration
}

// Node is one member's consensus state. It is not safe for concurrent use.
// All times are durations since the same monotonic origin.
type Node struct {
	opts           Options
	term           uint64
	vote           uint64
	savedHardState HardState
	log            *entryLog

	role   Role
	leader uint64
	votes  map[uint64]bool
	// now is the latest time passed to a method.
	now time.Duration
	// noVoteUntil is an election timeout after the last leader contact or this
	// member's start.
	noVoteUntil time.Duration
	// deadline ends the wait for a leader, and on a leader the current transfer.
	deadline time.Duration

	progress      map[uint64]*progress
	leaderSince   time.Duration
	lastHeartbeat time.Duration
	// transferTo is the member that the leader has requested to campaign, or
	// zero. Once it is set, the lease is released for the rest of the term.
	transferTo uint64
	offers     map[uint64]spareOffer

	messages []Message
}

// New returns a member that starts at now from its stored state. It returns a
// LogError if the stored log is invalid.
func New(opts Options, initial StoredState, now time.Duration) (*Node, error) {
	log, err := newEntryLog(initial.Snapshot, initial.Entries, initial.HardState.Commit)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts: opts, term: initial.HardState.Term, vote: initial.HardState.Vote, savedHardState: initial.HardState,
		log: log, now: now, noVoteUntil: now, offers: map[uint64]spareOffer{},
	}
	if !opts.disabled.startWait {
		n.noVoteUntil = now + opts.ElectionTimeout
	}
	n.resetDeadline()
	return n, nil
}

// Status describes the current state of a Node.
type Status struct {
	Role       Role
	Term       uint64
	Leader     uint64
	Commit     uint64
	LastIndex  uint64
	Membership Membership
	// Responsive are the members that responded to this leader within the
	// election timeout.
	Responsive []uint64
	// Offers are the hosts that offer themselves to this leader and are no members.
	Offers []Member
	// Tolerated is the number of further voters that may be lost while this leader keeps a
	// quorum. It is negative if a quorum does not respond, and zero on other members.
	Tolerated int
}

// Status returns the current state. Membership is the latest, which may not be
// committed yet.
func (n *Node) Status() Status {
	m := n.log.latestMembership().membership
	s := Status{
		Role: n.role, Term: n.term, Leader: n.leader, Commit: n.log.commit, LastIndex: n.log.last(),
		Membership: m, Responsive: n.responsiveMembers(),
	}
	if n.role == Leader {
		s.Offers, s.Tolerated = n.openOffers(m), n.responsiveVoters(m)-m.Quorum()
	}
	return s
}

// responsiveMembers returns the ids of the members that respond to this leader.
func (n *Node) responsiveMembers() []uint64 {
	if n.role != Leader {
		return nil
	}
	var out []uint64
	for id, pr := range n.progress {
		if n.isResponsive(pr) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Tick advances time. It runs elections, heartbeats, the quorum check and repair
// when they are due.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now < n.deadline {
		return
	}
	if n.mayCampaign() {
		n.campaign(!n.opts.disabled.preVote, false)
		return
	}
	// A learner that was removed while it was partitioned must forget its leader:
	// a host offers itself as a spare only if it knows no leader.
	n.leader = 0
	n.resetDeadline()
}

func (n *Node) tickLeader() {
	failedTransfer := n.transferTo != 0 && n.now >= n.deadline
	unacknowledged := n.now-n.lastQuorumAck() >= n.opts.ElectionTimeout && !n.opts.disabled.quorumCheck
	if failedTransfer || unacknowledged {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now-n.lastHeartbeat < n.opts.HeartbeatInterval {
		return
	}
	n.lastHeartbeat = n.now
	n.eachOtherMember(func(id uint64, pr *progress) {
		pr.probeSent = false
		n.sendAppend(id, pr, true)
	})
	n.repair()
}

// Step handles a message. It returns a LogError and refuses the message if no
// correct member can have sent it.
func (n *Node) Step(now time.Duration, m Message) error {
	n.now = max(n.now, now)
	switch m.Kind {
	case MessagePreVote:
		n.handlePreVote(m)
		return nil
	case MessagePreVoteResponse:
		n.handlePreVoteResponse(m)
		return nil
	case MessageVote:
		n.handleVote(m)
		return nil
	}
	if m.Term < n.term {
		if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
			n.send(Message{Kind: MessageAppendResponse, To: m.From, Reject: true, SentAt: never})
		}
		return nil
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	if n.role == Leader && (m.Kind == MessageAppend || m.Kind == MessageSnapshot) {
		return &LogError{Reason: fmt.Sprintf("member %x claims to lead term %d, which this member leads", m.From, n.term)}
	}
	switch m.Kind {
	case MessageVoteResponse:
		n.handleVoteResponse(m)
	case MessageAppend:
		return n.handleAppend(m)
	case MessageAppendResponse:
		n.handleAppendResponse(m)
	case MessageSnapshot:
		return n.handleSnapshot(m)
	case MessageTimeoutNow:
		if n.role == Follower && n.isVoter() {
			n.campaign(false, true)
		}
	}
	return nil
}

// Propose appends a command on the leader and returns its index and term. The
// command is committed once Ready returns it with the same term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferTo != 0 {
		return 0, 0, &NotLeaderError{Leader: n.otherLeader()}
	}
	index, err = n.appendEntry(EntryCommand, data)
	return index, n.term, err
}

// StepDown makes a leader a follower, for example because its disk failed.
func (n *Node) StepDown(now time.Duration) {
	n.now = max(n.now, now)
	if n.role != Follower {
		n.becomeFollower(n.term, 0)
	}
}

// LeaseUntil returns the time before which no other member can be elected while
// this one leads: the latest send time that a quorum acknowledged, plus the
// lease duration. Without a lease the result is far in the past. Code that keeps
// the result must replace it after every other call, before it sends the
// resulting messages.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.transferTo != 0 && !n.opts.disabled.leaseRelease {
		return never
	}
	lease := n.opts.ElectionTimeout - n.opts.DriftMargin
	if n.opts.disabled.driftMargin {
		lease = n.opts.ElectionTimeout
	}
	return n.quorumAckedSend(n.now) + lease
}

// LeaseValid reports whether this member leads and its lease covers now.
func (n *Node) LeaseValid(now time.Duration) bool { return max(now, n.now) < n.LeaseUntil() }

// otherLeader returns the leader to redirect to if it is another member, or
// zero. On a leader it is the target of a transfer.
func (n *Node) otherLeader() uint64 {
	if n.leader == n.opts.ID {
		return n.transferTo
	}
	return n.leader
}

func (n *Node) appendEntry(kind EntryKind, data []byte) (uint64, error) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	return e.Index, n.log.push(e)
}

func (n *Node) isVoter() bool { return n.log.latestMembership().membership.IsVoter(n.opts.ID) }

// send queues a message for Ready, which orders it after the durable state that
// it depends on.
func (n *Node) send(m Message) {
	m.From = n.opts.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
