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
	// campaigns, and how long it grants no vote after leader contact or start.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats; a few must fit into
	// ElectionTimeout.
	HeartbeatInterval time.Duration
	// DriftMargin is subtracted from ElectionTimeout to give the lease. With a
	// margin of a fifth, clock rates may differ by a factor of 1.25.
	DriftMargin time.Duration
	// RepairAfter is how long a voter is unreachable before a spare replaces
	// it. Zero or less switches repair off.
	RepairAfter time.Duration
	// Rand spreads election timeouts.
	Rand *rand.Rand

	off mechanismsOff
}

// mechanismsOff switches mechanisms off in tests that show that the oracle
// fails without them.
type mechanismsOff struct {
	startWait bool
	preVote   bool
	learner   bool
	drift     bool
	// quorumCheck keeps a leader that no quorum confirms.
	quorumCheck bool
	// release keeps the lease during a transfer.
	release bool
}

// Initial is what the data folder held at start.
type Initial struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries may start with entries that Snapshot covers.
	Entries []Entry
}

// Role is a member's part in the current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Replication limits of one member.
const (
	// maxAppendBytes keeps one message well below the 4 MiB default of gRPC.
	maxAppendBytes = 1 << 20
	// maxInFlight bounds the entries sent ahead of the acknowledged ones.
	maxInFlight = 4096
)

// never is a time before every other.
const never = time.Duration(math.MinInt64 / 4)

// progress is what the leader knows about another member.
type progress struct {
	match, next uint64
	// probing members get one message at a time until one matches.
	probing, probeSent bool
	commitSent         uint64
	// ackedSend is the latest send time that the member confirmed.
	ackedSend time.Duration
	// contact is when the last response arrived.
	contact time.Duration
	// snapshotSent is when a snapshot was last sent, or never.
	snapshotSent time.Duration
}

// Node is one member's consensus state. It is not safe for concurrent use.
// All times are durations since the same monotonic origin.
type Node struct {
	opts  Options
	term  uint64
	vote  uint64
	saved HardState
	log   *entryLog

	role   Role
	leader uint64
	votes  map[uint64]bool
	// now is the latest time passed in.
	now time.Duration
	// noVoteUntil is an election timeout after the last leader contact or start.
	noVoteUntil time.Duration
	deadline    time.Duration

	progress      map[uint64]*progress
	ledSince      time.Duration
	lastHeartbeat time.Duration
	// transferTo is set once the leader has told a member to campaign. The
	// lease is then given up for the rest of the term.
	transferTo uint64
	offers     map[uint64]offer

	messages []Message
}

// New returns a member that starts at now with what its data folder held.
func New(opts Options, initial Initial, now time.Duration) (*Node, error) {
	log, err := newEntryLog(initial.Snapshot, initial.Entries, initial.HardState.Commit)
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts: opts, term: initial.HardState.Term, vote: initial.HardState.Vote, saved: initial.HardState,
		log: log, now: now, noVoteUntil: now, offers: map[uint64]offer{},
	}
	if !opts.off.startWait {
		n.noVoteUntil = now + opts.ElectionTimeout
	}
	n.resetDeadline()
	return n, nil
}

// Status is a view of a Node.
type Status struct {
	Role       Role
	Term       uint64
	Leader     uint64
	Commit     uint64
	Last       uint64
	Membership Membership
	// Answering are the members that answered this leader within the election
	// timeout.
	Answering []uint64
}

// Status returns the current view. Membership is the newest, which may not be
// committed yet.
func (n *Node) Status() Status {
	return Status{
		Role: n.role, Term: n.term, Leader: n.leader, Commit: n.log.commit, Last: n.log.last(),
		Membership: n.log.membership().membership, Answering: n.answering(),
	}
}

// answering returns the members that answer this leader.
func (n *Node) answering() []uint64 {
	if n.role != Leader {
		return nil
	}
	var out []uint64
	for id, pr := range n.progress {
		if n.answers(pr) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Tick advances time: elections, heartbeats, the quorum check and repair.
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
		n.campaign(!n.opts.off.preVote, false)
		return
	}
	// A learner that was removed while it was cut off must not keep believing in
	// its leader: it offers itself as a spare only without one.
	n.leader = 0
	n.resetDeadline()
}

func (n *Node) tickLeader() {
	failedTransfer := n.transferTo != 0 && n.now >= n.deadline
	unconfirmed := n.now-n.quorumContact() >= n.opts.ElectionTimeout && !n.opts.off.quorumCheck
	if failedTransfer || unconfirmed {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.now-n.lastHeartbeat < n.opts.HeartbeatInterval {
		return
	}
	n.lastHeartbeat = n.now
	n.eachMember(func(id uint64, pr *progress) {
		pr.probeSent = false
		n.sendAppend(id, pr, true)
	})
	n.repair()
}

// Step handles a message. An error means that the message was refused because
// no correct member can have sent it.
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
		return &LogError{Reason: fmt.Sprintf("member %x also leads term %d", m.From, n.term)}
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

// Propose appends a command on the leader and returns its index and term. It is
// committed once Ready hands it out with the same term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferTo != 0 {
		return 0, 0, &NotLeaderError{Leader: n.otherLeader()}
	}
	index, err = n.appendOwn(EntryCommand, data)
	return index, n.term, err
}

// StepDown makes a leader a follower, for example because its disk failed.
func (n *Node) StepDown(now time.Duration) {
	n.now = max(n.now, now)
	if n.role != Follower {
		n.becomeFollower(n.term, 0)
	}
}

// LeaseUntil is the time before which no other member can be elected while
// this one leads: a quorum confirmed a heartbeat that was sent a lease earlier.
// It is far in the past without a lease. A caller that keeps the result must
// replace it after every other call, before it sends the resulting messages.
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.transferTo != 0 && !n.opts.off.release {
		return never
	}
	lease := n.opts.ElectionTimeout - n.opts.DriftMargin
	if n.opts.off.drift {
		lease = n.opts.ElectionTimeout
	}
	return n.quorumAck(n.now) + lease
}

// LeaseValid reports whether this member leads and its lease covers now.
func (n *Node) LeaseValid(now time.Duration) bool { return max(now, n.now) < n.LeaseUntil() }

// otherLeader is the leader to redirect to, if it is another member.
func (n *Node) otherLeader() uint64 {
	if n.leader == n.opts.ID {
		return n.transferTo
	}
	return n.leader
}

func (n *Node) appendOwn(kind EntryKind, data []byte) (uint64, error) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	return e.Index, n.log.push(e)
}

func (n *Node) isVoter() bool { return n.log.membership().membership.IsVoter(n.opts.ID) }

// send queues a message, which is delivered after the state is durable.
func (n *Node) send(m Message) {
	m.From = n.opts.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
