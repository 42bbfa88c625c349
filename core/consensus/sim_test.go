package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand"
	"slices"
	"time"
)

// Times and limits of the simulated group. A member's clock runs at 0.9 to 1.1
// times the rate of simulated time.
const (
	simStep            = 5 * time.Millisecond
	simElectionTimeout = 100 * time.Millisecond
	// simRepairTimeouts is RepairAfter in election timeouts.
	simRepairTimeouts = 5
	simMinRate        = 0.9
	simMaxRate        = 1.1
	// simSnapshotEntries is the number of applied entries between snapshots, and
	// simTrailingEntries the number kept at compaction. They are small, so that
	// members often need a snapshot to catch up.
	simSnapshotEntries = 20
	simTrailingEntries = 5
	// simTrailingBytes sometimes keeps fewer.
	simTrailingBytes = 256
	// simSeeds is the number of seeds of a host.
	simSeeds = 3
)

// simDisk holds the state that a member has synced.
type simDisk struct {
	hardState HardState
	snapshot  Snapshot
	entries   []Entry
}

func (d *simDisk) write(r Ready) {
	if r.Snapshot != nil {
		d.snapshot, d.entries = *r.Snapshot, nil
	}
	if r.HardState != nil {
		d.hardState = *r.HardState
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index >= first })
		d.entries = append(d.entries, r.Entries...)
	}
}

type simMember struct {
	Member
	node      *Node
	directory *Directory
	// seeds are the hosts that the member first introduces itself to.
	seeds     []Member
	helloAt   time.Duration
	disk      simDisk
	unsaved   *Ready // not yet written, if the simulation sends before it syncs
	clock     float64
	clockRate float64
	frozen    bool
	stopped   bool
	removed   bool // another host has replaced it for good
	emptied   bool
	delayed   []Message // arrived while frozen
	applied   uint64
	stateHash uint64
}

// simMessage is on its way to a host. Hello messages are addressed to a host, since the sender may
// not know its member ID; all others to a member.
type simMessage struct {
	deliverAt time.Duration
	message   Message
	host      int
}

// sim is a simulated group of members, their disks and the network between them.
type sim struct {
	rand              *rand.Rand
	now               time.Duration
	disabled          disabledMechanisms
	sendBeforeSync    bool // sends messages before the disk is synced
	reuseID           bool // a member with an emptied disk keeps its member id
	electionTimeout   time.Duration
	noOffers          bool // hosts do not offer themselves as spares
	ignoreTold        bool // hosts do not learn the members from others
	targetVoters      int  // voters up to which the group grows
	lossy             bool
	members           []*simMember    // indexed by host
	lostIDs           map[uint64]bool // member ids that never return
	queue             []simMessage
	blocked           map[[2]int]bool // links from host to host
	proposed          int
	snapshotsReceived int
	changesCommitted  int // membership changes only

	// Oracle state.
	leaders       map[uint64]uint64    // term to leader
	votes         map[[2]uint64]uint64 // voter and term to candidate
	committed     map[uint64]string
	stateHashes   map[uint64]uint64
	lastCommitted uint64
	membership    Membership // latest committed membership
}

func newSim(seed int64, hosts, voters int) *sim {
	s := &sim{
		rand: rand.New(rand.NewSource(seed)), electionTimeout: simElectionTimeout, lostIDs: map[uint64]bool{}, blocked: map[[2]int]bool{},
		leaders: map[uint64]uint64{}, votes: map[[2]uint64]uint64{}, committed: map[uint64]string{}, stateHashes: map[uint64]uint64{},
	}
	var initial Membership
	for h := range hosts {
		m := s.addMember()
		if h < voters {
			initial.Voters = append(initial.Voters, m.Member)
		}
	}
	for h, m := range s.members {
		if h < voters {
			m.disk = simDisk{hardState: HardState{Term: 1, Commit: 1}, snapshot: Snapshot{Index: 1, Term: 1, Membership: initial, Data: make([]byte, 8)}}
		}
	}
	s.membership = initial
	return s
}

// addMember adds a host with an empty disk. Its seeds are the first hosts.
func (s *sim) addMember() *simMember {
	host := fmt.Sprint("h", len(s.members))
	m := &simMember{Member: Member{ID: s.newID(), Host: host, PeerAddress: host}, clockRate: 1}
	for h := range simSeeds {
		seed := fmt.Sprint("h", h)
		m.seeds = append(m.seeds, Member{Host: seed, PeerAddress: seed})
	}
	s.members = append(s.members, m)
	return m
}

// simError is a violation that an oracle detected. It ends the simulation.
type simError struct{ error }

func (s *sim) failf(format string, args ...any) { panic(simError{fmt.Errorf(format, args...)}) }

func (s *sim) must(err error) {
	if err != nil {
		panic(simError{err})
	}
}

// catchViolation runs f and returns the violation that ended it, if any.
func catchViolation(f func()) (err error) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case simError:
			err = p.error
		default:
			panic(p)
		}
	}()
	f()
	return nil
}

func (s *sim) newID() uint64 { return s.rand.Uint64() | 1 }

func (s *sim) start(m *simMember) {
	node, err := New(Options{
		ID: m.ID, ElectionTimeout: s.electionTimeout, HeartbeatInterval: s.electionTimeout / 5, DriftMargin: s.electionTimeout / 5,
		RepairAfter: simRepairTimeouts * s.electionTimeout, TargetVoters: s.targetVoters, Rand: rand.New(rand.NewSource(s.rand.Int63())), disabled: s.disabled,
	}, StoredState{HardState: m.disk.hardState, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}, m.now())
	m.node, m.delayed, m.frozen, m.stopped = node, nil, false, false
	m.directory, m.helloAt = NewDirectory(m.Member, m.seeds), 0
	m.directory.ignoreTold = s.ignoreTold
	m.applied = m.disk.snapshot.Index
	m.stateHash = stateHashOf(m.disk.snapshot)
	s.must(err)
}

func stateHashOf(s Snapshot) uint64 {
	if len(s.Data) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(s.Data)
}

func (m *simMember) now() time.Duration { return time.Duration(m.clock) }
func (m *simMember) running() bool      { return m.node != nil && !m.frozen }

func (s *sim) hostIndex(id uint64) int {
	return slices.IndexFunc(s.members, func(m *simMember) bool { return m.ID == id })
}

// kill ends m's process. Unsynced writes are lost.
func (s *sim) kill(m *simMember) { m.node, m.unsaved = nil, nil }

// emptyDisk ends m's process and clears its disk. It does nothing if no quorum of
// intact voters would remain, because data loss would then not be a fault, or
// while a membership change is pending.
func (s *sim) emptyDisk(m *simMember) {
	intactLeft := s.countIntact(s.membership)
	if s.membership.IsVoter(m.ID) {
		intactLeft--
	}
	if intactLeft < s.membership.Quorum() || s.changePending() {
		return
	}
	s.kill(m)
	m.disk, m.emptied = simDisk{}, true
	if s.reuseID {
		return
	}
	s.lostIDs[m.ID] = true
	m.ID = s.newID()
}

// countIntact counts the voters of m whose ids are not lost.
func (s *sim) countIntact(m Membership) int {
	count := 0
	for _, v := range m.Voters {
		if !s.lostIDs[v.ID] {
			count++
		}
	}
	return count
}

// changePending reports whether a repair is in progress or some member holds a
// membership that is not committed.
func (s *sim) changePending() bool {
	for _, m := range s.members {
		log, err := newEntryLog(m.disk.snapshot, m.disk.entries, m.disk.hardState.Commit)
		if err != nil || log.latestMembership().index > s.lastCommitted {
			return true
		}
	}
	return s.membership.Repair != nil
}

// run advances simulated time by d.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for _, m := range s.members {
			m.clock += float64(simStep) * m.clockRate
		}
		s.deliver()
		for _, m := range s.members {
			if !m.running() {
				continue
			}
			s.sendHellos(m)
			m.node.Tick(m.now())
			s.processReady(m)
		}
	}
}

func (s *sim) deliver() {
	due := []simMessage{}
	s.queue = slices.DeleteFunc(s.queue, func(q simMessage) bool {
		if q.deliverAt <= s.now {
			due = append(due, q)
		}
		return q.deliverAt <= s.now
	})
	s.rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, q := range due {
		h := q.host
		if q.message.Kind != MessageHello {
			h = s.hostIndex(q.message.To)
		}
		if h < 0 || s.members[h].node == nil {
			continue
		}
		m := s.members[h]
		if m.frozen {
			m.delayed = append(m.delayed, q.message)
			continue
		}
		s.step(m, q.message)
	}
}

func (s *sim) step(m *simMember, msg Message) {
	if msg.Kind == MessageHello {
		s.receiveHello(m, msg)
		return
	}
	s.must(m.node.Step(m.now(), msg))
	s.processReady(m)
}

func (s *sim) unfreeze(m *simMember) {
	delayed := m.delayed
	m.frozen, m.delayed = false, nil
	for _, msg := range delayed {
		if m.node == nil {
			return
		}
		s.step(m, msg)
	}
}

func (s *sim) transmit(msgs []Message) {
	for _, msg := range msgs {
		s.checkVote(msg)
		s.transmitTo(s.hostIndex(msg.To), msg)
	}
}

// transmitTo sends a message to a host, unless the link is blocked.
func (s *sim) transmitTo(to int, msg Message) {
	copies := 1
	if s.lossy {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[s.rand.Intn(8)]
	}
	if to < 0 || s.blocked[[2]int{s.hostIndex(msg.From), to}] {
		return
	}
	for range copies {
		delay := time.Duration(1+s.rand.Intn(10)) * time.Millisecond
		if s.lossy && s.rand.Intn(20) == 0 {
			delay = time.Duration(s.rand.Intn(4)) * simElectionTimeout
		}
		s.queue = append(s.queue, simMessage{s.now + delay, msg, to})
	}
}

// processReady carries out the effects of m's node in the required order.
func (s *sim) processReady(m *simMember) {
	for {
		s.checkNode(m)
		r := m.node.Ready()
		if r.Empty() {
			return
		}
		s.transmit(r.EarlyMessages)
		if s.lossy && r.NeedsWrite() && s.rand.Intn(2000) == 0 {
			s.kill(m) // between the early messages and the sync
			return
		}
		if s.sendBeforeSync {
			if m.unsaved != nil {
				m.disk.write(*m.unsaved)
			}
			m.unsaved = &r
		} else {
			m.disk.write(r)
		}
		s.transmit(r.Messages)
		s.apply(m, r)
		m.node.Advance(r)
		s.compact(m)
	}
}

func (s *sim) apply(m *simMember, r Ready) {
	if r.Snapshot != nil {
		m.applied, m.stateHash = r.Snapshot.Index, stateHashOf(*r.Snapshot)
		s.snapshotsReceived++
	}
	for _, e := range r.Committed {
		if e.Index != m.applied+1 {
			s.failf("member %x applies entry %d after entry %d", m.ID, e.Index, m.applied)
		}
		text := fmt.Sprint(e.Term, e.Kind, string(e.Data))
		if old, ok := s.committed[e.Index]; ok && old != text {
			s.failf("committed entry %d changed from %q to %q", e.Index, old, text)
		}
		s.committed[e.Index] = text
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, m.stateHash, e.Index, text)
		m.applied, m.stateHash = e.Index, sum.Sum64()
		if old, ok := s.stateHashes[e.Index]; ok && old != m.stateHash {
			s.failf("applied state differs at index %d", e.Index)
		}
		s.stateHashes[e.Index] = m.stateHash
		if e.Index > s.lastCommitted {
			s.lastCommitted = e.Index
			if e.Kind == EntryMembership {
				s.membership, _ = decodeMembership(e.Data)
				s.changesCommitted++
			}
		}
	}
}

func (s *sim) compact(m *simMember) {
	if m.applied < m.disk.snapshot.Index+simSnapshotEntries || s.sendBeforeSync {
		return
	}
	term, _ := m.node.TermAt(m.applied)
	snap := Snapshot{
		Index: m.applied, Term: term, Membership: m.node.MembershipAt(m.applied),
		Data: binary.BigEndian.AppendUint64(nil, m.stateHash),
	}
	dropped := m.node.Compact(snap, simTrailingEntries, simTrailingBytes)
	m.disk.snapshot = snap
	m.disk.entries = slices.DeleteFunc(slices.Clone(m.disk.entries), func(e Entry) bool { return e.Index < dropped })
}

// checkVote fails if a member votes for two candidates in one term.
func (s *sim) checkVote(msg Message) {
	candidate := msg.To
	switch {
	case msg.Kind == MessageVote:
		candidate = msg.From
	case msg.Kind != MessageVoteResponse || msg.Reject:
		return
	}
	key := [2]uint64{msg.From, msg.Term}
	if old, ok := s.votes[key]; ok && old != candidate {
		s.failf("member %x voted for %x and %x in term %d", msg.From, old, candidate, msg.Term)
	}
	s.votes[key] = candidate
}

// checkNode fails on two leaders in a term, a leader of a newer term whose log
// lacks a committed entry, and two valid leases. A member that was frozen may become
// leader of an older term, in which it can commit nothing.
func (s *sim) checkNode(m *simMember) {
	if n := m.node; n.role == Leader {
		if old, ok := s.leaders[n.term]; ok && old != m.ID {
			s.failf("members %x and %x lead term %d", old, m.ID, n.term)
		} else if !ok && n.term > slices.Max(append(slices.Collect(maps.Keys(s.leaders)), 0)) && n.log.last() <= s.lastCommitted {
			s.failf("leader of term %d lacks committed entry %d", n.term, s.lastCommitted)
		}
		s.leaders[n.term] = m.ID
	}
	holders := 0
	for _, other := range s.members {
		if other.node != nil && other.node.LeaseValid(other.now()) {
			holders++
		}
	}
	if holders > 1 {
		s.failf("more than one member holds a valid lease")
	}
}

// runningLeaders returns the running members that lead, newest term first.
func (s *sim) runningLeaders() []*simMember {
	var out []*simMember
	for _, m := range s.members {
		if m.running() && m.node.role == Leader {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *simMember) int { return int(b.node.term) - int(a.node.term) })
	return out
}

// propose appends count commands on every member that has the leader role.
func (s *sim) propose(count int) {
	for _, m := range s.runningLeaders() {
		for range count {
			s.proposed++
			_, _, _ = m.node.Propose([]byte(fmt.Sprint("c", s.proposed)))
		}
		s.processReady(m)
	}
}

// heal ends every fault: it unblocks links, resets clock rates, and unfreezes
// and starts members.
func (s *sim) heal() {
	clear(s.blocked)
	s.lossy = false
	for _, m := range s.members {
		m.clockRate = 1
		if m.frozen {
			s.unfreeze(m)
		}
		if m.node == nil && !m.removed {
			s.start(m)
		}
	}
}
